//! Applies the shared configuration to the parts of this gateway, for members and subscribers
//! alike.

use std::cell::{Cell, OnceCell, Ref, RefCell};
use std::rc::Rc;

use violetgate_replicated_state::{Entries, Revision};

use super::shared_config::{engine_list, ConfigChange, SettingsVersion, SharedConfig};
use crate::clock::Clock;
use crate::discovery::{DiscoverySource, EngineIds};
use crate::dispatch::Dispatch;
use crate::drain::DrainState;
use crate::log;
use crate::rest::RestFrontend;
use crate::settings::{Settings, SharedSettings};

/// The parts of the gateway that the shared configuration controls.
pub struct ControlTargets {
    /// The clock that all parts of the gateway share.
    pub clock: Clock,
    /// The dispatcher, which applies cordons.
    pub dispatch: Rc<Dispatch>,
    /// The drain state of this process.
    pub drain: Rc<DrainState>,
    /// The engine ids by name.
    pub engine_ids: Rc<EngineIds>,
    /// The event bus connection, which uses the stored engine list until the bus answers.
    pub discovery: Rc<DiscoverySource>,
    /// The REST front end, if it is configured.
    pub rest: Option<Rc<RestFrontend>>,
}

/// Whether the members or their addresses have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MembersChange {
    /// Members were added or removed, or have other addresses.
    Changed,
    /// The members and their addresses are the same.
    Unchanged,
}

/// Applies the shared configuration and keeps the one that was last applied.
pub(super) struct Reconciler {
    /// The name of this instance in drains: a member's id or a subscriber's name.
    instance: String,
    targets: OnceCell<ControlTargets>,
    /// This instance's own settings, which the shared ones override.
    own_settings: RefCell<Settings>,
    revision: Cell<Option<Revision>>,
    config: RefCell<SharedConfig>,
    /// Whether this instance was drained locally, independently of the shared configuration.
    is_drained_locally: Cell<bool>,
}

impl Reconciler {
    /// Creates a reconciler that has not applied any configuration.
    pub(super) fn new(instance: String, own_settings: &Settings) -> Self {
        Reconciler {
            instance,
            targets: OnceCell::new(),
            own_settings: RefCell::new(own_settings.clone()),
            revision: Cell::new(None),
            config: RefCell::default(),
            is_drained_locally: Cell::new(false),
        }
    }

    /// Connects the parts that the shared configuration controls, and reports this instance as
    /// fenced until the state is confirmed.
    pub(super) fn attach(&self, targets: ControlTargets) {
        targets.drain.set_fenced(true);
        let _ = self.targets.set(targets);
    }

    /// Returns the parts that the shared configuration controls, if they are connected.
    pub(super) fn targets(&self) -> Option<&ControlTargets> {
        self.targets.get()
    }

    /// Returns the shared configuration in force.
    pub(super) fn config(&self) -> Ref<'_, SharedConfig> {
        self.config.borrow()
    }

    /// Returns this instance's own settings, without the shared ones.
    pub(super) fn own_settings(&self) -> Ref<'_, Settings> {
        self.own_settings.borrow()
    }

    /// Applies the changes of the shared state since the last call.
    pub(super) fn reconcile(&self, state: &impl Entries) -> MembersChange {
        let revision = Some(state.revision());
        if self.revision.replace(revision) == revision {
            return MembersChange::Unchanged;
        }
        let next = SharedConfig::read(state, &self.instance);
        let before = self.config.replace(next.clone());
        let Some(targets) = self.targets.get() else {
            return MembersChange::Unchanged;
        };
        let mut members = MembersChange::Unchanged;
        for change in before.changes_to(&next) {
            if change == ConfigChange::Members {
                members = MembersChange::Changed;
            }
            self.apply_change(change, targets);
        }
        if !targets.discovery.has_received() {
            if let Some(list) = engine_list::stored(state) {
                targets.discovery.offer_stored_list(list);
            }
        }
        members
    }

    fn apply_change(&self, change: ConfigChange, targets: &ControlTargets) {
        match change {
            ConfigChange::Cordon { engine, cordoned } => {
                log::engine_cordoned(&engine, cordoned);
                let engine = targets.engine_ids.id_of(&engine);
                targets.dispatch.set_cordoned(engine, cordoned);
            }
            ConfigChange::Drain(_) => self.apply_drain(targets),
            ConfigChange::Settings(settings) => {
                let version = settings.map_or(0, |settings| settings.number);
                log::write_line(format_args!("cluster settings version={version} in force"));
                self.apply_settings(targets);
            }
            // Only members use the addresses of members, so the caller applies them.
            ConfigChange::Members => {}
        }
    }

    /// Drains this instance locally, or ends the local drain. A drain in the shared configuration
    /// is not affected.
    pub(super) fn set_local_drain(&self, drained: bool) {
        self.is_drained_locally.set(drained);
        if let Some(targets) = self.targets.get() {
            self.apply_drain(targets);
        }
    }

    fn apply_drain(&self, targets: &ControlTargets) {
        if self.is_drained_locally.get() || self.config.borrow().drained {
            targets.drain.start_draining(targets.clock.now());
        } else {
            targets.drain.stop_draining();
        }
    }

    /// Returns the settings in force: this instance's own, overridden by the shared ones.
    pub(super) fn settings(&self) -> Settings {
        let own = self.own_settings.borrow();
        let Some(SettingsVersion { number, text }) = self.config.borrow().settings.clone() else {
            return own.clone();
        };
        match SharedSettings::parse(&text) {
            Ok(shared) => shared.applied_over(&own),
            Err(errors) => {
                // A member checked these settings before they were committed, so it runs another
                // version of the program. This instance uses only its own settings.
                let first = errors.first().map(ToString::to_string).unwrap_or_default();
                log::write_line(format_args!(
                    "cluster settings version={number} can't be used here: {first}"
                ));
                own.clone()
            }
        }
    }

    fn apply_settings(&self, targets: &ControlTargets) {
        if let (Some(rest), Some(settings)) = (&targets.rest, &self.settings().rest) {
            rest.apply_limits(settings);
        }
    }

    /// Applies this instance's own settings after they were reloaded.
    pub(super) fn set_own_settings(&self, own: &Settings) {
        *self.own_settings.borrow_mut() = own.clone();
        if let Some(targets) = self.targets.get() {
            self.apply_settings(targets);
        }
    }

    /// Returns the number of requests and attempts that were not sent because the fence was closed.
    pub(super) fn fenced_count(&self) -> u64 {
        let targets = self.targets.get();
        targets.map_or(0, |targets| targets.dispatch.fenced_count())
    }
}
