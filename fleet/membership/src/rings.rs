//! Who watches whom: on each of a few rings a member is watched by the one before it. All members reckon it alike from
//! their views, so each is watched by the same few, whatever the size of the fleet, and what a member sends is flat.

use std::collections::{BTreeMap, BTreeSet};

use crate::claim::{place, Name};

/// The rings.
#[derive(Debug, Clone)]
pub struct Rings(Vec<BTreeMap<(u64, Name), ()>>);

impl Rings {
    /// So many empty rings.
    #[must_use]
    pub fn new(count: usize) -> Self {
        Rings(vec![BTreeMap::new(); count])
    }

    /// Puts a member on all of them.
    pub fn add(&mut self, name: &Name) {
        for (ring, at) in self.0.iter_mut().zip(0..) {
            ring.insert((place(name, at), Name::clone(name)), ());
        }
    }

    /// Takes a member off.
    pub fn remove(&mut self, name: &Name) {
        for (ring, at) in self.0.iter_mut().zip(0..) {
            ring.remove(&(place(name, at), Name::clone(name)));
        }
    }

    /// Drops the room that they hold in reserve.
    pub(crate) fn shrink(&mut self) {
        self.0
            .iter_mut()
            .for_each(|ring| *ring = std::mem::take(ring).into_iter().collect());
    }

    /// Those that a member watches: the next on each ring.
    #[must_use]
    pub fn watched_by(&self, name: &Name) -> BTreeSet<Name> {
        let next = |(ring, at): (&BTreeMap<(u64, Name), ()>, u64)| {
            let own = (place(name, at), Name::clone(name));
            let after = ring
                .range((std::ops::Bound::Excluded(&own), std::ops::Bound::Unbounded))
                .next();
            after
                .or_else(|| ring.first_key_value())
                .map(|((_, n), ())| Name::clone(n))
        };
        self.0
            .iter()
            .zip(0..)
            .filter_map(next)
            .filter(|n| n != name)
            .collect()
    }

    /// Those that watch a member: the one before it on each ring.
    #[must_use]
    pub fn watchers_of(&self, name: &Name) -> BTreeSet<Name> {
        let before = |(ring, at): (&BTreeMap<(u64, Name), ()>, u64)| {
            let own = (place(name, at), Name::clone(name));
            let back = ring.range(..&own).next_back();
            back.or_else(|| ring.last_key_value())
                .map(|((_, n), ())| Name::clone(n))
        };
        self.0
            .iter()
            .zip(0..)
            .filter_map(before)
            .filter(|n| n != name)
            .collect()
    }
}
