use super::*;

fn operation(kind: OperationKind, started_at: u64, finished_at: u64) -> Operation {
    Operation {
        key: 0,
        kind,
        started_at,
        finished_at: Some(finished_at),
    }
}

fn swap(expected: u64, new: u64) -> OperationKind {
    OperationKind::CompareAndSwap {
        expected,
        new,
        swapped: Some(true),
    }
}

#[test]
fn stale_read_is_not_linearizable() {
    let stale = [
        operation(OperationKind::Write(1), 0, 1),
        operation(OperationKind::Write(2), 2, 3),
        operation(OperationKind::Read(Some(1)), 4, 5),
    ];
    assert!(!is_linearizable(&stale) && is_linearizable(&stale[..2]));
}

#[test]
fn two_successful_swaps_of_one_value_are_not_linearizable() {
    let both = [
        operation(swap(1, 2), 2, 9),
        operation(swap(1, 3), 2, 9),
        operation(OperationKind::Write(1), 0, 1),
    ];
    assert!(!is_linearizable(&both));
}

#[test]
fn an_operation_of_unknown_outcome_may_have_taken_effect_or_not() {
    let unknown = Operation {
        finished_at: None,
        ..operation(OperationKind::Write(7), 2, 0)
    };
    for seen in [1, 7] {
        assert!(is_linearizable(&[
            operation(OperationKind::Write(1), 0, 1),
            unknown.clone(),
            operation(OperationKind::Read(Some(seen)), 5, 6)
        ]));
    }
}
