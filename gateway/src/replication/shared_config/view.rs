//! The shared configuration as one instance sees it, and the changes between two states of it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use violetgate_replicated_state::Entries;

use super::encoding::{entries_under, MemberAddress, CORDON_PREFIX, DRAIN_PREFIX, MEMBER_PREFIX};
use super::settings_versions::{self, SettingsVersion};

/// The shared configuration as one instance sees it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SharedConfig {
    /// The names of the cordoned engines.
    pub cordons: BTreeSet<String>,
    /// Whether operators have drained this instance.
    pub drained: bool,
    /// The settings version in force, if there is one.
    pub settings: Option<SettingsVersion>,
    /// The members that have recorded their addresses, by id.
    pub members: BTreeMap<u64, MemberAddress>,
}

/// A single change from an earlier shared configuration to a later one.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigChange {
    /// An engine was cordoned or uncordoned.
    Cordon {
        /// The name of the engine.
        engine: String,
        /// Whether the engine is cordoned now.
        cordoned: bool,
    },
    /// The drain of this instance began (`true`) or ended (`false`).
    Drain(bool),
    /// Other settings are in force; `None` if there are no shared settings any more.
    Settings(Option<SettingsVersion>),
    /// Members were added or removed, or have other addresses.
    Members,
}

impl SharedConfig {
    /// Reads the shared configuration for an instance: a member by its id, a subscriber by its
    /// name.
    #[must_use]
    pub fn read(state: &impl Entries, instance: &str) -> Self {
        let member = |(id, bytes): (String, Vec<u8>)| {
            Some((id.parse().ok()?, serde_json::from_slice(&bytes).ok()?))
        };
        let cordons = entries_under(state, CORDON_PREFIX);
        SharedConfig {
            cordons: cordons.map(|(engine, _)| engine).collect(),
            drained: state.entry(&format!("{DRAIN_PREFIX}{instance}")).is_some(),
            settings: settings_versions::current_version(state),
            members: entries_under(state, MEMBER_PREFIX)
                .filter_map(member)
                .collect(),
        }
    }

    /// Returns the changes that lead from this configuration to `next`.
    ///
    /// Cordons come before uncordons: queries may be sent when an engine is uncordoned, and none of
    /// them may go to an engine that `next` cordons.
    #[must_use]
    pub fn changes_to(&self, next: &SharedConfig) -> Vec<ConfigChange> {
        let added = next.cordons.difference(&self.cordons);
        let removed = self.cordons.difference(&next.cordons);
        let mut changes: Vec<_> = added
            .map(|engine| cordon_change(engine, true))
            .chain(removed.map(|engine| cordon_change(engine, false)))
            .collect();
        if self.drained != next.drained {
            changes.push(ConfigChange::Drain(next.drained));
        }
        if self.settings != next.settings {
            changes.push(ConfigChange::Settings(next.settings.clone()));
        }
        if self.members != next.members {
            changes.push(ConfigChange::Members);
        }
        changes
    }

    /// Returns the addresses that the members have recorded, by member id.
    #[must_use]
    pub fn addresses(&self) -> BTreeMap<u64, SocketAddr> {
        let members = self.members.iter();
        members.map(|(id, member)| (*id, member.listen)).collect()
    }

    /// Returns the ids of the members' disks, by member id. Members with an unknown disk are left
    /// out.
    #[must_use]
    pub fn disk_ids(&self) -> BTreeMap<u64, u64> {
        let members = self.members.iter();
        members
            .filter_map(|(id, member)| Some((*id, member.disk_id?)))
            .collect()
    }
}

fn cordon_change(engine: &str, cordoned: bool) -> ConfigChange {
    ConfigChange::Cordon {
        engine: engine.to_owned(),
        cordoned,
    }
}
