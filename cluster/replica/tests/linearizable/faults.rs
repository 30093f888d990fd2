//! Fault injection: kills and suspends processes, and cuts links.

use violetgate_raft::NodeId;

use crate::cluster::{SimulatedCluster, SECOND, SERVERS};

impl SimulatedCluster {
    /// Injects one random fault, or ends all faults except suspensions.
    pub fn inject_fault(&mut self) {
        let (id, other) = (self.draw_server(), self.draw_server());
        match self.draw(7) {
            0 | 1 => self.kill_or_start(id),
            2 => {
                let pause = self.draw(4 * SECOND);
                self.server(id).paused_until = self.now + pause;
            }
            3 => {
                self.cut_links.insert((id, other));
            }
            4 => self.isolate(id),
            _ => self.end_faults(),
        }
    }

    fn kill_or_start(&mut self, id: NodeId) {
        let server = self.server(id);
        if server.replica.take().is_some() {
            server.pending_writes.clear();
            server.process += 1;
        } else {
            self.start(id);
        }
    }

    fn isolate(&mut self, id: NodeId) {
        for peer in 1..=SERVERS {
            self.cut_links.insert((id, peer));
            self.cut_links.insert((peer, id));
        }
    }

    fn end_faults(&mut self) {
        self.cut_links.clear();
        for id in 1..=SERVERS {
            if self.servers[&id].replica.is_none() {
                self.start(id);
            }
        }
    }
}
