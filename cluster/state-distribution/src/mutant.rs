//! Deliberately wrong decisions (mutants), each of which the tests have to detect. No mutant can be
//! active without the feature `mutants`.

/// A deliberately wrong decision.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// A poll is confirmed by a read that began before the poll arrived.
    ConfirmsByEarlierRead,
    /// An observer confirms polls from its own copy, without a linearizable read.
    ConfirmsFromOwnCopy,
    /// The age of a replica is measured from the confirmation, not from the poll.
    AgeFromConfirmation,
    /// Changes that were not sent at once, because the subscriber's send queue was full, are never
    /// sent.
    SkipsHeldBack,
    /// A subscriber applies changes that leave a gap.
    AppliesGaps,
}
