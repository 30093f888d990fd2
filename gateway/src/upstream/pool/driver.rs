//! The tasks of a connection. One task connects and reads; a second one runs while the socket's
//! send buffer is full, and writes when the socket is ready again.

use std::future::pending;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};

use super::super::close_reason::CloseReason;
use super::super::connection::{Connection, UpstreamEvent};
use super::answer_input::AnswerInput;
use super::Pool;

/// The maximum time from the first part of an answer to its end. Engines write an answer without
/// waiting for anything, but may be paused for half a second. If an answer takes longer, the
/// connection is closed, because no later answer can be read from it.
const ANSWER_REST_TIMEOUT: Duration = Duration::from_millis(600);
/// How often an answer that does not fit into the memory budget is tried again.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

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
        let mut input = AnswerInput::new(&self.memory);
        // The time by which the rest of a partly received answer has to arrive.
        let mut rest_due = None;
        while !connection.has_ended.get() {
            match input.read(stream).or(time_out_at(rest_due)).await {
                Ok(0) => return Err(CloseReason::Closed),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    return Err(CloseReason::IncompleteAnswer);
                }
                Err(_) => return Err(CloseReason::Reset),
            }
            let used = self.take_all_answers(connection, &mut input).await?;
            if input.is_empty() {
                rest_due = None;
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

    /// Handles the complete answers in `input` and removes them. Returns their size in bytes. An
    /// answer that does not fit into the memory budget waits until it does.
    async fn take_all_answers(
        &self,
        connection: &Connection,
        input: &mut AnswerInput,
    ) -> Result<usize, CloseReason> {
        let mut all_used = 0;
        loop {
            let release = self.memory.next_release();
            let TakenAnswers { used, outcome } = self.take_answers(connection, input.bytes())?;
            input.discard_front(used);
            all_used += used;
            if outcome == TakeOutcome::Done {
                return Ok(all_used);
            }
            release.or(retry_pause()).await;
        }
    }

    /// Handles complete answers at the start of `bytes`.
    fn take_answers(
        &self,
        connection: &Connection,
        bytes: &[u8],
    ) -> Result<TakenAnswers, CloseReason> {
        let mut used = 0;
        let mut outcome = TakeOutcome::Done;
        while !connection.has_ended.get() {
            match connection.next_event(bytes, &mut used, self.now())? {
                Some(UpstreamEvent::Ended(end)) => self.report_ends(vec![end]),
                Some(UpstreamEvent::Progressed(progress)) => self.report_progress(progress),
                Some(UpstreamEvent::OutOfMemory) => {
                    outcome = TakeOutcome::OutOfMemory;
                    break;
                }
                None => break,
            }
        }
        Ok(TakenAnswers { used, outcome })
    }
}

/// Whether all complete answers were handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TakeOutcome {
    /// All were handled.
    Done,
    /// The next one does not fit into the memory budget now.
    OutOfMemory,
}

/// The answers that were handled.
struct TakenAnswers {
    /// Their size in bytes.
    used: usize,
    outcome: TakeOutcome,
}

/// Memory may also be released without a notice, for example when the limit is raised.
async fn retry_pause() {
    Timer::after(MEMORY_RETRY_INTERVAL).await;
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
