//! Records the events of a simulation, and checks the safety properties of Raft and the
//! linearizability of reads.

use std::collections::BTreeMap;

use violetgate_raft::*;

use crate::cluster::{SimulatedCluster, SECOND};

/// The time in microseconds after the last fault within which all members must have committed the
/// same entries.
const CONVERGENCE_TIMEOUT: Micros = 8 * SECOND;

#[derive(Default)]
pub struct Observed {
    pub leaders: BTreeMap<Term, NodeId>,
    votes: BTreeMap<(NodeId, Term), NodeId>,
    committed: BTreeMap<Index, (Term, Payload)>,
    /// The commands that a leader has accepted, each with the index at which it was applied.
    pub commands: BTreeMap<Vec<u8>, Option<Index>>,
    /// The reads in progress by id, each with the last index at which any replica had applied a
    /// command when the read began.
    reads: BTreeMap<u64, Index>,
    pub answered_reads: u64,
    pub installed_snapshots: u64,
    pub membership_changes: u64,
}

impl Observed {
    pub fn check_vote(&mut self, voter: NodeId, term: Term, candidate: NodeId) {
        let before = self.votes.insert((voter, term), candidate);
        assert!(
            before.is_none_or(|other| other == candidate),
            "{voter} votes twice in term {term}"
        );
    }

    pub fn check_committed(&mut self, entry: &Entry) {
        let seen = (entry.term, entry.payload.clone());
        let before = self.committed.entry(entry.index);
        let before = before.or_insert_with(|| seen.clone());
        assert_eq!(*before, seen, "two entries committed at {}", entry.index);
    }

    pub fn check_applied_once(&mut self, command: &[u8], index: Index) {
        if let Some(applied_at) = self.commands.get_mut(command) {
            assert!(
                applied_at.is_none_or(|other| other == index),
                "a command is applied twice"
            );
            *applied_at = Some(index);
        }
    }

    pub fn begin_read(&mut self, read_id: u64) {
        let applied = self.commands.values().flatten().max().copied();
        self.reads.insert(read_id, applied.unwrap_or(0));
    }
}

impl SimulatedCluster {
    pub fn check_read(&mut self, read_id: u64, index: Index) {
        if let Some(min_index) = self.observed.reads.remove(&read_id) {
            assert!(
                index >= min_index,
                "a read at index {index} misses entry {min_index}, applied before the read began"
            );
            self.observed.answered_reads += 1;
        }
    }

    /// Checks that a term has one leader, and that the leader of the latest term has the last entry
    /// committed in earlier terms.
    pub fn check_leader(&mut self, id: NodeId) {
        let Some(node) = &self.replicas[&id].node else {
            return;
        };
        if node.role() != Role::Leader {
            return;
        }
        let term = node.term();
        let first = *self.observed.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
        let is_latest = self.observed.leaders.keys().next_back() == Some(&term);
        let last_committed = self.observed.committed.iter().next_back();
        if let Some((index, (committed_term, _))) = last_committed {
            if is_latest && term > *committed_term {
                let has = node.log().base().index >= *index
                    || node.log().term(*index) == Some(*committed_term);
                assert!(has, "leader {id} of term {term} lacks entry {index}");
            }
        }
    }

    /// Ends all faults, and checks that every member then commits the same entries.
    pub fn converge(&mut self) {
        self.end_faults();
        for replica in self.replicas.values_mut() {
            replica.paused_until = 0;
        }
        let end = self.now + CONVERGENCE_TIMEOUT;
        while self.now < end {
            self.step_undisturbed();
        }
        let leaders = self.observed.leaders.values();
        let leader = *leaders.last().expect("no leader was ever elected");
        let membership = self.replica(leader).node().membership().clone();
        let committed = self.observed.committed.keys().next_back();
        let committed = committed.copied().unwrap_or(0);
        for id in membership.ids() {
            let commit = self.replica(id).node().commit();
            if commit != committed {
                self.print_nodes();
            }
            assert_eq!(commit, committed, "replica {id} doesn't catch up");
        }
    }

    fn print_nodes(&self) {
        for (id, replica) in &self.replicas {
            let node = replica.node.as_ref().unwrap();
            println!(
                "{id}: {:?} term {} leader {:?} commit {} last {:?} base {} {:?} progress {:?}",
                node.role(),
                node.term(),
                node.leader(),
                node.commit(),
                node.log().last(),
                node.log().base().index,
                node.membership(),
                node.match_indexes()
            );
        }
    }
}
