//! Every decision of violetgate_policy; its settings, events and actions are in `src/interface.rs`.
//!
//! Predicted-wait admission after M. Mazzucco, "Virtual queues from scratch, Part 4": queries wait here in
//! one queue per class, a logistic coin on the predicted wait admits them, and the oldest fitting head goes
//! to the engine with most free threads. `docs/design.md` lists every exception and when it acts.

use rand_chacha::rand_core::RngCore;

pub use crate::gateway::Gateway;
use crate::interface::{
    Action, AttemptEnded, Cost, DedupGroup, Engine, EngineId, EngineKind, EngineState, Event,
    Idempotency, ListScope, LoadReport, Micros, NewQuery, Outcome, Progress, QueryId,
};
use crate::state::{lot, micros, secs, Attempt, Counts, Health, Node, Query};

mod attempts;
mod fleet;
mod placing;

/// Threads a core that all gateways together may hold at an engine before any widening.
const THREADS_PER_CORE: f64 = 2.0;
/// The logistic slope as a share of T.
const SLOPE: f64 = 0.1;
/// T is at least this share of the deadline (of the aim, where answers come late).
const LEAST_T: f64 = 0.5;
/// Weight of a new outcome in the moving means.
const GAIN: f64 = 0.05;
/// A bound widens while work per thread-second is above this share of the unloaded rate ...
const NEAR_UNLOADED: f64 = 0.7;
/// ... or while reported utilisation is below this ...
const KNEE: f64 = 0.8;
/// ... and it falls back to its base below this share of the unloaded rate.
const FAR_FROM_UNLOADED: f64 = 0.45;
/// The factor by which a report widens or narrows a bound; an answer does by this share of its threads.
const WIDEN: f64 = 1.2;
const ANSWER_STEP: f64 = 0.25;
/// A bound (of threads or memory) widens only while more than this share of it is in use.
const IN_USE: f64 = 0.6;
/// Weight of an answer in its engine's pace.
const PACE_GAIN: f64 = 0.15;
/// In note periods: time in which a report fades.
const FADE: f64 = 4.0;
/// In note periods: time between looks at held queries, a full engine's rest, that of one with a line.
pub(crate) const LOOK_EVERY: f64 = 0.05;
const FULL_REST: f64 = 0.25;
const LINE_REST: f64 = 1.2;
/// Memory of mu in units of the classes' mean work, and the part of it that its start at 1 weighs.
const MU_MEMORY: f64 = 40.0;
const MU_START: f64 = 0.1;

/// How short cores and disks are shared by priority, where that is heeded.
const SHARES: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Share of late answers at which T is judged by the aim alone.
const LATE_SHARE: f64 = 0.1;
/// A class whose late answers earn less than this share is given up once its aim cannot be met.
const POOR_WHEN_LATE: f64 = 0.5;
/// The shared coin of a class holds for this share of T.
const COIN_SPAN: f64 = 0.1;
/// Weight of one outcome in an engine's failing share; above EJECT it is ejected, below TRUST trusted again.
const FAIL_GAIN: f64 = 0.25;
const EJECT: f64 = 0.4;
const TRUST: f64 = 0.12;
/// Note periods that an ejected engine rests, doubled so often at failed trials: each costs an attempt.
const REST: f64 = 1.0;
const REST_DOUBLINGS: u32 = 1;
/// The part of its ration that a gateway's trials may cost.
const TRIALS: f64 = 0.25;
/// A class shuns engines only while one in so many serves it.
const LEAST_SERVING: usize = 3;
/// Note periods without any sign after which an attempt is taken as silent.
const SILENT_NOTES: f64 = 1.7;
/// Multiples of its expected run that a query may stay silent where there are no notes.
const SILENT_RUNS: f64 = 6.0;
/// An attempt lags at this many times its expected run, with this many times a fresh start remaining.
const LAG: f64 = 3.0;
const LAG_REST: f64 = 2.0;
/// Shortest aims for which all room may stay owed, where one query of each class took more than it.
const DEBT: f64 = 12.0;
/// An engine whose pace is below this share of mu is slow: one query at a time.
const SLOW: f64 = 0.35;
/// The part used of what a cold engine is said to bear.
const COLD_MARGIN: f64 = 0.5;
/// Deviations that chances drawn by all gateways stay below what a cold engine bears; how much rarer they are
/// before a gateway's own phase, as all hear of an engine at once and these come on top of the span's.
const CHANCE: f64 = 4.0;
const FIRST: f64 = 4.0;
/// Deviations above the expected need at which memory is granted; weight of a query in what is expected.
const GRANT_AT: f64 = 1.3;
/// The grant as a multiple of the estimate while no need has been told.
const GRANT_UNTOLD: f64 = 1.25;
const FIT_GAIN: f64 = 0.02;
/// Where needs are not told, steps of the grant's logarithm, and the share that spills; with more lacking a
/// query is sent again.
const GRANT_STEP: f64 = 0.3;
const SPILL_SHARE: f64 = 0.2;
/// A line for memory cuts the share that this gateway grants there to this; each good answer adds a step.
const LINE_CUT: f64 = 0.7;
const SHARE_STEP: f64 = 0.02;
/// Engines near it that a gateway keeps to while they are free, where its part of each is under a query: its
/// connections and what it learns would be old before it came again. It hurts where few of them are good.
const HOMES: f64 = 10.0;
/// A home more for so many queries a second: each is then met often enough for its connection to be of use.
const HOME_RATE: f64 = 8.0;
/// Up to so many engines, each query looks at all. Of more, so many are drawn at a time, each time among so
/// many times as many, and all are searched so often at most.
const ALL_LOOKED_AT: usize = 128;
const DRAWN: usize = 16;
const WIDER: usize = 4;
const SEARCH_EVERY: Micros = 10_000;
/// Age at which what holds for the whole of many engines is made anew.
const SURVEY_AGE: Micros = 100_000;
/// The part of a base bound up to which an engine counts as lightly used.
const ALONE: f64 = 0.4;
/// Expected work of a class of which nothing is known, as a share of its aim.
const BLIND_WORK: f64 = 0.2;

impl Gateway {
    /// Takes what happened at `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        self.survey();
        for event in events {
            match event {
                Event::EngineList { scope, engines } => self.list(*scope, engines, actions),
                Event::Cordon { engine, cordoned } => self.cordon(*engine, *cordoned),
                Event::QueryArrived(asked) => self.arrive(asked, actions),
                Event::Progress {
                    query,
                    attempt,
                    progress,
                } => self.note(*query, *attempt, *progress, actions),
                Event::ResponseStarted { query } => self.book.stream(*query),
                Event::AttemptEnded(end) => {
                    self.report(end.engine, end.load);
                    self.ended(end, actions);
                }
                Event::ClientDisconnected { query } => self.gone(*query, actions),
                Event::HealthChecked {
                    engine,
                    passed,
                    load,
                } => {
                    self.report(*engine, *load);
                    if !passed {
                        self.failure(*engine, FAIL_GAIN);
                    }
                }
                Event::FleetSize { gateways } => self.share(*gateways),
                Event::TimerFired => {}
            }
        }
        self.survey();
        while let Some(id) = self.book.next_due(self.now) {
            self.check(id, actions);
        }
        self.pump(actions);
        self.ask_wake(actions);
    }

    fn mu(&self) -> f64 {
        let work: f64 = self
            .learned
            .iter()
            .filter_map(|l| l.work.known())
            .sum::<f64>()
            .max(1e-3);
        let prior = work * MU_MEMORY * MU_START;
        ((self.fleet.mu_work + prior) / (self.fleet.mu_time + prior)).clamp(0.02, 50.0)
    }

    fn run(&self, q: &Query) -> f64 {
        q.work / (q.threads * self.mu())
    }

    fn aim_at(&self, q: &Query) -> Micros {
        self.aim_for(q, q.work)
    }

    fn aim_for(&self, q: &Query, work: f64) -> Micros {
        let c = self.class_of(q);
        let stretch = c.objective_stretch.unwrap_or(0.0) * work / q.threads;
        c.latency_objective.map_or(q.deadline, |a| {
            (q.arrived + a + micros(stretch)).min(q.deadline)
        })
    }

    /// Whether a query is a lost cause once its aim cannot be met: that earns little, and others want its
    /// room. Served, it would only make them late, and their repeats in turn, which keeps an overload going
    /// that has long ended, whatever began it: a surge, slow engines, lost answers. It hurts where estimates
    /// or paces are far off, since what might still have been in time is given up.
    fn aim_is_all(&self, q: &Query) -> bool {
        let c = self.class_of(q);
        let poor = c.idempotency == Idempotency::Idempotent
            && c.late_weight_fraction.unwrap_or(1.0) < POOR_WHEN_LATE;
        poor && (self.book.held > usize::from(q.held) || self.learned[q.slot].late > LATE_SHARE)
    }

    fn lost(&self, q: &Query) -> bool {
        self.aim_is_all(q) && self.now + micros(self.run(q)) >= self.aim_at(q)
    }

    fn arrive(&mut self, asked: &NewQuery, actions: &mut Vec<Action>) {
        if self.book.queries.contains_key(&asked.id) {
            return;
        }
        self.book.take(self.now);
        // A class that the settings don't name shares the blank last place.
        let slot = (asked.class as usize).min(self.s.classes.len() - 1);
        let class = &self.s.classes[slot];
        let l = &mut self.learned[slot];
        // A repeat's aim began with its first try. How long ago that was shows in the time it brings, once
        // that is less than a whole try; what is not marked passes for a first try.
        let (whole, own) = (class.deadline.unwrap_or(0), asked.time_left);
        l.whole_try = l.whole_try.max(if asked.is_client_retry { 0 } else { own });
        let again = asked.is_client_retry && own + self.s.answer_grace.unwrap_or(0) < l.whole_try;
        let age = if again { whole.saturating_sub(own) } else { 0 };
        let blind = BLIND_WORK
            * secs(
                class
                    .latency_objective
                    .or(class.deadline)
                    .unwrap_or(asked.time_left),
            );
        let mean = l.work.known().unwrap_or(blind);
        let estimate = asked.estimated_work.filter(|w| *w > 0).map(secs);
        let work = estimate.map_or(mean, |e| e * l.work_ratio.known().unwrap_or(1.0));
        let memory = match asked.estimated_memory_mb {
            Some(m) => l
                .memory_fit
                .expect(m)
                .map_or(GRANT_UNTOLD * m * l.grant.exp(), |(log, var)| {
                    (log + GRANT_AT * var.sqrt()).exp()
                }),
            None => l
                .memory
                .known()
                .map_or(0.0, |m| m + GRANT_AT * l.memory.dev),
        };
        let q = Query {
            seq: self.book.seq,
            arrived: self.now.saturating_sub(age),
            deadline: self.now + asked.time_left,
            work: work.max(1e-4),
            threads: class.threads.filter(|t| *t > 0.0).unwrap_or(1.0),
            memory,
            slot,
            asked: asked.clone(),
            ..Query::default()
        };
        self.fleet
            .priority_weight
            .learn(class.priority_weight.unwrap_or(1.0), FIT_GAIN);
        self.fleet.work.learn(q.work, FIT_GAIN);
        let id = asked.id;
        let none_held = self.book.queues[slot].is_empty();
        if let Some(key) = asked.ordering_key.filter(|_| class.ordered_by_key) {
            self.book
                .turns
                .entry(key)
                .or_default()
                .open
                .insert(q.seq, id);
        }
        self.book.queries.insert(id, q);
        let lost = age > 0 && self.book.get(id).is_some_and(|q| self.lost(q));
        if lost {
            self.finish(id, actions);
        } else if let Some(engine) = none_held.then(|| self.choose(id)).flatten() {
            self.send(id, engine, actions);
        } else if self.admit(id) {
            self.hold(id);
        } else {
            self.finish(id, actions);
        }
    }

    /// T: the class deadline (or the query's own time, if less) less the expected run. Where answers of the
    /// class have come late, which earn little, it shrinks towards the same figure made from the aim.
    fn threshold(&self, q: &Query) -> f64 {
        let c = self.class_of(q);
        let run = self.run(q);
        let deadline = secs(c.deadline.unwrap_or(Micros::MAX).min(q.asked.time_left));
        let t = (deadline - run).max(LEAST_T * deadline);
        let aim = c
            .latency_objective
            .map_or(deadline, |a| secs(a).min(deadline));
        let by_aim = (aim - run).max(LEAST_T * aim).min(t);
        let late = (self.learned[q.slot].late / LATE_SHARE).min(1.0);
        (t + (by_aim - t) * late).max(1e-3)
    }

    fn admit(&mut self, id: QueryId) -> bool {
        let Some(q) = self.book.get(id) else {
            return false;
        };
        let t = self.threshold(q);
        let chance = 1.0 / (1.0 + ((self.est_wait() - t) / (SLOPE * t)).exp());
        // One coin for all of a class, kept for a while: asking again at once meets the same coin.
        let l = &mut self.learned[q.slot];
        if l.coin_until <= self.now {
            l.coin = (self.rng.next_u32() as f64 + 0.5) / 4_294_967_296.0;
            l.coin_until = self.now + micros(COIN_SPAN * t);
        }
        l.coin < chance
    }

    /// Holds a query; it is looked at again when it can no longer make it, as things are now.
    fn hold(&mut self, id: QueryId) {
        self.book.hold(id);
        self.unpark(id);
        let soonest = self.now + self.periods(LOOK_EVERY);
        let at = self.book.get(id).map_or(0, |q| {
            // A key may rest with nobody before this one; then no event tells that its rest is over.
            let rest = q
                .asked
                .ordering_key
                .and_then(|k| self.book.turns.get(&k)?.rest)
                .filter(|r| r.0 > self.now);
            self.give_up_at(q).min(rest.map_or(Micros::MAX, |r| r.0))
        });
        self.schedule(id, at.max(soonest));
    }

    /// Puts a held query in its queue, unless an earlier one of its key has not finished.
    fn unpark(&mut self, id: QueryId) {
        if self.book.get(id).is_some_and(|q| self.has_turn(q)) {
            self.book.enqueue(id);
        }
    }

    /// When a held query can no longer make it, by its deadline, its lost aim or its key's window.
    fn give_up_at(&self, q: &Query) -> Micros {
        let run = micros(self.run(q));
        if self.aim_is_all(q) {
            return self.aim_at(q).saturating_sub(run);
        }
        let keyed = q
            .risk
            .filter(|_| self.class_of(q).idempotency == Idempotency::Deduplicated);
        let window = keyed.map_or(Micros::MAX, |r| {
            r.1 + self.class_of(q).dedup_window.unwrap_or(0)
        });
        q.deadline
            .saturating_sub(run.min(q.asked.time_left / 2))
            .min(window)
    }

    /// Rule 1: whatever the policy waits for, a query is looked at no later than its deadline; one with an
    /// attempt out a little after it, within the grace, since the attempt's own time-out comes then.
    fn schedule(&mut self, id: QueryId, at: Micros) {
        let slack = self.s.answer_grace.unwrap_or(0) / 2;
        if let Some(q) = self.book.get(id) {
            let last = if q.out.is_some() {
                q.deadline + slack
            } else {
                q.deadline
            };
            self.book.set_due(id, at.min(last));
        }
    }
}
