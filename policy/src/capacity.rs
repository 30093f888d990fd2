//! Decides whether an engine has capacity for a query now.
//!
//! - Decides: this module decides that a query fits, or returns [`NoCapacity`].
//! - Inputs: it uses the engine's health and backoff, the threads and memory that this gateway uses
//!   there with their limits, and the bulk loads that run there.
//! - Rule: an ejected engine gets one trial at a time. A trial is a query that shows whether the
//!   engine works again.
//! - Reason: an engine that gets more than it can run at once makes all its queries late. The
//!   gateway queues queries instead, and sends each one when an engine can run it.

use crate::interface::{Idempotency, QueryId};
use crate::state::{EngineRecord, Query};
use crate::Gateway;

/// The tolerance for rounding errors when sums of threads are compared.
pub(crate) const THREAD_ROUNDING: f64 = 1e-9;

/// Why a query does not fit on an engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoCapacity {
    /// The engine is ejected, and no trial is due or the query does not suit one.
    Ejected,
    /// The engine is ejected for the query's class, and no trial is due or the query does not suit
    /// one.
    EjectedForClass,
    /// This gateway sends the engine nothing for a time, since the engine recently reported that it
    /// is full, or that queries wait there for memory.
    InBackoff,
    /// The query would exceed this gateway's thread limit at the engine.
    ThreadLimit,
    /// The query would exceed this gateway's quota of the engine's memory.
    MemoryQuota,
    /// A bulk load at the engine locks the query's group of tables, or the query is a bulk load and
    /// would lock the group of a query there.
    BulkLoad,
}

impl Gateway {
    /// Checks whether an engine has capacity for a query. An engine without any query of this
    /// gateway always has capacity, unless it is ejected or in backoff.
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
            return Err(NoCapacity::InBackoff);
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

    /// Returns whether a query may be a trial of an ejected engine. Such an engine gets one trial
    /// at a time, by idempotent queries only. Deduplicated queries may only be trials of engines
    /// that are ejected for their class (see `class_ejection_blocks`).
    fn may_try_ejected(&self, query: &Query, engine: &EngineRecord) -> bool {
        self.class_of(query).idempotency == Idempotency::Idempotent
            && engine.running.is_empty()
            && engine.health.ejected_until <= self.now
    }

    /// Returns whether the ejection of an engine for the query's class keeps the query away. The
    /// ejection only applies while enough other engines serve the class. One trial at a time is
    /// allowed, by a query that may safely run twice.
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

    /// Returns whether a query would exceed the thread limit of an engine. One query of each class
    /// always fits. Otherwise a single query with many threads, which may exceed the limit alone,
    /// would keep out short queries of other classes while it runs. A slow engine, with a limit of
    /// 0, gets one query in all.
    fn thread_limit_blocks(&self, query: &Query, engine: &EngineRecord) -> bool {
        let limit = self.thread_limit(engine);
        let threads = self.competing_threads(query, &engine.threads) + query.threads;
        threads > limit + THREAD_ROUNDING && (limit <= 0.0 || self.runs_class(query.class, engine))
    }

    /// Returns whether a query conflicts with a query on an engine. A bulk load conflicts with
    /// bulk loads, and with queries of classes that wait for bulk loads, in the same group of
    /// tables. Queries whose group is unknown count as one group.
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

    /// Returns whether a query of a class runs on an engine.
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
