//! Calls that may be made at any replica. The leader carries them out, and they are retried until
//! their outcome is known.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use violetgate_raft::{MembershipChange, NodeId, ProposalError, Role};
use violetgate_replica::{CallId, Response};

use super::calls::CallOutcome;
use super::pending_answer::PendingEntry;
use super::status::ReplicaStatus;
use super::ReplicaRuntime;
use crate::wire::{Call, PeerMessage};

/// The maximum duration of one attempt. After it, the call is made again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The interval at which a forwarded call checks whether the replica that carries it out is still
/// the leader, as far as this replica knows.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum number of calls that are carried out for other replicas at a time. Further calls are
/// rejected, and their callers retry them.
const MAX_CALLS_FOR_OTHERS: usize = 1_000;

/// Whether an earlier attempt of a call may have taken effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EarlierAttempts {
    HadNoEffect,
    MayHaveTakenEffect,
}

impl ReplicaRuntime {
    /// Submits a call to the leader. It is retried, under the same request id, until its outcome is
    /// known or the timeout has passed. After [`CallOutcome::TimedOut`] a command may still be
    /// committed; submitting the same command again then returns its outcome.
    pub async fn submit(&self, call: Call, timeout: Duration) -> CallOutcome {
        let deadline = Instant::now() + timeout;
        let mut earlier = EarlierAttempts::HadNoEffect;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.has_stopped() {
                return CallOutcome::TimedOut;
            }
            let outcome = self.attempt(&call, remaining.min(ATTEMPT_TIMEOUT)).await;
            match outcome {
                CallOutcome::TimedOut | CallOutcome::Completed(Response::OutcomeUnknown) => {
                    earlier = EarlierAttempts::MayHaveTakenEffect;
                }
                CallOutcome::Completed(response) if may_be_retried(&response) => {}
                // A membership change that an earlier attempt has made is rejected if it is
                // proposed again, so a rejection counts as success if the change is in effect.
                CallOutcome::Completed(Response::Rejected(_))
                    if earlier == EarlierAttempts::MayHaveTakenEffect
                        && self.has_taken_effect(&call) =>
                {
                    return CallOutcome::Completed(Response::MembershipChanged);
                }
                outcome => return outcome,
            }
            Timer::after(RETRY_DELAY.min(remaining)).await;
        }
    }

    /// Makes one attempt of a call, here or at the leader.
    async fn attempt(&self, call: &Call, timeout: Duration) -> CallOutcome {
        let ReplicaStatus {
            id, role, leader, ..
        } = self.status();
        match leader {
            _ if role == Role::Leader => self.carry_out_here(call.clone(), timeout).await,
            Some(leader) if leader != id => self.forward(leader, call.clone(), timeout).await,
            _ => CallOutcome::Completed(Response::NotLeader(None)),
        }
    }

    /// Carries out a call at this replica, which must be the leader for the call to succeed.
    async fn carry_out_here(&self, call: Call, timeout: Duration) -> CallOutcome {
        match call {
            Call::Propose {
                request_id,
                actor,
                operation,
            } => {
                self.propose(Some(request_id), &actor, operation, timeout)
                    .await
            }
            Call::ChangeMembership(change) => self.change_membership(change, timeout).await,
            Call::TransferLeadership(to) => {
                // A transfer has no response of its own: `MembershipChanged` stands for success.
                let response = match self.transfer_leadership(to) {
                    Ok(()) => Response::MembershipChanged,
                    Err(ProposalError::NotLeader) => Response::NotLeader(self.status().leader),
                    Err(error) => Response::Rejected(error),
                };
                CallOutcome::Completed(response)
            }
        }
    }

    /// Forwards a call to another replica and waits for its answer.
    async fn forward(&self, leader: NodeId, call: Call, timeout: Duration) -> CallOutcome {
        let id = self.next_call_id();
        let entry = PendingEntry::new(&self.forwarded_calls, id);
        self.transport
            .send(leader, &PeerMessage::ForwardCall { id, call });
        entry
            .wait(timeout)
            .or(self.wait_until_not_leader(leader))
            .await
    }

    /// Waits until `leader` is no longer the leader, as far as this replica knows. The call then
    /// ends early, because the former leader won't answer or a new one can answer sooner.
    async fn wait_until_not_leader(&self, leader: NodeId) -> CallOutcome {
        while self.replica.borrow().raft().leader() == Some(leader) {
            Timer::after(LEADER_CHECK_INTERVAL).await;
        }
        CallOutcome::TimedOut
    }

    /// Whether the membership already is as the call would make it.
    fn has_taken_effect(&self, call: &Call) -> bool {
        let replica = self.replica.borrow();
        let membership = replica.membership();
        match call {
            Call::ChangeMembership(MembershipChange::AddLearner(id)) => membership.contains(*id),
            Call::ChangeMembership(MembershipChange::PromoteLearner(id)) => {
                membership.voters.contains(id)
            }
            Call::ChangeMembership(MembershipChange::Remove(id)) => !membership.contains(*id),
            Call::Propose { .. } | Call::TransferLeadership(_) => false,
        }
    }

    /// Handles another replica's answer to a call that was forwarded to it.
    pub(super) fn on_forwarded_answer(&self, id: CallId, answer: Response) {
        let pending = self.forwarded_calls.borrow().get(&id).cloned();
        if let Some(pending) = pending {
            pending.complete(answer);
        }
    }

    /// Carries out a call for another replica and sends it the answer. If the call times out, no
    /// answer is sent and the other replica retries.
    pub(super) fn carry_out_for(&self, from: NodeId, id: CallId, call: Call) {
        if self.calls_for_others.get() >= MAX_CALLS_FOR_OTHERS {
            let answer = Response::Rejected(ProposalError::Busy);
            return self
                .transport
                .send(from, &PeerMessage::CallAnswer { id, answer });
        }
        let Some(runtime) = self.weak_self.upgrade() else {
            return;
        };
        self.calls_for_others.set(self.calls_for_others.get() + 1);
        let carrying_out = async move {
            let outcome = runtime.carry_out_here(call, ATTEMPT_TIMEOUT).await;
            if let CallOutcome::Completed(answer) = outcome {
                let answer = PeerMessage::CallAnswer { id, answer };
                runtime.transport.send(from, &answer);
            }
            let count = runtime.calls_for_others.get();
            runtime.calls_for_others.set(count - 1);
        };
        self.executor.spawn(carrying_out).detach();
    }
}

/// Whether this response means that the call had no effect and may succeed later.
fn may_be_retried(response: &Response) -> bool {
    matches!(
        response,
        Response::NotLeader(_)
            | Response::Rejected(ProposalError::Busy | ProposalError::ChangeInProgress)
    )
}
