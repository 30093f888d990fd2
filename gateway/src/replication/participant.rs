//! This instance's part in a cluster: a member, or a subscriber.

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

/// This instance's part in a cluster.
#[derive(Clone)]
pub enum Participant {
    /// It replicates the shared state with the other members.
    Member(Rc<ClusterMember>),
    /// It follows the shared state.
    Subscriber(Rc<ClusterSubscriber>),
}

impl Participant {
    /// Begins to take part as the settings say. Nothing may be sent until the state is confirmed.
    ///
    /// # Errors
    ///
    /// A member's folder or addresses can't be used, or a subscriber's settings.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        own_settings: &Settings,
        settings: &settings::Cluster,
        seed: u64,
    ) -> Result<Self, ClusterStartError> {
        Ok(match settings.role {
            ClusterRole::Member => {
                let member = ClusterMember::start(executor, own_settings, settings, seed)?;
                Participant::Member(member)
            }
            ClusterRole::Subscriber => {
                let subscriber = ClusterSubscriber::start(executor, own_settings, settings, seed)?;
                Participant::Subscriber(subscriber)
            }
        })
    }

    /// Connects the parts that the shared configuration reaches, carries out what is committed so
    /// far, and goes on doing so.
    pub fn attach(&self, executor: &Rc<LocalExecutor<'static>>, targets: ControlTargets) {
        match self {
            Participant::Member(member) => member.attach(executor, targets),
            Participant::Subscriber(subscriber) => subscriber.attach(executor, targets),
        }
    }

    /// The fence that is checked before every send.
    #[must_use]
    pub fn fence(&self) -> Rc<dyn Fence> {
        match self {
            Participant::Member(member) => Rc::<ClusterMember>::clone(member),
            Participant::Subscriber(subscriber) => Rc::<ClusterSubscriber>::clone(subscriber),
        }
    }

    /// Whether anything may be sent now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        match self {
            Participant::Member(member) => member.is_open(),
            Participant::Subscriber(subscriber) => subscriber.is_open(),
        }
    }

    /// Whether the engine list is retained here, to be stored for others.
    #[must_use]
    pub fn list_retention(&self) -> ListRetention {
        match self {
            Participant::Member(_) => ListRetention::Retain,
            Participant::Subscriber(_) => ListRetention::Discard,
        }
    }

    /// Applies this instance's own settings, which were read again; the settings in force then.
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

    /// The metrics, in the text format of Prometheus.
    #[must_use]
    pub fn metrics(&self) -> String {
        match self {
            Participant::Member(member) => member.metrics(),
            Participant::Subscriber(subscriber) => subscriber.metrics(),
        }
    }

    /// Cordons an engine everywhere, or uncordons it.
    ///
    /// # Errors
    ///
    /// It was not committed, or that is not known; only a member can commit it.
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

    /// Drains this instance, or resumes it. A subscriber does so by itself.
    ///
    /// # Errors
    ///
    /// A member's drain was not committed, or that is not known.
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
