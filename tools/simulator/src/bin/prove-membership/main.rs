//! Measures the membership protocol in simulated fleets and checks the figures against their
//! bounds: `prove-membership [--seeds N] [--short] [--full]`.

mod scenarios;

use std::process::ExitCode;

use violetgate_membership::Micros;
use violetgate_simulator::SECOND;

use crate::scenarios::{CutLinkOutcome, OneSidedLink};

/// The bound of the 99th percentile of the time from a death until all members know of it.
const MAX_DEATH_P99_US: Micros = 5 * SECOND;
/// The maximum time from the healing of a split until all views agree.
const MAX_HEALING_US: Micros = 10 * SECOND;
/// The bound of the bytes a second that a member of a large quiet fleet sends.
const MAX_QUIET_BYTES_PER_S: f64 = 2_000.0;
/// The bound of the ratio between the bytes that a member sends in a large quiet fleet and in a
/// small one.
const MAX_QUIET_GROWTH: f64 = 1.3;
/// The maximum number of changes of a member in one view in a minute, if the member's links are cut
/// in one direction.
const MAX_CHANGES_PER_MINUTE: usize = 2;
/// The number of members of the small quiet fleet.
const SMALL_FLEET: usize = 50;

/// The command-line options.
struct Options {
    is_short: bool,
    is_full: bool,
    seeds: u64,
}

impl Options {
    fn from_args() -> Self {
        let args: Vec<String> = std::env::args().collect();
        let has_flag = |flag: &str| args.iter().any(|arg| arg == flag);
        let seeds = args.iter().skip_while(|arg| *arg != "--seeds").nth(1);
        let seeds = seeds.and_then(|number| number.parse::<u64>().ok());
        let is_short = has_flag("--short");
        Options {
            is_short,
            is_full: has_flag("--full"),
            seeds: seeds.unwrap_or(if is_short { 10 } else { 100 }),
        }
    }

    /// Returns `short` if `--short` is given, `usual` otherwise.
    fn pick<T>(&self, short: T, usual: T) -> T {
        if self.is_short {
            short
        } else {
            usual
        }
    }
}

/// Measures the figures. Each method runs the scenarios of one figure, prints it with the fleet's
/// size and returns it.
struct Report<'a>(&'a Options);

impl Report<'_> {
    fn false_deaths(&self) -> usize {
        let seeds = self.0.seeds;
        // Larger fleets run with fewer seeds, so that each size takes about the same time.
        let sizes = [
            (5, seeds),
            (50, (seeds / 10).max(1)),
            (300, self.0.pick(0, (seeds / 100).max(1))),
        ];
        let mut total = 0;
        for (size, seeds) in sizes {
            let has_false_death =
                |seed: &u64| scenarios::has_false_death_in_lossy_network(size, *seed, 40 * SECOND);
            let failed = (0..seeds).filter(has_false_death).count();
            println!(
                "pauses, 30% loss, 200 ms jitter: {size} members, {seeds} seeds, {failed} with a false death"
            );
            total += failed;
        }
        total
    }

    fn death_detection(&self) -> DeathDetection {
        let size = self.0.pick(50, 300);
        let all: Vec<Option<Micros>> = (0..self.0.pick(2, 6))
            .flat_map(|seed| scenarios::death_detection_times(size, seed, 6))
            .collect();
        let mut times: Vec<Micros> = all.iter().copied().flatten().collect();
        times.sort_unstable();
        let detection = DeathDetection {
            p99: quantile(&times, 0.99).unwrap_or(Micros::MAX / 2),
            undetected: all.len() - times.len(),
        };
        println!(
            "detection by all: {} deaths at {size}, median {} us, p99 {} us, {} undetected",
            times.len(),
            quantile(&times, 0.5).unwrap_or(0),
            detection.p99,
            detection.undetected
        );
        detection
    }

    fn quiet_traffic(&self) -> QuietTraffic {
        let large_fleet = match (self.0.is_short, self.0.is_full) {
            (true, _) => 100,
            (false, true) => 1000,
            (false, false) => 300,
        };
        let traffic = QuietTraffic {
            small: scenarios::quiet_bytes_per_s(SMALL_FLEET, 1),
            large: scenarios::quiet_bytes_per_s(large_fleet, 1),
        };
        println!(
            "bytes a second and member, quiet: {:.0} at {SMALL_FLEET}, {:.0} at {large_fleet}",
            traffic.small, traffic.large
        );
        traffic
    }

    fn max_flaps(&self) -> usize {
        let flaps = |seed, link| scenarios::max_flaps_of_one_sided_member(10, seed, link);
        let max_flaps = (0..self.0.pick(2, 10))
            .flat_map(|seed| {
                [OneSidedLink::SendsOnly, OneSidedLink::ReceivesOnly].map(|link| flaps(seed, link))
            })
            .max()
            .unwrap_or(0);
        println!("cut of one member in one direction: at most {max_flaps} changes a minute");
        max_flaps
    }

    /// The longest time until a healed fleet agreed; `None` if a fleet did not agree.
    fn healing_time(&self) -> Option<Micros> {
        let size = self.0.pick(20, 100);
        let times: Option<Vec<Micros>> = (0..self.0.pick(2, 6))
            .map(|seed| scenarios::healing_time(size, seed))
            .collect();
        let slowest = times.and_then(|times| times.into_iter().max());
        println!("split into halves: all views agree at most {slowest:?} us after the healing");
        slowest
    }

    fn cut_link_deaths(&self) -> usize {
        let outcomes: Vec<CutLinkOutcome> = (0..self.0.pick(6, 40))
            .map(|seed| scenarios::cut_one_link(5, seed))
            .collect();
        let deaths = outcomes.iter().map(|outcome| outcome.deaths).sum();
        let reported = outcomes.iter().filter(|outcome| outcome.is_reported);
        println!(
            "one link cut among 5 members: {deaths} deaths declared, cut reported in {} of {} runs",
            reported.count(),
            outcomes.len()
        );
        deaths
    }
}

struct DeathDetection {
    p99: Micros,
    undetected: usize,
}

/// The bytes that a member sends in a second, in the small and in the large fleet.
struct QuietTraffic {
    small: f64,
    large: f64,
}

fn quantile(sorted: &[Micros], fraction: f64) -> Option<Micros> {
    let index = (sorted.len() as f64 * fraction) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied()
}

fn main() -> ExitCode {
    let options = Options::from_args();
    let report = Report(&options);
    let false_deaths = report.false_deaths();
    let detection = report.death_detection();
    let traffic = report.quiet_traffic();
    let max_flaps = report.max_flaps();
    let healing_time = report.healing_time();
    let link_deaths = report.cut_link_deaths();
    println!(
        "membership: false_deaths={false_deaths} death_p99_ms={} bytes_s_50={:.0} bytes_s_large={:.0} flaps_a_minute={max_flaps} healed_ms={} link_deaths={link_deaths}",
        detection.p99 / 1000,
        traffic.small,
        traffic.large,
        healing_time.map_or(-1, |time| (time / 1000) as i64),
    );
    let is_within_bounds = false_deaths == 0
        && detection.undetected == 0
        && detection.p99 < MAX_DEATH_P99_US
        && traffic.large < MAX_QUIET_GROWTH * traffic.small
        && traffic.large < MAX_QUIET_BYTES_PER_S
        && max_flaps <= MAX_CHANGES_PER_MINUTE
        && healing_time.is_some_and(|time| time <= MAX_HEALING_US)
        && link_deaths == 0;
    if is_within_bounds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
