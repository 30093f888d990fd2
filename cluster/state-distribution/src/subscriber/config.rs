//! Configuration of a subscriber, with its defaults and validation.

use violetgate_raft::NodeId;
use violetgate_replicated_state::Micros;

/// The delay before another connection attempt: drawn uniformly between 0 and a bound (full
/// jitter), which doubles with each failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// The first bound, in microseconds.
    pub initial: Micros,
    /// The largest bound, in microseconds.
    pub max: Micros,
}

impl Backoff {
    /// Returns the bound that follows `bound`, in microseconds. A `bound` of 0 is followed by the
    /// first bound.
    pub(super) fn next_bound(&self, bound: Micros) -> Micros {
        bound.saturating_mul(2).clamp(self.initial, self.max)
    }
}

/// The intervals and time limits of a [`Subscriber`](crate::Subscriber).
#[derive(Debug, Clone)]
pub struct SubscriberConfig {
    /// The name of the cluster; observers of other clusters reject this subscriber.
    pub cluster: String,
    /// This gateway's name, unique in the fleet.
    pub name: String,
    /// The ids of all observers that this subscriber may connect to.
    pub observers: Vec<NodeId>,
    /// The age in microseconds at which the replica becomes too old to route on.
    pub drain_limit: Micros,
    /// How often the watched observer is polled, in microseconds.
    pub poll_interval: Micros,
    /// How long an observer may leave a poll unanswered before the standby is polled as well and
    /// takes over, in microseconds.
    pub poll_timeout: Micros,
    /// The bounds of the delay between connection attempts.
    pub backoff: Backoff,
}

/// A configured value with which a subscriber can't keep its replica fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSubscriberConfig {
    /// An interval or limit is 0.
    #[error("a subscriber's {field} has to be at least 1 us")]
    Zero {
        /// The name of the field that is 0.
        field: &'static str,
    },
    /// The replica would be stale before the next poll.
    #[error(
        "a subscriber's poll interval of {poll_interval} us has to be shorter than \
         its drain limit of {drain_limit} us"
    )]
    PollsTooSeldom {
        /// The poll interval, in microseconds.
        poll_interval: Micros,
        /// The drain limit, in microseconds.
        drain_limit: Micros,
    },
    /// The first bound of the backoff is larger than the largest.
    #[error(
        "a subscriber's first backoff of {initial} us has to be at most the largest, {max} us"
    )]
    BackoffOrder {
        /// The first bound, in microseconds.
        initial: Micros,
        /// The largest bound, in microseconds.
        max: Micros,
    },
}

impl SubscriberConfig {
    /// Returns the default configuration for a gateway of a cluster with these observers.
    #[must_use]
    pub fn default_for(cluster: &str, name: &str, observers: Vec<NodeId>) -> Self {
        SubscriberConfig {
            cluster: cluster.to_owned(),
            name: name.to_owned(),
            observers,
            drain_limit: 2_000_000,
            poll_interval: 500_000,
            poll_timeout: 400_000,
            backoff: Backoff {
                initial: 50_000,
                max: 2_000_000,
            },
        }
    }

    /// Checks that the replica can be kept fresh with this configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if an interval or limit is 0, if the poll interval is not shorter than the
    /// drain limit, or if the first backoff bound is larger than the largest.
    pub fn validate(&self) -> Result<(), InvalidSubscriberConfig> {
        let fields = [
            ("drain limit", self.drain_limit),
            ("poll interval", self.poll_interval),
            ("poll timeout", self.poll_timeout),
        ];
        if let Some((field, _)) = fields.into_iter().find(|(_, value)| *value == 0) {
            return Err(InvalidSubscriberConfig::Zero { field });
        }
        if self.poll_interval >= self.drain_limit {
            return Err(InvalidSubscriberConfig::PollsTooSeldom {
                poll_interval: self.poll_interval,
                drain_limit: self.drain_limit,
            });
        }
        let Backoff { initial, max } = self.backoff;
        if initial > max {
            return Err(InvalidSubscriberConfig::BackoffOrder { initial, max });
        }
        Ok(())
    }
}
