//! Checks three members with stateright in every order of one-sided cuts and one pause. A member
//! that is reachable in both directions again has to be alive in all views, and no member may be
//! declared dead because of a cut link or another member's pause. With the feature `mutants`, the
//! model also has to reject builds with deliberate faults.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

#[cfg(feature = "mutants")]
mod mutants;
mod run;

use std::collections::BTreeSet;

use stateright::{Checker, Model, Property};
use violetgate_membership::{MemberState, MembershipConfig};
use violetgate_simulator::{member_number, FaultPlan, World, SECOND};

use crate::run::{Fault, Run, MAX_STEPS, START_TIME};

/// The maximum number of links that are cut in a run.
const MAX_CUTS: usize = 3;
const LINKS: [(usize, usize); 6] = [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)];

const NO_DEATH_FOR_BRIDGED_CUTS: &str =
    "no death without a pause or a member cut off one way from both others";
const NO_SUSPICION_FOR_ONE_LINK: &str = "no suspicion if only one link is cut";
const PAUSED_DECLARES_NOBODY_DEAD: &str = "a paused member declares no other member dead";
const ALL_ALIVE_AT_THE_END: &str = "all members are alive again after all faults have ended";

struct ThreeMembers(MembershipConfig);

impl Model for ThreeMembers {
    type State = Run;
    type Action = Fault;

    fn init_states(&self) -> Vec<Run> {
        let mut world = World::new(3, 5, &self.0, FaultPlan::default());
        world.run(START_TIME).unwrap();
        vec![Run::new(world)]
    }

    fn actions(&self, run: &Run, actions: &mut Vec<Fault>) {
        if run.past.len() >= MAX_STEPS {
            return;
        }
        let faults = run.faults();
        actions.push(Fault::None);
        if run.cut_links().count() < MAX_CUTS {
            let is_cut = |(from, to): (usize, usize)| {
                let mut cuts = faults.cuts.iter();
                cuts.any(|cut| cut.from == [from] && cut.to == [to])
            };
            let uncut = LINKS.into_iter().filter(|link| !is_cut(*link));
            actions.extend(uncut.map(|(from, to)| Fault::Cut { from, to }));
        }
        if run.paused_member().is_none() {
            actions.extend((0..3).map(|member| Fault::Pause { member }));
        }
        if !faults.cuts.is_empty() || !faults.pauses.is_empty() {
            actions.push(Fault::Heal);
        }
    }

    fn next_state(&self, run: &Run, fault: Fault) -> Option<Run> {
        Some(run.after(fault))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always(NO_DEATH_FOR_BRIDGED_CUTS, |_, run| {
                run.paused_member().is_some()
                    || is_member_cut_off_one_way(run)
                    || run.deaths().count() == 0
            }),
            Property::<Self>::always(NO_SUSPICION_FOR_ONE_LINK, |_, run| {
                let pairs: BTreeSet<(usize, usize)> = run
                    .cut_links()
                    .map(|(from, to)| (from.min(to), from.max(to)))
                    .collect();
                let mut changes = run.world.view_changes.iter();
                run.paused_member().is_some()
                    || pairs.len() > 1
                    || changes.all(|change| change.state == MemberState::Alive)
            }),
            Property::<Self>::always(PAUSED_DECLARES_NOBODY_DEAD, |_, run| {
                let paused = run.paused_member();
                run.cut_links().count() > 0
                    || paused.is_none_or(|paused| {
                        let mut deaths = run.deaths();
                        deaths.all(|death| death.observer != paused)
                    })
            }),
            Property::<Self>::always(ALL_ALIVE_AT_THE_END, |_, run| {
                run.past.len() < MAX_STEPS || are_all_alive_after_healing(run)
            }),
        ]
    }
}

/// Whether a member was cut off from both others in the same direction.
fn is_member_cut_off_one_way(run: &Run) -> bool {
    (0..3).any(|member| {
        run.cut_links().filter(|(from, _)| *from == member).count() == 2
            || run.cut_links().filter(|(_, to)| *to == member).count() == 2
    })
}

fn are_all_alive_after_healing(run: &Run) -> bool {
    let mut world = run.world.clone();
    world.set_faults(FaultPlan::default());
    world.resume_paused();
    world.run(run.now() + 20 * SECOND).unwrap();
    let sees_all_alive = |observer| {
        let mut view = world.view(observer);
        view.all(|m| m.state == MemberState::Alive && member_number(&m.name) < 3)
    };
    world.agrees() && (0..3).all(sees_all_alive)
}

struct CheckResult {
    states: usize,
    violated: Vec<&'static str>,
}

fn check(config: MembershipConfig) -> CheckResult {
    let checker = ThreeMembers(config).checker().threads(4).spawn_bfs().join();
    CheckResult {
        states: checker.unique_state_count(),
        violated: checker.discoveries().into_keys().collect(),
    }
}

#[test]
fn three_members_hold_all_properties_in_every_order_of_faults() {
    let checked = check(MembershipConfig::default());
    assert!(checked.violated.is_empty(), "{:?}", checked.violated);
    assert!(checked.states > 2_000, "{}", checked.states);
}
