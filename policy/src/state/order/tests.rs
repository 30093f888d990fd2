//! The order against plain sets of what was listed.

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
        _ => EngineState::Gone,
    }
}

fn by_lot(own: u64, ids: impl Iterator<Item = EngineId>) -> Vec<EngineId> {
    let mut sorted: Vec<_> = ids.collect();
    sorted.sort_by(|a, b| lot(own, *a).total_cmp(&lot(own, *b)));
    sorted
}

fn places(order: &Order, near: bool) -> Vec<EngineId> {
    order
        .places(near)
        .iter()
        .map(|(_, engine)| *engine)
        .collect()
}

proptest! {
    /// After any changes of the list, the order holds just the listed engines, by their lots; those
    /// of the own zone
    /// also by themselves, and without a zone all count as near.
    #[test]
    fn the_order_is_that_of_what_is_listed(
        own in any::<u64>(),
        zone in proptest::option::of(0u32..3),
        changes in proptest::collection::vec((0u32..40, 0u32..3, 0u8..3), 0..200),
    ) {
        let mut order = Order::new(own, zone);
        let mut listed = BTreeMap::new();
        for (id, zone, number) in changes {
            let change = engine(id, zone, state(number));
            order.set(&change);
            listed.insert(id, change);
        }
        listed.retain(|_, e| e.state != EngineState::Gone);
        let near = listed.values().filter(|e| zone.is_none_or(|z| z == e.zone)).map(|e| e.id);
        prop_assert_eq!(places(&order, true), by_lot(own, near));
        prop_assert_eq!(places(&order, false), by_lot(own, listed.keys().copied()));
        order.clear();
        prop_assert_eq!(order.len(false) + order.len(true), 0);
    }
}

/// Engines are drawn from the first places alone, each of them about as often, and from none there come none.
#[test]
fn draws_keep_to_the_first_places() {
    let mut order = Order::new(5, None);
    let mut rng = rand_chacha::ChaCha8Rng::from_seed([1; 32]);
    assert!(order.draw(false, 10, 3, &mut rng).is_empty());
    (0..100).for_each(|id| order.set(&engine(id, 0, EngineState::Ready)));
    let drawn = order.draw(false, 10, 10_000, &mut rng);
    let first = &places(&order, false)[..10];
    for id in first {
        let times = drawn.iter().filter(|drawn| *drawn == id).count();
        assert!((800..1_200).contains(&times), "{times} of 10,000");
    }
    assert!(drawn.len() == 10_000 && drawn.iter().all(|id| first.contains(id)));
}
