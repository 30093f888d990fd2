//! A client of the PostgreSQL wire protocol 3.0: simple queries, one at a time on a session.

use std::io::{Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The answer to a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Rows and CommandComplete.
    Served(Vec<Vec<String>>),
    /// An error, with its code.
    Error(String),
    /// EmptyQueryResponse.
    Empty,
}

/// A session.
pub struct Session {
    pub stream: TcpStream,
}

impl Session {
    /// Connects, and starts a session.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the start is answered with an error.
    pub fn open(addr: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let mut session = Session { stream };
        let mut body = Vec::from(196_608u32.to_be_bytes());
        body.extend_from_slice(b"user\0app\0database\0analytics\0\0");
        let mut packet = Vec::from(((body.len() + 4) as u32).to_be_bytes());
        packet.extend_from_slice(&body);
        session.stream.write_all(&packet)?;
        loop {
            match session.message()? {
                (b'Z', _) => return Ok(session),
                (b'E', body) => return Err(Error::other(error_code(&body))),
                _ => {}
            }
        }
    }

    /// Writes a query.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub fn send(&mut self, sql: &str) -> Result<()> {
        let mut packet = vec![b'Q'];
        packet.extend_from_slice(&((sql.len() + 5) as u32).to_be_bytes());
        packet.extend_from_slice(sql.as_bytes());
        packet.push(0);
        self.stream.write_all(&packet)
    }

    /// Reads the whole answer to a query, up to ReadyForQuery.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or nothing comes in time.
    pub fn receive(&mut self) -> Result<Answer> {
        let mut answer = Answer::Served(Vec::new());
        loop {
            match self.message()? {
                (b'Z', _) => return Ok(answer),
                (b'E', body) => answer = Answer::Error(error_code(&body)),
                (b'I', _) => answer = Answer::Empty,
                (b'D', body) => {
                    if let Answer::Served(rows) = &mut answer {
                        rows.push(columns(&body));
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends a query and reads its answer.
    ///
    /// # Errors
    ///
    /// Fails as [`Session::send`] and [`Session::receive`] do.
    pub fn query(&mut self, sql: &str) -> Result<Answer> {
        self.send(sql)?;
        self.receive()
    }

    fn message(&mut self) -> Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        self.stream.read_exact(&mut body)?;
        Ok((head[0], body))
    }
}

/// Whether an empty query is answered with EmptyQueryResponse.
#[must_use]
pub fn is_ready(addr: SocketAddr) -> bool {
    let answer = Session::open(addr, Duration::from_secs(1)).and_then(|mut s| s.query(""));
    matches!(answer, Ok(Answer::Empty))
}

fn error_code(body: &[u8]) -> String {
    let mut fields = body.split(|byte| *byte == 0);
    let code = fields.find(|field| field.first() == Some(&b'C'));
    code.map_or_else(String::new, |code| {
        String::from_utf8_lossy(&code[1..]).into_owned()
    })
}

fn columns(body: &[u8]) -> Vec<String> {
    let mut columns = Vec::new();
    let mut rest = body.get(2..).unwrap_or_default();
    while let Some(head) = rest.get(..4) {
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let value = rest.get(4..4 + length).unwrap_or_default();
        columns.push(String::from_utf8_lossy(value).into_owned());
        rest = rest.get(4 + length..).unwrap_or_default();
    }
    columns
}
