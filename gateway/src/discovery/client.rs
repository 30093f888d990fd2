//! The client of the event bus. It connects, resumes from the last offset, and backs off while
//! connections fail or deliver nothing.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use serde::Deserialize;
use thiserror::Error;
use violetgate_memory_budget::{BudgetExhausted, Charge, MemoryBudget, Purpose};
use violetgate_policy::interface::{ListScope, Micros};

use super::engine_ids::EngineIds;
use super::events::{BusEvent, EventError};
use super::source::DiscoverySource;
use super::substitution::Substitution;
use crate::config::{InitialEvents, NameTable};
use crate::exchange::ListedEngine;
use crate::log;

/// The session ends if, during this time, no complete line has shown that the list is current, even
/// if other bytes arrive. The bus sends its last offset every second. The gateway must stop sending
/// to a draining engine within 2 s after the bus has the event, even if the gateway hasn't received
/// the event. So this timeout plus the time to connect again must be less than 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_400);
/// The maximum time to connect, and also the maximum time to send the request afterwards.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The minimum of the pause before a reconnect; [`MAX_BACKOFF`] is the maximum. The pause doubles
/// after each session that received no line, and returns to the minimum after one that did.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(320);
/// The maximum length of a line, which is one event. The complete engine list of a large fleet fits
/// easily.
const MAX_LINE_BYTES: usize = 1024 * 1024;
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// A callback for each update of the engine list: whether the update replaces the list, and the
/// engines in it.
pub type OnUpdate<'a> = &'a mut dyn FnMut(ListScope, &[ListedEngine]);

/// The I/O operation of a session that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum Step {
    #[error("connect")]
    Connect,
    #[error("write")]
    Write,
    #[error("read")]
    Read,
}

/// Why a session with the bus ended. Its text is the `reason` in the log.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(super) enum SessionEnd {
    #[error("{0}_timeout")]
    TimedOut(Step),
    #[error("{0}_error")]
    Failed(Step),
    /// The socket accepted only a part of the request.
    #[error("write")]
    ShortWrite,
    #[error("closed")]
    Closed,
    /// For [`SILENCE_TIMEOUT`], no line has shown that the list is current.
    #[error("silent")]
    Silent,
    /// A new configuration names another address.
    #[error("address_changed")]
    AddressChanged,
    /// The bus's last offset, which the variant contains, is higher than that of the last event
    /// received here.
    #[error("gap: bus is at {0}")]
    MissingEvents(u64),
    /// The event with this offset arrived, but not the one before it.
    #[error("gap: event {0}")]
    SkippedTo(u64),
    /// The line that is being received does not fit into the memory budget.
    #[error("out_of_memory")]
    OutOfMemory,
    /// A line is neither an offset nor an event that can be used.
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

/// What a line from the bus shows about the bus's last offset, relative to the last event known
/// here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BusPosition {
    /// With this line, this client has every event that the bus had when it sent the line.
    Current,
    /// The line has a lower offset than the last event known here, or repeats a known event. The
    /// bus may be behind, so new events may not be arriving.
    Behind,
}

/// Follows the event bus, and reports each update of the engine list.
pub struct DiscoveryClient {
    pub(super) names: NameTable,
    /// The offset of the last event that was applied. Offsets count from 1 at each start of this
    /// instance.
    pub(super) last_offset: u64,
    /// When the list of the configuration was current, in microseconds since the Unix epoch.
    pub(super) known_at: Micros,
    pub(super) ids: Rc<EngineIds>,
    pub(super) source: Rc<DiscoverySource>,
    memory: MemoryBudget,
    /// The stored list that is in use, if the own one is not.
    pub(super) substitution: Option<Substitution>,
}

impl DiscoveryClient {
    /// Creates a client that knows no event yet. Its input is charged to `memory`.
    #[must_use]
    pub fn new(
        names: NameTable,
        ids: Rc<EngineIds>,
        source: Rc<DiscoverySource>,
        memory: MemoryBudget,
    ) -> Self {
        DiscoveryClient {
            names,
            last_offset: 0,
            known_at: 0,
            ids,
            source,
            memory,
            substitution: None,
        }
    }

    /// Applies the events that the configuration contains, and continues from `last_offset`, the
    /// offset of the last of them. Events that can't be used are logged and skipped. `known_at` is
    /// the time of the start, in microseconds since the Unix epoch.
    pub fn load_initial(
        &mut self,
        known_at: Micros,
        initial: InitialEvents,
        on_update: OnUpdate<'_>,
    ) {
        let InitialEvents {
            last_offset,
            events,
        } = initial;
        self.known_at = known_at;
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

    /// Follows the bus forever, also when its address changes.
    pub async fn follow(mut self, on_update: OnUpdate<'_>) {
        let source = Rc::clone(&self.source);
        let mut backoff = MIN_BACKOFF;
        let mut last_end = None;
        loop {
            self.take_stored_list(on_update);
            let from = self.last_offset;
            let addr = source.addr();
            let mut received = false;
            let moved = async {
                source.moved_from(addr).await;
                SessionEnd::AddressChanged
            };
            // The session is polled first, so that what can be read is applied before a change of
            // address ends it. If it ends within a line, the next session requests that event
            // again.
            let session = self.session(addr, on_update, &mut received);
            let end = session.or(moved).await;
            // A repeated failure is logged once, so that an unreachable bus doesn't fill the log.
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

    /// Runs one connection to the bus until it ends. Sets `received` once a line was accepted.
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
        let buffer_memory = self.memory.empty_charge(Purpose::Control);
        let mut chunk = vec![0u8; READ_CHUNK_BYTES];
        let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
        loop {
            let left = silent_at.saturating_duration_since(Instant::now());
            let read = stream.read_with(|mut socket| socket.read(&mut chunk));
            match read.or(time_out(left)).await {
                Ok(0) => return SessionEnd::Closed,
                Ok(size) => {
                    self.source.count_received(size);
                    let bytes = chunk.get(..size).unwrap_or_default();
                    if append(&mut buffer, bytes, &buffer_memory).is_err() {
                        return SessionEnd::OutOfMemory;
                    }
                }
                Err(error) => return SessionEnd::from_io(&error, Step::Read),
            }
            if let Err(end) = self.take_lines(&mut buffer, &mut silent_at, on_update, received) {
                return end;
            }
            // A smaller charge always fits.
            let _ = buffer_memory.resize(buffer.capacity());
            // If the bus sends without a pause, reads never wait. Let other tasks run in between.
            future::yield_now().await;
            if Instant::now() >= silent_at {
                return SessionEnd::Silent;
            }
        }
    }

    /// Connects to the bus, and requests the events after the last offset.
    async fn connect(&self, addr: SocketAddr) -> Result<Async<TcpStream>, SessionEnd> {
        let stream = Async::<TcpStream>::connect(addr)
            .or(time_out(CONNECT_TIMEOUT))
            .await
            .map_err(|error| SessionEnd::from_io(&error, Step::Connect))?;
        let request = format!("from {}\n", self.last_offset);
        // The send buffer of a new connection has room for these few bytes, so one write is enough.
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

    /// Removes the complete lines from `buffer` and handles them. Once any line was handled, the own
    /// list is in use.
    pub(super) fn take_lines(
        &mut self,
        buffer: &mut Vec<u8>,
        silent_at: &mut Instant,
        on_update: OnUpdate<'_>,
        received: &mut bool,
    ) -> Result<(), SessionEnd> {
        let taken = self.take_complete_lines(buffer, silent_at, on_update, received);
        if *received {
            self.use_own_list(on_update);
            self.source.set_received();
        }
        taken
    }

    fn take_complete_lines(
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
                self.source.set_confirmed();
            }
            *received = true;
            used += end + 1;
        }
        buffer.drain(..used);
        if buffer.is_empty() {
            *buffer = Vec::new();
        }
        if buffer.len() > MAX_LINE_BYTES {
            return Err(SessionEnd::malformed("line too long"));
        }
        Ok(())
    }

    /// Handles one line: an event, or the bus's last offset as a heartbeat.
    pub(super) fn take_line(
        &mut self,
        line: &[u8],
        on_update: OnUpdate<'_>,
    ) -> Result<BusPosition, SessionEnd> {
        if let Ok(bus_offset) = serde_json::from_slice(line) {
            return self.compare_offset(bus_offset);
        }
        let event: BusEvent = serde_json::from_slice(line).map_err(SessionEnd::malformed)?;
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
        if !self.only_records_events() {
            on_update(topology.scope(), &engines);
        }
        Ok(())
    }
}

/// Appends bytes to the buffer of a session, whose capacity is charged.
fn append(buffer: &mut Vec<u8>, bytes: &[u8], memory: &Charge) -> Result<(), BudgetExhausted> {
    let needed = buffer.len() + bytes.len();
    if needed > buffer.capacity() {
        let capacity = needed.max((buffer.capacity() * 2).min(MAX_LINE_BYTES));
        memory.resize(capacity)?;
        buffer.reserve_exact(capacity - buffer.len());
    }
    buffer.extend_from_slice(bytes);
    Ok(())
}

async fn pause(duration: Duration) {
    Timer::after(duration).await;
}

async fn time_out<T>(after: Duration) -> io::Result<T> {
    Timer::after(after).await;
    Err(io::ErrorKind::TimedOut.into())
}
