//! Passes the simulator's lines to the gateways of one process, and returns the replies.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::event::{self, EventLine, ListEntry, ReportFields};
use super::reply::{Reply, WireAction};
use super::settings::WireSettings;
use super::{command, micros, EngineNames, EventError, WireError};
use crate::{Event, Gateway};

/// A line from the simulator.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Batch")]
struct Batch {
    clock: f64,
    events: Vec<EventLine>,
}

/// One gateway, with the names of its engines on the wire and its pending events.
struct Instance {
    gateway: Gateway,
    names: EngineNames,
    reports_cost: bool,
    report_fields: ReportFields,
    /// The events of the current line that the gateway has not handled yet.
    pending: Vec<Event>,
}

impl Instance {
    fn start(settings: &WireSettings, seed: u64) -> Self {
        Instance {
            gateway: Gateway::new(settings.convert(), seed),
            names: EngineNames::default(),
            reports_cost: settings.reports_cost(),
            report_fields: ReportFields::of(settings),
            pending: vec![Event::TimerFired],
        }
    }
}

/// The gateways of one process. They share only the stored engine lists, which the simulator sends
/// once for all gateways.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u8, Vec<ListEntry>>,
}

impl Adapter {
    /// Creates an adapter without gateways.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles one line from the simulator and returns the line to reply with.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is not valid JSON, or a field is missing or malformed. The
    /// error names the field.
    pub fn line(&mut self, line: &str) -> Result<String, WireError> {
        let mut json = serde_json::Deserializer::from_str(line);
        let batch: Batch = serde_path_to_error::deserialize(&mut json)?;
        json.end().map_err(WireError::TrailingInput)?;
        let now = micros(batch.clock);
        for (index, event) in batch.events.into_iter().enumerate() {
            self.receive(event)
                .map_err(|error| WireError::InvalidEvent { index, error })?;
        }
        let mut reply = Vec::new();
        let mut actions = Vec::new();
        for (&number, instance) in &mut self.instances {
            if instance.pending.is_empty() {
                continue;
            }
            let events = std::mem::take(&mut instance.pending);
            instance.gateway.handle(now, &events, &mut actions);
            let to_wire = |action| WireAction::of(action, number, &instance.names);
            reply.extend(actions.drain(..).map(to_wire));
        }
        serde_json::to_string(&Reply { actions: reply }).map_err(WireError::Encode)
    }

    /// Handles the events that start and stop gateways and store lists. Adds other events to the
    /// pending events of their gateway. Events for an unknown gateway are ignored.
    fn receive(&mut self, line: EventLine) -> Result<(), EventError> {
        if line.command == command::STORE_LIST {
            let (slot, entries) = line.stored_list()?;
            self.lists.insert(slot, entries);
            return Ok(());
        }
        let number = line.gateway.ok_or(EventError::MissingField("gateway"))?;
        match line.command.as_str() {
            command::STOP => {
                self.instances.remove(&number);
            }
            command::START => {
                let settings = line.settings.ok_or(EventError::MissingField("settings"))?;
                let seed = line.seed.ok_or(EventError::MissingField("salt"))?;
                self.instances
                    .insert(number, Instance::start(&settings, seed));
            }
            _ => {
                if let Some(instance) = self.instances.get_mut(&number) {
                    let decoder = event::Decoder {
                        names: &mut instance.names,
                        lists: &self.lists,
                        reports_cost: instance.reports_cost,
                        report_fields: &instance.report_fields,
                    };
                    instance.pending.extend(decoder.decode(&line)?);
                }
            }
        }
        Ok(())
    }
}
