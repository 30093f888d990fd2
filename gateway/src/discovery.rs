//! The event bus: numbered news of the engine list, followed for ever from the last number that is held.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::future::poll_fn;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use serde::Deserialize;
use serde_json::Value;
use violetgate_policy::interface::{Engine, EngineId, EngineState, ListScope};

use crate::config::NameTable;
use crate::exchange::ListedEngine;
use crate::log;

/// The bus says its last number each second; no whole line that is of use for longer than this is a break, however much
/// trickles in. News count as told while they stand in the bus, heard or not, and sends to an engine that drains must end
/// 2 s later: silence and a new connection together have to take less than that.
const SILENCE: Duration = Duration::from_millis(1_400);
const CONNECT: Duration = Duration::from_millis(400);
/// The pause before a reconnect, doubled up to the last at each one that brings nothing.
const PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(320);
/// A line is one event; the whole list of a large fleet fits well.
const MAX_LINE: usize = 1024 * 1024;

#[derive(Deserialize)]
struct Happening {
    offset: u64,
    topology: Option<Topology>,
}

#[derive(Deserialize)]
struct Topology {
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<Value>,
}

#[derive(Deserialize)]
struct Server {
    id: String,
    addr: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    state: State,
    #[serde(default)]
    started_ms: u64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum State {
    InService,
    Terminating,
    Terminated,
}

/// The engine list in the bus's own words: the last event's number, and engines by name.
pub type EngineListSnapshot = (u64, BTreeMap<String, Value>);

/// Where the bus is; a new configuration may move it. And whether it has told anything yet.
pub struct DiscoverySource {
    addr: Cell<SocketAddr>,
    heard: Cell<bool>,
    /// Bytes sent to the bus and received from it.
    traffic: Cell<(u64, u64)>,
    /// What the bus told, where somebody keeps it; and what was kept, to begin with while the bus tells nothing.
    held: Option<RefCell<EngineListSnapshot>>,
    offered: RefCell<Option<EngineListSnapshot>>,
    waker: RefCell<Option<Waker>>,
}

impl DiscoverySource {
    /// Creates a place.
    #[must_use]
    pub fn new(addr: SocketAddr, keeps: bool) -> Self {
        DiscoverySource {
            addr: Cell::new(addr),
            heard: Cell::new(false),
            traffic: Cell::default(),
            held: keeps.then(RefCell::default),
            offered: RefCell::default(),
            waker: RefCell::default(),
        }
    }

    /// What the bus has told so far, if that is kept.
    #[must_use]
    pub fn held(&self) -> Option<EngineListSnapshot> {
        self.held.as_ref().map(|h| h.borrow().clone())
    }

    /// The number of the last event, if that is kept.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.held.as_ref().map(|h| h.borrow().0)
    }

    /// Offers a list that was kept: it counts until the bus tells something, if it is newer than what is known.
    pub fn offer(&self, held: EngineListSnapshot) {
        if !self.heard.get() {
            *self.offered.borrow_mut() = Some(held);
        }
    }

    fn hold(&self, last: u64, topology: Option<&Topology>) {
        let Some(held) = &self.held else { return };
        let mut held = held.borrow_mut();
        held.0 = held.0.max(last);
        let Some(topology) = topology else { return };
        if topology.full {
            held.1.clear();
        }
        for server in &topology.servers {
            let name = server.get("id").and_then(Value::as_str).unwrap_or_default();
            if server.get("state").and_then(Value::as_str) == Some("terminated") {
                held.1.remove(name);
            } else {
                held.1.insert(name.to_owned(), server.clone());
            }
        }
    }

    /// Moves it, and lets go of the old one at once: that may stay open and tell nothing more.
    pub fn move_to(&self, addr: SocketAddr) {
        self.addr.set(addr);
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    /// Whether the bus has told anything since the start.
    #[must_use]
    pub fn heard(&self) -> bool {
        self.heard.get()
    }

    /// Bytes sent to the bus and received from it since the start.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        self.traffic.get()
    }

    fn count_sent(&self, bytes: usize) {
        let (sent, received) = self.traffic.get();
        self.traffic.set((sent + bytes as u64, received));
    }

    fn count_received(&self, bytes: usize) {
        let (sent, received) = self.traffic.get();
        self.traffic.set((sent, received + bytes as u64));
    }

    async fn moved_from(&self, addr: SocketAddr) {
        poll_fn(|cx| {
            if self.addr.get() != addr {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

/// The numbers by which the program knows engines, by the names that others use. A number stays with its name.
#[derive(Default)]
pub struct EngineIds(RefCell<HashMap<String, EngineId>>);

impl EngineIds {
    /// The number of an engine, in the list or not.
    pub fn number(&self, name: &str) -> EngineId {
        let mut ids = self.0.borrow_mut();
        let fresh = ids.len() as EngineId;
        ids.get(name)
            .copied()
            .unwrap_or_else(|| *ids.entry(name.to_owned()).or_insert(fresh))
    }

    /// Whether anybody has ever had this name.
    #[must_use]
    pub fn known(&self, name: &str) -> bool {
        self.0.borrow().contains_key(name)
    }
}

/// What is known of the engine list, and up to which number.
pub struct DiscoveryClient {
    names: NameTable,
    last: u64,
    ids: Rc<EngineIds>,
    place: Rc<DiscoverySource>,
}

impl DiscoveryClient {
    /// Creates a follower that knows nothing yet.
    #[must_use]
    pub fn new(names: NameTable, ids: Rc<EngineIds>, place: Rc<DiscoverySource>) -> Self {
        DiscoveryClient {
            names,
            last: 0,
            ids,
            place,
        }
    }

    /// Takes the events of the start, and their last number.
    pub fn known(
        &mut self,
        last: u64,
        batch: Vec<Value>,
        tell: &mut dyn FnMut(ListScope, &[ListedEngine]),
    ) {
        for event in batch {
            if let Err(e) = Happening::deserialize(&event)
                .map_err(|e| e.to_string())
                .and_then(|h| self.take(h, tell))
            {
                log::line(format_args!("bus reason=garbage known event left out: {e}"));
            }
        }
        self.last = last;
        self.place.hold(last, None);
    }

    /// Takes a list that was kept, if it is newer and the bus has told nothing yet.
    fn take_offered(&mut self, tell: &mut dyn FnMut(ListScope, &[ListedEngine])) {
        let offered = self.place.offered.borrow_mut().take();
        let Some((last, engines)) =
            offered.filter(|(last, _)| *last > self.last && !self.place.heard())
        else {
            return;
        };
        let topology = Topology {
            full: true,
            servers: engines.into_values().collect(),
        };
        match self.take(
            Happening {
                offset: last,
                topology: Some(topology),
            },
            tell,
        ) {
            Ok(()) => {
                log::line(format_args!(
                    "bus is silent; the list that was kept counts, from={} to={last}",
                    self.last
                ));
                self.last = last;
            }
            Err(e) => log::line(format_args!("bus reason=garbage kept list left out: {e}")),
        }
    }

    /// Follows the bus for ever, wherever it moves.
    pub async fn follow(mut self, tell: &mut dyn FnMut(ListScope, &[ListedEngine])) {
        let (mut pause, mut told) = (PAUSE, String::new());
        let place = Rc::clone(&self.place);
        let place = &*place;
        loop {
            self.take_offered(tell);
            let from = self.last;
            let addr = place.addr.get();
            let mut heard = false;
            let moved = async {
                place.moved_from(addr).await;
                "moved".to_owned()
            };
            // What has been read is taken first; a line cut off by the move is asked for again.
            let reason = self.session(addr, tell, place, &mut heard).or(moved).await;
            // A bus that stays away would fill the log: the same failure again is not told.
            if heard || reason != told {
                log::line(format_args!(
                    "bus {addr} ended reason={reason} from={from} last={}",
                    self.last
                ));
            }
            told = reason;
            pause = if heard {
                PAUSE
            } else {
                (pause * 2).min(LONGEST_PAUSE)
            };
            if addr == place.addr.get() {
                let rest = async {
                    Timer::after(pause).await;
                };
                rest.or(place.moved_from(addr)).await;
            }
        }
    }

    async fn session(
        &mut self,
        addr: SocketAddr,
        tell: &mut dyn FnMut(ListScope, &[ListedEngine]),
        place: &DiscoverySource,
        heard: &mut bool,
    ) -> String {
        let stream = match Async::<TcpStream>::connect(addr).or(late(CONNECT)).await {
            Ok(stream) => stream,
            Err(e) => return reason(&e, "connect"),
        };
        let hello = format!("from {}\n", self.last);
        // A few bytes on a fresh connection: the socket takes them at once or not at all.
        match stream
            .write_with(|mut s| s.write(hello.as_bytes()))
            .or(late(CONNECT))
            .await
        {
            Ok(n) if n == hello.len() => place.count_sent(n),
            Ok(_) => return "write".to_owned(),
            Err(e) => return reason(&e, "write"),
        }
        let mut buffer = Vec::new();
        let mut chunk = vec![0u8; 16 * 1024];
        let mut quiet_by = Instant::now() + SILENCE;
        loop {
            let left = quiet_by.saturating_duration_since(Instant::now());
            match stream
                .read_with(|mut s| s.read(&mut chunk))
                .or(late(left))
                .await
            {
                Ok(0) => return "closed".to_owned(),
                Ok(n) => {
                    place.count_received(n);
                    buffer.extend_from_slice(chunk.get(..n).unwrap_or_default());
                }
                Err(e) => return reason(&e, "read"),
            }
            let mut used = 0;
            while let Some(end) = memchr::memchr(b'\n', buffer.get(used..).unwrap_or_default()) {
                let line = buffer.get(used..used + end).unwrap_or_default();
                match self.line(line, tell) {
                    Ok(true) => quiet_by = Instant::now() + SILENCE,
                    Ok(false) => {}
                    Err(e) => return e,
                }
                *heard = true;
                place.heard.set(true);
                used += end + 1;
            }
            buffer.drain(..used);
            if buffer.len() > MAX_LINE {
                return "garbage: line too long".to_owned();
            }
            // A bus that sends without end always has more to read: the others come in between.
            future::yield_now().await;
            if Instant::now() >= quiet_by {
                return "silent".to_owned();
            }
        }
    }

    /// Takes one line: an event, or the last number alone. False: it shows only that the bus stands behind what is known
    /// here, so that news could be missing.
    fn line(
        &mut self,
        line: &[u8],
        tell: &mut dyn FnMut(ListScope, &[ListedEngine]),
    ) -> Result<bool, String> {
        let value: Value = serde_json::from_slice(line).map_err(|e| format!("garbage: {e}"))?;
        if let Some(last) = value.as_u64() {
            // Events that never came: ask for them again.
            return if last > self.last {
                Err(format!("gap: bus is at {last}"))
            } else {
                Ok(last == self.last)
            };
        }
        let event = Happening::deserialize(&value).map_err(|e| format!("garbage: {e}"))?;
        let offset = event.offset;
        if offset <= self.last {
            return Ok(false);
        }
        if offset > self.last + 1 {
            return Err(format!("gap: event {offset}"));
        }
        self.take(event, tell)
            .map_err(|e| format!("garbage: {e}"))?;
        self.last = offset;
        Ok(true)
    }

    fn take(
        &mut self,
        event: Happening,
        tell: &mut dyn FnMut(ListScope, &[ListedEngine]),
    ) -> Result<(), String> {
        let Some(topology) = event.topology else {
            self.place.hold(event.offset, None);
            return Ok(());
        };
        let place =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0) as u32;
        let mut listed = Vec::new();
        for s in &topology.servers {
            let s = Server::deserialize(s).map_err(|e| e.to_string())?;
            let addr = s
                .addr
                .parse()
                .map_err(|e| format!("addr {:?}: {e}", s.addr))?;
            let engine = Engine {
                id: self.ids.number(&s.id),
                zone: place(&self.names.zones, &s.zone),
                kind: place(&self.names.kinds, &s.kind),
                cell: s.cell,
                state: match s.state {
                    State::InService => EngineState::Ready,
                    State::Terminating => EngineState::Draining,
                    State::Terminated => EngineState::Removed,
                },
                started: (s.started_ms > 0).then(|| s.started_ms.saturating_mul(1000)),
            };
            listed.push(ListedEngine { engine, addr });
        }
        self.place.hold(event.offset, Some(&topology));
        tell(
            if topology.full {
                ListScope::Snapshot
            } else {
                ListScope::Patch
            },
            &listed,
        );
        Ok(())
    }
}

async fn late<T>(after: Duration) -> std::io::Result<T> {
    Timer::after(after).await;
    Err(std::io::ErrorKind::TimedOut.into())
}

fn reason(e: &std::io::Error, what: &str) -> String {
    match e.kind() {
        std::io::ErrorKind::TimedOut => format!("{what}_timeout"),
        _ => format!("{what}_error"),
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]
mod tests;
