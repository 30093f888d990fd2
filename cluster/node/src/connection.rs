//! Frames on one connection, with the time limits that all connections of this package share.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;

use crate::wire;

/// How long a connection may take to come up, and a greeting to be answered.
pub(crate) const CONNECT: Duration = Duration::from_millis(500);
pub(crate) const GREET: Duration = Duration::from_secs(2);
/// How long the other side may take nothing.
pub(crate) const STALLED: Duration = Duration::from_secs(5);
/// Bytes that are read at a time.
const CHUNK: usize = 16 << 10;
/// Bytes of memory that a connection keeps between two frames.
const KEPT: usize = 4 << 10;

thread_local! {
    /// What is read goes through one buffer, so that a connection that rests holds none.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; CHUNK]);
}

/// Fails with `reason` after a while.
pub(crate) async fn late<T>(reason: &'static str, after: Duration) -> Result<T, &'static str> {
    Timer::after(after).await;
    Err(reason)
}

/// What was read from a connection and is not a whole frame yet.
#[derive(Default)]
pub(crate) struct Input {
    bytes: Vec<u8>,
    /// Where the next frame begins.
    start: usize,
}

impl Input {
    /// The next frame, if it is whole.
    pub(crate) fn take<T: DeserializeOwned>(&mut self, longest: usize) -> Result<Option<T>, &'static str> {
        let rest = self.bytes.get(self.start..).unwrap_or_default();
        let Some((value, size)) = wire::take(rest, longest)? else {
            self.bytes.drain(..self.start);
            self.start = 0;
            return Ok(None);
        };
        self.start += size;
        if self.start >= self.bytes.len() {
            self.start = 0;
            self.bytes.clear();
            // What a long frame took is given back: a connection that rests holds little.
            self.bytes.shrink_to(KEPT);
        }
        Ok(Some(value))
    }

    /// Reads some bytes more; how many.
    pub(crate) async fn read(&mut self, stream: &Async<TcpStream>) -> Result<usize, &'static str> {
        let bytes = &mut self.bytes;
        let read = stream.read_with(|mut s| {
            SCRATCH.with(|scratch| {
                let mut scratch = scratch.borrow_mut();
                let n = s.read(&mut scratch)?;
                bytes.extend_from_slice(scratch.get(..n).unwrap_or_default());
                Ok(n)
            })
        });
        match read.await {
            Ok(0) => Err("closed"),
            Ok(n) => Ok(n),
            Err(_) => Err("reset"),
        }
    }
}

/// Reads until a frame is whole.
pub(crate) async fn frame<T: DeserializeOwned>(
    stream: &Async<TcpStream>,
    input: &mut Input,
    longest: usize,
) -> Result<T, &'static str> {
    loop {
        if let Some(value) = input.take(longest)? {
            return Ok(value);
        }
        input.read(stream).await?;
    }
}

/// Writes all of it.
pub(crate) async fn write(stream: &Async<TcpStream>, mut bytes: &[u8]) -> Result<(), &'static str> {
    while !bytes.is_empty() {
        let some = async { stream.write_with(|mut s| s.write(bytes)).await.map_err(|_| "reset") };
        let n = some.or(late("stalled", STALLED)).await?;
        bytes = bytes.get(n..).unwrap_or_default();
    }
    Ok(())
}
