//! Two members that compare their views: whatever they differ in, they hold the same after some rounds, at a cost that
//! follows the difference, whatever messages are lost or late.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use std::net::SocketAddr;

use violetgate_membership::{
    bucket_of, Action, Body, BucketSet, Claim, Membership, MembershipConfig, Message, State, Unfit,
    ViewSums, Want, BUCKETS, MOST_CLAIMS,
};

const S: u64 = 1_000_000;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn claim(i: usize) -> Claim {
    let name = format!("member-{i:05}");
    let addr = SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 7_000));
    Claim {
        name: name.as_str().into(),
        addr,
        life: 1_000,
        turn: 0,
        state: State::Alive,
        by: None,
    }
}

/// Two members and the datagrams between them.
struct Pair {
    members: [Membership; 2],
    now: u64,
    bytes: usize,
}

impl Pair {
    /// Members with these views, that know each other.
    fn new(first: &[Claim], second: &[Claim]) -> Self {
        Pair::with(MembershipConfig::default(), first, second)
    }

    fn with(config: MembershipConfig, first: &[Claim], second: &[Claim]) -> Self {
        let member = |port: u16, claims: &[Claim]| {
            let name = format!("pair-{port}");
            let seed = u64::from(port);
            let mut m = Membership::new(
                config.clone(),
                name.as_str().into(),
                addr(port),
                1_000,
                &[],
                seed,
            );
            m.adopt_claims(claims);
            m
        };
        let mut members = [member(1, first), member(2, second)];
        let own: Vec<Claim> = members.iter().map(|m| m.own_claim().clone()).collect();
        members.iter_mut().for_each(|m| m.adopt_claims(&own));
        Pair {
            members,
            now: S,
            bytes: 0,
        }
    }

    /// The first compares with the second; what follows is delivered, but for what is lost.
    fn round(&mut self, lost: impl FnMut(&Message) -> bool) {
        let own = self.members[0].own_claim().clone();
        let body = Body::Compare(self.members[0].digest());
        self.deliver(
            1,
            Message {
                body,
                claims: vec![own.clone(), own],
            },
            lost,
        );
        self.now += 2 * S;
    }

    fn deliver(&mut self, to: usize, message: Message, mut lost: impl FnMut(&Message) -> bool) {
        let mut waiting = std::collections::VecDeque::from([(to, message)]);
        while let Some((to, message)) = waiting.pop_front() {
            self.bytes += size(&message);
            if lost(&message) {
                continue;
            }
            let mut actions = Vec::new();
            self.members[to]
                .hear(self.now, &message, &mut actions)
                .unwrap();
            for action in actions {
                if let Action::Send(at, message) = action {
                    if at.ip() == addr(1).ip() {
                        waiting.push_back((usize::from(at.port()) - 1, message));
                    }
                }
            }
        }
    }

    fn same(&self) -> bool {
        self.members[0].digest() == self.members[1].digest()
    }

    /// Rounds until both hold the same.
    fn rounds(&mut self) -> usize {
        (1..200)
            .find(|_| {
                self.round(|_| false);
                self.same()
            })
            .unwrap()
    }
}

/// About what a message takes on the wire.
fn size(message: &Message) -> usize {
    let body = match &message.body {
        Body::Sums(view) => 5 * view.sums.len(),
        Body::Want(_) => BUCKETS / 8,
        _ => 10,
    };
    body + message
        .claims
        .iter()
        .map(|c| c.name.len() + 20)
        .sum::<usize>()
}

fn dead(claim: &Claim) -> Claim {
    Claim {
        state: State::Dead,
        ..claim.clone()
    }
}

/// One claim of 4,000 differs: one bucket is exchanged, not the view, and the newer claim holds on both sides.
#[test]
fn views_that_differ_in_one_bucket() {
    let all: Vec<Claim> = (0..4_000).map(claim).collect();
    for newer in [0, 1] {
        let mut views = [all.clone(), all.clone()];
        views[newer][1_234] = dead(&all[1_234]);
        let mut pair = Pair::new(&views[0], &views[1]);
        assert_eq!(pair.rounds(), 1);
        let state = |m: &Membership| {
            m.members()
                .find(|m| m.name == all[1_234].name)
                .unwrap()
                .state
        };
        assert!(pair.members.iter().all(|m| state(m) == State::Dead));
        assert!(pair.bytes < 6_000, "{} bytes", pair.bytes);
    }
}

/// One knows nobody, the other 7,600; and two that each know another half.
#[test]
fn views_that_differ_in_all_buckets() {
    let all: Vec<Claim> = (0..7_600).map(claim).collect();
    let mut joins = Pair::new(&[], &all);
    let rounds = joins.rounds();
    assert!(rounds < 60, "{rounds} rounds");
    assert!(joins.bytes < 7_600 * 60, "{} bytes", joins.bytes);
    let mut halves = Pair::new(&all[..3_800], &all[3_800..]);
    let rounds = halves.rounds();
    assert!(rounds < 60, "{rounds} rounds");
    assert!(halves.members.iter().all(|m| m.members().count() == 7_601));
}

/// However much is asked for at once, a member sends no more than its budget.
#[test]
fn the_budget_holds() {
    let all: Vec<Claim> = (0..4_000).map(claim).collect();
    let config = MembershipConfig::default();
    let allowed = config.exchange_bytes_per_s * 4;
    let mut member = Membership::new(config, "pair-2".into(), addr(2), 1_000, &[], 2);
    member.adopt_claims(&all);
    let want = Want {
        buckets: (0..BUCKETS).collect(),
        mutual: false,
    };
    let mut sent = 0;
    for asker in 0..100 {
        let message = Message {
            body: Body::Want(want.clone()),
            claims: vec![claim(asker)],
        };
        let mut actions = Vec::new();
        member.hear(S, &message, &mut actions).unwrap();
        sent += actions
            .iter()
            .map(|a| {
                if let Action::Send(_, m) = a {
                    size(m)
                } else {
                    0
                }
            })
            .sum::<usize>();
    }
    assert!(
        sent as u64 <= allowed && sent as u64 > allowed / 4,
        "{sent} of {allowed} bytes"
    );
    assert!(
        member.exchanges_dropped() > 0,
        "what does not fit is counted"
    );
}

/// Lost messages, whichever they are, cost rounds and nothing else.
#[test]
fn lost_messages_are_made_good() {
    let all: Vec<Claim> = (0..600).map(claim).collect();
    let mut pair = Pair::new(&all[..400], &all[200..]);
    let mut number = 1u64;
    let rounds = (1..100).find(|_| {
        pair.round(|message| {
            number = number
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            !matches!(message.body, Body::Compare(_)) && (number >> 33) % 3 == 0
        });
        pair.same()
    });
    assert!(rounds.is_some_and(|rounds| rounds > 1), "{rounds:?}");
}

/// A piece of an old round comes after what it tells has changed: the newer claim stays.
#[test]
fn a_late_piece_changes_nothing() {
    let all: Vec<Claim> = (0..100).map(claim).collect();
    let mut newer = all.clone();
    newer[7] = Claim {
        turn: 3,
        ..all[7].clone()
    };
    newer[8] = dead(&all[8]);
    let mut pair = Pair::new(&newer, &newer);
    let before = pair.members[0].digest();
    let sender = pair.members[1].own_claim().clone();
    let claims = std::iter::once(sender)
        .chain(all[..MOST_CLAIMS - 1].iter().cloned())
        .collect();
    pair.deliver(
        0,
        Message {
            body: Body::Piece,
            claims,
        },
        |_| false,
    );
    assert_eq!(pair.members[0].digest(), before);
}

/// A build that does not read sums gets claims as before, and one that reads them is not sent the whole view.
#[test]
fn older_builds_are_sent_claims_that_they_read() {
    let all: Vec<Claim> = (0..40).map(claim).collect();
    let mut member = Membership::new(
        MembershipConfig::default(),
        "pair-2".into(),
        addr(2),
        1_000,
        &[],
        2,
    );
    member.adopt_claims(&all);
    let older = Membership::new(
        MembershipConfig::default(),
        "pair-1".into(),
        addr(1),
        1_000,
        &[],
        1,
    );
    let own = older.own_claim().clone();
    let mut bodies = |claims: Vec<Claim>| {
        let mut actions = Vec::new();
        member
            .hear(
                S,
                &Message {
                    body: Body::Compare(older.digest()),
                    claims,
                },
                &mut actions,
            )
            .unwrap();
        actions
            .into_iter()
            .filter_map(|a| {
                if let Action::Send(_, m) = a {
                    Some(m)
                } else {
                    None
                }
            })
            .collect::<Vec<_>>()
    };
    let told = bodies(vec![own.clone()]);
    assert!(told.iter().all(|m| m.body == Body::Tell), "{told:?}");
    assert_eq!(told.iter().map(|m| m.claims.len() - 1).sum::<usize>(), 41);
    let told = bodies(vec![own.clone(), own]);
    assert!(
        matches!(
            told[..],
            [Message {
                body: Body::Sums(_),
                ..
            }]
        ),
        "{told:?}"
    );
}

/// Buckets of another number are turned away, and nothing changes.
#[test]
fn sums_of_other_sizes_are_turned_away() {
    let mut member = Membership::new(
        MembershipConfig::default(),
        "pair-2".into(),
        addr(2),
        1_000,
        &[],
        2,
    );
    let other = claim(1);
    let body = Body::Sums(ViewSums {
        known: 1,
        sums: vec![0; 3],
    });
    let heard = member.hear(
        S,
        &Message {
            body,
            claims: vec![other],
        },
        &mut Vec::new(),
    );
    assert_eq!(heard, Err(Unfit::Buckets(3)));
    assert_eq!(member.members().count(), 0);
}

/// Sets of buckets hold what is put in.
#[test]
fn bucket_sets() {
    let set: BucketSet = [0, 9, BUCKETS - 1, BUCKETS + 5].into_iter().collect();
    assert_eq!(set.iter().collect::<Vec<_>>(), [0, 9, BUCKETS - 1]);
    assert!(!set.is_empty() && BucketSet::from_iter([]).is_empty());
    let all: std::collections::BTreeSet<usize> =
        (0..7_600).map(|i| bucket_of(&claim(i).name)).collect();
    assert_eq!(all.len(), BUCKETS, "names fall into all buckets");
}

#[cfg(feature = "mutants")]
mod mutants {
    use super::*;
    use violetgate_membership::Mutant;

    fn mutant(how: Mutant) -> MembershipConfig {
        MembershipConfig {
            mutant: Some(how),
            ..MembershipConfig::default()
        }
    }

    /// A build that never asks for one bucket does not come to the same view.
    #[test]
    fn a_bucket_that_is_not_asked_for_is_noticed() {
        let all: Vec<Claim> = (0..300).map(claim).collect();
        let mut pair = Pair::with(mutant(Mutant::BlindBucket), &all[..299], &all);
        (0..20).for_each(|_| pair.round(|_| false));
        assert!(!pair.same());
    }

    /// A build that takes any piece lets an old one undo what is newer.
    #[test]
    fn a_late_piece_that_is_believed_is_noticed() {
        let all: Vec<Claim> = (0..5).map(claim).collect();
        let newer: Vec<Claim> = all.iter().map(dead).collect();
        let mut pair = Pair::with(mutant(Mutant::AnyPiece), &newer, &newer);
        let before = pair.members[0].digest();
        let claims = std::iter::once(pair.members[1].own_claim().clone())
            .chain(all)
            .collect();
        pair.deliver(
            0,
            Message {
                body: Body::Piece,
                claims,
            },
            |_| false,
        );
        assert_ne!(pair.members[0].digest(), before);
    }
}
