//! The simulated cluster: its clock, its events in order, and the check of the staleness guard
//! after each.

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

/// Whether servers obey the staleness guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    Active,
    Ignored,
}

#[derive(Debug)]
pub enum Event {
    Tick {
        id: NodeId,
        starts: u64,
    },
    Deliver {
        from: NodeId,
        to: NodeId,
        message: Message,
    },
    Flush {
        id: NodeId,
        starts: u64,
    },
    ClientCall(usize),
    /// A client gives its operation up.
    ClientTimeout {
        client: usize,
        operation: u64,
    },
    Fault,
}

/// Why a server does nothing now.
pub enum Unavailable {
    Down,
    /// Suspended for this long.
    Paused(Micros),
}

/// A revision that a client was told of as applied.
pub struct AcknowledgedRevision {
    pub at: Micros,
    pub revision: Revision,
}

pub struct SimulatedCluster {
    rng: ChaCha8Rng,
    pub now: Micros,
    /// Times and numbers of the events to come.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    pub servers: BTreeMap<NodeId, Server>,
    /// Directions in which no message arrives.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub clients: Vec<Client>,
    pub history: Vec<Operation>,
    pub acknowledged: Vec<AcknowledgedRevision>,
    /// How often a server was found to be allowed to route, and how often not.
    pub routable_checks: u64,
    pub stale_checks: u64,
    guard: Guard,
    /// Everything that the replicas asked for, in order.
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
            cut: BTreeSet::new(),
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

    /// A random number below `below`.
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
        server.starts += 1;
        server.next_tick = Micros::MAX;
        self.schedule_tick(id);
    }

    /// Schedules the next tick where the replica wants one.
    pub fn schedule_tick(&mut self, id: NodeId) {
        let now = self.now;
        let server = self.server(id);
        let Some(wanted) = server.replica.as_ref().map(Replica::next_tick) else {
            return;
        };
        let at = wanted.max(now + MS);
        if at < server.next_tick {
            server.next_tick = at;
            let starts = server.starts;
            self.schedule(at - now, Event::Tick { id, starts });
        }
    }

    /// A replica that runs, with the time advanced.
    pub fn running(&mut self, id: NodeId) -> Result<&mut Replica, Unavailable> {
        let now = self.now;
        let server = self.server(id);
        if server.paused_until > now {
            return Err(Unavailable::Paused(server.paused_until - now));
        }
        let replica = server.replica.as_mut().ok_or(Unavailable::Down)?;
        replica.tick(now, now);
        Ok(replica)
    }

    /// Advances to the next event, handles it, and checks the staleness guard.
    pub fn step(&mut self) {
        let Reverse((at, number)) = self.queue.pop().unwrap();
        self.now = at;
        let event = self.events.remove(&number).unwrap();
        if self.is_obsolete(&event) {
            return;
        }
        match event {
            Event::Tick { id, starts } => self.on_tick(id, starts),
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
                self.fault();
            }
        }
        self.check_guard();
    }

    /// Whether an event is for an earlier process, or a message that is cut off: nothing happens.
    fn is_obsolete(&self, event: &Event) -> bool {
        match event {
            Event::Tick { id, starts } | Event::Flush { id, starts } => {
                self.servers[id].starts != *starts
            }
            Event::Deliver { from, to, .. } => self.cut.contains(&(*from, *to)),
            _ => false,
        }
    }

    fn on_tick(&mut self, id: NodeId, starts: u64) {
        self.server(id).next_tick = Micros::MAX;
        match self.running(id) {
            Ok(_) => self.carry_out_all(id),
            Err(Unavailable::Down) => {}
            Err(Unavailable::Paused(delay)) => self.schedule(delay, Event::Tick { id, starts }),
        }
    }

    fn on_deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        match self.running(to) {
            Ok(replica) => {
                replica.step(from, message);
                self.carry_out_all(to);
            }
            Err(Unavailable::Down) => {}
            Err(Unavailable::Paused(delay)) => {
                self.schedule(delay, Event::Deliver { from, to, message });
            }
        }
    }

    fn on_flush(&mut self, id: NodeId) {
        let sequence = self.server(id).flush();
        if let Ok(replica) = self.running(id) {
            replica.persisted(sequence);
            self.carry_out_all(id);
        } else if let Some(replica) = &mut self.server(id).replica {
            // Durable; what follows is carried out once the process wakes up.
            replica.persisted(sequence);
        }
    }

    /// Whoever may route knows all that was acknowledged longer ago than the guard's limit.
    fn check_guard(&mut self) {
        let (now, limit) = (self.now, config().max_staleness);
        let due = self
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
                let known = replica.store().revision();
                assert!(
                    known >= due,
                    "routes by revision {known}, {due} was acknowledged longer ago than the limit"
                );
            } else {
                self.stale_checks += 1;
            }
        }
    }
}
