//! The staleness guard, checked in every order of events by stateright: a drain that is committed,
//! confirmations and answers that are late or dropped, a replica that is cut off, or sleeps and
//! wakes up. The code of [`StalenessGuard`] itself runs in the model; models in which it is
//! ignored or used wrongly have to be caught.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by panicking"
)]

use stateright::{Checker, Model, Property};
use violetgate_replicated_state::StalenessGuard;

/// The drain limit, in steps of time, and how far time goes.
const LIMIT: u64 = 3;
const END: u64 = 9;
/// The most confirmations.
const MAX_CONFIRMATIONS: u64 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// As it is.
    Real,
    /// The guard is ignored.
    NoGuard,
    /// The age counts from the answer, not from the beginning.
    AgeFromAnswer,
    /// An answer counts before its read index is applied.
    Unapplied,
    /// The replica's clock stops while it sleeps.
    ClockStopsInSleep,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// The replica's own clock.
    clock: u64,
    /// When the drain was committed.
    drained: Option<u64>,
    /// The replica has applied it.
    knows: bool,
    cut: bool,
    guard: StalenessGuard,
    /// Confirmations on their way.
    unanswered: Vec<u64>,
    /// Answers on their way: the id of the confirmation, and its read index.
    answers: Vec<(u64, u64)>,
    confirmations: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Tick,
    /// The replica sleeps for longer than the limit.
    Sleep,
    Drain,
    Cut,
    Heal,
    Ask,
    /// A majority answers a confirmation.
    Answer(usize),
    /// The answer arrives.
    Arrive(usize),
    /// The drain is replicated to the replica, and applied.
    Apply,
}

impl Model for Variant {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            clock: 0,
            drained: None,
            knows: false,
            cut: false,
            guard: StalenessGuard::new(LIMIT),
            unanswered: Vec::new(),
            answers: Vec::new(),
            confirmations: 0,
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Event>) {
        out.extend([
            Event::Tick,
            Event::Sleep,
            Event::Cut,
            Event::Heal,
            Event::Ask,
            Event::Drain,
            Event::Apply,
        ]);
        out.extend((0..state.unanswered.len()).map(Event::Answer));
        out.extend((0..state.answers.len()).map(Event::Arrive));
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut state = last.clone();
        match event {
            Event::Tick => (state.now, state.clock) = (state.now + 1, state.clock + 1),
            Event::Sleep => {
                state.now += LIMIT + 1;
                if *self != Variant::ClockStopsInSleep {
                    state.clock += LIMIT + 1;
                }
            }
            Event::Drain => state.drained = Some(state.drained.xor(Some(state.now))?),
            Event::Cut => state.cut = true,
            Event::Heal => state.cut = false,
            Event::Ask if state.confirmations < MAX_CONFIRMATIONS => {
                state.confirmations += 1;
                let id = state.guard.begin_confirmation(state.clock);
                state.unanswered.push(id);
            }
            Event::Ask => return None,
            Event::Answer(n) if !state.cut => {
                let id = state.unanswered.remove(n);
                state.answers.push((id, u64::from(state.drained.is_some())));
            }
            // An answer that is on its way arrives, whatever is cut later.
            Event::Arrive(n) => {
                let (id, mut index) = state.answers.remove(n);
                if *self == Variant::Unapplied {
                    index = 0;
                }
                if *self == Variant::AgeFromAnswer {
                    let late = state.guard.begin_confirmation(state.clock);
                    state.guard.confirmation_answered(late, index);
                }
                state.guard.confirmation_answered(id, index);
            }
            Event::Apply if state.drained.is_some() && !state.cut && !state.knows => {
                state.knows = true;
                state.guard.applied_up_to(1);
            }
            Event::Answer(_) | Event::Apply => return None,
        }
        (state != *last).then_some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.now <= END
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nothing goes to a drained engine past the limit",
                |variant: &Variant, state: &State| {
                    let open =
                        *variant == Variant::NoGuard || state.guard.check(state.clock).is_ok();
                    let routes = open && !state.knows;
                    !(routes && state.drained.is_some_and(|at| state.now >= at + LIMIT))
                },
            ),
            Property::sometimes("it routes", |_, state: &State| {
                state.guard.check(state.clock).is_ok()
            }),
            Property::sometimes("it routes, knowing the drain", |_, state: &State| {
                state.knows && state.guard.check(state.clock).is_ok()
            }),
        ]
    }
}

#[test]
fn nothing_is_routed_by_stale_state_in_any_order_of_events() {
    let checker = Variant::Real.checker().spawn_bfs().join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
fn faulty_guards_are_caught() {
    for variant in [
        Variant::NoGuard,
        Variant::AgeFromAnswer,
        Variant::Unapplied,
        Variant::ClockStopsInSleep,
    ] {
        let checker = variant.checker().spawn_bfs().join();
        let found = checker.discovery("nothing goes to a drained engine past the limit");
        assert!(found.is_some(), "{variant:?} is not caught");
    }
}
