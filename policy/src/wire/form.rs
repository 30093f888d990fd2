//! The form of the wire's lines: what may stand in them, under the wire's own names. Nothing is decided here.

use serde::{Deserialize, Serialize};

#[derive(Debug, Deserialize)]
pub(super) struct Batch {
    pub(super) clock: f64,
    pub(super) events: Vec<Line>,
}

/// Every field that an event may carry; `cmd` tells which of them matter.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Line {
    pub(super) cmd: String,
    pub(super) gateway: Option<u32>,
    pub(super) salt: Option<u64>,
    pub(super) settings: Option<WireSettings>,
    pub(super) slot: Option<u8>,
    pub(super) lines: Option<Vec<Entry>>,
    pub(super) how: Option<Scope>,
    pub(super) rid: Option<String>,
    pub(super) ram_mb: Option<f64>,
    pub(super) band: Option<u32>,
    pub(super) cost: Option<f64>,
    pub(super) state_bits: Option<u32>,
    pub(super) order_key: Option<String>,
    pub(super) remaining: Option<f64>,
    pub(super) tables: Option<f64>,
    pub(super) project: Option<u32>,
    pub(super) round_no: Option<u32>,
    pub(super) node: Option<String>,
    pub(super) topic: Option<u32>,
    pub(super) value: Option<f64>,
    pub(super) delay_seen: Option<f64>,
    #[serde(default)]
    pub(super) settled: bool,
    pub(super) status: Option<Status>,
    pub(super) stats: Option<u64>,
    pub(super) metrics: Option<Vec<f64>>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Entry {
    pub(super) node: String,
    #[serde(default)]
    pub(super) dc: u32,
    #[serde(default)]
    pub(super) flavor: u32,
    #[serde(default)]
    pub(super) unit_group: u32,
    pub(super) state: State,
    pub(super) ready_at: Option<f64>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum State {
    InService,
    Terminating,
    Terminated,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Scope {
    Patch,
    Whole,
    StaleCopy,
    Broken,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Status {
    Completed,
    Errored,
    Saturated,
    Overdue,
    RefusedConn,
    Severed,
    Recalled,
    Superseded,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireSettings {
    pub(super) balancers: Option<u32>,
    pub(super) locality: Option<u32>,
    pub(super) classes: Vec<WireClass>,
    pub(super) kinds: Vec<serde::de::IgnoredAny>,
    pub(super) domain: Domain,
    pub(super) feedback: Feedback,
    pub(super) limits: Limits,
    pub(super) over_share_worth: Option<f64>,
    pub(super) realms: Vec<Realm>,
    pub(super) rules: Rules,
    pub(super) discovery: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct WireClass {
    pub(super) aim_stretch: Option<f64>,
    pub(super) credit: Option<f64>,
    pub(super) deadline: Option<f64>,
    pub(super) effect: Option<WireEffect>,
    pub(super) group: Option<WireGroup>,
    pub(super) late_worth: Option<f64>,
    pub(super) objective: Option<f64>,
    pub(super) window: Option<f64>,
    pub(super) by_arrival: bool,
    pub(super) kinds_only: Option<Vec<u32>>,
    pub(super) stays_in: Option<Vec<u32>>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WireEffect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WireGroup {
    All,
    Zone,
    Cell,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Domain {
    pub(super) class_waits: Vec<bool>,
    pub(super) grants: bool,
    pub(super) is_load: Vec<bool>,
    pub(super) memory_by_kind_mb: Vec<f64>,
    pub(super) most_grant: Option<f64>,
    pub(super) note_period: Option<f64>,
    pub(super) parallelism: Vec<f64>,
    pub(super) priorities: bool,
    pub(super) size_cores: Vec<f64>,
    pub(super) tells_cost: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Feedback {
    pub(super) fields: Vec<String>,
    pub(super) via: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Limits {
    pub(super) cancel: bool,
    pub(super) max_attempts: Option<u32>,
    pub(super) max_retry_after: Option<f64>,
    pub(super) probes: bool,
    pub(super) retry_after: bool,
    pub(super) second_copies: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Rules {
    pub(super) cold: Option<f64>,
    pub(super) cold_share: Option<f64>,
    pub(super) fall: Option<f64>,
    pub(super) fall_multiple: Option<f64>,
    pub(super) grace_to_answer: Option<f64>,
    pub(super) turn_gap: Option<f64>,
    pub(super) free_resends: Option<f64>,
    pub(super) extra_share: Option<f64>,
    pub(super) resend_span: Option<f64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Realm {
    pub(super) allowance_per_s: Option<f64>,
}

#[derive(Debug, Serialize)]
pub(super) struct Reply {
    pub(super) r#do: Vec<Answer>,
}

#[derive(Debug, Serialize)]
#[serde(tag = "cmd", rename_all = "kebab-case")]
pub(super) enum Answer {
    HandOff {
        gateway: u32,
        rid: String,
        node: String,
        within: f64,
    },
    Terms {
        gateway: u32,
        rid: String,
        memory: f64,
        rank: u8,
    },
    DropAttempt {
        gateway: u32,
        rid: String,
        #[serde(rename = "round-no")]
        round_no: u32,
    },
    Shed {
        gateway: u32,
        rid: String,
        #[serde(rename = "stay-away")]
        stay_away: f64,
    },
    RespondError {
        gateway: u32,
        rid: String,
    },
    Timer {
        gateway: u32,
        moment: f64,
        nonce: &'static str,
    },
    Follow {
        gateway: u32,
        active: bool,
    },
}
