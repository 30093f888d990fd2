//! The settings of a gateway: query classes, kinds of engine, and the parameters of the rules.

use super::Micros;

/// Whether a query of a class may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// A query may run any number of times.
    #[default]
    Idempotent,
    /// The engines of one group discard duplicates of a query for a limited time.
    Deduplicated,
    /// A query must never run twice.
    AtMostOnce,
}

/// The engines that discard each other's duplicates of a deduplicated query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DedupGroup {
    /// All engines form one group.
    #[default]
    All,
    /// The engines of each zone form a group.
    Zone,
    /// The engines of each cell form a group.
    Cell,
}

/// The settings of one class of queries.
#[derive(Debug, Clone, Default)]
pub struct Class {
    /// How long a client waits for an answer.
    pub deadline: Option<Micros>,
    /// The time within which an answer earns the full priority weight. `objective_stretch`
    /// extends it.
    pub latency_objective: Option<Micros>,
    /// The objective is extended by this number times the query's work divided by its threads.
    pub objective_stretch: Option<f64>,
    /// The priority weight of one query, relative to those of other classes.
    pub priority_weight: Option<f64>,
    /// The fraction of the priority weight that an answer after the objective earns, 0 to 1.
    pub late_weight_fraction: Option<f64>,
    /// Whether a query may run more than once.
    pub idempotency: Idempotency,
    /// The engines that discard each other's duplicates. It applies to deduplicated classes.
    pub dedup_group: DedupGroup,
    /// How long engines remember a query, counted from its first attempt. It applies to
    /// deduplicated classes.
    pub dedup_window: Option<Micros>,
    /// Whether queries with the same ordering key run one at a time, in order of arrival.
    pub ordered_by_key: bool,
    /// The zones in which the class may run. `None` allows all zones.
    pub allowed_zones: Option<Vec<u32>>,
    /// The kinds of engine on which the class may run. `None` allows all kinds.
    pub allowed_kinds: Option<Vec<u32>>,
    /// The number of threads that a query runs on.
    pub threads: Option<f64>,
    /// Whether a query locks its group of tables on its engine while it runs.
    pub is_bulk_load: bool,
    /// Whether a query waits on its engine while a bulk load locks its group of tables.
    pub waits_for_bulk_loads: bool,
}

/// The size of the engines of one kind.
#[derive(Debug, Clone, Default)]
pub struct EngineKind {
    /// The number of cores of one engine.
    pub cores: Option<f64>,
    /// The memory of one engine in megabytes.
    pub memory_mb: Option<f64>,
}

/// The limit on retries: attempts beyond the first of each query.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// The number of retries allowed in any window, however few queries arrive.
    pub min_retries: f64,
    /// The number of additional retries for each query that arrived in the window.
    pub retry_ratio: f64,
    /// The length of the sliding window in which arrivals and retries are counted.
    pub window: Micros,
}

/// The settings of a gateway.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The number of gateways that share the engines, this one included.
    pub gateways: Option<u32>,
    /// The zone of this gateway.
    pub zone: Option<u32>,
    /// The query classes. [`NewQuery::class`](super::NewQuery::class) is an index into them.
    pub classes: Vec<Class>,
    /// The kinds of engine. [`Engine::kind`](super::Engine::kind) is an index into them.
    pub engine_kinds: Vec<EngineKind>,
    /// The quota of each tenant in queries per second, over all gateways. No rule uses it.
    pub tenant_quota_per_s: Vec<Option<f64>>,
    /// The weight of a query beyond its tenant's quota, relative to one within it. No rule uses it.
    pub over_quota_weight: Option<f64>,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether engines can be health-checked. No rule uses it.
    pub can_health_check: bool,
    /// Whether load reports come with health checks only. No rule uses it.
    pub reports_by_health_check: bool,
    /// Whether load reports contain the utilisation.
    pub reports_utilisation: bool,
    /// The maximum number of attempts of one query, the first included.
    pub max_attempts: Option<u32>,
    /// Whether a query may have two attempts out at a time. No rule uses it: a query never has
    /// more than one attempt out.
    pub hedged_requests: bool,
    /// The longest retry-after time that clients honour. `None` if clients get no such time.
    pub max_retry_after: Option<Micros>,
    /// Whether engines apply memory grants.
    pub memory_grants: bool,
    /// The largest fraction of an engine's memory that one query is granted.
    pub max_grant_fraction: Option<f64>,
    /// Whether engines apply priorities.
    pub priorities: bool,
    /// The time between progress reports. `None` if attempts report no progress.
    pub progress_period: Option<Micros>,
    /// How long after the deadline a final answer still counts as given in time.
    pub answer_grace: Option<Micros>,
    /// The minimum fraction of its capacity that an engine has when it starts.
    pub slow_start_initial_fraction: Option<f64>,
    /// The time after its start at which an engine has its full capacity.
    pub slow_start_window: Option<Micros>,
    /// The multiple of its present capacity that overloads an engine while it warms up. The engine
    /// fails if it gets more than that throughout the `collapse_window`.
    pub collapse_load_multiple: Option<f64>,
    /// The time over which the load of an engine that warms up is measured. See
    /// `collapse_load_multiple`.
    pub collapse_window: Option<Micros>,
    /// How long an ordering key is blocked after an attempt that may still run.
    pub key_release_delay: Option<Micros>,
    /// The budget for attempts beyond the first. `None` sets no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Whether the engine list is sent to subscribers only.
    pub list_needs_subscription: bool,
}
