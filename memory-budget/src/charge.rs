//! Bytes that are charged to a budget while they are held.

use std::cell::Cell;

use thiserror::Error;

use crate::{MemoryBudget, Purpose};

/// A charge does not fit into the budget, even after all memory that can be reclaimed for it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error(
    "{bytes} bytes for purpose `{}` do not fit into the memory limit: raise `limits.memory_mb`, or lower the load",
    .purpose.name()
)]
pub struct BudgetExhausted {
    /// What the bytes were for.
    pub purpose: Purpose,
    /// How many further bytes were asked for.
    pub bytes: usize,
}

/// Bytes charged to a [`MemoryBudget`] until the value is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: MemoryBudget,
    purpose: Purpose,
    bytes: Cell<usize>,
    is_revoked: Cell<bool>,
}

impl Charge {
    pub(crate) fn empty(budget: MemoryBudget, purpose: Purpose) -> Self {
        Charge {
            budget,
            purpose,
            bytes: Cell::new(0),
            is_revoked: Cell::new(false),
        }
    }

    /// Returns the number of bytes charged.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Returns what the bytes are held for.
    #[must_use]
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// Changes the number of bytes. For a larger number, memory of other holders may be reclaimed.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the additional bytes do not fit into the budget, or if the
    /// charge was revoked.
    pub fn resize(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        let additional = bytes.saturating_sub(self.bytes());
        let exhausted = BudgetExhausted {
            purpose: self.purpose,
            bytes: additional,
        };
        if additional > 0 {
            // The holder of this charge may itself be the first one whose memory is reclaimed.
            self.budget
                .reclaim_until_fits(self.purpose, additional, || self.is_revoked.get())?;
        }
        if self.is_revoked.get() {
            return Err(exhausted);
        }
        self.set(bytes);
        Ok(())
    }

    /// Whether at most half of the limit is in use after so many additional bytes are charged. Bytes
    /// that are not needed yet should be charged only then.
    #[must_use]
    pub fn has_spare(&self, additional: usize) -> bool {
        !self.is_revoked.get() && self.budget.has_spare(additional)
    }

    /// Returns the bytes to the budget for good. What they were charged for must be dropped soon.
    pub fn revoke(&self) {
        self.set(0);
        self.is_revoked.set(true);
    }

    /// Whether the charge was revoked.
    #[must_use]
    pub fn is_revoked(&self) -> bool {
        self.is_revoked.get()
    }

    fn set(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        self.budget.change(self.purpose, before, bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}
