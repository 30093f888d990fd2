//! The book of open queries: queues, turns, what is due when, and what was taken and sent again.
//! Nothing is decided here.

use super::*;

/// All open queries, the queues and what is due when.
#[derive(Debug, Default)]
pub(crate) struct Book {
    pub queries: BTreeMap<QueryId, Query>,
    pub queues: Vec<BTreeMap<u64, QueryId>>,
    /// Those of the queues that have had no attempt yet.
    untried: Vec<BTreeMap<u64, QueryId>>,
    pub due: BTreeSet<(Micros, QueryId)>,
    pub held: usize,
    pub held_work: f64,
    /// Attempts out by class, and their threads by priority.
    pub out: Vec<usize>,
    pub threads_out: [f64; 4],
    pub turns: BTreeMap<u64, Turn>,
    /// Queries taken; the next wake-up.
    pub seq: u64,
    pub wake: Option<Micros>,
    /// When queries were taken, and when further attempts of them left.
    pub taken: VecDeque<Micros>,
    pub extra: VecDeque<Micros>,
}

impl Book {
    pub fn new(classes: usize) -> Self {
        let queues = vec![BTreeMap::new(); classes];
        Book {
            untried: queues.clone(),
            queues,
            out: vec![0; classes],
            ..Book::default()
        }
    }

    pub fn get(&self, id: QueryId) -> Option<&Query> {
        self.queries.get(&id)
    }

    pub fn get_mut(&mut self, id: QueryId) -> Option<&mut Query> {
        self.queries.get_mut(&id)
    }

    pub fn take(&mut self, now: Micros) {
        self.taken.push_back(now);
        self.seq += 1;
    }

    pub fn stream(&mut self, id: QueryId) {
        self.queries
            .get_mut(&id)
            .into_iter()
            .for_each(|q| q.streaming = true);
    }

    /// Forgets what was taken and sent again before a time.
    pub fn drop_before(&mut self, time: Micros) {
        for past in [&mut self.extra, &mut self.taken] {
            while past.front().is_some_and(|t| *t < time) {
                past.pop_front();
            }
        }
    }

    /// How many queries were taken after a time.
    pub fn taken_since(&self, time: Micros) -> f64 {
        (self.taken.len() - self.taken.partition_point(|t| *t <= time)) as f64
    }

    /// How many further attempts have left since a time.
    pub fn extra_since(&self, time: Micros) -> f64 {
        (self.extra.len() - self.extra.partition_point(|t| *t < time)) as f64
    }

    /// Marks the attempt that is out as silent.
    pub fn silent(&mut self, id: QueryId) {
        if let Some(a) = self.get_mut(id).and_then(|q| q.out.as_mut()) {
            a.silent = true;
        }
    }

    /// Marks a query as held; it is counted, but in no queue yet.
    pub fn hold(&mut self, id: QueryId) {
        if let Some(q) = self.queries.get_mut(&id).filter(|q| !q.held && !q.finished) {
            q.held = true;
            self.held += 1;
            self.held_work += q.work;
        }
    }

    pub fn enqueue(&mut self, id: QueryId) {
        if let Some(q) = self.queries.get(&id).filter(|q| q.held) {
            self.queues[q.slot].insert(q.seq, id);
            if q.attempts == 0 {
                self.untried[q.slot].insert(q.seq, id);
            }
        }
    }

    pub fn unhold(&mut self, id: QueryId) {
        if let Some(q) = self.queries.get_mut(&id).filter(|q| q.held) {
            q.held = false;
            self.queues[q.slot].remove(&q.seq);
            self.untried[q.slot].remove(&q.seq);
            self.held -= 1;
            self.held_work = if self.held == 0 {
                0.0
            } else {
                self.held_work - q.work
            };
        }
    }

    pub fn begin(&mut self, slot: usize, priority: u8, threads: f64) {
        self.out[slot] += 1;
        self.threads_out[usize::from(priority)] += threads;
    }

    pub fn end(&mut self, slot: usize, priority: u8, threads: f64) {
        self.out[slot] -= 1;
        self.threads_out[usize::from(priority)] -= threads;
        if self.out.iter().all(|n| *n == 0) {
            self.threads_out = [0.0; 4];
        }
    }

    /// The oldest of each queue, the oldest of them first. Where no query may be sent again, the oldest that
    /// have had no attempt yet: one that waits for the resend budget must not keep those behind it waiting.
    pub fn heads(&self, may_resend: bool) -> Vec<QueryId> {
        let queues = if may_resend {
            &self.queues
        } else {
            &self.untried
        };
        let mut heads: Vec<_> = queues
            .iter()
            .filter_map(BTreeMap::first_key_value)
            .collect();
        heads.sort_unstable();
        heads.into_iter().map(|(_, id)| *id).collect()
    }

    pub fn set_due(&mut self, id: QueryId, at: Micros) {
        if let Some(q) = self.queries.get_mut(&id) {
            self.due.remove(&(q.due, id));
            q.due = at;
            self.due.insert((at, id));
        }
    }

    pub fn next_due(&mut self, now: Micros) -> Option<QueryId> {
        let first = self.due.first().copied().filter(|(at, _)| *at <= now)?;
        self.due.remove(&first);
        Some(first.1)
    }

    pub fn remove(&mut self, id: QueryId) {
        self.unhold(id);
        if let Some(q) = self.queries.remove(&id) {
            self.due.remove(&(q.due, id));
        }
    }
}
