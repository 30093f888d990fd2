//! The staleness guard with the hop, in every order of events, by stateright: a drain that is
//! agreed on, an observer that applies it late, reads upstream that are slow or fail, polls and
//! answers that are late, a front end that stands still. The very code of [`Observer`] and
//! [`StalenessGuard`] runs in the model. Mutants of it have to be caught.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::collections::VecDeque;
use std::sync::OnceLock;

use stateright::{Checker, Model, Property};
use violetgate_replicated_state::{Command, Mutation, Operation, StalenessGuard, Store, Txn};
use violetgate_state_distribution::*;

/// The drain limit, in steps of time, and how far time goes.
const LIMIT: u64 = 2;
const END: u64 = 5;
/// PollQueue that the front end asks at most.
const POLLS: u64 = 2;
const CONNECTION: ConnectionId = 1;

/// The store before the drain, or with it.
fn store(drained: bool) -> &'static Store {
    static STORES: OnceLock<[Store; 2]> = OnceLock::new();
    let stores = STORES.get_or_init(|| {
        let op = Mutation::Put {
            key: "drain".to_owned(),
            value: Vec::new(),
            lease: None,
        };
        let step = Operation::Txn(Txn {
            then: vec![op],
            ..Txn::default()
        });
        let mut after = Store::default();
        after.apply(&Command {
            request_id: None,
            actor: "model".to_owned(),
            time: 0,
            operation: step,
        });
        [Store::default(), after]
    });
    &stores[usize::from(drained)]
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hop {
    mutant: Option<Mutant>,
}

/// A read upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Read {
    id: ReadId,
    /// A majority has vouched, after the read began, that the drain was agreed on, or was not.
    vouched: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    drained: Option<u64>,
    observer: Observer,
    observer_knows: bool,
    reads: Vec<Read>,
    to_observer: VecDeque<u64>,
    to_front_end: VecDeque<ObserverMessage>,
    gate: StalenessGuard,
    front_end_knows: bool,
    polls: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Tick,
    /// The front end stands still for longer than the limit.
    Sleep,
    Drain,
    ApplyAtObserver,
    Ask,
    ArriveAtObserver,
    Vouch(usize),
    EndRead(usize),
    FailRead(usize),
    ArriveAtFrontEnd,
}

impl State {
    fn is_open(&self) -> bool {
        self.gate.check(self.now).is_ok()
    }

    fn settle(&mut self) {
        for action in self.observer.take_actions() {
            match action {
                ObserverAction::Send {
                    connection: _,
                    message,
                } => self.to_front_end.push_back(message),
                ObserverAction::BeginRead(id) => self.reads.push(Read { id, vouched: None }),
                ObserverAction::Close { .. } => {}
            }
        }
        self.observer
            .bytes_queued(CONNECTION, 0, store(self.observer_knows));
    }

    fn advance(&mut self, time: u64) {
        self.now += time;
        self.observer.tick(self.now, store(self.observer_knows));
    }

    fn arrive_at_observer(&mut self) -> Option<()> {
        let poll = self.to_observer.pop_front()?;
        let progress = SubscriberProgress {
            applied: 0,
            serving: false,
        };
        let message = SubscriberMessage::Poll { poll, progress };
        let store = store(self.observer_knows);
        self.observer.receive(self.now, CONNECTION, message, store);
        Some(())
    }

    fn end_read(&mut self, n: usize, result: ReadResult) {
        let read = self.reads.remove(n);
        let store = store(self.observer_knows);
        self.observer
            .read_completed(self.now, read.id, result, store);
    }

    fn arrive(&mut self, message: ObserverMessage, mutant: Option<Mutant>) {
        match message {
            ObserverMessage::Changes(ChangeBatch { to, .. }) => {
                self.front_end_knows = true;
                self.gate.applied_up_to(to);
            }
            ObserverMessage::PollConfirmed { poll, revision } => {
                if mutant == Some(Mutant::AgeFromConfirmation) {
                    let late = self.gate.begin_confirmation(self.now);
                    self.gate.confirmation_answered(late, revision);
                }
                self.gate.confirmation_answered(poll, revision);
            }
            _ => {}
        }
    }
}

impl Model for Hop {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        let config = ObserverConfig {
            min_read_interval: 0,
            ..ObserverConfig::default_for("model", 1)
        };
        let mut observer = Observer::new(config, 0);
        #[cfg(feature = "mutants")]
        observer.set_mutant(self.mutant);
        let hello = SubscriberHello {
            magic: PROTOCOL_MAGIC,
            version: PROTOCOL_VERSION,
            cluster: "model".to_owned(),
            observer: 1,
            name: "front-end".to_owned(),
            revision: 0,
        };
        assert_eq!(
            observer
                .accept(0, CONNECTION, &hello, store(false))
                .rejected,
            None
        );
        observer.receive(
            0,
            CONNECTION,
            SubscriberMessage::Watch { after: 0 },
            store(false),
        );
        vec![State {
            now: 0,
            drained: None,
            observer,
            observer_knows: false,
            reads: Vec::new(),
            to_observer: VecDeque::new(),
            to_front_end: VecDeque::new(),
            gate: StalenessGuard::new(LIMIT),
            front_end_knows: false,
            polls: 0,
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Event>) {
        out.extend([
            Event::Tick,
            Event::Sleep,
            Event::Drain,
            Event::ApplyAtObserver,
            Event::Ask,
        ]);
        out.extend([Event::ArriveAtObserver, Event::ArriveAtFrontEnd]);
        for n in 0..state.reads.len() {
            out.extend([Event::Vouch(n), Event::EndRead(n), Event::FailRead(n)]);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut next = last.clone();
        match event {
            Event::Tick => next.advance(1),
            Event::Sleep => next.advance(LIMIT + 1),
            Event::Drain => next.drained = Some(next.drained.xor(Some(next.now))?),
            Event::ApplyAtObserver if next.drained.is_some() && !next.observer_knows => {
                next.observer_knows = true;
                next.observer.store_applied(next.now, store(true));
            }
            Event::Ask if next.polls < POLLS => {
                next.polls += 1;
                let poll = next.gate.begin_confirmation(next.now);
                next.to_observer.push_back(poll);
            }
            Event::ArriveAtObserver => next.arrive_at_observer()?,
            Event::Vouch(n) if next.reads[n].vouched.is_none() => {
                next.reads[n].vouched = Some(next.drained.is_some());
            }
            // It ends once what a majority vouched for is applied at the observer.
            Event::EndRead(n) => {
                let vouched = next.reads[n].vouched;
                vouched.filter(|drained| !drained || next.observer_knows)?;
                next.end_read(n, ReadResult::Current);
            }
            Event::FailRead(n) => next.end_read(n, ReadResult::Failed),
            Event::ArriveAtFrontEnd => {
                let message = next.to_front_end.pop_front()?;
                next.arrive(message, self.mutant);
            }
            Event::ApplyAtObserver | Event::Ask | Event::Vouch(_) => return None,
        }
        next.settle();
        (next != *last).then_some(next)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.now <= END
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(SAFE, |_, s: &State| {
                let routes = s.is_open() && !s.front_end_knows;
                !(routes && s.drained.is_some_and(|at| s.now >= at + LIMIT))
            }),
            Property::sometimes("it routes", |_, s: &State| s.is_open()),
            Property::sometimes("it routes on, knowing the drain", |_, s: &State| {
                s.front_end_knows && s.is_open()
            }),
        ]
    }
}

const SAFE: &str = "nothing goes to a drained engine past the limit";

#[test]
fn nothing_goes_out_on_old_state_through_an_observer() {
    let checker = Hop { mutant: None }.checker().threads(2).spawn_bfs().join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
fn an_age_that_counts_from_the_answer_is_caught() {
    assert_caught(Mutant::AgeFromConfirmation);
}

#[cfg(feature = "mutants")]
#[test]
fn an_answer_by_an_earlier_read_is_caught() {
    assert_caught(Mutant::ConfirmsByEarlierRead);
}

#[cfg(feature = "mutants")]
#[test]
fn an_observer_that_answers_from_its_own_copy_is_caught() {
    assert_caught(Mutant::ConfirmsFromOwnCopy);
}

fn assert_caught(mutant: Mutant) {
    let checker = Hop {
        mutant: Some(mutant),
    }
    .checker()
    .threads(2)
    .spawn_bfs()
    .join();
    assert!(
        checker.discovery(SAFE).is_some(),
        "{mutant:?} is not caught"
    );
}
