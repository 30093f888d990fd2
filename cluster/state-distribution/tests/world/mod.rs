//! Observers, subscribers and the network between them in one thread, on injected time: delay,
//! connections that break, cuts, processes that stop, die and return, and subscribers that read
//! slowly.
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

/// What happens at a moment.
#[derive(Debug)]
pub enum Event {
    TickObserver(NodeId),
    TickSubscriber(usize),
    /// An attempt to connect arrives.
    Connect(usize, NodeId, u64, SubscriberHello),
    /// Something may be due on a connection, one way or the other.
    ToObserver(ConnectionId),
    ToSubscriber(ConnectionId),
    /// An end of a connection learns that the other one is gone.
    SubscriberLost(usize, NodeId, u64, Option<Rejection>),
    ObserverLost(NodeId, ConnectionId),
    /// An observer applies what was agreed.
    Apply(NodeId),
    /// A majority vouches for what is agreed now.
    ReadConfirmed(NodeId, u64, ReadId),
    ReadFailed(NodeId, u64, ReadId),
    CheckAll,
}

/// An observer's process; its store outlives it.
pub struct ObserverProcess {
    /// `None`: it is down.
    pub core: Option<Observer>,
    pub store: Store,
    /// Commands of the history that its store has.
    pub applied: usize,
    pub paused_until: u64,
    pub starts: u64,
    tick_at: u64,
    /// Reads that wait until so many commands are applied here.
    reads: Vec<(usize, ReadId)>,
    apply_planned: bool,
}

/// A front end's process.
pub struct SubscriberProcess {
    pub core: Subscriber,
    pub paused_until: u64,
    /// Bytes that it takes in a second.
    pub rate: u64,
    tick_at: u64,
    /// Its attempts and connections, by observer, with the number of the attempt.
    links: BTreeMap<NodeId, (u64, Option<ConnectionId>)>,
    last_revision: Revision,
}

pub struct World {
    pub rng: ChaCha8Rng,
    pub now: u64,
    serial: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    planned: BTreeMap<u64, Event>,
    pub observers: BTreeMap<NodeId, ObserverProcess>,
    pub subscribers: Vec<SubscriberProcess>,
    connections: BTreeMap<ConnectionId, Connection>,
    attempts: u64,
    /// Subscribers that can't reach observers, and observers that can't reach the voters.
    pub cut: BTreeSet<(usize, NodeId)>,
    pub cut_upstream: BTreeSet<NodeId>,
    /// The longest delay of a message, of a change to an observer, and of a read.
    pub delay: u64,
    pub apply_delay: u64,
    pub read_delay: u64,
    /// Bytes that are on their way to a subscriber at a time.
    pub window: usize,
    /// Of a thousand reads, so many fail.
    pub reads_fail: u64,
    pub history: Vec<Command>,
    pub truth: Store,
    /// When each revision was agreed on, and the entries' fingerprint at each.
    agreed: Vec<u64>,
    fingerprints: Vec<u64>,
    pub seen: Seen,
    /// A digest of all that the cores do, where one is wanted.
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
            planned: BTreeMap::new(),
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
            reads_fail: 0,
            history: Vec::new(),
            truth: Store::default(),
            agreed: vec![0],
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
        world.plan(world.now, Event::CheckAll);
        world
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    pub(crate) fn plan(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at.max(self.now), self.serial)));
        self.planned.insert(self.serial, event);
    }

    /// Plays all events up to a moment.
    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, serial))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.planned.remove(&serial) {
                self.play(event);
            }
        }
        self.now = until;
    }

    pub fn run_for(&mut self, time: u64) {
        self.run_until(self.now + time);
    }

    fn play(&mut self, event: Event) {
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
                self.plan(self.now + 20 * MS, Event::CheckAll);
            }
        }
    }

    fn tick_observer(&mut self, id: NodeId) {
        let process = self.observers.get_mut(&id).unwrap();
        if process.paused_until > self.now {
            let at = process.paused_until;
            return self.plan(at, Event::TickObserver(id));
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
            return self.plan(at, Event::TickSubscriber(n));
        }
        if process.tick_at > self.now {
            return;
        }
        process.tick_at = u64::MAX;
        process.core.tick(self.now);
        self.after_subscriber(n);
    }

    /// Carries out what an observer wants done, and plans its next tick.
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
            self.plan(next, Event::TickObserver(id));
        }
    }

    /// Carries out what a subscriber wants done, checks it, and plans its next tick.
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
            self.plan(next, Event::TickSubscriber(n));
        }
    }
}
