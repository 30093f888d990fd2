//! Whether an engine has capacity for a query now.
//!
//! - Decides: [`NoCapacity`], or that a query fits.
//! - Inputs: the engine's health, its backoff, this gateway's threads and memory there against
//!   their limits, and the bulk loads there.
//! - Reason: an engine that gets more than it can run at once makes all its queries late. The
//!   gateway queues them instead, and sends each where it can run.

use crate::interface::{Idempotency, QueryId};
use crate::state::{EngineRecord, Query};
use crate::Gateway;

/// Sums of threads are compared with this tolerance.
pub(crate) const THREAD_ROUNDING: f64 = 1e-9;

/// Why a query does not fit on an engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoCapacity {
    /// The engine is ejected, and no trial is due or the query does not suit one.
    Ejected,
    /// The same for queries of its class.
    EjectedForClass,
    /// The engine said a short while ago that it is full, or that queries wait there for memory.
    BackingOff,
    /// This gateway's threads there are in use.
    ThreadLimit,
    /// This gateway's memory there is granted.
    MemoryQuota,
    /// A bulk load there locks its group of tables, or it would lock the group of others.
    BulkLoad,
}

impl Gateway {
    /// Whether an engine has capacity for a query. One without any query of this gateway always
    /// has, unless it is ejected or backing off.
    pub(crate) fn check_capacity(
        &self,
        query: &Query,
        engine: &EngineRecord,
    ) -> Result<(), NoCapacity> {
        if engine.health.ejected && !self.overall.ejection_suspended {
            let trial = self.may_try_ejected(query, engine);
            return if trial {
                Ok(())
            } else {
                Err(NoCapacity::Ejected)
            };
        }
        if self.class_ejection_blocks(query, engine) {
            return Err(NoCapacity::EjectedForClass);
        }
        if engine.backoff_until > self.now {
            return Err(NoCapacity::BackingOff);
        }
        if engine.running.is_empty() {
            return Ok(());
        }
        if self.thread_limit_blocks(query, engine) {
            return Err(NoCapacity::ThreadLimit);
        }
        if memory_quota_blocks(query, engine) {
            return Err(NoCapacity::MemoryQuota);
        }
        if self.bulk_load_blocks(query, engine) {
            return Err(NoCapacity::BulkLoad);
        }
        Ok(())
    }

    /// An ejected engine gets one trial at a time, by idempotent queries only: deduplicated ones
    /// have no part in it, other than where one class avoids an engine.
    fn may_try_ejected(&self, query: &Query, engine: &EngineRecord) -> bool {
        self.class_of(query).idempotency == Idempotency::Idempotent
            && engine.running.is_empty()
            && engine.health.ejected_until <= self.now
    }

    /// The same where an engine is ejected for one class, as long as enough others serve the
    /// class.
    fn class_ejection_blocks(&self, query: &Query, engine: &EngineRecord) -> bool {
        let Some(health) = engine.class_health.get(&query.class) else {
            return false;
        };
        if !health.ejected || !self.enough_engines_serve(query.class) {
            return false;
        }
        !self.is_safe_to_duplicate(query)
            || health.ejected_until > self.now
            || self.runs_class(query.class, engine)
    }

    /// One query of each class always fits, since a single wide one may pass the limit and would
    /// shut out the short ones. A slow engine, with a limit of 0, has one query in all.
    fn thread_limit_blocks(&self, query: &Query, engine: &EngineRecord) -> bool {
        let limit = self.thread_limit(engine);
        let threads = self.competing_threads(query, &engine.threads) + query.threads;
        threads > limit + THREAD_ROUNDING && (limit <= 0.0 || self.runs_class(query.class, engine))
    }

    /// A bulk load locks its group of tables, which classes that wait for bulk loads use as well.
    /// Loads whose group is not known keep off each other, as if it were one.
    fn bulk_load_blocks(&self, query: &Query, engine: &EngineRecord) -> bool {
        let class = self.class_of(query);
        if !class.is_bulk_load && !class.waits_for_bulk_loads {
            return false;
        }
        let conflicts = |id: &QueryId| {
            self.queries.get(*id).is_some_and(|other| {
                let other_class = self.class_of(other);
                other.request.table_group == query.request.table_group
                    && (other_class.is_bulk_load
                        || (class.is_bulk_load && other_class.waits_for_bulk_loads))
            })
        };
        engine.running.iter().any(conflicts)
    }

    /// Whether a query of a class runs on an engine.
    fn runs_class(&self, class: usize, engine: &EngineRecord) -> bool {
        let of_class = |id: &QueryId| {
            let other = self.queries.get(*id);
            other.is_some_and(|other| other.class == class)
        };
        engine.running.iter().any(of_class)
    }
}

fn memory_quota_blocks(query: &Query, engine: &EngineRecord) -> bool {
    engine.memory_mb.is_some_and(|memory_mb| {
        query.memory_mb > 0.0
            && engine.granted_mb + query.memory_mb > memory_mb * engine.memory_quota
    })
}
