//! The address of the event bus and what has been received from it: the part of discovery that the
//! rest of the program uses.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::events::{ServerState, Topology};
use super::stored_list::StoredEngineList;

/// The engine list in the bus's JSON format.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineListSnapshot {
    /// The offset of the last event that it includes. It can be compared only with offsets of the
    /// same start of the same instance.
    pub last_offset: u64,
    /// The number of events that have changed it. It tells whether the list has changed since an
    /// earlier look, within one process.
    pub version: u64,
    /// The JSON objects of the engines, by engine name.
    pub engines: BTreeMap<String, Value>,
}

impl EngineListSnapshot {
    /// Returns whether any event has told a list.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.version > 0
    }

    pub(super) fn apply(&mut self, topology: &Topology) {
        self.version += 1;
        if topology.full {
            self.engines.clear();
        }
        for server in &topology.servers {
            if server.state == ServerState::Terminated {
                self.engines.remove(&server.id);
            } else if let Ok(json) = serde_json::to_value(server) {
                self.engines.insert(server.id.clone(), json);
            }
        }
    }
}

/// Counts the bytes exchanged with the bus since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DiscoveryTraffic {
    /// Bytes sent to the bus.
    pub sent_bytes: u64,
    /// Bytes received from the bus.
    pub received_bytes: u64,
}

/// For how long the engine list is retained in the bus's JSON format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRetention {
    /// The list is retained, so that this member can store it in the cluster for others.
    Retain,
    /// The initial list is retained until the bus sends something, so that a stored list can be
    /// used instead until then.
    UntilBusAnswers,
    /// No copy of the list is retained, and no stored list is used.
    Discard,
}

/// The address of the bus, which a new configuration may change, and what has been received from
/// it.
pub struct DiscoverySource {
    addr: Cell<SocketAddr>,
    has_received: Cell<bool>,
    /// When the bus last showed that the list is current.
    confirmed_at: Cell<Option<Instant>>,
    traffic: Cell<DiscoveryTraffic>,
    retention: ListRetention,
    /// The list from the events so far, if it is retained.
    retained: RefCell<EngineListSnapshot>,
    /// A stored list that may be used until the bus sends something.
    offered: RefCell<Option<StoredEngineList>>,
    waker: RefCell<Option<Waker>>,
}

impl DiscoverySource {
    /// Creates the source for a bus at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, retention: ListRetention) -> Self {
        DiscoverySource {
            addr: Cell::new(addr),
            has_received: Cell::new(false),
            confirmed_at: Cell::new(None),
            traffic: Cell::default(),
            retention,
            retained: RefCell::default(),
            offered: RefCell::default(),
            waker: RefCell::default(),
        }
    }

    /// The address of the bus.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr.get()
    }

    /// Returns a copy of the list from the events so far. It is unknown if it isn't retained.
    #[must_use]
    pub fn retained_list(&self) -> EngineListSnapshot {
        self.retained.borrow().clone()
    }

    /// The number of events that have changed the retained list; 0 if no list is known or retained.
    #[must_use]
    pub fn list_version(&self) -> u64 {
        self.retained.borrow().version
    }

    /// Returns how long ago the bus last showed that the list is current. `None` if it never did.
    #[must_use]
    pub fn confirmation_age(&self) -> Option<Duration> {
        self.confirmed_at.get().map(|at| at.elapsed())
    }

    pub(super) fn set_confirmed(&self) {
        self.confirmed_at.set(Some(Instant::now()));
    }

    /// Passes an engine list that is stored in the cluster to the client. The client uses it if it
    /// is newer than the known one and nothing has been received from the bus yet.
    pub fn offer_stored_list(&self, list: StoredEngineList) {
        if !self.has_received.get() {
            *self.offered.borrow_mut() = Some(list);
        }
    }

    pub(super) fn take_offered_list(&self) -> Option<StoredEngineList> {
        self.offered.borrow_mut().take()
    }

    /// Applies an event of the bus or of the configuration to the retained list. Does nothing if
    /// the list isn't retained any more.
    pub(super) fn record_event(&self, offset: u64, topology: Option<&Topology>) {
        let is_retained = match self.retention {
            ListRetention::Retain => true,
            ListRetention::UntilBusAnswers => !self.has_received.get(),
            ListRetention::Discard => false,
        };
        if !is_retained {
            return;
        }
        let mut list = self.retained.borrow_mut();
        list.last_offset = list.last_offset.max(offset);
        if let Some(topology) = topology {
            list.apply(topology);
        }
    }

    /// Whether a stored list may be used until the bus sends something.
    pub(super) fn may_use_stored_list(&self) -> bool {
        self.retention != ListRetention::Discard && !self.has_received.get()
    }

    /// Switches to another bus at once, without waiting for the end of the old connection: the old
    /// bus may keep it open and send nothing.
    pub fn move_to(&self, addr: SocketAddr) {
        self.addr.set(addr);
        let waker = self.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// Waits until the address of the bus is another than `addr`.
    pub(super) async fn moved_from(&self, addr: SocketAddr) {
        poll_fn(|context| {
            if self.addr.get() != addr {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Whether a line has been received from the bus since the start of the process.
    #[must_use]
    pub fn has_received(&self) -> bool {
        self.has_received.get()
    }

    pub(super) fn set_received(&self) {
        let is_first = !self.has_received.replace(true);
        if is_first && self.retention == ListRetention::UntilBusAnswers {
            self.retained.take();
        }
    }

    /// Returns the bytes exchanged with the bus since the start of the process.
    #[must_use]
    pub fn traffic(&self) -> DiscoveryTraffic {
        self.traffic.get()
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        let mut traffic = self.traffic.get();
        traffic.sent_bytes += bytes as u64;
        self.traffic.set(traffic);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        let mut traffic = self.traffic.get();
        traffic.received_bytes += bytes as u64;
        self.traffic.set(traffic);
    }
}
