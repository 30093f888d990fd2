//! The periodic tasks of a member: watching its fence and leader, and maintaining its address
//! record and, on the leader, the stored engine list.

use std::rc::Weak;
use std::time::Duration;

use async_io::Timer;
use violetgate_policy::interface::Micros;
use violetgate_raft::Role;
use violetgate_replicated_state::Revision;

use super::member::ClusterMember;
use super::shared_config::{self, engine_list, MemberAddress};
use super::FENCE_CHECK_INTERVAL;
use crate::clock::micros;
use crate::discovery::DiscoverySource;
use crate::fence::Fence as _;
use crate::log;

/// How often the records are compared with the store.
const RECORD_INTERVAL: Duration = Duration::from_millis(200);
/// The list is stored only if the event bus has confirmed it within this time. The bus sends a line
/// every second.
const LIST_CONFIRMED_WITHIN: Duration = Duration::from_millis(1_400);
/// The time within which the commit of one record has to complete.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// The name in the change log's operator field for updates of a member's address record.
const MEMBER_OPERATOR: &str = "member";
/// The name in the change log's operator field for updates of the stored engine list.
const ENGINE_LIST_OPERATOR: &str = "bus";

/// Checks the fence periodically, and logs a change of leader and a stop of the replica. Ends when
/// the member is dropped.
pub(super) async fn watch_fence(member: Weak<ClusterMember>) {
    let mut known_leader = None;
    let mut stop_is_logged = false;
    while let Some(member) = member.upgrade() {
        member.check_fence();
        let status = member.status();
        if known_leader != status.leader && status.leader.is_some() {
            known_leader = status.leader;
            let (term, id) = (status.term, known_leader.unwrap_or_default());
            log::write_line(format_args!("cluster leader={id} term={term}"));
        }
        if let Some(reason) = member.runtime.stop_reason().filter(|_| !stop_is_logged) {
            stop_is_logged = true;
            log::write_line(format_args!("cluster reason=disk member stopped: {reason}"));
        }
        drop(member);
        Timer::after(FENCE_CHECK_INTERVAL).await;
    }
}

/// Periodically updates the member's address record and, on the leader, the stored engine list.
/// Ends when the member is dropped.
pub(super) async fn update_records(member: Weak<ClusterMember>) {
    let mut conflict_is_logged = false;
    while let Some(member) = member.upgrade() {
        if member.is_open() {
            let recorded = member.record_address().await;
            if recorded == AddressRecord::OtherDisk && !conflict_is_logged {
                conflict_is_logged = true;
                log::write_line("cluster reason=id another disk goes by this member's id");
            }
            member.update_engine_list().await;
        }
        drop(member);
        Timer::after(RECORD_INTERVAL).await;
    }
}

/// The result of recording a member's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AddressRecord {
    /// The address is recorded, or the next round tries again to record it.
    NoConflict,
    /// Another disk is recorded under this member's id.
    OtherDisk,
}

impl ClusterMember {
    async fn record_address(&self) -> AddressRecord {
        let address = MemberAddress {
            listen: self.settings_at_start.listen,
            api: self.settings_at_start.api,
            disk_id: Some(self.runtime.disk_id()),
        };
        let transaction = self
            .runtime
            .store(|store| shared_config::record_member(store, self.id, &address));
        let Some(transaction) = transaction else {
            return AddressRecord::NoConflict;
        };
        let commit = self.commit(None, MEMBER_OPERATOR, transaction, RECORD_TIMEOUT);
        match commit.await {
            Ok(commit) if !commit.conditions_held => AddressRecord::OtherDisk,
            _ => AddressRecord::NoConflict,
        }
    }

    /// Stores the engine list if this member is the leader, its event bus confirms the list, and
    /// the stored one differs or has to be confirmed again.
    async fn update_engine_list(&self) {
        if self.status().role != Role::Leader {
            self.stored_list.set(None);
            return;
        }
        let Some(targets) = self.reconciler.targets() else {
            return;
        };
        let discovery = &targets.discovery;
        let age = discovery.confirmation_age();
        let Some(age) = age.filter(|age| *age <= LIST_CONFIRMED_WITHIN) else {
            return;
        };
        let confirmed_at = targets.clock.now().saturating_sub(micros(age));
        if !self.has_stored_list(discovery, confirmed_at) {
            self.store_engine_list(discovery, confirmed_at).await;
        }
    }

    /// Returns whether this member has stored the list as it is and need not confirm it again, and
    /// nobody has changed it since. Only versions are compared here, as the list rarely changes and
    /// may be long.
    fn has_stored_list(&self, discovery: &DiscoverySource, confirmed_at: Micros) -> bool {
        let confirmation = self.runtime.store(engine_list::ListConfirmation::read);
        let Some(confirmation) =
            confirmation.filter(|confirmation| !confirmation.is_due(confirmed_at))
        else {
            return false;
        };
        self.stored_list.get()
            == Some(StoredListVersion {
                own: discovery.list_version(),
                revision: confirmation.revision,
            })
    }

    /// Stores the list that the event bus confirmed at `confirmed_at`, in several transactions if it
    /// is long. Stops at the first one that fails; the next round continues.
    async fn store_engine_list(&self, discovery: &DiscoverySource, confirmed_at: Micros) {
        let list = discovery.retained_list();
        if !list.is_known() {
            return;
        }
        let next = || {
            self.runtime
                .store(|store| engine_list::next_update(store, &list, confirmed_at))
        };
        while let Some(transaction) = next() {
            let commit = self.commit(None, ENGINE_LIST_OPERATOR, transaction, RECORD_TIMEOUT);
            let held = commit.await.is_ok_and(|commit| commit.conditions_held);
            if !held {
                return;
            }
        }
        let confirmation = self.runtime.store(engine_list::ListConfirmation::read);
        self.stored_list
            .set(confirmation.map(|confirmation| StoredListVersion {
                own: list.version,
                revision: confirmation.revision,
            }));
    }
}

/// The engine list that a leader has stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StoredListVersion {
    /// The version of the list in this process.
    own: u64,
    /// The revision of the replicated state that completed the update.
    revision: Revision,
}
