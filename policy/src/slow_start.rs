//! How much work an engine gets while it warms up.
//!
//! - Decides: the fraction of its capacity that an engine surely has by now, and whether a
//!   query may go to it.
//! - Inputs: when its process started, the slow start window, the initial fraction, and the
//!   load (a multiple of its present capacity, throughout the collapse window) under which it
//!   fails; times in microseconds, work in seconds on one thread.
//! - Rule: each gateway sends no more than its share of what the engine sustains. Where that
//!   share is less than a query, each draws whether it may send one, so that the sum over all
//!   gateways is within what the engine sustains, deviations included.
//! - Reason: an engine with empty caches that gets its full load at once fails, and no gateway
//!   sees what the others send.

use rand_chacha::rand_core::RngCore;

use crate::state::{EngineRecord, Query, SlowStartDraw};
use crate::units::seconds;
use crate::Gateway;

/// The fraction used of the load under which an engine would fail.
const SAFETY_FRACTION: f64 = 0.5;
/// The sum over all gateways is this many deviations below what an engine sustains.
const SAFETY_DEVIATIONS: f64 = 4.0;
/// How much rarer sends are before a gateway's own first window begins. All gateways learn of an
/// engine at once, and these sends come on top of those of the window.
const FIRST_DRAW_FACTOR: f64 = 4.0;

impl Gateway {
    /// The fraction of its capacity that an engine has surely reached, 0 to 1. It grows slowly at
    /// first, since how fast engines warm up is not known.
    pub(crate) fn warm_fraction(&self, engine: &EngineRecord) -> f64 {
        let (Some(started), Some(window)) = (engine.started(), self.settings.slow_start_window)
        else {
            return 1.0;
        };
        let age = seconds(self.now.saturating_sub(started)) / seconds(window.max(1));
        if age >= 1.0 {
            return 1.0;
        }
        let initial = self
            .settings
            .slow_start_initial_fraction
            .unwrap_or(0.0)
            .min(1.0);
        initial + (1.0 - initial) * age * age
    }

    /// Whether a query may go to an engine as far as its warm-up is concerned.
    pub(crate) fn slow_start_allows(&self, query: &Query, engine: &EngineRecord) -> bool {
        let (Some(multiple), Some(window)) = (
            self.settings.collapse_load_multiple,
            self.settings.collapse_window,
        ) else {
            return true;
        };
        let warm_fraction = self.warm_fraction(engine);
        if warm_fraction >= 1.0 {
            return true;
        }
        let recent = engine.warm_up_sends.iter().rev();
        let sent: f64 = recent
            .take_while(|send| send.at + window > self.now)
            .map(|send| send.work)
            .sum();
        let stats = self.stats_of(query);
        let work = stats.work.known().unwrap_or(0.0).max(query.work);
        let bearable = multiple * engine.cores * warm_fraction * seconds(window);
        if sent + work <= SAFETY_FRACTION * bearable / self.gateways {
            return true;
        }
        // Where costs are reported, work is known well enough to need no further margin.
        let margin = if stats.work_ratio.known().is_some() {
            1.0
        } else {
            SAFETY_FRACTION
        };
        let mean = safe_mean_load(work, bearable);
        let draw = engine.slow_start_draw;
        sent <= 0.0 && draw.until > self.now && draw.value < margin * mean / (self.gateways * work)
    }

    /// Draws anew for the engines whose window is over. The first window of each gateway ends at
    /// a time of its own, so that the windows of all gateways spread evenly.
    pub(crate) fn renew_slow_start_draws(&mut self) {
        let window = self.settings.collapse_window.unwrap_or(0).max(1);
        let engines = self.engines.values_mut();
        for engine in engines.filter(|engine| engine.slow_start_draw.until <= self.now) {
            let is_first = engine.slow_start_draw.until == 0;
            let (span, factor) = if is_first {
                (self.rng.next_u64() % window, FIRST_DRAW_FACTOR)
            } else {
                (window, 1.0)
            };
            engine.slow_start_draw = SlowStartDraw {
                value: factor * f64::from(self.rng.next_u32()) / f64::from(u32::MAX),
                until: self.now + span.max(1),
            };
        }
    }
}

/// The mean load by independent queries of so much work that is the safety deviations below
/// what is bearable.
fn safe_mean_load(work: f64, bearable: f64) -> f64 {
    let spread = SAFETY_DEVIATIONS / 2.0 * (work / bearable).sqrt();
    ((spread * spread + 1.0).sqrt() - spread).powi(2) * bearable
}
