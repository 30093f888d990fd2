//! Tests of messages to replicas whose addresses are not known.

use violetgate_memory_budget::MemoryBudget;
use violetgate_replica::Response;

use super::*;

/// Each id that messages were dropped for was remembered for good, and other replicas choose the ids
/// that are answered.
#[test]
fn few_replicas_without_an_address_are_remembered() {
    let transport = Transport::new(
        Rc::new(LocalExecutor::new()),
        "test",
        1,
        7,
        ([127, 0, 0, 1], 1).into(),
        MemoryBudget::new(0),
        Box::new(|_, _| {}),
    );
    for id in 2..10_000 {
        let answer = Response::OutcomeUnknown;
        transport.send(id, &PeerMessage::CallAnswer { id, answer });
    }
    assert_eq!(transport.dropped_messages(), 9_998);
    assert!(transport.unaddressed.borrow().len() <= MAX_UNADDRESSED);
}
