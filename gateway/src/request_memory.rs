//! The memory of open requests.

use std::rc::Rc;

use violetgate_memory_budget::{BudgetExhausted, Charge, MemoryBudget, Purpose};

/// A longer statement is large: requests with large statements can't use the memory that is
/// guaranteed to small ones.
const SMALL_STATEMENT_BYTES: usize = 4 * 1024;
/// What the parts of the gateway hold for an open request in addition to its statement.
const BOOKKEEPING_BYTES: usize = 2 * 1024;

/// The memory of an open request, which is charged until the last clone is dropped.
#[derive(Debug, Clone, Default)]
pub struct RequestMemory {
    _charges: Option<Rc<[Charge]>>,
}

impl RequestMemory {
    /// Charges a request with a statement of the given size.
    ///
    /// # Errors
    ///
    /// Fails if it does not fit into the memory budget.
    pub fn charge(
        budget: &MemoryBudget,
        statement_bytes: usize,
    ) -> Result<RequestMemory, BudgetExhausted> {
        let charges: Rc<[Charge]> = if statement_bytes <= SMALL_STATEMENT_BYTES {
            let bytes = BOOKKEEPING_BYTES + statement_bytes;
            Rc::new([budget.charge(Purpose::Request, bytes)?])
        } else {
            Rc::new([
                budget.charge(Purpose::Request, BOOKKEEPING_BYTES)?,
                budget.charge(Purpose::LargeStatement, statement_bytes)?,
            ])
        };
        Ok(RequestMemory {
            _charges: Some(charges),
        })
    }
}
