#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::*;

/// Reserved bytes exceed the capacity only after it was reduced, and dropped reservations return
/// all of their bytes.
#[test]
fn reservations_stay_within_the_capacity_and_are_returned() {
    let budget = ByteBudget::new(100);
    let mut first = budget.reserve(60).unwrap();
    assert!(budget.reserve(41).is_none() && budget.reserve(usize::MAX).is_none());
    first.shrink(20);
    first.shrink(50);
    assert_eq!((first.bytes(), budget.reserved()), (20, 20));
    let second = budget.reserve(80).unwrap();
    budget.resize(10);
    assert!(budget.reserved() == 100 && budget.reserve(1).is_none());
    drop((first, second));
    assert_eq!(budget.reserved(), 0);
}
