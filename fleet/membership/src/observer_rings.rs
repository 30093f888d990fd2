//! Assigns observers to members, as in Rapid: on each of a few rings, ordered by hash, a member is
//! observed by its predecessor.
//!
//! Each member computes the rings from its view, so members with equal views agree on the
//! observers. The number of observers of a member and the number of probes that it sends don't
//! depend on the size of the fleet.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::member_update::MemberName;
use crate::stable_hash::stable_hash;

/// Position of a member on a ring. Positions are ordered by hash, then by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RingPlace {
    hash: u64,
    name: MemberName,
}

impl RingPlace {
    fn new(name: &MemberName, ring: u64) -> Self {
        RingPlace {
            hash: stable_hash(name, ring),
            name: MemberName::clone(name),
        }
    }
}

/// Rings of all members that may be serving, which determine who observes whom.
#[derive(Debug, Clone)]
pub struct ObserverRings(Vec<BTreeSet<RingPlace>>);

impl ObserverRings {
    /// Creates `count` empty rings. A member has at most that many observers.
    #[must_use]
    pub fn new(count: usize) -> Self {
        ObserverRings(vec![BTreeSet::new(); count])
    }

    /// Adds a member to all rings.
    pub fn add(&mut self, name: &MemberName) {
        for (ring, number) in self.0.iter_mut().zip(0..) {
            ring.insert(RingPlace::new(name, number));
        }
    }

    /// Removes a member from all rings.
    pub fn remove(&mut self, name: &MemberName) {
        for (ring, number) in self.0.iter_mut().zip(0..) {
            ring.remove(&RingPlace::new(name, number));
        }
    }

    /// Frees allocated memory that is not used.
    pub(crate) fn shrink_to_fit(&mut self) {
        for ring in &mut self.0 {
            *ring = std::mem::take(ring).into_iter().collect();
        }
    }

    /// Returns the members that a member observes: its successor on each ring.
    #[must_use]
    pub fn subjects_of(&self, name: &MemberName) -> BTreeSet<MemberName> {
        self.neighbours(name, |ring, own| {
            let after = (Bound::Excluded(own), Bound::Unbounded);
            ring.range(after).next().or_else(|| ring.first())
        })
    }

    /// Returns the members that observe a member: its predecessor on each ring.
    #[must_use]
    pub fn observers_of(&self, name: &MemberName) -> BTreeSet<MemberName> {
        self.neighbours(name, |ring, own| {
            ring.range(..own).next_back().or_else(|| ring.last())
        })
    }

    fn neighbours(
        &self,
        name: &MemberName,
        neighbour: impl for<'a> Fn(&'a BTreeSet<RingPlace>, &RingPlace) -> Option<&'a RingPlace>,
    ) -> BTreeSet<MemberName> {
        let rings = self.0.iter().zip(0..);
        rings
            .filter_map(|(ring, number)| neighbour(ring, &RingPlace::new(name, number)))
            .map(|place| MemberName::clone(&place.name))
            .filter(|other| other != name)
            .collect()
    }
}
