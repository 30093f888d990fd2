//! Reads from the socket of a client and writes to it.

use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use super::super::codec;
use super::super::session_end::SessionEnd;
use super::Session;
use crate::connection_limit::{InputBuffer, MEMORY_LIMIT};
use crate::net;

/// How long a client may accept no byte of an answer before the session ends.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// While a request is open, nothing more is read once this much input is buffered.
pub(in crate::postgres) const READ_AHEAD_BYTES: usize = 16 * 1024;
const READ_CHUNK_BYTES: usize = 4096;
/// Capacity to which the output buffer is reduced after a write.
const OUTPUT_BUFFER_BYTES: usize = 512;

impl Session<'_> {
    /// Whether input behind the open request may be read.
    pub(super) fn may_read_ahead(&self) -> bool {
        !self.input_ended
            && self.slot.input.len() < READ_AHEAD_BYTES
            && self.slot.input.has_spare_memory(READ_CHUNK_BYTES)
    }

    /// Returns whether the client may still wait for an answer. Must not be called while a message
    /// to the client is written in part.
    pub(super) async fn is_client_waiting(&self) -> bool {
        self.may_read_ahead() || net::is_waiting(&self.stream, Some(codec::PARAMETER_STATUS)).await
    }

    /// Waits for input and reads one chunk.
    pub(super) async fn read(&mut self) -> Result<(), SessionEnd> {
        let input = &self.slot.input;
        let read = self.stream.read_with(|stream| read_chunk(stream, input));
        match read.await {
            Ok(0) => Err(SessionEnd::Closed),
            Ok(_) => {
                self.read_at = self.sessions.sink.now();
                Ok(())
            }
            Err(error) => Err(read_failure(&error)),
        }
    }

    /// Reads the input that has already arrived, up to the read-ahead limit, without waiting.
    ///
    /// Fails if the connection was reset.
    pub(super) fn read_ahead(&mut self) -> Result<(), SessionEnd> {
        while self.may_read_ahead() {
            match read_chunk(self.stream.get_ref(), &self.slot.input) {
                Ok(0) => self.input_ended = true,
                Ok(_) => self.read_at = self.sessions.sink.now(),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(read_failure(&error)),
            }
        }
        Ok(())
    }

    /// Writes the whole output buffer and clears it.
    pub(super) async fn write(&mut self) -> Result<(), SessionEnd> {
        let mut sent = 0;
        while let Some(rest) = self.output.get(sent..).filter(|rest| !rest.is_empty()) {
            sent += self.write_some(rest).await?;
        }
        self.output.clear();
        self.output.shrink_to(OUTPUT_BUFFER_BYTES);
        Ok(())
    }

    /// Writes at least one of `bytes`, and returns how many were written.
    async fn write_some(&self, bytes: &[u8]) -> Result<usize, SessionEnd> {
        loop {
            match self.stream.get_ref().write(bytes) {
                Ok(size) if size > 0 => return Ok(size),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let blocked_since = self.sessions.sink.now();
                    self.slot.set_answer_blocked(Some(blocked_since));
                    let writable = self.wait_until_writable().await;
                    self.slot.set_answer_blocked(None);
                    writable?;
                }
                _ => return Err(SessionEnd::Reset),
            }
        }
    }

    /// Fails if the client accepts nothing for too long, or if the memory of the answer is reclaimed.
    async fn wait_until_writable(&self) -> Result<(), SessionEnd> {
        let writable = async {
            let writable = self.stream.writable().await;
            writable.map_err(|_| SessionEnd::Reset)
        };
        let timeout = async {
            Timer::after(WRITE_TIMEOUT).await;
            Err(SessionEnd::Stalled)
        };
        let memory_reclaimed = async {
            self.slot.memory_reclaimed().await;
            Err(SessionEnd::Requested(MEMORY_LIMIT))
        };
        writable.or(memory_reclaimed).or(timeout).await
    }
}

/// Reads one chunk that has arrived, and returns its size; 0 at the end of the stream. Fails with
/// `OutOfMemory` if the input does not fit into the memory budget.
fn read_chunk(stream: &TcpStream, input: &InputBuffer) -> io::Result<usize> {
    net::read_shared(stream, READ_CHUNK_BYTES, |bytes| {
        let message_size = input.with(codec::message_size).unwrap_or(usize::MAX);
        let appended = input.append(bytes, message_size);
        appended.map_err(|_| ErrorKind::OutOfMemory)
    })
}

fn read_failure(error: &io::Error) -> SessionEnd {
    match error.kind() {
        ErrorKind::OutOfMemory => SessionEnd::Requested(MEMORY_LIMIT),
        _ => SessionEnd::Reset,
    }
}
