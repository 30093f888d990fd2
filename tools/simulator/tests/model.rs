//! Three members in every order of one-sided cuts and one pause, checked with stateright: whoever is reached both ways
//! again is alive to all, and none is told dead for a cut link or for another's sleep. With the feature `mutants`, builds
//! that decide wrongly are caught.
#![allow(clippy::unwrap_used)]

use std::hash::{Hash, Hasher};

use stateright::{Checker, Model, Property};
use violetgate_membership::{MembershipConfig, State};
use violetgate_simulator::{number, Cut, FaultPlan, World, S};

/// Steps of a run, each of this length; trouble comes and goes between them.
const STEPS: usize = 4;
const STEP: u64 = 2 * S;
/// All find each other first.
const CALM: u64 = 3 * S;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Trouble {
    /// Nothing new.
    Wait,
    /// From the first to the second nothing passes any more.
    Cut(usize, usize),
    /// It stands still.
    Stop(usize),
    /// All links are whole, all processes run.
    Heal,
}

/// A fleet after some troubles. Two that went through the same are the same.
#[derive(Debug, Clone)]
struct Run {
    world: World,
    past: Vec<Trouble>,
}

impl PartialEq for Run {
    fn eq(&self, other: &Self) -> bool {
        self.past == other.past
    }
}

impl Eq for Run {}

impl Hash for Run {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.past.hash(state);
    }
}

impl Run {
    fn now(&self) -> u64 {
        CALM + self.past.len() as u64 * STEP
    }

    /// What holds now, by what came since the last healing.
    fn faults(&self) -> FaultPlan {
        let mut faults = FaultPlan::default();
        let since = self
            .past
            .iter()
            .rposition(|t| *t == Trouble::Heal)
            .map_or(0, |at| at + 1);
        for (trouble, at) in self.past.iter().zip(0u64..).skip(since) {
            let begin = CALM + at * STEP;
            match trouble {
                Trouble::Cut(from, to) => {
                    faults.cuts.push(Cut {
                        from: vec![*from],
                        to: vec![*to],
                        begin,
                        end: u64::MAX,
                    });
                }
                Trouble::Stop(i) => faults.pauses.push((*i, begin, CALM + 100 * STEP)),
                Trouble::Wait | Trouble::Heal => {}
            }
        }
        faults
    }
}

struct Three(MembershipConfig);

impl Model for Three {
    type State = Run;
    type Action = Trouble;

    fn init_states(&self) -> Vec<Run> {
        let mut world = World::new(3, 5, &self.0, FaultPlan::default());
        world.run(CALM, |_| Ok(())).unwrap();
        vec![Run {
            world,
            past: Vec::new(),
        }]
    }

    fn actions(&self, run: &Run, actions: &mut Vec<Trouble>) {
        if run.past.len() >= STEPS {
            return;
        }
        let faults = run.faults();
        actions.push(Trouble::Wait);
        // Three cuts at most, and one stop in a run.
        if run
            .past
            .iter()
            .filter(|t| matches!(t, Trouble::Cut(..)))
            .count()
            < 3
        {
            let links = [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)];
            let whole = |(a, b): &(usize, usize)| {
                !faults.cuts.iter().any(|c| c.from == [*a] && c.to == [*b])
            };
            actions.extend(
                links
                    .iter()
                    .filter(|l| whole(l))
                    .map(|(a, b)| Trouble::Cut(*a, *b)),
            );
        }
        if !run.past.iter().any(|t| matches!(t, Trouble::Stop(_))) {
            actions.extend((0..3).map(Trouble::Stop));
        }
        if !faults.cuts.is_empty() || !faults.pauses.is_empty() {
            actions.push(Trouble::Heal);
        }
    }

    fn next_state(&self, run: &Run, trouble: Trouble) -> Option<Run> {
        let mut next = run.clone();
        next.past.push(trouble);
        let faults = next.faults();
        next.world.set_faults(faults);
        if trouble == Trouble::Heal {
            next.world.wake();
        }
        next.world.run(next.now(), |_| Ok(())).unwrap();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // One-sided cuts of links that others bridge, and waiting, kill nobody.
            Property::<Self>::always(
                "no death without a stop or a member cut off one way from both others",
                |_, run| {
                    let stop = run.past.iter().any(|t| matches!(t, Trouble::Stop(_)));
                    let cuts: Vec<_> = run
                        .past
                        .iter()
                        .filter_map(|t| match t {
                            Trouble::Cut(a, b) => Some((*a, *b)),
                            _ => None,
                        })
                        .collect();
                    let off = (0..3).any(|i| {
                        cuts.iter().filter(|c| c.0 == i).count() == 2
                            || cuts.iter().filter(|c| c.1 == i).count() == 2
                    });
                    stop || off || run.world.seen.iter().all(|s| s.state != State::Dead)
                },
            ),
            // A link between two that the third bridges raises not even a suspicion.
            Property::<Self>::always("no suspicion for one link", |_, run| {
                let pairs: std::collections::BTreeSet<_> = run
                    .past
                    .iter()
                    .filter_map(|t| match t {
                        Trouble::Cut(a, b) => Some((*a.min(b), *a.max(b))),
                        _ => None,
                    })
                    .collect();
                let stop = run.past.iter().any(|t| matches!(t, Trouble::Stop(_)));
                stop || pairs.len() > 1 || run.world.seen.iter().all(|s| s.state == State::Alive)
            }),
            // What a sleeper thought of others while it slept is nothing that it tells.
            Property::<Self>::always("one that was stopped tells nobody dead", |_, run| {
                let cut = run.past.iter().any(|t| matches!(t, Trouble::Cut(..)));
                let stopped = run.past.iter().find_map(|t| match t {
                    Trouble::Stop(i) => Some(*i),
                    _ => None,
                });
                cut || stopped.is_none_or(|i| {
                    run.world
                        .seen
                        .iter()
                        .all(|s| s.by != i || s.state != State::Dead)
                })
            }),
            // Whatever came, once it is over all are alive to all.
            Property::<Self>::always("all are alive again once all is well", |_, run| {
                if run.past.len() < STEPS {
                    return true;
                }
                let mut later = run.world.clone();
                later.set_faults(FaultPlan::default());
                later.wake();
                later.run(run.now() + 20 * S, |_| Ok(())).unwrap();
                later.agrees()
                    && (0..3).all(|i| {
                        later
                            .view(i)
                            .all(|m| m.state == State::Alive && number(&m.name) < 3)
                    })
            }),
        ]
    }
}

fn check(config: MembershipConfig) -> (usize, Vec<&'static str>) {
    let checker = Three(config).checker().threads(4).spawn_bfs().join();
    (
        checker.unique_state_count(),
        checker.discoveries().into_keys().collect(),
    )
}

#[test]
fn three_members_in_every_order() {
    let (states, wrong) = check(MembershipConfig::default());
    assert!(wrong.is_empty(), "{wrong:?}");
    assert!(states > 2_000, "{states}");
}

#[cfg(feature = "mutants")]
mod mutants {
    use super::*;
    use violetgate_membership::{Body, Claim, Message, Mutant};

    fn mutant(how: Mutant) -> MembershipConfig {
        MembershipConfig {
            mutant: Some(how),
            ..MembershipConfig::default()
        }
    }

    /// Each wrong build is found out by a property of the model.
    #[test]
    fn the_model_catches_wrong_builds() {
        for (how, by) in [
            (Mutant::CutIsDeath, "no suspicion for one link"),
            (Mutant::NoRefutation, "all are alive again once all is well"),
        ] {
            let (_, wrong) = check(mutant(how));
            assert!(wrong.contains(&by), "{how:?}: {wrong:?}");
        }
    }

    /// One that falls asleep while it suspects another, which refutes meanwhile, tells it dead at waking, before it reads
    /// anything, if it does not doubt itself.
    #[test]
    fn a_sleeper_without_doubt_is_caught() {
        let accused = |config: &MembershipConfig, of: usize| {
            let others: Vec<usize> = (1..9).collect();
            let cuts = vec![Cut {
                from: others,
                to: vec![0],
                begin: 10 * S + S / 2,
                end: 19 * S + S / 20,
            }];
            let pauses = vec![(of, 8 * S, 10 * S + 3 * S / 4), (0, 10 * S + S / 2, 19 * S)];
            let mut w = World::new(
                9,
                3,
                config,
                FaultPlan {
                    pauses,
                    cuts,
                    ..FaultPlan::default()
                },
            );
            w.run(30 * S, |_| Ok(())).unwrap();
            w.seen
                .iter()
                .filter(|s| s.by == 0 && s.state == State::Dead)
                .count()
        };
        let told = |config: &MembershipConfig| (1..9).map(|of| accused(config, of)).sum::<usize>();
        assert_eq!(told(&MembershipConfig::default()), 0);
        assert!(told(&mutant(Mutant::NoSelfDoubt)) > 0);
    }

    /// One that is cut off from all holds them for dead, if its word alone is enough.
    #[test]
    fn a_lone_judge_is_caught() {
        let told = |config: &MembershipConfig| {
            let others: Vec<usize> = (1..9).collect();
            let cut = |from: &[usize], to: &[usize]| Cut {
                from: from.to_vec(),
                to: to.to_vec(),
                begin: 10 * S,
                end: 40 * S,
            };
            let faults = FaultPlan {
                cuts: vec![cut(&[0], &others), cut(&others, &[0])],
                ..FaultPlan::default()
            };
            let mut w = World::new(9, 4, config, faults);
            w.run(39 * S, |_| Ok(())).unwrap();
            w.seen
                .iter()
                .filter(|s| s.by == 0 && s.state == State::Dead)
                .count()
        };
        assert_eq!(told(&MembershipConfig::default()), 0);
        assert!(told(&mutant(Mutant::LoneJudge)) > 0);
    }

    /// A claim of an earlier turn, or of an earlier life, that comes late does not bring a dead one back.
    #[test]
    fn late_claims_are_caught() {
        let back = |config: &MembershipConfig, life: u64| {
            let mut w = World::new(5, 6, config, FaultPlan::default());
            w.run(5 * S, |_| Ok(())).unwrap();
            let own = |i: usize| w.view((i + 1) % 5).find(|m| number(&m.name) == i).unwrap();
            let (first, four) = (own(1), own(4));
            let claim = |m: &violetgate_membership::Member, life, state| Claim {
                name: m.name.clone(),
                addr: m.addr,
                life,
                turn: 0,
                state,
                by: None,
            };
            let (alive, old) = (
                claim(&first, first.life, State::Alive),
                claim(&four, life, State::Alive),
            );
            w.set_faults(FaultPlan {
                deaths: vec![(4, 0)],
                ..FaultPlan::default()
            });
            w.run(15 * S, |_| Ok(())).unwrap();
            assert!(w
                .view(0)
                .any(|m| number(&m.name) == 4 && m.state == State::Dead));
            w.inject(
                0,
                Message {
                    body: Body::Tell,
                    claims: vec![alive, old],
                },
            );
            w.run(15 * S + S / 10, |_| Ok(())).unwrap();
            let back = w
                .view(0)
                .any(|m| number(&m.name) == 4 && m.state != State::Dead);
            back
        };
        assert!(
            !back(&MembershipConfig::default(), 1_000) && !back(&MembershipConfig::default(), 500)
        );
        assert!(back(&mutant(Mutant::AnyTurn), 1_000));
        assert!(back(&mutant(Mutant::AnyLife), 500));
    }
}
