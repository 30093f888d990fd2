//! The periodic tasks of a member: watching its fence and leader, and maintaining its address
//! record and, on the leader, the stored engine list.

use std::rc::Weak;
use std::time::Duration;

use async_io::Timer;
use violetgate_raft::Role;

use super::member::ClusterMember;
use super::shared_config::{self, engine_list, MemberAddress};
use super::FENCE_CHECK_INTERVAL;
use crate::discovery::EngineListSnapshot;
use crate::fence::Fence as _;
use crate::log;

/// How often the records are compared with the store.
const RECORD_INTERVAL: Duration = Duration::from_millis(200);
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
            if let Some(list) = member.newer_engine_list() {
                member.store_engine_list(&list).await;
            }
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

    /// Returns the engine list if this member is the leader and the stored list is older.
    fn newer_engine_list(&self) -> Option<EngineListSnapshot> {
        if self.status().role != Role::Leader {
            return None;
        }
        let discovery = &self.reconciler.targets()?.discovery;
        // The offsets are compared before the list is copied, because the list rarely changes.
        let last_offset = discovery.last_offset()?;
        let stored = self.runtime.store(engine_list::stored_offset);
        if stored.is_some_and(|stored| stored >= last_offset) {
            return None;
        }
        discovery.retained_list()
    }

    /// Stores an engine list, in several transactions if it is long. Stops at the first one that
    /// fails; the next round continues.
    async fn store_engine_list(&self, list: &EngineListSnapshot) {
        let next = || {
            self.runtime
                .store(|store| engine_list::next_update(store, list))
        };
        while let Some(transaction) = next() {
            let commit = self.commit(None, ENGINE_LIST_OPERATOR, transaction, RECORD_TIMEOUT);
            let held = commit.await.is_ok_and(|commit| commit.conditions_held);
            if !held {
                break;
            }
        }
    }
}
