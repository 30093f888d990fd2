//! The address of the event bus and what has been received from it: the part of discovery that the
//! rest of the program uses.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::task::{Poll, Waker};

use serde_json::Value;

use super::events::{Topology, TERMINATED};

/// The engine list in the bus's JSON format.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineListSnapshot {
    /// The offset of the last event that it includes.
    pub last_offset: u64,
    /// The JSON objects of the engines, by engine name.
    pub engines: BTreeMap<String, Value>,
}

impl EngineListSnapshot {
    fn apply(&mut self, topology: &Topology) {
        if topology.full {
            self.engines.clear();
        }
        for server in &topology.servers {
            let field = |name: &str| server.get(name).and_then(Value::as_str);
            let name = field("id").unwrap_or_default();
            if field("state") == Some(TERMINATED) {
                self.engines.remove(name);
            } else {
                self.engines.insert(name.to_owned(), server.clone());
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

/// Whether the engine list is retained in the bus's JSON format for other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRetention {
    /// The list is retained, so that this member can store it in the cluster for others.
    Retain,
    /// No copy of the list is retained.
    Discard,
}

/// The address of the bus, which a new configuration may change, and what has been received from
/// it.
pub struct DiscoverySource {
    addr: Cell<SocketAddr>,
    has_received: Cell<bool>,
    traffic: Cell<DiscoveryTraffic>,
    /// The list from the events so far, if it is retained.
    retained: Option<RefCell<EngineListSnapshot>>,
    /// A stored list that is used until the bus sends something.
    fallback: RefCell<Option<EngineListSnapshot>>,
    waker: RefCell<Option<Waker>>,
}

impl DiscoverySource {
    /// Creates the source for a bus at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, retention: ListRetention) -> Self {
        DiscoverySource {
            addr: Cell::new(addr),
            has_received: Cell::new(false),
            traffic: Cell::default(),
            retained: (retention == ListRetention::Retain).then(RefCell::default),
            fallback: RefCell::default(),
            waker: RefCell::default(),
        }
    }

    /// The address of the bus.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr.get()
    }

    /// Returns a copy of the list from the events so far, or `None` if the list isn't retained.
    #[must_use]
    pub fn retained_list(&self) -> Option<EngineListSnapshot> {
        self.retained.as_ref().map(|list| list.borrow().clone())
    }

    /// The offset of the last event, or `None` if the list isn't retained.
    #[must_use]
    pub fn last_offset(&self) -> Option<u64> {
        self.retained.as_ref().map(|list| list.borrow().last_offset)
    }

    /// Passes an engine list that is stored in the cluster to the client. The client applies it if
    /// it is newer than the known one and nothing has been received from the bus yet.
    pub fn offer_fallback(&self, list: EngineListSnapshot) {
        if !self.has_received.get() {
            *self.fallback.borrow_mut() = Some(list);
        }
    }

    pub(super) fn take_fallback(&self) -> Option<EngineListSnapshot> {
        self.fallback.borrow_mut().take()
    }

    /// Applies an event to the retained list. Does nothing if the list isn't retained.
    pub(super) fn record_event(&self, offset: u64, topology: Option<&Topology>) {
        let Some(retained) = &self.retained else {
            return;
        };
        let mut list = retained.borrow_mut();
        list.last_offset = list.last_offset.max(offset);
        if let Some(topology) = topology {
            list.apply(topology);
        }
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
        self.has_received.set(true);
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
