//! This front end as a subscriber of a cluster: it follows what members agree on without being one of them.
//!
//! What is agreed on is done here in the very turn in which it is applied. It must never let anything be sent on state
//! that was not confirmed within the drain limit: it is the program's [`Fence`].

use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_raft::NodeId;
use violetgate_replica_runtime::{
    InvalidSubscriberConfig, SubscriberConfig, Subscription, SubscriptionStatus,
};

use super::metrics::SubscriberFigures;
use super::reconcile::{ControlTargets, Reconciler};
use super::LOOK;
use crate::fence::Fence;
use crate::log;
use crate::settings::{self, Settings};

/// An observer may leave a question unanswered for this part of the drain limit, and for the core's default at most.
const ANSWERS_IN_LIMIT: u32 = 5;
/// How long an open gate is left alone; a change of observer is logged within this time.
const LONGEST_LOOK: Duration = Duration::from_millis(250);

/// This front end as a subscriber.
pub struct ClusterSubscriber {
    subscription: Rc<Subscription>,
    state: Reconciler,
    shut: Cell<bool>,
}

impl Fence for ClusterSubscriber {
    fn is_open(&self) -> bool {
        self.subscription.may_route().is_ok()
    }
}

fn config(given: &settings::Cluster) -> SubscriberConfig {
    let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    let observers = given.observer_addresses().into_keys().collect();
    let defaults = SubscriberConfig::default_for(&given.name, &given.front_end, observers);
    SubscriberConfig {
        drain_limit: micros(given.drain_limit.0),
        poll_interval: micros(given.confirm_every.0),
        poll_timeout: defaults
            .poll_timeout
            .min(micros(given.drain_limit.0 / ANSWERS_IN_LIMIT)),
        ..defaults
    }
}

fn number(id: Option<NodeId>) -> String {
    id.map_or("none".to_owned(), |id| id.to_string())
}

impl ClusterSubscriber {
    /// Begins to subscribe. Nothing may be sent until the state is confirmed.
    ///
    /// # Errors
    ///
    /// The state can't be kept fresh with these settings.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        own: &Settings,
        given: &settings::Cluster,
        seed: u64,
    ) -> Result<Rc<Self>, InvalidSubscriberConfig> {
        let subscription =
            Subscription::start(executor, config(given), given.observer_addresses(), seed)?;
        let state = Reconciler::new(given.front_end.clone(), own);
        Ok(Rc::new(ClusterSubscriber {
            subscription,
            state,
            shut: Cell::new(true),
        }))
    }

    /// Names what agreed state reaches, does what is agreed on so far, and goes on doing so.
    pub fn attach(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>, parts: ControlTargets) {
        self.state.attach(parts);
        let me = Rc::downgrade(self);
        // In the very turn in which it is applied: the gate may count it from then on.
        self.subscription.on_applied(Rc::new(move |replica| {
            if let Some(me) = me.upgrade() {
                // Where members are matters to members alone.
                let _ = me.state.adopt(replica);
            }
        }));
        executor.spawn(look(Rc::downgrade(self))).detach();
    }

    /// The settings that hold here: the agreed ones over this instance's own.
    #[must_use]
    pub fn settings(&self) -> Settings {
        self.state.settings()
    }

    /// This instance's own settings were read anew.
    pub fn own(&self, own: &Settings) {
        self.state.set_own(own);
    }

    /// Drains this front end by itself, or ends that; a drain that is agreed on stays.
    pub fn drain_here(&self, on: bool) {
        self.state.drain_here(on);
    }

    /// What the subscription is at.
    #[must_use]
    pub fn status(&self) -> SubscriptionStatus {
        self.subscription.status()
    }

    /// The subscription itself.
    #[must_use]
    pub fn subscription(&self) -> &Subscription {
        &self.subscription
    }

    /// The figures, in the text format of Prometheus.
    #[must_use]
    pub fn figures(&self) -> String {
        let traffic = self.subscription.traffic();
        SubscriberFigures {
            status: self.status(),
            traffic,
            turned_away: self.state.turned_away(),
        }
        .text()
    }

    /// Notices that the fence was shut or opened.
    fn look(&self) {
        let Some(parts) = self.state.parts() else {
            return;
        };
        let shut = !self.is_open();
        if shut {
            parts.dispatch.shut();
        }
        if self.shut.replace(shut) == shut {
            return;
        }
        parts.door.fence(shut);
        let SubscriptionStatus {
            revision,
            watched,
            standby,
            freshness,
            rejection,
        } = self.status();
        let (watched, standby) = (number(watched), number(standby));
        if !shut {
            return log::line(format_args!(
                "cluster sends again: revision={revision} observer={watched} reserve={standby}"
            ));
        }
        let age = freshness.err().and_then(|stale| stale.age);
        let age = age.map_or("unknown".to_owned(), |age| (age / 1000).to_string());
        let refused = rejection.map_or("none".to_owned(), |why| format!("{}: {why}", why.code()));
        log::line(format_args!(
            "cluster reason=stale sends nothing: age_ms={age} revision={revision} observer={watched} \
             reserve={standby} refused={refused}"
        ));
    }
}

async fn look(of: Weak<ClusterSubscriber>) {
    let mut observer = None;
    while let Some(subscribed) = of.upgrade() {
        subscribed.look();
        let SubscriptionStatus {
            watched,
            standby,
            revision,
            ..
        } = subscribed.status();
        if observer != watched {
            observer = watched;
            let (watched, standby) = (number(watched), number(standby));
            log::line(format_args!(
                "cluster observer={watched} reserve={standby} revision={revision}"
            ));
        }
        // An open gate can't shut before that: fifty looks a second would be most of what control costs.
        let pause = subscribed
            .subscription
            .time_until_stale()
            .clamp(LOOK, LONGEST_LOOK);
        drop(subscribed);
        Timer::after(pause).await;
    }
}
