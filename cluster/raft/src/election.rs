//! Elections: timeouts, pre-votes, votes, becoming the leader and stepping down.
//!
//! After an election timeout a node begins a new term only if a majority has granted it a pre-vote.
//! Otherwise a node that returns from a network partition would depose a working leader.

use std::collections::BTreeSet;

use rand_chacha::rand_core::RngCore;

use crate::heartbeat::first_round;
use crate::progress::Progress;
use crate::role::{LeaderState, RoleState};
use crate::{HardState, LogPosition, Membership, Message, NodeId, Payload, RaftNode, Term};

/// The reason why a node campaigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CampaignReason {
    /// No leader was heard from for an election timeout, and a majority granted a pre-vote.
    Timeout,
    /// The leader has asked this node to campaign.
    LeadershipTransfer,
}

impl RaftNode {
    /// Draws a new random election timeout between one and two times the configured value.
    pub(crate) fn reset_election_deadline(&mut self) {
        let timeout = self.config.election_timeout.max(1);
        self.election_deadline = self.now + timeout + self.rng.next_u64() % timeout;
    }

    pub(crate) fn on_election_timeout(&mut self) {
        self.reset_election_deadline();
        if self.may_campaign() {
            self.leader = None;
            self.request_pre_votes();
        }
    }

    /// Returns whether this node may campaign. Voters may. So may a node whose removal is in its
    /// log but not known to be committed: it may be the only node with a log that is recent enough
    /// to win.
    fn may_campaign(&self) -> bool {
        let is_voter = |membership: &Membership| membership.voters.contains(&self.id);
        let removal_uncommitted = self.membership.index > self.commit;
        is_voter(self.membership())
            || (removal_uncommitted && is_voter(&self.log.membership_at(self.commit)))
    }

    fn request_pre_votes(&mut self) {
        let term = self.hard_state.term + 1;
        let last_log = self.log.last();
        self.role = RoleState::PreCandidate {
            votes: BTreeSet::from([self.id]),
        };
        if self.is_sole_quorum() {
            return self.campaign(CampaignReason::Timeout);
        }
        for to in self.other_voters() {
            self.send_now(to, Message::RequestPreVote { term, last_log });
        }
    }

    /// Begins a new term and requests votes for it.
    pub(crate) fn campaign(&mut self, reason: CampaignReason) {
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id),
        };
        self.persist_hard_state();
        self.role = RoleState::Candidate {
            votes: BTreeSet::new(),
        };
        self.leader = None;
        self.reset_election_deadline();
        let term = self.hard_state.term;
        let last_log = self.log.last();
        // The node sends its own vote to itself, so that the vote counts only once it is durable.
        let own_vote = Message::VoteResponse {
            term,
            granted: true,
        };
        self.send_when_durable(self.id, own_vote);
        for to in self.other_voters() {
            let request = Message::RequestVote {
                term,
                last_log,
                leadership_transfer: reason == CampaignReason::LeadershipTransfer,
            };
            self.send_when_durable(to, request);
        }
    }

    pub(crate) fn step_election(&mut self, from: NodeId, message: Message) {
        match message {
            Message::RequestPreVote { term, last_log } => {
                self.on_request_pre_vote(from, term, last_log);
            }
            Message::PreVoteResponse { term, granted } => {
                self.on_pre_vote_response(from, term, granted);
            }
            Message::RequestVote {
                term,
                last_log,
                leadership_transfer,
            } => self.on_request_vote(from, term, last_log, leadership_transfer),
            Message::VoteResponse { term, granted } => self.on_vote_response(from, term, granted),
            _ => {}
        }
    }

    fn on_request_pre_vote(&mut self, from: NodeId, term: Term, last_log: LogPosition) {
        let granted =
            term > self.hard_state.term && last_log >= self.log.last() && !self.has_live_leader();
        let term = if granted { term } else { self.hard_state.term };
        self.send_when_durable(from, Message::PreVoteResponse { term, granted });
    }

    fn on_pre_vote_response(&mut self, from: NodeId, term: Term, granted: bool) {
        if !granted {
            return self.follow_if_newer(term);
        }
        let is_current = term == self.hard_state.term + 1;
        if let RoleState::PreCandidate { votes } = &mut self.role {
            if is_current && add_vote(votes, from, &self.membership.membership) {
                self.campaign(CampaignReason::Timeout);
            }
        }
    }

    fn on_request_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last_log: LogPosition,
        leadership_transfer: bool,
    ) {
        // A node that was removed or partitioned must not depose a working leader.
        if term > self.hard_state.term && self.has_live_leader() && !leadership_transfer {
            return;
        }
        self.follow_if_newer(term);
        let vote = self.hard_state.vote;
        let granted = term == self.hard_state.term
            && vote.is_none_or(|candidate| candidate == from)
            && last_log >= self.log.last()
            && self.leader.is_none();
        if granted && vote.is_none() {
            self.hard_state.vote = Some(from);
            self.persist_hard_state();
        }
        if granted {
            self.reset_election_deadline();
        }
        let term = self.hard_state.term;
        self.send_when_durable(from, Message::VoteResponse { term, granted });
    }

    fn on_vote_response(&mut self, from: NodeId, term: Term, granted: bool) {
        if !granted {
            return self.follow_if_newer(term);
        }
        let is_current = term == self.hard_state.term;
        if let RoleState::Candidate { votes } = &mut self.role {
            if is_current && add_vote(votes, from, &self.membership.membership) {
                self.become_leader();
            }
        }
    }

    /// Returns whether this node leads or has heard from a leader within the election timeout. If
    /// so, pre-votes are denied, and vote requests for newer terms are ignored unless they belong
    /// to a leadership transfer.
    fn has_live_leader(&self) -> bool {
        match self.role {
            RoleState::Leader(_) => true,
            _ => {
                let lease_end = self.leader_seen_at + self.config.election_timeout;
                self.leader.is_some() && self.now < lease_end
            }
        }
    }

    fn become_leader(&mut self) {
        let next_index = self.log.last_index() + 1;
        let peers = self.membership().ids().filter(|id| *id != self.id);
        let progress = peers
            .map(|id| (id, Progress::new(next_index, self.now)))
            .collect();
        self.role = RoleState::Leader(Box::new(LeaderState {
            progress,
            first_index: next_index,
            round: first_round(self.hard_state.term),
            next_heartbeat: self.now + self.config.heartbeat_interval,
            ..LeaderState::default()
        }));
        self.leader = Some(self.id);
        // A leader can commit earlier entries only together with one of its own term, so it
        // appends a blank entry at once.
        self.append_as_leader(Payload::Blank);
        self.begin_heartbeat_round();
    }

    /// Becomes a follower in the given term if it is newer. The leader of that term is not known
    /// yet.
    pub(crate) fn follow_if_newer(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
    }

    /// Becomes a follower in the given term, which is the current one or newer. If this node was
    /// the leader, its pending reads fail.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.persist_hard_state();
        }
        let previous = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(deposed) = previous {
            for read in deposed.pending_reads {
                self.answer_read(read.from, read.read_id, None);
            }
            self.reset_election_deadline();
        }
        self.leader = leader;
    }

    /// Handles the term of a message from a leader: adopts it and follows the leader. Returns
    /// `false` if the term is outdated, and changes nothing then.
    pub(crate) fn accept_leader(&mut self, from: NodeId, term: Term) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        self.become_follower(term, Some(from));
        self.leader_seen_at = self.now;
        self.reset_election_deadline();
        true
    }
}

/// Adds a vote, and returns whether the votes are now a majority.
fn add_vote(votes: &mut BTreeSet<NodeId>, from: NodeId, membership: &Membership) -> bool {
    votes.insert(from);
    membership.is_quorum(|id| votes.contains(&id))
}
