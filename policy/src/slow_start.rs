//! Decides how much work an engine gets while it warms up.
//!
//! - Decides: this module decides the fraction of its full capacity that an engine surely has now,
//!   and whether a query may go to it.
//! - Inputs: it uses the start time of the engine's process, the slow start window, the initial
//!   fraction, and the load under which the engine fails (a multiple of its present capacity,
//!   throughout the collapse window). Times are in microseconds, work in seconds on one thread.
//! - Rule: each gateway sends no more than its share of what the engine sustains. If that share is
//!   less than one query, each gateway draws at random whether it may send one. The probability is
//!   such that the sum over all gateways, random deviations included, stays within what the engine
//!   sustains.
//! - Reason: an engine with empty caches fails if it gets its full load at once, and no gateway
//!   sees what the others send.

use rand_chacha::rand_core::RngCore;

use crate::state::{EngineRecord, Query, SlowStartDraw};
use crate::units::seconds;
use crate::Gateway;

/// The load that gateways may send, as a fraction of the load under which an engine would fail.
const SAFETY_FRACTION: f64 = 0.5;
/// The margin between the mean load from all gateways and what an engine sustains, in deviations.
const SAFETY_DEVIATIONS: f64 = 4.0;
/// The factor on the first value that a gateway draws for an engine, which makes sends rarer. The
/// value holds for a random part of a window, before the gateway's first full window. All gateways
/// learn of an engine at the same time, and the sends in this part add to the sends of the windows.
const FIRST_DRAW_FACTOR: f64 = 4.0;

impl Gateway {
    /// Returns the fraction of its full capacity that an engine has surely reached, 0 to 1. The
    /// fraction grows slowly at first, since it is not known how fast engines warm up.
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

    /// Returns whether the warm-up of an engine allows a query.
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
        let work = stats.work.mean_if_any().unwrap_or(0.0).max(query.work);
        let max_work = multiple * engine.cores * warm_fraction * seconds(window);
        if sent + work <= SAFETY_FRACTION * max_work / self.gateways {
            return true;
        }
        // If measured work of the class was compared with estimates, the expected work is accurate
        // enough without a further margin.
        let margin = if stats.work_ratio.mean_if_any().is_some() {
            1.0
        } else {
            SAFETY_FRACTION
        };
        let mean = safe_mean_load(work, max_work);
        let draw = engine.slow_start_draw;
        sent <= 0.0 && draw.until > self.now && draw.value < margin * mean / (self.gateways * work)
    }

    /// Draws a new value for each engine whose value has expired. The first value holds for a
    /// random part of a window, so that the windows of all gateways are spread evenly. Each later
    /// value holds for a full window.
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

/// Returns the mean load, from independent queries of `work` each, that is `SAFETY_DEVIATIONS`
/// below the load `max_work` under which an engine would fail.
fn safe_mean_load(work: f64, max_work: f64) -> f64 {
    let spread = SAFETY_DEVIATIONS / 2.0 * (work / max_work).sqrt();
    ((spread * spread + 1.0).sqrt() - spread).powi(2) * max_work
}
