//! What the views of a fleet owe to what is true, from fixed seeds in simulated time.

#![allow(clippy::unwrap_used)]

use violetgate_membership::{MembershipConfig, State};
use violetgate_simulator::{name, number, Cut, FaultPlan, World, S};

fn world(count: usize, seed: u64, faults: FaultPlan) -> World {
    World::new(count, seed, &MembershipConfig::default(), faults)
}

fn quiet(_: &World) -> Result<(), String> {
    Ok(())
}

fn both_ways(a: &[usize], b: &[usize], begin: u64, end: u64) -> Vec<Cut> {
    let cut = |from: &[usize], to: &[usize]| Cut {
        from: from.to_vec(),
        to: to.to_vec(),
        begin,
        end,
    };
    vec![cut(a, b), cut(b, a)]
}

/// All find each other from a few seeds, and a death reaches all in time; the dead one's share is then known.
#[test]
fn a_death_reaches_all() {
    let mut w = world(
        12,
        1,
        FaultPlan {
            deaths: vec![(4, 10 * S)],
            ..FaultPlan::default()
        },
    );
    w.run(5 * S, quiet).unwrap();
    assert!(w.agrees() && w.serving(0) == 12);
    w.run(16 * S, quiet).unwrap();
    assert!(
        w.last_to_know(4, 10 * S).unwrap() < 5 * S && w.serving(0) == 11 && w.false_deaths() == 0
    );
}

/// One that leaves is known as left, not dead, and soon.
#[test]
fn leaving_is_no_death() {
    let mut w = world(
        12,
        2,
        FaultPlan {
            leaves: vec![(3, 10 * S)],
            ..FaultPlan::default()
        },
    );
    w.run(12 * S, quiet).unwrap();
    let states: Vec<State> = (0..12)
        .filter(|i| *i != 3)
        .flat_map(|i| w.view(i).find(|m| m.name == name(3)))
        .map(|m| m.state)
        .collect();
    assert!(
        states.len() == 11 && states.iter().all(|s| *s == State::Left),
        "{states:?}"
    );
}

/// A pause of two seconds of a third, amid loss and jitter, kills nobody; nor do those that wake accuse the others.
#[test]
fn pauses_are_no_deaths() {
    for seed in 0..20 {
        let pauses = (0..8)
            .map(|i| {
                (
                    i * 3,
                    10 * S + i as u64 * 40_000,
                    12 * S + i as u64 * 40_000,
                )
            })
            .collect();
        let mut w = world(
            24,
            seed,
            FaultPlan {
                loss: 0.3,
                jitter: S / 5,
                pauses,
                ..FaultPlan::default()
            },
        );
        w.run(30 * S, quiet).unwrap();
        assert_eq!(w.false_deaths(), 0, "seed {seed}");
    }
}

/// A process that stood still for longer than anyone waits is taken for dead, learns of it when it wakes, and is
/// believed again; it has told of nobody's death meanwhile.
#[test]
fn one_that_slept_too_long_comes_back() {
    let mut w = world(
        9,
        3,
        FaultPlan {
            pauses: vec![(2, 10 * S, 30 * S)],
            ..FaultPlan::default()
        },
    );
    w.run(29 * S, quiet).unwrap();
    assert!(w.seen.iter().any(|s| s.of == 2 && s.state == State::Dead));
    w.run(34 * S, quiet).unwrap();
    assert!(w.agrees(), "all alive again");
    assert!(w.seen.iter().all(|s| s.by != 2 || s.state != State::Dead));
}

/// Cut off from all, a process suspects them, tells nobody dead, and goes on reckoning with all of them.
#[test]
fn one_that_is_cut_off_kills_nobody() {
    let others: Vec<usize> = (1..9).collect();
    let mut w = world(
        9,
        4,
        FaultPlan {
            cuts: both_ways(&[0], &others, 10 * S, 40 * S),
            ..FaultPlan::default()
        },
    );
    w.run(39 * S, quiet).unwrap();
    assert!(w.seen.iter().all(|s| s.by != 0 || s.state != State::Dead));
    assert_eq!(w.serving(0), 9);
    assert_eq!(w.serving(5), 8, "the others have noticed");
    w.run(46 * S, quiet).unwrap();
    assert!(w.agrees());
}

/// A link cut between two that all others reach kills neither, and one of the two says that it is cut.
#[test]
fn a_cut_link_is_no_death() {
    for (a, b) in [(0, 1), (1, 2), (2, 4), (3, 4)] {
        let mut w = world(
            5,
            5,
            FaultPlan {
                cuts: both_ways(&[a], &[b], 10 * S, 60 * S),
                ..FaultPlan::default()
            },
        );
        w.run(50 * S, quiet).unwrap();
        assert_eq!(w.false_deaths(), 0);
        assert!(
            w.links
                .iter()
                .any(|(_, x, y, cut)| *cut && [(a, b), (b, a)].contains(&(*x, *y))),
            "{a} {b}"
        );
        w.run(70 * S, quiet).unwrap();
        assert!(
            (0..5).all(|i| w.view(i).all(|m| m.cut.is_none())),
            "it is whole again"
        );
    }
}

/// One that sends and hears nothing falls once, and stays fallen until it hears again.
#[test]
fn one_that_hears_nothing_settles() {
    let others: Vec<usize> = (1..10).collect();
    let cut = Cut {
        from: others,
        to: vec![0],
        begin: 10 * S,
        end: 100 * S,
    };
    let mut w = world(
        10,
        6,
        FaultPlan {
            cuts: vec![cut],
            ..FaultPlan::default()
        },
    );
    w.run(99 * S, quiet).unwrap();
    let told = |i: usize| {
        w.seen
            .iter()
            .filter(|s| s.by == i && s.of == 0 && s.at > 10 * S)
            .count()
    };
    assert!((1..10).all(|i| told(i) <= 2), "suspected, then dead");
    w.run(105 * S, quiet).unwrap();
    assert!(w.agrees());
}

/// Halves that each took the other for dead are one again soon after the split heals.
#[test]
fn halves_become_one_again() {
    let (a, b): (Vec<usize>, Vec<usize>) = ((0..10).collect(), (10..20).collect());
    let mut w = world(
        20,
        7,
        FaultPlan {
            cuts: both_ways(&a, &b, 10 * S, 60 * S),
            ..FaultPlan::default()
        },
    );
    w.run(60 * S, quiet).unwrap();
    let dead = w
        .view(0)
        .filter(|m| m.state == State::Dead && number(&m.name) >= 10)
        .count();
    assert!(dead >= 5, "{dead} of ten held for dead across the split");
    w.run(70 * S, quiet).unwrap();
    assert!(w.agrees());
}
