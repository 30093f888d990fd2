//! The simulator's wire: one JSON line in, one out, and the conversion to and from [`crate::interface`].
//!
//! Nothing is decided here. A line that breaks the form is a [`WireError`] that names the field.

use std::collections::BTreeMap;
use std::fmt;

use crate::interface::{
    Action, Class, Cost, DedupGroup, Effect, Ended, Engine, EngineId, EngineState, Event, Kind,
    ListScope, Load, Micros, NewQuery, Outcome, Progress, QueryId, ResendBudget, Settings,
};
use crate::rules::Gateway;

mod form;

use form::{
    Answer, Batch, Entry, Line, Reply, Scope, State, Status, WireClass, WireEffect, WireGroup,
    WireSettings,
};

/// What was wrong with a line.
#[derive(Debug)]
pub struct WireError(String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}

fn hex(text: &str) -> Option<u64> {
    let plain = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    plain.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Reads a settings object, the one that `boot` carries, for an embedding that gets it some other way.
///
/// # Errors
///
/// The object breaks the form of the wire; the error names the field.
pub fn settings_from_json(object: &serde_json::Value) -> Result<Settings, WireError> {
    let wire: WireSettings = serde_path_to_error::deserialize(object)
        .map_err(|e| WireError(format!("field `{}`: {}", e.path(), e.inner())))?;
    Ok(settings(&wire))
}

fn settings(w: &WireSettings) -> Settings {
    let d = &w.domain;
    let class = |(i, c): (usize, &WireClass)| Class {
        deadline: c.deadline.map(micros),
        aim: c.objective.map(micros),
        aim_stretch: c.aim_stretch,
        worth: c.credit,
        late_worth: c.late_worth,
        effect: match c.effect {
            None | Some(WireEffect::Idempotent) => Effect::Idempotent,
            Some(WireEffect::Deduplicated) => Effect::Deduplicated,
            Some(WireEffect::AtMostOnce) => Effect::AtMostOnce,
        },
        dedup_group: match c.group {
            None | Some(WireGroup::All) => DedupGroup::All,
            Some(WireGroup::Zone) => DedupGroup::Zone,
            Some(WireGroup::Cell) => DedupGroup::Cell,
        },
        dedup_window: c.window.map(micros),
        by_arrival: c.by_arrival,
        only_zones: c.stays_in.clone(),
        only_kinds: c.kinds_only.clone(),
        threads: d.parallelism.get(i).copied(),
        is_load: d.is_load.get(i).copied().unwrap_or(false),
        waits_for_loads: d.class_waits.get(i).copied().unwrap_or(false),
    };
    let r = &w.rules;
    let kinds = w.kinds.len().max(d.size_cores.len());
    Settings {
        gateways: w.balancers,
        zone: w.locality,
        classes: w.classes.iter().enumerate().map(class).collect(),
        kinds: (0..kinds)
            .map(|i| Kind {
                cores: d.size_cores.get(i).copied(),
                memory_mb: d.memory_by_kind_mb.get(i).copied(),
            })
            .collect(),
        tenant_quota_per_s: w.realms.iter().map(|t| t.allowance_per_s).collect(),
        over_share_worth: w.over_share_worth,
        can_cancel: w.limits.cancel,
        can_probe: w.limits.probes,
        reports_by_probe: w.feedback.via.as_deref() == Some("probe"),
        reports_utilisation: report_field(w, "utilization").is_some(),
        max_attempts: w.limits.max_attempts,
        second_copies: w.limits.second_copies,
        max_retry_after: w
            .limits
            .max_retry_after
            .filter(|_| w.limits.retry_after)
            .map(micros),
        grants: d.grants,
        most_grant: d.most_grant,
        priorities: d.priorities,
        note_period: d.note_period.filter(|p| *p > 0.0).map(micros),
        grace_to_answer: r.grace_to_answer.map(micros),
        cold_share: r.cold_share,
        cold: r.cold.map(micros),
        fall_multiple: r.fall_multiple,
        fall: r.fall.map(micros),
        turn_gap: r.turn_gap.map(micros),
        resend_budget: match (r.free_resends, r.extra_share, r.resend_span) {
            (None, None, _) | (_, _, None) => None,
            (free, share, Some(span)) => Some(ResendBudget {
                free: free.unwrap_or(0.0),
                share: share.unwrap_or(0.0),
                span: micros(span),
            }),
        },
        list_on_request: w.discovery.as_deref() == Some("on_request"),
    }
}

fn report_field(w: &WireSettings, name: &str) -> Option<usize> {
    w.feedback.fields.iter().position(|f| f == name)
}

/// Where the values of a load report stand: utilisation, disks, memory, waiting.
type ReportFields = [Option<usize>; 4];

/// What a report tells. Values that are missing or no share or count are left out.
fn load(fields: &ReportFields, row: Option<&[f64]>) -> Load {
    let value = |i: usize| {
        fields[i]
            .and_then(|at| row?.get(at).copied())
            .filter(|v| *v >= 0.0)
    };
    Load {
        utilisation: value(0),
        disks: value(1),
        memory: value(2),
        waiting: value(3),
    }
}

/// One gateway with the names that the wire gave its engines.
struct Instance {
    gateway: Gateway,
    tells_cost: bool,
    report_fields: ReportFields,
    ids: BTreeMap<String, EngineId>,
    names: Vec<String>,
    pending: Vec<Event>,
}

impl Instance {
    fn id(&mut self, node: &str) -> EngineId {
        if let Some(id) = self.ids.get(node) {
            return *id;
        }
        let id = self.names.len() as EngineId;
        self.names.push(node.to_owned());
        self.ids.insert(node.to_owned(), id);
        id
    }

    fn answer(&self, gateway: u32, action: Action) -> Answer {
        let rid = |q: QueryId| format!("{q:016x}");
        let node = |e: EngineId| self.names.get(e as usize).cloned().unwrap_or_default();
        match action {
            Action::Terms {
                query,
                memory_mb,
                priority,
            } => Answer::Terms {
                gateway,
                rid: rid(query),
                memory: memory_mb,
                rank: priority,
            },
            Action::Send {
                query,
                engine,
                timeout,
            } => Answer::HandOff {
                gateway,
                rid: rid(query),
                node: node(engine),
                within: seconds(timeout),
            },
            Action::Cancel { query, attempt } => Answer::DropAttempt {
                gateway,
                rid: rid(query),
                round_no: attempt,
            },
            Action::Refuse { query, retry_after } => Answer::Shed {
                gateway,
                rid: rid(query),
                stay_away: seconds(retry_after),
            },
            Action::Fail { query } => Answer::RespondError {
                gateway,
                rid: rid(query),
            },
            Action::Wake { at } => Answer::Timer {
                gateway,
                moment: seconds(at),
                nonce: "wake",
            },
            Action::Follow => Answer::Follow {
                gateway,
                active: true,
            },
        }
    }
}

/// All the instances of one adapter process; they share nothing but the lists on the pipe.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u32, Instance>,
    ledgers: BTreeMap<u8, Vec<Entry>>,
}

impl Adapter {
    /// Creates an adapter that knows nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one line from the pipe and returns the reply's line.
    ///
    /// # Errors
    ///
    /// The line is not valid JSON or breaks the form of the wire; the error names the field.
    pub fn line(&mut self, line: &str) -> Result<String, WireError> {
        let mut json = serde_json::Deserializer::from_str(line);
        let batch: Batch = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| WireError(format!("field `{}`: {}", e.path(), e.inner())))?;
        json.end()
            .map_err(|e| WireError(format!("after the batch: {e}")))?;
        let now = micros(batch.clock);
        for (i, line) in batch.events.into_iter().enumerate() {
            self.take(line)
                .map_err(|what| WireError(format!("events[{i}]: {what}")))?;
        }
        let mut answers = Vec::new();
        let mut actions = Vec::new();
        for (&number, instance) in &mut self.instances {
            if instance.pending.is_empty() {
                continue;
            }
            let events = std::mem::take(&mut instance.pending);
            instance.gateway.handle(now, &events, &mut actions);
            answers.extend(actions.drain(..).map(|a| instance.answer(number, a)));
        }
        serde_json::to_string(&Reply { r#do: answers }).map_err(|e| WireError(e.to_string()))
    }

    fn take(&mut self, line: Line) -> Result<(), String> {
        fn need<T>(value: Option<T>, field: &str) -> Result<T, String> {
            value.ok_or_else(|| format!("field `{field}` is missing"))
        }
        if line.cmd == "ledger" {
            self.ledgers
                .insert(need(line.slot, "slot")?, need(line.lines, "lines")?);
            return Ok(());
        }
        let number = need(line.gateway, "gateway")?;
        if line.cmd == "shutdown" {
            self.instances.remove(&number);
            return Ok(());
        }
        if line.cmd == "boot" {
            let wire = need(line.settings, "settings")?;
            let instance = Instance {
                gateway: Gateway::new(settings(&wire), need(line.salt, "salt")?),
                tells_cost: wire.domain.tells_cost,
                report_fields: ["utilization", "x1", "x0", "backlog"]
                    .map(|f| report_field(&wire, f)),
                ids: BTreeMap::new(),
                names: Vec::new(),
                pending: vec![Event::Woke],
            };
            self.instances.insert(number, instance);
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Ok(());
        };
        let rid = || {
            let text = need(line.rid.as_deref(), "rid")?;
            hex(text).ok_or_else(|| "field `rid` is not 16 hex digits".to_owned())
        };
        let load = load(&instance.report_fields, line.metrics.as_deref());
        let event = match line.cmd.as_str() {
            "discovery" => {
                let scope = match need(line.how, "how")? {
                    Scope::Patch => ListScope::Patch,
                    Scope::Whole => ListScope::Whole,
                    Scope::StaleCopy => ListScope::Stale,
                    Scope::Broken => ListScope::Broken,
                };
                let mut engines = Vec::new();
                if scope != ListScope::Broken {
                    let slot = need(line.slot, "slot")?;
                    let entries = self.ledgers.get(&slot);
                    for e in entries.ok_or("field `slot` names no ledger")? {
                        engines.push(Engine {
                            id: instance.id(&e.node),
                            zone: e.dc,
                            kind: e.flavor,
                            cell: e.unit_group,
                            state: match e.state {
                                State::InService => EngineState::Ready,
                                State::Terminating => EngineState::Draining,
                                State::Terminated => EngineState::Gone,
                            },
                            started: e.ready_at.filter(|t| *t > 0.0).map(micros),
                        });
                    }
                }
                Event::Engines { scope, engines }
            }
            "ask" => {
                let bits = line.state_bits.unwrap_or(0);
                let key = match line.order_key.as_deref() {
                    None => None,
                    Some(text) => Some(hex(text).ok_or("field `order-key` is not 16 hex digits")?),
                };
                Event::Arrived(NewQuery {
                    id: rid()?,
                    class: need(line.band, "band")?,
                    tenant: line.project.unwrap_or(0),
                    work: line.cost.filter(|_| bits & 1 != 0).map(micros),
                    memory_mb: line.ram_mb.filter(|m| *m > 0.0),
                    time_left: micros(need(line.remaining, "remaining")?),
                    tables: line.tables.map(|t| t.max(0.0) as u64),
                    key,
                    repeat: bits & 2 != 0,
                })
            }
            "change" => {
                let value = line.value.unwrap_or(0.0);
                let progress = match (need(line.topic, "topic")?, value as i64) {
                    (1, _) => Progress::Done(value),
                    (2, _) => Progress::Spills(value),
                    (3, 1) => Progress::WaitsForMemory,
                    (3, 2) => Progress::WaitsForLoad,
                    _ => return Ok(()),
                };
                Event::Note {
                    query: rid()?,
                    attempt: need(line.round_no, "round-no")?,
                    progress,
                }
            }
            "started" => Event::Started { query: rid()? },
            "completed" => Event::Ended(Ended {
                query: rid()?,
                attempt: need(line.round_no, "round-no")?,
                engine: instance.id(need(line.node.as_deref(), "node")?),
                outcome: match need(line.status, "status")? {
                    Status::Completed => Outcome::Completed,
                    Status::Errored => Outcome::Errored,
                    Status::Saturated => Outcome::Saturated,
                    Status::Overdue => Outcome::Overdue,
                    Status::RefusedConn => Outcome::Refused,
                    Status::Severed => Outcome::Severed,
                    Status::Recalled => Outcome::Recalled,
                    Status::Superseded => Outcome::Superseded,
                },
                settled: line.settled,
                elapsed: micros(line.delay_seen.unwrap_or(0.0)),
                cost: line
                    .stats
                    .filter(|s| *s > 0 && instance.tells_cost)
                    .map(|s| Cost {
                        work: (s >> 12) * 1000,
                        memory_mb: (s & 0xfff) as f64 * 4.0,
                    }),
                load,
            }),
            "client-gone" => Event::ClientGone { query: rid()? },
            "checked" => Event::Probed {
                engine: instance.id(need(line.node.as_deref(), "node")?),
                answered: matches!(need(line.status, "status")?, Status::Completed),
                load,
            },
            "fired" => Event::Woke,
            "mail" => return Ok(()),
            other => return Err(format!("field `cmd`: no event is called `{other}`")),
        };
        instance.pending.push(event);
        Ok(())
    }
}
