//! The data that a gateway keeps between calls, and its bookkeeping. No rule is decided here.

mod class_stats;
mod engine_record;
mod engine_sampler;
mod health_counts;
mod key_order;
mod overall_stats;
mod query;
mod query_table;
mod retry_history;

pub(crate) use class_stats::ClassStats;
pub(crate) use engine_record::{EngineRecord, Health, InitialLimits, SlowStartDraw, WarmUpSend};
pub(crate) use engine_sampler::{stable_hash_fraction, EngineSampler, Region};
pub(crate) use health_counts::HealthCounts;
pub(crate) use key_order::{KeyHold, KeyOrder};
pub(crate) use overall_stats::OverallStats;
pub(crate) use query::{Attempt, Query};
pub(crate) use query_table::QueryTable;
pub(crate) use retry_history::RetryHistory;

/// The number of threads in use, indexed by the priority of their queries: 0 (lowest) to 3.
pub(crate) type ThreadsByPriority = [f64; 4];
