//! Tests that the members' views follow the true states, in simulated fleets with fixed seeds.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use violetgate_membership::{LinkState, MemberState, MembershipConfig};
use violetgate_simulator::{
    member_name, member_number, Cut, FaultPlan, MemberEvent, Pause, World, SECOND,
};

fn new_world(member_count: usize, seed: u64, faults: FaultPlan) -> World {
    World::new(member_count, seed, &MembershipConfig::default(), faults)
}

fn cut_world(member_count: usize, seed: u64, cuts: Vec<Cut>) -> World {
    let faults = FaultPlan {
        cuts,
        ..FaultPlan::default()
    };
    new_world(member_count, seed, faults)
}

/// Counts the declarations of death whose observer satisfies `by` and whose subject satisfies `of`.
fn declarations(world: &World, by: impl Fn(usize) -> bool, of: impl Fn(usize) -> bool) -> usize {
    world
        .view_changes
        .iter()
        .filter(|change| change.state == MemberState::Dead)
        .filter(|change| by(change.observer) && of(change.subject))
        .count()
}

#[test]
fn death_is_known_to_all_in_time() {
    let deaths = vec![MemberEvent {
        member: 4,
        at: 10 * SECOND,
    }];
    let faults = FaultPlan {
        deaths,
        ..FaultPlan::default()
    };
    let mut world = new_world(12, 1, faults);
    world.run(5 * SECOND).unwrap();
    assert!(world.agrees() && world.serving_count(0) == 12);
    world.run(16 * SECOND).unwrap();
    assert!(world.time_until_all_know(4, 10 * SECOND).unwrap() < 5 * SECOND);
    assert!(world.serving_count(0) == 11 && world.false_deaths() == 0);
}

#[test]
fn member_that_leaves_is_known_as_left_and_not_dead() {
    let leaves = vec![MemberEvent {
        member: 3,
        at: 10 * SECOND,
    }];
    let faults = FaultPlan {
        leaves,
        ..FaultPlan::default()
    };
    let mut world = new_world(12, 2, faults);
    world.run(12 * SECOND).unwrap();
    let states: Vec<MemberState> = (0..12)
        .filter(|observer| *observer != 3)
        .flat_map(|observer| world.view(observer).find(|m| m.name == member_name(3)))
        .map(|member| member.state)
        .collect();
    assert_eq!(states.len(), 11);
    assert!(
        states.iter().all(|state| *state == MemberState::Left),
        "{states:?}"
    );
}

/// A third of the members pause for two seconds in a network with loss and jitter. No member may
/// declare another dead; this includes the members that resume.
#[test]
fn short_pauses_lead_to_no_deaths() {
    for seed in 0..20 {
        let pause = |number: usize| {
            let offset = number as u64 * 40_000;
            Pause {
                member: number * 3,
                begin: 10 * SECOND + offset,
                end: 12 * SECOND + offset,
            }
        };
        let faults = FaultPlan {
            loss: 0.3,
            jitter: SECOND / 5,
            pauses: (0..8).map(pause).collect(),
            ..FaultPlan::default()
        };
        let mut world = new_world(24, seed, faults);
        world.run(30 * SECOND).unwrap();
        assert_eq!(world.false_deaths(), 0, "seed {seed}");
    }
}

/// A process that pauses for longer than the failure timeout is declared dead. When it resumes, it
/// learns of this and rejoins, and it must not declare any other member dead.
#[test]
fn member_comes_back_after_a_long_pause() {
    let pauses = vec![Pause {
        member: 2,
        begin: 10 * SECOND,
        end: 30 * SECOND,
    }];
    let faults = FaultPlan {
        pauses,
        ..FaultPlan::default()
    };
    let mut world = new_world(9, 3, faults);
    world.run(29 * SECOND).unwrap();
    assert!(declarations(&world, |_| true, |subject| subject == 2) > 0);
    world.run(34 * SECOND).unwrap();
    assert!(world.agrees(), "not all members are alive again");
    assert_eq!(declarations(&world, |observer| observer == 2, |_| true), 0);
}

/// A member that is cut off from all others suspects them, but declares none dead and still counts
/// all of them as serving.
#[test]
fn isolated_member_declares_nobody_dead() {
    let others: Vec<usize> = (1..9).collect();
    let cuts = Cut::both_ways(&[0], &others, 10 * SECOND, 40 * SECOND);
    let mut world = cut_world(9, 4, cuts);
    world.run(39 * SECOND).unwrap();
    assert_eq!(declarations(&world, |observer| observer == 0, |_| true), 0);
    assert_eq!(world.serving_count(0), 9);
    assert_eq!(
        world.serving_count(5),
        8,
        "the others have not declared it dead"
    );
    world.run(46 * SECOND).unwrap();
    assert!(world.agrees());
}

/// If the link between two members is cut and all others still reach both, neither is declared dead
/// and one of the two reports the cut.
#[test]
fn cut_link_is_reported_and_no_death() {
    for (first, second) in [(0, 1), (1, 2), (2, 4), (3, 4)] {
        let cuts = Cut::both_ways(&[first], &[second], 10 * SECOND, 60 * SECOND);
        let mut world = cut_world(5, 5, cuts);
        world.run(50 * SECOND).unwrap();
        assert_eq!(world.false_deaths(), 0);
        let ends = [(first, second), (second, first)];
        let is_reported = world.link_changes.iter().any(|change| {
            change.link == LinkState::Cut && ends.contains(&(change.observer, change.subject))
        });
        assert!(is_reported, "{first} {second}");
        world.run(70 * SECOND).unwrap();
        let has_no_cut = |observer| world.view(observer).all(|m| m.link_cut_since.is_none());
        assert!((0..5).all(has_no_cut), "a link is still reported as cut");
    }
}

/// A member that receives nothing, but can send, is declared dead once and stays dead until it
/// receives messages again.
#[test]
fn member_that_receives_nothing_does_not_flap() {
    let cut = Cut {
        from: (1..10).collect(),
        to: vec![0],
        begin: 10 * SECOND,
        end: 100 * SECOND,
    };
    let mut world = cut_world(10, 6, vec![cut]);
    world.run(99 * SECOND).unwrap();
    let changes_by = |observer: usize| {
        let changes = world.view_changes.iter();
        changes
            .filter(|change| change.observer == observer && change.subject == 0)
            .filter(|change| change.at > 10 * SECOND)
            .count()
    };
    assert!(
        (1..10).all(|observer| changes_by(observer) <= 2),
        "a view had more than two changes, `suspected` and then `dead`"
    );
    world.run(105 * SECOND).unwrap();
    assert!(world.agrees());
}

/// The members of two halves that have declared each other dead have to agree within 10 s after the
/// split heals.
#[test]
fn halves_agree_soon_after_a_split_heals() {
    let (low, high): (Vec<usize>, Vec<usize>) = ((0..10).collect(), (10..20).collect());
    let cuts = Cut::both_ways(&low, &high, 10 * SECOND, 60 * SECOND);
    let mut world = cut_world(20, 7, cuts);
    world.run(60 * SECOND).unwrap();
    let dead = world
        .view(0)
        .filter(|member| member.state == MemberState::Dead && member_number(&member.name) >= 10)
        .count();
    assert!(
        dead >= 5,
        "only {dead} of ten declared dead across the split"
    );
    world.run(70 * SECOND).unwrap();
    assert!(world.agrees());
}
