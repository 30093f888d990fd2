//! This instance's part in a cluster: a member, or a front end that subscribes.

use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;

use super::reconcile::ControlTargets;
use super::subscriber::ClusterSubscriber;
use super::{ClusterMember, CommitError};
use crate::fence::Fence;
use crate::settings::{self, ClusterRole, Settings};

/// Its part.
#[derive(Clone)]
pub enum Participant {
    /// It agrees on the state with the other members.
    Member(Rc<ClusterMember>),
    /// It follows what members agree on.
    Subscriber(Rc<ClusterSubscriber>),
}

impl Participant {
    /// Begins to take part as the settings say. Nothing may be sent until the state is confirmed.
    ///
    /// # Errors
    ///
    /// A member's folder or addresses can't be used.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        own: &Settings,
        given: &settings::Cluster,
        seed: u64,
    ) -> Result<Self, String> {
        Ok(match given.role {
            ClusterRole::Member => {
                Participant::Member(ClusterMember::start(executor, own, given, seed)?)
            }
            ClusterRole::Subscriber => {
                let subscriber = ClusterSubscriber::start(executor, own, given, seed)
                    .map_err(|error| format!("`cluster`: {error}"))?;
                Participant::Subscriber(subscriber)
            }
        })
    }

    /// Names what agreed state reaches, does what is agreed on so far, and goes on doing so.
    pub fn attach(&self, executor: &Rc<LocalExecutor<'static>>, parts: ControlTargets) {
        match self {
            Participant::Member(member) => member.attach(executor, parts),
            Participant::Subscriber(subscriber) => subscriber.attach(executor, parts),
        }
    }

    /// What is asked before every send.
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

    /// Whether it keeps the engine list for the others while the bus is silent.
    #[must_use]
    pub fn keeps_list(&self) -> bool {
        matches!(self, Participant::Member(_))
    }

    /// This instance's own settings were read anew: those that hold then.
    #[must_use]
    pub fn own(&self, own: &Settings) -> Settings {
        match self {
            Participant::Member(member) => {
                member.own(own);
                member.settings()
            }
            Participant::Subscriber(subscriber) => {
                subscriber.own(own);
                subscriber.settings()
            }
        }
    }

    /// The figures, in the text format of Prometheus.
    #[must_use]
    pub fn figures(&self) -> String {
        match self {
            Participant::Member(member) => member.figures(),
            Participant::Subscriber(subscriber) => subscriber.figures(),
        }
    }

    /// Calls an engine out, or back, everywhere.
    ///
    /// # Errors
    ///
    /// It was not agreed on, or is not known to be; only a member can have it agreed on.
    pub async fn cordon(
        &self,
        engine: &str,
        out: bool,
        who: &str,
        within: Duration,
    ) -> Result<(), CommitError> {
        match self {
            Participant::Member(member) => member.cordon(engine, out, who, within).await,
            Participant::Subscriber(_) => Err(CommitError::NotAMember),
        }
    }

    /// Drains this instance, or lets it take clients again. A subscriber does so by itself.
    ///
    /// # Errors
    ///
    /// A member's drain was not agreed on, or is not known to be.
    pub async fn drain(&self, on: bool, who: &str, within: Duration) -> Result<(), CommitError> {
        match self {
            Participant::Member(member) => member.drain(on, who, within).await,
            Participant::Subscriber(subscriber) => {
                subscriber.drain_here(on);
                Ok(())
            }
        }
    }
}
