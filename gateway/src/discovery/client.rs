//! The client of the event bus: connects, resumes from the last offset, and backs off while that
//! fails.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;
use violetgate_policy::interface::ListScope;

use super::engine_ids::EngineIds;
use super::events::{BusEvent, EventError, Topology};
use super::source::{DiscoverySource, EngineListSnapshot};
use crate::config::NameTable;
use crate::exchange::ListedEngine;
use crate::log;

/// The bus states its last offset each second. Without a complete line that shows the list to be
/// current for longer than this the session ends, however much trickles in. An engine's drain counts as announced while it stands in
/// the bus, received or not, and sends to that engine must end 2 s later: silence and a new
/// connection together have to take less than that.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_400);
/// How long a connection, and the request on it, may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause before a reconnect, doubled up to the longest at each one that brings nothing.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(320);
/// A line is one event; the complete list of a large fleet fits well.
const MAX_LINE_BYTES: usize = 1024 * 1024;
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Gets each update of the engine list.
pub type OnUpdate<'a> = &'a mut dyn FnMut(ListScope, &[ListedEngine]);

/// A step of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum Step {
    #[error("connect")]
    Connect,
    #[error("write")]
    Write,
    #[error("read")]
    Read,
}

/// Why a session with the bus ended; its text is the reason in the log.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum SessionEnd {
    #[error("{0}_timeout")]
    TimedOut(Step),
    #[error("{0}_error")]
    Failed(Step),
    /// The request was not taken in one write.
    #[error("write")]
    ShortWrite,
    #[error("closed")]
    Closed,
    /// No line for too long that shows the list to be current.
    #[error("silent")]
    Silent,
    /// A new configuration names another address.
    #[error("address_changed")]
    AddressChanged,
    /// The bus has events that never arrived.
    #[error("gap: bus is at {0}")]
    MissingEvents(u64),
    /// An event arrived, and the one before it did not.
    #[error("gap: event {0}")]
    SkippedTo(u64),
    /// A line that is no event.
    #[error("malformed: {0}")]
    Malformed(String),
}

impl SessionEnd {
    fn from_io(error: &io::Error, step: Step) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => SessionEnd::TimedOut(step),
            _ => SessionEnd::Failed(step),
        }
    }

    fn malformed(error: impl ToString) -> Self {
        SessionEnd::Malformed(error.to_string())
    }
}

/// What a line shows about the bus.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BusPosition {
    /// Nothing is missing here up to this line.
    Current,
    /// The bus is behind what is known here, so that events could be missing.
    Behind,
}

/// Follows the event bus.
pub struct DiscoveryClient {
    names: NameTable,
    /// The offset of the last event taken.
    pub(super) last_offset: u64,
    ids: Rc<EngineIds>,
    source: Rc<DiscoverySource>,
}

impl DiscoveryClient {
    /// Creates a client that knows no event yet.
    #[must_use]
    pub fn new(names: NameTable, ids: Rc<EngineIds>, source: Rc<DiscoverySource>) -> Self {
        DiscoveryClient {
            names,
            last_offset: 0,
            ids,
            source,
        }
    }

    /// Takes the events that the configuration holds, and the offset of the last of them. Events
    /// that can't be used are logged and left out.
    pub fn load_initial(&mut self, last_offset: u64, events: Vec<Value>, on_update: OnUpdate<'_>) {
        for event in events {
            let taken = BusEvent::deserialize(&event)
                .map_err(EventError::from)
                .and_then(|event| self.take_event(event, on_update));
            if let Err(error) = taken {
                log::write_line(format_args!(
                    "bus reason=malformed initial event skipped: {error}"
                ));
            }
        }
        self.last_offset = last_offset;
        self.source.record_event(last_offset, None);
    }

    /// Takes a stored list that was offered, if it is newer and the bus has said nothing yet.
    fn take_fallback(&mut self, on_update: OnUpdate<'_>) {
        let Some(list) = self.source.take_fallback() else {
            return;
        };
        if list.last_offset <= self.last_offset || self.source.has_received() {
            return;
        }
        let EngineListSnapshot {
            last_offset,
            engines,
        } = list;
        let topology = Topology {
            full: true,
            servers: engines.into_values().collect(),
        };
        let event = BusEvent {
            offset: last_offset,
            topology: Some(topology),
        };
        match self.take_event(event, on_update) {
            Ok(()) => {
                log::write_line(format_args!(
                    "bus is silent; the stored engine list is in use, from={} to={last_offset}",
                    self.last_offset
                ));
                self.last_offset = last_offset;
            }
            Err(error) => log::write_line(format_args!(
                "bus reason=malformed stored engine list skipped: {error}"
            )),
        }
    }

    /// Follows the bus for ever, under whatever address.
    pub async fn follow(mut self, on_update: OnUpdate<'_>) {
        let source = Rc::clone(&self.source);
        let mut backoff = MIN_BACKOFF;
        let mut last_end = None;
        loop {
            self.take_fallback(on_update);
            let from = self.last_offset;
            let addr = source.addr();
            let mut received = false;
            let moved = async {
                source.moved_from(addr).await;
                SessionEnd::AddressChanged
            };
            // What has been read is taken first; a line cut off by the move is requested again.
            let session = self.session(addr, on_update, &mut received);
            let end = session.or(moved).await;
            // An unreachable bus would fill the log: the same failure again is not logged.
            if received || last_end.as_ref() != Some(&end) {
                log::write_line(format_args!(
                    "bus {addr} ended reason={end} from={from} last={}",
                    self.last_offset
                ));
            }
            last_end = Some(end);
            backoff = if received {
                MIN_BACKOFF
            } else {
                (backoff * 2).min(MAX_BACKOFF)
            };
            if addr == source.addr() {
                pause(backoff).or(source.moved_from(addr)).await;
            }
        }
    }

    /// One connection to the bus, up to its end. `received` is set once a line was taken.
    async fn session(
        &mut self,
        addr: SocketAddr,
        on_update: OnUpdate<'_>,
        received: &mut bool,
    ) -> SessionEnd {
        let stream = match self.connect(addr).await {
            Ok(stream) => stream,
            Err(end) => return end,
        };
        let mut buffer = Vec::new();
        let mut chunk = vec![0u8; READ_CHUNK_BYTES];
        let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
        loop {
            let left = silent_at.saturating_duration_since(Instant::now());
            let read = stream.read_with(|mut socket| socket.read(&mut chunk));
            match read.or(time_out(left)).await {
                Ok(0) => return SessionEnd::Closed,
                Ok(size) => {
                    self.source.count_received(size);
                    buffer.extend_from_slice(chunk.get(..size).unwrap_or_default());
                }
                Err(error) => return SessionEnd::from_io(&error, Step::Read),
            }
            if let Err(end) = self.take_lines(&mut buffer, &mut silent_at, on_update, received) {
                return end;
            }
            // A bus that sends without end always has more to read: other tasks run in between.
            future::yield_now().await;
            if Instant::now() >= silent_at {
                return SessionEnd::Silent;
            }
        }
    }

    /// Connects, and requests the events after the last offset.
    async fn connect(&self, addr: SocketAddr) -> Result<Async<TcpStream>, SessionEnd> {
        let stream = Async::<TcpStream>::connect(addr)
            .or(time_out(CONNECT_TIMEOUT))
            .await
            .map_err(|error| SessionEnd::from_io(&error, Step::Connect))?;
        let request = format!("from {}\n", self.last_offset);
        // A few bytes on a fresh connection: the socket takes them at once or not at all.
        let written = stream
            .write_with(|mut socket| socket.write(request.as_bytes()))
            .or(time_out(CONNECT_TIMEOUT))
            .await
            .map_err(|error| SessionEnd::from_io(&error, Step::Write))?;
        if written != request.len() {
            return Err(SessionEnd::ShortWrite);
        }
        self.source.count_sent(written);
        Ok(stream)
    }

    /// Takes the complete lines off `buffer`.
    fn take_lines(
        &mut self,
        buffer: &mut Vec<u8>,
        silent_at: &mut Instant,
        on_update: OnUpdate<'_>,
        received: &mut bool,
    ) -> Result<(), SessionEnd> {
        let mut used = 0;
        while let Some(end) = memchr::memchr(b'\n', buffer.get(used..).unwrap_or_default()) {
            let line = buffer.get(used..used + end).unwrap_or_default();
            if self.take_line(line, on_update)? == BusPosition::Current {
                *silent_at = Instant::now() + SILENCE_TIMEOUT;
            }
            *received = true;
            self.source.set_received();
            used += end + 1;
        }
        buffer.drain(..used);
        if buffer.len() > MAX_LINE_BYTES {
            return Err(SessionEnd::malformed("line too long"));
        }
        Ok(())
    }

    /// Takes one line: an event, or the bus's last offset alone.
    pub(super) fn take_line(
        &mut self,
        line: &[u8],
        on_update: OnUpdate<'_>,
    ) -> Result<BusPosition, SessionEnd> {
        let value: Value = serde_json::from_slice(line).map_err(SessionEnd::malformed)?;
        if let Some(bus_offset) = value.as_u64() {
            return self.compare_offset(bus_offset);
        }
        let event = BusEvent::deserialize(&value).map_err(SessionEnd::malformed)?;
        let offset = event.offset;
        if offset <= self.last_offset {
            return Ok(BusPosition::Behind);
        }
        if offset > self.last_offset + 1 {
            return Err(SessionEnd::SkippedTo(offset));
        }
        self.take_event(event, on_update)
            .map_err(SessionEnd::malformed)?;
        self.last_offset = offset;
        Ok(BusPosition::Current)
    }

    fn compare_offset(&self, bus_offset: u64) -> Result<BusPosition, SessionEnd> {
        match bus_offset.cmp(&self.last_offset) {
            std::cmp::Ordering::Greater => Err(SessionEnd::MissingEvents(bus_offset)),
            std::cmp::Ordering::Equal => Ok(BusPosition::Current),
            std::cmp::Ordering::Less => Ok(BusPosition::Behind),
        }
    }

    fn take_event(&self, event: BusEvent, on_update: OnUpdate<'_>) -> Result<(), EventError> {
        let Some(topology) = event.topology else {
            self.source.record_event(event.offset, None);
            return Ok(());
        };
        let engines = topology.engines(&self.names, &self.ids)?;
        self.source.record_event(event.offset, Some(&topology));
        on_update(topology.scope(), &engines);
        Ok(())
    }
}

async fn pause(duration: Duration) {
    Timer::after(duration).await;
}

async fn time_out<T>(after: Duration) -> io::Result<T> {
    Timer::after(after).await;
    Err(io::ErrorKind::TimedOut.into())
}
