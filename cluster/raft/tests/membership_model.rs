//! Checks membership changes with the model checker stateright, in every order of events up to a
//! bound: elections, replication to any node, commits by a majority of the leader's latest
//! membership, and changes made by [`Membership::after_change`]. A model that omits a rule of the
//! implementation must violate the safety property.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a test fails by panicking"
)]

use stateright::{Checker, Model, Property};
use violetgate_raft::{Membership, MembershipChange, NodeId};

const NODES: usize = 4;
const MAX_TERM: u8 = 3;
const MAX_ENTRIES: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// The rules of the implementation.
    Real,
    /// The leader may propose a change before an entry of its own term is committed.
    ChangeBeforeOwnEntry,
    /// The leader may propose a change before the previous change is committed.
    ConcurrentChanges,
}

/// A log entry of the model, reduced to its term and the voters that it sets.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    term: u8,
    /// The voters from this entry on, if the entry changes the membership.
    voters: Option<Vec<NodeId>>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Node {
    term: u8,
    log: Vec<Entry>,
    /// The number of entries that the node knows to be committed.
    commit: usize,
    /// The length of the log just before the node became the leader, or `None` if it doesn't lead.
    leads_since: Option<usize>,
}

impl Node {
    fn membership(&self) -> Membership {
        let voters = self.log.iter().rev().find_map(|entry| entry.voters.clone());
        Membership::bootstrap(voters.unwrap_or_else(|| (1..=NODES as NodeId).collect()))
    }

    /// Returns the values by which voters compare logs: the term of the last entry, then the
    /// length of the log.
    fn log_recency(&self) -> (u8, usize) {
        (
            self.log.last().map_or(0, |entry| entry.term),
            self.log.len(),
        )
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Node>,
    committed: Vec<Entry>,
    changes: u8,
    /// Whether different entries were committed at the same index.
    diverged: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    /// A node is elected in a term. `by` holds one bit for each node that votes for it.
    Elect { node: usize, by: u8, term: u8 },
    /// A node receives the leader's complete log.
    Replicate { leader: usize, to: usize },
    /// A leader commits the entries that a majority has.
    Commit { leader: usize },
    /// A leader proposes the removal of a node.
    Remove { leader: usize, id: NodeId },
}

fn id_of(node: usize) -> NodeId {
    node as NodeId + 1
}

fn node_of(id: NodeId) -> usize {
    id as usize - 1
}

impl State {
    /// Elects a node as leader, and returns `None` if the votes are invalid or the log is full.
    fn elect(&mut self, node: usize, by: u8, term: u8) -> Option<()> {
        let membership = self.nodes[node].membership();
        let candidate = self.nodes[node].log_recency();
        let votes = |voter: usize| by >> voter & 1 == 1;
        let may_vote = |voter: usize| {
            let other = &self.nodes[voter];
            voter == node || (other.term < term && other.log_recency() <= candidate)
        };
        let is_elected = membership.voters.contains(&id_of(node))
            && membership.is_quorum(|id| votes(node_of(id)))
            && (0..NODES)
                .filter(|voter| votes(*voter))
                .all(|voter| may_vote(voter) && membership.voters.contains(&id_of(voter)));
        if !is_elected || self.nodes[node].log.len() >= MAX_ENTRIES {
            return None;
        }
        for voter in (0..NODES).filter(|voter| votes(*voter)) {
            self.nodes[voter].term = term;
            self.nodes[voter].leads_since = None;
        }
        let leader = &mut self.nodes[node];
        leader.leads_since = Some(leader.log.len());
        leader.log.push(Entry { term, voters: None });
        Some(())
    }

    /// Copies a leader's log to a node, and returns `None` if the node has seen a later term.
    fn replicate(&mut self, leader: usize, to: usize) -> Option<()> {
        let leader = self.nodes[leader].clone();
        let follower = &mut self.nodes[to];
        if follower.term > leader.term {
            return None;
        }
        if follower.term < leader.term {
            follower.leads_since = None;
        }
        follower.term = leader.term;
        follower.log = leader.log;
        Some(())
    }

    /// Commits the longest prefix of a leader's log that a majority has and whose last entry is of
    /// the leader's term. Returns `None` if there is no such prefix.
    fn commit(&mut self, leader: usize) -> Option<()> {
        let node = self.nodes[leader].clone();
        let membership = node.membership();
        let has = |id: NodeId, length: usize| {
            let other = &self.nodes[node_of(id)];
            other.term == node.term && other.log.get(..length) == node.log.get(..length)
        };
        let length = (1..=node.log.len()).rev().find(|length| {
            node.log[*length - 1].term == node.term && membership.is_quorum(|id| has(id, *length))
        })?;
        self.nodes[leader].commit = length;
        for (at, entry) in node.log.iter().take(length).enumerate() {
            match self.committed.get(at) {
                Some(before) => self.diverged |= before != entry,
                None => self.committed.push(entry.clone()),
            }
        }
        Some(())
    }

    /// Proposes the removal of a node, and returns `None` if the rules of the variant or the bounds
    /// of the model don't allow it.
    fn remove(&mut self, variant: Variant, leader: usize, id: NodeId) -> Option<()> {
        let node = &self.nodes[leader];
        let own_entry_committed = node.leads_since.is_some_and(|since| node.commit > since)
            || variant == Variant::ChangeBeforeOwnEntry;
        let last_change = node.log.iter().rposition(|entry| entry.voters.is_some());
        let change_committed = node.commit >= last_change.map_or(0, |at| at + 1)
            || variant == Variant::ConcurrentChanges;
        let change = MembershipChange::Remove(id);
        let membership = node.membership().after_change(change).ok()?;
        // At least three concurrent changes are needed for two majorities that share no replica.
        let max_changes = if variant == Variant::ConcurrentChanges {
            3
        } else {
            2
        };
        let is_full = self.changes >= max_changes || node.log.len() >= MAX_ENTRIES;
        if !own_entry_committed || !change_committed || is_full {
            return None;
        }
        self.changes += 1;
        let entry = Entry {
            term: node.term,
            voters: Some(membership.voters.into_iter().collect()),
        };
        self.nodes[leader].log.push(entry);
        Some(())
    }
}

impl Model for Variant {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            nodes: vec![Node::default(); NODES],
            committed: Vec::new(),
            changes: 0,
            diverged: false,
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Event>) {
        for node in 0..NODES {
            // Only minimal majorities are tried, because a further vote would only change the
            // voter's term.
            let quorum = state.nodes[node].membership().quorum() as u32;
            let voters =
                (0..1u8 << NODES).filter(|by| by >> node & 1 == 1 && by.count_ones() == quorum);
            // An election may skip terms, which stands for failed elections before it.
            let next_term = state.nodes[node].term + 1;
            out.extend(voters.flat_map(|by| {
                (next_term..=MAX_TERM).map(move |term| Event::Elect { node, by, term })
            }));
            if state.nodes[node].leads_since.is_some() {
                let leader = node;
                let others = (0..NODES).filter(|to| *to != leader);
                out.extend(others.map(|to| Event::Replicate { leader, to }));
                out.push(Event::Commit { leader });
                out.extend((0..NODES).map(|removed| Event::Remove {
                    leader,
                    id: id_of(removed),
                }));
            }
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut state = last.clone();
        match event {
            Event::Elect { node, by, term } => state.elect(node, by, term)?,
            Event::Replicate { leader, to } => state.replicate(leader, to)?,
            Event::Commit { leader } => state.commit(leader)?,
            Event::Remove { leader, id } => state.remove(*self, leader, id)?,
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(COMMITTED_STAYS, |_, state: &State| !state.diverged),
            Property::sometimes("a change is committed", |_, state: &State| {
                state.committed.iter().any(|entry| entry.voters.is_some())
            }),
        ]
    }
}

const COMMITTED_STAYS: &str = "what is committed stays committed";

#[test]
fn committed_entries_survive_membership_changes() {
    let checker = Variant::Real
        .checker()
        .threads(2)
        .target_state_count(3_000_000)
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} of them unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn missing_rules_are_caught() {
    for variant in [Variant::ChangeBeforeOwnEntry, Variant::ConcurrentChanges] {
        let checker = variant
            .checker()
            .threads(2)
            .target_state_count(6_000_000)
            .spawn_bfs()
            .join();
        assert!(
            checker.discovery(COMMITTED_STAYS).is_some(),
            "the model checker finds no violation for {variant:?}"
        );
    }
}
