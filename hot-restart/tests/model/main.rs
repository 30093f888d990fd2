//! Both ends in every order of events: messages in flight, either process killed at any step,
//! timeouts, a shutdown. Never do both accept keys; and once nothing is in flight, whoever lives
//! accepts clients.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod processes;

use stateright::{Checker, Model, Property};
use violetgate_hot_restart::{Action, Message, Predecessor, Successor, STEP_TIMEOUT_US};

use crate::processes::{Accepts, Fault, Processes, PART_COUNT};

const NEVER_BOTH_ACCEPT_KEYS: &str = "never do both accept keys";
const WHOEVER_LIVES_ACCEPTS_CLIENTS: &str = "whoever lives accepts clients";

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Event {
    DeliverToPredecessor,
    DeliverToSuccessor,
    KillPredecessor,
    KillSuccessor,
    PredecessorTimesOut,
    SuccessorTimesOut,
    ShutDownPredecessor,
    SuccessorLearnsOfExit,
    StartSuccessor,
}

struct Handovers(Fault);

impl Model for Handovers {
    type State = Processes;
    type Action = Event;

    fn init_states(&self) -> Vec<Processes> {
        vec![Processes::new(self.0)]
    }

    fn actions(&self, state: &Processes, events: &mut Vec<Event>) {
        let predecessor = state.predecessor.as_ref();
        let successor = state.successor.as_ref();
        let has_timeout = predecessor.is_some_and(|p| p.next_timeout().is_some());
        // A successor that has waited once for the transfer of ownership waits on in the same
        // state.
        let has_first_timeout =
            successor.is_some_and(|s| s.next_timeout() == Some(STEP_TIMEOUT_US));
        let exit_is_news = predecessor.is_none() && successor.is_some() && !state.knows_exit;
        let may_start = successor.is_none()
            && predecessor.is_some()
            && state.to_predecessor.is_empty()
            && state.starts < 3;
        for (event, is_possible) in [
            (
                Event::DeliverToPredecessor,
                !state.to_predecessor.is_empty(),
            ),
            (Event::DeliverToSuccessor, !state.to_successor.is_empty()),
            (Event::KillPredecessor, predecessor.is_some()),
            (Event::KillSuccessor, successor.is_some()),
            (Event::PredecessorTimesOut, has_timeout),
            (Event::SuccessorTimesOut, has_first_timeout),
            (Event::ShutDownPredecessor, predecessor.is_some()),
            (Event::SuccessorLearnsOfExit, exit_is_news),
            (Event::StartSuccessor, may_start),
        ] {
            events.extend(is_possible.then_some(event));
        }
    }

    fn next_state(&self, before: &Processes, event: Event) -> Option<Processes> {
        let mut state = before.clone();
        match event {
            Event::DeliverToPredecessor => state.deliver_to_predecessor(self.0)?,
            Event::DeliverToSuccessor => state.deliver_to_successor()?,
            Event::KillPredecessor => state.kill_predecessor(),
            Event::KillSuccessor => state.kill_successor(),
            Event::PredecessorTimesOut => {
                state.predecessor.as_mut()?.handle_timeout(STEP_TIMEOUT_US);
            }
            Event::SuccessorTimesOut => state.successor.as_mut()?.handle_timeout(STEP_TIMEOUT_US),
            Event::ShutDownPredecessor => state.predecessor.as_mut()?.shut_down(),
            Event::SuccessorLearnsOfExit => {
                state.knows_exit = true;
                state.successor.as_mut()?.handle_predecessor_exit();
            }
            Event::StartSuccessor => state.start_successor(),
        }
        state.carry_out_actions(self.0);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_BOTH_ACCEPT_KEYS, |_, state: &Processes| {
                !(state.predecessor_accepts.keys && state.successor_accepts.keys)
            }),
            Property::always(WHOEVER_LIVES_ACCEPTS_CLIENTS, |_, state: &Processes| {
                let is_idle = state.to_predecessor.is_empty() && state.to_successor.is_empty();
                let lives = state.predecessor.is_some() || state.successor.is_some();
                !is_idle
                    || !lives
                    || state.predecessor_accepts.clients
                    || state.successor_accepts.clients
            }),
            Property::always("ownership comes with all parts", |_, state: &Processes| {
                let is_owner = state.successor.as_ref().is_some_and(Successor::is_owner);
                !is_owner || state.knows_exit || state.adopted_parts == PART_COUNT
            }),
            Property::sometimes("a handover completes", |_, state: &Processes| {
                state.successor_accepts == Accepts::ALL
                    && state.predecessor_accepts == Accepts::NOTHING
                    && state.predecessor.is_some()
            }),
            Property::sometimes("the predecessor resumes", |_, state: &Processes| {
                state.predecessor_accepts == Accepts::ALL
                    && state.successor.is_none()
                    && state.starts == 2
            }),
        ]
    }
}

#[test]
fn no_order_of_events_lets_both_accept_keys_or_leaves_clients_to_nobody() {
    let checked = Handovers(Fault::None).checker().spawn_bfs().join();
    println!("{} states", checked.unique_state_count());
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 500,
        "{}",
        checked.unique_state_count()
    );
}

/// A model that can't fail shows nothing.
#[test]
fn wrong_ends_are_caught() {
    for (fault, violated) in [
        (
            Fault::SuccessorAcceptsKeysBesidePredecessor,
            NEVER_BOTH_ACCEPT_KEYS,
        ),
        (Fault::PredecessorKeepsAcceptingKeys, NEVER_BOTH_ACCEPT_KEYS),
        (
            Fault::PredecessorMissesDisconnect,
            WHOEVER_LIVES_ACCEPTS_CLIENTS,
        ),
    ] {
        let checked = Handovers(fault).checker().spawn_bfs().join();
        assert!(checked.discovery(violated).is_some(), "{violated}");
    }
}

#[test]
fn predecessor_serves_on_after_other_versions_and_messages_out_of_turn() {
    let hello = |min_version, max_version| Message::Hello {
        min_version,
        max_version,
    };
    let mut predecessor = Predecessor::new();
    predecessor.handle_message(&hello(7, 9), PART_COUNT, 0);
    assert!(matches!(
        predecessor.take_actions().as_slice(),
        [Action::Send(Message::Refuse(_)), Action::Disconnect]
    ));
    assert!(predecessor.check_available().is_ok());
    predecessor.handle_message(&hello(1, 9), PART_COUNT, 0);
    assert!(matches!(
        predecessor.take_actions().as_slice(),
        [Action::SendWithSockets(Message::Offer {
            version: 1,
            part_count: PART_COUNT
        })]
    ));
    assert!(predecessor.check_available().is_err());
    let out_of_turn = Message::PartsReceived {
        next: PART_COUNT + 1,
    };
    predecessor.handle_message(&out_of_turn, PART_COUNT, 0);
    assert_eq!(predecessor.take_actions(), [Action::Disconnect]);
    assert!(predecessor.check_available().is_ok() && !predecessor.has_handed_over());
}

#[test]
fn successor_serves_beside_predecessor_after_a_message_out_of_turn() {
    let mut successor = Successor::start(0);
    successor.take_actions();
    successor.handle_message(Message::TransferOwnership(vec![]), 0);
    assert_eq!(
        successor.take_actions(),
        [Action::ListenOnOwnSocket, Action::StartAcceptingClients]
    );
    assert!(!successor.is_owner());
}
