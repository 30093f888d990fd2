//! Model checks of the handover protocol in every order of events: deliveries of messages, a kill
//! of either process at any step, timeouts and a shutdown. The two processes must never accept
//! keys at the same time, and if no message is in flight, a live process must accept clients.
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

const AT_MOST_ONE_ACCEPTS_KEYS: &str = "at most one process accepts keys";
const LIVE_PROCESS_ACCEPTS_CLIENTS: &str = "a live process accepts clients";

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
        // The first timeout of a successor that waits for the transfer of ownership extends its
        // deadline. Later ones change nothing else, so the model leaves them out.
        let has_first_timeout =
            successor.is_some_and(|s| s.next_timeout() == Some(STEP_TIMEOUT_US));
        let can_learn_of_exit = predecessor.is_none() && successor.is_some() && !state.knows_exit;
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
            (Event::SuccessorLearnsOfExit, can_learn_of_exit),
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
            Property::always(AT_MOST_ONE_ACCEPTS_KEYS, |_, state: &Processes| {
                !(state.predecessor_accepts.keys && state.successor_accepts.keys)
            }),
            Property::always(LIVE_PROCESS_ACCEPTS_CLIENTS, |_, state: &Processes| {
                let is_idle = state.to_predecessor.is_empty() && state.to_successor.is_empty();
                let any_alive = state.predecessor.is_some() || state.successor.is_some();
                !is_idle
                    || !any_alive
                    || state.predecessor_accepts.clients
                    || state.successor_accepts.clients
            }),
            Property::always("an owner has all parts", |_, state: &Processes| {
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
fn properties_hold_in_every_order_of_events() {
    let checked = Handovers(Fault::None).checker().spawn_bfs().join();
    println!("checked {} states", checked.unique_state_count());
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 500,
        "the model reached only {} states, fewer than expected",
        checked.unique_state_count()
    );
}

/// Guards against a model that can't detect violations: each injected fault must violate its
/// property.
#[test]
fn injected_faults_violate_properties() {
    for (fault, violated) in [
        (
            Fault::SuccessorAcceptsKeysBesidePredecessor,
            AT_MOST_ONE_ACCEPTS_KEYS,
        ),
        (
            Fault::PredecessorKeepsAcceptingKeys,
            AT_MOST_ONE_ACCEPTS_KEYS,
        ),
        (
            Fault::PredecessorMissesDisconnect,
            LIVE_PROCESS_ACCEPTS_CLIENTS,
        ),
    ] {
        let checked = Handovers(fault).checker().spawn_bfs().join();
        assert!(
            checked.discovery(violated).is_some(),
            "the fault does not violate \"{violated}\""
        );
    }
}

#[test]
fn predecessor_keeps_serving_after_unsupported_versions_and_unexpected_messages() {
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
    let unexpected = Message::PartsReceived {
        next: PART_COUNT + 1,
    };
    predecessor.handle_message(&unexpected, PART_COUNT, 0);
    assert_eq!(predecessor.take_actions(), [Action::Disconnect]);
    assert!(predecessor.check_available().is_ok() && !predecessor.has_handed_over());
}

#[test]
fn successor_serves_beside_predecessor_after_an_unexpected_message() {
    let mut successor = Successor::start(0);
    successor.take_actions();
    successor.handle_message(Message::TransferOwnership(vec![]), 0);
    assert_eq!(
        successor.take_actions(),
        [Action::ListenOnOwnSocket, Action::StartAcceptingClients]
    );
    assert!(!successor.is_owner());
}
