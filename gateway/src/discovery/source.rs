//! Where the event bus is, and what has been received from it: the part that the rest of the
//! program sees.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::task::{Poll, Waker};

use serde_json::Value;

use super::events::{Topology, TERMINATED};

/// The engine list in the bus's own form.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineListSnapshot {
    /// The offset of the last event that it includes.
    pub last_offset: u64,
    /// Engines by name.
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

/// Bytes exchanged with the bus since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DiscoveryTraffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

/// Whether the engine list is retained in the bus's own form, for other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRetention {
    /// It is kept, so that this member can store it for others.
    Retain,
    /// Each event is handed on and forgotten.
    Discard,
}

/// The address of the bus, which a new configuration may change, and what has been received from
/// it.
pub struct DiscoverySource {
    addr: Cell<SocketAddr>,
    has_received: Cell<bool>,
    traffic: Cell<DiscoveryTraffic>,
    /// What the bus has said, where the list is retained.
    retained: Option<RefCell<EngineListSnapshot>>,
    /// A stored list, to begin with while the bus is silent.
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

    /// The list as the bus has given it so far, where it is retained.
    #[must_use]
    pub fn retained_list(&self) -> Option<EngineListSnapshot> {
        self.retained.as_ref().map(|list| list.borrow().clone())
    }

    /// The offset of the last event, where the list is retained.
    #[must_use]
    pub fn last_offset(&self) -> Option<u64> {
        self.retained.as_ref().map(|list| list.borrow().last_offset)
    }

    /// Offers a stored list: it counts until the bus has said something, if it is newer than what
    /// is known.
    pub fn offer_fallback(&self, list: EngineListSnapshot) {
        if !self.has_received.get() {
            *self.fallback.borrow_mut() = Some(list);
        }
    }

    pub(super) fn take_fallback(&self) -> Option<EngineListSnapshot> {
        self.fallback.borrow_mut().take()
    }

    /// Records an event that was taken, where the list is retained.
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

    /// Switches to another bus at once: the old one may hold its connection open and send nothing.
    pub fn move_to(&self, addr: SocketAddr) {
        self.addr.set(addr);
        let waker = self.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// Waits until the bus is no longer at `addr`.
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

    /// Whether the bus has said anything since the start.
    #[must_use]
    pub fn has_received(&self) -> bool {
        self.has_received.get()
    }

    pub(super) fn set_received(&self) {
        self.has_received.set(true);
    }

    /// Bytes exchanged with the bus since the start.
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
