//! The settings of a node.

use crate::Micros;

#[cfg(test)]
mod tests;

/// How a node behaves. All nodes of a cluster should have the same settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// How long a follower waits for a leader before it campaigns, in microseconds. The actual
    /// time-out is random, between this and twice this.
    pub election_timeout: Micros,
    /// How often a leader sends heartbeats, in microseconds.
    pub heartbeat_interval: Micros,
    /// The most bytes of entries in one message; a single entry may be larger.
    pub max_message_bytes: usize,
    /// The most unanswered messages with entries to one peer.
    pub max_inflight_messages: usize,
    /// The most bytes of proposed but uncommitted entries; above this, proposals are rejected.
    pub max_uncommitted_bytes: usize,
    /// The most entries that a learner may be missing when it is promoted.
    pub promotion_threshold: u64,
    /// The most entries in one [`Action::Apply`](crate::Action::Apply).
    pub max_apply_batch: usize,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            election_timeout: 500_000,
            heartbeat_interval: 100_000,
            max_message_bytes: 64 << 10,
            max_inflight_messages: 16,
            max_uncommitted_bytes: 8 << 20,
            promotion_threshold: 1_000,
            max_apply_batch: 4_096,
        }
    }
}

/// Why a [`Config`] can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A setting that has to be positive is zero.
    #[error("`{0}` must be greater than zero")]
    Zero(&'static str),
    /// Followers would campaign against a live leader.
    #[error("`heartbeat_interval` must be shorter than `election_timeout`")]
    HeartbeatTooSlow,
}

impl Config {
    /// Checks that the settings make sense together.
    ///
    /// # Errors
    ///
    /// The first rule that they break.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let positive = [
            ("election_timeout", self.election_timeout > 0),
            ("heartbeat_interval", self.heartbeat_interval > 0),
            ("max_inflight_messages", self.max_inflight_messages > 0),
            ("max_uncommitted_bytes", self.max_uncommitted_bytes > 0),
            ("max_apply_batch", self.max_apply_batch > 0),
        ];
        if let Some((setting, _)) = positive.iter().find(|(_, positive)| !positive) {
            return Err(ConfigError::Zero(setting));
        }
        if self.heartbeat_interval >= self.election_timeout {
            return Err(ConfigError::HeartbeatTooSlow);
        }
        Ok(())
    }
}
