//! Compares the sampler with plain sets of the listed engines.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rand_chacha::rand_core::SeedableRng;

use super::*;

fn engine(id: EngineId, zone: u32, state: EngineState) -> Engine {
    Engine {
        id,
        zone,
        kind: 0,
        cell: 0,
        state,
        started: None,
    }
}

fn state(number: u8) -> EngineState {
    match number {
        0 => EngineState::Ready,
        1 => EngineState::Draining,
        _ => EngineState::Removed,
    }
}

fn sorted_by_hash(gateway: u64, ids: impl Iterator<Item = EngineId>) -> Vec<EngineId> {
    let hash = |id: &EngineId| stable_hash_fraction(gateway, *id);
    let mut sorted: Vec<_> = ids.collect();
    sorted.sort_by(|a, b| hash(a).total_cmp(&hash(b)));
    sorted
}

fn places(sampler: &EngineSampler, region: Region) -> Vec<EngineId> {
    let places = sampler.places(region).iter();
    places.map(|place| place.engine).collect()
}

proptest! {
    /// After any changes of the list, the sampler holds exactly the listed engines, in order of
    /// their hashes. The region `OwnZone` holds the engines of the gateway's zone, or all engines
    /// if the gateway has no zone.
    #[test]
    fn order_holds_exactly_the_listed_engines(
        gateway in any::<u64>(),
        zone in proptest::option::of(0u32..3),
        changes in proptest::collection::vec((0u32..40, 0u32..3, 0u8..3), 0..200),
    ) {
        let mut sampler = EngineSampler::new(gateway, zone);
        let mut listed = BTreeMap::new();
        for (id, zone, number) in changes {
            let change = engine(id, zone, state(number));
            sampler.update(&change);
            listed.insert(id, change);
        }
        listed.retain(|_, engine| engine.state != EngineState::Removed);
        let in_zone = |engine: &&Engine| zone.is_none_or(|zone| zone == engine.zone);
        let own = listed.values().filter(in_zone).map(|engine| engine.id);
        prop_assert_eq!(places(&sampler, Region::OwnZone), sorted_by_hash(gateway, own));
        let all = listed.keys().copied();
        prop_assert_eq!(places(&sampler, Region::Everywhere), sorted_by_hash(gateway, all));
        sampler.clear();
        prop_assert_eq!(sampler.len(Region::Everywhere) + sampler.len(Region::OwnZone), 0);
    }
}

/// A sample contains only engines from the first places, each about as often. Without engines it
/// is empty.
#[test]
fn samples_come_evenly_from_the_first_places_only() {
    let mut sampler = EngineSampler::new(5, None);
    let mut rng = rand_chacha::ChaCha8Rng::from_seed([1; 32]);
    assert!(sampler
        .sample(Region::Everywhere, 10, 3, &mut rng)
        .is_empty());
    (0..100).for_each(|id| sampler.update(&engine(id, 0, EngineState::Ready)));
    let drawn = sampler.sample(Region::Everywhere, 10, 10_000, &mut rng);
    let first = &places(&sampler, Region::Everywhere)[..10];
    for id in first {
        let times = drawn.iter().filter(|drawn| *drawn == id).count();
        assert!(
            (800..1_200).contains(&times),
            "engine {id} was drawn {times} times of 10,000"
        );
    }
    assert!(drawn.len() == 10_000 && drawn.iter().all(|id| first.contains(id)));
}
