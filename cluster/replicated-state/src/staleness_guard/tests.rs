use super::*;

const LIMIT: Micros = 2_000_000;

/// An answer that names an entry that is not applied yet confirms nothing; late answers never make
/// the copy younger; time during which the process slept counts.
#[test]
fn the_age_counts_from_the_question_and_not_from_the_answer() {
    let mut guard = StalenessGuard::new(LIMIT);
    assert_eq!(
        (guard.check(5), guard.remaining_validity(5)),
        (Err(Stale { age: None }), 0)
    );
    let (one, two) = (guard.begin_confirmation(100), guard.begin_confirmation(200));
    guard.confirmation_answered(two, 7);
    assert!(guard.check(300).is_err(), "entry 7 is not applied here");
    guard.applied_up_to(6);
    assert!(guard.check(300).is_err());
    guard.applied_up_to(7);
    assert!(guard.check(200 + LIMIT - 1).is_ok());
    assert_eq!(
        (
            guard.remaining_validity(200 + LIMIT - 1),
            guard.remaining_validity(200 + LIMIT)
        ),
        (1, 0)
    );
    assert_eq!(guard.check(200 + LIMIT), Err(Stale { age: Some(LIMIT) }));
    guard.confirmation_answered(one, 3);
    assert_eq!(
        guard.check(200 + LIMIT),
        Err(Stale { age: Some(LIMIT) }),
        "an older question"
    );
    assert_eq!(
        guard.check(150),
        Err(Stale { age: None }),
        "a clock that goes back tells no age"
    );
    let lost = guard.begin_confirmation(LIMIT);
    guard.confirmation_failed(lost);
    guard.confirmation_answered(lost, 1);
    assert!(guard.check(200 + LIMIT).is_err());
}

#[test]
fn unanswered_confirmations_are_bounded() {
    let mut guard = StalenessGuard::new(LIMIT);
    let last = (0..1_000).map(|at| guard.begin_confirmation(at)).max();
    assert_eq!(last, Some(1_000));
    assert_eq!(guard.pending.len(), MAX_PENDING);
}
