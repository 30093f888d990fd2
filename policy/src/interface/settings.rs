//! The settings of a gateway: query classes, kinds of engine, and the figures of the rules.

use super::Micros;

/// Whether a query of a class may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// It may run any number of times.
    #[default]
    Idempotent,
    /// Engines of one group discard duplicates for a while.
    Deduplicated,
    /// It must never run twice.
    AtMostOnce,
}

/// The engines that discard each other's duplicates of a deduplicated query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DedupGroup {
    /// All engines.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// One class of queries.
#[derive(Debug, Clone, Default)]
pub struct Class {
    /// How long a client waits for an answer.
    pub deadline: Option<Micros>,
    /// An answer within this time (plus the stretch) earns the full priority weight.
    pub latency_objective: Option<Micros>,
    /// The objective grows by this multiple of the query's work divided by its threads.
    pub objective_stretch: Option<f64>,
    /// The priority weight of one query, relative to those of other classes.
    pub priority_weight: Option<f64>,
    /// The fraction of the weight that an answer after the objective still earns, 0 to 1.
    pub late_weight_fraction: Option<f64>,
    /// Whether a query may run more than once.
    pub idempotency: Idempotency,
    /// For deduplicated classes: the engines that discard duplicates.
    pub dedup_group: DedupGroup,
    /// For deduplicated classes: how long engines remember a query, from its first attempt.
    pub dedup_window: Option<Micros>,
    /// Queries with one ordering key run one at a time, in order of arrival.
    pub ordered_by_key: bool,
    /// The only zones in which the class may run, if it is bound to some.
    pub allowed_zones: Option<Vec<u32>>,
    /// The only kinds of engine on which the class may run, if it is bound to some.
    pub allowed_kinds: Option<Vec<u32>>,
    /// Threads that a query runs on.
    pub threads: Option<f64>,
    /// A query locks its group of tables on its engine while it runs.
    pub is_bulk_load: bool,
    /// A query waits on its engine while a bulk load locks its group of tables.
    pub waits_for_bulk_loads: bool,
}

/// One kind of engine.
#[derive(Debug, Clone, Default)]
pub struct EngineKind {
    /// Cores of one engine.
    pub cores: Option<f64>,
    /// Memory of one engine in megabytes.
    pub memory_mb: Option<f64>,
}

/// The limit on attempts beyond the first of each query.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// Retries allowed in any window, however few queries arrive.
    pub min_retries: f64,
    /// Further retries for each query that arrived in the window.
    pub retry_ratio: f64,
    /// The sliding window.
    pub window: Micros,
}

/// The settings of a gateway.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Number of gateways in front of the same engines.
    pub gateways: Option<u32>,
    /// The zone of this gateway.
    pub zone: Option<u32>,
    /// The query classes, by number.
    pub classes: Vec<Class>,
    /// The kinds of engine, by number.
    pub engine_kinds: Vec<EngineKind>,
    /// The quota of each tenant in queries a second, over all gateways. No rule uses it.
    pub tenant_quota_per_s: Vec<Option<f64>>,
    /// The weight of a query beyond its tenant's quota, relative to one within it. No rule uses it.
    pub over_quota_weight: Option<f64>,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// Engines can be health-checked. No rule uses it.
    pub can_health_check: bool,
    /// Load reports come with health checks only. No rule uses it.
    pub reports_by_health_check: bool,
    /// Load reports hold the utilisation.
    pub reports_utilisation: bool,
    /// The most attempts for one query, the first included.
    pub max_attempts: Option<u32>,
    /// A query may have two attempts out at a time. No rule uses it: a query never has.
    pub hedged_requests: bool,
    /// The longest retry-after that clients honour; `None` where they get none.
    pub max_retry_after: Option<Micros>,
    /// Engines heed memory grants.
    pub memory_grants: bool,
    /// The largest fraction of an engine's memory that one query is granted.
    pub max_grant_fraction: Option<f64>,
    /// Engines heed priorities.
    pub priorities: bool,
    /// Time between progress reports; `None` where there are none.
    pub progress_period: Option<Micros>,
    /// How long after the deadline a final answer still counts as given in time.
    pub answer_grace: Option<Micros>,
    /// The fraction of its capacity that an engine has at least when it starts.
    pub slow_start_initial_fraction: Option<f64>,
    /// Time after its start at which an engine has its full capacity.
    pub slow_start_window: Option<Micros>,
    /// An engine that is still warming up fails when it gets more than this multiple of its
    /// present capacity throughout the `collapse_window`.
    pub collapse_load_multiple: Option<f64>,
    /// See `collapse_load_multiple`.
    pub collapse_window: Option<Micros>,
    /// How long an ordering key is blocked after an attempt that may still run.
    pub key_release_delay: Option<Micros>,
    /// The budget for attempts beyond the first.
    pub retry_budget: Option<RetryBudget>,
    /// The engine list is sent to subscribers only.
    pub list_needs_subscription: bool,
}
