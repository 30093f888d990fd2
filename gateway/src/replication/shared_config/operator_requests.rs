//! Transactions for what operators request and for what members record about themselves.

use violetgate_replicated_state::{Condition, Entries, Mutation, Revision, Txn};

use super::encoding::{
    put, requested_by, MemberAddress, CORDON_PREFIX, DRAIN_PREFIX, MEMBER_PREFIX,
};

/// Cordons an engine, or uncordons it.
#[must_use]
pub fn set_cordon(engine: &str, cordoned: bool, operator: &str) -> Txn {
    set_mark(format!("{CORDON_PREFIX}{engine}"), cordoned, operator)
}

/// Drains an instance, or resumes it. `instance` is a member's id or a subscriber's name.
#[must_use]
pub fn set_drain(instance: &str, drained: bool, operator: &str) -> Txn {
    set_mark(format!("{DRAIN_PREFIX}{instance}"), drained, operator)
}

fn set_mark(key: String, marked: bool, operator: &str) -> Txn {
    let mutation = if marked {
        put(key, requested_by(operator))
    } else {
        Mutation::Delete(key)
    };
    Txn {
        then: vec![mutation],
        ..Txn::default()
    }
}

/// Records a member's addresses; `None`: they are recorded already.
///
/// The transaction's condition does not hold while another disk is recorded under the same id.
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
        // No key is ever of this revision: the condition can't hold.
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
