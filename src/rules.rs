//! Every decision of linnetreach; its settings, events and actions are in `src/interface.rs`.
//!
//! Predicted-wait admission after M. Mazzucco, "Virtual queues from scratch, Part 4": queries wait here in
//! one queue per class, a logistic coin on the predicted wait admits them, and the oldest fitting head goes
//! to the engine with most free threads. `docs/design.md` lists every exception and when it acts.

use std::collections::BTreeMap;

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::interface::{
    Action, Class, Cost, DedupGroup, Effect, Ended, Engine, EngineId, EngineState, Event, ListScope, Load,
    Micros, NewQuery, Outcome, Progress, QueryId, Settings,
};
use crate::state::{lot, micros, secs, Attempt, Book, Fleet, Health, Learned, Node, Query};

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
/// In note periods: time between probes and in which a report fades, and probes for each query taken.
const PROBE_EVERY: f64 = 0.5;
const FADE: f64 = 4.0;
const PROBES_A_QUERY: f64 = 0.5;
/// In note periods: time between looks at held queries, a full engine's rest, that of one with a line.
const LOOK_EVERY: f64 = 0.05;
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
/// An ejected engine rests this many note periods, doubled so often at failed trials: what ails it ends
/// unannounced, and a trial costs one further attempt.
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
/// Deviations that chances drawn by all gateways stay below what a cold engine bears.
const CHANCE: f64 = 4.0;
/// Deviations above the expected need at which memory is granted; weight of an outcome in what is expected
/// and of a query in the usual mix.
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
/// The part of a base bound up to which an engine counts as lightly used.
const ALONE: f64 = 0.4;
/// Expected work of a class of which nothing is known, as a share of its aim.
const BLIND_WORK: f64 = 0.2;

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    s: Settings,
    gateways: f64,
    rng: ChaCha8Rng,
    now: Micros,
    nodes: BTreeMap<EngineId, Node>,
    book: Book,
    learned: Vec<Learned>,
    fleet: Fleet,
    own: u64,
}

impl Gateway {
    /// Creates a gateway that knows no engines yet.
    #[must_use]
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.classes.push(Class::default());
        let classes = settings.classes.len();
        Gateway {
            gateways: f64::from(settings.gateways.unwrap_or(1).max(1)),
            rng: ChaCha8Rng::seed_from_u64(seed),
            own: seed,
            now: 0,
            nodes: BTreeMap::new(),
            book: Book::new(classes),
            learned: vec![Learned::default(); classes],
            fleet: Fleet::default(),
            s: settings,
        }
    }

    /// Takes what happened at `now` and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        self.survey();
        for event in events {
            match event {
                Event::Engines { scope, engines } => self.list(*scope, engines, actions),
                Event::Cordon { engine, out } => self.cordon(*engine, *out),
                Event::Arrived(asked) => self.arrive(asked, actions),
                Event::Note { query, attempt, progress } => self.note(*query, *attempt, *progress, actions),
                Event::Started { query } => self.book.stream(*query),
                Event::Ended(end) => {
                    self.report(end.engine, end.load);
                    self.ended(end, actions);
                }
                Event::ClientGone { query } => self.gone(*query, actions),
                Event::Probed { engine, answered, load } => {
                    self.report(*engine, *load);
                    if !answered {
                        self.failure(*engine, FAIL_GAIN);
                    }
                }
                Event::Woke => {}
            }
        }
        self.survey();
        while let Some(id) = self.book.next_due(self.now) {
            self.check(id, actions);
        }
        self.pump(actions);
        self.probe(actions);
        self.ask_wake(actions);
    }

    fn ask_wake(&mut self, actions: &mut Vec<Action>) {
        // Room can also open by itself: a rest ends, a line empties, a cold engine bears more.
        let held = self.book.queues.iter().any(|q| !q.is_empty());
        let soon = held.then(|| self.now + self.periods(LOOK_EVERY));
        let due = self.book.due.first().map(|d| d.0);
        let next = [due, soon, self.probes().then_some(self.book.probe_at)].into_iter().flatten().min();
        let at = next.map_or(Micros::MAX, |t| t.max(self.now + 1));
        if at < self.book.wake.filter(|w| *w > self.now).unwrap_or(Micros::MAX) {
            self.book.wake = Some(at);
            actions.push(Action::Wake { at });
        }
    }

    fn class_of(&self, q: &Query) -> &Class {
        &self.s.classes[q.slot]
    }

    /// The pace of news: the note period, else the shortest aim or deadline.
    fn period(&self) -> Micros {
        self.s.note_period.unwrap_or(self.shortest_aim()).max(1)
    }

    fn shortest_aim(&self) -> Micros {
        self.s.classes.iter().filter_map(|c| c.aim.or(c.deadline)).min().unwrap_or(1_000_000)
    }

    fn periods(&self, share: f64) -> Micros {
        micros(share * secs(self.period())).max(1)
    }

    fn mu(&self) -> f64 {
        let work: f64 = self.learned.iter().filter_map(|l| l.work.known()).sum::<f64>().max(1e-3);
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
        let stretch = c.aim_stretch.unwrap_or(0.0) * work / q.threads;
        c.aim.map_or(q.deadline, |a| (q.arrived + a + micros(stretch)).min(q.deadline))
    }

    /// Whether a query is a lost cause once its aim cannot be met: that earns little, and others want its
    /// room. Served, it would only make them late, and their repeats in turn, which keeps an overload going
    /// that has long ended, whatever began it: a surge, slow engines, lost answers. It hurts where estimates
    /// or paces are far off, since what might still have been in time is given up.
    fn aim_is_all(&self, q: &Query) -> bool {
        let c = self.class_of(q);
        let poor = c.effect == Effect::Idempotent && c.late_worth.unwrap_or(1.0) < POOR_WHEN_LATE;
        poor && (self.book.held > usize::from(q.held) || self.learned[q.slot].late > LATE_SHARE)
    }

    fn lost(&self, q: &Query) -> bool {
        self.aim_is_all(q) && self.now + micros(self.run(q)) >= self.aim_at(q)
    }

    fn base_bound(&self, cores: f64) -> f64 {
        THREADS_PER_CORE * cores / self.gateways
    }

    /// The part of its capacity that an engine has surely reached: from the cold share up to all of it,
    /// slowly at first, since how it grows is not told.
    fn warmth(&self, n: &Node) -> f64 {
        let (Some(start), Some(cold)) = (n.started(), self.s.cold) else { return 1.0 };
        let age = secs(self.now.saturating_sub(start)) / secs(cold.max(1));
        if age >= 1.0 {
            return 1.0;
        }
        let from = self.s.cold_share.unwrap_or(0.0).min(1.0);
        from + (1.0 - from) * age * age
    }

    /// In use and not ejected. Where most engines look bad, the cause is shared (or lies here),
    /// and ejecting would leave nobody to serve.
    fn healthy(&self, n: &Node) -> bool {
        n.in_use() && (!n.health.ejected || self.fleet.mostly_bad)
    }

    /// What holds for the whole fleet at this moment.
    fn survey(&mut self) {
        let span = self.s.fall.unwrap_or(0).max(1);
        for n in self.nodes.values_mut().filter(|n| n.chance_until <= self.now) {
            let first = if n.chance_until == 0 { self.rng.next_u64() % span } else { span };
            n.chance = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            n.chance_until = self.now + first.max(1);
        }
        let ready = || self.nodes.values().filter(|n| n.in_use());
        self.fleet.mostly_bad = 2 * ready().filter(|n| n.health.ejected).count() > ready().count();
        let healthy = || ready().filter(|n| self.healthy(n));
        let open = healthy().filter(|n| n.line_until <= self.now).map(|n| self.bound(n)).sum();
        (self.fleet.room, self.fleet.open) = (healthy().map(|n| self.bound(n)).sum(), open);
        let (dt, most) = (secs(self.now - self.fleet.credit_at), self.fleet.room * secs(self.shortest_aim()));
        let credit = self.fleet.credit + (self.fleet.room - self.book.threads_out.iter().sum::<f64>()) * dt;
        (self.fleet.credit, self.fleet.credit_at) = (credit.clamp(-DEBT * most, most), self.now);
    }

    fn bound(&self, n: &Node) -> f64 {
        if n.pace < SLOW * self.mu() {
            return 0.0; // slow: one query at a time, which also shows when it recovers
        }
        let widened = if self.base_bound(n.cores) < 1.0 { 1.0 + self.fleet.widened } else { 1.0 };
        // A cold engine's threads are slow, but as many. It hurts where it takes fewer.
        n.bound * widened * self.warmth(n).sqrt()
    }

    /// The design's predicted wait: held work over what the ready engines do for this gateway. One with a
    /// line takes nothing, so it is not ready here: else queries are held for engines that are shut. It hurts
    /// where lines are short, as more is refused than need be.
    fn est_wait(&self) -> f64 {
        self.book.held_work / (self.fleet.open.max(1.0) * self.mu())
    }

    fn list(&mut self, scope: ListScope, engines: &[Engine], actions: &mut Vec<Action>) {
        if self.s.list_on_request && matches!(scope, ListScope::Stale | ListScope::Broken) {
            actions.push(Action::Follow);
        }
        if matches!(scope, ListScope::Whole | ListScope::Stale) {
            for n in self.nodes.values_mut() {
                n.listed.state = EngineState::Gone;
            }
        }
        for e in engines {
            let kind = self.s.kinds.get(e.kind as usize).cloned().unwrap_or_default();
            let cores = kind.cores.filter(|c| *c >= 1.0).unwrap_or(1.0);
            let (base, share, mu) = (self.base_bound(cores), 1.0 / self.gateways, self.mu());
            let fresh = || Node::new(*e, cores, kind.memory_mb, base, share, mu);
            let mut node = self.nodes.remove(&e.id).unwrap_or_else(fresh);
            if node.listed.started != e.started {
                node.renew(fresh());
            }
            (node.listed, node.barred) = (*e, self.fleet.barred.contains(&e.id));
            self.nodes.insert(e.id, node);
        }
        self.survey();
    }

    /// An operator's call. One who calls an engine back has restarted it: it is cold from now on, and nothing
    /// learnt of it holds. It hurts where that was not so, as it gets little for a while.
    fn cordon(&mut self, engine: EngineId, out: bool) {
        let fleet = &mut self.fleet.barred;
        let changed = if out { fleet.insert(engine) } else { fleet.remove(&engine) };
        let (now, share, mu) = (self.now, 1.0 / self.gateways, self.mu());
        let base = self.nodes.get(&engine).map_or(1.0, |n| self.base_bound(n.cores));
        let Some(n) = self.nodes.get_mut(&engine).filter(|_| changed) else { return };
        n.barred = out;
        if !out {
            n.renew(Node::new(n.listed, n.cores, n.memory_mb, base, share, mu));
            (n.back, n.untried) = (Some(now), true);
        }
    }

    /// How many engines are listed, and how many of those are avoided: called out, or ejected.
    #[must_use]
    pub fn listed(&self) -> (usize, usize) {
        let listed = || self.nodes.values().filter(|n| n.listed.state != EngineState::Gone);
        let ejected = |n: &&Node| n.listed.state == EngineState::Ready && !self.healthy(n);
        (listed().count(), listed().filter(|n| n.barred || ejected(n)).count())
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
        l.whole_try = l.whole_try.max(if asked.repeat { 0 } else { own });
        let again = asked.repeat && own + self.s.grace_to_answer.unwrap_or(0) < l.whole_try;
        let age = if again { whole.saturating_sub(own) } else { 0 };
        let blind = BLIND_WORK * secs(class.aim.or(class.deadline).unwrap_or(asked.time_left));
        let mean = l.work.known().unwrap_or(blind);
        let estimate = asked.work.filter(|w| *w > 0).map(secs);
        let work = estimate.map_or(mean, |e| e * l.work_ratio.known().unwrap_or(1.0));
        let memory = match asked.memory_mb {
            Some(m) => l
                .memory_fit
                .expect(m)
                .map_or(GRANT_UNTOLD * m * l.grant.exp(), |(log, var)| (log + GRANT_AT * var.sqrt()).exp()),
            None => l.memory.known().map_or(0.0, |m| m + GRANT_AT * l.memory.dev),
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
        self.fleet.worth.learn(class.worth.unwrap_or(1.0), FIT_GAIN);
        self.fleet.work.learn(q.work, FIT_GAIN);
        let id = asked.id;
        let none_held = self.book.queues[slot].is_empty();
        if let Some(key) = asked.key.filter(|_| class.by_arrival) {
            self.book.turns.entry(key).or_default().open.insert(q.seq, id);
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
        let aim = c.aim.map_or(deadline, |a| secs(a).min(deadline));
        let by_aim = (aim - run).max(LEAST_T * aim).min(t);
        let late = (self.learned[q.slot].late / LATE_SHARE).min(1.0);
        (t + (by_aim - t) * late).max(1e-3)
    }

    fn admit(&mut self, id: QueryId) -> bool {
        let Some(q) = self.book.get(id) else { return false };
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
            let rest = q.asked.key.and_then(|k| self.book.turns.get(&k)?.rest).filter(|r| r.0 > self.now);
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
        let keyed = q.risk.filter(|_| self.class_of(q).effect == Effect::Deduplicated);
        let window = keyed.map_or(Micros::MAX, |r| r.1 + self.class_of(q).dedup_window.unwrap_or(0));
        q.deadline.saturating_sub(run.min(q.asked.time_left / 2)).min(window)
    }

    /// Rule 1: whatever the policy waits for, a query is looked at no later than its deadline; one with an
    /// attempt out a little after it, within the grace, since the attempt's own time-out comes then.
    fn schedule(&mut self, id: QueryId, at: Micros) {
        let slack = self.s.grace_to_answer.unwrap_or(0) / 2;
        if let Some(q) = self.book.get(id) {
            let last = if q.out.is_some() { q.deadline + slack } else { q.deadline };
            self.book.set_due(id, at.min(last));
        }
    }

    /// What earns most for its work comes first at a crowded engine, by steps of half the usual earning.
    fn priority(&self, q: &Query) -> u8 {
        if !self.s.priorities {
            return 1;
        }
        let usual = self.fleet.worth.mean / self.fleet.work.mean.max(1e-6);
        let earns = self.class_of(q).worth.unwrap_or(1.0) / q.work / usual.max(1e-6);
        3u8.saturating_sub((-earns.log2()).ceil().clamp(0.0, 3.0) as u8)
    }

    /// As room opens: the oldest fitting head over all queues.
    fn pump(&mut self, actions: &mut Vec<Action>) {
        loop {
            let found = self.book.heads().into_iter().find_map(|id| Some((id, self.choose(id)?)));
            let Some((id, engine)) = found else { break };
            self.book.unhold(id);
            if !self.send(id, engine, actions) {
                self.finish(id, actions);
            }
        }
    }

    /// The fitting engine with most free threads; ties at random; the one just tried comes last.
    fn choose(&mut self, id: QueryId) -> Option<EngineId> {
        let q = self.book.get(id).filter(|q| self.fleet_bears(q))?;
        let mut best: Vec<EngineId> = Vec::new();
        let near = |n: &Node| self.s.zone.is_none_or(|z| z == n.listed.zone);
        let around = self.nodes.values().filter(|n| near(n) && self.healthy(n)).count();
        let mut most = (false, false, f64::NEG_INFINITY, false, false, 0.0, 0.0);
        for (&e, n) in &self.nodes {
            if !self.legal(q, n) || !self.fits(q, n) {
                continue;
            }
            // Bounds under a thread count by chance of that size: else all choose the largest kind.
            let (bound, part) = (self.bound(n), self.base_bound(n.cores) < 1.0);
            let draw = if part { f64::from(self.rng.next_u32()) + 0.5 } else { 1.0 };
            let home = part && lot(self.own, e) * (around as f64) < HOMES;
            // Its chance paces a cold engine already where this gateway's part is less than a query.
            let weight = bound / self.warmth(n).max(1e-3);
            // Free threads count against the base; a widened bound says only whether a query fits. Else the
            // first engine to widen takes all, from every gateway, while the others, idle, never widen.
            let base = if bound > 0.0 { self.base_bound(n.cores) * self.warmth(n) } else { 0.0 };
            let (own, draw) = if part { (0.0, (draw / 4_294_967_296.0).ln() / weight) } else { (base, 0.0) };
            // One called back looks the least free while it is cold: it is tried at once, by a short query.
            let short = q.work <= self.fleet.work.mean;
            let first = n.untried && n.out.is_empty() && short && self.repeatable(q);
            let free = own - self.ahead(q, &n.threads);
            let free = (q.avoid != Some(e), first, free, near(n), home, self.ease(n), draw);
            if free > most {
                most = free;
                best.clear();
            }
            if free >= most {
                best.push(e);
            }
        }
        let draw = if best.len() > 1 { self.rng.next_u32() as usize % best.len() } else { 0 };
        best.get(draw).copied()
    }

    /// By how much an engine was last seen easier than usual; it fades, since all gateways act on it.
    fn ease(&self, n: &Node) -> f64 {
        let age = secs(self.now - n.eased) / (FADE * secs(self.period()));
        n.ease * (1.0 - age).max(0.0)
    }

    /// The bound over the fleet: with many gateways "at least one query" at every engine is many times what
    /// the engines bear, so what this gateway has out in all stays within the sum of its unrounded bounds.
    /// One query of each class always fits; where reports tell of busy cores or disks, only if own threads
    /// stayed within that sum on average, as those of all gateways may be twice what engines bear.
    fn fleet_bears(&self, q: &Query) -> bool {
        let ahead = self.ahead(q, &self.book.threads_out);
        let bears = self.fleet.utilisation.mean < KNEE || self.fleet.credit >= 0.0;
        ahead + q.threads <= self.fleet.room + 1e-9 || (self.book.out[q.slot] == 0 && bears)
    }

    /// Threads that a query competes with: those of lower priority count by what they leave it.
    fn ahead(&self, q: &Query, threads: &[f64; 4]) -> f64 {
        let own = SHARES[usize::from(self.priority(q))];
        threads.iter().zip(SHARES).map(|(t, share)| t * (share / own).min(1.0)).sum()
    }

    /// Whether an engine has room: threads and memory within this gateway's bound (one query always fits),
    /// no line for memory, no load in the way, and not ejected (one trial at a time once its rest is over).
    fn fits(&self, q: &Query, n: &Node) -> bool {
        let c = self.class_of(q);
        if n.health.ejected && !self.fleet.mostly_bad {
            let safe = c.effect == Effect::Idempotent;
            return safe && n.out.is_empty() && n.health.rest_until <= self.now;
        }
        let of_class = |id: &QueryId| self.book.get(*id).is_some_and(|o| o.slot == q.slot);
        if let Some(h) = n.class_health.get(&q.slot).filter(|h| h.ejected && self.others_serve(q.slot)) {
            if !self.repeatable(q) || h.rest_until > self.now || n.out.iter().any(of_class) {
                return false;
            }
        }
        if n.line_until > self.now {
            return false;
        }
        if n.out.is_empty() {
            return true;
        }
        // "At least one query" holds for each class: one wide query may pass the whole bound and would shut
        // out the short ones. A slow engine keeps to one query in all.
        let bound = self.bound(n);
        if self.ahead(q, &n.threads) + q.threads > bound + 1e-9
            && (bound <= 0.0 || n.out.iter().any(of_class))
        {
            return false;
        }
        if n.memory_mb.is_some_and(|all| q.memory > 0.0 && n.memory_out + q.memory > all * n.memory_share) {
            return false;
        }
        let blocked = |id: &QueryId| {
            self.book.get(*id).is_some_and(|o| {
                let other = self.class_of(o);
                o.asked.tables == q.asked.tables
                    && ((other.is_load && (c.is_load || c.waits_for_loads))
                        || (c.is_load && other.waits_for_loads))
            })
        };
        !((c.is_load || c.waits_for_loads) && n.out.iter().any(blocked))
    }

    /// Rules 2 to 7 for one send, whatever the policy above wants.
    fn legal(&self, q: &Query, n: &Node) -> bool {
        let c = self.class_of(q);
        let placed = c.only_zones.as_ref().is_none_or(|z| z.contains(&n.listed.zone))
            && c.only_kinds.as_ref().is_none_or(|k| k.contains(&n.listed.kind));
        !q.finished
            && q.out.is_none()
            && self.now < q.deadline
            && n.in_use()
            && placed
            && self.may_repeat(q)
            && self.in_group(q, &n.listed)
            && self.has_turn(q)
            && self.cold_bears(q, n)
            && (q.attempts == 0 || self.within_budget())
    }

    /// Rules 2 and 7: whether any further attempt is allowed at all.
    fn may_repeat(&self, q: &Query) -> bool {
        let effect = self.class_of(q).effect;
        q.attempts < self.s.max_attempts.unwrap_or(u32::MAX).max(1)
            && !(effect == Effect::AtMostOnce && q.may_have_run)
    }

    /// Rule 2, deduplicated classes: only to engines that discard the repeat, while they remember.
    fn in_group(&self, q: &Query, e: &Engine) -> bool {
        let c = self.class_of(q);
        let Some((first, at)) = q.risk.filter(|_| c.effect == Effect::Deduplicated) else { return true };
        let same = match c.dedup_group {
            DedupGroup::All => true,
            DedupGroup::Zone => first.zone == e.zone,
            DedupGroup::Cell => first.zone == e.zone && first.cell == e.cell,
        };
        same && self.now < at + c.dedup_window.unwrap_or(0)
    }

    /// Whether another attempt anywhere is harmless for a while: a keyed query moves as long as all engines
    /// drop its repeat for over a period yet. It hurts where the first attempt was well.
    fn repeatable(&self, q: &Query) -> bool {
        let c = self.class_of(q);
        let first = q.risk.map(|r| r.1).or(q.out.as_ref().map(|a| a.sent)).unwrap_or(self.now);
        let soon = self.now + self.period() < first + c.dedup_window.unwrap_or(0);
        let dropped = c.effect == Effect::Deduplicated && c.dedup_group == DedupGroup::All && soon;
        c.effect == Effect::Idempotent || dropped
    }

    /// Rule 5.
    fn has_turn(&self, q: &Query) -> bool {
        let Some(turn) = q.asked.key.and_then(|k| self.book.turns.get(&k)) else { return true };
        let first = turn.open.first_key_value().is_some_and(|(s, _)| *s == q.seq);
        let rested = turn.rest.is_none_or(|(until, seq)| until <= self.now || seq == q.seq);
        !turn.open.contains_key(&q.seq) || (first && rested)
    }

    /// Rule 4: the work sent to a cold engine in any span stays within a part of this gateway's share.
    fn cold_bears(&self, q: &Query, n: &Node) -> bool {
        let (Some(multiple), Some(fall)) = (self.s.fall_multiple, self.s.fall) else { return true };
        let warmth = self.warmth(n);
        if warmth >= 1.0 {
            return true;
        }
        let sent: f64 =
            n.cold_sent.iter().rev().take_while(|(at, _)| at + fall > self.now).map(|(_, w)| w).sum();
        let bears = multiple * n.cores * warmth * secs(fall);
        let work = self.learned[q.slot].work.known().unwrap_or(0.0).max(q.work);
        if sent + work <= COLD_MARGIN * bears / self.gateways {
            return true;
        }
        // This gateway's part is less than a query: it draws one chance a span, so that what all send stays
        // CHANCE deviations within what the engine bears even if every one has a query at hand.
        let spread = CHANCE / 2.0 * (work / bears).sqrt();
        let mean = ((spread * spread + 1.0).sqrt() - spread).powi(2) * bears;
        // Where costs are told, work is known well enough to need no further margin.
        let margin = if self.learned[q.slot].work_ratio.known().is_some() { 1.0 } else { COLD_MARGIN };
        sent <= 0.0 && n.chance < margin * mean / (self.gateways * work)
    }

    /// Rule 7.
    fn within_budget(&self) -> bool {
        let Some(b) = self.s.resend_budget else { return true };
        let from = self.now.saturating_sub(b.span);
        self.book.extra_since(from) + 1.0 <= b.free + b.share * self.book.taken_since(from)
    }

    /// The only place where an attempt leaves.
    fn send(&mut self, id: QueryId, engine: EngineId, actions: &mut Vec<Action>) -> bool {
        let (Some(q), Some(n)) = (self.book.get(id), self.nodes.get(&engine)) else { return false };
        if !self.legal(q, n) {
            return false;
        }
        let most = n.memory_mb.map_or(f64::MAX, |m| m * self.s.most_grant.unwrap_or(1.0));
        let (memory, work, threads, slot) = (q.memory.min(most), q.work, q.threads, q.slot);
        let first_check = self.patience(q, self.now);
        let cold = self.warmth(n) < 1.0;
        let priority = self.priority(q);
        let grant = if self.s.grants { memory.round() } else { 0.0 };
        if grant > 0.0 || self.s.priorities {
            actions.push(Action::Terms { query: id, memory_mb: grant, priority });
        }
        actions.push(Action::Send { query: id, engine, timeout: 0 });
        let now = self.now;
        self.book.begin(slot, priority, threads);
        if let Some(n) = self.nodes.get_mut(&engine) {
            n.begin(id, priority, threads, memory);
            n.cold_sent.extend(cold.then_some((now, work)));
        }
        let Some(q) = self.book.get_mut(id) else { return false };
        let again = q.attempts > 0;
        q.attempts += 1;
        q.out = Some(Attempt { engine, sent: now, heard: now, memory, priority, ..Attempt::default() });
        self.book.extra.extend(again.then_some(now));
        self.book.drop_before(now.saturating_sub(self.s.resend_budget.map_or(0, |b| b.span)));
        self.schedule(id, now + first_check);
        true
    }

    /// The only place where this gateway gives a final answer: a refusal where the class permits one, else a
    /// failure. It is given at once; what is still out is withdrawn where that does no harm.
    fn finish(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.book.unhold(id);
        let Some(q) = self.book.get_mut(id).filter(|q| !q.finished && !q.streaming) else { return };
        q.finished = true;
        let Some(q) = self.book.get(id) else { return };
        let c = self.class_of(q);
        let certain = q.out.is_none() && !q.may_have_run;
        let may_refuse = match c.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => certain || c.dedup_group == DedupGroup::All,
            Effect::AtMostOnce => certain,
        };
        if may_refuse {
            // The wait here is short where engines, not queues, are full; they free no sooner than in a run.
            let back = self.est_wait().max(self.run(q));
            let retry_after = micros(back).min(self.s.max_retry_after.unwrap_or(0));
            actions.push(Action::Refuse { query: id, retry_after });
        } else {
            actions.push(Action::Fail { query: id });
        }
        self.withdraw(id, actions);
        self.forget(id);
    }

    fn withdraw(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let can = self.s.can_cancel;
        let Some(q) = self.book.get(id) else { return };
        let harmless = self.repeatable(q);
        let attempt = q.attempts.saturating_sub(1);
        let Some(a) = self.book.get_mut(id).and_then(|q| q.out.as_mut()) else { return };
        if can && harmless && !a.cancelled {
            a.cancelled = true;
            actions.push(Action::Cancel { query: id, attempt });
        }
    }

    /// Drops a query that is finished and has nothing out, and passes on its key's turn.
    fn forget(&mut self, id: QueryId) {
        let Some(q) = self.book.get(id).filter(|q| q.finished && q.out.is_none()) else { return };
        let (key, seq) = (q.asked.key, q.seq);
        self.book.remove(id);
        let Some((key, turn)) = key.and_then(|k| Some((k, self.book.turns.get_mut(&k)?))) else { return };
        turn.open.remove(&seq);
        let rest = turn.rest.map_or(0, |r| r.0);
        if let Some(next) = turn.open.first_key_value().map(|(_, next)| *next) {
            let due = self.book.get(next).map_or(rest, |q| q.due.min(rest));
            self.unpark(next);
            self.schedule(next, due.max(self.now));
        } else if rest <= self.now {
            self.book.turns.remove(&key);
        }
    }

    fn gone(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.book.unhold(id);
        if let Some(q) = self.book.get_mut(id) {
            q.finished = true;
            self.withdraw(id, actions);
            self.forget(id);
        }
    }

    fn ended(&mut self, end: &Ended, actions: &mut Vec<Action>) {
        let (id, outcome) = (end.query, end.outcome);
        let now = self.now;
        let Some(q) = self.book.get_mut(id).filter(|q| end.attempt + 1 == q.attempts) else { return };
        let Some(a) = q.out.take() else { return };
        q.avoid = Some(a.engine);
        q.finished |= end.settled;
        let ran = !matches!(outcome, Outcome::Saturated | Outcome::Refused | Outcome::Superseded);
        q.may_have_run |= ran;
        let erred = if outcome == Outcome::Errored { q.erred.replace(a.engine) } else { q.erred };
        let at_fault = outcome == Outcome::Errored && erred.is_some();
        let (key, seq, threads, slot) = (q.asked.key, q.seq, q.threads, q.slot);
        if let Some(n) = self.nodes.get_mut(&a.engine) {
            n.end(id, a.priority, threads, a.memory);
            q.risk = q.risk.or(ran.then_some((n.listed, a.sent)));
        }
        self.book.end(slot, a.priority, threads);
        if matches!(outcome, Outcome::Overdue | Outcome::Severed | Outcome::Recalled) {
            let until = now + self.s.turn_gap.unwrap_or(0);
            if let Some(turn) = key.and_then(|k| self.book.turns.get_mut(&k)) {
                turn.rest = Some((until, seq));
            }
        }
        match outcome {
            Outcome::Completed => {
                erred.filter(|e| *e != a.engine).into_iter().for_each(|e| self.erred(e));
                self.success(id, &a, end.elapsed, end.cost);
            }
            // An error may lie with the query: its engine is blamed once another has served it, and at once
            // where that can't come or it was on trial. One that errs twice ends: further tries, which would
            // use up the ration, are no better, and would eject engine after engine. It hurts where most
            // engines err.
            Outcome::Errored => {
                let tried = self.nodes.get(&a.engine).is_some_and(|n| n.health.ejected);
                if tried || self.book.get(id).is_some_and(|q| !self.repeatable(q)) {
                    self.erred(a.engine);
                }
            }
            Outcome::Refused => self.failure(a.engine, 1.0),
            // One connection broke, maybe for what was on it; an engine that died refuses the next.
            Outcome::Severed => self.failure(a.engine, FAIL_GAIN),
            Outcome::Saturated => {
                let until = now + self.periods(FULL_REST);
                self.nodes.get_mut(&a.engine).into_iter().for_each(|n| n.line_until = until);
            }
            Outcome::Overdue | Outcome::Recalled | Outcome::Superseded => {}
        }
        let Some(q) = self.book.get(id) else { return };
        if q.finished {
            self.forget(id);
            return;
        }
        let in_time = now + micros(self.run(q)).min(q.asked.time_left / 4) < q.deadline;
        let somewhere = self.nodes.values().any(|n| self.in_group(q, &n.listed));
        if !in_time || !somewhere || at_fault || !self.may_repeat(q) {
            self.finish(id, actions);
        } else if self.lost(q) {
            self.give_up(id, actions);
        } else {
            self.hold(id);
        }
    }

    fn success(&mut self, id: QueryId, a: &Attempt, elapsed: Micros, cost: Option<Cost>) {
        let Some(q) = self.book.get(id) else { return };
        let late = a.sent + elapsed > self.aim_at(q); // by when it came, not when a stalled gateway saw it
        let base = self.nodes.get(&a.engine).map_or(0.0, |n| self.base_bound(n.cores));
        let l = &mut self.learned[q.slot];
        // Where cost is not told, a lightly used engine's answers show it, unless its use is mostly others'.
        let time = (q.threads * secs(elapsed)).max(1e-4);
        let alone = base >= 1.0 && self.nodes.get(&a.engine).is_some_and(|n| n.held_threads() < ALONE * base);
        let shown = cost.map(|c| secs(c.work)).or(alone.then_some(time));
        let work = shown.unwrap_or(q.work).max(1e-4);
        l.work.learn(work, GAIN);
        if let (Some(w), Some(shown)) = (q.asked.work, shown) {
            l.work_ratio.learn(shown / secs(w).max(1e-6), GAIN);
        }
        if cost.is_none() && self.s.grants && !a.spills {
            l.grant -= GRANT_STEP * SPILL_SHARE;
        }
        if let Some(c) = cost {
            l.memory.learn(c.memory_mb, GAIN);
            l.memory_fit.learn(q.asked.memory_mb.unwrap_or(0.0), c.memory_mb, FIT_GAIN);
        }
        l.late += GAIN * (f64::from(u8::from(late)) - l.late);
        l.silent -= GAIN * l.silent;
        let calm = l.late < LATE_SHARE;
        let span = MU_MEMORY * self.learned.iter().filter_map(|l| l.work.known()).sum::<f64>();
        let keep = 1.0 - (work / span.max(1e-3)).min(0.5);
        self.fleet.mu_work = self.fleet.mu_work * keep + work;
        self.fleet.mu_time = self.fleet.mu_time * keep + time;
        let (threads, slot, told, now) = (q.threads, q.slot, self.s.reports_utilisation, self.now);
        self.paced(a.engine, a.priority, work / time, PACE_GAIN);
        let Some(n) = self.nodes.get_mut(&a.engine) else { return };
        (n.heard, n.untried) = (now, false);
        if n.memory_out > IN_USE * n.memory_share * n.memory_mb.unwrap_or(f64::MAX) && n.line_until <= now {
            n.memory_share = (n.memory_share + SHARE_STEP).min(1.0);
        }
        let of_class = n.class_health.get_mut(&slot).into_iter();
        of_class.chain([&mut n.health]).for_each(recover);
        let (pace, step) = (n.pace, ANSWER_STEP * threads);
        // Late answers are not near the unloaded time, however low an estimate makes the pace look.
        let narrow = pace < FAR_FROM_UNLOADED || (late && !calm);
        if base < 1.0 {
            // The part of an engine is less than a query: one bound over the fleet, moved by every answer.
            // An engine's own pace is old where this gateway seldom meets it: the fleet's counts, by its
            // logarithm where costs are told, else by mu, as estimates scatter. With reports use decides.
            let step = step * (1.0 + self.fleet.widened) / self.fleet.room.max(1.0);
            let used = self.book.threads_out.iter().sum::<f64>() + threads;
            self.fleet.pace += PACE_GAIN * ((work / time).clamp(0.01, 10.0).ln() - self.fleet.pace);
            let pace = if cost.is_some() { self.fleet.pace.exp() } else { self.mu() };
            let near = if told { FAR_FROM_UNLOADED } else { NEAR_UNLOADED };
            let busy = self.fleet.utilisation.known().is_some_and(|u| u > KNEE);
            if calm && !busy && pace > near && used > IN_USE * self.fleet.room {
                self.fleet.widened = (self.fleet.widened + step).min(self.gateways);
            } else if pace < FAR_FROM_UNLOADED || (late && !calm) {
                self.fleet.widened = (self.fleet.widened - step).max(0.0);
            }
        } else if !told && calm && pace > NEAR_UNLOADED && n.held_threads() + threads > IN_USE * n.bound {
            n.bound = (n.bound + step).min(THREADS_PER_CORE * n.cores);
        } else if narrow {
            n.bound = (n.bound - step).max(base);
        }
    }

    /// An attempt's pace tells of its engine; less where it yields to others by its priority.
    fn paced(&mut self, engine: EngineId, priority: u8, pace: f64, gain: f64) {
        let weight = if self.s.priorities { SHARES[usize::from(priority)] / SHARES[3] } else { 1.0 };
        let ease = weight * ((pace / self.mu()).min(1.0) - 1.0);
        if let Some(n) = self.nodes.get_mut(&engine) {
            (n.ease, n.eased) = (ease, self.now);
            n.pace = (n.pace.ln() + gain * weight * (pace.clamp(0.01, 10.0).ln() - n.pace.ln())).exp();
        }
    }

    /// A load report: the bound widens while utilisation is below the knee.
    fn report(&mut self, engine: EngineId, load: Load) {
        // Cores or disks, whichever are shorter.
        let told = load.utilisation.into_iter().chain(load.disks).filter(|u| *u >= 0.0);
        let (Some(u), Some(n)) = (told.reduce(f64::max), self.nodes.get(&engine)) else { return };
        let base = self.base_bound(n.cores);
        self.fleet.utilisation.learn(u.min(1.0), GAIN);
        let usual = self.fleet.utilisation.mean;
        let Some(n) = self.nodes.get_mut(&engine) else { return };
        (n.ease, n.eased) = (usual - u, self.now);
        if base < 1.0 {
            // One engine says little of the fleet: answers move the bound.
        } else if u < KNEE && n.held_threads() > IN_USE * n.bound && n.pace > FAR_FROM_UNLOADED {
            n.bound = (n.bound * WIDEN).min(THREADS_PER_CORE * n.cores);
        } else if u > KNEE {
            n.bound = (n.bound / WIDEN).max(base);
        }
    }

    /// A failed outcome or probe, or silence. A fast-failing engine looks the freest, so it is ejected and
    /// returns by trials, whatever ails it.
    fn failure(&mut self, engine: EngineId, weight: f64) {
        let (now, rest) = (self.now, self.rest());
        self.nodes.get_mut(&engine).into_iter().for_each(|n| fail(&mut n.health, weight, now, rest));
    }

    /// An error that lies with the engine. Where this gateway's part of it is less than a query, one ejects:
    /// it comes there too seldom to count them. It hurts where good engines err often.
    fn erred(&mut self, engine: EngineId) {
        let thin = self.nodes.get(&engine).is_some_and(|n| self.base_bound(n.cores) < 1.0);
        self.failure(engine, if thin { 2.0 } else { 1.0 } * FAIL_GAIN);
    }

    /// How long an ejected engine rests: so long that the trials of all of them cost no more than a part of
    /// the ration, since each at a bad engine takes a further attempt, and all gateways make them.
    fn rest(&self) -> Micros {
        let Some(b) = self.s.resend_budget else { return self.periods(REST) };
        let ejected = 1 + self.nodes.values().filter(|n| n.in_use() && n.health.ejected).count();
        let ration = b.free + b.share * self.book.taken_since(self.now.saturating_sub(b.span));
        self.periods(REST).max(micros(ejected as f64 * secs(b.span) / (TRIALS * ration.max(1.0))))
    }

    /// Silence under a query while the engine answers others, and briskly: it is not slow, it loses queries.
    /// Where those are of one class, that class shuns it and returns by trials, while others keep it. It
    /// hurts where the runs of a class scatter widely.
    fn lost_there(&mut self, engine: EngineId, slot: usize) {
        let (now, rest) = (self.now, self.periods(REST));
        if let Some(n) = self.nodes.get_mut(&engine).filter(|n| n.pace > FAR_FROM_UNLOADED) {
            fail(n.class_health.entry(slot).or_default(), FAIL_GAIN, now, rest);
        }
    }

    /// Whether enough engines serve a class for it to shun the others; else the cause is shared.
    fn others_serve(&self, slot: usize) -> bool {
        let healthy = || self.nodes.values().filter(|n| self.healthy(n));
        let serve = |n: &&Node| n.class_health.get(&slot).is_none_or(|h| !h.ejected);
        LEAST_SERVING * healthy().filter(serve).count() >= healthy().count()
    }

    fn note(&mut self, id: QueryId, attempt: u32, progress: Progress, actions: &mut Vec<Action>) {
        let now = self.now;
        let (rest, gateways) = (self.periods(LINE_REST), self.gateways);
        let Some(q) = self.book.get_mut(id).filter(|q| attempt + 1 == q.attempts) else { return };
        let Some(a) = q.out.as_mut() else { return };
        a.heard = now;
        a.waits = matches!(progress, Progress::WaitsForMemory | Progress::WaitsForLoad);
        let (engine, sent, priority) = (a.engine, a.sent, a.priority);
        let mut short = false;
        if let (Progress::Spills(missing), true) = (progress, self.s.grants) {
            let (need, first) = (a.memory + missing.clamp(0.0, 1e9), !std::mem::replace(&mut a.spills, true));
            short = first && q.attempts == 1 && missing > SPILL_SHARE * need;
            q.memory = if short { need } else { q.memory };
            let step = if first { GRANT_STEP * (1.0 - SPILL_SHARE) } else { 0.0 };
            self.learned[q.slot].grant += step;
        }
        if let Some(n) = self.nodes.get_mut(&engine) {
            n.heard = now;
            if progress == Progress::WaitsForMemory {
                // Guards against grants beyond the memory, whoever made them: everything sent would stand in
                // line. One cut a period; it hurts where one huge query alone waits.
                if n.line_until <= now {
                    n.memory_share = (n.memory_share * LINE_CUT).max(LINE_CUT / gateways);
                }
                n.line_until = now + rest;
            }
        }
        let Some(q) = self.book.get(id) else { return };
        // A line shows at once and nothing is lost by leaving it; the last attempt stays for better reasons.
        let spare = q.attempts + 1 < self.s.max_attempts.unwrap_or(u32::MAX);
        if short || (progress == Progress::WaitsForMemory && spare) {
            self.move_on(id, actions);
        } else if let Progress::Done(share) = progress {
            // A share that is no number counts as nearly none.
            let (t, share) = (secs(now - sent).max(1e-3), share.max(0.0).clamp(1e-3, 1.0));
            let (total, expected) = (t / share, self.run(q));
            let (pace, left) = (share * q.work / (q.threads * t), total - t);
            let late = now + micros(left) > self.aim_at(q);
            // The work that so long a run comes to at the usual pace, where that is more than estimated.
            let aim = self.aim_for(q, q.work.max(self.mu() * total * q.threads));
            if self.aim_is_all(q) && now + micros(left) > aim {
                self.give_up(id, actions);
                return;
            }
            if late && total > LAG * expected && left > LAG_REST * (expected + self.est_wait()) {
                self.move_on(id, actions);
            }
            self.paced(engine, priority, pace, GAIN);
        }
        // One that stands in a line gives no further sign: it is looked at when its cause may be lost, too.
        let Some(q) = self.book.get(id) else { return };
        let stands = q.out.as_ref().is_some_and(|a| a.waits);
        let until = if stands { self.give_up_at(q).max(now + self.periods(LOOK_EVERY)) } else { Micros::MAX };
        self.schedule(id, until.min(now + self.patience(q, now)));
    }

    /// How long after `sent` an attempt may give no sign. Without notes, until a fresh start can only just
    /// meet the aim, whatever ails it, within runs of a usual query of its class, as estimates scatter.
    fn patience(&self, q: &Query, sent: Micros) -> Micros {
        if self.s.note_period.is_some() {
            return self.periods(SILENT_NOTES);
        }
        let usual = self.learned[q.slot].work.known().unwrap_or(0.0).max(q.work) / (q.threads * self.mu());
        let last = secs(self.aim_at(q).saturating_sub(sent)) - self.run(q);
        micros(last.min(SILENT_RUNS * usual).max(LAG * usual)).max(1)
    }

    /// What silence says of an engine: without notes the less the more of the class's attempts end in it.
    fn blame(&self, q: &Query) -> f64 {
        let usual = if self.s.note_period.is_some() { 0.0 } else { self.learned[q.slot].silent };
        (1.0 - usual / LATE_SHARE).max(FAIL_GAIN)
    }

    /// Cancels an attempt so that the query can go elsewhere, if there is an elsewhere and enough time.
    fn move_on(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.book.get(id) else { return };
        let Some(a) = &q.out else { return };
        let elsewhere = self.nodes.iter().any(|(e, n)| *e != a.engine && self.healthy(n));
        let in_time = self.now + micros(self.run(q)) < q.deadline;
        let harmless = self.repeatable(q);
        if elsewhere && in_time && harmless && !q.streaming && self.may_repeat(q) && self.within_budget() {
            self.withdraw(id, actions);
        }
    }

    /// A query's time has come: held too long, or its attempt gave no sign.
    fn check(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.book.get(id).filter(|q| !q.finished && !q.streaming) else { return };
        let now = self.now;
        if let Some(a) = &q.out {
            let (engine, sent, cancelled, waits) = (a.engine, a.sent.max(a.heard), a.cancelled, a.waits);
            let known = a.silent;
            if now >= q.deadline + self.s.grace_to_answer.unwrap_or(0) / 2 {
                self.finish(id, actions);
                return;
            }
            let span = self.patience(q, sent);
            let silent = now >= sent + span;
            let next = if silent { now } else { sent } + span;
            // An attempt without any sign is lost with its engine if that gave no other sign either. In a
            // line there it is expected to be silent: it moves, but the engine is well.
            if !cancelled {
                let (lost, slot, blame) = (self.lost(q), q.slot, self.blame(q));
                if silent && !waits && self.nodes.get(&engine).is_none_or(|n| n.heard <= sent) {
                    self.failure(engine, blame);
                } else if silent && !waits && !known {
                    self.lost_there(engine, slot);
                }
                if silent {
                    self.book.silent(id);
                    let share = &mut self.learned[slot].silent;
                    *share += GAIN * (1.0 - *share);
                }
                if lost {
                    self.give_up(id, actions);
                    return;
                }
                if silent {
                    self.move_on(id, actions);
                }
            }
            self.schedule(id, next);
            return;
        }
        if now >= self.give_up_at(q) {
            self.give_up(id, actions);
            return;
        }
        self.hold(id);
    }

    /// Final answer to a query that was taken and won't make it: for its class as good as a late one.
    fn give_up(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.book.get(id) else { return };
        let late = &mut self.learned[q.slot].late;
        *late += GAIN * (1.0 - *late);
        self.finish(id, actions);
    }

    fn probes(&self) -> bool {
        self.s.can_probe && self.s.reports_by_probe && self.s.reports_utilisation
    }

    fn probe(&mut self, actions: &mut Vec<Action>) {
        if !self.probes() || self.book.probe_at > self.now {
            return;
        }
        self.book.probe_at = self.now + self.periods(PROBE_EVERY);
        // Where queries are few against engines, probes are rationed and fall on engines at random.
        let ready = self.nodes.iter().filter(|(_, n)| n.in_use());
        let ready: Vec<EngineId> = ready.map(|(e, _)| *e).collect();
        let credit = (self.book.seq - self.book.probed_seq) as f64 * PROBES_A_QUERY;
        self.book.probed_seq = self.book.seq;
        let (first, count) = (self.rng.next_u32() as usize, (credit.ceil() as usize).min(ready.len()));
        let turn = |i| Action::Probe { engine: ready[(first % ready.len() + i) % ready.len()] };
        actions.extend((0..count).map(turn));
    }
}

/// A failure: enough of them eject.
fn fail(h: &mut Health, weight: f64, now: Micros, rest: Micros) {
    h.failing += weight * (1.0 - h.failing);
    if h.failing > EJECT && h.rest_until <= now {
        let rest = rest << h.failed_trials.min(REST_DOUBLINGS);
        h.failed_trials += u32::from(h.ejected);
        h.ejected = true;
        h.rest_until = now + rest;
    }
}

/// A success; those of trials weigh double.
fn recover(h: &mut Health) {
    h.failing *= (1.0 - FAIL_GAIN).powi(1 + i32::from(h.ejected));
    if h.failing < TRUST {
        *h = Health { failing: h.failing, rest_until: h.rest_until, ..Health::default() };
    }
}
