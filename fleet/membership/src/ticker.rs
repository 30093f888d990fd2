//! Entry point for periodic work.

use crate::config::Mutant;
use crate::membership::{Action, Membership};
use crate::Micros;

impl Membership {
    /// Does the work that is due at `now`. Must be called about every 50 ms: a call that comes more
    /// than 200 ms after the previous one is taken for a pause of this process.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        let pause = self.health.record_tick(self.now);
        if self.has_stopped() {
            return;
        }
        if let Some(pause) = pause.filter(|_| !self.has_mutant(Mutant::TrustsItselfAfterPause)) {
            self.recover_from_pause(pause);
        }
        self.health.check_recovery(self.peers.serving_count());
        self.check_probes(actions);
        self.send_probes(actions);
        self.declare_deaths(actions);
        self.contact_dead_and_seeds(actions);
        self.send_gossip(actions);
        self.compare_views(actions);
        self.continue_transfers(actions);
        self.forget_departed();
    }
}
