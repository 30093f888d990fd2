//! What a member knows of one other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::member_update::{MemberName, MemberState, MemberUpdate};
use crate::Micros;

/// Another member, as the view has it.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// What is known of it; shared where views are copied, as most updates never change.
    pub update: Arc<MemberUpdate>,
    /// Since when it is in its state.
    pub state_since: Micros,
    /// The observers that have no answer, as of this number of refutations.
    pub accusers: BTreeSet<MemberName>,
    /// When a message of its own last arrived.
    pub last_message_at: Micros,
    /// Since when it answers indirect probes only.
    pub link_cut_since: Option<Micros>,
    /// When it is to be probed next.
    pub next_probe_at: Micros,
    /// How often it was declared dead and came back in this incarnation.
    pub revivals: u32,
    /// Its index among the serving members; only the peer table sets it.
    pub serving_index: Option<u32>,
}

impl Peer {
    /// A peer that is known from now on.
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

    /// Whether it may be serving: then it is on the observer rings. A suspect counts, since it may
    /// only be unreachable from here.
    pub fn is_serving(&self) -> bool {
        matches!(self.update.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// A member as callers see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: MemberName,
    /// Where it receives datagrams.
    pub addr: SocketAddr,
    /// Its state.
    pub state: MemberState,
    /// Since when it is in that state, on the caller's clock.
    pub state_since: Micros,
    /// Since when it answers indirect probes only, on the caller's clock.
    pub link_cut_since: Option<Micros>,
    /// When its process started, in Unix microseconds.
    pub incarnation: u64,
    /// How often it has refuted a suspicion.
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
