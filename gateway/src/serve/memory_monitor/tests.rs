//! Tests of the levels.

use super::*;

/// A level is entered at its percentage and left only well below it, so that a use near a boundary
/// is logged once.
#[test]
fn a_use_near_a_boundary_changes_the_level_once() {
    let mut level = MemoryLevel::Low;
    let mut levels = Vec::new();
    for used_percent in [49, 50, 45, 51, 41, 39, 95, 85, 90, 79, 30] {
        level = level.next(used_percent);
        levels.push(level);
    }
    use MemoryLevel::{Half, Low, NearlyFull};
    assert_eq!(
        levels,
        [Low, Half, Half, Half, Half, Low, NearlyFull, NearlyFull, NearlyFull, Half, Low]
    );
}
