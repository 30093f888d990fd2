//! The tasks of a connection. One task connects and reads; a second one runs while the socket's
//! send buffer is full, and writes when the socket is ready again.

use std::future::pending;
use std::io::{self, Read};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};

use super::super::close_reason::CloseReason;
use super::super::connection::{Connection, UpstreamEvent};
use super::Pool;

/// The maximum time from the first part of an answer to its end. Engines write an answer without
/// waiting for anything, but may be paused for half a second. If an answer takes longer, the
/// connection is closed, because no later answer can be read from it.
const ANSWER_REST_TIMEOUT: Duration = Duration::from_millis(600);
const READ_CHUNK_BYTES: usize = 16 * 1024;

impl Pool {
    /// Writes as much as the socket accepts. Before that, if the connection is established, cancels
    /// the attempts that have not begun: all of them if the fence is closed, else those whose
    /// `begin_by` has passed.
    fn write(&self, connection: &Connection) -> Result<(), CloseReason> {
        let now = self.now();
        if connection.is_connected() {
            let ends = if self.may_send() {
                connection.take_late(now)
            } else {
                connection.take_unwritten()
            };
            self.report_ends(ends);
        }
        connection.flush(now)
    }

    /// Writes as much as the socket accepts, and starts the writer task if some of it remains.
    /// Closes the connection on an error.
    pub(super) fn flush(&self, connection: &Rc<Connection>) {
        let was_blocked = connection.is_blocked.get();
        if let Err(reason) = self.write(connection) {
            self.close(connection, reason);
        } else if connection.is_blocked.get() && !was_blocked {
            // A separate task waits until the socket is writable, so that the caller can go on to
            // other engines.
            if let Some(pool) = self.this.upgrade() {
                let writer = pool.write_when_writable(Rc::clone(connection));
                self.executor.spawn(writer).detach();
            }
        }
    }

    async fn write_when_writable(self: Rc<Self>, connection: Rc<Connection>) {
        let Some(stream) = connection.stream() else {
            return;
        };
        while connection.is_blocked.get() && !connection.has_ended.get() {
            if stream.writable().await.is_err() {
                break;
            }
            if let Err(reason) = self.write(&connection) {
                self.close(&connection, reason);
            }
        }
    }

    /// Connects, then reads answers until the connection ends.
    pub(super) async fn drive(self: Rc<Self>, connection: Rc<Connection>) {
        let stream = match self.connect(&connection).await {
            Ok(stream) => Rc::new(stream),
            Err(reason) => return self.close(&connection, reason),
        };
        if connection.has_ended.get() {
            return;
        }
        let _ = stream.get_ref().set_nodelay(true);
        connection.set_connected(Rc::clone(&stream));
        self.flush(&connection);
        if let Err(reason) = self.read_answers(&connection, &stream).await {
            self.close(&connection, reason);
        }
    }

    async fn connect(&self, connection: &Connection) -> Result<Async<TcpStream>, CloseReason> {
        let stream = Async::<TcpStream>::connect(connection.addr)
            .or(time_out_after(self.limits.connect_timeout))
            .await;
        stream.map_err(|error| match error.kind() {
            io::ErrorKind::TimedOut => CloseReason::ConnectTimeout,
            io::ErrorKind::ConnectionRefused => CloseReason::ConnectRefused,
            _ => CloseReason::ConnectError,
        })
    }

    /// Reads answers until another task ends the connection.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the caller has to close the connection.
    async fn read_answers(
        &self,
        connection: &Rc<Connection>,
        stream: &Async<TcpStream>,
    ) -> Result<(), CloseReason> {
        let mut buffer = Vec::new();
        // The time by which the rest of a partly received answer has to arrive.
        let mut rest_due = None;
        while !connection.has_ended.get() {
            match read(stream, &mut buffer).or(time_out_at(rest_due)).await {
                Ok(0) => return Err(CloseReason::Closed),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    return Err(CloseReason::IncompleteAnswer);
                }
                Err(_) => return Err(CloseReason::Reset),
            }
            let used = self.take_answers(connection, &buffer)?;
            buffer.drain(..used);
            if buffer.is_empty() {
                (rest_due, buffer) = (None, Vec::new());
            } else if used > 0 || rest_due.is_none() {
                rest_due = Some(Instant::now() + ANSWER_REST_TIMEOUT);
            }
            // Lets other tasks run even if an engine sends without pause.
            future::yield_now().await;
            if !connection.has_ended.get() {
                self.flush(connection);
            }
        }
        Ok(())
    }

    /// Handles the complete answers at the start of `buffer`, and returns their size in bytes.
    fn take_answers(&self, connection: &Connection, buffer: &[u8]) -> Result<usize, CloseReason> {
        let mut used = 0;
        while !connection.has_ended.get() {
            match connection.next_event(buffer, &mut used, self.now())? {
                Some(UpstreamEvent::Ended(end)) => self.report_ends(vec![end]),
                Some(UpstreamEvent::Progressed(progress)) => self.report_progress(progress),
                None => break,
            }
        }
        Ok(used)
    }
}

/// Reads once and appends to `buffer`. Returns the number of bytes read, 0 at the end of the
/// stream.
async fn read(stream: &Async<TcpStream>, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0u8; READ_CHUNK_BYTES];
    let size = stream
        .read_with(|mut socket| socket.read(&mut chunk))
        .await?;
    buffer.extend_from_slice(chunk.get(..size).unwrap_or_default());
    Ok(size)
}

async fn time_out_after<T>(duration: Duration) -> io::Result<T> {
    Timer::after(duration).await;
    Err(io::ErrorKind::TimedOut.into())
}

/// Fails with `TimedOut` at the given time. `None`: never completes.
async fn time_out_at<T>(at: Option<Instant>) -> io::Result<T> {
    match at {
        Some(at) => Timer::at(at).await,
        None => pending().await,
    };
    Err(io::ErrorKind::TimedOut.into())
}
