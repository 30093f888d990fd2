//! What operators' calls mean: the one place that reaches the program's parts for management.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use linnetreach::interface::Micros;

use crate::admin;
use crate::bus::{Ids, Place};
use crate::client::session::Sessions;
use crate::clock::Clock;
use crate::dispatch::Dispatch;
use crate::log;
use crate::stats::Stats;
use crate::store::{Names, Store};

/// A bus that does not answer keeps a process from being called ready for this long; engines that serve are
/// known from the configuration all the same.
const WAIT: Duration = Duration::from_secs(1);

/// How often the other process's calls are looked for; they hold here, too.
const LOOK: Duration = Duration::from_millis(50);

/// Carries out what operators call for.
pub struct Operations {
    clock: Clock,
    start: Micros,
    place: Rc<Place>,
    ids: Rc<Ids>,
    dispatch: Rc<Dispatch>,
    sessions: Rc<Sessions>,
    stats: Rc<Stats>,
    store: Store,
    /// Engines that are called out.
    cordons: RefCell<Names>,
}

impl Operations {
    /// Creates it, once clients' address is bound and the list of the start is known, and calls out the engines
    /// that were called out before.
    #[must_use]
    pub fn new(
        clock: Clock,
        place: Rc<Place>,
        ids: Rc<Ids>,
        dispatch: Rc<Dispatch>,
        sessions: Rc<Sessions>,
        stats: Rc<Stats>,
        store: Store,
    ) -> Rc<Self> {
        let (start, cordons) = (clock.now(), RefCell::default());
        let me = Operations { clock, start, place, ids, dispatch, sessions, stats, store, cordons };
        me.look();
        Rc::new(me)
    }

    /// Follows, for ever, what another process of this front end was told.
    pub async fn watch(&self) {
        let mut spoilt = false;
        loop {
            Timer::after(LOOK).await;
            // Told once: a file that stays spoilt would fill the log.
            spoilt = !self.look() && {
                if !spoilt {
                    log::line("cordons can't be read; those that hold here stay");
                }
                true
            };
        }
    }

    /// False: the file can't be read.
    fn look(&self) -> bool {
        let found = self.store.load();
        if let Ok(Some(names)) = &found {
            self.adopt(names.clone());
        }
        found.is_ok()
    }

    fn adopt(&self, names: Names) {
        let held = self.cordons.replace(names.clone());
        for name in held.symmetric_difference(&names) {
            let out = names.contains(name);
            log::line(format_args!("engine {name} is called {}", if out { "out" } else { "back" }));
            self.dispatch.cordon(self.ids.number(name), out);
        }
    }

    /// False: nobody has that name.
    fn call(&self, name: &str, out: bool) -> bool {
        let known = self.ids.known(name);
        if known {
            let held = self.cordons.borrow().clone();
            self.adopt(self.store.change(&held, name, out));
        }
        known
    }
}

impl admin::Operations for Operations {
    fn healthy(&self) -> bool {
        self.place.heard() || self.clock.now() >= self.start + WAIT.as_micros() as Micros
    }

    fn figures(&self) -> String {
        let (known, skipped) = self.dispatch.listed();
        self.stats.text(known, skipped)
    }

    fn cordon(&self, host: &str) -> bool {
        self.call(host, true)
    }

    fn uncordon(&self, host: &str) -> bool {
        self.call(host, false)
    }

    fn quiesce(&self) {
        self.sessions.quiesce();
    }

    fn resume(&self) {
        self.sessions.resume();
    }
}
