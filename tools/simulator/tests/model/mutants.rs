//! Tests that mutants, which are builds with a deliberate fault, fail the checks that the regular
//! build passes.

use violetgate_membership::{
    Member, MemberState, MemberUpdate, MembershipConfig, Message, MessageBody, Mutant,
};
use violetgate_simulator::{member_number, Cut, FaultPlan, MemberEvent, Pause, World, SECOND};

use crate::{check, ALL_ALIVE_AT_THE_END, NO_SUSPICION_FOR_ONE_LINK};

fn mutant(mutant: Mutant) -> MembershipConfig {
    MembershipConfig {
        mutant: Some(mutant),
        ..MembershipConfig::default()
    }
}

/// Counts the declarations of death by the first member.
fn deaths_declared_by_first(world: &World) -> usize {
    let changes = world.view_changes.iter();
    changes
        .filter(|change| change.observer == 0 && change.state == MemberState::Dead)
        .count()
}

#[test]
fn model_catches_mutants() {
    for (wrong, property) in [
        (Mutant::TreatsCutLinkAsFailure, NO_SUSPICION_FOR_ONE_LINK),
        (Mutant::NeverRefutes, ALL_ALIVE_AT_THE_END),
    ] {
        let violated = check(mutant(wrong)).violated;
        assert!(violated.contains(&property), "{wrong:?}: {violated:?}");
    }
}

/// A member pauses while it suspects another, which refutes the suspicion during the pause. A
/// mutant that trusts its own view when it resumes declares the suspect dead before it reads the
/// messages that have arrived.
#[test]
fn member_that_trusts_itself_after_a_pause_is_caught() {
    let deaths = |config: &MembershipConfig, suspect: usize| {
        let cut = Cut {
            from: (1..9).collect(),
            to: vec![0],
            begin: 10 * SECOND + SECOND / 2,
            end: 19 * SECOND + SECOND / 20,
        };
        let pauses = vec![
            Pause {
                member: suspect,
                begin: 8 * SECOND,
                end: 10 * SECOND + 3 * SECOND / 4,
            },
            Pause {
                member: 0,
                begin: 10 * SECOND + SECOND / 2,
                end: 19 * SECOND,
            },
        ];
        let faults = FaultPlan {
            pauses,
            cuts: vec![cut],
            ..FaultPlan::default()
        };
        let mut world = World::new(9, 3, config, faults);
        world.run(30 * SECOND).unwrap();
        deaths_declared_by_first(&world)
    };
    let all_deaths = |config: &MembershipConfig| -> usize {
        (1..9).map(|suspect| deaths(config, suspect)).sum()
    };
    assert_eq!(all_deaths(&MembershipConfig::default()), 0);
    assert!(all_deaths(&mutant(Mutant::TrustsItselfAfterPause)) > 0);
}

/// A mutant that needs no confirmation by others declares all members dead when it is cut off.
#[test]
fn member_that_declares_deaths_alone_is_caught() {
    let deaths = |config: &MembershipConfig| {
        let others: Vec<usize> = (1..9).collect();
        let faults = FaultPlan {
            cuts: Cut::both_ways(&[0], &others, 10 * SECOND, 40 * SECOND),
            ..FaultPlan::default()
        };
        let mut world = World::new(9, 4, config, faults);
        world.run(39 * SECOND).unwrap();
        deaths_declared_by_first(&world)
    };
    assert_eq!(deaths(&MembershipConfig::default()), 0);
    assert!(deaths(&mutant(Mutant::ConfirmsFailureAlone)) > 0);
}

/// Whether an outdated update revives a dead member. The update says that the member is alive in
/// the given incarnation, with no refutations.
fn revives_dead_member(config: &MembershipConfig, incarnation: u64) -> bool {
    let mut world = World::new(5, 6, config, FaultPlan::default());
    world.run(5 * SECOND).unwrap();
    let member = |number: usize| {
        let mut view = world.view((number + 1) % 5);
        view.find(|m| member_number(&m.name) == number).unwrap()
    };
    let alive = |member: Member, incarnation| MemberUpdate {
        name: member.name,
        addr: member.addr,
        incarnation,
        refutations: 0,
        state: MemberState::Alive,
        accuser: None,
    };
    let (sender, dead) = (member(1), member(4));
    let sender_incarnation = sender.incarnation;
    let updates = vec![alive(sender, sender_incarnation), alive(dead, incarnation)];
    let deaths = vec![MemberEvent { member: 4, at: 0 }];
    world.set_faults(FaultPlan {
        deaths,
        ..FaultPlan::default()
    });
    world.run(15 * SECOND).unwrap();
    let has_dead_member = |world: &World| {
        let mut view = world.view(0);
        view.any(|m| member_number(&m.name) == 4 && m.state == MemberState::Dead)
    };
    assert!(has_dead_member(&world));
    let body = MessageBody::Gossip;
    world.inject(0, Message { body, updates });
    world.run(15 * SECOND + SECOND / 10).unwrap();
    let mut view = world.view(0);
    view.any(|m| member_number(&m.name) == 4 && m.state != MemberState::Dead)
}

#[test]
fn mutants_that_accept_outdated_updates_are_caught() {
    let regular = MembershipConfig::default();
    assert!(!revives_dead_member(&regular, 1_000) && !revives_dead_member(&regular, 500));
    let ignores_refutations = mutant(Mutant::IgnoresRefutationCount);
    assert!(revives_dead_member(&ignores_refutations, 1_000));
    let ignores_incarnation = mutant(Mutant::IgnoresIncarnation);
    assert!(revives_dead_member(&ignores_incarnation, 500));
}
