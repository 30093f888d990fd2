//! A limit for the memory that peers can make a process hold.
//!
//! Code that holds bytes of a peer also holds a [`Charge`] for them. The limit is divided by
//! [`Purpose`]: each purpose has a guaranteed share that no other can use, and all purposes compete
//! for the rest. If a charge does not fit, memory is reclaimed from [`Reclaimable`] holders, in the
//! order of their [`ReclaimPriority`]: first from those whose peer has sent no complete request yet.
//!
//! This crate does no I/O and reads no clock.
//!
//! ```
//! use violetgate_memory_budget::{MemoryBudget, Purpose};
//!
//! let budget = MemoryBudget::new(1_000);
//! let statement = budget.charge(Purpose::Request, 300)?;
//! assert_eq!(budget.used(), 300);
//! assert!(budget.charge(Purpose::Request, 700).is_err());
//! drop(statement);
//! assert_eq!(budget.used(), 0);
//! # Ok::<(), violetgate_memory_budget::BudgetExhausted>(())
//! ```

mod budget;
mod charge;
mod purpose;
mod reclaim;

pub use budget::{BudgetCounts, MemoryBudget, NextRelease};
pub use charge::{BudgetExhausted, Charge};
pub use purpose::Purpose;
pub use reclaim::{HolderRegistration, ReclaimPriority, ReclaimRank, Reclaimable};
