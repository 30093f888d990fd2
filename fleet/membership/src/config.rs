//! How a member behaves. All members of a fleet need the same settings, or the slowest decides how
//! soon a death is known.

use thiserror::Error;

use crate::Micros;

/// Settings of a member. Spans are in microseconds.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between two probes of one member by one observer.
    pub probe_interval: Micros,
    /// How long the answer to a probe may take, and then again the answer to indirect probes.
    pub probe_timeout: Micros,
    /// How long a member is suspected at least before it is declared dead.
    pub suspicion_timeout: Micros,
    /// How many observers probe each member.
    pub observers_per_member: usize,
    /// How many indirect probes are requested where one has no answer.
    pub indirect_probes: usize,
    /// Time between two rounds of gossip.
    pub gossip_interval: Micros,
    /// How many members get each round of gossip.
    pub gossip_fanout: usize,
    /// Mean time between two comparisons of views.
    pub anti_entropy_interval: Micros,
    /// Bytes a second that a member may send to reconcile views.
    pub anti_entropy_bytes_per_s: u64,
    /// How long members that are dead or have left are remembered, and how long dead ones are
    /// contacted.
    pub forget_after: Micros,
    /// The most other members that are known, dead ones included.
    pub max_members: usize,
    /// A wrong decision that tests have to notice.
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

/// Why settings can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// A span has to be positive.
    #[error("`{0}` is 0: set a positive span")]
    ZeroSpan(&'static str),
    /// A number has to be positive.
    #[error("`{0}` is 0: set at least 1")]
    ZeroCount(&'static str),
}

impl MembershipConfig {
    /// Checks that a member can work with these settings.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the first setting that is out of range.
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

    /// Whether a wrong decision is to be made, which only tests with the feature `mutants` ask for.
    #[cfg(feature = "mutants")]
    pub(crate) fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// Whether a wrong decision is to be made, which only tests with the feature `mutants` ask for.
    #[cfg(not(feature = "mutants"))]
    #[expect(
        clippy::unused_self,
        reason = "the same call as with the feature `mutants`"
    )]
    pub(crate) fn has_mutant(&self, _: Mutant) -> bool {
        false
    }
}

/// A wrong decision, for tests that have to notice it. Without the feature `mutants` none is ever
/// made.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// After a pause of its process a member suspects others at once for what was its own silence.
    TrustsItselfAfterPause,
    /// Any update that says alive is accepted, whatever its number of refutations.
    IgnoresRefutationCount,
    /// Any update that says alive is accepted, whatever its incarnation.
    IgnoresIncarnation,
    /// A member that answers indirect probes only is suspected.
    TreatsCutLinkAsFailure,
    /// One observer is enough to declare a member dead.
    ConfirmsFailureAlone,
    /// A member does not refute what is said of it.
    NeverRefutes,
    /// One of the buckets that differ is never requested.
    SkipsOneBucket,
    /// Requested updates are accepted whatever their precedence.
    AcceptsStaleTransfer,
}
