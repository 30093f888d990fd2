//! Applies the engine list and operators' cordons.
//!
//! - Decides: this module decides which engines are known and in use, what is kept of an engine
//!   that restarts, and when the gateway subscribes to the list.
//! - Inputs: it uses snapshots and patches of the list, and cordons.
//! - Reason: an engine with a new start time is a new process, so the statistics of the earlier
//!   process do not apply to it. A cordon applies whatever the list contains.

use crate::interface::{Action, Engine, EngineId, EngineState, ListScope};
use crate::state::{EngineRecord, InitialLimits};
use crate::Gateway;

/// The number of cores that is assumed for an engine if its kind or the kind's cores are unknown.
const DEFAULT_CORES: f64 = 1.0;

impl Gateway {
    /// Handles a snapshot or a patch of the engine list, or a failed watch.
    pub(crate) fn on_engine_list(
        &mut self,
        scope: ListScope,
        engines: &[Engine],
        actions: &mut Vec<Action>,
    ) {
        let may_be_outdated = matches!(scope, ListScope::StaleSnapshot | ListScope::WatchFailed);
        if self.settings.list_needs_subscription && may_be_outdated {
            actions.push(Action::SubscribeEngineList);
        }
        if matches!(scope, ListScope::Snapshot | ListScope::StaleSnapshot) {
            self.mark_all_removed();
        }
        for engine in engines {
            self.update_engine(engine);
        }
        self.update_engine_totals();
    }

    /// Handles an operator's cordon, or its end. An engine that is uncordoned has been restarted:
    /// it warms up from now on, and its statistics are reset.
    pub(crate) fn on_cordon(&mut self, engine: EngineId, cordoned: bool) {
        let changed = if cordoned {
            self.overall.cordoned.insert(engine)
        } else {
            self.overall.cordoned.remove(&engine)
        };
        let Some(record) = self.engines.get(&engine).filter(|_| changed) else {
            return;
        };
        let limits = self.initial_limits(record.cores);
        let now = self.now;
        let Some(record) = self.engines.get_mut(&engine) else {
            return;
        };
        record.cordoned = cordoned;
        if !cordoned {
            let (cores, memory_mb) = (record.cores, record.memory_mb);
            record.restart(EngineRecord::new(record.listed, cores, memory_mb, limits));
            record.uncordoned_at = Some(now);
            record.awaits_first_answer = true;
        }
    }

    /// Marks all engines as removed, before the entries of a snapshot are applied.
    fn mark_all_removed(&mut self) {
        self.sampler.clear();
        self.overall.totals_at = 0;
        for engine in self.engines.values_mut() {
            engine.listed.state = EngineState::Removed;
        }
    }

    /// Applies one entry of the list.
    fn update_engine(&mut self, listed: &Engine) {
        let kind = self.settings.engine_kinds.get(listed.kind as usize);
        let memory_mb = kind.and_then(|kind| kind.memory_mb);
        let cores = kind.and_then(|kind| kind.cores);
        let cores = cores.filter(|cores| *cores >= 1.0).unwrap_or(DEFAULT_CORES);
        let limits = self.initial_limits(cores);
        let fresh = || EngineRecord::new(*listed, cores, memory_mb, limits);
        let mut engine = self.engines.remove(&listed.id).unwrap_or_else(fresh);
        if engine.listed.started != listed.started {
            engine.restart(fresh());
        }
        engine.listed = *listed;
        engine.cordoned = self.overall.cordoned.contains(&listed.id);
        self.engines.insert(listed.id, engine);
        self.sampler.update(listed);
    }

    /// Returns the initial limits of a new process: this gateway's fair share, at the overall
    /// speed.
    fn initial_limits(&self, cores: f64) -> InitialLimits {
        InitialLimits {
            thread_limit: self.fair_share_of(cores),
            memory_quota: 1.0 / self.gateways,
            speed: self.overall_speed(),
        }
    }
}
