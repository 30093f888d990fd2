//! What members say to each other, and what a node asks of the program around it. Plain data.

use serde::{Deserialize, Serialize};

use crate::{Index, Membership, NodeId, Term};

/// What an entry holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leadership.
    Blank,
    /// What the state machine is to do.
    Command(Vec<u8>),
    /// Who belongs to the cluster from here on.
    Membership(Membership),
}

impl Payload {
    /// Bytes that it holds, about.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Payload::Blank => 16,
            Payload::Command(c) => 32 + c.len(),
            Payload::Membership(m) => 64 + 16 * (m.voters.len() + m.learners.len()),
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The leadership that made it.
    pub term: Term,
    /// Its place.
    pub index: Index,
    /// What it holds.
    pub payload: Payload,
}

/// What has to be durable before it is spoken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The latest leadership known.
    pub term: Term,
    /// Who got this member's vote in it.
    pub vote: Option<NodeId>,
}

/// What a snapshot stands for.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// The last entry that it holds.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The members at that entry.
    pub members: Membership,
}

/// One write. Writes are done in the order in which they come, each whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StorageWrite {
    /// Its number; [`crate::RaftNode::persisted`] is told it.
    pub seq: u64,
    /// Term and vote, if they changed.
    pub hard: Option<HardState>,
    /// Entries from here on are taken away first.
    pub truncate: Option<Index>,
    /// Entries to be appended.
    pub append: Vec<Entry>,
}

/// What one member says to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in this term? Nothing changes by asking.
    PreVote {
        /// The term that would be begun.
        term: Term,
        /// The asker's last entry.
        last: (Term, Index),
    },
    /// The answer.
    PreVoteReply {
        /// The term that was asked for, or the answerer's own where that is later.
        term: Term,
        /// Yes.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// The term that is begun.
        term: Term,
        /// The asker's last entry.
        last: (Term, Index),
        /// The leader itself has asked for it.
        transfer: bool,
    },
    /// The answer.
    VoteReply {
        /// The answerer's term.
        term: Term,
        /// Yes.
        granted: bool,
    },
    /// Entries from the leader; without any, its sign of life.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one here.
        prev: (Term, Index),
        /// The entries.
        entries: Vec<Entry>,
        /// All up to here is agreed on.
        commit: Index,
        /// The leader's count of rounds, which the answer tells back.
        round: u64,
    },
    /// The answer.
    AppendReply {
        /// The answerer's term.
        term: Term,
        /// All up to here is as the leader has it, and durable; or where to try next.
        matched: Result<Index, Index>,
        /// The round that was asked.
        round: u64,
    },
    /// A part of a snapshot.
    Snapshot {
        /// The leader's term.
        term: Term,
        /// What the snapshot stands for.
        meta: SnapshotMetadata,
        /// Where this part begins.
        offset: u64,
        /// The part.
        data: Vec<u8>,
        /// It is the last one.
        done: bool,
    },
    /// The answer: go on from there.
    SnapshotReply {
        /// The answerer's term.
        term: Term,
        /// The snapshot's last entry.
        index: Index,
        /// The next byte wanted; `None`: it is whole, and installed.
        next: Option<u64>,
    },
    /// Up to which entry must I have applied so that what I read is current?
    Read {
        /// The asker's name for the question.
        ctx: u64,
    },
    /// The answer; `None`: I can't tell.
    ReadReply {
        /// The question.
        ctx: u64,
        /// The entry.
        index: Option<Index>,
    },
    /// Begin a term at once: the leader hands over.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

/// What a node asks of the program around it, to be done in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Make this durable, and tell by [`crate::RaftNode::persisted`].
    Persist(StorageWrite),
    /// Send this. It may be lost, late, doubled or out of order.
    Send(NodeId, Message),
    /// Apply these to the state machine; they are agreed on and durable here.
    Apply(Vec<Entry>),
    /// A read may be answered once all up to `index` is applied.
    ReadReady {
        /// The question.
        ctx: u64,
        /// The entry.
        index: Index,
    },
    /// A read can't be answered: no leader is known, or it has lost its place.
    ReadFailed {
        /// The question.
        ctx: u64,
    },
    /// Read a part of the latest snapshot, and give it to [`crate::RaftNode::chunk`].
    LoadSnapshotChunk {
        /// Whom it is for.
        to: NodeId,
        /// Where it begins.
        offset: u64,
    },
    /// Put a part of a snapshot aside, and tell by [`crate::RaftNode::stored`]. With the last one the snapshot
    /// replaces the state machine's state and the log, durably, before that is told.
    StoreSnapshotChunk {
        /// Who sent it.
        from: NodeId,
        /// What it stands for.
        meta: SnapshotMetadata,
        /// Where this part begins.
        offset: u64,
        /// The part.
        data: Vec<u8>,
        /// It is the last one.
        done: bool,
    },
}
