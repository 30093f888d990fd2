//! Updates statistics and limits from an answer: the work and memory of the class, the speed of the
//! engine and of all engines, the fraction of late answers, and the limits on threads and memory.

use crate::concurrency_limit::LimitSample;
use crate::interface::{AttemptEnded, Micros};
use crate::memory_grant::{raise_memory_quota, MemorySample};
use crate::outlier_detection::record_success;
use crate::speed::{ANSWER_SPEED_GAIN, CLASS_GAIN, MIN_WORK_S};
use crate::state::{Attempt, EngineRecord};
use crate::units::seconds;
use crate::Gateway;

/// The fraction of this gateway's fair share below which an engine counts as lightly used. On such
/// an engine the thread-seconds of a query are taken as its work.
const LIGHT_USE_FRACTION: f64 = 0.4;
/// The minimum thread-seconds of an answer. The speed is computed by a division by this time.
const MIN_THREAD_SECONDS: f64 = 1e-4;

/// The properties of an answer that statistics and limits are updated from.
#[derive(Debug, Clone, Copy)]
struct CompletionSample {
    class: usize,
    threads: f64,
    thread_seconds: f64,
    /// The measured work or, if there is none, the expected work, in seconds on one thread.
    work: f64,
    /// The work that the engine reported, or the thread-seconds on a lightly used engine, in
    /// seconds on one thread.
    measured_work: Option<f64>,
    estimated_work: Option<Micros>,
    memory: MemorySample,
    is_late: bool,
}

impl CompletionSample {
    /// Returns the work per thread-second.
    fn speed(&self) -> f64 {
        self.work / self.thread_seconds
    }
}

impl Gateway {
    /// Updates statistics and limits from an answer.
    pub(super) fn record_completion(&mut self, ended: &AttemptEnded, attempt: &Attempt) {
        let Some(sample) = self.completion_sample(ended, attempt) else {
            return;
        };
        self.record_class_sample(&sample);
        self.record_memory_need(sample.class, &sample.memory);
        self.record_overall_speed(sample.work, sample.thread_seconds);
        let speed = sample.speed();
        self.record_engine_speed(attempt.engine, attempt.priority, speed, ANSWER_SPEED_GAIN);
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return;
        };
        engine.last_active_at = self.now;
        engine.awaits_first_answer = false;
        raise_memory_quota(engine, self.now);
        record_success(engine, sample.class);
        let cores = engine.cores;
        self.adjust_limits_after_answer(&LimitSample {
            engine: attempt.engine,
            fair_share: self.fair_share_of(cores),
            threads: sample.threads,
            speed,
            has_cost: ended.cost.is_some(),
            is_late: sample.is_late,
            late_fraction: self.class_stats[sample.class].late_fraction,
        });
    }

    fn completion_sample(
        &self,
        ended: &AttemptEnded,
        attempt: &Attempt,
    ) -> Option<CompletionSample> {
        let query = self.queries.get(ended.query)?;
        let thread_seconds = (query.threads * seconds(ended.elapsed)).max(MIN_THREAD_SECONDS);
        let reported = ended.cost.map(|cost| seconds(cost.work));
        let engine = self.engines.get(&attempt.engine);
        let is_lightly_used = engine.is_some_and(|engine| self.is_lightly_used(engine));
        let measured_work = reported.or(is_lightly_used.then_some(thread_seconds));
        Some(CompletionSample {
            class: query.class,
            threads: query.threads,
            thread_seconds,
            work: measured_work.unwrap_or(query.work).max(MIN_WORK_S),
            measured_work,
            estimated_work: query.request.estimated_work,
            memory: MemorySample {
                estimate_mb: query.request.estimated_memory_mb,
                cost: ended.cost,
                has_spilled: attempt.has_spilled,
            },
            // The time at which the answer came counts, not the time at which it is handled.
            is_late: attempt.sent_at + ended.elapsed > self.objective_at(query),
        })
    }

    /// Returns whether this gateway uses little of its fair share of an engine. If that share is
    /// less than a thread, mostly other gateways use the engine, and the result is `false`.
    fn is_lightly_used(&self, engine: &EngineRecord) -> bool {
        let fair_share = self.fair_share_of(engine.cores);
        fair_share >= 1.0 && engine.threads_in_use() < LIGHT_USE_FRACTION * fair_share
    }

    fn record_class_sample(&mut self, sample: &CompletionSample) {
        let stats = &mut self.class_stats[sample.class];
        stats.work.record(sample.work, CLASS_GAIN);
        if let (Some(estimate), Some(measured)) = (sample.estimated_work, sample.measured_work) {
            let ratio = measured / seconds(estimate).max(1e-6);
            stats.work_ratio.record(ratio, CLASS_GAIN);
        }
        let lateness = f64::from(u8::from(sample.is_late));
        stats.late_fraction += CLASS_GAIN * (lateness - stats.late_fraction);
        stats.silent_fraction -= CLASS_GAIN * stats.silent_fraction;
    }
}
