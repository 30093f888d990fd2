//! What operators' calls mean: the one place that reaches the program's parts for management.

use std::rc::Rc;
use std::time::Duration;

use linnetreach::interface::Micros;

use crate::admin;
use crate::bus::Place;
use crate::client::session::Sessions;
use crate::clock::Clock;

/// A bus that does not answer keeps a process from being called ready for this long; engines that serve are
/// known from the configuration all the same.
const WAIT: Duration = Duration::from_secs(1);

/// Carries out what operators call for.
pub struct Operations {
    clock: Clock,
    start: Micros,
    place: Rc<Place>,
    sessions: Rc<Sessions>,
}

impl Operations {
    /// Creates it, once clients' address is bound and the list of the start is known.
    #[must_use]
    pub fn new(clock: Clock, place: Rc<Place>, sessions: Rc<Sessions>) -> Self {
        Operations { clock, start: clock.now(), place, sessions }
    }
}

impl admin::Operations for Operations {
    fn healthy(&self) -> bool {
        self.place.heard() || self.clock.now() >= self.start + WAIT.as_micros() as Micros
    }

    fn quiesce(&self) {
        self.sessions.quiesce();
    }

    fn resume(&self) {
        self.sessions.resume();
    }
}
