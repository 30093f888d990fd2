//! Keeps the listed engines in an order that differs from gateway to gateway. A gateway draws
//! samples from the first engines of its order without a pass over all engines.

use rand_chacha::rand_core::RngCore;

use crate::interface::{Engine, EngineId, EngineState};

/// The set of engines that a sample is drawn from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Region {
    /// The engines of this gateway's zone, or all engines if the gateway has no zone.
    OwnZone,
    /// All engines.
    Everywhere,
}

/// Hashes a gateway and an engine to a number from 0 to 1 (SplitMix64). The number never changes
/// for a pair, and is uniformly distributed over pairs.
pub(crate) fn stable_hash_fraction(gateway: u64, engine: EngineId) -> f64 {
    let mut hash = gateway
        ^ u64::from(engine)
            .wrapping_add(1)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((hash ^ (hash >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// An engine with the hash that determines its place in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// The bits of the engine's [`stable_hash_fraction`]. Positive floats and their bits sort
    /// alike.
    hash_bits: u64,
    engine: EngineId,
}

/// The listed engines, in order of their [`stable_hash_fraction`].
#[derive(Debug)]
pub(crate) struct EngineSampler {
    gateway: u64,
    zone: Option<u32>,
    everywhere: Vec<Place>,
    own_zone: Vec<Place>,
}

impl EngineSampler {
    /// Creates a sampler without engines. `gateway` is the seed of the gateway, and `zone` is its
    /// zone.
    pub fn new(gateway: u64, zone: Option<u32>) -> Self {
        EngineSampler {
            gateway,
            zone,
            everywhere: Vec::new(),
            own_zone: Vec::new(),
        }
    }

    /// Removes all engines.
    pub fn clear(&mut self) {
        self.everywhere.clear();
        self.own_zone.clear();
    }

    /// Applies an entry of the engine list. An engine that is listed as removed loses its place.
    pub fn update(&mut self, engine: &Engine) {
        let place = Place {
            hash_bits: stable_hash_fraction(self.gateway, engine.id).to_bits(),
            engine: engine.id,
        };
        let listed = engine.state != EngineState::Removed;
        set_listed(&mut self.everywhere, place, listed);
        if self.zone.is_some() {
            let in_zone = self.zone == Some(engine.zone);
            set_listed(&mut self.own_zone, place, listed && in_zone);
        }
    }

    /// Returns the number of engines in a region.
    pub fn len(&self, region: Region) -> usize {
        self.places(region).len()
    }

    /// Draws `count` engines, each with the same probability, from the first `prefix_len` engines
    /// of a region. An engine may be drawn more than once.
    pub fn sample(
        &self,
        region: Region,
        prefix_len: usize,
        count: usize,
        rng: &mut impl RngCore,
    ) -> Vec<EngineId> {
        let places = self.places(region);
        let first = places
            .get(..prefix_len.min(places.len()))
            .unwrap_or_default();
        let mut draw = || {
            let index = rng.next_u32() as usize % first.len().max(1);
            first.get(index).map(|place| place.engine)
        };
        (0..count).filter_map(|_| draw()).collect()
    }

    fn places(&self, region: Region) -> &[Place] {
        if region == Region::OwnZone && self.zone.is_some() {
            &self.own_zone
        } else {
            &self.everywhere
        }
    }
}

fn set_listed(places: &mut Vec<Place>, place: Place, listed: bool) {
    match places.binary_search(&place) {
        Ok(index) if !listed => drop(places.remove(index)),
        Err(index) if listed => places.insert(index, place),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
