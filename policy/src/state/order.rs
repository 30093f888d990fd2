//! The listed engines in an order of this gateway's own, so that one of many engines is found by
//! its place without a
//! pass over all of them. A container: nothing is decided here.

use rand_chacha::rand_core::RngCore;

use crate::interface::{EngineId, EngineState};

use super::{lot, Engine};

/// An engine with the bits of its [`lot`]; positive floats and their bits are in the same order.
type Place = (u64, EngineId);

/// The listed engines by their [`lot`], all of them and those of this gateway's zone.
#[derive(Debug)]
pub(crate) struct Order {
    own: u64,
    zone: Option<u32>,
    all: Vec<Place>,
    near: Vec<Place>,
}

impl Order {
    /// An empty order; `own` is the gateway's number, `zone` where it is.
    pub fn new(own: u64, zone: Option<u32>) -> Self {
        Order {
            own,
            zone,
            all: Vec::new(),
            near: Vec::new(),
        }
    }

    /// Forgets all engines.
    pub fn clear(&mut self) {
        self.all.clear();
        self.near.clear();
    }

    /// Takes what the list says of an engine: one that is gone loses its place.
    pub fn set(&mut self, engine: &Engine) {
        let place = (lot(self.own, engine.id).to_bits(), engine.id);
        let listed = engine.state != EngineState::Gone;
        put(&mut self.all, place, listed);
        if self.zone.is_some() {
            put(
                &mut self.near,
                place,
                listed && self.zone == Some(engine.zone),
            );
        }
    }

    /// How many engines are listed, and how many of them are near.
    pub fn len(&self, near: bool) -> usize {
        self.places(near).len()
    }

    /// So many engines drawn by chance, each alike, from the first `among` places; some may come twice.
    pub fn draw(
        &self,
        near: bool,
        among: usize,
        count: usize,
        rng: &mut impl RngCore,
    ) -> Vec<EngineId> {
        let places = self.places(near);
        let first = places.get(..among.min(places.len())).unwrap_or_default();
        let mut draw = || {
            first
                .get(rng.next_u32() as usize % first.len().max(1))
                .map(|(_, engine)| *engine)
        };
        (0..count).filter_map(|_| draw()).collect()
    }

    /// Without a zone of its own all engines are near a gateway.
    fn places(&self, near: bool) -> &[Place] {
        if near && self.zone.is_some() {
            &self.near
        } else {
            &self.all
        }
    }
}

fn put(places: &mut Vec<Place>, place: Place, listed: bool) {
    match places.binary_search(&place) {
        Ok(at) if !listed => drop(places.remove(at)),
        Err(at) if listed => places.insert(at, place),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
