//! What a fleet of so many members costs in a few situations: bytes, messages, processor time, memory, and how long
//! until all views are right again. The members are the real core; only the network and the clock are simulated.

use std::time::{Duration, Instant};

use violetgate_membership::{MembershipConfig, Micros};

use crate::{Cut, FaultPlan, World, S};

/// How often it is looked whether all views are right.
const LOOK_EVERY: Micros = S / 4;
/// Between two restarts of a rollout: 100 a minute.
const RESTART_EVERY: Micros = 600_000;
/// How long a restarted process is away.
const RESTART_TAKES: Micros = 2 * S;
/// Delay of the network beyond 1 ms.
const JITTER: Micros = 2_000;
/// How long a case goes on once all views are right: news is told on for that long.
const QUIET: Micros = 15 * S;
/// Quiet time before each case.
const SETTLE: Micros = 10 * S;

/// A situation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Case {
    /// Nothing happens.
    Rest,
    /// One change each 50 s: a death, and its return.
    Change,
    /// A fifth of all die at once, and come back once that is known.
    Fifth,
    /// Two halves are cut from each other for three minutes.
    Halves,
    /// 100 restarts a minute.
    Rollout,
    /// All start at once and know only the seeds.
    Start,
}

impl Case {
    /// All of them.
    pub const ALL: [Case; 6] = [
        Case::Rest,
        Case::Change,
        Case::Fifth,
        Case::Halves,
        Case::Rollout,
        Case::Start,
    ];

    /// Its name in figures.
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

/// What a case cost. Rates are per member and second of simulated time.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// Bytes sent, the mean over all members and the whole case.
    pub bytes_per_s: f64,
    /// Bytes sent by the member that sent most.
    pub busiest_bytes_per_s: f64,
    /// Bytes sent in the second in which all together sent most.
    pub peak_bytes_per_s: f64,
    /// The most bytes that one member sent in one second.
    pub burst_bytes: u64,
    /// Messages sent.
    pub messages_per_s: f64,
    /// Processor time of the members' own code, microseconds.
    pub cpu_us_per_s: f64,
    /// How long after the (last) change all views were right; none: not within the case.
    pub known_s: Option<f64>,
    /// The same by change, where a case has more than one.
    pub known_each_s: Vec<Option<f64>>,
    /// How often a view held a member for dead that ran. Those across a cut are among them.
    pub false_declarations: u64,
    /// Growth of this process's resident memory by member: meaningful where a process plays one case.
    pub memory_bytes: u64,
    /// Simulated seconds.
    pub simulated_s: f64,
    /// Seconds it took to play.
    pub played_s: f64,
    /// It took longer than allowed and was not played to its end; rates are of what was played.
    pub cut_short: bool,
}

/// A case at work: the fleet and what it has sent.
struct Run {
    world: World,
    count: usize,
    config: MembershipConfig,
    began: Micros,
    before: Vec<(u64, u64)>,
    second: Micros,
    peak: u64,
    burst: u64,
    ends: Instant,
    over: bool,
    known: Vec<Option<f64>>,
}

/// Plays a case with so many members; it ends early once it has taken longer than `at_most`.
#[must_use]
pub fn play(
    case: Case,
    count: usize,
    config: &MembershipConfig,
    seed: u64,
    at_most: Duration,
) -> Load {
    let (started, memory) = (Instant::now(), resident_bytes());
    let mut run = Run::new(case, count, config, seed, started + at_most);
    match case {
        Case::Rest => run.until(run.now() + 20 * S),
        Case::Change => change(&mut run),
        Case::Fifth => fifth(&mut run),
        Case::Halves => halves(&mut run),
        Case::Rollout => rollout(&mut run),
        Case::Start => run.known_and_quiet_within(120 * S),
    }
    run.load(started, memory)
}

fn change(run: &mut Run) {
    let one = run.count / 2;
    run.world.kill(one);
    run.known_within(50 * S);
    run.restart(one);
    run.known_within(50 * S);
}

fn fifth(run: &mut Run) {
    let dying: Vec<usize> = (0..run.count).filter(|i| i % 5 == 4).collect();
    dying.iter().for_each(|i| run.world.kill(*i));
    run.known_and_quiet_within(60 * S);
    dying.iter().for_each(|i| run.restart(*i));
    run.known_and_quiet_within(60 * S);
}

fn halves(run: &mut Run) {
    let (low, high): (Vec<usize>, Vec<usize>) = (0..run.count).partition(|i| *i < run.count / 2);
    let heals = run.now() + 180 * S;
    let cut = |from: &[usize], to: &[usize]| Cut {
        from: from.to_vec(),
        to: to.to_vec(),
        begin: 0,
        end: heals,
    };
    let cuts = vec![cut(&low, &high), cut(&high, &low)];
    run.world.set_faults(FaultPlan {
        jitter: JITTER,
        cuts,
        ..FaultPlan::default()
    });
    run.until(heals);
    run.known_and_quiet_within(60 * S);
}

fn rollout(run: &mut Run) {
    let steps = 60 * S / RESTART_EVERY;
    let mut away: Vec<(Micros, usize)> = Vec::new();
    for step in 0..steps {
        let next = (step as usize * 7) % run.count;
        run.world.leave(next);
        away.push((run.now() + RESTART_TAKES, next));
        run.until(run.now() + RESTART_EVERY);
        run.restart_due(&mut away);
    }
    run.until(run.now() + RESTART_TAKES);
    run.restart_due(&mut away);
    run.known_and_quiet_within(60 * S);
}

impl Run {
    fn new(case: Case, count: usize, config: &MembershipConfig, seed: u64, ends: Instant) -> Self {
        let faults = FaultPlan {
            jitter: JITTER,
            ..FaultPlan::default()
        };
        let mut world = match case {
            Case::Start => World::new(count, seed, config, faults),
            _ => World::settled_fleet(count, seed, config, faults),
        };
        world.records = false;
        if case != Case::Start {
            // The first turns and comparisons after the start are no part of the case.
            let _ = world.run(SETTLE, |_| Ok(()));
        }
        world.core_time = Duration::ZERO;
        world.false_declarations = 0;
        world.sent.iter_mut().for_each(|sent| *sent = (0, 0));
        let began = world.now();
        Run {
            world,
            count,
            config: config.clone(),
            began,
            before: vec![(0, 0); count],
            second: began + S,
            peak: 0,
            burst: 0,
            ends,
            over: false,
            known: Vec::new(),
        }
    }

    fn now(&self) -> Micros {
        self.world.now()
    }

    /// Plays on until a time.
    fn until(&mut self, until: Micros) {
        while self.now() < until && !self.over {
            let next = until.min(self.second).min(self.now() + LOOK_EVERY);
            let ends = self.ends;
            let stopped = self.world.run(next, |world| match world.events % 1_024 {
                0 if Instant::now() > ends => Err(String::new()),
                _ => Ok(()),
            });
            self.over = stopped.is_err();
            if self.now() >= self.second {
                self.end_second();
            }
        }
    }

    fn end_second(&mut self) {
        let sent: Vec<u64> = self
            .world
            .sent
            .iter()
            .zip(&self.before)
            .map(|(now, old)| now.0 - old.0)
            .collect();
        self.peak = self.peak.max(sent.iter().sum());
        self.burst = self.burst.max(sent.iter().copied().max().unwrap_or(0));
        self.before.clone_from(&self.world.sent);
        self.second += S;
    }

    /// Plays a span, and notes when in it all views were right.
    fn known_within(&mut self, span: Micros) {
        self.look(span, span);
    }

    /// The same, but ends a while after that.
    fn known_and_quiet_within(&mut self, span: Micros) {
        self.look(span, QUIET);
    }

    fn look(&mut self, span: Micros, after: Micros) {
        let began = self.now();
        let (mut known, mut ends) = (None, began + span);
        while self.now() < ends && !self.over {
            self.until((self.now() + LOOK_EVERY).min(ends));
            if known.is_none() && self.world.settled() {
                known = Some((self.now() - began) as f64 / S as f64);
                ends = ends.min(self.now() + after);
            }
        }
        self.known.push(known);
    }

    fn restart(&mut self, i: usize) {
        // Lives are Unix microseconds; the first ones are 1,000.
        let life = 1_000 + self.now();
        let config = self.config.clone();
        self.world.restart(i, &config, life);
    }

    fn restart_due(&mut self, away: &mut Vec<(Micros, usize)>) {
        let now = self.now();
        let (due, later): (Vec<_>, Vec<_>) = away.drain(..).partition(|(at, _)| *at <= now);
        *away = later;
        due.into_iter().for_each(|(_, i)| self.restart(i));
    }

    fn load(self, started: Instant, memory: u64) -> Load {
        let simulated = (self.now() - self.began) as f64 / S as f64;
        let member_seconds = (simulated * self.count as f64).max(f64::MIN_POSITIVE);
        let (bytes, messages) = self
            .world
            .sent
            .iter()
            .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        let busiest = self.world.sent.iter().map(|s| s.0).max().unwrap_or(0);
        let slowest = self.known.iter().copied().collect::<Option<Vec<f64>>>();
        Load {
            bytes_per_s: bytes as f64 / member_seconds,
            busiest_bytes_per_s: busiest as f64 / simulated.max(f64::MIN_POSITIVE),
            peak_bytes_per_s: self.peak as f64 / self.count as f64,
            burst_bytes: self.burst,
            messages_per_s: messages as f64 / member_seconds,
            cpu_us_per_s: self.world.core_time.as_micros() as f64 / member_seconds,
            known_s: slowest.and_then(|known| known.into_iter().reduce(f64::max)),
            known_each_s: self.known,
            false_declarations: self.world.false_declarations,
            memory_bytes: resident_bytes().saturating_sub(memory) / self.count as u64,
            simulated_s: simulated,
            played_s: started.elapsed().as_secs_f64(),
            cut_short: self.over,
        }
    }
}

/// Resident memory of this process; 0 where the system does not say.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|n| n.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
