//! Holders whose memory can be reclaimed before they are done with it.

use std::rc::{Rc, Weak};

use crate::budget::Inner;
use crate::Purpose;

/// The order in which memory is reclaimed: from holders of a smaller rank first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReclaimRank {
    /// The peer has sent no complete request so far, and a part of its first one is held.
    FirstRequestIncomplete,
    /// The peer has sent complete requests before, and a part of its next one is held.
    LaterRequestIncomplete,
    /// The peer does not take its answer.
    AnswerUnread,
}

impl ReclaimRank {
    /// Whether memory of a holder of this rank is reclaimed for a charge for `purpose`. An unread
    /// answer is dropped only for other answers: their requests were accepted, while new requests
    /// can still be rejected.
    pub(crate) fn is_reclaimed_for(self, purpose: Purpose) -> bool {
        self != ReclaimRank::AnswerUnread || purpose == Purpose::Result
    }
}

/// The place of a holder in the order in which memory is reclaimed. The smallest one is first: large
/// holders before small ones, then by rank, then the one longest in its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReclaimPriority {
    is_small: bool,
    rank: ReclaimRank,
    since: u64,
}

impl ReclaimPriority {
    /// A holder of fewer bytes is small: reclaiming its memory makes little difference.
    pub const SMALL_HOLDER_BYTES: usize = 4 * 1024;

    /// Returns the priority of a holder of `bytes`, which has been in the state that its rank
    /// describes `since` a time. `None`: it holds nothing. All holders of a budget have to use the
    /// same clock; its unit does not matter.
    #[must_use]
    pub fn new(rank: ReclaimRank, bytes: usize, since: u64) -> Option<Self> {
        (bytes > 0).then_some(ReclaimPriority {
            is_small: bytes < Self::SMALL_HOLDER_BYTES,
            rank,
            since,
        })
    }

    /// Returns the rank.
    #[must_use]
    pub fn rank(&self) -> ReclaimRank {
        self.rank
    }
}

/// A holder that can give its memory back.
pub trait Reclaimable {
    /// Returns the holder's place in the order in which memory is reclaimed; `None` if it holds no
    /// memory that can be reclaimed now.
    fn reclaim_priority(&self) -> Option<ReclaimPriority>;

    /// Releases the memory: input at once, by revoking its charge, an answer as soon as its
    /// connection is closed. The holder must return no priority from then on.
    fn reclaim(&self);
}

/// Registers a holder with a budget until it is dropped.
pub struct HolderRegistration {
    pub(crate) budget: Weak<Inner>,
    pub(crate) id: u64,
}

impl Drop for HolderRegistration {
    fn drop(&mut self) {
        if let Some(budget) = self.budget.upgrade() {
            budget.holders.borrow_mut().remove(&self.id);
        }
    }
}

/// Reclaims the memory of the first holder in the order for a charge for `purpose`. Returns its rank;
/// `None` if there is no such holder.
pub(crate) fn reclaim_one(inner: &Inner, purpose: Purpose) -> Option<ReclaimRank> {
    let first = {
        let holders = inner.holders.borrow();
        let holders = holders.values().filter_map(Weak::upgrade);
        let candidates = holders.filter_map(|holder: Rc<dyn Reclaimable>| {
            let priority = holder.reclaim_priority()?;
            let is_reclaimed = priority.rank().is_reclaimed_for(purpose);
            is_reclaimed.then_some((priority, holder))
        });
        candidates.min_by_key(|(priority, _)| *priority)
    };
    let (priority, holder) = first?;
    holder.reclaim();
    Some(priority.rank())
}
