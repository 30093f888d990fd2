//! Tests of the budget: what fits, whose memory is reclaimed, and that nothing is counted twice.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::cell::Cell;
use std::rc::{Rc, Weak};

use violetgate_memory_budget::{
    Charge, HolderRegistration, MemoryBudget, Purpose, ReclaimPriority, ReclaimRank, Reclaimable,
};

const LIMIT: usize = 1_000_000;
const LARGE: usize = ReclaimPriority::SMALL_HOLDER_BYTES;

/// A connection that holds a part of a message.
struct Connection {
    input: Charge,
    rank: Cell<ReclaimRank>,
    since: u64,
    _registration: Cell<Option<HolderRegistration>>,
}

impl Reclaimable for Connection {
    fn reclaim_priority(&self) -> Option<ReclaimPriority> {
        ReclaimPriority::new(self.rank.get(), self.input.bytes(), self.since)
    }

    fn reclaim(&self) {
        self.input.revoke();
    }
}

fn connect(budget: &MemoryBudget, rank: ReclaimRank, since: u64) -> Rc<Connection> {
    let connection = Rc::new(Connection {
        input: budget.empty_charge(Purpose::Input),
        rank: Cell::new(rank),
        since,
        _registration: Cell::default(),
    });
    let weak: Weak<Connection> = Rc::downgrade(&connection);
    let registration = budget.register(weak);
    connection._registration.set(Some(registration));
    connection
}

fn fill_with_input(budget: &MemoryBudget, rank: ReclaimRank) -> Vec<Rc<Connection>> {
    let mut connections = Vec::new();
    for since in 0.. {
        let connection = connect(budget, rank, since);
        connection.input.resize(LARGE).unwrap();
        if budget.counts().reclaimed > 0 {
            break;
        }
        connections.push(connection);
    }
    connections
}

/// Whatever other purposes use, each one can use its guaranteed share.
#[test]
fn a_guaranteed_share_is_free_when_everything_else_is_used() {
    let budget = MemoryBudget::new(LIMIT);
    let mut charges = Vec::new();
    for purpose in [Purpose::Result, Purpose::LargeStatement, Purpose::Retained] {
        while let Ok(charge) = budget.charge(purpose, 1_000) {
            charges.push(charge);
        }
    }
    assert!(budget.charge(Purpose::LargeStatement, 1).is_err());
    let request = budget.charge(Purpose::Request, LIMIT / 100 * 15);
    assert!(request.is_ok());
    assert!(budget.charge(Purpose::Request, 1).is_err());
    assert!(budget.used() <= LIMIT);
}

/// New input fits beside any other input: that of the oldest incomplete first request is reclaimed.
#[test]
fn new_input_reclaims_the_oldest_incomplete_first_request() {
    let budget = MemoryBudget::new(LIMIT);
    let connections = fill_with_input(&budget, ReclaimRank::FirstRequestIncomplete);
    assert!(connections[0].input.is_revoked());
    assert!(connections[1..]
        .iter()
        .all(|connection| !connection.input.is_revoked()));
    assert!(budget.used() <= LIMIT);
}

/// Input of peers that have sent a complete request before is reclaimed after that of all others.
#[test]
fn peers_without_a_complete_request_are_reclaimed_first() {
    let budget = MemoryBudget::new(LIMIT);
    let served = connect(&budget, ReclaimRank::LaterRequestIncomplete, 0);
    served.input.resize(LARGE).unwrap();
    let mut connections = Vec::new();
    for since in 1..1_000 {
        let connection = connect(&budget, ReclaimRank::FirstRequestIncomplete, since);
        connection.input.resize(LARGE).unwrap();
        connections.push(connection);
    }
    assert!(!served.input.is_revoked());
    assert!(connections[0].input.is_revoked());
}

/// Large holders are reclaimed before small ones.
#[test]
fn small_holders_are_reclaimed_last() {
    let budget = MemoryBudget::new(LIMIT);
    let small = connect(&budget, ReclaimRank::FirstRequestIncomplete, 0);
    small.input.resize(40).unwrap();
    let large = fill_with_input(&budget, ReclaimRank::LaterRequestIncomplete);
    assert!(large[0].input.is_revoked());
    assert!(!small.input.is_revoked());
}

/// A holder that is itself first in the order fails, and no other one is reclaimed for it.
#[test]
fn the_first_holder_in_the_order_reclaims_nobody_else() {
    let budget = MemoryBudget::new(LIMIT);
    let oldest = connect(&budget, ReclaimRank::FirstRequestIncomplete, 0);
    oldest.input.resize(LARGE).unwrap();
    let others: Vec<_> = (1..)
        .map(|since| connect(&budget, ReclaimRank::FirstRequestIncomplete, since))
        .take_while(|_| budget.used() + LARGE < LIMIT / 100 * 40)
        .inspect(|connection| connection.input.resize(LARGE).unwrap())
        .collect();
    assert!(oldest.input.resize(LIMIT / 10).is_err());
    assert!(oldest.input.is_revoked());
    assert!(others
        .iter()
        .all(|connection| !connection.input.is_revoked()));
}

/// Unread answers are reclaimed for other answers, and not for new requests.
#[test]
fn unread_answers_are_reclaimed_for_answers_only() {
    let budget = MemoryBudget::new(LIMIT);
    let stalled = connect(&budget, ReclaimRank::AnswerUnread, 0);
    stalled.input.resize(LARGE).unwrap();
    assert!(budget.charge(Purpose::Request, LIMIT).is_err());
    assert!(!stalled.input.is_revoked());
    assert!(budget.charge(Purpose::Result, LIMIT).is_err());
    assert!(stalled.input.is_revoked());
}

/// A lower limit reclaims input at once, and nothing more is charged while more than the limit is in
/// use.
#[test]
fn a_lower_limit_reclaims_input() {
    let budget = MemoryBudget::new(LIMIT);
    let connections = fill_with_input(&budget, ReclaimRank::FirstRequestIncomplete);
    let request = budget.charge(Purpose::Request, LIMIT / 4).unwrap();
    budget.resize(LIMIT / 5);
    assert!(connections
        .iter()
        .all(|connection| connection.input.is_revoked()));
    assert!(budget.charge(Purpose::Result, 1).is_err());
    drop(request);
    assert!(budget.charge(Purpose::Result, 1).is_ok());
}

/// Spare memory ends at half of the limit, whatever the bytes are used for.
#[test]
fn spare_memory_ends_at_half_of_the_limit() {
    let budget = MemoryBudget::new(LIMIT);
    let read_ahead = budget.empty_charge(Purpose::Input);
    assert!(read_ahead.has_spare(LIMIT / 2));
    let _result = budget.charge(Purpose::Result, 1_000).unwrap();
    assert!(!read_ahead.has_spare(LIMIT / 2));
    assert!(read_ahead.has_spare(LIMIT / 2 - 1_000));
    read_ahead.revoke();
    assert!(!read_ahead.has_spare(1));
}

proptest::proptest! {
    /// Whatever is charged, resized, revoked and dropped in whatever order, the sum of the charges
    /// is what the budget counts, and never exceeds the limit.
    #[test]
    fn the_count_is_the_sum_of_the_charges(steps in proptest::collection::vec((0..8usize, 0..6usize, 0..400_000usize), 1..200)) {
        let budget = MemoryBudget::new(LIMIT);
        let mut charges: Vec<Charge> = Vec::new();
        for (slot, purpose, bytes) in steps {
            match (bytes % 4, slot < charges.len()) {
                (0, true) => drop(charges.swap_remove(slot)),
                (1, true) => charges[slot].revoke(),
                (_, true) => { let _ = charges[slot].resize(bytes); }
                (_, false) => charges.extend(budget.charge(Purpose::ALL[purpose], bytes)),
            }
            let sum: usize = charges.iter().map(Charge::bytes).sum();
            proptest::prop_assert_eq!(budget.used(), sum);
            proptest::prop_assert!(sum <= LIMIT);
        }
    }
}
