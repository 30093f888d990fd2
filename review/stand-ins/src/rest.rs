//! A client of the paged REST protocol.

use std::io::{BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection over which requests are sent.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub fn open(addr: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    /// Writes a query. `key` is its idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub fn post(&mut self, body: &str, key: Option<&str>) -> Result<()> {
        self.stream.write_all(request(body, key).as_bytes())
    }

    /// Writes a request with any method, path and body.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub fn send(&mut self, method: &str, path: &str, body: &str) -> Result<()> {
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: gateway\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        self.stream.write_all(text.as_bytes())
    }

    /// Reads one answer: its status and its body.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the answer is whole, or nothing comes in time.
    pub fn receive(&mut self) -> Result<(u16, String)> {
        let mut bytes = Vec::new();
        let mut byte = [0];
        while !bytes.ends_with(b"\r\n\r\n") {
            self.reader.read_exact(&mut byte)?;
            bytes.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&bytes).into_owned();
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0);
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.trim().parse().ok())?
        });
        let mut body = vec![0; length.unwrap_or(0)];
        self.reader.read_exact(&mut body)?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Returns the bytes of a query.
#[must_use]
pub fn request(body: &str, key: Option<&str>) -> String {
    let key = key.map_or_else(String::new, |key| format!("Idempotency-Key: {key}\r\n"));
    format!(
        "POST /v1/queries HTTP/1.1\r\nHost: gateway\r\nContent-Type: application/json\r\n{key}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
