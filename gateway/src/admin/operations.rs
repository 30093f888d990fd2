//! What operators' calls mean: the one place that reaches the program's parts for management.

use std::cell::RefCell;
use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use violetgate_policy::interface::Micros;

use super::{OperationOutcome, PendingOperation};
use crate::clock::Clock;
use crate::cordon_file::{CordonFile, EngineNames};
use crate::discovery::{DiscoverySource, EngineIds};
use crate::dispatch::Dispatch;
use crate::drain::DrainState;
use crate::fleet::Fleet;
use crate::log;
use crate::replication::{CommitError, Participant};
use crate::rest::Rest;
use crate::stats::Stats;

/// A bus that does not answer keeps a process from being called ready for this long; engines that serve are
/// known from the configuration all the same.
const WAIT: Duration = Duration::from_secs(1);

/// How often the other process's calls are looked for; they hold here, too.
const LOOK: Duration = Duration::from_millis(50);

/// A call that others have to agree on is answered within this time, and goes by this name in the change log.
const ANSWER: Duration = Duration::from_millis(900);
const WHO: &str = "management";

/// What operators' calls reach.
pub struct OperationTargets {
    /// Where the bus is, and whether it has told anything.
    pub place: Rc<DiscoverySource>,
    /// Engines' numbers by name.
    pub ids: Rc<EngineIds>,
    /// The decisions.
    pub dispatch: Rc<Dispatch>,
    /// Whether clients are let in.
    pub door: Rc<DrainState>,
    /// The figures.
    pub stats: Rc<Stats>,
    /// The REST front, if there is one.
    pub rest: Option<Rc<Rest>>,
    /// Engines called out, kept.
    pub store: CordonFile,
    /// The cluster that agrees on all this, if there is one.
    pub daemon: Option<Participant>,
    /// The fleet that this front end is one of, if it is told of one.
    pub fleet: Option<Rc<Fleet>>,
}

/// Carries out what operators call for.
pub struct Operations {
    clock: Clock,
    start: Micros,
    parts: OperationTargets,
    /// Engines that are called out.
    cordons: RefCell<EngineNames>,
}

impl Operations {
    /// Creates it, once clients' address is bound and the list of the start is known, and calls out the engines
    /// that were called out before.
    #[must_use]
    pub fn new(clock: Clock, parts: OperationTargets) -> Rc<Self> {
        let me = Operations {
            clock,
            start: clock.now(),
            parts,
            cordons: RefCell::default(),
        };
        if me.parts.daemon.is_none() {
            me.look();
        }
        Rc::new(me)
    }

    /// Follows, for ever, what another process of this front end was told. What a cluster agrees on comes another way.
    pub async fn watch(&self) {
        if self.parts.daemon.is_some() {
            return;
        }
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
        let found = self.parts.store.load();
        if let Ok(Some(names)) = &found {
            self.adopt(names.clone());
        }
        found.is_ok()
    }

    fn adopt(&self, names: EngineNames) {
        let held = self.cordons.replace(names.clone());
        for name in held.symmetric_difference(&names) {
            let out = names.contains(name);
            log::line(format_args!(
                "engine {name} is called {}",
                if out { "out" } else { "back" }
            ));
            self.parts.dispatch.cordon(self.parts.ids.number(name), out);
        }
    }

    /// False: nobody has that name.
    fn call(&self, name: &str, out: bool) -> bool {
        let known = self.parts.ids.known(name);
        if known {
            let held = self.cordons.borrow().clone();
            self.adopt(self.parts.store.change(&held, name, out));
        }
        known
    }
}

impl Operations {
    /// What the event bus costs, beside the figures of a cluster or a fleet.
    fn bus_figures(&self) -> String {
        let (sent, received) = self.parts.place.traffic();
        format!(
            "# HELP svc_bus_sent_bytes_total Bytes sent to the event bus.\n\
             # TYPE svc_bus_sent_bytes_total counter\nsvc_bus_sent_bytes_total {sent}\n\
             # HELP svc_bus_received_bytes_total Bytes received from the event bus.\n\
             # TYPE svc_bus_received_bytes_total counter\nsvc_bus_received_bytes_total {received}\n"
        )
    }
}

impl super::Operations for Operations {
    fn healthy(&self) -> bool {
        let heard =
            self.parts.place.heard() || self.clock.now() >= self.start + WAIT.as_micros() as Micros;
        heard && self.parts.daemon.as_ref().is_none_or(|d| d.is_open())
    }

    fn figures(&self) -> String {
        let engines = self.parts.dispatch.engine_counts();
        let shares_control = self.parts.daemon.is_some() || self.parts.fleet.is_some();
        let bus = if shares_control {
            self.bus_figures()
        } else {
            String::new()
        };
        self.parts.stats.text(engines.listed, engines.avoided)
            + &bus
            + &self
                .parts
                .rest
                .as_ref()
                .map(|r| r.figures())
                .unwrap_or_default()
            + &self
                .parts
                .daemon
                .as_ref()
                .map(|d| d.figures())
                .unwrap_or_default()
            + &self
                .parts
                .fleet
                .as_ref()
                .map(|f| f.figures())
                .unwrap_or_default()
    }

    fn cordon<'a>(&'a self, host: &'a str, out: bool) -> PendingOperation<'a> {
        let Some(daemon) = &self.parts.daemon else {
            let called = if self.call(host, out) {
                OperationOutcome::Done
            } else {
                OperationOutcome::Unknown
            };
            return Box::pin(ready(called));
        };
        Box::pin(async move {
            if !self.parts.ids.known(host) {
                return OperationOutcome::Unknown;
            }
            agreed(daemon.cordon(host, out, WHO, ANSWER).await)
        })
    }

    fn drain(&self, on: bool) -> PendingOperation<'_> {
        let Some(daemon) = &self.parts.daemon else {
            if on {
                self.parts.door.quiesce(self.clock.now());
            } else {
                self.parts.door.resume();
            }
            return Box::pin(ready(OperationOutcome::Done));
        };
        Box::pin(async move { agreed(daemon.drain(on, WHO, ANSWER).await) })
    }
}

fn agreed(done: Result<(), CommitError>) -> OperationOutcome {
    match done {
        Ok(()) => OperationOutcome::Done,
        Err(CommitError::NotAMember) => OperationOutcome::NotAMember,
        Err(_) => OperationOutcome::Unagreed,
    }
}
