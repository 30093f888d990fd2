//! What one gateway consists of. Nothing is decided here: the decisions are in `src/rules.rs`.

use std::collections::BTreeMap;

use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::interface::{Action, Class, EngineId, EngineState, Micros, Settings};
use crate::rules::LOOK_EVERY;
use crate::state::{micros, secs, Book, Counts, Fleet, Learned, Node, Order, Query};

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) s: Settings,
    pub(crate) gateways: f64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Micros,
    pub(crate) nodes: BTreeMap<EngineId, Node>,
    pub(crate) order: Order,
    pub(crate) book: Book,
    pub(crate) learned: Vec<Learned>,
    pub(crate) fleet: Fleet,
    pub(crate) own: u64,
}

/// Counts of engines, for the embedding's metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineCounts {
    /// Engines in the list that are not gone.
    pub listed: usize,
    /// Those of them that are cordoned, or ejected as outliers.
    pub avoided: usize,
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
            order: Order::new(seed, settings.zone),
            book: Book::new(classes),
            learned: vec![Learned::default(); classes],
            fleet: Fleet::default(),
            s: settings,
        }
    }

    /// Counts the listed engines, and those of them that get no queries.
    #[must_use]
    pub fn engine_counts(&self) -> EngineCounts {
        let listed = || {
            self.nodes
                .values()
                .filter(|n| n.listed.state != EngineState::Gone)
        };
        let ejected = |n: &&Node| n.listed.state == EngineState::Ready && !self.healthy(n);
        EngineCounts {
            listed: listed().count(),
            avoided: listed().filter(|n| n.barred || ejected(n)).count(),
        }
    }

    /// The settings of a query's class.
    pub(crate) fn class_of(&self, q: &Query) -> &Class {
        &self.s.classes[q.slot]
    }

    /// The pace of news: the note period, else the shortest aim or deadline.
    pub(crate) fn period(&self) -> Micros {
        self.s.progress_period.unwrap_or(self.shortest_aim()).max(1)
    }

    /// The shortest aim, or deadline, of any class.
    pub(crate) fn shortest_aim(&self) -> Micros {
        self.s
            .classes
            .iter()
            .filter_map(|c| c.latency_objective.or(c.deadline))
            .min()
            .unwrap_or(1_000_000)
    }

    /// A share of the period.
    pub(crate) fn periods(&self, share: f64) -> Micros {
        micros(share * secs(self.period())).max(1)
    }

    /// Asks to be woken when the next query is due, or soon while some are held.
    pub(crate) fn ask_wake(&mut self, actions: &mut Vec<Action>) {
        // Room can also open by itself: a rest ends, a line empties, a cold engine bears more.
        let held = self.book.queues.iter().any(|q| !q.is_empty());
        let soon = if held {
            self.now + self.periods(LOOK_EVERY)
        } else {
            Micros::MAX
        };
        let at = self
            .book
            .due
            .first()
            .map_or(soon, |due| due.0.min(soon))
            .max(self.now + 1);
        if at
            < self
                .book
                .wake
                .filter(|w| *w > self.now)
                .unwrap_or(Micros::MAX)
        {
            self.book.wake = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }

    /// The counts of engines: of this moment, or where there are many as they were last counted.
    pub(crate) fn counts(&self) -> Counts {
        if self.looks_at_all() {
            Counts::of(self.nodes.values(), self.fleet.mostly_bad)
        } else {
            self.fleet.counts.clone()
        }
    }
}
