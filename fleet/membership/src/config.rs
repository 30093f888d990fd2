//! Settings of a member. All members of a fleet need the same settings; otherwise the member with
//! the longest timeouts determines how soon a death is detected.

use thiserror::Error;

use crate::Micros;

/// Settings of a member. Durations are in microseconds.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between two probes of one member by one observer.
    pub probe_interval: Micros,
    /// Time to wait for the answer to a direct probe, and then again for the answers to indirect
    /// probes.
    pub probe_timeout: Micros,
    /// Minimum time for which a member is suspected before it is declared dead.
    pub suspicion_timeout: Micros,
    /// Maximum number of observers that probe each member.
    pub observers_per_member: usize,
    /// Number of members that are asked for an indirect probe when a direct probe has no answer.
    pub indirect_probes: usize,
    /// Minimum time between two rounds of gossip.
    pub gossip_interval: Micros,
    /// Number of members that receive gossip in each round.
    pub gossip_fanout: usize,
    /// Mean time between two comparisons of views.
    pub anti_entropy_interval: Micros,
    /// Maximum average rate at which a member sends bucket sums and transfers, in bytes per second.
    pub anti_entropy_bytes_per_s: u64,
    /// How long members that are dead or have left stay in the view. Dead members are contacted
    /// during this time.
    pub forget_after: Micros,
    /// Maximum number of other members in the view, including dead ones.
    pub max_members: usize,
    /// Fault to inject in mutation tests.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_interval: 1_000_000,
            probe_timeout: 300_000,
            suspicion_timeout: 3_400_000,
            observers_per_member: 4,
            indirect_probes: 3,
            gossip_interval: 100_000,
            gossip_fanout: 3,
            anti_entropy_interval: 5_000_000,
            anti_entropy_bytes_per_s: 8_000,
            forget_after: 600_000_000,
            max_members: 16_384,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }
}

/// Why a [`MembershipConfig`] is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The named duration is zero.
    #[error("`{0}` is 0: set a positive duration")]
    ZeroSpan(&'static str),
    /// The named count is zero.
    #[error("`{0}` is 0: set at least 1")]
    ZeroCount(&'static str),
}

impl MembershipConfig {
    /// Checks that all required durations and counts are positive.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] that names the first setting that is zero.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let spans = [
            ("probe_interval", self.probe_interval),
            ("probe_timeout", self.probe_timeout),
            ("suspicion_timeout", self.suspicion_timeout),
            ("gossip_interval", self.gossip_interval),
            ("anti_entropy_interval", self.anti_entropy_interval),
        ];
        if let Some((name, _)) = spans.iter().find(|(_, span)| *span == 0) {
            return Err(ConfigError::ZeroSpan(name));
        }
        let counts = [
            ("observers_per_member", self.observers_per_member),
            ("gossip_fanout", self.gossip_fanout),
            ("max_members", self.max_members),
        ];
        match counts.iter().find(|(_, count)| *count == 0) {
            Some((name, _)) => Err(ConfigError::ZeroCount(name)),
            None => Ok(()),
        }
    }

    /// Returns whether a fault is to be injected. Only tests with the feature `mutants` set one.
    #[cfg(feature = "mutants")]
    pub(crate) fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Returns `false`: without the feature `mutants` no fault is injected.
    #[cfg(not(feature = "mutants"))]
    #[expect(
        clippy::unused_self,
        reason = "the signature is the same as with the feature `mutants`"
    )]
    pub(crate) fn has_mutant(&self, _: Mutant) -> bool {
        false
    }
}

/// A fault that mutation tests inject to check that the other tests would detect it. Without the
/// feature `mutants` none is ever injected.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// After a pause of its own process, a member suspects others without waiting for messages of
    /// other members.
    TrustsItselfAfterPause,
    /// An update with the state `Alive` is accepted even if its number of refutations is outdated.
    IgnoresRefutationCount,
    /// An update with the state `Alive` is accepted even if its incarnation is outdated, and a
    /// newer incarnation of a member doesn't supersede the older one.
    IgnoresIncarnation,
    /// A member that answers only indirect probes is suspected.
    TreatsCutLinkAsFailure,
    /// One observer is enough to declare a member dead.
    ConfirmsFailureAlone,
    /// A member doesn't refute its suspicion or death.
    NeverRefutes,
    /// The last of the buckets that differ is not requested.
    SkipsOneBucket,
    /// Transferred updates are accepted even if they are outdated.
    AcceptsStaleTransfer,
}
