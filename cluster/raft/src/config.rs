//! Timing and limits of a node, and their validation.

use crate::Micros;

#[cfg(test)]
mod tests;

/// The timing and limits of a node. All nodes of a cluster should have the same settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// The minimum time without a message from a leader after which a follower campaigns, in
    /// microseconds. The actual timeout is random, between this value and twice this value.
    pub election_timeout: Micros,
    /// The interval between a leader's heartbeats, in microseconds.
    pub heartbeat_interval: Micros,
    /// The maximum size of the entries in one message, in bytes. A single larger entry is sent
    /// alone.
    pub max_message_bytes: usize,
    /// The maximum number of unanswered messages with entries to one peer.
    pub max_inflight_messages: usize,
    /// The limit on proposed but uncommitted entries, in bytes. Proposals are rejected while it is
    /// exceeded.
    pub max_uncommitted_bytes: usize,
    /// The maximum number of entries that a learner may lack to be promoted.
    pub promotion_threshold: u64,
    /// The maximum number of entries in one [`Action::Apply`](crate::Action::Apply).
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

/// The reason why a [`Config`] is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A setting that must be positive is zero.
    #[error("`{0}` must be greater than zero")]
    Zero(&'static str),
    /// The heartbeat interval is not shorter than the election timeout, so followers would
    /// campaign against a live leader.
    #[error("`heartbeat_interval` must be shorter than `election_timeout`")]
    HeartbeatTooSlow,
}

impl Config {
    /// Checks that the settings are in range and consistent with each other.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the settings break.
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
