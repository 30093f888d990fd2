//! Changes of the membership, checked in every order of events by stateright: elections, replication to any member
//! or none, commits by the majority of whatever the log names, and steps as [`Membership::after_change`] makes them. Models
//! in which a rule of the core is left out have to be caught.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use stateright::{Checker, Model, Property};
use violetgate_raft::{Membership, MembershipChange, NodeId};

const NODES: usize = 4;
const TERMS: u8 = 3;
const ENTRIES: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    /// As the core does it.
    Real,
    /// A step before an entry of the leader's own term is agreed on.
    BeforeOwnEntry,
    /// Further steps before the first is agreed on.
    ManyAtATime,
}

/// An entry: its term, and the voters from it on, or nothing.
type Entry = (u8, Option<Vec<NodeId>>);

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Node {
    term: u8,
    log: Vec<Entry>,
    commit: usize,
    /// The first entry of its leadership, while it leads.
    leads: Option<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Node>,
    agreed: Vec<Entry>,
    changes: u8,
    /// Something agreed on was agreed on otherwise.
    broken: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    /// One is elected by these, in this term.
    Elect(usize, u8, u8),
    /// One gets all that a leader has.
    Replicate(usize, usize),
    Commit(usize),
    Remove(usize, NodeId),
}

fn members(node: &Node) -> Membership {
    let voters = node.log.iter().rev().find_map(|(_, v)| v.clone());
    Membership::bootstrap(voters.unwrap_or_else(|| (1..=NODES as NodeId).collect()))
}

fn id(node: usize) -> NodeId {
    node as NodeId + 1
}

impl Model for Variant {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            nodes: vec![Node::default(); NODES],
            agreed: Vec::new(),
            changes: 0,
            broken: false,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Event>) {
        for n in 0..NODES {
            // A majority and not more: others' votes change nothing but their term.
            let most = members(&s.nodes[n]).quorum() as u32;
            let by = (0..1u8 << NODES).filter(|by| by >> n & 1 == 1 && by.count_ones() == most);
            // Elections that fail leave terms out.
            out.extend(by.flat_map(|by| {
                (s.nodes[n].term + 1..=TERMS).map(move |term| Event::Elect(n, by, term))
            }));
            if s.nodes[n].leads.is_some() {
                out.extend(
                    (0..NODES)
                        .filter(|to| *to != n)
                        .map(|to| Event::Replicate(n, to)),
                );
                out.push(Event::Commit(n));
                out.extend((0..NODES).map(|m| Event::Remove(n, id(m))));
            }
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut s = last.clone();
        match event {
            Event::Elect(n, by, term) => {
                let voters = members(&s.nodes[n]);
                let newest = |node: &Node| (node.log.last().map_or(0, |e| e.0), node.log.len());
                let mine = newest(&s.nodes[n]);
                let votes = |m: usize| by >> m & 1 == 1;
                let willing =
                    |m: usize| m == n || (s.nodes[m].term < term && newest(&s.nodes[m]) <= mine);
                let good = voters.voters.contains(&id(n))
                    && voters.is_quorum(|m| votes(m as usize - 1))
                    && (0..NODES)
                        .filter(|m| votes(*m))
                        .all(|m| willing(m) && voters.voters.contains(&id(m)));
                if !good || s.nodes[n].log.len() >= ENTRIES {
                    return None;
                }
                for m in (0..NODES).filter(|m| votes(*m)) {
                    s.nodes[m].term = term;
                    s.nodes[m].leads = None;
                }
                s.nodes[n].leads = Some(s.nodes[n].log.len());
                s.nodes[n].log.push((term, None));
            }
            Event::Replicate(n, to) => {
                let leader = s.nodes[n].clone();
                if s.nodes[to].term > leader.term {
                    return None;
                }
                if s.nodes[to].term < leader.term {
                    s.nodes[to].leads = None;
                }
                (s.nodes[to].term, s.nodes[to].log) = (leader.term, leader.log);
            }
            Event::Commit(n) => {
                let leader = s.nodes[n].clone();
                let voters = members(&leader);
                let has = |m: NodeId, len: usize| {
                    let node = &s.nodes[m as usize - 1];
                    node.term == leader.term && node.log.get(..len) == leader.log.get(..len)
                };
                let best = (1..=leader.log.len()).rev().find(|len| {
                    leader.log[*len - 1].0 == leader.term && voters.is_quorum(|m| has(m, *len))
                })?;
                s.nodes[n].commit = best;
                for (at, entry) in leader.log.iter().take(best).enumerate() {
                    match s.agreed.get(at) {
                        Some(before) => s.broken |= before != entry,
                        None => s.agreed.push(entry.clone()),
                    }
                }
            }
            Event::Remove(n, gone) => {
                let leader = &s.nodes[n];
                let own = leader.leads.is_some_and(|first| leader.commit > first)
                    || *self == Variant::BeforeOwnEntry;
                let named = leader
                    .log
                    .iter()
                    .rposition(|(_, v)| v.is_some())
                    .map_or(0, |at| at + 1);
                let settled = leader.commit >= named || *self == Variant::ManyAtATime;
                let next = members(leader)
                    .after_change(MembershipChange::Remove(gone))
                    .ok()?;
                // Steps that are not settled reach a majority of their own only with the third.
                let most = if *self == Variant::ManyAtATime { 3 } else { 2 };
                if !own || !settled || s.changes >= most || leader.log.len() >= ENTRIES {
                    return None;
                }
                s.changes += 1;
                let term = leader.term;
                s.nodes[n]
                    .log
                    .push((term, Some(next.voters.into_iter().collect())));
            }
        }
        (s != *last).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what is agreed on stays", |_, s: &State| !s.broken),
            Property::sometimes("a step is agreed on", |_, s: &State| {
                s.agreed.iter().any(|e| e.1.is_some())
            }),
        ]
    }
}

#[test]
fn what_is_agreed_on_stays_whoever_leaves() {
    let checker = Variant::Real
        .checker()
        .threads(2)
        .target_state_count(3_000_000)
        .spawn_bfs()
        .join();
    println!(
        "{} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn rules_that_are_left_out_are_missed() {
    for variant in [Variant::BeforeOwnEntry, Variant::ManyAtATime] {
        let checker = variant
            .checker()
            .threads(2)
            .target_state_count(6_000_000)
            .spawn_bfs()
            .join();
        assert!(
            checker.discovery("what is agreed on stays").is_some(),
            "{variant:?} is not caught"
        );
    }
}
