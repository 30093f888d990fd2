//! The scenarios: full and minimal settings, with few and with many engines.
//!
//! The names of the scenarios stay, since the digests are stored under them. They mean:
//!
//! - all told: full settings, load reports and costs;
//! - untold: no load reports and no costs;
//! - bare: minimal settings, no load reports and no costs;
//! - nothing known: classes without settings, no other settings, no load reports and no costs;
//! - no notes: no progress reports;
//! - thin parts: the gateway's fair share of each engine is less than a thread;
//! - sampled: placement samples engines;
//! - all looked at: placement scans all engines.
//!
//! The scenario with "3 gateways" starts with two gateways in its settings.

use violetgate_policy::interface::{Class, DedupGroup, EngineKind, Idempotency, RetryBudget};
use violetgate_policy::Settings;

use super::{Scenario, MS, S};

fn class(idempotency: Idempotency) -> Class {
    Class {
        deadline: Some(10 * S),
        latency_objective: Some(2 * S),
        late_weight_fraction: Some(0.8),
        idempotency,
        threads: Some(1.0),
        ..Class::default()
    }
}

/// Classes of each idempotency, with and without allowed zones, ordered by key, for bulk loads and
/// waiting for bulk loads.
fn classes() -> Vec<Class> {
    let short = Class {
        latency_objective: Some(600 * MS),
        priority_weight: Some(4.0),
        late_weight_fraction: Some(0.1),
        ..class(Idempotency::Idempotent)
    };
    let long = Class {
        objective_stretch: Some(2.0),
        threads: Some(4.0),
        waits_for_bulk_loads: true,
        ..class(Idempotency::Idempotent)
    };
    let deduplicated = |dedup_group, window| Class {
        dedup_group,
        dedup_window: Some(window),
        ..class(Idempotency::Deduplicated)
    };
    let by_key = Class {
        ordered_by_key: true,
        ..deduplicated(DedupGroup::Zone, 3 * S)
    };
    let bulk_load = Class {
        is_bulk_load: true,
        threads: Some(2.0),
        ..class(Idempotency::Idempotent)
    };
    let bound = Class {
        allowed_zones: Some(vec![0, 1]),
        allowed_kinds: Some(vec![0]),
        ..short.clone()
    };
    vec![
        short,
        long,
        class(Idempotency::AtMostOnce),
        deduplicated(DedupGroup::All, 4 * S),
        by_key,
        bulk_load,
        bound,
        deduplicated(DedupGroup::Cell, 3 * S),
    ]
}

fn kinds() -> Vec<EngineKind> {
    let kind = |cores, memory_mb| EngineKind {
        cores: Some(cores),
        memory_mb: Some(memory_mb),
    };
    vec![kind(4.0, 1_000.0), kind(8.0, 2_000.0)]
}

/// Settings with a value for every field.
fn full_settings(gateways: u32) -> Settings {
    Settings {
        gateways: Some(gateways),
        zone: Some(1),
        classes: classes(),
        engine_kinds: kinds(),
        tenant_quota_per_s: vec![Some(20.0), None],
        over_quota_weight: Some(0.5),
        can_cancel: true,
        can_health_check: true,
        reports_by_health_check: false,
        reports_utilisation: true,
        max_attempts: Some(4),
        hedged_requests: false,
        max_retry_after: Some(3 * S),
        memory_grants: true,
        max_grant_fraction: Some(0.6),
        priorities: true,
        progress_period: Some(400 * MS),
        answer_grace: Some(20 * MS),
        slow_start_initial_fraction: Some(0.2),
        slow_start_window: Some(5 * S),
        collapse_load_multiple: Some(1.5),
        collapse_window: Some(S),
        key_release_delay: Some(300 * MS),
        retry_budget: Some(budget()),
        list_needs_subscription: true,
    }
}

/// Settings with the classes, the engine kinds and optionally the number of gateways.
fn minimal_settings(gateways: Option<u32>) -> Settings {
    Settings {
        gateways,
        classes: classes(),
        engine_kinds: kinds(),
        ..Settings::default()
    }
}

fn budget() -> RetryBudget {
    RetryBudget {
        min_retries: 4.0,
        retry_ratio: 0.3,
        window: 2 * S,
    }
}

/// Returns a scenario with load reports and costs. `gap` is in milliseconds.
fn scenario(seed: u64, engines: u32, gap: u64, settings: Settings) -> Scenario {
    Scenario {
        seed,
        engines,
        events: 15_000,
        gap: gap * MS,
        reports_cost: true,
        reports: true,
        settings,
    }
}

/// Returns the scenario without load reports and costs.
fn without_feedback(scenario: Scenario) -> Scenario {
    Scenario {
        reports_cost: false,
        reports: false,
        ..scenario
    }
}

fn without_progress_reports(settings: Settings) -> Settings {
    Settings {
        progress_period: None,
        ..settings
    }
}

fn without_reports(settings: Settings) -> Settings {
    Settings {
        reports_utilisation: false,
        ..settings
    }
}

fn with_cancel(settings: Settings) -> Settings {
    Settings {
        can_cancel: true,
        max_attempts: Some(3),
        ..settings
    }
}

fn few_engines() -> Vec<(&'static str, Scenario)> {
    let unlimited = Settings {
        retry_budget: None,
        zone: None,
        ..full_settings(2)
    };
    let without_settings = Settings {
        classes: vec![Class::default(); 3],
        ..Settings::default()
    };
    let no_progress_reports = without_reports(without_progress_reports(full_settings(2)));
    vec![
        ("8 engines, all told", scenario(1, 8, 10, full_settings(1))),
        (
            "8 engines, 3 gateways, overload",
            scenario(2, 8, 5, unlimited),
        ),
        (
            "8 engines, bare",
            without_feedback(scenario(3, 8, 10, minimal_settings(None))),
        ),
        (
            "8 engines, nothing known",
            without_feedback(scenario(4, 8, 20, without_settings)),
        ),
        (
            "8 engines, no notes, no costs",
            without_feedback(scenario(5, 8, 10, no_progress_reports)),
        ),
    ]
}

fn many_engines() -> Vec<(&'static str, Scenario)> {
    let no_progress_reports = without_reports(without_progress_reports(full_settings(150)));
    vec![
        (
            "80 engines, all told",
            scenario(6, 80, 2, full_settings(12)),
        ),
        (
            "80 engines, no costs, grants",
            without_feedback(scenario(7, 80, 3, without_reports(full_settings(10)))),
        ),
        (
            "80 engines, thin parts",
            scenario(8, 80, 10, full_settings(100)),
        ),
        (
            "80 engines, thin parts, untold",
            without_feedback(scenario(
                9,
                80,
                10,
                with_cancel(minimal_settings(Some(100))),
            )),
        ),
        (
            "300 engines, sampled",
            scenario(10, 300, 4, without_progress_reports(full_settings(200))),
        ),
        (
            "300 engines, sampled, untold",
            without_feedback(scenario(11, 300, 4, no_progress_reports)),
        ),
        (
            "300 engines, all looked at",
            scenario(12, 300, 2, full_settings(8)),
        ),
    ]
}

/// All scenarios, each with its name.
pub fn all() -> Vec<(&'static str, Scenario)> {
    few_engines().into_iter().chain(many_engines()).collect()
}
