//! Uses a list that members of the cluster have stored in place of the own one, as long as the event
//! bus has sent nothing since the start.
//!
//! The own list, from the events of the configuration, stays as it is meanwhile, and so does the
//! offset from which events are requested: the offsets and changes of the stored list belong to
//! another start or another instance.

use serde::Deserialize;

use super::client::{DiscoveryClient, OnUpdate};
use super::events::{EventError, Server, Topology};
use super::source::EngineListSnapshot;
use super::stored_list::StoredEngineList;
use crate::log;

/// The stored list that is in use.
pub(super) struct Substitution {
    list: StoredEngineList,
    /// Whether the own list has to be used again when the bus answers. Without an own list, the
    /// bus's first event holds the whole list.
    returns_to_own_list: bool,
}

impl DiscoveryClient {
    /// Uses the list that was passed to
    /// [`DiscoverySource::offer_stored_list`](super::DiscoverySource::offer_stored_list), if
    /// nothing has been received from the bus yet and the list is newer than the own one.
    pub(super) fn take_stored_list(&mut self, on_update: OnUpdate<'_>) {
        let Some(list) = self.source.take_offered_list() else {
            return;
        };
        let own_is_known = self.source.retained_list().is_known();
        let is_newer = !own_is_known || list.includes_events_until(self.known_at);
        if !self.source.may_use_stored_list() || !is_newer || self.uses(&list) {
            return;
        }
        let engines = list.engines.values().cloned().collect();
        if let Err(error) = self.replace_list(engines, on_update) {
            return log::write_line(format_args!(
                "bus reason=malformed stored engine list skipped: {error}"
            ));
        }
        if self.substitution.is_none() {
            log::write_line(format_args!(
                "bus is silent; the stored engine list is in use, engines={}",
                list.engines.len()
            ));
        }
        self.substitution = Some(Substitution {
            list,
            returns_to_own_list: own_is_known,
        });
    }

    fn uses(&self, list: &StoredEngineList) -> bool {
        let used = self.substitution.as_ref();
        used.is_some_and(|used| used.list.engines == list.engines)
    }

    /// Returns whether an event of the bus is only recorded, because the list in use is not the one
    /// that the event changes.
    pub(super) fn only_records_events(&self) -> bool {
        let used = self.substitution.as_ref();
        used.is_some_and(|used| used.returns_to_own_list)
    }

    /// Uses the own list again, with all events of the bus so far.
    pub(super) fn use_own_list(&mut self, on_update: OnUpdate<'_>) {
        let Some(used) = self.substitution.take() else {
            return;
        };
        log::write_line(format_args!(
            "bus answers; the stored engine list is no longer in use"
        ));
        if !used.returns_to_own_list {
            return;
        }
        let EngineListSnapshot { engines, .. } = self.source.retained_list();
        if let Err(error) = self.replace_list(engines.into_values().collect(), on_update) {
            log::write_line(format_args!(
                "bus reason=malformed own engine list skipped: {error}"
            ));
        }
    }

    fn replace_list(
        &self,
        servers: Vec<serde_json::Value>,
        on_update: OnUpdate<'_>,
    ) -> Result<(), EventError> {
        let servers = servers.into_iter().map(Server::deserialize);
        let topology = Topology {
            full: true,
            servers: servers.collect::<Result<_, _>>()?,
        };
        let engines = topology.engines(&self.names, &self.ids)?;
        on_update(topology.scope(), &engines);
        Ok(())
    }
}
