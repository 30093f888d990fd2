//! Calls that this replica carries out itself. Each waits for its answer up to a timeout.

use std::time::{Duration, Instant};

use async_io::Timer;
use violetgate_raft::{MembershipChange, NodeId, ProposalError};
use violetgate_replica::{CallId, Replica, Response};
use violetgate_replicated_state::Operation;

use super::pending_answer::PendingEntry;
use super::ReplicaRuntime;

/// The maximum duration of one linearizable read. After it, the read is started again.
const READ_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// The delay between two attempts of a linearizable read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The outcome of a call, as its caller learns it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call was answered.
    Completed(Response),
    /// No answer arrived before the timeout. A command may still be committed.
    TimedOut,
}

impl ReplicaRuntime {
    /// Returns the id of a new call. The ids of different processes differ, as the leader may answer
    /// a forwarded call after this replica was restarted.
    pub(super) fn next_call_id(&self) -> CallId {
        self.last_call.set(self.last_call.get().wrapping_add(1));
        self.last_call.get()
    }

    /// Makes one call to the core and waits for its answer.
    async fn call(
        &self,
        timeout: Duration,
        start: impl FnOnce(&mut Replica, CallId),
    ) -> CallOutcome {
        let id = self.next_call_id();
        let entry = PendingEntry::new(&self.pending_calls, id);
        let _cancel = CancelOnDrop { runtime: self, id };
        self.drive(|replica| start(replica, id));
        entry.wait(timeout).await
    }

    /// Proposes a command at this replica, without a retry. A command with a request id may be
    /// proposed several times and is applied once.
    pub async fn propose(
        &self,
        request_id: Option<String>,
        actor: &str,
        operation: Operation,
        timeout: Duration,
    ) -> CallOutcome {
        let start = |replica: &mut Replica, id| {
            replica.propose(id, request_id, actor.to_owned(), operation);
        };
        self.call(timeout, start).await
    }

    /// Proposes one membership change at this replica, without a retry.
    pub async fn change_membership(
        &self,
        change: MembershipChange,
        timeout: Duration,
    ) -> CallOutcome {
        let start = |replica: &mut Replica, id| replica.change_membership(id, change);
        self.call(timeout, start).await
    }

    /// Waits until the store is current, and retries the linearizable read if there is no answer.
    /// Returns whether the store became current before the timeout.
    pub async fn wait_until_current(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let outcome = self.call(remaining.min(READ_ATTEMPT_TIMEOUT), Replica::read);
            if outcome.await == CallOutcome::Completed(Response::ReadReady) {
                return true;
            }
            Timer::after(READ_RETRY_DELAY).await;
        }
    }

    /// Transfers leadership to another replica.
    ///
    /// # Errors
    ///
    /// This replica is not the leader, or the other one can't become leader.
    pub fn transfer_leadership(&self, to: NodeId) -> Result<(), ProposalError> {
        self.drive(|replica| replica.transfer_leadership(to))
    }
}

/// Cancels a call in the core when its caller no longer waits for it.
struct CancelOnDrop<'a> {
    runtime: &'a ReplicaRuntime,
    id: CallId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.runtime.replica.borrow_mut().cancel(self.id);
    }
}
