//! The messages between nodes, named as in the Raft paper.
//!
//! They are encoded by postcard: the order of variants and fields is the wire format, the names
//! are free.

use serde::{Deserialize, Serialize};

use crate::{Entry, Index, LogPosition, SnapshotChunk, Term};

/// What one node sends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Queries whether the receiver would vote for the sender; it changes nothing at the receiver.
    RequestPreVote {
        /// The term that the sender would begin.
        term: Term,
        /// The sender's last entry.
        last_log: LogPosition,
    },
    /// The answer to [`Message::RequestPreVote`].
    PreVoteResponse {
        /// The requested term if granted, else the responder's own term.
        term: Term,
        /// Whether the responder would vote for the sender.
        granted: bool,
    },
    /// Requests a vote.
    RequestVote {
        /// The term that the candidate begins.
        term: Term,
        /// The candidate's last entry.
        last_log: LogPosition,
        /// The leader itself has requested the campaign: its lease on leadership doesn't
        /// protect it.
        leadership_transfer: bool,
    },
    /// The answer to [`Message::RequestVote`].
    VoteResponse {
        /// The responder's term.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries from the leader; without any, a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// The position of the entry just before these.
        previous: LogPosition,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's heartbeat round, echoed in the response.
        round: u64,
    },
    /// The answer to [`Message::AppendEntries`].
    AppendResponse {
        /// The responder's term.
        term: Term,
        /// How its log compares to the leader's.
        outcome: AppendOutcome,
        /// The round of the request.
        round: u64,
    },
    /// A part of a snapshot from the leader.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The part.
        chunk: SnapshotChunk,
    },
    /// The answer to [`Message::InstallSnapshot`].
    SnapshotResponse {
        /// The responder's term.
        term: Term,
        /// The snapshot's last entry.
        index: Index,
        /// The next byte wanted; `None`: the snapshot is complete and installed.
        next_offset: Option<u64>,
    },
    /// Requests a read index from the leader.
    ReadIndex {
        /// The sender's id of the read.
        read_id: u64,
    },
    /// The answer to [`Message::ReadIndex`].
    ReadIndexResponse {
        /// The id of the request.
        read_id: u64,
        /// The read index; `None`: the responder is not the leader.
        index: Option<Index>,
    },
    /// Makes the receiver campaign at once: the leader transfers its leadership.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

/// How a follower's log compares to what the leader has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The logs match up to this index, and the follower has all of it durably.
    Matched(Index),
    /// The logs don't match at the previous entry; they may match at this earlier index.
    Conflict(Index),
}
