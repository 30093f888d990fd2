//! Which query goes next, and where: priorities, the fitting engine, and the rules for one send.

use super::*;

impl Gateway {
    /// What earns most for its work comes first at a crowded engine, by steps of half the usual earning.
    pub(super) fn priority(&self, q: &Query) -> u8 {
        if !self.s.priorities {
            return 1;
        }
        let usual = self.fleet.priority_weight.mean / self.fleet.work.mean.max(1e-6);
        let earns = self.class_of(q).priority_weight.unwrap_or(1.0) / q.work / usual.max(1e-6);
        3u8.saturating_sub((-earns.log2()).ceil().clamp(0.0, 3.0) as u8)
    }

    /// As room opens: the oldest fitting head over all queues.
    pub(super) fn pump(&mut self, actions: &mut Vec<Action>) {
        while let Some((id, engine)) = self
            .book
            .heads(self.within_budget())
            .into_iter()
            .find_map(|id| Some((id, self.choose(id)?)))
        {
            self.book.unhold(id);
            if !self.send(id, engine, actions) {
                self.finish(id, actions);
            }
        }
    }

    /// Whether engines are so few, or this gateway's part of each so large, that each query looks at all.
    pub(crate) fn looks_at_all(&self) -> bool {
        let part = |k: &EngineKind| self.base_bound(k.cores.unwrap_or(1.0)) < 1.0;
        self.nodes.len() <= ALL_LOOKED_AT || !self.s.engine_kinds.iter().all(part)
    }

    /// The engine that a query goes to. Of many, a few are drawn among homes, as many as the rate keeps in
    /// use, then among ever more until one is idle. It hurts where those that fit are rare.
    pub(super) fn choose(&mut self, id: QueryId) -> Option<EngineId> {
        self.book.get(id).filter(|q| self.fleet_bears(q))?;
        if self.looks_at_all() {
            let zone = self.s.zone;
            let near = |n: &&Node| zone.is_none_or(|z| z == n.listed.zone) && self.healthy(n);
            return self
                .best(id, None, self.nodes.values().filter(near).count() as f64)
                .0;
        }
        let span = self.s.retry_budget.map_or(1.0, |b| secs(b.window.max(1)));
        let homes = (self.book.taken.len() as f64 / span / HOME_RATE).max(HOMES) as usize;
        let mut found = None;
        for near in [true, false] {
            let (mut among, listed) = (homes, self.order.len(near));
            while among < WIDER * listed {
                let drawn = self.order.draw(near, among, DRAWN, &mut self.rng);
                let (best, idle) = self.best(id, Some(drawn), 0.0);
                if idle {
                    return best;
                }
                (found, among) = (best.or(found), WIDER * among);
            }
        }
        if found.is_none() && self.now >= self.fleet.searched_at + SEARCH_EVERY {
            self.fleet.searched_at = self.now;
            found = self.best(id, None, f64::MAX).0;
        }
        found
    }

    /// The fitting engine with most free threads, of those drawn or of all, and whether it is idle and not
    /// the one just tried, which comes last; ties at random.
    fn best(
        &mut self,
        id: QueryId,
        drawn: Option<Vec<EngineId>>,
        around: f64,
    ) -> (Option<EngineId>, bool) {
        let Some(q) = self.book.get(id) else {
            return (None, false);
        };
        let mut best: Vec<EngineId> = Vec::new();
        let near = |n: &Node| self.s.zone.is_none_or(|z| z == n.listed.zone);
        let mut most = (false, false, f64::NEG_INFINITY, false, false, 0.0, 0.0);
        let all = drawn.is_none().then_some(&self.nodes).into_iter().flatten();
        let some = drawn
            .iter()
            .flatten()
            .filter_map(|e| self.nodes.get_key_value(e));
        for (&e, n) in all.chain(some) {
            if !self.legal(q, n) || !self.fits(q, n) {
                continue;
            }
            // Bounds under a thread count by chance of that size: else all choose the largest kind.
            let (bound, part) = (self.bound(n), self.base_bound(n.cores) < 1.0);
            let draw = if part {
                f64::from(self.rng.next_u32()) + 0.5
            } else {
                1.0
            };
            let home = part && lot(self.own, e) * around < HOMES;
            // Its chance paces a cold engine already where this gateway's part is less than a query.
            let weight = bound / self.warmth(n).max(1e-3);
            // Free threads count against the base; a widened bound says only whether a query fits. Else the
            // first engine to widen takes all, from every gateway, while the others, idle, never widen.
            let base = if bound > 0.0 {
                self.base_bound(n.cores) * self.warmth(n)
            } else {
                0.0
            };
            let (own, draw) = if part {
                (0.0, (draw / 4_294_967_296.0).ln() / weight)
            } else {
                (base, 0.0)
            };
            // One called back looks the least free while it is cold: it is tried at once, by a short query.
            let short = q.work <= self.fleet.work.mean;
            let first = n.untried && n.out.is_empty() && short && self.repeatable(q);
            let free = own - self.ahead(q, &n.threads);
            let free = (
                q.avoid != Some(e),
                first,
                free,
                near(n),
                home,
                self.ease(n),
                draw,
            );
            if free > most {
                most = free;
                best.clear();
            }
            if free >= most {
                best.push(e);
            }
        }
        let draw = if best.len() > 1 {
            self.rng.next_u32() as usize % best.len()
        } else {
            0
        };
        (best.get(draw).copied(), most.0 && most.2 >= 0.0)
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
        let bears = self.fleet.cpu_utilisation.mean < KNEE || self.fleet.credit >= 0.0;
        ahead + q.threads <= self.fleet.room + 1e-9 || (self.book.out[q.slot] == 0 && bears)
    }

    /// Threads that a query competes with: those of lower priority count by what they leave it.
    fn ahead(&self, q: &Query, threads: &[f64; 4]) -> f64 {
        let own = SHARES[usize::from(self.priority(q))];
        threads
            .iter()
            .zip(SHARES)
            .map(|(t, share)| t * (share / own).min(1.0))
            .sum()
    }

    /// Whether an engine has room: threads and memory within this gateway's bound (one query always fits),
    /// no line for memory, no load in the way, and not ejected (one trial at a time once its rest is over).
    fn fits(&self, q: &Query, n: &Node) -> bool {
        let c = self.class_of(q);
        if n.health.ejected && !self.fleet.mostly_bad {
            let safe = c.idempotency == Idempotency::Idempotent;
            return safe && n.out.is_empty() && n.health.rest_until <= self.now;
        }
        let of_class = |id: &QueryId| self.book.get(*id).is_some_and(|o| o.slot == q.slot);
        if let Some(h) = n
            .class_health
            .get(&q.slot)
            .filter(|h| h.ejected && self.others_serve(q.slot))
        {
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
        if n.memory_mb
            .is_some_and(|all| q.memory > 0.0 && n.memory_out + q.memory > all * n.memory_share)
        {
            return false;
        }
        let blocked = |id: &QueryId| {
            self.book.get(*id).is_some_and(|o| {
                let other = self.class_of(o);
                o.asked.table_group == q.asked.table_group
                    && ((other.is_bulk_load && (c.is_bulk_load || c.waits_for_bulk_loads))
                        || (c.is_bulk_load && other.waits_for_bulk_loads))
            })
        };
        !((c.is_bulk_load || c.waits_for_bulk_loads) && n.out.iter().any(blocked))
    }

    /// Rules 2 to 7 for one send, whatever the policy above wants.
    pub(super) fn legal(&self, q: &Query, n: &Node) -> bool {
        let c = self.class_of(q);
        let placed = c
            .allowed_zones
            .as_ref()
            .is_none_or(|z| z.contains(&n.listed.zone))
            && c.allowed_kinds
                .as_ref()
                .is_none_or(|k| k.contains(&n.listed.kind));
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
    pub(super) fn may_repeat(&self, q: &Query) -> bool {
        let effect = self.class_of(q).idempotency;
        q.attempts < self.s.max_attempts.unwrap_or(u32::MAX).max(1)
            && !(effect == Idempotency::AtMostOnce && q.may_have_run)
    }

    /// Rule 2, deduplicated classes: only to engines that discard the repeat, while they remember.
    pub(super) fn in_group(&self, q: &Query, e: &Engine) -> bool {
        let c = self.class_of(q);
        let Some((first, at)) = q
            .risk
            .filter(|_| c.idempotency == Idempotency::Deduplicated)
        else {
            return true;
        };
        let same = match c.dedup_group {
            DedupGroup::All => true,
            DedupGroup::Zone => first.zone == e.zone,
            DedupGroup::Cell => first.zone == e.zone && first.cell == e.cell,
        };
        same && self.now < at + c.dedup_window.unwrap_or(0)
    }

    /// Whether another attempt anywhere is harmless for a while: a keyed query moves as long as all engines
    /// drop its repeat for over a period yet. It hurts where the first attempt was well.
    pub(super) fn repeatable(&self, q: &Query) -> bool {
        let c = self.class_of(q);
        let first = q
            .risk
            .map(|r| r.1)
            .or(q.out.as_ref().map(|a| a.sent))
            .unwrap_or(self.now);
        let soon = self.now + self.period() < first + c.dedup_window.unwrap_or(0);
        let dropped =
            c.idempotency == Idempotency::Deduplicated && c.dedup_group == DedupGroup::All && soon;
        c.idempotency == Idempotency::Idempotent || dropped
    }

    /// Rule 5.
    pub(super) fn has_turn(&self, q: &Query) -> bool {
        let Some(turn) = q.asked.ordering_key.and_then(|k| self.book.turns.get(&k)) else {
            return true;
        };
        let first = turn
            .open
            .first_key_value()
            .is_some_and(|(s, _)| *s == q.seq);
        let rested = turn
            .rest
            .is_none_or(|(until, seq)| until <= self.now || seq == q.seq);
        !turn.open.contains_key(&q.seq) || (first && rested)
    }

    /// Rule 4: the work sent to a cold engine in any span stays within a part of this gateway's share.
    fn cold_bears(&self, q: &Query, n: &Node) -> bool {
        let (Some(multiple), Some(fall)) = (self.s.collapse_load_multiple, self.s.collapse_window)
        else {
            return true;
        };
        let warmth = self.warmth(n);
        if warmth >= 1.0 {
            return true;
        }
        let sent: f64 = n
            .cold_sent
            .iter()
            .rev()
            .take_while(|(at, _)| at + fall > self.now)
            .map(|(_, w)| w)
            .sum();
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
        let margin = if self.learned[q.slot].work_ratio.known().is_some() {
            1.0
        } else {
            COLD_MARGIN
        };
        sent <= 0.0
            && n.chance_until > self.now
            && n.chance < margin * mean / (self.gateways * work)
    }

    /// Rule 7.
    pub(super) fn within_budget(&self) -> bool {
        let Some(b) = self.s.retry_budget else {
            return true;
        };
        let from = self.now.saturating_sub(b.window);
        self.book.extra_since(from) + 1.0
            <= b.min_retries + b.retry_ratio * self.book.taken_since(from)
    }
}
