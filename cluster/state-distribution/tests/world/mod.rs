//! Simulates observers, subscribers and the network between them in one thread, on injected time:
//! delays, broken connections, network cuts, processes that stop, die and restart, and subscribers
//! that read slowly.
#![allow(dead_code, reason = "each test file uses a part of it")]

mod check;
mod network;
mod processes;
pub mod scenario;
mod trace;
mod upstream;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Command, Revision, Store};
use violetgate_state_distribution::*;

pub use check::Seen;
use network::Connection;
pub use trace::Trace;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;

/// An event that is scheduled for a point in time.
#[derive(Debug)]
pub enum Event {
    TickObserver(NodeId),
    TickSubscriber(usize),
    /// A connection attempt arrives at an observer.
    Connect(usize, NodeId, u64, SubscriberHello),
    /// A message to the observer may be due on a connection.
    ToObserver(ConnectionId),
    /// A message to the subscriber may be due on a connection.
    ToSubscriber(ConnectionId),
    /// The subscriber learns that its connection or attempt has ended.
    SubscriberLost(usize, NodeId, u64, Option<Rejection>),
    /// The observer learns that a connection has ended.
    ObserverLost(NodeId, ConnectionId),
    /// An observer applies the next commands of the history.
    Apply(NodeId),
    /// A majority confirms the present history for a read.
    ReadConfirmed(NodeId, u64, ReadId),
    ReadFailed(NodeId, u64, ReadId),
    CheckAll,
}

/// An observer's process, and the store that outlives it.
pub struct ObserverProcess {
    /// The observer; `None` while the process is down.
    pub core: Option<Observer>,
    pub store: Store,
    /// The number of commands of the history that the store has applied.
    pub applied: usize,
    pub paused_until: u64,
    pub starts: u64,
    tick_at: u64,
    /// Confirmed reads, each with the number of commands that the store has to apply first.
    reads: Vec<(usize, ReadId)>,
    apply_scheduled: bool,
}

/// A gateway's process.
pub struct SubscriberProcess {
    pub core: Subscriber,
    pub paused_until: u64,
    /// The number of bytes that the process reads per second.
    pub rate: u64,
    tick_at: u64,
    /// The number of each attempt by observer, with the connection if it was accepted.
    links: BTreeMap<NodeId, (u64, Option<ConnectionId>)>,
    last_revision: Revision,
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub now: u64,
    serial: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    pub observers: BTreeMap<NodeId, ObserverProcess>,
    pub subscribers: Vec<SubscriberProcess>,
    connections: BTreeMap<ConnectionId, Connection>,
    attempts: u64,
    /// Subscribers and the observers that they can't reach.
    pub cut: BTreeSet<(usize, NodeId)>,
    /// Observers that can't reach the voters.
    pub cut_upstream: BTreeSet<NodeId>,
    /// The maximum delay of a message between a subscriber and an observer.
    pub delay: u64,
    /// The maximum delay after which an observer applies the next commands.
    pub apply_delay: u64,
    /// The maximum delay of a read.
    pub read_delay: u64,
    /// The number of bytes on the network to one subscriber at which its observer stops sending.
    pub window: usize,
    /// The number of reads that fail out of a thousand.
    pub failed_reads_per_thousand: u64,
    pub history: Vec<Command>,
    /// The store with the whole history applied.
    pub agreed_store: Store,
    /// When each revision was agreed on.
    agreed_at: Vec<u64>,
    /// The fingerprint of the entries at each revision.
    fingerprints: Vec<u64>,
    pub seen: Seen,
    /// A digest of all actions and states, if the test needs one.
    pub trace: Option<Trace>,
    observer_config: ObserverConfig,
    subscriber_config: SubscriberConfig,
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

impl World {
    pub fn new(seed: u64, observers: u64, subscribers: usize, config: ObserverConfig) -> Self {
        let ids: Vec<NodeId> = (1..=observers).collect();
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: SECOND,
            serial: 0,
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            observers: BTreeMap::new(),
            subscribers: Vec::new(),
            connections: BTreeMap::new(),
            attempts: 0,
            cut: BTreeSet::new(),
            cut_upstream: BTreeSet::new(),
            delay: 10 * MS,
            apply_delay: 20 * MS,
            read_delay: 10 * MS,
            window: 64 << 10,
            failed_reads_per_thousand: 0,
            history: Vec::new(),
            agreed_store: Store::default(),
            agreed_at: vec![0],
            fingerprints: vec![check::fingerprint(&Store::default())],
            seen: Seen::default(),
            trace: None,
            subscriber_config: SubscriberConfig::default_for(
                &config.cluster,
                "front-end",
                ids.clone(),
            ),
            observer_config: config,
            #[cfg(feature = "mutants")]
            mutant: None,
        };
        ids.iter().for_each(|id| world.add_observer(*id));
        (0..subscribers).for_each(|n| world.add_subscriber(n));
        world.schedule(world.now, Event::CheckAll);
        world
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    pub(crate) fn schedule(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at.max(self.now), self.serial)));
        self.scheduled.insert(self.serial, event);
    }

    /// Handles all events up to and including `until`.
    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, serial))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.scheduled.remove(&serial) {
                self.handle_event(event);
            }
        }
        self.now = until;
    }

    pub fn run_for(&mut self, time: u64) {
        self.run_until(self.now + time);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::TickObserver(id) => self.tick_observer(id),
            Event::TickSubscriber(n) => self.tick_subscriber(n),
            Event::Connect(n, id, attempt, hello) => self.connect(n, id, attempt, hello),
            Event::ToObserver(id) => self.deliver_to_observer(id),
            Event::ToSubscriber(id) => self.deliver_to_subscriber(id),
            Event::SubscriberLost(n, id, attempt, rejection) => {
                self.subscriber_lost(n, id, attempt, rejection)
            }
            Event::ObserverLost(id, connection) => self.observer_lost(id, connection),
            Event::Apply(id) => self.apply(id),
            Event::ReadConfirmed(id, starts, read) => self.read_confirmed(id, starts, read),
            Event::ReadFailed(id, starts, read) => self.read_failed(id, starts, read),
            Event::CheckAll => {
                self.check_all();
                self.trace_states();
                self.schedule(self.now + 20 * MS, Event::CheckAll);
            }
        }
    }

    fn tick_observer(&mut self, id: NodeId) {
        let process = self.observers.get_mut(&id).unwrap();
        if process.paused_until > self.now {
            let at = process.paused_until;
            return self.schedule(at, Event::TickObserver(id));
        }
        if process.tick_at > self.now {
            return;
        }
        process.tick_at = u64::MAX;
        if let Some(core) = &mut process.core {
            core.tick(self.now, &process.store);
        }
        self.after_observer(id);
    }

    fn tick_subscriber(&mut self, n: usize) {
        let process = &mut self.subscribers[n];
        if process.paused_until > self.now {
            let at = process.paused_until;
            return self.schedule(at, Event::TickSubscriber(n));
        }
        if process.tick_at > self.now {
            return;
        }
        process.tick_at = u64::MAX;
        process.core.tick(self.now);
        self.after_subscriber(n);
    }

    /// Performs the actions of an observer, and schedules its next tick.
    pub(crate) fn after_observer(&mut self, id: NodeId) {
        loop {
            let Some(core) = self.observers.get_mut(&id).unwrap().core.as_mut() else {
                return;
            };
            let actions = core.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.trace_observer(id, &action);
                match action {
                    ObserverAction::Send {
                        connection,
                        message,
                    } => self.send_to_subscriber(connection, message),
                    ObserverAction::Close {
                        connection,
                        rejection,
                    } => {
                        self.end_by_observer(connection, Some(rejection));
                    }
                    ObserverAction::BeginRead(read) => self.begin_read(id, read),
                }
            }
        }
        let process = self.observers.get_mut(&id).unwrap();
        let next = process
            .core
            .as_ref()
            .map_or(u64::MAX, Observer::next_tick)
            .max(self.now + 1);
        if next < process.tick_at {
            process.tick_at = next;
            self.schedule(next, Event::TickObserver(id));
        }
    }

    /// Performs the actions of a subscriber, checks its replica, and schedules its next tick.
    pub(crate) fn after_subscriber(&mut self, n: usize) {
        for action in self.subscribers[n].core.take_actions() {
            self.trace_subscriber(n, &action);
            match action {
                SubscriberAction::Connect {
                    observer: id,
                    hello,
                } => self.begin_connect(n, id, hello),
                SubscriberAction::Disconnect(id) => self.disconnect_by_subscriber(n, id),
                SubscriberAction::Send {
                    observer: id,
                    message,
                } => self.send_to_observer(n, id, message),
            }
        }
        self.check_replica(n);
        let process = &mut self.subscribers[n];
        let next = process.core.next_tick().max(self.now + 1);
        if next < process.tick_at {
            process.tick_at = next;
            self.schedule(next, Event::TickSubscriber(n));
        }
    }
}
