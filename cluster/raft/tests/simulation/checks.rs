//! What was seen so far, and what must never happen: the safety properties of Raft, and
//! linearizable reads.

use std::collections::BTreeMap;

use violetgate_raft::*;

use crate::cluster::{SimulatedCluster, SECOND};

/// How long an undisturbed cluster may take until all replicas have the same.
const CONVERGENCE: Micros = 8 * SECOND;

#[derive(Default)]
pub struct Observed {
    pub leaders: BTreeMap<Term, NodeId>,
    votes: BTreeMap<(NodeId, Term), NodeId>,
    committed: BTreeMap<Index, (Term, Payload)>,
    /// Commands that a leader has taken, and where they were applied.
    pub commands: BTreeMap<Vec<u8>, Option<Index>>,
    /// Reads in progress, and the last entry that was applied anywhere when they began.
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
        assert_eq!(*before, seen, "entry {} is committed twice", entry.index);
    }

    pub fn check_applied_once(&mut self, command: &[u8], index: Index) {
        if let Some(place) = self.commands.get_mut(command) {
            assert!(
                place.is_none_or(|other| other == index),
                "a command is applied twice"
            );
            *place = Some(index);
        }
    }

    pub fn begin_read(&mut self, read_id: u64) {
        let applied = self.commands.values().flatten().max().copied();
        self.reads.insert(read_id, applied.unwrap_or(0));
    }
}

impl SimulatedCluster {
    pub fn check_read(&mut self, read_id: u64, index: Index) {
        if let Some(least) = self.observed.reads.remove(&read_id) {
            assert!(
                index >= least,
                "a read at {index} misses what was applied at {least} before it was asked"
            );
            self.observed.answered_reads += 1;
        }
    }

    /// One leader a term, and it has everything that was committed before.
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

    /// Without further faults, somebody leads, and in the end all members have committed the same.
    pub fn converge(&mut self) {
        self.heal();
        for replica in self.replicas.values_mut() {
            replica.paused_until = 0;
        }
        let end = self.now + CONVERGENCE;
        while self.now < end {
            self.step_undisturbed();
        }
        let leaders = self.observed.leaders.values();
        let leader = *leaders.last().expect("nobody has ever led");
        let membership = self.replica(leader).node().membership().clone();
        let committed = self.observed.committed.keys().next_back();
        let committed = committed.copied().unwrap_or(0);
        for id in membership.ids() {
            let commit = self.replica(id).node().commit();
            if commit != committed {
                self.print_nodes();
            }
            assert_eq!(commit, committed, "{id} is behind for good");
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
