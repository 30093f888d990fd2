//! Reads from the socket of a client and writes to it.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use super::super::codec;
use super::super::session_end::SessionEnd;
use super::Session;
use crate::net;

/// How long a client may accept no byte of an answer before the session ends.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// While a request is open, nothing more is read once this much input is buffered.
pub(in crate::postgres) const READ_AHEAD_BYTES: usize = 16 * 1024;
pub(super) const READ_CHUNK_BYTES: usize = 4096;
/// Capacity to which the output buffer is reduced after a write.
const OUTPUT_BUFFER_BYTES: usize = 8 * 1024;

impl Session<'_> {
    pub(super) fn take_input(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
        self.read_at = self.sessions.sink.now();
    }

    pub(super) fn may_read_ahead(&self) -> bool {
        self.input.len() < READ_AHEAD_BYTES && !self.input_ended
    }

    /// Returns whether the client may still wait for an answer. Must not be called while a message
    /// to the client is written in part.
    pub(super) async fn is_client_waiting(&self) -> bool {
        self.may_read_ahead() || net::is_waiting(&self.stream, Some(codec::PARAMETER_STATUS)).await
    }

    /// Waits for input and reads one chunk.
    pub(super) async fn read(&mut self) -> Result<(), SessionEnd> {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        let read = self.stream.read_with(|mut socket| socket.read(&mut chunk));
        match read.await {
            Ok(0) => Err(SessionEnd::Closed),
            Ok(size) => {
                self.take_input(chunk.get(..size).unwrap_or_default());
                Ok(())
            }
            Err(_) => Err(SessionEnd::Reset),
        }
    }

    /// Reads the input that has already arrived, up to the read-ahead limit, without waiting.
    ///
    /// Fails if the connection was reset.
    pub(super) fn read_ahead(&mut self) -> Result<(), SessionEnd> {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        while self.may_read_ahead() {
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => self.input_ended = true,
                Ok(size) => self.take_input(chunk.get(..size).unwrap_or_default()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(SessionEnd::Reset),
            }
        }
        Ok(())
    }

    /// Writes the whole output buffer and clears it.
    pub(super) async fn write(&mut self) -> Result<(), SessionEnd> {
        let mut sent = 0;
        while let Some(rest) = self.output.get(sent..).filter(|rest| !rest.is_empty()) {
            let timeout = async {
                Timer::after(WRITE_TIMEOUT).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let written = self.stream.write_with(|mut socket| socket.write(rest));
            match written.or(timeout).await {
                Ok(size) if size > 0 => sent += size,
                Err(error) if error.kind() == ErrorKind::TimedOut => {
                    return Err(SessionEnd::Stalled);
                }
                _ => return Err(SessionEnd::Reset),
            }
        }
        self.output.clear();
        self.output.shrink_to(OUTPUT_BUFFER_BYTES);
        Ok(())
    }
}
