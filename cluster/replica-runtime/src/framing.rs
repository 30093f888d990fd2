//! Reads and writes frames on one connection, and defines the timeouts that all connections of
//! this package share.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use violetgate_memory_budget::{Charge, MemoryBudget, Purpose};

use crate::close_reason::CloseReason;
use crate::wire::{self, Decoded};

/// The maximum duration of an attempt to connect.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum duration of a hello, and of the answer to it.
pub(crate) const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// The time without progress in writing after which a connection is closed. Observers allow their
/// subscribers a longer time.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum time that a closed connection waits for the other side to read the last message and
/// close too.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of bytes from the other side that are discarded within [`LINGER_TIMEOUT`].
const MAX_SKIPPED_BYTES: usize = 1 << 20;
/// The maximum number of bytes per read.
const READ_BYTES: usize = 16 << 10;
/// The buffer capacity, in bytes, that a connection keeps when all its frames are decoded.
const IDLE_BUFFER_BYTES: usize = 4 << 10;

thread_local! {
    /// The read buffer that all connections of a thread share, so that an idle connection needs
    /// none of its own.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Fails with `reason` after `limit`. Combined with an operation by `or`, it limits the operation's
/// time.
pub(crate) async fn fail_after<T>(limit: Duration, reason: CloseReason) -> Result<T, CloseReason> {
    Timer::after(limit).await;
    Err(reason)
}

/// Connects within [`CONNECT_TIMEOUT`] and disables Nagle's algorithm.
pub(crate) async fn connect(
    address: std::net::SocketAddr,
) -> Result<Async<TcpStream>, CloseReason> {
    let connecting = async {
        let connected = Async::<TcpStream>::connect(address).await;
        connected.map_err(|_| CloseReason::ConnectFailed)
    };
    let timeout = fail_after(CONNECT_TIMEOUT, CloseReason::ConnectTimeout);
    let stream = connecting.or(timeout).await?;
    disable_nagle(&stream);
    Ok(stream)
}

/// Disables Nagle's algorithm, so that small frames are sent at once. An error is ignored, because
/// it only delays small frames.
pub(crate) fn disable_nagle(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().set_nodelay(true);
}

/// Reads frames from a connection.
#[derive(Default)]
pub(crate) struct FrameReader {
    bytes: Vec<u8>,
    /// The offset of the next frame in `bytes`.
    start: usize,
    /// The memory of `bytes`. `None` where frames are short.
    memory: Option<Charge>,
}

impl FrameReader {
    /// Creates a reader whose input is charged to `memory`.
    pub(crate) fn charged(memory: &MemoryBudget) -> Self {
        FrameReader {
            memory: Some(memory.empty_charge(Purpose::Control)),
            ..FrameReader::default()
        }
    }

    /// Returns the bytes that were read and not decoded yet.
    pub(crate) fn buffered(&self) -> &[u8] {
        self.bytes.get(self.start..).unwrap_or_default()
    }

    /// Decodes the next message from the buffer; `None` if its frame is not complete yet.
    pub(crate) fn next<T: DeserializeOwned>(
        &mut self,
        max_bytes: usize,
    ) -> Result<Option<Decoded<T>>, CloseReason> {
        let Some(decoded) = wire::decode_frame::<T>(self.buffered(), max_bytes)? else {
            self.bytes.drain(..self.start);
            self.start = 0;
            return Ok(None);
        };
        self.start += decoded.frame_bytes;
        if self.start >= self.bytes.len() {
            self.start = 0;
            self.bytes.clear();
            self.bytes.shrink_to(IDLE_BUFFER_BYTES);
            self.reduce_charge();
        }
        Ok(Some(decoded))
    }

    /// Waits for input and appends up to [`READ_BYTES`] to the buffer.
    pub(crate) async fn read_more(&mut self, stream: &Async<TcpStream>) -> Result<(), CloseReason> {
        self.charge_next_read()?;
        let bytes = &mut self.bytes;
        let read = stream.read_with(|mut stream| {
            READ_BUFFER.with(|buffer| {
                let mut buffer = buffer.borrow_mut();
                let count = stream.read(&mut buffer)?;
                bytes.extend_from_slice(buffer.get(..count).unwrap_or_default());
                Ok(count)
            })
        });
        match read.await {
            Ok(0) => Err(CloseReason::Closed),
            Ok(_) => Ok(()),
            Err(_) => Err(CloseReason::Reset),
        }
    }

    /// Charges the capacity that the buffer may have after the next read.
    fn charge_next_read(&self) -> Result<(), CloseReason> {
        let (needed, capacity) = (self.bytes.len() + READ_BYTES, self.bytes.capacity());
        let next_capacity = if needed > capacity {
            needed.max(capacity * 2)
        } else {
            capacity
        };
        // What a read of a small frame needs is not charged.
        let charged = next_capacity.saturating_sub(READ_BYTES);
        let memory = self.memory.as_ref();
        let charge = memory.map_or(Ok(()), |memory| memory.resize(charged));
        charge.map_err(|_| CloseReason::OutOfMemory)
    }

    fn reduce_charge(&self) {
        if let Some(memory) = &self.memory {
            // A smaller charge always fits.
            let charged = self.bytes.capacity().saturating_sub(READ_BYTES);
            let _ = memory.resize(charged);
        }
    }

    /// Reads until the next message is complete, and returns it.
    pub(crate) async fn read_message<T: DeserializeOwned>(
        &mut self,
        stream: &Async<TcpStream>,
        max_bytes: usize,
    ) -> Result<Decoded<T>, CloseReason> {
        loop {
            if let Some(decoded) = self.next(max_bytes)? {
                return Ok(decoded);
            }
            self.read_more(stream).await?;
        }
    }

    /// Reads a hello, or the answer to one, within [`HELLO_TIMEOUT`].
    pub(crate) async fn read_hello<T: DeserializeOwned>(
        &mut self,
        stream: &Async<TcpStream>,
    ) -> Result<T, CloseReason> {
        let reading = self.read_message(stream, wire::MAX_HELLO_BYTES);
        let timeout = fail_after(HELLO_TIMEOUT, CloseReason::HelloTimeout);
        let decoded = reading.or(timeout).await?;
        Ok(decoded.message)
    }
}

/// Writes some of the bytes and returns their number. Fails if none can be written within
/// `stall_timeout`.
pub(crate) async fn write_some(
    stream: &Async<TcpStream>,
    bytes: &[u8],
    stall_timeout: Duration,
) -> Result<usize, CloseReason> {
    let writing = async {
        let written = stream.write_with(|mut stream| stream.write(bytes)).await;
        written.map_err(|_| CloseReason::Reset)
    };
    let timeout = fail_after(stall_timeout, CloseReason::Stalled);
    writing.or(timeout).await
}

/// Writes all of the bytes. Fails if nothing can be written for [`STALL_TIMEOUT`].
pub(crate) async fn write_all(
    stream: &Async<TcpStream>,
    mut bytes: &[u8],
) -> Result<(), CloseReason> {
    while !bytes.is_empty() {
        let written = write_some(stream, bytes, STALL_TIMEOUT).await?;
        bytes = bytes.get(written..).unwrap_or_default();
    }
    Ok(())
}

/// Shuts down the write side of a connection and waits up to [`LINGER_TIMEOUT`] for the other side
/// to close it. Closing a socket with unread input resets the connection, and the last message
/// might be lost.
pub(crate) async fn linger(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let skipping = async {
        let mut skipped = 0;
        let mut buffer = [0; 512];
        while skipped < MAX_SKIPPED_BYTES {
            match stream
                .read_with(|mut stream| stream.read(&mut buffer))
                .await
            {
                Ok(0) | Err(_) => break,
                Ok(count) => skipped += count,
            }
        }
    };
    let timeout = async {
        Timer::after(LINGER_TIMEOUT).await;
    };
    skipping.or(timeout).await;
}
