//! The messages between nodes, named after those of the Raft paper.
//!
//! Messages are encoded by postcard. The order of variants and fields is part of the wire format;
//! their names are not.

use serde::{Deserialize, Serialize};

use crate::{Entry, Index, LogPosition, SnapshotChunk, Term};

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender. It does not change the receiver's
    /// state.
    RequestPreVote {
        /// The term that the sender would begin.
        term: Term,
        /// The position of the sender's last entry.
        last_log: LogPosition,
    },
    /// The answer to [`Message::RequestPreVote`].
    PreVoteResponse {
        /// The requested term if the pre-vote is granted, otherwise the responder's own term.
        term: Term,
        /// Whether the responder would vote for the sender.
        granted: bool,
    },
    /// Asks the receiver to vote for the sender.
    RequestVote {
        /// The term that the candidate begins.
        term: Term,
        /// The position of the candidate's last entry.
        last_log: LogPosition,
        /// Whether the leader has requested the campaign. If so, receivers consider the request
        /// even if they have heard from the leader recently.
        leadership_transfer: bool,
    },
    /// The answer to [`Message::RequestVote`].
    VoteResponse {
        /// The responder's term.
        term: Term,
        /// Whether the responder voted for the candidate.
        granted: bool,
    },
    /// Carries entries from the leader. Without entries it is a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// The position of the entry that precedes `entries`.
        previous: LogPosition,
        /// The entries to append.
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
        /// How the responder's log compares to the leader's.
        outcome: AppendOutcome,
        /// The heartbeat round of the request.
        round: u64,
    },
    /// Carries a chunk of a snapshot from the leader.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The chunk to store.
        chunk: SnapshotChunk,
    },
    /// The answer to [`Message::InstallSnapshot`].
    SnapshotResponse {
        /// The responder's term.
        term: Term,
        /// The index of the last entry that the snapshot covers.
        index: Index,
        /// The offset of the next byte to send, or `None` if the responder needs no more of the
        /// snapshot.
        next_offset: Option<u64>,
    },
    /// Requests a read index from the leader.
    ReadIndex {
        /// The id that the sender has given to the read.
        read_id: u64,
    },
    /// The answer to [`Message::ReadIndex`].
    ReadIndexResponse {
        /// The id of the request.
        read_id: u64,
        /// The read index, or `None` if the responder is not the leader.
        index: Option<Index>,
    },
    /// Makes the receiver campaign at once, because the leader transfers its leadership to it.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

/// The result of comparing a follower's log with the entries that the leader has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The logs match up to this index, and the follower's entries up to it are durable.
    Matched(Index),
    /// The logs don't match at the previous entry. They may match at this earlier index.
    Conflict(Index),
}
