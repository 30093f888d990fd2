//! A read buffer that all connections share, so that an idle connection needs none of its own.

use std::cell::RefCell;
use std::io::{self, Read};
use std::net::TcpStream;

const SHARED_BUFFER_BYTES: usize = 16 * 1024;

thread_local! {
    static SHARED_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; SHARED_BUFFER_BYTES]);
}

/// Reads up to `max_bytes`, and at most the size of the shared buffer, without waiting. Calls `take`
/// with what was read, unless the stream has ended, and returns its size; 0 at the end of the
/// stream. `take` must not read from another connection.
///
/// # Errors
///
/// Returns the error of the read, or that of `take`.
pub fn read_shared<E: Into<io::Error>>(
    mut stream: &TcpStream,
    max_bytes: usize,
    take: impl FnOnce(&[u8]) -> Result<(), E>,
) -> io::Result<usize> {
    SHARED_BUFFER.with_borrow_mut(|buffer| {
        let end = max_bytes.min(buffer.len());
        let size = stream.read(buffer.get_mut(..end).unwrap_or_default())?;
        if size > 0 {
            take(buffer.get(..size).unwrap_or_default()).map_err(Into::into)?;
        }
        Ok(size)
    })
}
