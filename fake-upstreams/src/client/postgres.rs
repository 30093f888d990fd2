//! A client of the PostgreSQL protocol that sends simple queries.

use std::io::{BufReader, Read, Result, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::invalid_data;

/// The startup message: protocol 3.0, user `app`, database `analytics`.
const STARTUP: &[u8] = b"\0\0\0\x25\0\x03\0\0user\0app\0database\0analytics\0\0";
/// Size of a message's length field, which is included in the length, in bytes.
const LENGTH_BYTES: u32 = 4;

/// The rows of a response, or the code of its error (SQLSTATE).
pub type Rows = std::result::Result<Vec<[String; 3]>, String>;

/// A session of a PostgreSQL client.
pub struct PostgresClient {
    stream: BufReader<TcpStream>,
    last_error: String,
}

impl PostgresClient {
    /// Starts a session over a connection, with a timeout for each read.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken or the server rejects the session.
    pub fn new(mut stream: TcpStream, read_timeout: Duration) -> Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(read_timeout))?;
        stream.write_all(STARTUP)?;
        let mut client = PostgresClient {
            stream: BufReader::new(stream),
            last_error: String::new(),
        };
        client.read()?.map_err(invalid_data)?;
        Ok(client)
    }

    /// Sends a simple query.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn send(&mut self, sql: &str) -> Result<()> {
        // The length includes its own field and the terminating zero byte.
        let length = sql.len() as u32 + LENGTH_BYTES + 1;
        let mut bytes = vec![b'Q'];
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(sql.as_bytes());
        bytes.push(0);
        self.stream.get_mut().write_all(&bytes)
    }

    /// Returns the message of the last error, or an empty string if there was none.
    #[must_use]
    pub fn error_text(&self) -> &str {
        &self.last_error
    }

    /// Reads a response up to ReadyForQuery.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken or the bytes violate the protocol.
    pub fn read(&mut self) -> Result<Rows> {
        let mut rows = Vec::new();
        let mut error_code = None;
        loop {
            let (kind, body) = self.read_message()?;
            match kind {
                b'Z' => return Ok(error_code.map_or(Ok(rows), Err)),
                b'E' => {
                    error_code = Some(error_field(&body, b"C"));
                    self.last_error = error_field(&body, b"M");
                }
                b'D' => rows.push(parse_row(&body).ok_or_else(|| invalid_data("row"))?),
                _ => {}
            }
        }
    }

    fn read_message(&mut self) -> Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        let [kind, length @ ..] = head;
        let length = u32::from_be_bytes(length)
            .checked_sub(LENGTH_BYTES)
            .ok_or_else(|| invalid_data("length"))?;
        let mut body = vec![0; length as usize];
        self.stream.read_exact(&mut body)?;
        Ok((kind, body))
    }
}

/// Returns the field of an ErrorResponse that has the given type letter, or an empty string.
fn error_field(body: &[u8], letter: &[u8]) -> String {
    let mut fields = body.split(|byte| *byte == 0);
    let value = fields.find_map(|field| field.strip_prefix(letter));
    String::from_utf8_lossy(value.unwrap_or_default()).into_owned()
}

fn parse_row(body: &[u8]) -> Option<[String; 3]> {
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
