//! What goes into a member and what comes out: its configuration, what its disk kept, effects and answers.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use violetgate_raft::{Config, Entry, Hard, Message, Meta, NodeId, Rejected, Write};
use violetgate_replicated_state::{Micros, Outcome};

/// What a disk kept of a member.
#[derive(Debug, Clone, Default)]
pub struct Found {
    /// Term and vote.
    pub hard: Hard,
    /// What the snapshot stands for.
    pub base: Meta,
    /// The snapshot.
    pub state: Vec<u8>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// A client's call, by the name that the program gives it.
pub type Ticket = u64;

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The command was agreed on and carried out, here too.
    Done(Outcome),
    /// The step of the membership was agreed on.
    Changed,
    /// The store may be read now: it was current at some moment after the call.
    Current,
    /// Not here: ask the leader, if one is known.
    NotLeader(Option<NodeId>),
    /// It can't be taken, or not now; nothing was done.
    Rejected(Rejected),
    /// Leadership was lost before it was agreed on. It may still come to be: ask again under the same request id.
    Unsure,
}

/// What is to be done, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Make this durable, and tell by [`Member::persisted`](crate::Member::persisted).
    Write(Write),
    /// Send this.
    Send(NodeId, Message),
    /// Answer a call.
    Answer(Ticket, Answer),
    /// Keep this snapshot durably, and tell by [`Member::kept`](crate::Member::kept).
    Keep(Meta, Rc<Vec<u8>>),
    /// Put this snapshot of another member in place of all that is on disk but term and vote, and tell by
    /// [`Member::installed`](crate::Member::installed).
    Install(NodeId, Meta, Rc<Vec<u8>>),
}

/// How a member behaves beyond its core.
#[derive(Debug, Clone, Copy)]
pub struct MemberConfig {
    /// The core.
    pub core: Config,
    /// A snapshot is kept after so many entries.
    pub snapshot_every: u64,
    /// The drain limit: state older than this is not routed on.
    pub drain_limit: Micros,
    /// How often the state is confirmed.
    pub confirm_every: Micros,
}

impl Default for MemberConfig {
    fn default() -> Self {
        let core = Config::default();
        MemberConfig {
            core,
            snapshot_every: 10_000,
            drain_limit: 2_000_000,
            confirm_every: 250_000,
        }
    }
}
