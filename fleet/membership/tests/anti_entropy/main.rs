//! Checks that two members that compare their views reach equal views within a bounded number of
//! rounds, even if messages are lost or late, and at a cost that depends on the difference.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

#[cfg(feature = "mutants")]
mod mutants;
mod pair;

use std::collections::BTreeSet;

use violetgate_membership::{
    bucket_of, Action, BucketRequest, BucketSet, BucketSums, InvalidMessage, MemberState,
    MemberUpdate, Membership, MembershipConfig, Message, MessageBody, BUCKET_COUNT,
    MAX_UPDATES_PER_MESSAGE,
};

use crate::pair::{dead, new_member, size_estimate, update, updates, Pair, SECOND};

fn default_member(number: u16) -> Membership {
    new_member(MembershipConfig::default(), number)
}

/// Makes `member` handle a message, and returns the messages that it sends in answer.
fn answers(member: &mut Membership, message: &Message) -> Vec<Message> {
    let mut actions = Vec::new();
    member
        .handle_message(SECOND, message, &mut actions)
        .unwrap();
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.collect()
}

/// If one update of 4,000 differs, the members exchange one bucket instead of the whole view, and
/// both end up with the newer update.
#[test]
fn views_that_differ_in_one_update_exchange_one_bucket() {
    let all = updates(0..4_000);
    for newer in [0, 1] {
        let mut views = [all.clone(), all.clone()];
        views[newer][1_234] = dead(&all[1_234]);
        let mut pair = Pair::new(&views[0], &views[1]);
        assert_eq!(pair.rounds_until_equal(), 1);
        let state = |member: &Membership| {
            let mut members = member.members();
            members.find(|m| m.name == all[1_234].name).unwrap().state
        };
        assert!(pair.members.iter().all(|m| state(m) == MemberState::Dead));
        assert!(pair.bytes < 6_000, "{} bytes", pair.bytes);
    }
}

#[test]
fn member_with_empty_view_receives_7600_members() {
    let all = updates(0..7_600);
    let mut pair = Pair::new(&[], &all);
    let rounds = pair.rounds_until_equal();
    assert!(rounds < 60, "{rounds} rounds");
    assert!(pair.bytes < 7_600 * 60, "{} bytes", pair.bytes);
}

#[test]
fn members_that_know_different_halves_converge() {
    let all = updates(0..7_600);
    let mut pair = Pair::new(&all[..3_800], &all[3_800..]);
    let rounds = pair.rounds_until_equal();
    assert!(rounds < 60, "{rounds} rounds");
    assert!(pair.members.iter().all(|m| m.members().count() == 7_601));
}

#[test]
fn requests_do_not_make_a_member_exceed_its_byte_budget() {
    let config = MembershipConfig::default();
    let allowed = config.anti_entropy_bytes_per_s * 4;
    let mut member = new_member(config, 2);
    member.adopt_updates(&updates(0..4_000));
    let request = BucketRequest {
        buckets: (0..BUCKET_COUNT).collect(),
        mutual: false,
    };
    let mut sent = 0;
    for requester in 0..100 {
        let message = Message {
            body: MessageBody::BucketRequest(request.clone()),
            updates: vec![update(requester)],
        };
        let answers = answers(&mut member, &message);
        sent += answers.iter().map(size_estimate).sum::<usize>();
    }
    assert!(
        sent as u64 <= allowed && sent as u64 > allowed / 4,
        "{sent} of {allowed} bytes"
    );
    assert!(
        member.anti_entropy_dropped() > 0,
        "requests beyond the budget are not counted as dropped"
    );
}

#[test]
fn views_converge_despite_lost_messages() {
    let all = updates(0..600);
    let mut pair = Pair::new(&all[..400], &all[200..]);
    let mut random = 1u64;
    let rounds = (1..100).find(|_| {
        pair.compare(|message| {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            !matches!(message.body, MessageBody::ViewDigest { .. }) && (random >> 33) % 3 == 0
        });
        pair.has_equal_views()
    });
    assert!(rounds.is_some_and(|rounds| rounds > 1), "{rounds:?}");
}

/// Guards against a late transfer that overwrites newer updates: it arrives after the members that
/// it describes have changed.
#[test]
fn late_transfer_does_not_change_the_view() {
    let all = updates(0..100);
    let mut newer = all.clone();
    newer[7] = MemberUpdate {
        refutations: 3,
        ..all[7].clone()
    };
    newer[8] = dead(&all[8]);
    let mut pair = Pair::new(&newer, &newer);
    let before = pair.members[0].digest();
    let sender = pair.members[1].own_update().clone();
    let old = all[..MAX_UPDATES_PER_MESSAGE - 1].iter().cloned();
    let transfer = Message {
        body: MessageBody::BucketTransfer,
        updates: std::iter::once(sender).chain(old).collect(),
    };
    pair.deliver(0, transfer, |_| false);
    assert_eq!(pair.members[0].digest(), before);
}

/// A build that doesn't read bucket sums receives updates in gossip messages. A build that reads
/// them receives bucket sums instead.
#[test]
fn older_build_receives_updates_in_gossip_messages() {
    let mut member = default_member(2);
    member.adopt_updates(&updates(0..40));
    let older = default_member(1);
    let own = older.own_update().clone();
    let comparison = |updates: Vec<MemberUpdate>| Message {
        body: MessageBody::ViewDigest {
            digest: older.digest(),
        },
        updates,
    };
    let sent = answers(&mut member, &comparison(vec![own.clone()]));
    assert!(
        sent.iter().all(|m| m.body == MessageBody::Gossip),
        "{sent:?}"
    );
    let others = sent.iter().map(|message| message.updates.len() - 1);
    assert_eq!(others.sum::<usize>(), 41);

    let sent = answers(&mut member, &comparison(vec![own.clone(), own]));
    let [Message {
        body: MessageBody::BucketSums(_),
        ..
    }] = sent[..]
    else {
        panic!("{sent:?}");
    };
}

#[test]
fn sums_with_another_bucket_count_are_rejected_and_change_nothing() {
    let mut member = default_member(2);
    let sums = BucketSums {
        known_members: 1,
        sums: vec![0; 3],
    };
    let message = Message {
        body: MessageBody::BucketSums(sums),
        updates: vec![update(1)],
    };
    let handled = member.handle_message(SECOND, &message, &mut Vec::new());
    assert_eq!(handled, Err(InvalidMessage::BucketCount(3)));
    assert_eq!(member.members().count(), 0);
}

#[test]
fn bucket_set_contains_what_was_collected() {
    let last = BUCKET_COUNT - 1;
    let set: BucketSet = [0, 9, last, BUCKET_COUNT + 5].into_iter().collect();
    assert_eq!(set.iter().collect::<Vec<_>>(), [0, 9, last]);
    assert!(!set.is_empty() && BucketSet::from_iter([]).is_empty());
}

#[test]
fn names_use_all_buckets() {
    let used: BTreeSet<usize> = (0..7_600).map(|i| bucket_of(&update(i).name)).collect();
    assert_eq!(used.len(), BUCKET_COUNT);
}
