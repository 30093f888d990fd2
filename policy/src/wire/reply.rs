//! Defines the JSON of a reply, and converts it from [`Action`].

use serde::Serialize;

use super::{seconds, EngineNames};
use crate::Action;

/// The reply to a line from the simulator.
#[derive(Debug, Serialize)]
pub(super) struct Reply {
    #[serde(rename = "do")]
    pub(super) actions: Vec<WireAction>,
}

/// One action of one gateway.
#[derive(Debug, Serialize)]
#[serde(tag = "cmd")]
pub(super) enum WireAction {
    #[serde(rename = "hand-off")]
    Send {
        gateway: u32,
        #[serde(rename = "rid")]
        query: String,
        #[serde(rename = "node")]
        engine: String,
        #[serde(rename = "within")]
        timeout: f64,
    },
    #[serde(rename = "terms")]
    SetResources {
        gateway: u32,
        #[serde(rename = "rid")]
        query: String,
        #[serde(rename = "memory")]
        memory_mb: f64,
        #[serde(rename = "rank")]
        priority: u8,
    },
    #[serde(rename = "drop-attempt")]
    Cancel {
        gateway: u32,
        #[serde(rename = "rid")]
        query: String,
        #[serde(rename = "round-no")]
        attempt: u32,
    },
    #[serde(rename = "shed")]
    Reject {
        gateway: u32,
        #[serde(rename = "rid")]
        query: String,
        #[serde(rename = "stay-away")]
        retry_after: f64,
    },
    #[serde(rename = "respond-error")]
    Fail {
        gateway: u32,
        #[serde(rename = "rid")]
        query: String,
    },
    #[serde(rename = "timer")]
    SetTimer {
        gateway: u32,
        #[serde(rename = "moment")]
        at: f64,
        /// The simulator returns this name with the timer event. A gateway uses only one name.
        #[serde(rename = "nonce")]
        name: &'static str,
    },
    #[serde(rename = "follow")]
    SubscribeEngineList { gateway: u32, active: bool },
}

impl WireAction {
    /// Converts an action of the gateway with the number `gateway`.
    pub(super) fn of(action: Action, gateway: u32, names: &EngineNames) -> Self {
        let hex = |query| format!("{query:016x}");
        match action {
            Action::SetResources {
                query,
                memory_mb,
                priority,
            } => WireAction::SetResources {
                gateway,
                query: hex(query),
                memory_mb,
                priority,
            },
            Action::Send {
                query,
                engine,
                timeout,
            } => WireAction::Send {
                gateway,
                query: hex(query),
                engine: names.name(engine),
                timeout: seconds(timeout),
            },
            Action::Cancel { query, attempt } => WireAction::Cancel {
                gateway,
                query: hex(query),
                attempt,
            },
            Action::Reject { query, retry_after } => WireAction::Reject {
                gateway,
                query: hex(query),
                retry_after: seconds(retry_after),
            },
            Action::Fail { query } => WireAction::Fail {
                gateway,
                query: hex(query),
            },
            Action::SetTimer { at } => WireAction::SetTimer {
                gateway,
                at: seconds(at),
                name: "wake",
            },
            Action::SubscribeEngineList => WireAction::SubscribeEngineList {
                gateway,
                active: true,
            },
        }
    }
}
