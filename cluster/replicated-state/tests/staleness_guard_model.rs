//! Checks the staleness guard with the model checker stateright in every order of events: an engine
//! is drained, confirmations and answers are late or dropped, the replica is partitioned, or is
//! suspended and resumed. The model runs the code of [`StalenessGuard`] itself. The checker also
//! has to detect variants of the model that ignore the guard or use it wrongly.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by panicking"
)]

use stateright::{Checker, Model, Property};
use violetgate_replicated_state::StalenessGuard;

/// The limit of the guard, in ticks.
const LIMIT: u64 = 3;
/// The last tick that the checker explores.
const END: u64 = 9;
/// Maximum number of confirmations in one run.
const MAX_CONFIRMATIONS: u64 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The guard is used correctly.
    Correct,
    /// Requests are routed regardless of the guard.
    NoGuard,
    /// The age counts from the arrival of the answer instead of the beginning of the confirmation.
    AgeFromAnswer,
    /// An answer confirms the copy before its read index is applied.
    Unapplied,
    /// The replica's clock stops during a suspension.
    ClockStopsDuringSuspension,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// The actual time in ticks.
    now: u64,
    /// The time on the replica's clock, in ticks.
    clock: u64,
    /// The time at which the drain was committed.
    drained: Option<u64>,
    /// Whether the replica has applied the drain.
    drain_applied: bool,
    /// Whether the replica is partitioned from the cluster.
    partitioned: bool,
    guard: StalenessGuard,
    /// The ids of the confirmations that the cluster has not answered.
    unanswered: Vec<u64>,
    /// Answers that have not arrived yet: the id of the confirmation, and its read index.
    answers: Vec<(u64, u64)>,
    /// Number of confirmations begun so far.
    confirmations: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Tick,
    /// The replica is suspended for longer than the limit, then resumes.
    Suspend,
    /// The cluster commits the drain of the engine.
    Drain,
    /// The replica is partitioned from the cluster.
    Partition,
    /// The partition ends.
    EndPartition,
    /// The replica begins a confirmation.
    BeginConfirmation,
    /// The cluster answers the confirmation at this position in `State::unanswered`.
    Answer(usize),
    /// The answer at this position in `State::answers` arrives at the replica.
    Arrive(usize),
    /// The drain is replicated to the replica and applied.
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
            drain_applied: false,
            partitioned: false,
            guard: StalenessGuard::new(LIMIT),
            unanswered: Vec::new(),
            answers: Vec::new(),
            confirmations: 0,
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Event>) {
        out.extend([
            Event::Tick,
            Event::Suspend,
            Event::Partition,
            Event::EndPartition,
            Event::BeginConfirmation,
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
            Event::Suspend => {
                state.now += LIMIT + 1;
                if *self != Variant::ClockStopsDuringSuspension {
                    state.clock += LIMIT + 1;
                }
            }
            Event::Drain => state.drained = Some(state.drained.xor(Some(state.now))?),
            Event::Partition => state.partitioned = true,
            Event::EndPartition => state.partitioned = false,
            Event::BeginConfirmation if state.confirmations < MAX_CONFIRMATIONS => {
                state.confirmations += 1;
                let id = state.guard.begin_confirmation(state.clock);
                state.unanswered.push(id);
            }
            Event::BeginConfirmation => return None,
            Event::Answer(n) if !state.partitioned => {
                let id = state.unanswered.remove(n);
                state.answers.push((id, u64::from(state.drained.is_some())));
            }
            // An answer that was sent before a partition still arrives.
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
            Event::Apply
                if state.drained.is_some() && !state.partitioned && !state.drain_applied =>
            {
                state.drain_applied = true;
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
                "no request goes to a drained engine after the limit",
                |variant: &Variant, state: &State| {
                    let may_route =
                        *variant == Variant::NoGuard || state.guard.check(state.clock).is_ok();
                    let routes = may_route && !state.drain_applied;
                    !(routes && state.drained.is_some_and(|at| state.now >= at + LIMIT))
                },
            ),
            Property::sometimes("requests are routed", |_, state: &State| {
                state.guard.check(state.clock).is_ok()
            }),
            Property::sometimes("requests are routed after the drain", |_, state: &State| {
                state.drain_applied && state.guard.check(state.clock).is_ok()
            }),
        ]
    }
}

#[test]
fn no_request_is_routed_by_stale_state_in_any_order_of_events() {
    let checker = Variant::Correct.checker().spawn_bfs().join();
    println!(
        "{} states, {} of them unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
fn faulty_uses_of_the_guard_are_detected() {
    for variant in [
        Variant::NoGuard,
        Variant::AgeFromAnswer,
        Variant::Unapplied,
        Variant::ClockStopsDuringSuspension,
    ] {
        let checker = variant.checker().spawn_bfs().join();
        let found = checker.discovery("no request goes to a drained engine after the limit");
        assert!(
            found.is_some(),
            "the checker does not detect the fault {variant:?}"
        );
    }
}
