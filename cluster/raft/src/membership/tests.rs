use super::*;

/// Returns all memberships that one change can produce.
fn memberships_after_one_change(membership: &Membership) -> Vec<Membership> {
    let ids = 1..=membership.highest_id + 1;
    ids.flat_map(|id| {
        [
            MembershipChange::AddLearner(id),
            MembershipChange::PromoteLearner(id),
            MembershipChange::Remove(id),
        ]
    })
    .filter_map(|change| membership.after_change(change).ok())
    .collect()
}

/// Returns whether some majority of `before` and some majority of `after` share no replica.
fn has_disjoint_majorities(before: &Membership, after: &Membership) -> bool {
    let voters: Vec<_> = before.voters.iter().collect();
    (0..1u32 << voters.len()).any(|set| {
        let chosen = |id: NodeId| {
            voters
                .iter()
                .position(|voter| **voter == id)
                .is_some_and(|bit| set >> bit & 1 == 1)
        };
        // The replicas outside a majority of `before` must not be a majority of `after`.
        before.is_quorum(chosen) && after.is_quorum(|id| !chosen(id))
    })
}

#[test]
fn majorities_before_and_after_a_change_overlap() {
    const DEPTH: usize = 6;
    let mut stack = vec![(Membership::bootstrap([1]), 0)];
    while let Some((membership, depth)) = stack.pop() {
        for next in memberships_after_one_change(&membership) {
            assert!(!has_disjoint_majorities(&membership, &next));
            if depth < DEPTH {
                stack.push((next, depth + 1));
            }
        }
    }
}

#[test]
fn an_id_is_never_reused_and_the_last_voter_stays() -> Result<(), ProposalError> {
    let one_left = Membership::bootstrap([1, 2]).after_change(MembershipChange::Remove(2))?;
    assert_eq!(
        one_left.after_change(MembershipChange::AddLearner(2)),
        Err(ProposalError::IdAlreadyUsed)
    );
    assert_eq!(
        one_left.after_change(MembershipChange::Remove(1)),
        Err(ProposalError::LastVoter)
    );
    Ok(())
}
