//! Checks the staleness guard of a gateway behind an observer in every order of events, with
//! stateright: a drain is agreed on, the observer applies it late, linearizable reads are slow or
//! fail, polls and answers are late, and the gateway is suspended. The model runs the production
//! code of [`Observer`] and [`StalenessGuard`]. The model has to detect mutants of that code.
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

/// The drain limit, in steps of time.
const LIMIT: u64 = 2;
/// The last step of time that the model explores.
const END: u64 = 5;
/// The maximum number of polls that the gateway sends.
const MAX_POLLS: u64 = 2;
const CONNECTION: ConnectionId = 1;

/// Returns the store with or without the drain.
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
struct ObserverModel {
    mutant: Option<Mutant>,
}

/// A linearizable read that the observer has begun.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Read {
    id: ReadId,
    /// Whether the drain was agreed on when a majority confirmed the read; `None` before the
    /// majority has confirmed it.
    confirmed: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    drained: Option<u64>,
    observer: Observer,
    observer_has_drain: bool,
    reads: Vec<Read>,
    to_observer: VecDeque<u64>,
    to_gateway: VecDeque<ObserverMessage>,
    guard: StalenessGuard,
    gateway_has_drain: bool,
    polls: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Tick,
    /// The gateway is suspended for longer than the drain limit.
    Suspend,
    Drain,
    ApplyAtObserver,
    SendPoll,
    ArriveAtObserver,
    ConfirmRead(usize),
    EndRead(usize),
    FailRead(usize),
    ArriveAtGateway,
}

impl State {
    fn may_route(&self) -> bool {
        self.guard.check(self.now).is_ok()
    }

    fn perform_actions(&mut self) {
        for action in self.observer.take_actions() {
            match action {
                ObserverAction::Send {
                    connection: _,
                    message,
                } => self.to_gateway.push_back(message),
                ObserverAction::BeginRead(id) => self.reads.push(Read {
                    id,
                    confirmed: None,
                }),
                ObserverAction::Close { .. } => {}
            }
        }
        self.observer
            .bytes_queued(CONNECTION, 0, store(self.observer_has_drain));
    }

    fn advance(&mut self, time: u64) {
        self.now += time;
        self.observer.tick(self.now, store(self.observer_has_drain));
    }

    fn arrive_at_observer(&mut self) -> Option<()> {
        let poll = self.to_observer.pop_front()?;
        let progress = SubscriberProgress {
            applied: 0,
            serving: false,
        };
        let message = SubscriberMessage::Poll { poll, progress };
        let store = store(self.observer_has_drain);
        self.observer.receive(self.now, CONNECTION, message, store);
        Some(())
    }

    fn end_read(&mut self, n: usize, result: ReadResult) {
        let read = self.reads.remove(n);
        let store = store(self.observer_has_drain);
        self.observer
            .read_completed(self.now, read.id, result, store);
    }

    fn arrive_at_gateway(&mut self, message: ObserverMessage, mutant: Option<Mutant>) {
        match message {
            ObserverMessage::Changes(ChangeBatch { to, .. }) => {
                self.gateway_has_drain = true;
                self.guard.applied_up_to(to);
            }
            ObserverMessage::PollConfirmed { poll, revision } => {
                if mutant == Some(Mutant::AgeFromConfirmation) {
                    let late = self.guard.begin_confirmation(self.now);
                    self.guard.confirmation_answered(late, revision);
                }
                self.guard.confirmation_answered(poll, revision);
            }
            _ => {}
        }
    }
}

impl Model for ObserverModel {
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
            observer_has_drain: false,
            reads: Vec::new(),
            to_observer: VecDeque::new(),
            to_gateway: VecDeque::new(),
            guard: StalenessGuard::new(LIMIT),
            gateway_has_drain: false,
            polls: 0,
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Event>) {
        out.extend([
            Event::Tick,
            Event::Suspend,
            Event::Drain,
            Event::ApplyAtObserver,
            Event::SendPoll,
        ]);
        out.extend([Event::ArriveAtObserver, Event::ArriveAtGateway]);
        for n in 0..state.reads.len() {
            out.extend([Event::ConfirmRead(n), Event::EndRead(n), Event::FailRead(n)]);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut next = last.clone();
        match event {
            Event::Tick => next.advance(1),
            Event::Suspend => next.advance(LIMIT + 1),
            Event::Drain => next.drained = Some(next.drained.xor(Some(next.now))?),
            Event::ApplyAtObserver if next.drained.is_some() && !next.observer_has_drain => {
                next.observer_has_drain = true;
                next.observer.store_applied(next.now, store(true));
            }
            Event::SendPoll if next.polls < MAX_POLLS => {
                next.polls += 1;
                let poll = next.guard.begin_confirmation(next.now);
                next.to_observer.push_back(poll);
            }
            Event::ArriveAtObserver => next.arrive_at_observer()?,
            Event::ConfirmRead(n) if next.reads[n].confirmed.is_none() => {
                next.reads[n].confirmed = Some(next.drained.is_some());
            }
            // A read ends successfully once the observer has applied what the majority confirmed.
            Event::EndRead(n) => {
                let confirmed = next.reads[n].confirmed;
                confirmed.filter(|drained| !drained || next.observer_has_drain)?;
                next.end_read(n, ReadResult::Current);
            }
            Event::FailRead(n) => next.end_read(n, ReadResult::Failed),
            Event::ArriveAtGateway => {
                let message = next.to_gateway.pop_front()?;
                next.arrive_at_gateway(message, self.mutant);
            }
            Event::ApplyAtObserver | Event::SendPoll | Event::ConfirmRead(_) => return None,
        }
        next.perform_actions();
        (next != *last).then_some(next)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.now <= END
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_STALE_ROUTING, |_, s: &State| {
                let routes = s.may_route() && !s.gateway_has_drain;
                !(routes && s.drained.is_some_and(|at| s.now >= at + LIMIT))
            }),
            Property::sometimes("requests are routed", |_, s: &State| s.may_route()),
            Property::sometimes("requests are routed after the drain", |_, s: &State| {
                s.gateway_has_drain && s.may_route()
            }),
        ]
    }
}

const NO_STALE_ROUTING: &str = "no request goes to a drained engine after the limit";

#[test]
fn no_request_is_routed_on_stale_state_through_an_observer() {
    let checker = ObserverModel { mutant: None }
        .checker()
        .threads(2)
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} of them unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
fn an_age_that_counts_from_the_answer_is_detected() {
    assert_detected(Mutant::AgeFromConfirmation);
}

#[cfg(feature = "mutants")]
#[test]
fn an_answer_by_an_earlier_read_is_detected() {
    assert_detected(Mutant::ConfirmsByEarlierRead);
}

#[cfg(feature = "mutants")]
#[test]
fn an_observer_that_answers_from_its_own_copy_is_detected() {
    assert_detected(Mutant::ConfirmsFromOwnCopy);
}

fn assert_detected(mutant: Mutant) {
    let checker = ObserverModel {
        mutant: Some(mutant),
    }
    .checker()
    .threads(2)
    .spawn_bfs()
    .join();
    assert!(
        checker.discovery(NO_STALE_ROUTING).is_some(),
        "{mutant:?} is not detected"
    );
}
