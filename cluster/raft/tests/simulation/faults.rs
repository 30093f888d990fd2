//! Faults of machines and the network, and injected bugs that the checks must detect.

use std::collections::BTreeSet;

use violetgate_raft::NodeId;

use crate::cluster::{SimulatedCluster, SECOND};

/// A bug in the simulated runtime around the nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// Writes are acknowledged before they are durable.
    AcknowledgesUnwritten,
    /// A crash loses the stored vote.
    ForgetsVotes,
    /// Reads are served without confirmation by a majority.
    ReadsWithoutQuorum,
}

impl SimulatedCluster {
    /// Causes a random fault, starts a crashed replica, or ends the current faults.
    pub fn fault(&mut self) {
        let id = self.draw_replica();
        match self.draw(9) {
            0 | 1 => {
                if self.replicas[&id].node.is_some() {
                    self.crash(id);
                } else {
                    self.start(id);
                }
            }
            2 => {
                let pause = self.draw(2 * SECOND);
                self.replica(id).paused_until = self.now + pause;
            }
            3 | 4 => self.cut_link(id),
            5 => self.partition(),
            6 => self.loss_percent = self.draw(30),
            _ => self.end_faults(),
        }
    }

    /// Cuts the link between a replica and a random one, in one or both directions.
    fn cut_link(&mut self, id: NodeId) {
        let other = self.draw_replica();
        self.cut_links.insert((id, other));
        if self.draw(2) == 0 {
            self.cut_links.insert((other, id));
        }
    }

    /// Divides the cluster into two random partitions.
    fn partition(&mut self) {
        let ids = self.ids();
        let mut side = BTreeSet::new();
        for id in &ids {
            if self.draw_bool() {
                side.insert(*id);
            }
        }
        for from in &ids {
            for to in &ids {
                if side.contains(from) != side.contains(to) {
                    self.cut_links.insert((*from, *to));
                }
            }
        }
    }

    /// Ends all network faults, and starts the replicas that are down.
    pub fn end_faults(&mut self) {
        self.cut_links.clear();
        self.loss_percent = 0;
        for id in self.ids() {
            if self.replicas[&id].node.is_none() {
                self.start(id);
            }
        }
    }

    /// Crashes a replica's process. Of its writes in progress, the oldest 0 to 2 have reached the
    /// disk, but none if the injected bug is [`InjectedBug::AcknowledgesUnwritten`].
    pub fn crash(&mut self, id: NodeId) {
        let written = self.draw(3) as usize;
        let bug = self.bug;
        let replica = self.replica(id);
        replica.node = None;
        replica.disk.received.clear();
        let unwritten = std::mem::take(&mut replica.disk.unwritten);
        if bug != InjectedBug::AcknowledgesUnwritten {
            for write in unwritten.into_iter().take(written) {
                replica.disk.write(write);
            }
        }
        if bug == InjectedBug::ForgetsVotes {
            replica.disk.hard_state.vote = None;
        }
    }

    pub fn restart(&mut self, id: NodeId) {
        if self.replicas[&id].node.is_some() {
            self.crash(id);
            self.start(id);
        }
    }
}
