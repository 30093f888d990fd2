//! The gate before routing, checked in every order of events by stateright: a drain that is agreed on, questions and
//! answers that are late or lost, a member that is cut off, or stands still and wakes. The very code of [`StalenessGuard`]
//! runs in the model; models in which it is left out, or fooled, have to be caught.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use stateright::{Checker, Model, Property};
use violetgate_replicated_state::StalenessGuard;

/// The drain limit, in steps of time, and how far time goes.
const LIMIT: u64 = 3;
const END: u64 = 9;
/// Questions that the member asks at most.
const QUESTIONS: u64 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// As it is.
    Real,
    /// Nobody asks the gate.
    NoGate,
    /// A copy counts as young as the answer, not the question.
    ByAnswer,
    /// An answer counts before what it names is applied.
    Unapplied,
    /// The member's clock stands while it does.
    ClockStops,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// The member's own clock.
    clock: u64,
    /// When the drain was agreed on.
    drained: Option<u64>,
    /// The member has applied it.
    knows: bool,
    cut: bool,
    gate: StalenessGuard,
    /// Questions on their way, and answers, with the entry that each names.
    asked: Vec<u64>,
    answers: Vec<(u64, u64)>,
    questions: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Tick,
    /// The member stands still for longer than the limit.
    Sleep,
    Drain,
    Cut,
    Heal,
    Ask,
    /// A majority answers a question.
    Answer(usize),
    /// The answer arrives.
    Arrive(usize),
    /// The drain is replicated to the member, and applied.
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
            gate: StalenessGuard::new(LIMIT),
            asked: Vec::new(),
            answers: Vec::new(),
            questions: 0,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Event>) {
        out.extend([
            Event::Tick,
            Event::Sleep,
            Event::Cut,
            Event::Heal,
            Event::Ask,
            Event::Drain,
            Event::Apply,
        ]);
        out.extend((0..s.asked.len()).map(Event::Answer));
        out.extend((0..s.answers.len()).map(Event::Arrive));
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut s = last.clone();
        match event {
            Event::Tick => (s.now, s.clock) = (s.now + 1, s.clock + 1),
            Event::Sleep => {
                s.now += LIMIT + 1;
                if *self != Variant::ClockStops {
                    s.clock += LIMIT + 1;
                }
            }
            Event::Drain => s.drained = Some(s.drained.xor(Some(s.now))?),
            Event::Cut => s.cut = true,
            Event::Heal => s.cut = false,
            Event::Ask if s.questions < QUESTIONS => {
                s.questions += 1;
                let question = s.gate.begin_confirmation(s.clock);
                s.asked.push(question);
            }
            Event::Ask => return None,
            Event::Answer(n) if !s.cut => {
                let question = s.asked.remove(n);
                s.answers.push((question, u64::from(s.drained.is_some())));
            }
            // An answer that is on its way arrives, whatever is cut later.
            Event::Arrive(n) => {
                let (question, mut index) = s.answers.remove(n);
                if *self == Variant::Unapplied {
                    index = 0;
                }
                if *self == Variant::ByAnswer {
                    let late = s.gate.begin_confirmation(s.clock);
                    s.gate.confirmation_answered(late, index);
                }
                s.gate.confirmation_answered(question, index);
            }
            Event::Apply if s.drained.is_some() && !s.cut && !s.knows => {
                s.knows = true;
                s.gate.applied_up_to(1);
            }
            Event::Answer(_) | Event::Apply => return None,
        }
        (s != *last).then_some(s)
    }

    fn within_boundary(&self, s: &State) -> bool {
        s.now <= END
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nothing goes to a drained engine past the limit",
                |variant: &Variant, s: &State| {
                    let open = *variant == Variant::NoGate || s.gate.check(s.clock).is_ok();
                    let routes = open && !s.knows;
                    !(routes && s.drained.is_some_and(|at| s.now >= at + LIMIT))
                },
            ),
            Property::sometimes("it routes", |_, s: &State| s.gate.check(s.clock).is_ok()),
            Property::sometimes("it routes on, knowing the drain", |_, s: &State| {
                s.knows && s.gate.check(s.clock).is_ok()
            }),
        ]
    }
}

#[test]
fn nothing_goes_out_on_old_state_in_any_order_of_events() {
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
fn gates_that_are_wrong_are_caught() {
    for variant in [
        Variant::NoGate,
        Variant::ByAnswer,
        Variant::Unapplied,
        Variant::ClockStops,
    ] {
        let checker = variant.checker().spawn_bfs().join();
        let found = checker.discovery("nothing goes to a drained engine past the limit");
        assert!(found.is_some(), "{variant:?} is not caught");
    }
}
