//! The state that a member keeps about another member.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::member_update::{MemberName, MemberState, MemberUpdate};
use crate::Micros;

/// Another member in the view.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// The update of highest precedence that is known. Copies of a view share it, because most
    /// updates never change.
    pub update: Arc<MemberUpdate>,
    /// When the member entered its current state.
    pub state_since: Micros,
    /// Observers that suspect the member with the current number of refutations.
    pub accusers: BTreeSet<MemberName>,
    /// When the last message of the member arrived.
    pub last_message_at: Micros,
    /// When the link was cut; `None` if it is not.
    pub link_cut_since: Option<Micros>,
    /// When this member probes the other one next, if it is one of its observers.
    pub next_probe_at: Micros,
    /// How often the member was declared dead and came back in this incarnation.
    pub revivals: u32,
    /// Index among the serving members of the peer table, which is the only one to set it.
    pub serving_index: Option<u32>,
}

impl Peer {
    /// Creates a peer that becomes known at `now`.
    pub fn new(update: MemberUpdate, now: Micros) -> Self {
        Peer {
            state_since: now,
            accusers: update.accuser.iter().cloned().collect(),
            last_message_at: now,
            link_cut_since: None,
            next_probe_at: now,
            revivals: 0,
            serving_index: None,
            update: Arc::new(update),
        }
    }

    /// Returns whether the member may be serving. Only such members are on the observer rings. A
    /// suspect counts because it may only be unreachable from here.
    pub fn is_serving(&self) -> bool {
        matches!(self.update.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// Public view of another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the member.
    pub name: MemberName,
    /// Address at which the member receives datagrams.
    pub addr: SocketAddr,
    /// State of the member.
    pub state: MemberState,
    /// When the member entered its state, on the caller's clock.
    pub state_since: Micros,
    /// When the link to the member was cut, on the caller's clock; `None` if it is not.
    pub link_cut_since: Option<Micros>,
    /// Start time of the member's process, in Unix microseconds.
    pub incarnation: u64,
    /// Number of suspicions and deaths that the member has refuted in this incarnation.
    pub refutations: u32,
}

impl From<&Peer> for Member {
    fn from(peer: &Peer) -> Self {
        Member {
            name: MemberName::clone(&peer.update.name),
            addr: peer.update.addr,
            state: peer.update.state,
            state_since: peer.state_since,
            link_cut_since: peer.link_cut_since,
            incarnation: peer.update.incarnation,
            refutations: peer.update.refutations,
        }
    }
}
