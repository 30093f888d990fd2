//! Calls about members, front ends and engines.

use std::net::SocketAddr;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};
use violetgate_raft::{MembershipChange, ProposalError, Role};
use violetgate_replica::Response;
use violetgate_replica_runtime::{Call, CallOutcome};

use super::super::metrics::{until_in_force, BEHIND};
use super::super::shared_config::{self, MemberAddress};
use super::super::CommitError;
use super::http::{bad, problem, told, Answering, Reply};
use super::query::ApiCall;
use super::Api;
use crate::http_error::HttpError;
use crate::settings;

/// A step of the membership, as an operator writes it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MembershipStep {
    /// A new member: its id and where it is.
    Add {
        /// Its id.
        id: u64,
        /// For other members.
        listen: SocketAddr,
        /// For operators.
        api: SocketAddr,
    },
    /// A learner becomes a voter.
    Promote(u64),
    /// A member leaves for good.
    Remove(u64),
    /// Leadership goes to a voter.
    Transfer(u64),
}

impl Api {
    pub(super) fn cluster(&self) -> Reply {
        let status = self.daemon.status();
        let role = match status.role {
            Role::Leader => "leader",
            Role::Candidate => "candidate",
            Role::Follower => "follower",
        };
        let view = self.daemon.state.view();
        let given = self.daemon.given.addresses();
        let members: Vec<_> = status
            .members
            .ids()
            .map(|id| {
                let record = view.members.get(&id);
                let matched = status
                    .progress
                    .iter()
                    .find(|matched| matched.id == id)
                    .map(|matched| matched.index);
                json!({
                    "id": id,
                    "voter": status.members.voters.contains(&id),
                    "listen": record.map(|r| r.listen).or(given.get(&id).copied()),
                    "api": record.map(|r| r.api),
                    "has": matched,
                })
            })
            .collect();
        told(&json!({
            "cluster": self.daemon.given.name,
            "id": status.id, "role": role, "term": status.term, "leader": status.leader,
            "commit": status.commit, "applied": status.applied, "revision": status.revision,
            "routes": status.freshness.is_ok(),
            "state_age_ms": status.freshness.err().and_then(|s| s.age).map(|a| a / 1000),
            "stopped": self.daemon.cluster.stop_reason().map(|reason| reason.to_string()),
            "highest_id": status.members.highest_id,
            "members": members,
        }))
    }

    pub(super) async fn member(&self, call: &ApiCall) -> Answering {
        call.query.only(&[])?;
        let step: MembershipStep =
            serde_json::from_slice(&call.body).map_err(|e| bad(format!("the body: {e}")))?;
        let change = match step {
            MembershipStep::Add { id, listen, api } => {
                // Where it is comes first, so that the leader finds it.
                let record = MemberAddress {
                    listen,
                    api,
                    born: None,
                };
                let known = self.daemon.status().members.highest_id;
                if id <= known {
                    return Err(CommitError::Rejected(ProposalError::IdAlreadyUsed).into());
                }
                let txn = self
                    .daemon
                    .cluster
                    .store(|s| shared_config::member(s, id, &record));
                if let Some(txn) = txn {
                    self.daemon.agree(None, &call.who, txn, call.within).await?;
                }
                Call::ChangeMembership(MembershipChange::AddLearner(id))
            }
            MembershipStep::Promote(id) => {
                Call::ChangeMembership(MembershipChange::PromoteLearner(id))
            }
            MembershipStep::Remove(id) => Call::ChangeMembership(MembershipChange::Remove(id)),
            MembershipStep::Transfer(id) => Call::TransferLeadership(id),
        };
        match self.daemon.cluster.submit(change, call.within).await {
            CallOutcome::Completed(Response::MembershipChanged) => {}
            CallOutcome::Completed(Response::Rejected(why)) => {
                return Err(CommitError::Rejected(why).into())
            }
            _ => return Err(CommitError::Late.into()),
        }
        let _ = self.daemon.cluster.wait_until_current(call.within).await;
        Ok(self.cluster())
    }

    pub(super) async fn cordon(&self, call: &ApiCall, out: bool) -> Answering {
        call.query.only(&["engine"])?;
        let engine = call.query.needed("engine")?;
        let known = self
            .daemon
            .state
            .parts()
            .is_some_and(|p| p.ids.known(&engine));
        let called = self.daemon.state.view().cordons.contains(&engine);
        if !known && !called {
            return Err(problem(
                StatusCode::NOT_FOUND,
                "no-such-engine",
                format!("no engine {engine:?}"),
            ));
        }
        Self::held(
            self.agree(call, shared_config::cordon(&engine, out, &call.who))
                .await?,
        )
    }

    /// Drains a member by its id, or a front end that subscribes by its name.
    pub(super) async fn drain(&self, call: &ApiCall, on: bool) -> Answering {
        call.query.only(&["member", "front_end"])?;
        let member = call.query.number("member")?;
        let instance = match (member, call.query.text("front_end")) {
            (Some(_), Some(_)) => {
                return Err(bad("`member` or `front_end` has to be given, not both"))
            }
            (None, Some(name)) => settings::front_end_name(name).map_err(bad)?.to_owned(),
            (member, None) => self
                .known_member(member.unwrap_or(self.daemon.id))?
                .to_string(),
        };
        Self::held(
            self.agree(call, shared_config::drain(&instance, on, &call.who))
                .await?,
        )
    }

    fn known_member(&self, member: u64) -> Result<u64, HttpError> {
        if self.daemon.status().members.contains(member) {
            Ok(member)
        } else {
            Err(CommitError::Rejected(ProposalError::UnknownMember).into())
        }
    }

    /// How far all front ends that subscribe are, as observers reported it of late.
    pub(super) fn fleet_progress(&self, call: &ApiCall) -> Answering {
        call.query.only(&[])?;
        let totals = self.daemon.fleet_progress();
        let behind: Map<String, Value> = BEHIND
            .iter()
            .zip(totals.behind)
            .map(|(under, count)| ((*under).to_owned(), count.into()))
            .collect();
        let laggards: Vec<_> = totals
            .laggards
            .iter()
            .map(|laggard| json!({"front_end": laggard.name, "applied": laggard.applied}))
            .collect();
        let last = self.daemon.last_in_force();
        let last = last.map(|r| json!({"revision": r.revision, "after_ms": until_in_force(&r)}));
        Ok(told(&json!({
            "revision": totals.revision,
            "in_force": totals.in_force,
            "last_in_force": last,
            "serving": totals.serving,
            "not_serving": totals.not_serving,
            "behind_under_s": behind,
            "laggards": laggards,
            "observers": totals.observers,
            "silent_observers": totals.silent_observers,
        })))
    }
}
