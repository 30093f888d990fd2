//! Tests of the order of eviction at the limit.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use super::slot::FIRST_MESSAGE_GRACE_US;
use super::*;

/// Unresponsive connections are evicted before idle ones, and the longest idle one first. Busy
/// connections are never evicted, and a new one is evicted only if no other candidate is left.
#[test]
fn unresponsive_and_idle_connections_are_evicted_and_busy_ones_are_not() {
    const NOW: Micros = 2 + FIRST_MESSAGE_GRACE_US;
    let limiter = ConnectionLimiter::new(4, MemoryBudget::new(1_000));
    let states = [
        ConnectionState::Idle,
        ConnectionState::Busy,
        ConnectionState::AwaitingMessage,
        ConnectionState::Idle,
    ];
    let slots: Vec<_> = (0..)
        .zip(states)
        .map(|(at, state)| (limiter.acquire(at).unwrap(), state, at))
        .collect();
    slots
        .iter()
        .for_each(|(slot, state, at)| slot.set_state(*state, 10 - at));
    let evicted = || {
        slots
            .iter()
            .map(|(slot, ..)| slot.close_reason.get().is_some())
            .collect::<Vec<_>>()
    };
    let new = limiter.acquire(NOW).unwrap();
    assert_eq!(evicted(), [false, false, true, false]);
    let busy = |slot: Rc<ConnectionSlot>| slot.set_state(ConnectionState::Busy, 0);
    busy(limiter.acquire(NOW).unwrap());
    assert_eq!(evicted(), [false, false, true, true]);
    busy(limiter.acquire(NOW).unwrap());
    assert_eq!(evicted(), [true, false, true, true]);
    assert!(new.close_reason.get().is_none());
    busy(limiter.acquire(NOW).unwrap());
    assert!(new.close_reason.get().is_some());
    assert!(limiter.acquire(NOW).is_none(), "all that are left are busy");
    limiter.release(&slots[1].0);
    assert!(limiter.acquire(NOW).is_some());
}
