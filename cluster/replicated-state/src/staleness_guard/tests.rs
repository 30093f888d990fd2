use super::*;

const LIMIT: Micros = 2_000_000;

/// The age of the copy counts from the beginning of a confirmation. An answer confirms nothing
/// until its read index is applied, and a late answer to an older confirmation does not reduce the
/// age. If the clock goes back, the age is unknown.
#[test]
fn the_age_counts_from_the_beginning_of_the_confirmation() {
    let mut guard = StalenessGuard::new(LIMIT);
    assert_eq!(
        (guard.check(5), guard.remaining_validity(5)),
        (Err(Stale { age: None }), 0)
    );
    let (older, newer) = (guard.begin_confirmation(100), guard.begin_confirmation(200));
    guard.confirmation_answered(newer, 7);
    assert!(guard.check(300).is_err(), "entry 7 is not applied yet");
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
    guard.confirmation_answered(older, 3);
    assert_eq!(
        guard.check(200 + LIMIT),
        Err(Stale { age: Some(LIMIT) }),
        "a late answer to an older confirmation must not reduce the age"
    );
    assert_eq!(
        guard.check(150),
        Err(Stale { age: None }),
        "the age must be unknown after the clock went back"
    );
    let failed = guard.begin_confirmation(LIMIT);
    guard.confirmation_failed(failed);
    guard.confirmation_answered(failed, 1);
    assert!(guard.check(200 + LIMIT).is_err());
}

#[test]
fn unanswered_confirmations_are_bounded() {
    let mut guard = StalenessGuard::new(LIMIT);
    let last = (0..1_000).map(|at| guard.begin_confirmation(at)).max();
    assert_eq!(last, Some(1_000));
    assert_eq!(guard.pending.len(), MAX_PENDING);
}
