//! Mutation tests: with an injected fault, the properties that the other tests check don't hold.

use violetgate_membership::{MemberUpdate, MembershipConfig, Message, MessageBody, Mutant};

use crate::pair::{dead, updates, Pair};

fn mutant(mutant: Mutant) -> MembershipConfig {
    MembershipConfig {
        mutant: Some(mutant),
        ..MembershipConfig::default()
    }
}

#[test]
fn views_stay_different_if_one_bucket_is_never_requested() {
    let all = updates(0..300);
    let config = mutant(Mutant::SkipsOneBucket);
    let mut pair = Pair::with_config(&config, &all[..299], &all);
    (0..20).for_each(|_| pair.compare(|_| false));
    assert!(!pair.has_equal_views());
}

#[test]
fn accepted_stale_transfer_overwrites_newer_updates() {
    let all = updates(0..5);
    let newer: Vec<MemberUpdate> = all.iter().map(dead).collect();
    let config = mutant(Mutant::AcceptsStaleTransfer);
    let mut pair = Pair::with_config(&config, &newer, &newer);
    let before = pair.members[0].digest();
    let sender = pair.members[1].own_update().clone();
    let transfer = Message {
        body: MessageBody::BucketTransfer,
        updates: std::iter::once(sender).chain(all).collect(),
    };
    pair.deliver(0, transfer, |_| false);
    assert_ne!(pair.members[0].digest(), before);
}
