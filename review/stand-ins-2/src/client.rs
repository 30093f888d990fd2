//! A client of the PostgreSQL protocol: simple queries, one at a time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::support::sleep_ms;

/// What a front end answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// All rows and CommandComplete.
    Served(Vec<String>),
    /// EmptyQueryResponse.
    Empty,
    /// An error with its code.
    Error(String),
}

/// A session.
pub struct Session {
    stream: TcpStream,
}

impl Session {
    pub fn open(addr: SocketAddr) -> std::io::Result<Self> {
        Self::open_within(addr, Duration::from_secs(25))
    }

    /// Opens a session. Each read takes `limit` at most.
    fn open_within(addr: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0app\0database\0analytics\0\0");
        let mut packet = (body.len() as u32 + 4).to_be_bytes().to_vec();
        packet.extend(body);
        stream.write_all(&packet)?;
        let mut session = Session { stream };
        while session.message()?.0 != b'Z' {}
        Ok(session)
    }

    fn message(&mut self) -> std::io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        self.stream.read_exact(&mut body)?;
        Ok((head[0], body))
    }

    /// Sends a query and waits for its answer.
    pub fn query(&mut self, sql: &str) -> std::io::Result<Answer> {
        let mut packet = vec![b'Q'];
        packet.extend((sql.len() as u32 + 5).to_be_bytes());
        packet.extend(sql.as_bytes());
        packet.push(0);
        self.stream.write_all(&packet)?;
        let (mut rows, mut answer) = (Vec::new(), None);
        loop {
            let (kind, body) = self.message()?;
            match kind {
                b'D' => rows.push(String::from_utf8_lossy(&body).into_owned()),
                b'C' => answer = Some(Answer::Served(std::mem::take(&mut rows))),
                b'I' => answer = Some(Answer::Empty),
                b'E' => answer = Some(Answer::Error(error_code(&body))),
                b'Z' => break,
                _ => {}
            }
        }
        answer.ok_or_else(|| std::io::ErrorKind::InvalidData.into())
    }
}

fn error_code(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let code = fields
        .into_iter()
        .find(|field| field.first() == Some(&b'C'));
    code.map_or_else(String::new, |code| {
        String::from_utf8_lossy(&code[1..]).into_owned()
    })
}

/// Waits until a front end answers an empty query, as the front does.
pub fn wait_until_ready(addr: SocketAddr, limit: Duration) -> Result<Duration, String> {
    let start = Instant::now();
    while start.elapsed() < limit {
        let open = Session::open_within(addr, Duration::from_secs(1));
        let answer = open.and_then(|mut session| session.query(""));
        if matches!(answer, Ok(Answer::Empty)) {
            return Ok(start.elapsed());
        }
        sleep_ms(20);
    }
    Err(format!("{addr} was not ready within {limit:?}"))
}
