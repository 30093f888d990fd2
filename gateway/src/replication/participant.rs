//! A common interface for the two roles that an instance can have in a cluster.

use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;

use super::error::{ClusterStartError, CommitError};
use super::member::ClusterMember;
use super::reconcile::ControlTargets;
use super::subscriber::ClusterSubscriber;
use crate::discovery::ListRetention;
use crate::fence::Fence;
use crate::settings::{self, ClusterRole, Settings};
use violetgate_memory_budget::MemoryBudget;

/// This instance's role in a cluster.
#[derive(Clone)]
pub enum Participant {
    /// The instance replicates the shared state with the other members.
    Member(Rc<ClusterMember>),
    /// The instance follows the shared state through observers.
    Subscriber(Rc<ClusterSubscriber>),
}

impl Participant {
    /// Starts the role that the settings define. The fence stays closed until the state is
    /// confirmed.
    ///
    /// # Errors
    ///
    /// Returns an error if a member's folder or addresses, or a subscriber's settings, can't be
    /// used.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        own_settings: &Settings,
        settings: &settings::Cluster,
        seed: u64,
        memory: MemoryBudget,
    ) -> Result<Self, ClusterStartError> {
        Ok(match settings.role {
            ClusterRole::Member => {
                let member = ClusterMember::start(executor, own_settings, settings, seed, memory)?;
                Participant::Member(member)
            }
            ClusterRole::Subscriber => {
                let subscriber = ClusterSubscriber::start(executor, own_settings, settings, seed)?;
                Participant::Subscriber(subscriber)
            }
        })
    }

    /// Connects the parts that the shared configuration controls, applies the committed
    /// configuration to them, and keeps applying its changes.
    pub fn attach(&self, executor: &Rc<LocalExecutor<'static>>, targets: ControlTargets) {
        match self {
            Participant::Member(member) => member.attach(executor, targets),
            Participant::Subscriber(subscriber) => subscriber.attach(executor, targets),
        }
    }

    /// Returns the fence, which is checked before every send.
    #[must_use]
    pub fn fence(&self) -> Rc<dyn Fence> {
        match self {
            Participant::Member(member) => Rc::<ClusterMember>::clone(member),
            Participant::Subscriber(subscriber) => Rc::<ClusterSubscriber>::clone(subscriber),
        }
    }

    /// Returns whether the fence is open, so that queries may be sent now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        match self {
            Participant::Member(member) => member.is_open(),
            Participant::Subscriber(subscriber) => subscriber.is_open(),
        }
    }

    /// Returns for how long this instance keeps a copy of the engine list. Members always do,
    /// because the leader stores the list for other instances.
    #[must_use]
    pub fn list_retention(&self) -> ListRetention {
        match self {
            Participant::Member(_) => ListRetention::Retain,
            Participant::Subscriber(_) => ListRetention::UntilBusAnswers,
        }
    }

    /// Applies this instance's own settings after they were reloaded, and returns the settings that
    /// are in force then.
    #[must_use]
    pub fn apply_own_settings(&self, own: &Settings) -> Settings {
        match self {
            Participant::Member(member) => {
                member.set_own_settings(own);
                member.settings()
            }
            Participant::Subscriber(subscriber) => {
                subscriber.set_own_settings(own);
                subscriber.settings()
            }
        }
    }

    /// Returns the metrics of the role in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        match self {
            Participant::Member(member) => member.metrics(),
            Participant::Subscriber(subscriber) => subscriber.metrics(),
        }
    }

    /// Cordons or uncordons an engine at all instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the change was rejected, if its outcome is unknown, or if this instance
    /// is a subscriber, because only members can commit changes.
    pub async fn set_cordon(
        &self,
        engine: &str,
        cordoned: bool,
        operator: &str,
        timeout: Duration,
    ) -> Result<(), CommitError> {
        match self {
            Participant::Member(member) => {
                member.set_cordon(engine, cordoned, operator, timeout).await
            }
            Participant::Subscriber(_) => Err(CommitError::NotAMember),
        }
    }

    /// Begins or ends the drain of this instance. A member commits the change; a subscriber applies
    /// it locally.
    ///
    /// # Errors
    ///
    /// Returns an error if a member's change was rejected, or if its outcome is unknown.
    pub async fn set_drain(
        &self,
        drained: bool,
        operator: &str,
        timeout: Duration,
    ) -> Result<(), CommitError> {
        match self {
            Participant::Member(member) => member.set_drain(drained, operator, timeout).await,
            Participant::Subscriber(subscriber) => {
                subscriber.set_local_drain(drained);
                Ok(())
            }
        }
    }
}
