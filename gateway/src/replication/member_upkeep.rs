//! The periodic tasks of a member: it watches its fence and its leader, and maintains its own
//! record and, as the leader, the stored engine list.

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
/// How long the commit of one record may take.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Who requested the records, in the change log.
const MEMBER_OPERATOR: &str = "member";
const ENGINE_LIST_OPERATOR: &str = "bus";

/// Checks the fence, and logs a new leader and a stop of the replica.
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

/// Updates this member's record and, as the leader, the stored engine list.
pub(super) async fn keep_records(member: Weak<ClusterMember>) {
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

/// Whether a member's address could be recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AddressRecord {
    /// It is recorded, or will be once a commit succeeds.
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

    /// The engine list, if this member is the leader and the stored one is older.
    fn newer_engine_list(&self) -> Option<EngineListSnapshot> {
        if self.status().role != Role::Leader {
            return None;
        }
        let discovery = &self.reconciler.targets()?.discovery;
        // Compared before it is copied: it seldom changes.
        let last_offset = discovery.last_offset()?;
        let stored = self.runtime.store(engine_list::stored_offset);
        if stored.is_some_and(|stored| stored >= last_offset) {
            return None;
        }
        discovery.retained_list()
    }

    /// Stores a list, in as many transactions as it takes.
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
