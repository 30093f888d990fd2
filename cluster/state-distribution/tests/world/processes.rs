//! Starts, stops, restarts and resumes the simulated processes.

use std::collections::BTreeMap;

use rand_chacha::rand_core::RngCore;
use violetgate_raft::NodeId;
use violetgate_replicated_state::Store;
use violetgate_state_distribution::*;

use super::{Event, ObserverProcess, SubscriberProcess, World};

impl World {
    /// Activates a mutant in all processes.
    #[cfg(feature = "mutants")]
    pub fn set_mutant(&mut self, mutant: Mutant) {
        self.mutant = Some(mutant);
        for core in self
            .observers
            .values_mut()
            .filter_map(|process| process.core.as_mut())
        {
            core.set_mutant(self.mutant);
        }
        for process in &mut self.subscribers {
            process.core.set_mutant(self.mutant);
        }
    }

    pub(super) fn add_observer(&mut self, id: NodeId) {
        let process = ObserverProcess {
            core: None,
            store: Store::default(),
            applied: 0,
            paused_until: 0,
            starts: 0,
            tick_at: u64::MAX,
            reads: Vec::new(),
            apply_scheduled: false,
        };
        self.observers.insert(id, process);
        self.start_observer(id);
    }

    /// Starts an observer's process with the store that its disk holds.
    pub fn start_observer(&mut self, id: NodeId) {
        let config = ObserverConfig {
            id,
            ..self.observer_config.clone()
        };
        let process = self.observers.get_mut(&id).unwrap();
        if process.core.is_none() {
            process.core = Some(Observer::new(config, self.now));
            #[cfg(feature = "mutants")]
            process.core.as_mut().unwrap().set_mutant(self.mutant);
            process.starts += 1;
            self.schedule_apply(id);
            self.after_observer(id);
        }
    }

    fn new_subscriber(&mut self, n: usize) -> SubscriberProcess {
        let config = SubscriberConfig {
            name: format!("front-end-{n}"),
            ..self.subscriber_config.clone()
        };
        let seed = self.rng.next_u64();
        #[cfg_attr(
            not(feature = "mutants"),
            expect(unused_mut, reason = "only a mutant changes it")
        )]
        let mut core = Subscriber::new(config, seed, self.now);
        #[cfg(feature = "mutants")]
        core.set_mutant(self.mutant);
        SubscriberProcess {
            core,
            paused_until: 0,
            rate: u64::MAX,
            tick_at: u64::MAX,
            links: BTreeMap::new(),
            last_revision: 0,
        }
    }

    pub(super) fn add_subscriber(&mut self, n: usize) {
        let process = self.new_subscriber(n);
        self.subscribers.push(process);
        self.after_subscriber(n);
    }

    /// Restarts a gateway's process without its state.
    pub fn restart_subscriber(&mut self, n: usize) {
        let connections: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, c)| c.subscriber == n)
            .map(|(id, _)| *id)
            .collect();
        connections
            .into_iter()
            .for_each(|id| self.end_by_subscriber(id));
        self.subscribers[n] = self.new_subscriber(n);
        self.after_subscriber(n);
    }

    /// Kills an observer's process. Its store remains.
    pub fn kill_observer(&mut self, id: NodeId) {
        let connections: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, c)| c.observer == id)
            .map(|(id, _)| *id)
            .collect();
        connections
            .into_iter()
            .for_each(|id| self.end_by_observer(id, None));
        let process = self.observers.get_mut(&id).unwrap();
        process.core = None;
        process.reads.clear();
    }

    /// Resumes all processes at full speed.
    pub fn resume_all(&mut self) {
        for process in &mut self.subscribers {
            (process.paused_until, process.rate, process.tick_at) = (0, u64::MAX, self.now);
        }
        for process in self.observers.values_mut() {
            (process.paused_until, process.tick_at) = (0, self.now);
        }
        let ids: Vec<NodeId> = self.observers.keys().copied().collect();
        ids.into_iter()
            .for_each(|id| self.schedule(self.now, Event::TickObserver(id)));
        (0..self.subscribers.len()).for_each(|n| self.schedule(self.now, Event::TickSubscriber(n)));
    }
}
