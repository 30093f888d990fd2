//! Calls of this member's program: each waits for its answer, for a bounded time.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use violetgate_raft::{MembershipChange, NodeId, ProposalError, Role};
use violetgate_replica::{CallId, Replica, Response};
use violetgate_replicated_state::Operation;

use super::status::ReplicaStatus;
use super::ReplicaRuntime;
use crate::wire::{Call, Frame};

/// How often a call that got no answer is made again, under the same request id.
const AGAIN: Duration = Duration::from_millis(150);
/// How long one try of a call to be agreed on may take before it is made again, and the pause between two.
pub(super) const TRY: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(20);

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was answered.
    Completed(Response),
    /// It was not, in the time that it had. A command may still come to be.
    TimedOut,
}

#[derive(Default)]
/// Where the answer to one call is waited for.
pub(super) struct Slot {
    answer: RefCell<Option<Response>>,
    waker: RefCell<Option<Waker>>,
}

impl ReplicaRuntime {
    fn ticket(&self) -> CallId {
        self.last_ticket.set(self.last_ticket.get() + 1);
        self.last_ticket.get()
    }

    /// Makes one call, and waits for its answer for so long at most.
    async fn call(&self, within: Duration, act: impl FnOnce(&mut Replica, CallId)) -> CallOutcome {
        let ticket = self.ticket();
        let slot = Rc::new(Slot::default());
        self.pending_calls
            .borrow_mut()
            .insert(ticket, Rc::clone(&slot));
        // Whichever way this ends, nobody waits for it any more: also where its future is dropped.
        let _forget = Forget(self, ticket);
        self.with(|m| act(m, ticket));
        slot.filled(within).await
    }

    /// Carries a call out here, if this member leads.
    pub(super) async fn here(&self, call: Call, within: Duration) -> CallOutcome {
        match call {
            Call::Propose { request, who, step } => {
                self.propose(Some(request), &who, step, within).await
            }
            Call::ChangeMembership(change) => self.change_membership(change, within).await,
            Call::TransferLeadership(to) => {
                CallOutcome::Completed(match self.transfer_leadership(to) {
                    Ok(()) => Response::MembershipChanged,
                    Err(ProposalError::NotLeader) => Response::NotLeader(self.status().leader),
                    Err(why) => Response::Rejected(why),
                })
            }
        }
    }

    /// Has another member carry a call out.
    async fn there(&self, to: NodeId, call: Call, within: Duration) -> CallOutcome {
        let number = self.ticket();
        let slot = Rc::new(Slot::default());
        self.forwarded_calls
            .borrow_mut()
            .insert(number, Rc::clone(&slot));
        let _forget = Unask(self, number);
        self.transport
            .send(to, &Frame::ForwardCall { id: number, call });
        // One that is no longer held for the leader won't answer, or another one can sooner.
        let deposed = async {
            while self.member.borrow().raft().leader() == Some(to) {
                Timer::after(PAUSE / 2).await;
            }
            CallOutcome::TimedOut
        };
        slot.filled(within).or(deposed).await
    }

    /// Has a call agreed on, whoever leads: asked again, under its one request id, until its fate is known or its
    /// time is over. [`CallOutcome::TimedOut`]: it may still come to be; the same call again tells.
    pub async fn submit(&self, call: Call, within: Duration) -> CallOutcome {
        let until = Instant::now() + within;
        let mut unsure = false;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stop_reason.borrow().is_some() {
                return CallOutcome::TimedOut;
            }
            let ReplicaStatus {
                id, role, leader, ..
            } = self.status();
            let answered = match leader {
                _ if role == Role::Leader => self.here(call.clone(), left.min(TRY)).await,
                Some(leader) if leader != id => {
                    self.there(leader, call.clone(), left.min(TRY)).await
                }
                _ => CallOutcome::Completed(Response::NotLeader(None)),
            };
            match answered {
                CallOutcome::TimedOut | CallOutcome::Completed(Response::OutcomeUnknown) => {
                    unsure = true
                }
                CallOutcome::Completed(
                    Response::NotLeader(_)
                    | Response::Rejected(ProposalError::Busy | ProposalError::ChangeInProgress),
                ) => {}
                // A step that was taken by an earlier try can't be taken again.
                CallOutcome::Completed(Response::Rejected(_)) if unsure && self.taken(&call) => {
                    return CallOutcome::Completed(Response::MembershipChanged);
                }
                told => return told,
            }
            Timer::after(PAUSE.min(left)).await;
        }
    }

    fn taken(&self, call: &Call) -> bool {
        let member = self.member.borrow();
        let members = member.membership();
        match call {
            Call::ChangeMembership(MembershipChange::AddLearner(id)) => members.contains(*id),
            Call::ChangeMembership(MembershipChange::PromoteLearner(id)) => {
                members.voters.contains(id)
            }
            Call::ChangeMembership(MembershipChange::Remove(id)) => !members.contains(*id),
            Call::Propose { .. } | Call::TransferLeadership(_) => false,
        }
    }

    /// Proposes a command here, once. `request` makes it safe to ask again.
    pub async fn propose(
        &self,
        request: Option<String>,
        who: &str,
        step: Operation,
        within: Duration,
    ) -> CallOutcome {
        self.call(within, |m, ticket| {
            m.propose(ticket, request, who.to_owned(), step)
        })
        .await
    }

    /// One step of the membership.
    pub async fn change_membership(
        &self,
        change: MembershipChange,
        within: Duration,
    ) -> CallOutcome {
        self.call(within, |m, ticket| m.change_membership(ticket, change))
            .await
    }

    /// Waits until the store is current, by asking again where no answer comes. False: it was not, in that time.
    pub async fn wait_until_current(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            if self.call(left.min(AGAIN), Replica::read).await
                == CallOutcome::Completed(Response::ReadReady)
            {
                return true;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        false
    }

    /// Hands leadership over.
    ///
    /// # Errors
    ///
    /// It can't be.
    pub fn transfer_leadership(&self, to: NodeId) -> Result<(), ProposalError> {
        self.with(|m| m.transfer_leadership(to))
    }
}

impl Slot {
    pub(super) fn fill(&self, answer: Response) {
        *self.answer.borrow_mut() = Some(answer);
        self.waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    pub(super) async fn filled(&self, within: Duration) -> CallOutcome {
        let answered = poll_fn(|cx| match self.answer.borrow_mut().take() {
            Some(answer) => Poll::Ready(CallOutcome::Completed(answer)),
            None => {
                *self.waker.borrow_mut() = Some(cx.waker().clone());
                Poll::Pending
            }
        });
        let late = async {
            Timer::after(within).await;
            CallOutcome::TimedOut
        };
        answered.or(late).await
    }
}

/// Takes a poll back that nobody waits for.
struct Unask<'a>(&'a ReplicaRuntime, u64);

impl Drop for Unask<'_> {
    fn drop(&mut self) {
        self.0.forwarded_calls.borrow_mut().remove(&self.1);
    }
}

/// Takes a call back that nobody waits for.
struct Forget<'a>(&'a ReplicaRuntime, CallId);

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.0.pending_calls.borrow_mut().remove(&self.1);
        self.0.member.borrow_mut().cancel(self.1);
    }
}
