//! The subscriber role in a cluster: follows the shared state through observers, without being a
//! member.

use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_replica_runtime::{
    InvalidSubscriberConfig, SubscriberConfig, Subscription, SubscriptionStatus,
};

use super::metrics::SubscriberMetrics;
use super::reconcile::{ControlTargets, Reconciler};
use super::{display_or, FENCE_CHECK_INTERVAL, MICROS_PER_MS};
use crate::clock::micros;
use crate::fence::Fence;
use crate::log;
use crate::settings::{self, Settings};

/// The poll timeout is the drain limit divided by this value, but at most the default timeout. The
/// drain limit is the age at which state that was not confirmed again closes the fence.
const POLL_TIMEOUTS_IN_DRAIN_LIMIT: u32 = 5;
/// The maximum pause between checks of an open fence. A change of observer is logged within this
/// time.
const MAX_FENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A subscriber of a cluster, with its subscription to observers.
pub struct ClusterSubscriber {
    subscription: Rc<Subscription>,
    reconciler: Reconciler,
    /// Whether the fence was closed when it was last checked.
    was_fenced: Cell<bool>,
}

impl Fence for ClusterSubscriber {
    fn is_open(&self) -> bool {
        self.subscription.may_route().is_ok()
    }
}

fn subscriber_config(settings: &settings::Cluster) -> SubscriberConfig {
    let observers = settings.observer_addresses().into_keys().collect();
    let defaults = SubscriberConfig::default_for(&settings.name, &settings.front_end, observers);
    let drain_limit = settings.drain_limit.0;
    SubscriberConfig {
        drain_limit: micros(drain_limit),
        poll_interval: micros(settings.confirm_every.0),
        poll_timeout: defaults
            .poll_timeout
            .min(micros(drain_limit / POLL_TIMEOUTS_IN_DRAIN_LIMIT)),
        ..defaults
    }
}

impl ClusterSubscriber {
    /// Starts the subscription. The fence stays closed until the state is confirmed.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't guarantee a fresh state.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        own_settings: &Settings,
        settings: &settings::Cluster,
        seed: u64,
    ) -> Result<Rc<Self>, InvalidSubscriberConfig> {
        let config = subscriber_config(settings);
        let addresses = settings.observer_addresses();
        let subscription = Subscription::start(executor, config, addresses, seed)?;
        Ok(Rc::new(ClusterSubscriber {
            subscription,
            reconciler: Reconciler::new(settings.front_end.clone(), own_settings),
            was_fenced: Cell::new(true),
        }))
    }

    /// Connects the parts that the shared configuration controls, applies the committed
    /// configuration to them, and keeps applying its changes.
    pub fn attach(self: &Rc<Self>, executor: &Rc<LocalExecutor<'static>>, targets: ControlTargets) {
        self.reconciler.attach(targets);
        let subscriber = Rc::downgrade(self);
        // The configuration takes effect in the same step in which the subscription applies a
        // change, because the check for stale state, which controls the fence, treats the change as
        // in force from then on.
        self.subscription.on_applied(Rc::new(move |replica| {
            if let Some(subscriber) = subscriber.upgrade() {
                // Only members use the addresses of members.
                let _ = subscriber.reconciler.reconcile(replica);
            }
        }));
        executor.spawn(watch_fence(Rc::downgrade(self))).detach();
    }

    /// Returns the settings in force: this instance's own, overridden by the shared ones.
    #[must_use]
    pub fn settings(&self) -> Settings {
        self.reconciler.settings()
    }

    /// Applies this instance's own settings after they were reloaded.
    pub fn set_own_settings(&self, own: &Settings) {
        self.reconciler.set_own_settings(own);
    }

    /// Drains this instance locally, or ends the local drain. A drain in the shared configuration
    /// is not affected.
    pub fn set_local_drain(&self, drained: bool) {
        self.reconciler.set_local_drain(drained);
    }

    /// Returns the state of the subscription.
    #[must_use]
    pub fn status(&self) -> SubscriptionStatus {
        self.subscription.status()
    }

    /// Returns the subscription through which this gateway receives the replicated state.
    #[must_use]
    pub fn subscription(&self) -> &Subscription {
        &self.subscription
    }

    /// Returns the metrics of the subscriber in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        let metrics = SubscriberMetrics {
            status: self.status(),
            traffic: self.subscription.traffic(),
            fenced: self.reconciler.fenced_count(),
        };
        metrics.render()
    }

    /// Rejects queued requests while the fence is closed. If the fence has opened or closed since
    /// the last check, updates the drain state and logs it.
    fn check_fence(&self) {
        let Some(targets) = self.reconciler.targets() else {
            return;
        };
        let is_fenced = !self.is_open();
        if is_fenced {
            targets.dispatch.reject_queued();
        }
        if self.was_fenced.replace(is_fenced) != is_fenced {
            targets.drain.set_fenced(is_fenced);
            self.log_fence(is_fenced);
        }
    }

    fn log_fence(&self, is_fenced: bool) {
        let SubscriptionStatus {
            revision,
            watched,
            standby,
            freshness,
            rejection,
        } = self.status();
        let (observer, reserve) = (display_or(watched, "none"), display_or(standby, "none"));
        if !is_fenced {
            return log::write_line(format_args!(
                "cluster fence is open: revision={revision} observer={observer} reserve={reserve}"
            ));
        }
        let age = freshness.err().and_then(|stale| stale.age);
        let age_ms = display_or(age.map(|age| age / MICROS_PER_MS), "unknown");
        let refused = rejection.map(|reason| format!("{}: {reason}", reason.code()));
        let refused = display_or(refused, "none");
        log::write_line(format_args!(
            "cluster reason=stale fence is shut: age_ms={age_ms} revision={revision} \
             observer={observer} reserve={reserve} refused={refused}"
        ));
    }
}

/// Checks the fence periodically, and logs a change of observer. Ends when the subscriber is
/// dropped. In log lines, `reserve` is the standby observer.
async fn watch_fence(subscriber: Weak<ClusterSubscriber>) {
    let mut known_observer = None;
    while let Some(subscriber) = subscriber.upgrade() {
        subscriber.check_fence();
        let status = subscriber.status();
        if known_observer != status.watched {
            known_observer = status.watched;
            let observer = display_or(status.watched, "none");
            let reserve = display_or(status.standby, "none");
            log::write_line(format_args!(
                "cluster observer={observer} reserve={reserve} revision={}",
                status.revision
            ));
        }
        // An open fence can't close before its state becomes stale, so no check is needed until
        // then. A check at every `FENCE_CHECK_INTERVAL`, fifty times a second, would be most of the
        // CPU cost of the control plane.
        let time_left = subscriber.subscription.time_until_stale();
        drop(subscriber);
        let pause = time_left.clamp(FENCE_CHECK_INTERVAL, MAX_FENCE_CHECK_INTERVAL);
        Timer::after(pause).await;
    }
}
