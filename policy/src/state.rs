//! What a gateway remembers: plain data and its bookkeeping. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::{Engine, EngineId, EngineState, Micros, NewQuery, QueryId};

mod book;
mod counts;
mod order;

pub(crate) use book::Book;
pub(crate) use counts::Counts;
pub(crate) use order::Order;

/// Microseconds as seconds.
pub(crate) fn secs(t: Micros) -> f64 {
    t as f64 / 1e6
}

/// Seconds as microseconds; what is not a sensible span becomes the nearest one.
pub(crate) fn micros(s: f64) -> Micros {
    (s.clamp(0.0, 1e9) * 1e6) as Micros
}

/// A moving mean with its mean absolute deviation; the first samples weigh more.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Track {
    pub mean: f64,
    pub dev: f64,
    count: f64,
}

impl Track {
    pub fn learn(&mut self, x: f64, least_gain: f64) {
        self.count += 1.0;
        let gain = (1.0 / self.count).max(least_gain);
        self.dev += gain * ((x - self.mean).abs() - self.dev);
        self.mean += gain * (x - self.mean);
        if self.count < 2.0 {
            self.dev = 0.0;
        }
    }

    pub fn known(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.mean)
    }
}

/// A line fitted through the logarithms of estimates and of what was needed. It starts at the estimates
/// themselves and leans towards the usual need the less they tell.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Fit {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

impl Fit {
    pub fn learn(&mut self, estimate: f64, need: f64, least_gain: f64) {
        let (Some(x), Some(y)) = (log(estimate), log(need)) else {
            return;
        };
        self.count += 1.0;
        let gain = (1.0 / self.count).max(least_gain);
        let (dx, dy) = (x - self.x, y - self.y);
        self.x += gain * dx;
        self.y += gain * dy;
        for (sum, product) in [
            (&mut self.xx, dx * dx),
            (&mut self.xy, dx * dy),
            (&mut self.yy, dy * dy),
        ] {
            *sum = (1.0 - gain) * (*sum + gain * product);
        }
    }

    /// Logarithm of the need to be expected, and the variance about it.
    pub fn expect(&self, estimate: f64) -> Option<(f64, f64)> {
        let x = log(estimate).filter(|_| self.count > 0.0)?;
        let slope = (self.count * self.xy + 1.0) / (self.count * self.xx + 1.0);
        let rest = self.yy - 2.0 * slope * self.xy + slope * slope * self.xx;
        Some((self.y + slope * (x - self.x), rest.max(0.0)))
    }
}

fn log(x: f64) -> Option<f64> {
    Some(x.ln()).filter(|l| l.is_finite())
}

/// What was learnt of a class.
#[derive(Debug, Clone, Default)]
pub(crate) struct Learned {
    pub work: Track,
    pub work_ratio: Track,
    pub memory: Track,
    pub memory_fit: Fit,
    /// Logarithm of the grant over what is granted of an estimate at the start.
    pub grant: f64,
    pub late: f64,
    /// The share of its attempts that gave no sign for too long.
    pub silent: f64,
    /// The most time that a first try has brought.
    pub whole_try: Micros,
    pub coin: f64,
    pub coin_until: Micros,
}

/// How well attempts fare: a moving share of failures, and whether it has led to ejection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    pub failing: f64,
    pub ejected: bool,
    pub rest_until: Micros,
    pub failed_trials: u32,
}

/// An engine as this gateway knows it.
#[derive(Debug)]
pub(crate) struct Node {
    pub listed: Engine,
    pub cores: f64,
    pub memory_mb: Option<f64>,
    /// Threads that this gateway may hold there.
    pub bound: f64,
    /// The share of its memory that this gateway may grant.
    pub memory_share: f64,
    /// Threads of own attempts there, by priority.
    pub threads: [f64; 4],
    pub memory_out: f64,
    pub out: BTreeSet<QueryId>,
    /// Moving mean of work per thread-second there.
    pub pace: f64,
    /// How much easier than usual it last was, and when.
    pub ease: f64,
    pub eased: Micros,
    pub heard: Micros,
    pub health: Health,
    /// The same for queries of one class, by its place.
    pub class_health: BTreeMap<usize, Health>,
    pub line_until: Micros,
    pub cold_sent: VecDeque<(Micros, f64)>,
    /// Drawn once a span while the engine is cold.
    pub chance: f64,
    pub chance_until: Micros,
    /// An operator has called it out.
    pub barred: bool,
    /// When an operator called it back; it has not answered since.
    pub back: Option<Micros>,
    pub untried: bool,
}

/// A number from 0 to 1 that stays with a gateway and an engine, and is as good as drawn for each pair.
pub(crate) fn lot(own: u64, engine: EngineId) -> f64 {
    let mut z = own
        ^ u64::from(engine)
            .wrapping_add(1)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

impl Node {
    pub fn new(
        listed: Engine,
        cores: f64,
        memory_mb: Option<f64>,
        bound: f64,
        share: f64,
        pace: f64,
    ) -> Self {
        Node {
            listed,
            cores,
            memory_mb,
            bound,
            memory_share: share,
            threads: [0.0; 4],
            memory_out: 0.0,
            out: BTreeSet::new(),
            pace,
            ease: 0.0,
            eased: 0,
            heard: 0,
            health: Health::default(),
            class_health: BTreeMap::new(),
            line_until: 0,
            cold_sent: VecDeque::new(),
            chance: 1.0,
            chance_until: 0,
            barred: false,
            back: None,
            untried: false,
        }
    }

    /// A new process: nothing learnt of the old one holds, but its attempts still end one by one, and what
    /// operators called for does.
    pub fn renew(&mut self, fresh: Node) {
        let old = std::mem::replace(self, fresh);
        (self.out, self.threads, self.memory_out) = (old.out, old.threads, old.memory_out);
        (self.barred, self.back, self.untried) = (old.barred, old.back, old.untried);
    }

    /// Listed as running, and not called out.
    pub fn in_use(&self) -> bool {
        self.listed.state == EngineState::Ready && !self.barred
    }

    /// When its process started, as far as is known.
    pub fn started(&self) -> Option<Micros> {
        self.listed.started.max(self.back)
    }

    pub fn held_threads(&self) -> f64 {
        self.threads.iter().sum()
    }

    pub fn begin(&mut self, id: QueryId, priority: u8, threads: f64, memory: f64) {
        self.out.insert(id);
        self.threads[usize::from(priority)] += threads;
        self.memory_out += memory;
    }

    pub fn end(&mut self, id: QueryId, priority: u8, threads: f64, memory: f64) {
        self.out.remove(&id);
        let none = self.out.is_empty();
        self.threads[usize::from(priority)] -= threads;
        if none {
            self.threads = [0.0; 4];
        }
        self.memory_out = if none { 0.0 } else { self.memory_out - memory };
    }
}

/// What was learnt of the fleet as a whole.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    /// Engines that operators have called out, in the list or not.
    pub barred: BTreeSet<EngineId>,
    /// Moving sums of work done and of the thread-seconds that it took.
    pub mu_work: f64,
    pub mu_time: f64,
    /// Worth and work of the queries taken.
    pub priority_weight: Track,
    pub work: Track,
    pub cpu_utilisation: Track,
    /// Thread-seconds of its room that were not used, or that were used beyond it, up to a time.
    pub credit: f64,
    pub credit_at: Micros,
    /// Logarithm of the moving pace of answers, whichever engine gave them.
    pub pace: f64,
    /// When what holds for the whole fleet was last made anew.
    pub surveyed_at: Micros,
    /// When all engines were last searched for one that fits.
    pub searched_at: Micros,
    /// The engines as they were last counted.
    pub counts: Counts,
    /// Over half of the listed engines are ejected.
    pub mostly_bad: bool,
    /// Threads that all ready engines together are taken to bear from this gateway.
    pub room: f64,
    /// The same without those that have a line for memory.
    pub open: f64,
    /// By how much of its part this gateway has outgrown it, where that is less than a query an engine.
    pub widened: f64,
}

/// An attempt that is out.
#[derive(Debug, Default)]
pub(crate) struct Attempt {
    pub engine: EngineId,
    pub sent: Micros,
    pub heard: Micros,
    pub memory: f64,
    pub priority: u8,
    /// It last told that it stands in a line there.
    pub waits: bool,
    /// It told that it lacks memory.
    pub spills: bool,
    /// It has been silent for too long.
    pub silent: bool,
    pub cancelled: bool,
}

/// A query that is not finished, or has an attempt out.
#[derive(Debug, Default)]
pub(crate) struct Query {
    pub asked: NewQuery,
    pub slot: usize,
    pub seq: u64,
    pub arrived: Micros,
    pub deadline: Micros,
    pub work: f64,
    pub threads: f64,
    pub memory: f64,
    pub attempts: u32,
    pub out: Option<Attempt>,
    pub may_have_run: bool,
    /// Where and when the first attempt went that may have run.
    pub risk: Option<(Engine, Micros)>,
    pub avoid: Option<EngineId>,
    /// Where it erred.
    pub erred: Option<EngineId>,
    pub held: bool,
    pub finished: bool,
    pub streaming: bool,
    pub due: Micros,
}

/// Whose turn it is among the queries of one key.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    pub open: BTreeMap<u64, QueryId>,
    /// Until when the key rests, and for whose sake.
    pub rest: Option<(Micros, u64)>,
}
