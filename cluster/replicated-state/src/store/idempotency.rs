//! Idempotency: remembers the outcomes of recent requests, so that a repeated request gets the
//! first outcome and is not carried out again.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Outcome;

/// Maximum number of remembered outcomes. The oldest is dropped first.
const MAX_OUTCOMES: usize = 10_000;

/// The outcomes of the most recent requests, by request id.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct RequestOutcomes {
    by_id: BTreeMap<String, Outcome>,
    /// The request ids, oldest first.
    order: VecDeque<String>,
}

impl RequestOutcomes {
    pub(super) fn outcome(&self, request_id: &str) -> Option<&Outcome> {
        self.by_id.get(request_id)
    }

    pub(super) fn remember(&mut self, request_id: &str, outcome: &Outcome) {
        self.by_id.insert(request_id.to_owned(), outcome.clone());
        self.order.push_back(request_id.to_owned());
        if self.order.len() > MAX_OUTCOMES {
            if let Some(oldest) = self.order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}
