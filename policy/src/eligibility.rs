//! Whether a send is allowed at all.
//!
//! - Decides: [`SendDenied`], or that an attempt of a query may go to an engine.
//! - Inputs: the state of the query, the class's bounds on zones, kinds and repetition, the
//!   engine's state in the list, and the limits on retries and on engines that are warming up.
//! - Reason: these constraints hold whatever placement prefers. Every send passes them, once
//!   when an engine is chosen and again when the attempt is sent.

use crate::interface::Engine;
use crate::state::{EngineRecord, Query};
use crate::Gateway;

/// Why an attempt of a query may not go to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendDenied {
    /// The query has its final answer.
    QueryFinished,
    /// Another attempt of it is out.
    AttemptOut,
    /// Its deadline has passed.
    DeadlinePassed,
    /// The engine is not listed as ready, or is cordoned.
    EngineNotInUse,
    /// The class is bound to other zones or kinds of engine.
    OutsideBounds,
    /// It has had all its attempts, or must not run twice.
    NotRepeatable,
    /// The engine would not discard a duplicate, or no longer.
    OutsideDedupGroup,
    /// An earlier query of its key comes first.
    KeyOrder,
    /// The engine warms up and has had its share of work.
    EngineWarmingUp,
    /// The retry budget is spent.
    RetryBudgetSpent,
}

impl Gateway {
    /// Whether an attempt of a query may go to an engine now.
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
        if !self.is_within_bounds(query, &engine.listed) {
            return Err(SendDenied::OutsideBounds);
        }
        if self.repetition_limit(query).is_some() {
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

    /// Whether a class may run in an engine's zone and on its kind.
    fn is_within_bounds(&self, query: &Query, engine: &Engine) -> bool {
        let class = self.class_of(query);
        let allows = |allowed: &Option<Vec<u32>>, number: u32| {
            allowed
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&number))
        };
        allows(&class.allowed_zones, engine.zone) && allows(&class.allowed_kinds, engine.kind)
    }
}
