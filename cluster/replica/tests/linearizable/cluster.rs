//! The simulated cluster. It has a simulated clock, handles its events in the order of their times,
//! and checks the staleness guard after each event.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_linearizability::Operation;
use violetgate_raft::{Message, NodeId};
use violetgate_replica::{Replica, ReplicaConfig};
use violetgate_replicated_state::{Micros, Revision};

use crate::clients::{Client, CLIENTS};
use crate::digest::Digest;
use crate::server::Server;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MS;
pub const SERVERS: NodeId = 3;

/// Whether servers route only if the staleness guard permits it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    Active,
    Ignored,
}

#[derive(Debug)]
pub enum Event {
    Tick {
        id: NodeId,
        process: u64,
    },
    Deliver {
        from: NodeId,
        to: NodeId,
        message: Message,
    },
    Flush {
        id: NodeId,
        process: u64,
    },
    ClientCall(usize),
    /// A client gives up its operation.
    ClientTimeout {
        client: usize,
        operation: u64,
    },
    Fault,
}

/// The reason why a server does not run.
pub enum NotRunning {
    Down,
    /// The process stays suspended for this many microseconds.
    Paused(Micros),
}

/// A revision that a response to a client reported as applied, and the time of the response.
pub struct AcknowledgedRevision {
    pub at: Micros,
    pub revision: Revision,
}

pub struct SimulatedCluster {
    rng: ChaCha8Rng,
    pub now: Micros,
    /// Times and numbers of the scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// The scheduled events by their numbers.
    events: BTreeMap<u64, Event>,
    last_event: u64,
    pub servers: BTreeMap<NodeId, Server>,
    /// Links whose messages are dropped, as (sender, receiver).
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    pub clients: Vec<Client>,
    pub history: Vec<Operation>,
    pub acknowledged: Vec<AcknowledgedRevision>,
    /// Number of checks in which a server was allowed to route.
    pub routable_checks: u64,
    /// Number of checks in which a server was not allowed to route.
    pub stale_checks: u64,
    guard: Guard,
    /// Digest of all effects that the replicas requested, in order.
    pub digest: Digest,
}

fn config() -> ReplicaConfig {
    ReplicaConfig {
        snapshot_interval: 25,
        ..ReplicaConfig::default()
    }
}

impl SimulatedCluster {
    pub fn new(seed: u64, guard: Guard) -> Self {
        let mut cluster = SimulatedCluster {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: SECOND,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            servers: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            clients: (0..CLIENTS).map(|_| Client::default()).collect(),
            history: Vec::new(),
            acknowledged: Vec::new(),
            routable_checks: 0,
            stale_checks: 0,
            guard,
            digest: Digest::default(),
        };
        for id in 1..=SERVERS {
            cluster.servers.insert(id, Server::new(id, 1..=SERVERS));
            cluster.start(id);
        }
        for client in 0..CLIENTS {
            cluster.schedule(SECOND, Event::ClientCall(client));
        }
        cluster.schedule(SECOND, Event::Fault);
        cluster
    }

    /// Returns a random number below `below`, or 0 if `below` is 0.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    pub fn draw_server(&mut self) -> NodeId {
        1 + self.draw(SERVERS)
    }

    pub fn server(&mut self, id: NodeId) -> &mut Server {
        self.servers.get_mut(&id).unwrap()
    }

    pub fn schedule(&mut self, delay: Micros, event: Event) {
        self.last_event += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    pub fn start(&mut self, id: NodeId) {
        let (now, seed) = (self.now, self.draw(u64::MAX));
        let server = self.server(id);
        let initial = server.reopen_storage(id);
        server.replica = Some(Replica::new(id, config(), seed, initial, now).unwrap());
        server.process += 1;
        server.next_tick = Micros::MAX;
        self.schedule_tick(id);
    }

    /// Schedules the next tick that the replica requests, unless an earlier one is scheduled.
    pub fn schedule_tick(&mut self, id: NodeId) {
        let now = self.now;
        let server = self.server(id);
        let Some(requested) = server.replica.as_ref().map(Replica::next_tick) else {
            return;
        };
        let at = requested.max(now + MS);
        if at < server.next_tick {
            server.next_tick = at;
            let process = server.process;
            self.schedule(at - now, Event::Tick { id, process });
        }
    }

    /// Returns a server's replica after advancing its time, or the reason why it does not run.
    pub fn running(&mut self, id: NodeId) -> Result<&mut Replica, NotRunning> {
        let now = self.now;
        let server = self.server(id);
        if server.paused_until > now {
            return Err(NotRunning::Paused(server.paused_until - now));
        }
        let replica = server.replica.as_mut().ok_or(NotRunning::Down)?;
        replica.tick(now, now);
        Ok(replica)
    }

    /// Advances to the next event, handles it, and checks the staleness guard.
    pub fn step(&mut self) {
        let Reverse((at, number)) = self.queue.pop().unwrap();
        self.now = at;
        let event = self.events.remove(&number).unwrap();
        if self.must_drop(&event) {
            return;
        }
        match event {
            Event::Tick { id, process } => self.on_tick(id, process),
            Event::Deliver { from, to, message } => self.on_deliver(from, to, message),
            Event::Flush { id, .. } => self.on_flush(id),
            Event::ClientCall(client) => self.client_call(client),
            Event::ClientTimeout { client, operation } => {
                if self.clients[client].last_operation == operation {
                    self.end_operation(client, None);
                }
            }
            Event::Fault => {
                let delay = 100 * MS + self.draw(900 * MS);
                self.schedule(delay, Event::Fault);
                self.inject_fault();
            }
        }
        self.check_guard();
    }

    /// Returns whether an event must be dropped, because it is for an earlier process of the server
    /// or is a message on a cut link.
    fn must_drop(&self, event: &Event) -> bool {
        match event {
            Event::Tick { id, process } | Event::Flush { id, process } => {
                self.servers[id].process != *process
            }
            Event::Deliver { from, to, .. } => self.cut_links.contains(&(*from, *to)),
            _ => false,
        }
    }

    fn on_tick(&mut self, id: NodeId, process: u64) {
        self.server(id).next_tick = Micros::MAX;
        match self.running(id) {
            Ok(_) => self.run_effects(id),
            Err(NotRunning::Down) => {}
            Err(NotRunning::Paused(delay)) => self.schedule(delay, Event::Tick { id, process }),
        }
    }

    fn on_deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        match self.running(to) {
            Ok(replica) => {
                replica.step(from, message);
                self.run_effects(to);
            }
            Err(NotRunning::Down) => {}
            Err(NotRunning::Paused(delay)) => {
                self.schedule(delay, Event::Deliver { from, to, message });
            }
        }
    }

    fn on_flush(&mut self, id: NodeId) {
        let sequence = self.server(id).flush();
        if let Ok(replica) = self.running(id) {
            replica.persisted(sequence);
            self.run_effects(id);
        } else if let Some(replica) = &mut self.server(id).replica {
            // The write is durable, but its effects run only after the process is resumed.
            replica.persisted(sequence);
        }
    }

    /// Checks that each server that may route has applied every revision that was acknowledged at
    /// least the guard's limit ago.
    fn check_guard(&mut self) {
        let (now, limit) = (self.now, config().max_staleness);
        let required = self
            .acknowledged
            .iter()
            .filter(|acknowledged| acknowledged.at + limit <= now)
            .map(|acknowledged| acknowledged.revision)
            .max()
            .unwrap_or(0);
        for server in self.servers.values().filter(|s| s.paused_until <= now) {
            let Some(replica) = &server.replica else {
                continue;
            };
            if replica.may_route(now).is_ok() || self.guard == Guard::Ignored {
                self.routable_checks += 1;
                let applied = replica.store().revision();
                assert!(
                    applied >= required,
                    "a server routes by revision {applied}, although revision {required} was \
                     acknowledged longer ago than the limit"
                );
            } else {
                self.stale_checks += 1;
            }
        }
    }
}
