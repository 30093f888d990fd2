//! The scenarios. Each runs in a simulated fleet of its own and returns a measured figure.

use std::ops::ControlFlow;

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_membership::{LinkState, MemberState, MembershipConfig, Micros};
use violetgate_simulator::{Cut, FaultPlan, MemberEvent, Pause, World, SECOND};

/// The maximum delay in a network without faults beyond the minimum latency of 1 ms.
const JITTER_US: Micros = 2_000;
/// The end of a cut that lasts for the whole run: no run takes that long.
const NEVER: Micros = 1_000 * SECOND;

fn faultless() -> FaultPlan {
    FaultPlan {
        jitter: JITTER_US,
        ..FaultPlan::default()
    }
}

fn new_world(member_count: usize, seed: u64, faults: FaultPlan) -> World {
    World::new(member_count, seed, &MembershipConfig::default(), faults)
}

/// Whether a running member was declared dead in a network with 30% loss and 200 ms jitter, while
/// about a third of the members pause for 0.5 or 2 s in each round.
pub fn has_false_death_in_lossy_network(member_count: usize, seed: u64, until: Micros) -> bool {
    let faults = FaultPlan {
        loss: 0.3,
        jitter: SECOND / 5,
        pauses: random_pauses(member_count, seed, until),
        ..FaultPlan::default()
    };
    let mut world = new_world(member_count, seed, faults);
    let ran = world.run_while(until, |world| match world.view_changes.last() {
        Some(change) if change.state == MemberState::Dead => {
            ControlFlow::Break(format!("{member_count} members, seed {seed}: {change:?}"))
        }
        _ => ControlFlow::Continue(()),
    });
    let failure = match ran {
        Ok(ControlFlow::Continue(())) => return false,
        Ok(ControlFlow::Break(false_death)) => false_death,
        Err(invalid) => invalid.to_string(),
    };
    println!("  false death: {failure}");
    true
}

fn random_pauses(member_count: usize, seed: u64, until: Micros) -> Vec<Pause> {
    const ROUND: Micros = 6 * SECOND;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfeed);
    let mut below = |limit: u64| rng.next_u64() % limit.max(1);
    let mut pauses = Vec::new();
    for round in 0..(until / ROUND) {
        for member in 0..member_count {
            if below(3) != 0 {
                continue;
            }
            let begin = 10 * SECOND + round * ROUND + below(3 * SECOND);
            let duration = if below(2) == 0 {
                SECOND / 2
            } else {
                2 * SECOND
            };
            pauses.push(Pause {
                member,
                begin,
                end: begin + duration,
            });
        }
    }
    pauses
}

/// For each death in a faultless network, the time until all other members knew of it. It is `None`
/// if a member did not learn of it.
pub fn death_detection_times(
    member_count: usize,
    seed: u64,
    death_count: usize,
) -> Vec<Option<Micros>> {
    let death_at = |number: usize| {
        let offset = (seed * 37_003 + number as u64 * 131_071) % SECOND;
        20 * SECOND + number as u64 * 7 * SECOND + offset
    };
    let deaths: Vec<MemberEvent> = (0..death_count)
        .map(|number| MemberEvent {
            member: (number * 7 + seed as usize) % member_count,
            at: death_at(number),
        })
        .collect();
    let faults = FaultPlan {
        deaths: deaths.clone(),
        ..faultless()
    };
    let mut world = new_world(member_count, seed, faults);
    let _ = world.run(death_at(death_count) + 8 * SECOND);
    deaths
        .iter()
        .map(|death| world.time_until_all_know(death.member, death.at))
        .collect()
}

/// The bytes that a member sends in a second in a quiet fleet, the mean over all members.
pub fn quiet_bytes_per_s(member_count: usize, seed: u64) -> f64 {
    let mut world = new_world(member_count, seed, faultless());
    // All members start at once; the fleet is quiet once all views are equal.
    let quiet_from = (1..20)
        .map(|step| step * 10 * SECOND)
        .find(|at| world.run(*at).is_ok() && world.agrees());
    let from = quiet_from.unwrap_or(200 * SECOND) + 10 * SECOND;
    world.measured_from = from;
    world.traffic.fill(Default::default());
    let _ = world.run(from + 10 * SECOND);
    let bytes: u64 = world.traffic.iter().map(|traffic| traffic.bytes).sum();
    bytes as f64 / member_count as f64 / 10.0
}

/// The direction in which a member's links still work.
#[derive(Clone, Copy)]
pub enum OneSidedLink {
    SendsOnly,
    ReceivesOnly,
}

/// The maximum number of changes in one minute that one view records of a member whose links work
/// in one direction only.
pub fn max_flaps_of_one_sided_member(member_count: usize, seed: u64, link: OneSidedLink) -> usize {
    let others: Vec<usize> = (1..member_count).collect();
    let (from, to) = match link {
        OneSidedLink::SendsOnly => (others, vec![0]),
        OneSidedLink::ReceivesOnly => (vec![0], others),
    };
    let cut = Cut {
        from,
        to,
        begin: 20 * SECOND,
        end: NEVER,
    };
    let faults = FaultPlan {
        cuts: vec![cut],
        ..faultless()
    };
    let mut world = new_world(member_count, seed, faults);
    let _ = world.run(140 * SECOND);
    let changes_in_minute = |observer: usize, from: Micros| {
        let minute = from..from + 60 * SECOND;
        let changes = world.view_changes.iter();
        changes
            .filter(|change| change.observer == observer && change.subject == 0)
            .filter(|change| minute.contains(&change.at))
            .count()
    };
    // In the first minute one change of a view is correct; in the second the view has to be stable.
    (1..member_count)
        .flat_map(|observer| [20, 80].map(|from_s| changes_in_minute(observer, from_s * SECOND)))
        .max()
        .unwrap_or(0)
}

/// The time from the healing of a split into halves until all views agreed; `None` if they did not
/// agree within 30 s.
pub fn healing_time(member_count: usize, seed: u64) -> Option<Micros> {
    let low: Vec<usize> = (0..member_count / 2).collect();
    let high: Vec<usize> = (member_count / 2..member_count).collect();
    let heals_at = 60 * SECOND;
    let faults = FaultPlan {
        cuts: Cut::both_ways(&low, &high, 20 * SECOND, heals_at),
        ..faultless()
    };
    let mut world = new_world(member_count, seed, faults);
    let _ = world.run(heals_at);
    (1..=60)
        .map(|step| heals_at + step * SECOND / 2)
        .find_map(|at| {
            let _ = world.run(at);
            world.agrees().then(|| at - heals_at)
        })
}

/// The outcome of a cut link between two members.
pub struct CutLinkOutcome {
    /// The number of declarations of death, all of them false.
    pub deaths: usize,
    /// Whether a member at one end of the link reported the cut.
    pub is_reported: bool,
}

/// Cuts the link between two members in both directions; all other members reach both.
pub fn cut_one_link(member_count: usize, seed: u64) -> CutLinkOutcome {
    let (first, second) = linked_pair(member_count, seed as usize);
    let faults = FaultPlan {
        cuts: Cut::both_ways(&[first], &[second], 15 * SECOND, NEVER),
        ..faultless()
    };
    let mut world = new_world(member_count, seed, faults);
    let _ = world.run(60 * SECOND);
    let has_reported = |observer: usize, subject: usize| {
        world.link_changes.iter().any(|change| {
            change.observer == observer
                && change.subject == subject
                && change.link == LinkState::Cut
        })
    };
    CutLinkOutcome {
        deaths: world.false_deaths(),
        is_reported: has_reported(first, second) || has_reported(second, first),
    }
}

/// Returns a pair of members that varies by seed, since whether two members observe each other
/// depends on their names.
fn linked_pair(member_count: usize, seed: usize) -> (usize, usize) {
    let first = seed % member_count;
    let second = (seed / member_count + 1 + seed) % member_count;
    if first == second {
        (first, (first + 1) % member_count)
    } else {
        (first, second)
    }
}
