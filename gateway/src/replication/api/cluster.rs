//! Calls that read or change the cluster's members, the drains of instances and the cordons of
//! engines.

use std::net::SocketAddr;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};
use violetgate_raft::{MembershipChange, ProposalError, Role};
use violetgate_replica::Response;
use violetgate_replica_runtime::{Call, CallOutcome, ReplicaStatus};

use super::super::error::CommitError;
use super::super::metrics::{propagation_ms, BEHIND_UNDER_S};
use super::super::shared_config::{self, MemberAddress};
use super::bodies::read_json;
use super::responses::{invalid_request, json_reply, Reply, ReplyResult};
use super::router::{commit_reply, Api, ApiCall};
use crate::http_error::HttpError;
use crate::settings;

const MICROS_PER_MS: u64 = 1_000;

/// A step of a membership change, in the JSON form that operators send.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MembershipStep {
    /// Adds a new member as a learner.
    Add {
        /// The id of the member, which has to be higher than all ids used so far.
        id: u64,
        /// The address at which other members reach it.
        listen: SocketAddr,
        /// The address of its cluster API.
        api: SocketAddr,
    },
    /// Promotes the learner with this id to a voter.
    Promote(u64),
    /// Removes the member with this id. The id can't be used again.
    Remove(u64),
    /// Transfers leadership to the voter with this id.
    Transfer(u64),
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Leader => "leader",
        Role::Candidate => "candidate",
        Role::Follower => "follower",
    }
}

impl Api {
    /// Returns the state of this member and the membership that it knows.
    pub(super) fn cluster(&self) -> Reply {
        let status = self.member.status();
        let state_age = status.freshness.as_ref().err().and_then(|stale| stale.age);
        json_reply(&json!({
            "cluster": self.member.settings_at_start.name,
            "id": status.id,
            "role": role_name(status.role),
            "term": status.term,
            "leader": status.leader,
            "commit": status.commit,
            "applied": status.applied,
            "revision": status.revision,
            "routes": status.freshness.is_ok(),
            "state_age_ms": state_age.map(|age| age / MICROS_PER_MS),
            "stopped": self.member.runtime.stop_reason().map(|reason| reason.to_string()),
            "highest_id": status.members.highest_id,
            "members": self.members_json(&status),
        }))
    }

    fn members_json(&self, status: &ReplicaStatus) -> Vec<Value> {
        let config = self.member.config_with_members();
        let own = self.member.settings_at_start.addresses();
        let member = |id: u64| {
            let recorded = config.members.get(&id);
            let listen = recorded.map(|member| member.listen);
            let progress = status.progress.iter().find(|matched| matched.id == id);
            json!({
                "id": id,
                "voter": status.members.voters.contains(&id),
                "listen": listen.or(own.get(&id).copied()),
                "api": recorded.map(|member| member.api),
                "has": progress.map(|matched| matched.index),
            })
        };
        status.members.ids().map(member).collect()
    }

    /// Carries out one step of a membership change.
    pub(super) async fn change_membership(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&[])?;
        let change = match read_json(&call.body)? {
            MembershipStep::Add { id, listen, api } => {
                // The address is recorded first, so that the leader can connect to the member.
                self.record_new_member(call, id, listen, api).await?;
                Call::ChangeMembership(MembershipChange::AddLearner(id))
            }
            MembershipStep::Promote(id) => {
                Call::ChangeMembership(MembershipChange::PromoteLearner(id))
            }
            MembershipStep::Remove(id) => Call::ChangeMembership(MembershipChange::Remove(id)),
            MembershipStep::Transfer(id) => Call::TransferLeadership(id),
        };
        let runtime = &self.member.runtime;
        match runtime.submit(change, call.timeout).await {
            CallOutcome::Completed(Response::MembershipChanged) => {}
            CallOutcome::Completed(Response::Rejected(error)) => {
                return Err(CommitError::ProposalRejected(error).into());
            }
            _ => return Err(CommitError::OutcomeUnknown.into()),
        }
        let _ = runtime.wait_until_current(call.timeout).await;
        Ok(self.cluster())
    }

    async fn record_new_member(
        &self,
        call: &ApiCall,
        id: u64,
        listen: SocketAddr,
        api: SocketAddr,
    ) -> Result<(), HttpError> {
        if id <= self.member.status().members.highest_id {
            return Err(CommitError::ProposalRejected(ProposalError::IdAlreadyUsed).into());
        }
        let address = MemberAddress {
            listen,
            api,
            disk_id: None,
        };
        let transaction = self
            .member
            .runtime
            .store(|store| shared_config::record_member(store, id, &address));
        if let Some(transaction) = transaction {
            // This commit gets a new request id, because the call's id is the one of the membership
            // change.
            let commit = self
                .member
                .commit(None, &call.operator, transaction, call.timeout);
            commit.await?;
        }
        Ok(())
    }

    /// Cordons an engine, or uncordons it.
    pub(super) async fn set_cordon(&self, call: &ApiCall, cordoned: bool) -> ReplyResult {
        call.query.allow_only(&["engine"])?;
        let engine = call.query.required_text("engine")?;
        let reconciler = &self.member.reconciler;
        let is_known = reconciler
            .targets()
            .is_some_and(|targets| targets.engine_ids.is_known(engine));
        let is_cordoned = reconciler.config().cordons.contains(engine);
        if !is_known && !is_cordoned {
            let detail = format!("no engine {engine:?}");
            return Err(HttpError::new(
                StatusCode::NOT_FOUND,
                "no-such-engine",
                detail,
            ));
        }
        let transaction = shared_config::set_cordon(engine, cordoned, &call.operator);
        commit_reply(self.commit(call, transaction).await?)
    }

    /// Begins or ends the drain of an instance: a member, given by its id, or a subscriber, given
    /// by its name. Without either, the call concerns this member.
    pub(super) async fn set_drain(&self, call: &ApiCall, drained: bool) -> ReplyResult {
        call.query.allow_only(&["member", "front_end"])?;
        let member = call.query.number("member")?;
        let instance = match (member, call.query.text("front_end")) {
            (Some(_), Some(_)) => {
                let detail = "`member` or `front_end` has to be given, not both";
                return Err(invalid_request(detail));
            }
            (None, Some(name)) => {
                let name = settings::gateway_name(name);
                name.map_err(|error| invalid_request(error.to_string()))?
                    .to_owned()
            }
            (member, None) => self
                .known_member(member.unwrap_or(self.member.id))?
                .to_string(),
        };
        let transaction = shared_config::set_drain(&instance, drained, &call.operator);
        commit_reply(self.commit(call, transaction).await?)
    }

    fn known_member(&self, member: u64) -> Result<u64, HttpError> {
        if self.member.status().members.contains(member) {
            Ok(member)
        } else {
            Err(CommitError::ProposalRejected(ProposalError::UnknownMember).into())
        }
    }

    /// Returns the progress of all subscribers, from the latest reports of the observers.
    pub(super) fn fleet_progress(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&[])?;
        let totals = self.member.fleet_progress();
        let behind: Map<String, Value> = BEHIND_UNDER_S
            .iter()
            .zip(totals.behind)
            .map(|(under, count)| ((*under).to_owned(), count.into()))
            .collect();
        let laggards: Vec<_> = totals
            .laggards
            .iter()
            .map(|laggard| json!({"front_end": laggard.name, "applied": laggard.applied}))
            .collect();
        let last_in_force = self.member.last_in_force();
        let last_in_force = last_in_force.map(
            |record| json!({"revision": record.revision, "after_ms": propagation_ms(&record)}),
        );
        Ok(json_reply(&json!({
            "revision": totals.revision,
            "in_force": totals.in_force,
            "last_in_force": last_in_force,
            "serving": totals.serving,
            "not_serving": totals.not_serving,
            "behind_under_s": behind,
            "laggards": laggards,
            "observers": totals.observers,
            "silent_observers": totals.silent_observers,
        })))
    }
}
