//! What the engines are taken to bear, and how each fares: bounds, warmth, the list, health, paces.

use super::*;

impl Gateway {
    pub(super) fn base_bound(&self, cores: f64) -> f64 {
        THREADS_PER_CORE * cores / self.gateways
    }

    /// More or fewer share the engines: this gateway's part of each follows, as learnt to be used there.
    pub(super) fn share(&mut self, gateways: u32) {
        let ratio = self.gateways / f64::from(gateways.max(1));
        self.gateways /= ratio;
        for n in self.nodes.values_mut() {
            n.bound = (n.bound * ratio).min(THREADS_PER_CORE * n.cores);
            n.memory_share = (n.memory_share * ratio).min(1.0);
        }
    }

    /// The part of its capacity that an engine has surely reached: from the cold share up to all of it,
    /// slowly at first, since how it grows is not told.
    pub(super) fn warmth(&self, n: &Node) -> f64 {
        let (Some(start), Some(cold)) = (n.started(), self.s.slow_start_window) else {
            return 1.0;
        };
        let age = secs(self.now.saturating_sub(start)) / secs(cold.max(1));
        if age >= 1.0 {
            return 1.0;
        }
        let from = self.s.slow_start_initial_fraction.unwrap_or(0.0).min(1.0);
        from + (1.0 - from) * age * age
    }

    /// In use and not ejected; where most look bad, the cause is shared and ejecting would leave nobody.
    pub(crate) fn healthy(&self, n: &Node) -> bool {
        n.in_use() && (!n.health.ejected || self.fleet.mostly_bad)
    }

    /// What holds for the whole fleet at this moment; over many engines it is at most SURVEY_AGE old.
    pub(super) fn survey(&mut self) {
        if self.nodes.len() <= ALL_LOOKED_AT || self.now >= self.fleet.surveyed_at + SURVEY_AGE {
            self.fleet.surveyed_at = self.now;
            self.survey_all();
        }
        let (dt, most) = (
            secs(self.now - self.fleet.credit_at),
            self.fleet.room * secs(self.shortest_aim()),
        );
        let credit =
            self.fleet.credit + (self.fleet.room - self.book.threads_out.iter().sum::<f64>()) * dt;
        (self.fleet.credit, self.fleet.credit_at) = (credit.clamp(-DEBT * most, most), self.now);
    }

    fn survey_all(&mut self) {
        let span = self.s.collapse_window.unwrap_or(0).max(1);
        for n in self
            .nodes
            .values_mut()
            .filter(|n| n.chance_until <= self.now)
        {
            let new = n.chance_until == 0;
            let (until, rarer) = if new {
                (self.rng.next_u64() % span, FIRST)
            } else {
                (span, 1.0)
            };
            n.chance = rarer * f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
            n.chance_until = self.now + until.max(1);
        }
        let counts = Counts::of(self.nodes.values(), false);
        self.fleet.mostly_bad = 2 * counts.ejected > counts.in_use;
        let all = self
            .fleet
            .mostly_bad
            .then(|| Counts::of(self.nodes.values(), true));
        let (mut room, mut open) = (0.0, 0.0);
        for n in self.nodes.values().filter(|n| self.healthy(n)) {
            let bound = self.bound(n);
            room += bound;
            open += if n.line_until <= self.now { bound } else { 0.0 };
        }
        (self.fleet.room, self.fleet.open, self.fleet.counts) = (room, open, all.unwrap_or(counts));
    }

    pub(super) fn bound(&self, n: &Node) -> f64 {
        if n.pace < SLOW * self.mu() {
            return 0.0; // slow: one query at a time, which also shows when it recovers
        }
        let widened = if self.base_bound(n.cores) < 1.0 {
            1.0 + self.fleet.widened
        } else {
            1.0
        };
        // A cold engine's threads are slow, but as many. It hurts where it takes fewer.
        n.bound * widened * self.warmth(n).sqrt()
    }

    /// The design's predicted wait: held work over what the ready engines do for this gateway. One with a
    /// line takes nothing, so it is not ready here: else queries are held for engines that are shut. It hurts
    /// where lines are short, as more is refused than need be.
    pub(super) fn est_wait(&self) -> f64 {
        self.book.held_work / (self.fleet.open.max(1.0) * self.mu())
    }

    pub(super) fn list(&mut self, scope: ListScope, engines: &[Engine], actions: &mut Vec<Action>) {
        if self.s.list_needs_subscription
            && matches!(scope, ListScope::StaleSnapshot | ListScope::WatchFailed)
        {
            actions.push(Action::SubscribeEngineList);
        }
        if matches!(scope, ListScope::Snapshot | ListScope::StaleSnapshot) {
            self.order.clear();
            self.fleet.surveyed_at = 0;
            for n in self.nodes.values_mut() {
                n.listed.state = EngineState::Gone;
            }
        }
        for e in engines {
            let kind = self
                .s
                .engine_kinds
                .get(e.kind as usize)
                .cloned()
                .unwrap_or_default();
            let cores = kind.cores.filter(|c| *c >= 1.0).unwrap_or(1.0);
            let (base, share, mu) = (self.base_bound(cores), 1.0 / self.gateways, self.mu());
            let fresh = || Node::new(*e, cores, kind.memory_mb, base, share, mu);
            let mut node = self.nodes.remove(&e.id).unwrap_or_else(fresh);
            if node.listed.started != e.started {
                node.renew(fresh());
            }
            (node.listed, node.barred) = (*e, self.fleet.barred.contains(&e.id));
            self.nodes.insert(e.id, node);
            self.order.set(e);
        }
        self.survey();
    }

    /// An operator's call. One who calls an engine back has restarted it: it is cold from now on, and nothing
    /// learnt of it holds. It hurts where that was not so, as it gets little for a while.
    pub(super) fn cordon(&mut self, engine: EngineId, out: bool) {
        let fleet = &mut self.fleet.barred;
        let changed = if out {
            fleet.insert(engine)
        } else {
            fleet.remove(&engine)
        };
        let (now, share, mu) = (self.now, 1.0 / self.gateways, self.mu());
        let base = self
            .nodes
            .get(&engine)
            .map_or(1.0, |n| self.base_bound(n.cores));
        let Some(n) = self.nodes.get_mut(&engine).filter(|_| changed) else {
            return;
        };
        n.barred = out;
        if !out {
            n.renew(Node::new(n.listed, n.cores, n.memory_mb, base, share, mu));
            (n.back, n.untried) = (Some(now), true);
        }
    }

    /// An attempt's pace tells of its engine; less where it yields to others by its priority.
    pub(super) fn paced(&mut self, engine: EngineId, priority: u8, pace: f64, gain: f64) {
        let weight = if self.s.priorities {
            SHARES[usize::from(priority)] / SHARES[3]
        } else {
            1.0
        };
        let ease = weight * ((pace / self.mu()).min(1.0) - 1.0);
        if let Some(n) = self.nodes.get_mut(&engine) {
            (n.ease, n.eased) = (ease, self.now);
            n.pace =
                (n.pace.ln() + gain * weight * (pace.clamp(0.01, 10.0).ln() - n.pace.ln())).exp();
        }
    }

    /// A load report: the bound widens while utilisation is below the knee.
    pub(super) fn report(&mut self, engine: EngineId, load: LoadReport) {
        // Cores or disks, whichever are shorter.
        let told = load
            .cpu_utilisation
            .into_iter()
            .chain(load.disk_utilisation)
            .filter(|u| *u >= 0.0);
        let (Some(u), Some(n)) = (told.reduce(f64::max), self.nodes.get(&engine)) else {
            return;
        };
        let base = self.base_bound(n.cores);
        self.fleet.cpu_utilisation.learn(u.min(1.0), GAIN);
        let usual = self.fleet.cpu_utilisation.mean;
        let Some(n) = self.nodes.get_mut(&engine) else {
            return;
        };
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
    pub(super) fn failure(&mut self, engine: EngineId, weight: f64) {
        let (now, rest) = (self.now, self.rest());
        self.nodes
            .get_mut(&engine)
            .into_iter()
            .for_each(|n| fail(&mut n.health, weight, now, rest));
    }

    /// An error that lies with the engine. Where this gateway's part of it is less than a query, one ejects:
    /// it comes there too seldom to count them. It hurts where good engines err often.
    pub(super) fn erred(&mut self, engine: EngineId) {
        let thin = self
            .nodes
            .get(&engine)
            .is_some_and(|n| self.base_bound(n.cores) < 1.0);
        self.failure(engine, if thin { 2.0 } else { 1.0 } * FAIL_GAIN);
    }

    /// How long an ejected engine rests: so long that the trials of all of them cost no more than a part of
    /// the ration, since each at a bad engine takes a further attempt, and all gateways make them.
    fn rest(&self) -> Micros {
        let Some(b) = self.s.retry_budget else {
            return self.periods(REST);
        };
        let ejected = 1 + self.counts().ejected;
        let ration = b.min_retries
            + b.retry_ratio * self.book.taken_since(self.now.saturating_sub(b.window));
        self.periods(REST).max(micros(
            ejected as f64 * secs(b.window) / (TRIALS * ration.max(1.0)),
        ))
    }

    /// Silence under a query while the engine answers others, and briskly: it is not slow, it loses queries.
    /// Where those are of one class, that class shuns it and returns by trials, while others keep it. It
    /// hurts where the runs of a class scatter widely.
    pub(super) fn lost_there(&mut self, engine: EngineId, slot: usize) {
        let (now, rest) = (self.now, self.periods(REST));
        if let Some(n) = self
            .nodes
            .get_mut(&engine)
            .filter(|n| n.pace > FAR_FROM_UNLOADED)
        {
            fail(
                n.class_health.entry(slot).or_default(),
                FAIL_GAIN,
                now,
                rest,
            );
        }
    }

    /// Whether enough engines serve a class for it to shun the others; else the cause is shared.
    pub(super) fn others_serve(&self, slot: usize) -> bool {
        let counts = self.counts();
        LEAST_SERVING * counts.serving(slot) >= counts.healthy
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
pub(super) fn recover(h: &mut Health) {
    h.failing *= (1.0 - FAIL_GAIN).powi(1 + i32::from(h.ejected));
    if h.failing < TRUST {
        *h = Health {
            failing: h.failing,
            rest_until: h.rest_until,
            ..Health::default()
        };
    }
}
