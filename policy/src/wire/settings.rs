//! Defines the JSON of the settings, and converts it to [`Settings`].

use serde::Deserialize;

use super::{micros, report_field, WireError};
use crate::interface::{Class, DedupGroup, EngineKind, Idempotency, RetryBudget, Settings};

/// The settings of one gateway, as the event `boot` contains them.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireSettings {
    #[serde(rename = "balancers")]
    gateways: Option<u32>,
    #[serde(rename = "locality")]
    zone: Option<u32>,
    classes: Vec<WireClass>,
    #[serde(rename = "kinds")]
    engine_kinds: Vec<serde::de::IgnoredAny>,
    domain: Domain,
    feedback: Feedback,
    limits: Limits,
    #[serde(rename = "over-share-worth")]
    over_quota_weight: Option<f64>,
    #[serde(rename = "realms")]
    tenants: Vec<WireTenant>,
    rules: Rules,
    discovery: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct WireClass {
    #[serde(rename = "aim-stretch")]
    objective_stretch: Option<f64>,
    #[serde(rename = "credit")]
    priority_weight: Option<f64>,
    deadline: Option<f64>,
    #[serde(rename = "effect")]
    idempotency: Option<WireIdempotency>,
    #[serde(rename = "group")]
    dedup_group: Option<WireDedupGroup>,
    #[serde(rename = "late-worth")]
    late_weight_fraction: Option<f64>,
    #[serde(rename = "objective")]
    latency_objective: Option<f64>,
    #[serde(rename = "window")]
    dedup_window: Option<f64>,
    #[serde(rename = "by-arrival")]
    ordered_by_key: bool,
    #[serde(rename = "kinds-only")]
    allowed_kinds: Option<Vec<u32>>,
    #[serde(rename = "stays-in")]
    allowed_zones: Option<Vec<u32>>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireIdempotency {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireDedupGroup {
    All,
    Zone,
    Cell,
}

/// The settings that are specific to query engines. Lists are indexed by the number of the class or
/// of the kind of engine.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Domain {
    #[serde(rename = "class-waits")]
    waits_for_bulk_loads: Vec<bool>,
    #[serde(rename = "grants")]
    memory_grants: bool,
    #[serde(rename = "is-load")]
    is_bulk_load: Vec<bool>,
    memory_by_kind_mb: Vec<f64>,
    #[serde(rename = "most-grant")]
    max_grant_fraction: Option<f64>,
    #[serde(rename = "note-period")]
    progress_period: Option<f64>,
    #[serde(rename = "parallelism")]
    threads: Vec<f64>,
    priorities: bool,
    #[serde(rename = "size-cores")]
    cores: Vec<f64>,
    #[serde(rename = "tells-cost")]
    reports_cost: bool,
}

/// The settings of load reports: the names of their values in order, and how they are sent.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Feedback {
    fields: Vec<String>,
    via: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Limits {
    #[serde(rename = "cancel")]
    can_cancel: bool,
    max_attempts: Option<u32>,
    max_retry_after: Option<f64>,
    #[serde(rename = "probes")]
    can_health_check: bool,
    #[serde(rename = "retry-after")]
    clients_get_retry_after: bool,
    #[serde(rename = "second-copies")]
    hedged_requests: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Rules {
    #[serde(rename = "cold")]
    slow_start_window: Option<f64>,
    #[serde(rename = "cold-share")]
    slow_start_initial_fraction: Option<f64>,
    #[serde(rename = "fall")]
    collapse_window: Option<f64>,
    #[serde(rename = "fall-multiple")]
    collapse_load_multiple: Option<f64>,
    #[serde(rename = "grace-to-answer")]
    answer_grace: Option<f64>,
    #[serde(rename = "turn-gap")]
    key_release_delay: Option<f64>,
    #[serde(rename = "free-resends")]
    min_retries: Option<f64>,
    #[serde(rename = "extra-share")]
    retry_ratio: Option<f64>,
    #[serde(rename = "resend-span")]
    retry_window: Option<f64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, expecting = "struct Realm")]
struct WireTenant {
    #[serde(rename = "allowance-per-s")]
    quota_per_s: Option<f64>,
}

/// Reads a settings object as the event `boot` contains it, for an embedding that receives the
/// object in another way.
///
/// # Errors
///
/// Returns an error if a field is malformed. The error names the field.
pub fn settings_from_json(object: &serde_json::Value) -> Result<Settings, WireError> {
    let settings: WireSettings = serde_path_to_error::deserialize(object)?;
    Ok(settings.convert())
}

impl WireSettings {
    /// Converts to the settings of the interface.
    pub(super) fn convert(&self) -> Settings {
        let (domain, limits, rules) = (&self.domain, &self.limits, &self.rules);
        let retry_after = limits.max_retry_after;
        Settings {
            gateways: self.gateways,
            zone: self.zone,
            classes: self.classes(),
            engine_kinds: self.engine_kinds(),
            tenant_quota_per_s: self.tenants.iter().map(|t| t.quota_per_s).collect(),
            over_quota_weight: self.over_quota_weight,
            can_cancel: limits.can_cancel,
            can_health_check: limits.can_health_check,
            reports_by_health_check: self.feedback.via.as_deref() == Some("probe"),
            reports_utilisation: self.report_field(report_field::CPU_UTILISATION).is_some(),
            max_attempts: limits.max_attempts,
            hedged_requests: limits.hedged_requests,
            max_retry_after: retry_after
                .filter(|_| limits.clients_get_retry_after)
                .map(micros),
            memory_grants: domain.memory_grants,
            max_grant_fraction: domain.max_grant_fraction,
            priorities: domain.priorities,
            progress_period: domain.progress_period.filter(|p| *p > 0.0).map(micros),
            answer_grace: rules.answer_grace.map(micros),
            slow_start_initial_fraction: rules.slow_start_initial_fraction,
            slow_start_window: rules.slow_start_window.map(micros),
            collapse_load_multiple: rules.collapse_load_multiple,
            collapse_window: rules.collapse_window.map(micros),
            key_release_delay: rules.key_release_delay.map(micros),
            retry_budget: rules.retry_budget(),
            list_needs_subscription: self.discovery.as_deref() == Some("on_request"),
        }
    }

    /// Returns whether answers report the cost of their query.
    pub(super) fn reports_cost(&self) -> bool {
        self.domain.reports_cost
    }

    /// Returns the index of a value in load reports, or `None` if they do not contain it.
    pub(super) fn report_field(&self, name: &str) -> Option<usize> {
        self.feedback.fields.iter().position(|field| field == name)
    }

    fn classes(&self) -> Vec<Class> {
        let classes = self.classes.iter().enumerate();
        classes
            .map(|(number, class)| class.convert(number, &self.domain))
            .collect()
    }

    fn engine_kinds(&self) -> Vec<EngineKind> {
        let domain = &self.domain;
        let count = self.engine_kinds.len().max(domain.cores.len());
        let kind = |number| EngineKind {
            cores: domain.cores.get(number).copied(),
            memory_mb: domain.memory_by_kind_mb.get(number).copied(),
        };
        (0..count).map(kind).collect()
    }
}

impl WireClass {
    fn convert(&self, number: usize, domain: &Domain) -> Class {
        let flag = |flags: &[bool]| flags.get(number).copied().unwrap_or(false);
        Class {
            deadline: self.deadline.map(micros),
            latency_objective: self.latency_objective.map(micros),
            objective_stretch: self.objective_stretch,
            priority_weight: self.priority_weight,
            late_weight_fraction: self.late_weight_fraction,
            idempotency: match self.idempotency {
                None | Some(WireIdempotency::Idempotent) => Idempotency::Idempotent,
                Some(WireIdempotency::Deduplicated) => Idempotency::Deduplicated,
                Some(WireIdempotency::AtMostOnce) => Idempotency::AtMostOnce,
            },
            dedup_group: match self.dedup_group {
                None | Some(WireDedupGroup::All) => DedupGroup::All,
                Some(WireDedupGroup::Zone) => DedupGroup::Zone,
                Some(WireDedupGroup::Cell) => DedupGroup::Cell,
            },
            dedup_window: self.dedup_window.map(micros),
            ordered_by_key: self.ordered_by_key,
            allowed_zones: self.allowed_zones.clone(),
            allowed_kinds: self.allowed_kinds.clone(),
            threads: domain.threads.get(number).copied(),
            is_bulk_load: flag(&domain.is_bulk_load),
            waits_for_bulk_loads: flag(&domain.waits_for_bulk_loads),
        }
    }
}

impl Rules {
    /// Returns the retry budget, or `None` if the settings lack its window or both of the minimum
    /// and the ratio of retries.
    fn retry_budget(&self) -> Option<RetryBudget> {
        let window = self.retry_window?;
        if self.min_retries.is_none() && self.retry_ratio.is_none() {
            return None;
        }
        Some(RetryBudget {
            min_retries: self.min_retries.unwrap_or(0.0),
            retry_ratio: self.retry_ratio.unwrap_or(0.0),
            window: micros(window),
        })
    }
}
