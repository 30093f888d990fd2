//! An attempt's life: sent, heard of, given up or ended, and the one final answer to its query.

use super::fleet::recover;
use super::*;

impl Gateway {
    /// The only place where an attempt leaves.
    pub(super) fn send(
        &mut self,
        id: QueryId,
        engine: EngineId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (Some(q), Some(n)) = (self.book.get(id), self.nodes.get(&engine)) else {
            return false;
        };
        if !self.legal(q, n) {
            return false;
        }
        let most = n
            .memory_mb
            .map_or(f64::MAX, |m| m * self.s.max_grant_fraction.unwrap_or(1.0));
        let (memory, work, threads, slot) = (q.memory.min(most), q.work, q.threads, q.slot);
        let first_check = self.patience(q, self.now);
        let cold = self.warmth(n) < 1.0;
        let priority = self.priority(q);
        let grant = if self.s.memory_grants {
            memory.round()
        } else {
            0.0
        };
        if grant > 0.0 || self.s.priorities {
            actions.push(Action::SetResources {
                query: id,
                memory_mb: grant,
                priority,
            });
        }
        actions.push(Action::Send {
            query: id,
            engine,
            timeout: 0,
        });
        let now = self.now;
        self.book.begin(slot, priority, threads);
        if let Some(n) = self.nodes.get_mut(&engine) {
            n.begin(id, priority, threads, memory);
            n.cold_sent.extend(cold.then_some((now, work)));
        }
        let Some(q) = self.book.get_mut(id) else {
            return false;
        };
        let again = q.attempts > 0;
        q.attempts += 1;
        q.out = Some(Attempt {
            engine,
            sent: now,
            heard: now,
            memory,
            priority,
            ..Attempt::default()
        });
        self.book.extra.extend(again.then_some(now));
        self.book
            .drop_before(now.saturating_sub(self.s.retry_budget.map_or(0, |b| b.window)));
        self.schedule(id, now + first_check);
        true
    }

    /// The only place where this gateway gives a final answer: a refusal where the class permits one, else a
    /// failure. It is given at once; what is still out is withdrawn where that does no harm.
    pub(super) fn finish(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.book.unhold(id);
        let Some(q) = self
            .book
            .get_mut(id)
            .filter(|q| !q.finished && !q.streaming)
        else {
            return;
        };
        q.finished = true;
        let Some(q) = self.book.get(id) else { return };
        let c = self.class_of(q);
        let certain = q.out.is_none() && !q.may_have_run;
        let may_refuse = match c.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated => certain || c.dedup_group == DedupGroup::All,
            Idempotency::AtMostOnce => certain,
        };
        if may_refuse {
            // The wait here is short where engines, not queues, are full; they free no sooner than in a run.
            let back = self.est_wait().max(self.run(q));
            let retry_after = micros(back).min(self.s.max_retry_after.unwrap_or(0));
            actions.push(Action::Reject {
                query: id,
                retry_after,
            });
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
        let Some(a) = self.book.get_mut(id).and_then(|q| q.out.as_mut()) else {
            return;
        };
        if can && harmless && !a.cancelled {
            a.cancelled = true;
            actions.push(Action::Cancel { query: id, attempt });
        }
    }

    /// Drops a query that is finished and has nothing out, and passes on its key's turn.
    fn forget(&mut self, id: QueryId) {
        let Some(q) = self.book.get(id).filter(|q| q.finished && q.out.is_none()) else {
            return;
        };
        let (key, seq) = (q.asked.ordering_key, q.seq);
        self.book.remove(id);
        let Some((key, turn)) = key.and_then(|k| Some((k, self.book.turns.get_mut(&k)?))) else {
            return;
        };
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

    pub(super) fn gone(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.book.unhold(id);
        if let Some(q) = self.book.get_mut(id) {
            q.finished = true;
            self.withdraw(id, actions);
            self.forget(id);
        }
    }

    pub(super) fn ended(&mut self, end: &AttemptEnded, actions: &mut Vec<Action>) {
        let (id, outcome) = (end.query, end.outcome);
        let now = self.now;
        let Some(q) = self
            .book
            .get_mut(id)
            .filter(|q| end.attempt + 1 == q.attempts)
        else {
            return;
        };
        let Some(a) = q.out.take() else { return };
        q.avoid = Some(a.engine);
        q.finished |= end.query_answered;
        let ran = !matches!(
            outcome,
            Outcome::Overloaded | Outcome::ConnectionRefused | Outcome::NeverSent
        );
        q.may_have_run |= ran;
        let erred = if outcome == Outcome::Error {
            q.erred.replace(a.engine)
        } else {
            q.erred
        };
        let at_fault = outcome == Outcome::Error && erred.is_some();
        let (key, seq, threads, slot) = (q.asked.ordering_key, q.seq, q.threads, q.slot);
        if let Some(n) = self.nodes.get_mut(&a.engine) {
            n.end(id, a.priority, threads, a.memory);
            q.risk = q.risk.or(ran.then_some((n.listed, a.sent)));
        }
        self.book.end(slot, a.priority, threads);
        if matches!(
            outcome,
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled
        ) {
            let until = now + self.s.key_release_delay.unwrap_or(0);
            if let Some(turn) = key.and_then(|k| self.book.turns.get_mut(&k)) {
                turn.rest = Some((until, seq));
            }
        }
        match outcome {
            Outcome::Completed => {
                erred
                    .filter(|e| *e != a.engine)
                    .into_iter()
                    .for_each(|e| self.erred(e));
                self.success(id, &a, end.elapsed, end.cost);
            }
            // An error may lie with the query: its engine is blamed once another has served it, and at once
            // where that can't come or it was on trial. One that errs twice ends: further tries, which would
            // use up the ration, are no better, and would eject engine after engine. It hurts where most
            // engines err.
            Outcome::Error => {
                let tried = self.nodes.get(&a.engine).is_some_and(|n| n.health.ejected);
                if tried || self.book.get(id).is_some_and(|q| !self.repeatable(q)) {
                    self.erred(a.engine);
                }
            }
            Outcome::ConnectionRefused => self.failure(a.engine, 1.0),
            // One connection broke, maybe for what was on it; an engine that died refuses the next.
            Outcome::ConnectionLost => self.failure(a.engine, FAIL_GAIN),
            Outcome::Overloaded => {
                let until = now + self.periods(FULL_REST);
                self.nodes
                    .get_mut(&a.engine)
                    .into_iter()
                    .for_each(|n| n.line_until = until);
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => {}
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
        let base = self
            .nodes
            .get(&a.engine)
            .map_or(0.0, |n| self.base_bound(n.cores));
        let l = &mut self.learned[q.slot];
        // Where cost is not told, a lightly used engine's answers show it, unless its use is mostly others'.
        let time = (q.threads * secs(elapsed)).max(1e-4);
        let alone = base >= 1.0
            && self
                .nodes
                .get(&a.engine)
                .is_some_and(|n| n.held_threads() < ALONE * base);
        let shown = cost.map(|c| secs(c.work)).or(alone.then_some(time));
        let work = shown.unwrap_or(q.work).max(1e-4);
        l.work.learn(work, GAIN);
        if let (Some(w), Some(shown)) = (q.asked.estimated_work, shown) {
            l.work_ratio.learn(shown / secs(w).max(1e-6), GAIN);
        }
        if cost.is_none() && self.s.memory_grants && !a.spills {
            l.grant -= GRANT_STEP * SPILL_SHARE;
        }
        if let Some(c) = cost {
            l.memory.learn(c.memory_mb, GAIN);
            l.memory_fit.learn(
                q.asked.estimated_memory_mb.unwrap_or(0.0),
                c.memory_mb,
                FIT_GAIN,
            );
        }
        l.late += GAIN * (f64::from(u8::from(late)) - l.late);
        l.silent -= GAIN * l.silent;
        let calm = l.late < LATE_SHARE;
        let span = MU_MEMORY
            * self
                .learned
                .iter()
                .filter_map(|l| l.work.known())
                .sum::<f64>();
        let keep = 1.0 - (work / span.max(1e-3)).min(0.5);
        self.fleet.mu_work = self.fleet.mu_work * keep + work;
        self.fleet.mu_time = self.fleet.mu_time * keep + time;
        let (threads, slot, told, now) = (q.threads, q.slot, self.s.reports_utilisation, self.now);
        self.paced(a.engine, a.priority, work / time, PACE_GAIN);
        let Some(n) = self.nodes.get_mut(&a.engine) else {
            return;
        };
        (n.heard, n.untried) = (now, false);
        if n.memory_out > IN_USE * n.memory_share * n.memory_mb.unwrap_or(f64::MAX)
            && n.line_until <= now
        {
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
            let pace = if cost.is_some() {
                self.fleet.pace.exp()
            } else {
                self.mu()
            };
            let near = if told {
                FAR_FROM_UNLOADED
            } else {
                NEAR_UNLOADED
            };
            let busy = self.fleet.cpu_utilisation.known().is_some_and(|u| u > KNEE);
            if calm && !busy && pace > near && used > IN_USE * self.fleet.room {
                self.fleet.widened = (self.fleet.widened + step).min(self.gateways);
            } else if pace < FAR_FROM_UNLOADED || (late && !calm) {
                self.fleet.widened = (self.fleet.widened - step).max(0.0);
            }
        } else if !told
            && calm
            && pace > NEAR_UNLOADED
            && n.held_threads() + threads > IN_USE * n.bound
        {
            n.bound = (n.bound + step).min(THREADS_PER_CORE * n.cores);
        } else if narrow {
            n.bound = (n.bound - step).max(base);
        }
    }

    pub(super) fn note(
        &mut self,
        id: QueryId,
        attempt: u32,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let (rest, gateways) = (self.periods(LINE_REST), self.gateways);
        let Some(q) = self.book.get_mut(id).filter(|q| attempt + 1 == q.attempts) else {
            return;
        };
        let Some(a) = q.out.as_mut() else { return };
        a.heard = now;
        a.waits = matches!(
            progress,
            Progress::WaitingForMemory | Progress::WaitingForBulkLoad
        );
        let (engine, sent, priority) = (a.engine, a.sent, a.priority);
        let mut short = false;
        if let (Progress::Spilling(missing), true) = (progress, self.s.memory_grants) {
            let (need, first) = (
                a.memory + missing.clamp(0.0, 1e9),
                !std::mem::replace(&mut a.spills, true),
            );
            short = first && q.attempts == 1 && missing > SPILL_SHARE * need;
            q.memory = if short { need } else { q.memory };
            let step = if first {
                GRANT_STEP * (1.0 - SPILL_SHARE)
            } else {
                0.0
            };
            self.learned[q.slot].grant += step;
        }
        if let Some(n) = self.nodes.get_mut(&engine) {
            n.heard = now;
            if progress == Progress::WaitingForMemory {
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
        if short || (progress == Progress::WaitingForMemory && spare) {
            self.move_on(id, actions);
        } else if let Progress::FractionDone(share) = progress {
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
        let until = if stands {
            self.give_up_at(q).max(now + self.periods(LOOK_EVERY))
        } else {
            Micros::MAX
        };
        self.schedule(id, until.min(now + self.patience(q, now)));
    }

    /// How long after `sent` an attempt may give no sign. Without notes, until a fresh start can only just
    /// meet the aim, whatever ails it, within runs of a usual query of its class, as estimates scatter.
    fn patience(&self, q: &Query, sent: Micros) -> Micros {
        if self.s.progress_period.is_some() {
            return self.periods(SILENT_NOTES);
        }
        let usual =
            self.learned[q.slot].work.known().unwrap_or(0.0).max(q.work) / (q.threads * self.mu());
        let last = secs(self.aim_at(q).saturating_sub(sent)) - self.run(q);
        micros(last.min(SILENT_RUNS * usual).max(LAG * usual)).max(1)
    }

    /// What silence says of an engine: without notes the less the more of the class's attempts end in it.
    fn blame(&self, q: &Query) -> f64 {
        let usual = if self.s.progress_period.is_some() {
            0.0
        } else {
            self.learned[q.slot].silent
        };
        (1.0 - usual / LATE_SHARE).max(FAIL_GAIN)
    }

    /// Cancels an attempt so that the query can go elsewhere, if there is an elsewhere and enough time.
    fn move_on(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.book.get(id) else { return };
        let Some(a) = &q.out else { return };
        let elsewhere = self
            .nodes
            .iter()
            .any(|(e, n)| *e != a.engine && self.healthy(n));
        let in_time = self.now + micros(self.run(q)) < q.deadline;
        let harmless = self.repeatable(q);
        if elsewhere
            && in_time
            && harmless
            && !q.streaming
            && self.may_repeat(q)
            && self.within_budget()
        {
            self.withdraw(id, actions);
        }
    }

    /// A query's time has come: held too long, or its attempt gave no sign.
    pub(super) fn check(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.book.get(id).filter(|q| !q.finished && !q.streaming) else {
            return;
        };
        let now = self.now;
        if let Some(a) = &q.out {
            let (engine, sent, cancelled, waits) =
                (a.engine, a.sent.max(a.heard), a.cancelled, a.waits);
            let known = a.silent;
            if now >= q.deadline + self.s.answer_grace.unwrap_or(0) / 2 {
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
}
