//! Carries out the shared configuration: the same for a member, which holds the shared state
//! itself, and for a subscriber.

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

/// The parts of the program that the shared configuration reaches.
pub struct ControlTargets {
    /// The one clock.
    pub clock: Clock,
    /// The decisions.
    pub dispatch: Rc<Dispatch>,
    /// Whether clients are let in.
    pub drain: Rc<DrainState>,
    /// Engine ids by name.
    pub engine_ids: Rc<EngineIds>,
    /// Where the event bus is, and what it has said.
    pub discovery: Rc<DiscoverySource>,
    /// The REST front end, if there is one.
    pub rest: Option<Rc<RestFrontend>>,
}

/// Whether members have other addresses, or there are others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MembersChange {
    /// Members have other addresses, or there are others.
    Changed,
    /// Members and their addresses are as they were.
    Unchanged,
}

/// The shared configuration as far as this instance has carried it out.
pub(super) struct Reconciler {
    /// The name by which this instance is drained.
    instance: String,
    targets: OnceCell<ControlTargets>,
    /// This instance's own settings, under the shared ones.
    own_settings: RefCell<Settings>,
    revision: Cell<Option<Revision>>,
    config: RefCell<SharedConfig>,
    /// This instance was drained by itself, not by the shared configuration.
    is_drained_locally: Cell<bool>,
}

impl Reconciler {
    /// Nothing is carried out yet.
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

    /// Connects the parts that the shared configuration reaches. Nothing may be sent from then on
    /// until the state is confirmed.
    pub(super) fn attach(&self, targets: ControlTargets) {
        targets.drain.set_fenced(true);
        let _ = self.targets.set(targets);
    }

    /// The parts that the shared configuration reaches, once they are connected.
    pub(super) fn targets(&self) -> Option<&ControlTargets> {
        self.targets.get()
    }

    /// The shared configuration in force.
    pub(super) fn config(&self) -> Ref<'_, SharedConfig> {
        self.config.borrow()
    }

    /// This instance's own settings.
    pub(super) fn own_settings(&self) -> Ref<'_, Settings> {
        self.own_settings.borrow()
    }

    /// Carries out what the shared state holds and was not carried out yet.
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
            self.carry_out(change, targets);
        }
        if !targets.discovery.has_received() {
            if let Some(list) = engine_list::stored(state) {
                targets.discovery.offer_fallback(list);
            }
        }
        members
    }

    fn carry_out(&self, change: ConfigChange, targets: &ControlTargets) {
        match change {
            ConfigChange::Cordon { engine, cordoned } => {
                log::engine_cordoned(&engine, cordoned);
                let engine = targets.engine_ids.id_of(&engine);
                targets.dispatch.set_cordoned(engine, cordoned);
            }
            ConfigChange::Drain(_) => self.apply_drain(targets),
            ConfigChange::Settings(settings) => {
                let version = settings.map_or(0, |settings| settings.number);
                log::write_line(format_args!("cluster settings version={version} hold"));
                self.apply_settings(targets);
            }
            // Members' addresses matter to members alone: the caller applies them.
            ConfigChange::Members => {}
        }
    }

    /// Drains this instance by itself, or ends that; a drain of the shared configuration is not
    /// affected.
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

    /// The settings in force here: the shared ones over this instance's own.
    pub(super) fn settings(&self) -> Settings {
        let own = self.own_settings.borrow();
        let Some(SettingsVersion { number, text }) = self.config.borrow().settings.clone() else {
            return own.clone();
        };
        match SharedSettings::parse(&text) {
            Ok(shared) => shared.applied_over(&own),
            Err(errors) => {
                // A member of another version of the program has accepted it.
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

    /// Applies this instance's own settings, which were read again.
    pub(super) fn set_own_settings(&self, own: &Settings) {
        *self.own_settings.borrow_mut() = own.clone();
        if let Some(targets) = self.targets.get() {
            self.apply_settings(targets);
        }
    }

    /// Requests and attempts that were not sent, as the state was not confirmed.
    pub(super) fn fenced_count(&self) -> u64 {
        let targets = self.targets.get();
        targets.map_or(0, |targets| targets.dispatch.fenced_count())
    }
}
