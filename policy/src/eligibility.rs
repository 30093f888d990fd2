//! Decides whether an attempt of a query may go to an engine.
//!
//! - Decides: this module allows the attempt, or denies it with a [`SendDenied`].
//! - Inputs: it uses the state of the query, the class's limits on zones, kinds and repetition, the
//!   engine's state in the list, and the limits on retries and on engines that warm up.
//! - Reason: these constraints apply whatever placement prefers. Every send is checked twice: when
//!   an engine is chosen, and when the attempt is sent.

use crate::interface::Engine;
use crate::state::{EngineRecord, Query};
use crate::Gateway;

/// Why an attempt of a query may not go to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendDenied {
    /// The query has its final answer.
    QueryFinished,
    /// Another attempt of the query has not ended.
    AttemptOut,
    /// The deadline of the query has passed.
    DeadlinePassed,
    /// The engine is not listed as ready, or is cordoned.
    EngineNotInUse,
    /// The class may not run in the engine's zone or on its kind.
    ClassNotAllowed,
    /// The query has had its maximum number of attempts, or it may have run and must not run twice.
    NotRepeatable,
    /// The query may have run, and the engine does not discard a duplicate of it now.
    OutsideDedupGroup,
    /// An earlier query with the same ordering key is open, or an attempt of another query with
    /// that key may still run.
    KeyOrder,
    /// The engine warms up, and this gateway may not send it more work now.
    EngineWarmingUp,
    /// The attempt would be a retry, and the retry budget is spent.
    RetryBudgetSpent,
}

impl Gateway {
    /// Checks whether an attempt of a query may go to an engine now.
    pub(crate) fn check_send(
        &self,
        query: &Query,
        engine: &EngineRecord,
    ) -> Result<(), SendDenied> {
        if query.is_finished {
            return Err(SendDenied::QueryFinished);
        }
        if query.attempt.is_some() {
            return Err(SendDenied::AttemptOut);
        }
        if self.now >= query.deadline {
            return Err(SendDenied::DeadlinePassed);
        }
        if !engine.in_use() {
            return Err(SendDenied::EngineNotInUse);
        }
        if !self.class_is_allowed(query, &engine.listed) {
            return Err(SendDenied::ClassNotAllowed);
        }
        if self.reason_not_to_repeat(query).is_some() {
            return Err(SendDenied::NotRepeatable);
        }
        if !self.discards_duplicates_of(query, &engine.listed) {
            return Err(SendDenied::OutsideDedupGroup);
        }
        if !self.key_allows(query) {
            return Err(SendDenied::KeyOrder);
        }
        if !self.slow_start_allows(query, engine) {
            return Err(SendDenied::EngineWarmingUp);
        }
        if query.attempts > 0 && !self.retry_budget_allows() {
            return Err(SendDenied::RetryBudgetSpent);
        }
        Ok(())
    }

    /// Returns whether a query's class may run in the zone and on the kind of an engine.
    fn class_is_allowed(&self, query: &Query, engine: &Engine) -> bool {
        let class = self.class_of(query);
        let allows = |allowed: &Option<Vec<u32>>, number: u32| {
            allowed
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&number))
        };
        allows(&class.allowed_zones, engine.zone) && allows(&class.allowed_kinds, engine.kind)
    }
}
