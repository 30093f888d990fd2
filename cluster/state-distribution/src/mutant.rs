//! Ways to decide wrongly, for tests that have to notice each; without the feature `mutants` none ever holds.

/// A way to decide wrongly.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// A question is answered by a read that began before it.
    AnswersByEarlierRead,
    /// An observer answers from its own copy, without a read.
    AnswersFromOwnCopy,
    /// The age of a replica counts from the answer, not from the question.
    AgeFromAnswer,
    /// A batch that is held back from a slow subscriber is not sent later.
    SkipsHeldBack,
    /// A subscriber takes changes that leave a gap.
    TakesGaps,
}
