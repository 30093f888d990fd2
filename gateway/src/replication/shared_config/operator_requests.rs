//! Builds the transactions for operators' requests and for the address records of members.

use violetgate_replicated_state::{Condition, Entries, Mutation, Revision, Txn};

use super::encoding::{
    put, requested_by, MemberAddress, CORDON_PREFIX, DRAIN_PREFIX, MEMBER_PREFIX,
};

/// Returns the transaction that cordons or uncordons an engine.
#[must_use]
pub fn set_cordon(engine: &str, cordoned: bool, operator: &str) -> Txn {
    set_flag(format!("{CORDON_PREFIX}{engine}"), cordoned, operator)
}

/// Returns the transaction that begins or ends the drain of an instance. `instance` is a member's
/// id or a subscriber's name.
#[must_use]
pub fn set_drain(instance: &str, drained: bool, operator: &str) -> Txn {
    set_flag(format!("{DRAIN_PREFIX}{instance}"), drained, operator)
}

fn set_flag(key: String, is_set: bool, operator: &str) -> Txn {
    let mutation = if is_set {
        put(key, requested_by(operator))
    } else {
        Mutation::Delete(key)
    };
    Txn {
        then: vec![mutation],
        ..Txn::default()
    }
}

/// Returns the transaction that records a member's addresses, or `None` if they are recorded
/// already.
///
/// If another disk is recorded under the same id, the transaction has a condition that never holds,
/// so that it changes nothing.
#[must_use]
pub fn record_member(state: &impl Entries, id: u64, address: &MemberAddress) -> Option<Txn> {
    let key = format!("{MEMBER_PREFIX}{id}");
    let entry = state.entry(&key);
    let recorded: Option<MemberAddress> =
        entry.and_then(|current| serde_json::from_slice(current.value).ok());
    if recorded.as_ref() == Some(address) {
        return None;
    }
    let is_other_disk = recorded
        .and_then(|member| member.disk_id)
        .is_some_and(|disk_id| Some(disk_id) != address.disk_id);
    let expected_revision = if is_other_disk {
        // No key ever reaches this revision, so the condition can't hold.
        Revision::MAX
    } else {
        entry.map_or(0, |current| current.revision)
    };
    Some(Txn {
        conditions: vec![Condition::RevisionIs(key.clone(), expected_revision)],
        then: vec![put(key, serde_json::to_vec(address).ok()?)],
        ..Txn::default()
    })
}
