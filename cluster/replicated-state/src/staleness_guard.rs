//! The gate between agreed state and routing: nothing is sent on a copy that was not confirmed within the limit.
//!
//! A copy is confirmed by a linearizable read: the question is asked, a majority answers that it still has the same
//! leader, and all up to the entry that it names is applied here. It is then as young as the moment of the
//! question, by this member's own clock; no two clocks are ever compared. That clock has to count the time in which
//! the process or the machine stood still (CLOCK_BOOTTIME): one that wakes finds its copy old, whatever it was
//! doing. A member that is cut off, one that comes back with an old disk, and one whose leader is deposed and does
//! not know it, all fail the same way: no question of theirs is answered.

use std::collections::BTreeMap;

use crate::Micros;

/// Questions that wait for their answer, or for entries to be applied; the oldest gives way.
const ASKED: usize = 64;

/// The copy is too old to route on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stale {
    /// How old it is; `None`: it was never confirmed.
    pub age: Option<Micros>,
}

/// The gate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StalenessGuard {
    limit: Micros,
    confirmed: Option<Micros>,
    applied: u64,
    /// Questions by their name: when each was asked, and the entry that its answer named.
    asked: BTreeMap<u64, (Micros, Option<u64>)>,
    next: u64,
}

impl StalenessGuard {
    /// A gate that is shut until the first confirmation. `limit` is the drain limit.
    #[must_use]
    pub fn new(limit: Micros) -> Self {
        StalenessGuard {
            limit,
            confirmed: None,
            applied: 0,
            asked: BTreeMap::new(),
            next: 0,
        }
    }

    /// Begins a question; its name, to be asked of the cluster from this moment on and not before.
    pub fn begin_confirmation(&mut self, now: Micros) -> u64 {
        self.next += 1;
        self.asked.insert(self.next, (now, None));
        while self.asked.len() > ASKED {
            self.asked.pop_first();
        }
        self.next
    }

    /// The cluster has answered a question: all up to this entry has to be applied.
    pub fn confirmation_answered(&mut self, question: u64, index: u64) {
        if let Some(asked) = self.asked.get_mut(&question) {
            asked.1 = Some(index);
        }
        self.settle();
    }

    /// The cluster can't answer a question.
    pub fn confirmation_failed(&mut self, question: u64) {
        self.asked.remove(&question);
    }

    /// All up to this entry is applied here.
    pub fn applied_up_to(&mut self, index: u64) {
        self.applied = self.applied.max(index);
        self.settle();
    }

    fn settle(&mut self) {
        let (applied, confirmed) = (self.applied, &mut self.confirmed);
        self.asked.retain(|_, (at, index)| {
            let done = index.is_some_and(|i| i <= applied);
            if done {
                *confirmed = (*confirmed).max(Some(*at));
            }
            !done
        });
    }

    /// Whether a send may leave now.
    ///
    /// # Errors
    ///
    /// The copy is too old, or the clock has gone backwards, which it never may: then no age can be told.
    pub fn check(&self, now: Micros) -> Result<(), Stale> {
        let age = self.confirmed.and_then(|at| now.checked_sub(at));
        match age {
            Some(age) if age < self.limit => Ok(()),
            age => Err(Stale { age }),
        }
    }

    /// How long sends may go on from now without another confirmation; 0: none may leave.
    #[must_use]
    pub fn remaining_validity(&self, now: Micros) -> Micros {
        let age = self.confirmed.and_then(|at| now.checked_sub(at));
        age.map_or(0, |age| self.limit.saturating_sub(age))
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests {
    use super::*;

    const LIMIT: Micros = 2_000_000;

    /// A copy is as old as its question, not as its answer; an answer that names what is not applied yet confirms
    /// nothing; late answers never make it younger; time that was slept through counts.
    #[test]
    fn a_copy_is_as_old_as_its_question() {
        let mut gate = StalenessGuard::new(LIMIT);
        assert_eq!(
            (gate.check(5), gate.remaining_validity(5)),
            (Err(Stale { age: None }), 0)
        );
        let (one, two) = (gate.begin_confirmation(100), gate.begin_confirmation(200));
        gate.confirmation_answered(two, 7);
        assert!(gate.check(300).is_err(), "entry 7 is not applied here");
        gate.applied_up_to(6);
        assert!(gate.check(300).is_err());
        gate.applied_up_to(7);
        assert!(gate.check(200 + LIMIT - 1).is_ok());
        assert_eq!(
            (
                gate.remaining_validity(200 + LIMIT - 1),
                gate.remaining_validity(200 + LIMIT)
            ),
            (1, 0)
        );
        assert_eq!(gate.check(200 + LIMIT), Err(Stale { age: Some(LIMIT) }));
        gate.confirmation_answered(one, 3);
        assert_eq!(
            gate.check(200 + LIMIT),
            Err(Stale { age: Some(LIMIT) }),
            "an older question"
        );
        assert_eq!(
            gate.check(150),
            Err(Stale { age: None }),
            "a clock that goes back tells no age"
        );
        let lost = gate.begin_confirmation(LIMIT);
        gate.confirmation_failed(lost);
        gate.confirmation_answered(lost, 1);
        assert!(gate.check(200 + LIMIT).is_err());
    }

    /// Questions that are never answered don't pile up.
    #[test]
    fn questions_are_bounded() {
        let mut gate = StalenessGuard::new(LIMIT);
        let last = (0..1_000).map(|at| gate.begin_confirmation(at)).max();
        assert_eq!(last, Some(1_000));
        assert_eq!(gate.asked.len(), ASKED);
    }
}
