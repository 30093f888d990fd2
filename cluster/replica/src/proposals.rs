//! Proposals: commands and membership changes, and the calls that wait for their commit.

use std::collections::BTreeMap;

use violetgate_raft::{Index, LogPosition, MembershipChange, NodeId, ProposalError, Term};
use violetgate_replicated_state::{Command, Operation};

use crate::config::MAX_WAITING_CALLS;
use crate::{CallId, Replica, Response};

/// The originator that the change log names for keys that are deleted because their lease expired.
const LEASE_EXPIRY_ACTOR: &str = "leases";

/// A call that waits until its proposed entry is applied.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingProposal {
    /// The term in which the entry was proposed. An entry of another term at the same index is not
    /// the proposed one.
    pub(crate) term: Term,
    pub(crate) call: CallId,
}

/// The waiting calls, by the log index of their proposed entries.
#[derive(Debug, Default)]
pub(crate) struct PendingProposals {
    by_index: BTreeMap<Index, PendingProposal>,
}

impl PendingProposals {
    fn is_full(&self) -> bool {
        self.by_index.len() >= MAX_WAITING_CALLS
    }

    fn insert(&mut self, position: LogPosition, call: CallId) {
        let term = position.term;
        self.by_index
            .insert(position.index, PendingProposal { term, call });
    }

    pub(crate) fn take(&mut self, index: Index) -> Option<PendingProposal> {
        self.by_index.remove(&index)
    }

    /// Removes all waiting calls and returns them in the order of their entries.
    pub(crate) fn take_all(&mut self) -> Vec<CallId> {
        let all = std::mem::take(&mut self.by_index);
        all.into_values().map(|proposal| proposal.call).collect()
    }

    pub(crate) fn cancel(&mut self, call: CallId) {
        self.by_index.retain(|_, proposal| proposal.call != call);
    }
}

impl Replica {
    /// Proposes a client's command with the replica's wall-clock time. A `request_id` makes it safe
    /// to repeat the call.
    pub fn propose(
        &mut self,
        call: CallId,
        request_id: Option<String>,
        actor: String,
        operation: Operation,
    ) {
        let command = Command {
            request_id,
            actor,
            time: self.wall_clock,
            operation,
        };
        let proposed = match postcard::to_stdvec(&command) {
            Ok(bytes) if !self.pending_proposals.is_full() => self.raft.propose(bytes),
            _ => Err(ProposalError::Busy),
        };
        self.await_commit(call, proposed);
    }

    /// Proposes a membership change that an operator requested.
    pub fn change_membership(&mut self, call: CallId, change: MembershipChange) {
        let proposed = self.raft.propose_membership_change(change);
        self.await_commit(call, proposed);
    }

    /// Starts a transfer of leadership to another voter.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica is not the leader, or the target is not another voter.
    pub fn transfer_leadership(&mut self, target: NodeId) -> Result<(), ProposalError> {
        self.raft.transfer_leadership(target)
    }

    fn await_commit(&mut self, call: CallId, proposed: Result<LogPosition, ProposalError>) {
        match proposed {
            Ok(position) => self.pending_proposals.insert(position, call),
            Err(ProposalError::NotLeader) => {
                self.respond(call, Response::NotLeader(self.raft.leader()));
            }
            Err(error) => self.respond(call, Response::Rejected(error)),
        }
    }

    /// Proposes to end the leases that have expired. If a proposal isn't committed, a later tick
    /// repeats it. A duplicate has no effect.
    pub(crate) fn propose_lease_expiries(&mut self) {
        for operation in self.store.expired_leases(self.wall_clock) {
            let command = Command {
                request_id: None,
                actor: LEASE_EXPIRY_ACTOR.to_owned(),
                time: self.wall_clock,
                operation,
            };
            if let Ok(bytes) = postcard::to_stdvec(&command) {
                let _ = self.raft.propose(bytes);
            }
        }
    }
}
