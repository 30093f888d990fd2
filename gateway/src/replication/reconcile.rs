//! What this instance has taken from the agreed state, and what of it is still to be done: the same for a member, which
//! holds the state itself, and for a front end that subscribes.

use std::cell::{Cell, OnceCell, Ref, RefCell};
use std::rc::Rc;

use violetgate_replicated_state::{Entries, Revision};

use super::shared_config::{self, ConfigChange, EngineListSnapshot, SharedConfig};
use crate::clock::Clock;
use crate::discovery::{DiscoverySource, EngineIds};
use crate::dispatch::Dispatch;
use crate::drain::DrainState;
use crate::log;
use crate::rest::Rest;
use crate::settings::{Settings, SharedSettings};

/// What agreed state reaches.
pub struct ControlTargets {
    /// The one clock.
    pub clock: Clock,
    /// The decisions.
    pub dispatch: Rc<Dispatch>,
    /// Whether clients are let in.
    pub door: Rc<DrainState>,
    /// Engines' numbers by name.
    pub ids: Rc<EngineIds>,
    /// Where the bus is.
    pub place: Rc<DiscoverySource>,
    /// The REST front, if there is one.
    pub rest: Option<Rc<Rest>>,
}

/// The agreed state as this instance has adopted it.
pub(super) struct Reconciler {
    /// By what name it is drained.
    instance: String,
    parts: OnceCell<ControlTargets>,
    /// This instance's own settings, under the agreed ones.
    own: RefCell<Settings>,
    seen: Cell<Option<Revision>>,
    view: RefCell<SharedConfig>,
    /// It was drained by itself, not by agreement.
    drained_here: Cell<bool>,
}

impl Reconciler {
    /// Nothing is adopted yet.
    pub fn new(instance: String, own: &Settings) -> Self {
        Reconciler {
            instance,
            parts: OnceCell::new(),
            own: RefCell::new(own.clone()),
            seen: Cell::new(None),
            view: RefCell::default(),
            drained_here: Cell::new(false),
        }
    }

    /// Names what agreed state reaches. Nothing may be sent from then on until the state is confirmed.
    pub fn attach(&self, parts: ControlTargets) {
        parts.door.fence(true);
        let _ = self.parts.set(parts);
    }

    /// What agreed state reaches, once that is known.
    pub fn parts(&self) -> Option<&ControlTargets> {
        self.parts.get()
    }

    /// What holds now.
    pub fn view(&self) -> Ref<'_, SharedConfig> {
        self.view.borrow()
    }

    /// This instance's own settings.
    pub fn own(&self) -> Ref<'_, Settings> {
        self.own.borrow()
    }

    /// Does what is agreed on and was not done yet. Whether members are elsewhere, or others.
    pub fn adopt(&self, entries: &impl Entries) -> bool {
        let revision = entries.revision();
        if self.seen.replace(Some(revision)) == Some(revision) {
            return false;
        }
        let now = SharedConfig::read(entries, &self.instance);
        let before = self.view.replace(now.clone());
        let Some(parts) = self.parts.get() else {
            return false;
        };
        let mut members = false;
        for step in before.moves(&now) {
            match step {
                ConfigChange::Cordon(name, out) => {
                    log::line(format_args!(
                        "engine {name} is called {}",
                        if out { "out" } else { "back" }
                    ));
                    parts.dispatch.cordon(parts.ids.number(&name), out);
                }
                ConfigChange::Drain(_) => self.set_door(parts),
                ConfigChange::Settings(settings) => {
                    let version = settings.map_or(0, |s| s.0);
                    log::line(format_args!("cluster settings version={version} hold"));
                    self.take_settings(parts);
                }
                ConfigChange::Members => members = true,
            }
        }
        if !parts.place.heard() {
            if let Some(EngineListSnapshot { last, engines }) = shared_config::list(entries) {
                parts.place.offer((last, engines));
            }
        }
        members
    }

    /// Drains this instance by itself, or ends that; what is agreed on stays.
    pub fn drain_here(&self, on: bool) {
        self.drained_here.set(on);
        self.parts
            .get()
            .into_iter()
            .for_each(|parts| self.set_door(parts));
    }

    fn set_door(&self, parts: &ControlTargets) {
        if self.drained_here.get() || self.view.borrow().drained {
            parts.door.quiesce(parts.clock.now());
        } else {
            parts.door.resume();
        }
    }

    /// The settings that hold here: the agreed ones over this instance's own.
    pub fn settings(&self) -> Settings {
        let own = self.own.borrow();
        let agreed = self.view.borrow().settings.clone();
        match agreed.map(|(version, text)| (version, SharedSettings::parse(&text))) {
            Some((_, Ok(agreed))) => agreed.over(&own),
            Some((version, Err(problems))) => {
                // Another member, of another version of the program, has let it pass.
                let first = problems
                    .first()
                    .map(ToString::to_string)
                    .unwrap_or_default();
                log::line(format_args!(
                    "cluster settings version={version} can't be used here: {first}"
                ));
                own.clone()
            }
            None => own.clone(),
        }
    }

    fn take_settings(&self, parts: &ControlTargets) {
        if let (Some(rest), Some(settings)) = (&parts.rest, &self.settings().rest) {
            rest.limit(settings);
        }
    }

    /// This instance's own settings were read anew.
    pub fn set_own(&self, own: &Settings) {
        *self.own.borrow_mut() = own.clone();
        self.parts
            .get()
            .into_iter()
            .for_each(|parts| self.take_settings(parts));
    }

    /// Requests and attempts that were not sent on old state.
    pub fn turned_away(&self) -> u64 {
        self.parts
            .get()
            .map_or(0, |parts| parts.dispatch.turned_away())
    }
}
