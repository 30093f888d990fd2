//! Frames on one connection, with the time limits that all connections of this package share.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
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
/// How long the other side may take to see why its connection ends, and how much of what it says is passed over.
const LINGER: Duration = Duration::from_millis(500);
const MOST_PASSED_OVER: usize = 1 << 20;
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
    /// What was read and not taken.
    pub(crate) fn rest(&self) -> &[u8] {
        self.bytes.get(self.start..).unwrap_or_default()
    }

    /// The next frame and its size, if it is whole.
    pub(crate) fn take<T: DeserializeOwned>(
        &mut self,
        longest: usize,
    ) -> Result<Option<(T, usize)>, &'static str> {
        let Some((value, size)) = wire::take(self.rest(), longest)? else {
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
        Ok(Some((value, size)))
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
    sized_frame(stream, input, longest)
        .await
        .map(|(value, _)| value)
}

/// Reads until a frame is whole; its size, too.
pub(crate) async fn sized_frame<T: DeserializeOwned>(
    stream: &Async<TcpStream>,
    input: &mut Input,
    longest: usize,
) -> Result<(T, usize), &'static str> {
    loop {
        if let Some(read) = input.take(longest)? {
            return Ok(read);
        }
        input.read(stream).await?;
    }
}

/// Writes all of it.
pub(crate) async fn write(stream: &Async<TcpStream>, mut bytes: &[u8]) -> Result<(), &'static str> {
    while !bytes.is_empty() {
        let some = async {
            stream
                .write_with(|mut s| s.write(bytes))
                .await
                .map_err(|_| "reset")
        };
        let n = some.or(late("stalled", STALLED)).await?;
        bytes = bytes.get(n..).unwrap_or_default();
    }
    Ok(())
}

/// Ends this side of a connection and waits shortly for the other one, so that what was written last is not lost in a
/// reset over something that was not read.
pub(crate) async fn linger(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let drained = async {
        let mut passed = 0;
        let mut scratch = [0; 512];
        while passed < MOST_PASSED_OVER {
            match stream.read_with(|mut s| s.read(&mut scratch)).await {
                Ok(0) | Err(_) => break,
                Ok(n) => passed += n,
            }
        }
        Ok(())
    };
    let _ = drained.or(late("lingered", LINGER)).await;
}
