//! Plain clients, one blocking connection each: HTTP/1.1 and PostgreSQL, as far as a front end's clients need.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

fn bad(what: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, what.to_string())
}

/// An HTTP answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Headers by name in small letters.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// The body as JSON; null where it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The last part of a problem's type.
    #[must_use]
    pub fn kind(&self) -> String {
        self.json()["type"]
            .as_str()
            .and_then(|t| t.rsplit(':').next())
            .unwrap_or_default()
            .to_owned()
    }

    /// The rows of a page.
    ///
    /// # Panics
    ///
    /// It is no page.
    #[must_use]
    pub fn rows(&self) -> Vec<[String; 3]> {
        assert_eq!(self.status, 200, "{}", self.body.escape_ascii());
        serde_json::from_value(self.json()["rows"].clone()).expect("rows of three columns")
    }

    /// The path of the next page.
    #[must_use]
    pub fn next(&self) -> Option<String> {
        self.json()["next"].as_str().map(str::to_owned)
    }
}

/// A connection of an HTTP client.
pub struct Http {
    /// What it reads from and writes to.
    pub stream: BufReader<TcpStream>,
    head: bool,
}

impl Http {
    /// Speaks over a connection, and waits so long for anything at most.
    ///
    /// # Errors
    ///
    /// The connection has broken.
    pub fn over(stream: TcpStream, wait: Duration) -> Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        Ok(Http {
            stream: BufReader::new(stream),
            head: false,
        })
    }

    /// Sends one request.
    ///
    /// # Errors
    ///
    /// The connection has broken.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: a\r\n");
        if !body.is_empty() {
            head += &format!("content-length: {}\r\n", body.len());
        }
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        self.head = method == "HEAD";
        self.stream
            .get_mut()
            .write_all(&[head.as_bytes(), b"\r\n", body].concat())
    }

    /// Sends one query.
    ///
    /// # Errors
    ///
    /// The connection has broken.
    pub fn ask(&mut self, ask: &Value, key: Option<&str>) -> Result<()> {
        let headers: Vec<_> = key.iter().map(|k| ("idempotency-key", *k)).collect();
        self.send("POST", "/v1/queries", &headers, ask.to_string().as_bytes())
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// The connection has broken, or what came is no answer.
    pub fn get(&mut self, path: &str) -> Result<Reply> {
        self.send("GET", path, &[], b"")?;
        self.read()
    }

    /// Reads the next answer.
    ///
    /// # Errors
    ///
    /// The connection has broken, or what came is no answer.
    pub fn read(&mut self) -> Result<Reply> {
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .ok_or_else(|| bad(&line))?;
        let mut headers = HashMap::new();
        loop {
            let mut line = String::new();
            self.stream.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(": ") else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.to_owned());
        }
        let length = headers
            .get("content-length")
            .map_or(Ok(0), |n| n.parse())
            .map_err(bad)?;
        let mut body = vec![
            0;
            if self.head || status == 100 {
                0
            } else {
                length
            }
        ];
        self.stream.read_exact(&mut body)?;
        Ok(Reply {
            status,
            headers,
            body,
        })
    }

    /// Whether the other side has ended the connection and said nothing more.
    pub fn ended(&mut self) -> bool {
        matches!(self.stream.read(&mut [0; 64]), Ok(0) | Err(_))
    }
}

/// Rows, or the code of an error.
pub type Rows = std::result::Result<Vec<[String; 3]>, String>;

/// A session of a PostgreSQL client.
pub struct Pg(BufReader<TcpStream>, String);

impl Pg {
    /// Begins a session over a connection, and waits so long for anything at most.
    ///
    /// # Errors
    ///
    /// The connection has broken, or the session is refused.
    pub fn over(mut stream: TcpStream, wait: Duration) -> Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        stream.write_all(b"\0\0\0\x25\0\x03\0\0user\0app\0database\0analytics\0\0")?;
        let mut pg = Pg(BufReader::new(stream), String::new());
        pg.read()?.map_err(bad)?;
        Ok(pg)
    }

    /// Sends one simple query.
    ///
    /// # Errors
    ///
    /// The connection has broken.
    pub fn send(&mut self, sql: &str) -> Result<()> {
        let mut bytes = vec![b'Q'];
        bytes.extend_from_slice(&(sql.len() as u32 + 5).to_be_bytes());
        bytes.extend_from_slice(sql.as_bytes());
        bytes.push(0);
        self.0.get_mut().write_all(&bytes)
    }

    /// The text of the last error.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.1
    }

    /// Reads up to ReadyForQuery.
    ///
    /// # Errors
    ///
    /// The connection has broken, or what came can't be read.
    pub fn read(&mut self) -> Result<Rows> {
        let (mut rows, mut error) = (Vec::new(), None);
        loop {
            let mut head = [0; 5];
            self.0.read_exact(&mut head)?;
            let [kind, length @ ..] = head;
            let length = u32::from_be_bytes(length)
                .checked_sub(4)
                .ok_or_else(|| bad("length"))?;
            let mut body = vec![0; length as usize];
            self.0.read_exact(&mut body)?;
            match kind {
                b'Z' => return Ok(error.map_or(Ok(rows), Err)),
                b'E' => {
                    let field =
                        |name: &[u8]| body.split(|b| *b == 0).find_map(|f| f.strip_prefix(name));
                    let code = field(b"C").unwrap_or_default();
                    error = Some(String::from_utf8_lossy(code).into_owned());
                    self.1 = String::from_utf8_lossy(field(b"M").unwrap_or_default()).into_owned();
                }
                b'D' => rows.push(row(&body).ok_or_else(|| bad("row"))?),
                _ => {}
            }
        }
    }
}

fn row(body: &[u8]) -> Option<[String; 3]> {
    let mut rest = body.get(2..)?;
    let mut row = [const { String::new() }; 3];
    for column in &mut row {
        let (length, after) = rest.split_first_chunk()?;
        let length = u32::from_be_bytes(*length) as usize;
        *column = String::from_utf8(after.get(..length)?.to_vec()).ok()?;
        rest = after.get(length..)?;
    }
    Some(row)
}
