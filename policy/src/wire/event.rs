//! Defines the JSON of an event, and converts it to [`crate::Event`].

use std::collections::BTreeMap;

use serde::Deserialize;

use super::settings::WireSettings;
use super::{command, micros, report_field, EngineNames, EventError};
use crate::interface::{
    AttemptEnded, Cost, Engine, EngineState, ListScope, LoadReport, NewQuery, Outcome, Progress,
    QueryId,
};
use crate::Event;

/// The bit of `state-bits` that says that the estimate of the query's work is valid.
const HAS_ESTIMATE: u32 = 1;
/// The bit of `state-bits` that says that the client marked the query as a retry.
const IS_CLIENT_RETRY: u32 = 2;
/// The number of low bits of `stats` that hold the memory of a query, in units of
/// `MEMORY_UNIT_MB`. The other bits hold the work in milliseconds.
const MEMORY_BITS: u32 = 12;
/// The unit of memory in `stats`, in megabytes.
const MEMORY_UNIT_MB: f64 = 4.0;
const MICROS_PER_MILLISECOND: u64 = 1000;

/// The kinds of progress: the values of the field `topic`. They define the meaning of `value`.
mod topic {
    /// The value is the fraction of the work that is done, 0 to 1.
    pub const FRACTION_DONE: u32 = 1;
    /// The value is the memory that the attempt lacks, in megabytes.
    pub const SPILLING: u32 = 2;
    /// The attempt is queued at the engine. The value says what it waits for.
    pub const WAITING: u32 = 3;
}
/// The value of `WAITING` for an attempt that waits for memory.
const FOR_MEMORY: i64 = 1;
/// The value of `WAITING` for an attempt that waits for a bulk load.
const FOR_BULK_LOAD: i64 = 2;

/// The fields that an event may have. The command determines which of them are required.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", expecting = "struct Line")]
pub(super) struct EventLine {
    #[serde(rename = "cmd")]
    pub(super) command: String,
    pub(super) gateway: Option<u32>,
    #[serde(rename = "salt")]
    pub(super) seed: Option<u64>,
    pub(super) settings: Option<WireSettings>,
    slot: Option<u8>,
    #[serde(rename = "lines")]
    entries: Option<Vec<ListEntry>>,
    #[serde(rename = "how")]
    scope: Option<WireScope>,
    #[serde(rename = "rid")]
    query: Option<String>,
    #[serde(rename = "ram-mb")]
    estimated_memory_mb: Option<f64>,
    #[serde(rename = "band")]
    class: Option<u32>,
    #[serde(rename = "cost")]
    estimated_work: Option<f64>,
    state_bits: Option<u32>,
    #[serde(rename = "order-key")]
    ordering_key: Option<String>,
    #[serde(rename = "remaining")]
    client_timeout: Option<f64>,
    #[serde(rename = "tables")]
    table_group: Option<f64>,
    #[serde(rename = "project")]
    tenant: Option<u32>,
    #[serde(rename = "round-no")]
    attempt: Option<u32>,
    #[serde(rename = "node")]
    engine: Option<String>,
    topic: Option<u32>,
    value: Option<f64>,
    #[serde(rename = "delay-seen")]
    elapsed: Option<f64>,
    #[serde(rename = "settled", default)]
    query_answered: bool,
    status: Option<WireStatus>,
    #[serde(rename = "stats")]
    packed_cost: Option<u64>,
    #[serde(rename = "metrics")]
    report: Option<Vec<f64>>,
}

/// One entry of an engine list.
#[derive(Debug, Clone, Deserialize)]
#[serde(expecting = "struct Entry")]
pub(super) struct ListEntry {
    #[serde(rename = "node")]
    name: String,
    #[serde(rename = "dc", default)]
    zone: u32,
    #[serde(rename = "flavor", default)]
    kind: u32,
    #[serde(rename = "unit-group", default)]
    cell: u32,
    state: WireState,
    #[serde(rename = "ready-at")]
    started: Option<f64>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
enum WireState {
    #[serde(rename = "in_service")]
    Ready,
    #[serde(rename = "terminating")]
    Draining,
    #[serde(rename = "terminated")]
    Removed,
}

#[derive(Debug, Clone, Copy, Deserialize)]
enum WireScope {
    #[serde(rename = "patch")]
    Patch,
    #[serde(rename = "whole")]
    Snapshot,
    #[serde(rename = "stale_copy")]
    StaleSnapshot,
    #[serde(rename = "broken")]
    WatchFailed,
}

#[derive(Debug, Clone, Copy, Deserialize)]
enum WireStatus {
    #[serde(rename = "completed")]
    Completed,
    #[serde(rename = "errored")]
    Error,
    #[serde(rename = "saturated")]
    Overloaded,
    #[serde(rename = "overdue")]
    TimedOut,
    #[serde(rename = "refused_conn")]
    ConnectionRefused,
    #[serde(rename = "severed")]
    ConnectionLost,
    #[serde(rename = "recalled")]
    Cancelled,
    #[serde(rename = "superseded")]
    NeverSent,
}

impl From<WireState> for EngineState {
    fn from(state: WireState) -> Self {
        match state {
            WireState::Ready => EngineState::Ready,
            WireState::Draining => EngineState::Draining,
            WireState::Removed => EngineState::Removed,
        }
    }
}

impl From<WireScope> for ListScope {
    fn from(scope: WireScope) -> Self {
        match scope {
            WireScope::Patch => ListScope::Patch,
            WireScope::Snapshot => ListScope::Snapshot,
            WireScope::StaleSnapshot => ListScope::StaleSnapshot,
            WireScope::WatchFailed => ListScope::WatchFailed,
        }
    }
}

impl From<WireStatus> for Outcome {
    fn from(status: WireStatus) -> Self {
        match status {
            WireStatus::Completed => Outcome::Completed,
            WireStatus::Error => Outcome::Error,
            WireStatus::Overloaded => Outcome::Overloaded,
            WireStatus::TimedOut => Outcome::TimedOut,
            WireStatus::ConnectionRefused => Outcome::ConnectionRefused,
            WireStatus::ConnectionLost => Outcome::ConnectionLost,
            WireStatus::Cancelled => Outcome::Cancelled,
            WireStatus::NeverSent => Outcome::NeverSent,
        }
    }
}

impl EventLine {
    /// Returns the slot and the entries of a list that is stored for later events.
    pub(super) fn stored_list(self) -> Result<(u8, Vec<ListEntry>), EventError> {
        let slot = need(self.slot, "slot")?;
        Ok((slot, need(self.entries, "lines")?))
    }

    fn query(&self) -> Result<QueryId, EventError> {
        hex(need(self.query.as_deref(), "rid")?, "rid")
    }

    fn engine(&self) -> Result<&str, EventError> {
        need(self.engine.as_deref(), "node")
    }

    fn new_query(&self) -> Result<NewQuery, EventError> {
        let bits = self.state_bits.unwrap_or(0);
        let ordering_key = self.ordering_key.as_deref();
        let ordering_key = ordering_key.map(|key| hex(key, "order-key")).transpose()?;
        let estimate = self.estimated_work.filter(|_| bits & HAS_ESTIMATE != 0);
        Ok(NewQuery {
            id: self.query()?,
            class: need(self.class, "band")?,
            tenant: self.tenant.unwrap_or(0),
            estimated_work: estimate.map(micros),
            estimated_memory_mb: self.estimated_memory_mb.filter(|mb| *mb > 0.0),
            client_timeout: micros(need(self.client_timeout, "remaining")?),
            table_group: self.table_group.map(|group| group.max(0.0) as u64),
            ordering_key,
            is_client_retry: bits & IS_CLIENT_RETRY != 0,
            // The wire names no idempotency keys.
            earlier_run: None,
        })
    }

    /// Returns the progress that an event reports, or `None` if its kind is unknown.
    fn progress(&self) -> Result<Option<Progress>, EventError> {
        let value = self.value.unwrap_or(0.0);
        Ok(match (need(self.topic, "topic")?, value as i64) {
            (topic::FRACTION_DONE, _) => Some(Progress::FractionDone(value)),
            (topic::SPILLING, _) => Some(Progress::Spilling(value)),
            (topic::WAITING, FOR_MEMORY) => Some(Progress::WaitingForMemory),
            (topic::WAITING, FOR_BULK_LOAD) => Some(Progress::WaitingForBulkLoad),
            _ => None,
        })
    }

    fn cost(&self) -> Option<Cost> {
        let packed = self.packed_cost.filter(|packed| *packed > 0)?;
        let memory_units = packed & ((1 << MEMORY_BITS) - 1);
        Some(Cost {
            work: (packed >> MEMORY_BITS) * MICROS_PER_MILLISECOND,
            memory_mb: memory_units as f64 * MEMORY_UNIT_MB,
        })
    }
}

/// The index of each value in a load report, or `None` if reports do not contain the value.
#[derive(Debug)]
pub(super) struct ReportFields {
    cpu_utilisation: Option<usize>,
    disk_utilisation: Option<usize>,
    memory_utilisation: Option<usize>,
    memory_queue_length: Option<usize>,
}

impl ReportFields {
    /// Returns the indexes that the settings define.
    pub(super) fn of(settings: &WireSettings) -> Self {
        ReportFields {
            cpu_utilisation: settings.report_field(report_field::CPU_UTILISATION),
            disk_utilisation: settings.report_field(report_field::DISK_UTILISATION),
            memory_utilisation: settings.report_field(report_field::MEMORY_UTILISATION),
            memory_queue_length: settings.report_field(report_field::MEMORY_QUEUE_LENGTH),
        }
    }

    /// Converts the values of a load report. A value that is missing or negative is `None`.
    fn report(&self, row: Option<&[f64]>) -> LoadReport {
        let value = |place: Option<usize>| {
            let value = place.and_then(|place| row?.get(place).copied());
            value.filter(|value| *value >= 0.0)
        };
        LoadReport {
            cpu_utilisation: value(self.cpu_utilisation),
            disk_utilisation: value(self.disk_utilisation),
            memory_utilisation: value(self.memory_utilisation),
            memory_queue_length: value(self.memory_queue_length),
        }
    }
}

/// Converts the events of one gateway.
pub(super) struct Decoder<'a> {
    pub(super) names: &'a mut EngineNames,
    pub(super) lists: &'a BTreeMap<u8, Vec<ListEntry>>,
    pub(super) reports_cost: bool,
    pub(super) report_fields: &'a ReportFields,
}

impl Decoder<'_> {
    /// Converts an event. Returns `None` if the gateway has no use for it.
    pub(super) fn decode(mut self, line: &EventLine) -> Result<Option<Event>, EventError> {
        let event = match line.command.as_str() {
            command::ENGINE_LIST => self.engine_list(line)?,
            command::QUERY_ARRIVED => Event::QueryArrived(line.new_query()?),
            command::PROGRESS => {
                let Some(progress) = line.progress()? else {
                    return Ok(None);
                };
                Event::Progress {
                    query: line.query()?,
                    attempt: need(line.attempt, "round-no")?,
                    progress,
                }
            }
            command::RESPONSE_STARTED => Event::ResponseStarted {
                query: line.query()?,
            },
            command::ATTEMPT_ENDED => Event::AttemptEnded(self.attempt_ended(line)?),
            command::CLIENT_DISCONNECTED => Event::ClientDisconnected {
                query: line.query()?,
            },
            command::HEALTH_CHECKED => Event::HealthChecked {
                engine: self.names.id(line.engine()?),
                passed: matches!(need(line.status, "status")?, WireStatus::Completed),
                load: self.report_fields.report(line.report.as_deref()),
            },
            command::TIMER_FIRED => Event::TimerFired,
            command::GATEWAY_MESSAGE => return Ok(None),
            other => return Err(EventError::UnknownCommand(other.to_owned())),
        };
        Ok(Some(event))
    }

    fn engine_list(&mut self, line: &EventLine) -> Result<Event, EventError> {
        let scope = need(line.scope, "how")?.into();
        let mut engines = Vec::new();
        if scope != ListScope::WatchFailed {
            let slot = need(line.slot, "slot")?;
            let entries = self.lists.get(&slot).ok_or(EventError::UnknownList)?;
            engines.extend(entries.iter().map(|entry| Engine {
                id: self.names.id(&entry.name),
                zone: entry.zone,
                kind: entry.kind,
                cell: entry.cell,
                state: entry.state.into(),
                started: entry.started.filter(|at| *at > 0.0).map(micros),
            }));
        }
        Ok(Event::EngineList { scope, engines })
    }

    fn attempt_ended(&mut self, line: &EventLine) -> Result<AttemptEnded, EventError> {
        Ok(AttemptEnded {
            query: line.query()?,
            attempt: need(line.attempt, "round-no")?,
            engine: self.names.id(line.engine()?),
            outcome: need(line.status, "status")?.into(),
            query_answered: line.query_answered,
            elapsed: micros(line.elapsed.unwrap_or(0.0)),
            cost: line.cost().filter(|_| self.reports_cost),
            load: self.report_fields.report(line.report.as_deref()),
        })
    }
}

fn need<T>(value: Option<T>, field: &'static str) -> Result<T, EventError> {
    value.ok_or(EventError::MissingField(field))
}

/// Reads a number that is written as 16 lower-case hexadecimal digits.
fn hex(text: &str, field: &'static str) -> Result<u64, EventError> {
    let is_digit = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != 16 || !text.bytes().all(is_digit) {
        return Err(EventError::NotHex(field));
    }
    u64::from_str_radix(text, 16).map_err(|_| EventError::NotHex(field))
}
