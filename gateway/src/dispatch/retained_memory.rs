//! Charges what is remembered of requests after they have ended.

use violetgate_memory_budget::{BudgetExhausted, Charge, MemoryBudget, Purpose};
use violetgate_policy::RememberedCounts;

/// The memory of the id of a request that was closed recently, with its place in the order of age.
const ID_BYTES: usize = 64;
/// The memory of an idempotency key, with what is known of its attempts and its expiry.
const KEY_BYTES: usize = 400;
/// The memory of the order of an ordering key, and of an entry of the retry budget's history.
const ORDERING_KEY_BYTES: usize = 192;
const HISTORY_ENTRY_BYTES: usize = 16;

/// The numbers of entries that are remembered.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetainedCounts {
    /// Ids of requests that are open or were closed recently.
    pub ids: usize,
    /// Idempotency keys.
    pub keys: usize,
    /// What the decisions remember.
    pub decisions: RememberedCounts,
}

impl RetainedCounts {
    fn bytes(&self) -> usize {
        self.ids * ID_BYTES
            + self.keys * KEY_BYTES
            + self.decisions.ordering_keys * ORDERING_KEY_BYTES
            + self.decisions.history * HISTORY_ENTRY_BYTES
    }
}

/// The memory of what is remembered of requests after they have ended.
pub(super) struct RetainedMemory(Charge);

impl RetainedMemory {
    pub(super) fn new(budget: &MemoryBudget) -> Self {
        RetainedMemory(budget.empty_charge(Purpose::Retained))
    }

    /// Charges what is remembered.
    pub(super) fn charge(&self, counts: &RetainedCounts) -> Result<(), BudgetExhausted> {
        self.0.resize(counts.bytes())
    }
}
