//! Measures the cost of a fleet in typical situations: bytes, messages, CPU time, memory, and the
//! time until all views are correct again. The members run the real membership code; only the
//! network and the clock are simulated.

use std::ops::ControlFlow;
use std::time::{Duration, Instant};

use violetgate_membership::{MembershipConfig, Micros};

use crate::{Cut, FaultPlan, MemberEvent, Traffic, World, SECOND};

/// The interval of simulated time at which the views are checked.
const CHECK_INTERVAL_US: Micros = SECOND / 4;
/// The time between two restarts of a rollout, which makes 100 restarts a minute.
const RESTART_INTERVAL_US: Micros = 600_000;
/// The time that a process takes to restart.
const RESTART_DURATION_US: Micros = 2 * SECOND;
/// The maximum delay of the network beyond the minimum latency of 1 ms.
const JITTER_US: Micros = 2_000;
/// The time for which a case continues after all views are correct, since members still gossip the
/// last changes during that time.
const QUIET_TIME_US: Micros = 15 * SECOND;
/// The time that runs before the measurement begins, so that the measurement does not include the
/// first ticks and view comparisons.
const SETTLE_TIME_US: Micros = 10 * SECOND;
/// The number of events between two checks of the time limit.
const EVENTS_PER_TIME_CHECK: u64 = 1_024;
/// The incarnation of the first processes. A restarted process has this plus the simulated time.
const FIRST_INCARNATION: u64 = 1_000;

/// A situation in which the cost of a fleet is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// No member fails, joins or leaves.
    Rest,
    /// One change every 50 s: a member dies, then restarts.
    Change,
    /// A fifth of the members die at once, and restart after all views show it, or after 60 s.
    Fifth,
    /// The fleet is split into two halves for three minutes.
    Halves,
    /// Members restart one after the other, 100 a minute.
    Rollout,
    /// All members start at once and know only the seeds.
    Start,
}

impl Case {
    /// All cases, in the order in which they are measured.
    pub const ALL: [Case; 6] = [
        Case::Rest,
        Case::Change,
        Case::Fifth,
        Case::Halves,
        Case::Rollout,
        Case::Start,
    ];

    /// The name of the case on the command line and in figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Case::Rest => "rest",
            Case::Change => "change",
            Case::Fifth => "fifth",
            Case::Halves => "halves",
            Case::Rollout => "rollout",
            Case::Start => "start",
        }
    }
}

/// The measured cost of a case. Rates are per member and second of simulated time.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Mean rate of bytes sent, over all members and the whole case.
    pub bytes_per_s: f64,
    /// Mean rate of bytes sent by the member that sent most.
    pub busiest_bytes_per_s: f64,
    /// Bytes sent per member in the second in which the fleet as a whole sent most.
    pub peak_bytes_per_s: f64,
    /// Maximum number of bytes that one member sent in one second.
    pub burst_bytes: u64,
    /// Mean rate of messages sent.
    pub messages_per_s: f64,
    /// CPU time of the membership code, in microseconds.
    pub cpu_us_per_s: f64,
    /// Seconds from a change until all views were correct, the longest if the case has several
    /// changes. `None` if the views were not correct in time, or if the case has no change.
    pub known_s: Option<f64>,
    /// Seconds until all views were correct, for each change of the case.
    pub known_each_s: Vec<Option<f64>>,
    /// Number of times that a view declared a running member dead, including across a cut.
    pub false_declarations: u64,
    /// Growth of this process's resident memory per member, in bytes. It is only meaningful if the
    /// process simulates a single case.
    pub memory_bytes: u64,
    /// Length of the case in simulated seconds.
    pub simulated_s: f64,
    /// Real seconds that the simulation took.
    pub played_s: f64,
    /// Whether the simulation stopped before the end of the case because of the time limit. The
    /// rates then cover the part that was simulated.
    pub cut_short: bool,
}

/// Simulates a case with `member_count` members. It ends early after `time_limit` of real time.
#[must_use]
pub fn simulate(
    case: Case,
    member_count: usize,
    config: &MembershipConfig,
    seed: u64,
    time_limit: Duration,
) -> Load {
    let (started, memory) = (Instant::now(), resident_bytes());
    let mut run = Run::new(case, member_count, config, seed, started + time_limit);
    match case {
        Case::Rest => run.run_until(run.now() + 20 * SECOND),
        Case::Change => simulate_death_and_return(&mut run),
        Case::Fifth => simulate_deaths_of_a_fifth(&mut run),
        Case::Halves => simulate_split(&mut run),
        Case::Rollout => simulate_rollout(&mut run),
        Case::Start => run.measure_settling_then_quiet(120 * SECOND),
    }
    run.into_load(started, memory)
}

fn simulate_death_and_return(run: &mut Run) {
    let member = run.member_count / 2;
    run.world.kill(member);
    run.measure_settling(50 * SECOND);
    run.restart(member);
    run.measure_settling(50 * SECOND);
}

fn simulate_deaths_of_a_fifth(run: &mut Run) {
    let dying: Vec<usize> = (0..run.member_count).filter(|i| i % 5 == 4).collect();
    for member in &dying {
        run.world.kill(*member);
    }
    run.measure_settling_then_quiet(60 * SECOND);
    for member in &dying {
        run.restart(*member);
    }
    run.measure_settling_then_quiet(60 * SECOND);
}

fn simulate_split(run: &mut Run) {
    let all = 0..run.member_count;
    let (low, high): (Vec<usize>, Vec<usize>) = all.partition(|i| *i < run.member_count / 2);
    let heals_at = run.now() + 180 * SECOND;
    run.world.set_faults(FaultPlan {
        jitter: JITTER_US,
        cuts: Cut::both_ways(&low, &high, 0, heals_at),
        ..FaultPlan::default()
    });
    run.run_until(heals_at);
    run.measure_settling_then_quiet(60 * SECOND);
}

fn simulate_rollout(run: &mut Run) {
    let steps = 60 * SECOND / RESTART_INTERVAL_US;
    let mut restarts: Vec<MemberEvent> = Vec::new();
    for step in 0..steps {
        let member = (step as usize * 7) % run.member_count;
        run.world.leave(member);
        let at = run.now() + RESTART_DURATION_US;
        restarts.push(MemberEvent { member, at });
        run.run_until(run.now() + RESTART_INTERVAL_US);
        run.restart_due(&mut restarts);
    }
    run.run_until(run.now() + RESTART_DURATION_US);
    run.restart_due(&mut restarts);
    run.measure_settling_then_quiet(60 * SECOND);
}

/// A case that is being simulated, with its measurements so far.
struct Run {
    world: World,
    member_count: usize,
    config: MembershipConfig,
    began_at: Micros,
    /// The traffic that each member had sent before the current second.
    traffic_before: Vec<Traffic>,
    second_ends_at: Micros,
    /// Maximum number of bytes that all members together have sent in a second.
    max_fleet_bytes: u64,
    /// Maximum number of bytes that one member has sent in a second.
    max_member_bytes: u64,
    time_limit: Instant,
    is_over_limit: bool,
    /// For each change, the seconds until all views were correct.
    settled_after_s: Vec<Option<f64>>,
}

impl Run {
    fn new(
        case: Case,
        member_count: usize,
        config: &MembershipConfig,
        seed: u64,
        time_limit: Instant,
    ) -> Self {
        let faults = FaultPlan {
            jitter: JITTER_US,
            ..FaultPlan::default()
        };
        let mut world = match case {
            Case::Start => World::new(member_count, seed, config, faults),
            _ => World::settled_fleet(member_count, seed, config, faults),
        };
        world.records_changes = false;
        if case != Case::Start {
            let _ = world.run(SETTLE_TIME_US);
        }
        world.membership_cpu_time = Duration::ZERO;
        world.false_declarations = 0;
        world.traffic.fill(Traffic::default());
        let began_at = world.now();
        Run {
            world,
            member_count,
            config: config.clone(),
            began_at,
            traffic_before: vec![Traffic::default(); member_count],
            second_ends_at: began_at + SECOND,
            max_fleet_bytes: 0,
            max_member_bytes: 0,
            time_limit,
            is_over_limit: false,
            settled_after_s: Vec::new(),
        }
    }

    fn now(&self) -> Micros {
        self.world.now()
    }

    /// Runs until a simulated time, or until the limit of real time.
    fn run_until(&mut self, until: Micros) {
        while self.now() < until && !self.is_over_limit {
            let next_check = self.now() + CHECK_INTERVAL_US;
            let next = until.min(self.second_ends_at).min(next_check);
            let time_limit = self.time_limit;
            let ran = self.world.run_while(next, |world| {
                let is_check = world.event_count % EVENTS_PER_TIME_CHECK == 0;
                if is_check && Instant::now() > time_limit {
                    ControlFlow::Break(())
                } else {
                    ControlFlow::Continue(())
                }
            });
            self.is_over_limit = !matches!(ran, Ok(ControlFlow::Continue(())));
            if self.now() >= self.second_ends_at {
                self.end_second();
            }
        }
    }

    fn end_second(&mut self) {
        let traffic = self.world.traffic.iter().zip(&self.traffic_before);
        let bytes: Vec<u64> = traffic
            .map(|(now, before)| now.bytes - before.bytes)
            .collect();
        self.max_fleet_bytes = self.max_fleet_bytes.max(bytes.iter().sum());
        let busiest = bytes.iter().copied().max().unwrap_or(0);
        self.max_member_bytes = self.max_member_bytes.max(busiest);
        self.traffic_before.clone_from(&self.world.traffic);
        self.second_ends_at += SECOND;
    }

    /// Runs for a span and records how long it took until all views were correct.
    fn measure_settling(&mut self, span: Micros) {
        self.run_and_check(span, span);
    }

    /// Like [`Run::measure_settling`], but ends [`QUIET_TIME_US`] after all views were correct.
    fn measure_settling_then_quiet(&mut self, span: Micros) {
        self.run_and_check(span, QUIET_TIME_US);
    }

    fn run_and_check(&mut self, span: Micros, quiet_time: Micros) {
        let began_at = self.now();
        let mut settled_after_s = None;
        let mut ends_at = began_at + span;
        while self.now() < ends_at && !self.is_over_limit {
            self.run_until((self.now() + CHECK_INTERVAL_US).min(ends_at));
            if settled_after_s.is_none() && self.world.is_settled() {
                settled_after_s = Some((self.now() - began_at) as f64 / SECOND as f64);
                ends_at = ends_at.min(self.now() + quiet_time);
            }
        }
        self.settled_after_s.push(settled_after_s);
    }

    fn restart(&mut self, member: usize) {
        let incarnation = FIRST_INCARNATION + self.now();
        let config = self.config.clone();
        self.world.restart(member, &config, incarnation);
    }

    fn restart_due(&mut self, restarts: &mut Vec<MemberEvent>) {
        let now = self.now();
        let (due, later): (Vec<_>, Vec<_>) = restarts.drain(..).partition(|event| event.at <= now);
        *restarts = later;
        for event in due {
            self.restart(event.member);
        }
    }

    fn into_load(self, started: Instant, memory: u64) -> Load {
        let simulated_s = (self.now() - self.began_at) as f64 / SECOND as f64;
        let member_seconds = (simulated_s * self.member_count as f64).max(f64::MIN_POSITIVE);
        let traffic = &self.world.traffic;
        let bytes: u64 = traffic.iter().map(|member| member.bytes).sum();
        let messages: u64 = traffic.iter().map(|member| member.messages).sum();
        let busiest = traffic.iter().map(|member| member.bytes).max().unwrap_or(0);
        let settled_after_s: Option<Vec<f64>> = self.settled_after_s.iter().copied().collect();
        Load {
            bytes_per_s: bytes as f64 / member_seconds,
            busiest_bytes_per_s: busiest as f64 / simulated_s.max(f64::MIN_POSITIVE),
            peak_bytes_per_s: self.max_fleet_bytes as f64 / self.member_count as f64,
            burst_bytes: self.max_member_bytes,
            messages_per_s: messages as f64 / member_seconds,
            cpu_us_per_s: self.world.membership_cpu_time.as_micros() as f64 / member_seconds,
            known_s: settled_after_s.and_then(|times| times.into_iter().reduce(f64::max)),
            known_each_s: self.settled_after_s,
            false_declarations: self.world.false_declarations,
            memory_bytes: resident_bytes().saturating_sub(memory) / self.member_count as u64,
            simulated_s,
            played_s: started.elapsed().as_secs_f64(),
            cut_short: self.is_over_limit,
        }
    }
}

/// Resident memory of this process in bytes; 0 if `/proc` does not report it.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|number| number.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
