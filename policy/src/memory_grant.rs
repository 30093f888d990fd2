//! Decides how much memory a query is granted, and how much of an engine's memory this gateway may
//! grant.
//!
//! - Decides: this module decides the grant of a query in megabytes, and this gateway's quota of an
//!   engine's memory, a fraction from 0 to 1.
//! - Inputs: it uses the estimates that come with queries, and the memory needs that answers report
//!   or, if they report none, how often queries spill to disk. It also uses reports that queries
//!   wait for memory.
//! - Reason: a grant that is too small makes a query spill, which is slow. A grant that is too
//!   large makes other queries wait.

use crate::concurrency_limit::IN_USE_FRACTION;
use crate::interface::{Cost, Micros, NewQuery, QueryId};
use crate::speed::CLASS_GAIN;
use crate::state::{EngineRecord, Query};
use crate::Gateway;

/// The margin of a grant over the expected need, in deviations: standard deviations of the
/// logarithm of the need if an estimate came with the query, and otherwise mean absolute deviations
/// of the need.
const GRANT_DEVIATIONS: f64 = 1.3;
/// The grant as a multiple of the estimate, before any need or spill was reported.
const INITIAL_GRANT_MULTIPLE: f64 = 1.25;
/// The minimum weight of a reported need in the regression on estimates.
const REGRESSION_GAIN: f64 = 0.02;
/// The target fraction of queries that spill, if engines do not report memory needs.
const TARGET_SPILL_FRACTION: f64 = 0.2;
/// The size of the steps by which the logarithm of grants changes, if engines do not report memory
/// needs. It rises by this times `1 - TARGET_SPILL_FRACTION` at a spill, and falls by this times
/// `TARGET_SPILL_FRACTION` at an answer without one. Both balance at the target fraction.
const GRANT_LOG_STEP: f64 = 0.3;
/// An attempt is restarted with a larger grant if it lacks more than this fraction of the memory
/// that it needs.
const MUCH_MISSING_FRACTION: f64 = 0.2;
/// The maximum amount of missing memory that a report counts as, in megabytes.
const MAX_MISSING_MB: f64 = 1e9;
/// The factor by which a report that a query waits for memory reduces the quota.
const QUOTA_CUT: f64 = 0.7;
/// The amount by which each answer raises the quota while the quota is in use.
const QUOTA_STEP: f64 = 0.02;

/// The properties of an answer that grants depend on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemorySample {
    /// The estimate that came with the query, in megabytes.
    pub estimate_mb: Option<f64>,
    /// The cost of the query, if the engine reports it.
    pub cost: Option<Cost>,
    pub has_spilled: bool,
}

impl Gateway {
    /// Returns the memory that a query is to be granted, in megabytes; 0 if the need is unknown.
    pub(crate) fn expected_grant(&self, class: usize, request: &NewQuery) -> f64 {
        let stats = &self.class_stats[class];
        let Some(estimate) = request.estimated_memory_mb else {
            return stats.memory_mb.mean_if_any().map_or(0.0, |mean| {
                mean + GRANT_DEVIATIONS * stats.memory_mb.deviation
            });
        };
        match stats.memory_regression.predict(estimate) {
            Some(need) => (need.mean + GRANT_DEVIATIONS * need.variance.sqrt()).exp(),
            None => INITIAL_GRANT_MULTIPLE * estimate * stats.log_grant_correction.exp(),
        }
    }

    /// Returns the grant of a query on an engine, in megabytes. It is limited to the maximum
    /// fraction of the engine's memory.
    pub(crate) fn grant_on(&self, query: &Query, engine: &EngineRecord) -> f64 {
        let fraction = self.settings.max_grant_fraction.unwrap_or(1.0);
        let max_grant_mb = engine
            .memory_mb
            .map_or(f64::MAX, |memory| memory * fraction);
        query.memory_mb.min(max_grant_mb)
    }

    /// Updates the statistics of a class's memory need from an answer.
    pub(crate) fn record_memory_need(&mut self, class: usize, sample: &MemorySample) {
        let stats = &mut self.class_stats[class];
        if let Some(cost) = sample.cost {
            stats.memory_mb.record(cost.memory_mb, CLASS_GAIN);
            let estimate = sample.estimate_mb.unwrap_or(0.0);
            let regression = &mut stats.memory_regression;
            regression.record(estimate, cost.memory_mb, REGRESSION_GAIN);
        } else if self.settings.memory_grants && !sample.has_spilled {
            stats.log_grant_correction -= GRANT_LOG_STEP * TARGET_SPILL_FRACTION;
        }
    }

    /// Handles a report that an attempt spills. Returns whether the attempt lacks so much memory
    /// that it should be restarted with a larger grant.
    pub(crate) fn on_spill(&mut self, id: QueryId, missing_mb: f64) -> bool {
        if !self.settings.memory_grants {
            return false;
        }
        let Some(query) = self.queries.get_mut(id) else {
            return false;
        };
        let Some(attempt) = query.attempt.as_mut() else {
            return false;
        };
        let need = attempt.granted_mb + missing_mb.clamp(0.0, MAX_MISSING_MB);
        if std::mem::replace(&mut attempt.has_spilled, true) {
            return false;
        }
        let correction = &mut self.class_stats[query.class].log_grant_correction;
        *correction += GRANT_LOG_STEP * (1.0 - TARGET_SPILL_FRACTION);
        let lacks_much = query.attempts == 1 && missing_mb > MUCH_MISSING_FRACTION * need;
        if lacks_much {
            query.memory_mb = need;
        }
        lacks_much
    }
}

/// Cuts this gateway's quota of an engine where queries wait for memory. Does so even if other
/// gateways granted too much, since no gateway sees what the others grant. The quota is cut at most
/// once until the engine's backoff ends.
pub(crate) fn cut_memory_quota(engine: &mut EngineRecord, now: Micros, gateways: f64) {
    if engine.backoff_until <= now {
        let min_quota = QUOTA_CUT / gateways;
        engine.memory_quota = (engine.memory_quota * QUOTA_CUT).max(min_quota);
    }
}

/// Raises this gateway's quota of an engine after an answer, while the quota is in use.
pub(crate) fn raise_memory_quota(engine: &mut EngineRecord, now: Micros) {
    let memory_mb = engine.memory_mb.unwrap_or(f64::MAX);
    let is_in_use = engine.granted_mb > IN_USE_FRACTION * engine.memory_quota * memory_mb;
    if is_in_use && engine.backoff_until <= now {
        engine.memory_quota = (engine.memory_quota + QUOTA_STEP).min(1.0);
    }
}
