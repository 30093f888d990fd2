//! The simulated cluster: its clock and its event queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_raft::*;

use crate::checks::Observed;
use crate::digest::Digest;
use crate::faults::InjectedBug;
use crate::replica::SimulatedReplica;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000 * MS;

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
    Written {
        id: NodeId,
        starts: u64,
        sequence: u64,
    },
    ClientRequest,
    Fault,
    /// The process crashes and is restarted at once.
    Restart(NodeId),
}

pub struct SimulatedCluster {
    rng: ChaCha8Rng,
    pub now: Micros,
    pub last_event: u64,
    /// The time and number of each future event, earliest first.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    pub replicas: BTreeMap<NodeId, SimulatedReplica>,
    /// The links, as (sender, receiver), on which all messages are dropped.
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    /// The share of messages that are lost, in percent.
    pub loss_percent: u64,
    pub bug: InjectedBug,
    pub observed: Observed,
    /// A digest of all actions that the nodes have requested, in order.
    pub digest: Digest,
}

fn config() -> Config {
    Config {
        max_message_bytes: 256,
        max_inflight_messages: 3,
        promotion_threshold: 3,
        max_apply_batch: 4,
        ..Config::default()
    }
}

impl SimulatedCluster {
    pub fn new(seed: u64, replicas: u64, bug: InjectedBug) -> Self {
        let mut cluster = SimulatedCluster {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: SECOND,
            last_event: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            replicas: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            loss_percent: 0,
            bug,
            observed: Observed::default(),
            digest: Digest::default(),
        };
        let snapshot = SnapshotMetadata {
            membership: Membership::bootstrap(1..=replicas),
            ..SnapshotMetadata::default()
        };
        for id in 1..=replicas {
            cluster.join(id, snapshot.clone());
        }
        cluster.schedule(10 * MS, Event::ClientRequest);
        cluster.schedule(200 * MS, Event::Fault);
        cluster
    }

    /// Returns a random number less than `below`, or 0 if `below` is 0.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    pub fn draw_bool(&mut self) -> bool {
        self.rng.next_u32() % 2 == 0
    }

    pub fn draw_replica(&mut self) -> NodeId {
        let ids = self.ids();
        let position = self.draw(ids.len() as u64) as usize;
        ids[position]
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    pub fn replica(&mut self, id: NodeId) -> &mut SimulatedReplica {
        self.replicas.get_mut(&id).unwrap()
    }

    pub fn schedule(&mut self, delay: Micros, event: Event) {
        self.last_event += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    pub fn join(&mut self, id: NodeId, snapshot: SnapshotMetadata) {
        self.replicas.insert(id, SimulatedReplica::new(snapshot));
        self.start(id);
    }

    pub fn start(&mut self, id: NodeId) {
        let (now, seed) = (self.now, self.draw(u64::MAX));
        let replica = self.replica(id);
        replica.state = replica.disk.snapshot_state.clone();
        let restored = replica.disk.restored();
        replica.node = Some(RaftNode::new(id, config(), seed, restored, now));
        replica.starts += 1;
        replica.next_tick = Micros::MAX;
        self.schedule_tick(id);
    }

    /// Schedules a tick for the time that the node requests, unless an earlier one is scheduled.
    pub fn schedule_tick(&mut self, id: NodeId) {
        let now = self.now;
        let replica = self.replica(id);
        let Some(wanted) = replica.node.as_ref().map(RaftNode::next_tick) else {
            return;
        };
        let at = wanted.max(now + MS);
        if at < replica.next_tick {
            replica.next_tick = at;
            let starts = replica.starts;
            self.schedule(at - now, Event::Tick { id, starts });
        }
    }

    /// Advances the clock to the next event and handles the event.
    pub fn step(&mut self) {
        let Reverse((at, number)) = self.queue.pop().unwrap();
        self.now = at;
        match self.events.remove(&number).unwrap() {
            Event::Tick { id, starts } => self.on_tick(id, starts),
            Event::Deliver { from, to, message } => self.on_deliver(from, to, message),
            Event::Written {
                id,
                starts,
                sequence,
            } => self.on_written(id, starts, sequence),
            Event::Restart(id) => self.restart(id),
            Event::ClientRequest => {
                let delay = 5 * MS + self.draw(40 * MS);
                self.schedule(delay, Event::ClientRequest);
                self.client_request();
            }
            Event::Fault => {
                let delay = 50 * MS + self.draw(700 * MS);
                self.schedule(delay, Event::Fault);
                self.fault();
            }
        }
    }

    fn on_tick(&mut self, id: NodeId, starts: u64) {
        let now = self.now;
        let replica = self.replica(id);
        if replica.starts != starts || replica.node.is_none() {
            return;
        }
        if replica.paused_until > now {
            let delay = replica.paused_until - now;
            return self.schedule(delay, Event::Tick { id, starts });
        }
        replica.next_tick = Micros::MAX;
        replica.node().tick(now);
        self.perform_actions(id);
    }

    fn on_deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        let now = self.now;
        let is_cut = self.cut_links.contains(&(from, to));
        let Some(replica) = self.replicas.get_mut(&to) else {
            return;
        };
        if is_cut || replica.node.is_none() {
            return;
        }
        if replica.paused_until > now {
            let delay = replica.paused_until - now;
            return self.schedule(delay, Event::Deliver { from, to, message });
        }
        // A process that was suspended updates its clock before it handles pending messages.
        replica.node().tick(now);
        replica.node().step(from, message);
        self.perform_actions(to);
    }

    fn on_written(&mut self, id: NodeId, starts: u64, sequence: u64) {
        let replica = self.replica(id);
        if replica.starts != starts || replica.node.is_none() {
            return;
        }
        replica.disk.flush(sequence);
        replica.node().persisted(sequence);
        self.perform_actions(id);
    }

    /// Handles the next event, or drops it if it is a client request or a fault.
    pub fn step_undisturbed(&mut self) {
        let Reverse((_, number)) = *self.queue.peek().unwrap();
        if matches!(self.events[&number], Event::ClientRequest | Event::Fault) {
            self.queue.pop();
            self.events.remove(&number);
        } else {
            self.step();
        }
    }
}
