//! The limit, and what is charged to it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};

use crate::charge::{BudgetExhausted, Charge};
use crate::purpose::Purpose;
use crate::reclaim::{self, HolderRegistration, ReclaimRank, Reclaimable};

/// Memory is spare while at most the limit divided by this number is in use.
const SPARE_DIVISOR: usize = 2;

/// A limit in bytes for the memory that peers can make this process hold. Clones share the limit.
#[derive(Clone)]
pub struct MemoryBudget(Rc<Inner>);

pub(crate) struct Inner {
    limit: Cell<usize>,
    /// The bytes charged for each purpose, by its number.
    used: [Cell<usize>; Purpose::ALL.len()],
    peak: Cell<usize>,
    rejected: Cell<u64>,
    reclaimed: Cell<u64>,
    pub(crate) holders: RefCell<BTreeMap<u64, Weak<dyn Reclaimable>>>,
    next_holder: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
    /// How often bytes were returned. It tells waiting tasks whether to look again.
    releases: Cell<u64>,
}

/// Counts since the creation of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetCounts {
    /// The highest number of bytes that were charged at the same time.
    pub peak: usize,
    /// The number of charges that did not fit.
    pub rejected: u64,
    /// The number of holders whose memory was reclaimed.
    pub reclaimed: u64,
}

impl fmt::Debug for MemoryBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "MemoryBudget({} of {} bytes)",
            self.used(),
            self.limit()
        )
    }
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        MemoryBudget(Rc::new(Inner {
            limit: Cell::new(limit),
            used: Default::default(),
            peak: Cell::new(0),
            rejected: Cell::new(0),
            reclaimed: Cell::new(0),
            holders: RefCell::default(),
            next_holder: Cell::new(0),
            waiting: RefCell::default(),
            releases: Cell::new(0),
        }))
    }

    /// Returns the limit in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.0.limit.get()
    }

    /// Changes the limit. If more is in use, the memory of incomplete requests is reclaimed at once.
    /// The rest stays in use until its holders release it, and nothing more is charged before.
    pub fn resize(&self, limit: usize) {
        self.0.limit.set(limit);
        while self.used() > limit && self.reclaim_for(Purpose::Input).is_some() {}
    }

    /// Returns the number of bytes charged for all purposes together.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used.iter().map(Cell::get).sum()
    }

    /// Returns the number of bytes charged for one purpose.
    #[must_use]
    pub fn used_for(&self, purpose: Purpose) -> usize {
        self.cell(purpose).map_or(0, Cell::get)
    }

    /// Returns the counts since the budget was created.
    #[must_use]
    pub fn counts(&self) -> BudgetCounts {
        BudgetCounts {
            peak: self.0.peak.get(),
            rejected: self.0.rejected.get(),
            reclaimed: self.0.reclaimed.get(),
        }
    }

    /// Returns a charge of no bytes, which can be resized.
    #[must_use]
    pub fn empty_charge(&self, purpose: Purpose) -> Charge {
        Charge::empty(self.clone(), purpose)
    }

    /// Charges `bytes`. Memory of other holders may be reclaimed.
    ///
    /// # Errors
    ///
    /// Fails if they do not fit.
    pub fn charge(&self, purpose: Purpose, bytes: usize) -> Result<Charge, BudgetExhausted> {
        let charge = self.empty_charge(purpose);
        charge.resize(bytes)?;
        Ok(charge)
    }

    /// Registers a holder whose memory can be reclaimed, until the returned value is dropped.
    #[must_use]
    pub fn register(&self, holder: Weak<dyn Reclaimable>) -> HolderRegistration {
        let id = self.0.next_holder.get();
        self.0.next_holder.set(id + 1);
        self.0.holders.borrow_mut().insert(id, holder);
        HolderRegistration {
            budget: Rc::downgrade(&self.0),
            id,
        }
    }

    /// Completes when bytes are returned after the call.
    #[must_use]
    pub fn next_release(&self) -> NextRelease {
        NextRelease {
            inner: Rc::clone(&self.0),
            seen: self.0.releases.get(),
        }
    }

    /// Reclaims memory until additional bytes fit, or until `is_pointless` returns true.
    pub(crate) fn reclaim_until_fits(
        &self,
        purpose: Purpose,
        additional: usize,
        is_pointless: impl Fn() -> bool,
    ) -> Result<(), BudgetExhausted> {
        while !self.fits(purpose, additional) {
            // An answer is not returned at once, so one at a time is enough.
            let rank = self.reclaim_for(purpose);
            let is_returned_later = rank == Some(ReclaimRank::AnswerUnread);
            if rank.is_none() || is_returned_later || is_pointless() {
                self.0.rejected.set(self.0.rejected.get() + 1);
                return Err(BudgetExhausted {
                    purpose,
                    bytes: additional,
                });
            }
        }
        Ok(())
    }

    pub(crate) fn has_spare(&self, additional: usize) -> bool {
        self.used() + additional <= self.limit() / SPARE_DIVISOR
    }

    pub(crate) fn change(&self, purpose: Purpose, before: usize, after: usize) {
        if let Some(used) = self.cell(purpose) {
            used.set(used.get() + after - before);
        }
        self.0.peak.set(self.0.peak.get().max(self.used()));
        if after < before {
            self.0.releases.set(self.0.releases.get() + 1);
            for waker in self.0.waiting.take() {
                waker.wake();
            }
        }
    }

    fn cell(&self, purpose: Purpose) -> Option<&Cell<usize>> {
        self.0.used.get(purpose as usize)
    }

    fn reclaim_for(&self, purpose: Purpose) -> Option<ReclaimRank> {
        let rank = reclaim::reclaim_one(&self.0, purpose)?;
        self.0.reclaimed.set(self.0.reclaimed.get() + 1);
        Some(rank)
    }

    /// Whether additional bytes fit: what all purposes use beyond their guaranteed shares has to
    /// fit into the part of the limit that is guaranteed to nobody.
    fn fits(&self, purpose: Purpose, additional: usize) -> bool {
        let limit = self.limit();
        if self.used().saturating_add(additional) > limit {
            return false;
        }
        let mut unguaranteed = limit;
        let mut beyond = 0;
        for other in Purpose::ALL {
            let guaranteed = other.guaranteed_bytes(limit);
            let mut used = self.used_for(other);
            if other == purpose {
                used += additional;
            }
            unguaranteed -= guaranteed;
            beyond += used.saturating_sub(guaranteed);
        }
        let own = self.used_for(purpose) + additional;
        own <= purpose.guaranteed_bytes(limit) || beyond <= unguaranteed
    }
}

/// Waits until bytes are returned to a budget.
#[derive(Clone)]
pub struct NextRelease {
    inner: Rc<Inner>,
    seen: u64,
}

impl Future for NextRelease {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.inner.releases.get() != self.seen {
            return Poll::Ready(());
        }
        let mut waiting = self.inner.waiting.borrow_mut();
        if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
            waiting.push(context.waker().clone());
        }
        Poll::Pending
    }
}
