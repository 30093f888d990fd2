//! Estimates how fast engines work, and how long a query will run.
//!
//! - Decides: this module estimates the work and the run time of a query.
//! - Inputs: it uses the estimates that come with queries, and the costs and run times of answers.
//!   Work is in seconds on one thread. Speed is in seconds of work per thread-second: 1 if a query
//!   runs as if alone on its engine, and less if queries compete for cores.
//! - Reason: admission, deadlines and limits need to know how long a query will take under the
//!   present load.

use crate::interface::{EngineId, NewQuery};
use crate::priority::SHARES_BY_PRIORITY;
use crate::state::Query;
use crate::units::seconds;
use crate::Gateway;

/// The amount of work that the moving overall speed covers, as a number of queries of mean work of
/// each class.
const SPEED_MEMORY_QUERIES: f64 = 40.0;
/// The fraction of the amount of work in `SPEED_MEMORY_QUERIES` that is assumed to have been done
/// at speed 1, in addition to the work of answers.
const PRIOR_FRACTION: f64 = 0.1;
/// The maximum fraction of the recorded work that one answer replaces.
const MAX_ANSWER_FRACTION: f64 = 0.5;
/// The minimum of the overall speed.
const MIN_OVERALL_SPEED: f64 = 0.02;
/// The maximum of the overall speed.
const MAX_OVERALL_SPEED: f64 = 50.0;
/// The minimum speed that one sample counts as.
pub(crate) const MIN_SAMPLE_SPEED: f64 = 0.01;
/// The maximum speed that one sample counts as.
pub(crate) const MAX_SAMPLE_SPEED: f64 = 10.0;
/// The expected work of a query without an estimate and without earlier answers of its class, as a
/// fraction of its objective.
const UNKNOWN_WORK_FRACTION: f64 = 0.2;
/// The minimum expected or measured work of a query, in seconds on one thread.
pub(crate) const MIN_WORK_S: f64 = 1e-4;
/// The minimum weight of a sample in the moving means of a class.
pub(crate) const CLASS_GAIN: f64 = 0.05;
/// The weight of an answer in the speed of its engine. With fractional shares it is also the weight
/// in the speed of all engines.
pub(crate) const ANSWER_SPEED_GAIN: f64 = 0.15;
/// The weight of a progress report in the speed of its engine.
pub(crate) const PROGRESS_SPEED_GAIN: f64 = 0.05;

impl Gateway {
    /// Returns the expected work of a new query, in seconds on one thread. It is the query's
    /// estimate times the mean ratio of work to estimate in its class. Without an estimate it is
    /// the mean work of the class.
    pub(crate) fn expected_work(&self, class_index: usize, request: &NewQuery) -> f64 {
        let class = &self.settings.classes[class_index];
        let stats = &self.class_stats[class_index];
        let objective = class.latency_objective.or(class.deadline);
        let unknown = UNKNOWN_WORK_FRACTION * seconds(objective.unwrap_or(request.client_timeout));
        let mean = stats.work.mean_if_any().unwrap_or(unknown);
        let estimate = request.estimated_work.filter(|work| *work > 0);
        let work = estimate.map_or(mean, |estimate| {
            seconds(estimate) * stats.work_ratio.mean_if_any().unwrap_or(1.0)
        });
        work.max(MIN_WORK_S)
    }

    /// Returns the speed of all engines together: the moving ratio of the work done to the
    /// thread-seconds that it took.
    pub(crate) fn overall_speed(&self) -> f64 {
        let prior = self.sum_of_mean_work().max(1e-3) * SPEED_MEMORY_QUERIES * PRIOR_FRACTION;
        ((self.overall.work_done + prior) / (self.overall.thread_seconds + prior))
            .clamp(MIN_OVERALL_SPEED, MAX_OVERALL_SPEED)
    }

    /// Returns the expected run time of a query in seconds, at the overall speed.
    pub(crate) fn expected_run(&self, query: &Query) -> f64 {
        query.work / (query.threads * self.overall_speed())
    }

    /// Returns the usual run time of a query in seconds, at the overall speed. It is the run time
    /// of the expected work or of the mean work of the class, whichever is more.
    pub(crate) fn usual_run(&self, query: &Query) -> f64 {
        let class_work = self.stats_of(query).work.mean_if_any().unwrap_or(0.0);
        class_work.max(query.work) / (query.threads * self.overall_speed())
    }

    /// Updates the overall speed from an answer.
    pub(crate) fn record_overall_speed(&mut self, work: f64, thread_seconds: f64) {
        let covered_work = SPEED_MEMORY_QUERIES * self.sum_of_mean_work();
        let retained = 1.0 - (work / covered_work.max(1e-3)).min(MAX_ANSWER_FRACTION);
        self.overall.work_done = self.overall.work_done * retained + work;
        self.overall.thread_seconds = self.overall.thread_seconds * retained + thread_seconds;
    }

    /// Updates an engine's speed and headroom from an attempt there. An attempt of low priority
    /// has less weight, since other queries slow it down.
    pub(crate) fn record_engine_speed(
        &mut self,
        engine: EngineId,
        priority: u8,
        speed: f64,
        gain: f64,
    ) {
        let weight = if self.settings.priorities {
            SHARES_BY_PRIORITY[usize::from(priority)] / SHARES_BY_PRIORITY[3]
        } else {
            1.0
        };
        let headroom = weight * ((speed / self.overall_speed()).min(1.0) - 1.0);
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.headroom = headroom;
            engine.headroom_at = self.now;
            let log_sample = speed.clamp(MIN_SAMPLE_SPEED, MAX_SAMPLE_SPEED).ln();
            let log_speed = engine.speed.ln();
            engine.speed = (log_speed + gain * weight * (log_sample - log_speed)).exp();
        }
    }

    /// Returns the sum of the mean work of all classes, in seconds on one thread.
    fn sum_of_mean_work(&self) -> f64 {
        let means = self
            .class_stats
            .iter()
            .filter_map(|stats| stats.work.mean_if_any());
        means.sum()
    }
}
