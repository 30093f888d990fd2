//! A blocking HTTP/1.1 client.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

use super::invalid_data;

/// The status of an interim response, which has no body.
const CONTINUE: u16 = 100;
/// The status of an interim response that asks nothing of the client.
const PROCESSING: u16 = 102;

/// An HTTP response, read to its end.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The values of the headers by their names in lower case.
    pub headers: HashMap<String, String>,
    /// The body; empty for a response to HEAD and for an interim response.
    pub body: Vec<u8>,
}

impl Reply {
    /// Parses the body as JSON; returns null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the part after the last colon of a problem's `type` (RFC 9457), or an empty string
    /// if the body is not a problem.
    #[must_use]
    pub fn problem_type(&self) -> String {
        let json = self.json();
        let problem_type = json["type"].as_str();
        problem_type
            .and_then(|name| name.rsplit(':').next())
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the rows of a result page.
    ///
    /// # Panics
    ///
    /// If the response is not a result page.
    #[must_use]
    pub fn rows(&self) -> Vec<[String; 3]> {
        assert_eq!(self.status, 200, "{}", self.body.escape_ascii());
        serde_json::from_value(self.json()["rows"].clone()).expect("rows of three columns")
    }

    /// Returns the path of the next page, or `None` on the last page.
    #[must_use]
    pub fn next(&self) -> Option<String> {
        self.json()["next"].as_str().map(str::to_owned)
    }
}

/// One connection of an HTTP client.
pub struct HttpClient {
    /// The socket, for tests that write raw bytes or set timeouts.
    pub stream: BufReader<TcpStream>,
    /// Whether the last request was a HEAD, whose response has no body.
    last_was_head: bool,
}

impl HttpClient {
    /// Creates a client that uses a connection, with a timeout for each read.
    ///
    /// # Errors
    ///
    /// Fails if the socket options can't be set.
    pub fn new(stream: TcpStream, read_timeout: Duration) -> Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(read_timeout))?;
        Ok(HttpClient {
            stream: BufReader::new(stream),
            last_was_head: false,
        })
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
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
        self.last_was_head = method == "HEAD";
        self.stream
            .get_mut()
            .write_all(&[head.as_bytes(), b"\r\n", body].concat())
    }

    /// Sends a query to the REST interface, with an idempotency key if `key` is given.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn send_query(&mut self, query: &Value, key: Option<&str>) -> Result<()> {
        let headers: Vec<_> = key.iter().map(|key| ("idempotency-key", *key)).collect();
        let body = query.to_string();
        self.send("POST", "/v1/queries", &headers, body.as_bytes())
    }

    /// Sends a GET request and reads its response.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::read`] does.
    pub fn get(&mut self, path: &str) -> Result<Reply> {
        self.send("GET", path, &[], b"")?;
        self.read()
    }

    /// Reads the next response, and skips interim ones (102) before it.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken or the bytes are not an HTTP response.
    pub fn read(&mut self) -> Result<Reply> {
        let mut status = self.read_status()?;
        let mut headers = self.read_headers()?;
        while status == PROCESSING {
            status = self.read_status()?;
            headers = self.read_headers()?;
        }
        let length = headers.get("content-length");
        let length: usize = length.map_or(Ok(0), |n| n.parse()).map_err(invalid_data)?;
        let has_no_body = self.last_was_head || status == CONTINUE;
        let mut body = vec![0; if has_no_body { 0 } else { length }];
        self.stream.read_exact(&mut body)?;
        Ok(Reply {
            status,
            headers,
            body,
        })
    }

    fn read_status(&mut self) -> Result<u16> {
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let status = line.split(' ').nth(1);
        status
            .and_then(|status| status.parse().ok())
            .ok_or_else(|| invalid_data(&line))
    }

    fn read_headers(&mut self) -> Result<HashMap<String, String>> {
        let mut headers = HashMap::new();
        loop {
            let mut line = String::new();
            self.stream.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(": ") else {
                return Ok(headers);
            };
            headers.insert(name.to_ascii_lowercase(), value.to_owned());
        }
    }

    /// Returns whether the server has closed the connection without sending anything more.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0; 64]), Ok(0) | Err(_))
    }
}
