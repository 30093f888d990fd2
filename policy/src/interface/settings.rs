//! What the module is told at its start: classes, kinds of engine, and the rules' figures. Nothing
//! here decides.

use super::Micros;

/// What repeating a query of a class does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// It may be repeated and refused freely.
    #[default]
    Idempotent,
    /// Engines of one group discard repeats for a while.
    Deduplicated,
    /// It must never run twice.
    AtMostOnce,
}

/// The engines that discard each other's repeats of a deduplicated query.
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
    /// How long a client waits in all.
    pub deadline: Option<Micros>,
    /// Answered within this (plus the stretch), a query earns its full worth.
    pub aim: Option<Micros>,
    /// The aim grows by this multiple of the work over the threads.
    pub aim_stretch: Option<f64>,
    /// The worth of one query.
    pub worth: Option<f64>,
    /// The share of the worth that an answer after the aim still earns.
    pub late_worth: Option<f64>,
    /// What a repeat does.
    pub effect: Effect,
    /// For deduplicated classes: who discards repeats.
    pub dedup_group: DedupGroup,
    /// For deduplicated classes: for how long.
    pub dedup_window: Option<Micros>,
    /// Queries of one key run one at a time, in order.
    pub by_arrival: bool,
    /// The only zones allowed, if bound.
    pub only_zones: Option<Vec<u32>>,
    /// The only kinds allowed, if bound.
    pub only_kinds: Option<Vec<u32>>,
    /// Threads that a query runs on.
    pub threads: Option<f64>,
    /// It holds its group of tables on its engine while it runs.
    pub is_load: bool,
    /// It stands still while a load holds its group.
    pub waits_for_loads: bool,
}

/// One kind of engine.
#[derive(Debug, Clone, Default)]
pub struct Kind {
    /// Cores of one engine.
    pub cores: Option<f64>,
    /// Memory of one engine.
    pub memory_mb: Option<f64>,
}

/// The limit on attempts beyond each query's first.
#[derive(Debug, Clone, Copy)]
pub struct ResendBudget {
    /// Extra attempts allowed in any span.
    pub free: f64,
    /// Further ones for each query taken in that span.
    pub share: f64,
    /// The span.
    pub span: Micros,
}

/// What a gateway is told at its start.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Number of gateways in front of the same engines.
    pub gateways: Option<u32>,
    /// The zone of this gateway.
    pub zone: Option<u32>,
    /// The classes, by number.
    pub classes: Vec<Class>,
    /// The kinds of engine, by number.
    pub kinds: Vec<Kind>,
    /// Each tenant's queries a second within its share, over all gateways.
    pub tenant_quota_per_s: Vec<Option<f64>>,
    /// What a query beyond its tenant's share is worth against one within it.
    pub over_share_worth: Option<f64>,
    /// Attempts can be withdrawn.
    pub can_cancel: bool,
    /// Engines can be probed.
    pub can_probe: bool,
    /// Load reports come with probes only.
    pub reports_by_probe: bool,
    /// Load reports tell utilisation.
    pub reports_utilisation: bool,
    /// Attempts allowed for a query.
    pub max_attempts: Option<u32>,
    /// A query may have two attempts out.
    pub second_copies: bool,
    /// The longest retry-after that clients honour; `None` where they get none.
    pub max_retry_after: Option<Micros>,
    /// Memory grants are heeded.
    pub grants: bool,
    /// The share of an engine's memory that one query gets at most.
    pub most_grant: Option<f64>,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Time between notes of progress; `None` where there are none.
    pub note_period: Option<Micros>,
    /// How long after the deadline a final answer still counts.
    pub grace_to_answer: Option<Micros>,
    /// A fresh engine starts with at least this share of its capacity ...
    pub cold_share: Option<f64>,
    /// ... and is warm after this long.
    pub cold: Option<Micros>,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: Option<f64>,
    /// ... for this long, a cold engine falls over.
    pub fall: Option<Micros>,
    /// How long a key rests after an attempt that may still run.
    pub turn_gap: Option<Micros>,
    /// The budget for further attempts.
    pub resend_budget: Option<ResendBudget>,
    /// The engine list must be asked for.
    pub list_on_request: bool,
}
