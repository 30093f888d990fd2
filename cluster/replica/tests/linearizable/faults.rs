//! Faults: processes killed and suspended, links cut.

use violetgate_raft::NodeId;

use crate::cluster::{SimulatedCluster, SECOND, SERVERS};

impl SimulatedCluster {
    /// One random fault, or the end of all but pauses.
    pub fn fault(&mut self) {
        let (id, other) = (self.draw_server(), self.draw_server());
        match self.draw(7) {
            0 | 1 => self.kill_or_start(id),
            2 => {
                let pause = self.draw(4 * SECOND);
                self.server(id).paused_until = self.now + pause;
            }
            3 => {
                self.cut.insert((id, other));
            }
            4 => self.isolate(id),
            _ => self.heal(),
        }
    }

    fn kill_or_start(&mut self, id: NodeId) {
        let server = self.server(id);
        if server.replica.take().is_some() {
            server.unwritten.clear();
            server.starts += 1;
        } else {
            self.start(id);
        }
    }

    fn isolate(&mut self, id: NodeId) {
        for peer in 1..=SERVERS {
            self.cut.insert((id, peer));
            self.cut.insert((peer, id));
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
        for id in 1..=SERVERS {
            if self.servers[&id].replica.is_none() {
                self.start(id);
            }
        }
    }
}
