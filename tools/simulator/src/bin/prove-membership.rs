//! Holds the membership to its figures in a simulated fleet: `prove-membership [--seeds N] [--short]`.

use std::process::ExitCode;

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_membership::{MembershipConfig, Micros};
use violetgate_simulator::{Cut, FaultPlan, World, S};

fn quiet(_: &World) -> Result<(), String> {
    Ok(())
}

/// Pauses of 0.5 and 2 s on up to a third, 30% loss, 200 ms jitter: how many deaths were told of those that run.
fn rough(count: usize, seed: u64, until: Micros) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfeed);
    let mut draw = |n: u64| rng.next_u64() % n.max(1);
    let mut pauses = Vec::new();
    for round in 0..(until / (6 * S)) {
        for i in 0..count {
            if draw(3) == 0 {
                let begin = 10 * S + round * 6 * S + draw(3 * S);
                let long = if draw(2) == 0 { S / 2 } else { 2 * S };
                pauses.push((i, begin, begin + long));
            }
        }
    }
    let faults = FaultPlan {
        loss: 0.3,
        jitter: S / 5,
        pauses,
        ..FaultPlan::default()
    };
    let mut world = World::new(count, seed, &MembershipConfig::default(), faults);
    let checked = world.run(until, |w| match w.seen.last() {
        Some(s) if s.state == violetgate_membership::State::Dead => {
            Err(format!("{} members, seed {seed}: {s:?}", count))
        }
        _ => Ok(()),
    });
    checked
        .err()
        .into_iter()
        .inspect(|e| println!("  false death: {e}"))
        .count()
}

/// Deaths in a fleet that is well: how long after each the last of the others knew, in the order of size.
fn deaths(count: usize, seed: u64, deaths: usize) -> Vec<Option<Micros>> {
    let at = |k: usize| 20 * S + k as u64 * 7 * S + (seed * 37_003 + k as u64 * 131_071) % S;
    let dying: Vec<(usize, Micros)> = (0..deaths)
        .map(|k| ((k * 7 + seed as usize) % count, at(k)))
        .collect();
    let faults = FaultPlan {
        jitter: 2_000,
        deaths: dying.clone(),
        ..FaultPlan::default()
    };
    let mut world = World::new(count, seed, &MembershipConfig::default(), faults);
    let _ = world.run(at(deaths) + 8 * S, quiet);
    dying
        .iter()
        .map(|(of, at)| world.last_to_know(*of, *at))
        .collect()
}

/// Bytes a second that a member sends in a quiet fleet.
fn traffic(count: usize, seed: u64) -> f64 {
    let mut world = World::new(
        count,
        seed,
        &MembershipConfig::default(),
        FaultPlan {
            jitter: 2_000,
            ..FaultPlan::default()
        },
    );
    // All come at once; it is quiet once all hold the same.
    let quiet_from = (1..20)
        .map(|k| k * 10 * S)
        .find(|at| world.run(*at, quiet).is_ok() && world.agrees());
    let from = quiet_from.unwrap_or(200 * S) + 10 * S;
    world.measured_from = from;
    world.sent.iter_mut().for_each(|s| *s = (0, 0));
    let _ = world.run(from + 10 * S, quiet);
    let bytes: u64 = world.sent.iter().map(|s| s.0).sum();
    bytes as f64 / count as f64 / 10.0
}

/// One that can send and not receive: the most changes that any view told of it in a minute.
fn deaf(count: usize, seed: u64, hears: bool) -> usize {
    let others: Vec<usize> = (1..count).collect();
    let (from, to) = if hears {
        (vec![0], others)
    } else {
        (others, vec![0])
    };
    let cuts = vec![Cut {
        from,
        to,
        begin: 20 * S,
        end: 1_000 * S,
    }];
    let mut world = World::new(
        count,
        seed,
        &MembershipConfig::default(),
        FaultPlan {
            jitter: 2_000,
            cuts,
            ..FaultPlan::default()
        },
    );
    let _ = world.run(140 * S, quiet);
    // The first fall is what it is for; from then on it has to stay.
    let told = |i: usize, from: Micros| {
        world
            .seen
            .iter()
            .filter(|s| s.by == i && s.of == 0 && s.at >= from && s.at < from + 60 * S)
            .count()
    };
    (1..count)
        .flat_map(|i| [told(i, 20 * S), told(i, 80 * S)])
        .max()
        .unwrap_or(0)
}

/// A split into halves and its healing: how long after it one view held.
fn healing(count: usize, seed: u64) -> Option<Micros> {
    let (a, b): (Vec<usize>, Vec<usize>) = ((0..count / 2).collect(), (count / 2..count).collect());
    let heals = 60 * S;
    let cut = |from: &Vec<usize>, to: &Vec<usize>| Cut {
        from: from.clone(),
        to: to.clone(),
        begin: 20 * S,
        end: heals,
    };
    let faults = FaultPlan {
        jitter: 2_000,
        cuts: vec![cut(&a, &b), cut(&b, &a)],
        ..FaultPlan::default()
    };
    let mut world = World::new(count, seed, &MembershipConfig::default(), faults);
    let _ = world.run(heals, quiet);
    (1..=60).map(|k| heals + k * S / 2).find_map(|at| {
        let _ = world.run(at, quiet);
        world.agrees().then(|| at - heals)
    })
}

/// A link cut between two that all others reach: deaths told, and whether both views tell of the cut.
fn one_link(count: usize, seed: u64) -> (usize, bool) {
    let cut = |from: usize, to: usize| Cut {
        from: vec![from],
        to: vec![to],
        begin: 15 * S,
        end: 1_000 * S,
    };
    // Whether two watch each other follows from their names: all pairs of the first ten are cut in turn by the seed.
    let (a, b) = (
        seed as usize % count,
        (seed as usize / count + 1 + seed as usize) % count,
    );
    let (a, b) = if a == b { (a, (a + 1) % count) } else { (a, b) };
    let faults = FaultPlan {
        jitter: 2_000,
        cuts: vec![cut(a, b), cut(b, a)],
        ..FaultPlan::default()
    };
    let mut world = World::new(count, seed, &MembershipConfig::default(), faults);
    let _ = world.run(60 * S, quiet);
    let told = |x: usize, y: usize| world.links.iter().any(|l| l.1 == x && l.2 == y && l.3);
    (world.false_deaths(), told(a, b) || told(b, a))
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let short = args.iter().any(|a| a == "--short");
    let seeds = args
        .iter()
        .skip_while(|a| *a != "--seeds")
        .nth(1)
        .and_then(|n| n.parse::<u64>().ok());
    let seeds = seeds.unwrap_or(if short { 10 } else { 100 });
    // The larger a fleet, the fewer seeds: 900, 90 and 9 take about as long as each other.
    let sizes = [
        (5, seeds),
        (50, (seeds / 10).max(1)),
        (300, if short { 0 } else { (seeds / 100).max(1) }),
    ];
    let mut false_deaths = 0;
    for (count, seeds) in sizes {
        let told: usize = (0..seeds).map(|s| rough(count, s, 40 * S)).sum();
        println!(
            "pauses, 30% loss, 200 ms jitter: {count} members, {seeds} seeds, {told} with a false death"
        );
        false_deaths += told;
    }
    let full = args.iter().any(|a| a == "--full");
    let large = if short { 50 } else { 300 };
    let mut times = Vec::new();
    let mut unknown = 0;
    for seed in 0..if short { 2 } else { 6 } {
        for time in deaths(large, seed, 6) {
            unknown += usize::from(time.is_none());
            times.extend(time);
        }
    }
    times.sort_unstable();
    let at = |share: f64| {
        times
            .get(((times.len() as f64 * share) as usize).min(times.len().saturating_sub(1)))
            .copied()
    };
    let (median, p99) = (at(0.5).unwrap_or(0), at(0.99).unwrap_or(Micros::MAX / 2));
    println!("death to the last that knows: {} deaths at {large}, median {median} us, p99 {p99} us, {unknown} unknown", times.len());
    let wide = match (short, full) {
        (true, _) => 100,
        (false, true) => 1000,
        (false, false) => 300,
    };
    let (small, big) = (traffic(50, 1), traffic(wide, 1));
    println!("bytes a second and member, quiet: {small:.0} at 50, {big:.0} at {wide}");
    let flaps = (0..if short { 2 } else { 10 })
        .flat_map(|s| [deaf(10, s, false), deaf(10, s, true)])
        .max()
        .unwrap_or(0);
    println!("one-sided cut of one member: at most {flaps} changes of a view in a minute");
    let healed: Vec<Option<Micros>> = (0..if short { 2 } else { 6 })
        .map(|s| healing(if short { 20 } else { 100 }, s))
        .collect();
    let slowest = healed
        .iter()
        .copied()
        .collect::<Option<Vec<_>>>()
        .and_then(|h| h.into_iter().max());
    println!("halves, healed: one view after {slowest:?} us at the latest");
    let links: Vec<(usize, bool)> = (0..if short { 6 } else { 40 })
        .map(|s| one_link(5, s))
        .collect();
    let link_deaths: usize = links.iter().map(|l| l.0).sum();
    let told = links.iter().filter(|l| l.1).count();
    println!(
        "one link cut among 5: {link_deaths} deaths told, {told} of {} told of the cut",
        links.len()
    );
    let good = false_deaths == 0
        && unknown == 0
        && p99 < 5 * S
        && big < 1.3 * small
        && big < 2_000.0
        && flaps <= 2
        && slowest.is_some_and(|s| s <= 10 * S)
        && link_deaths == 0;
    println!(
        "membership: false_deaths={false_deaths} death_p99_ms={} bytes_s_50={small:.0} bytes_s_large={big:.0} flaps_a_minute={flaps} healed_ms={} link_deaths={link_deaths}",
        p99 / 1000,
        slowest.map_or(-1, |s| (s / 1000) as i64),
    );
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
