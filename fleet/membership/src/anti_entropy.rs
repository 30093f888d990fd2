//! Anti-entropy: compares the views of two members and exchanges the updates that gossip has not
//! delivered. The cost depends on how much the views differ, not on their size.
//!
//! 1. A member sends the digest of its view ([`MessageBody::ViewDigest`]).
//! 2. A receiver whose digest differs answers with a sum for each bucket of names
//!    ([`MessageBody::BucketSums`]).
//! 3. Both members request the updates of the buckets that differ
//!    ([`MessageBody::BucketRequest`]).
//! 4. Both send the requested updates in several messages ([`MessageBody::BucketTransfer`]).
//!
//! The steps of one exchange share no state: the next comparison makes up for a lost message, and a
//! late transfer is merged like any other update. A budget in bytes per second limits what a member
//! sends in steps 2 and 4.

use std::net::SocketAddr;

use rand_chacha::rand_core::RngCore;

use crate::config::Mutant;
use crate::member_update::{MemberName, MemberUpdate};
use crate::membership::{Action, Membership};
use crate::message::{BucketRequest, BucketSums, Message, MessageBody, MAX_UPDATES_PER_MESSAGE};
use crate::transfers::{Transfer, REQUEST_INTERVAL_US};
use crate::view_digest::{bucket_of, BucketSet, BUCKET_COUNT};

/// Maximum number of updates that are sent for one request. A request asks for buckets with about
/// this many updates.
const MAX_REQUESTED_UPDATES: usize = 256;
/// Minimum number of differing buckets that makes this member compare views more often.
const MIN_BUCKETS_FOR_EAGER_COMPARISONS: usize = 16;
/// Estimated bytes of a datagram without its updates, including the UDP and IP headers.
const MESSAGE_OVERHEAD_BYTES: u64 = 64;
/// Maximum encoded size of the sums of all buckets, in bytes.
const BUCKET_SUMS_BYTES: u64 = 5 * BUCKET_COUNT as u64;

impl Membership {
    /// Sends the view's digest to a random member if a comparison is due.
    pub(crate) fn compare_views(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.schedule.next_comparison_at {
            return;
        }
        let partner = self.random_members(1, &self.own.name.clone());
        let Some(&to) = partner.first() else {
            return;
        };
        let interval = self.config.anti_entropy_interval;
        let delay = interval / 2 + self.rng.next_u64() % interval;
        let delay = if self.anti_entropy.consume_eager_comparison() {
            delay.min(REQUEST_INTERVAL_US)
        } else {
            delay
        };
        self.schedule.next_comparison_at = self.now + delay;
        let message = self.view_digest_message(None);
        actions.push(Action::Send { to, message });
    }

    /// Builds a [`MessageBody::ViewDigest`] that repeats this member's own update, which tells the
    /// receiver that this build can decode [`MessageBody::BucketSums`].
    pub(crate) fn view_digest_message(&mut self, update: Option<MemberUpdate>) -> Message {
        let digest = self.digest();
        let reads_bucket_sums = Some(self.own.clone());
        let first_updates = reads_bucket_sums.into_iter().chain(update);
        self.message(MessageBody::ViewDigest { digest }, first_updates)
    }

    /// Handles the digest of another member's view. If it differs, answers with bucket sums, or
    /// with updates if the sender can't decode bucket sums.
    pub(crate) fn on_view_digest(
        &mut self,
        message: &Message,
        digest: u64,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if digest == self.digest() {
            return;
        }
        if !message.sender_reads_bucket_sums() {
            return self.send_updates_to_older_build(from, actions);
        }
        let bytes = BUCKET_SUMS_BYTES + MESSAGE_OVERHEAD_BYTES;
        if !self.anti_entropy.try_spend(bytes, self.now) {
            self.anti_entropy.dropped += 1;
            return;
        }
        let sums = BucketSums {
            known_members: u32::try_from(self.peers.len()).unwrap_or(u32::MAX),
            sums: self.bucket_digests().truncated(),
        };
        self.send_without_gossip(from, MessageBody::BucketSums(sums), actions);
    }

    fn send_without_gossip(&self, to: SocketAddr, body: MessageBody, actions: &mut Vec<Action>) {
        let updates = vec![self.own.clone()];
        let message = Message { body, updates };
        actions.push(Action::Send { to, message });
    }

    /// Sends up to [`MAX_REQUESTED_UPDATES`] updates as gossip, for builds that can't decode bucket
    /// sums. The first member is random, so that repeated comparisons cover the whole view.
    fn send_updates_to_older_build(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        let mut names = self.peer_names(|_| true, usize::MAX);
        let start = (self.rng.next_u64() % names.len().max(1) as u64) as usize;
        names.rotate_left(start);
        names.truncate(MAX_REQUESTED_UPDATES);
        self.anti_entropy.add_transfer(Transfer {
            to,
            names: names.into(),
            body: MessageBody::Gossip,
        });
        self.continue_transfers(actions);
    }

    fn peer_names(&self, is_wanted: impl Fn(&str) -> bool, limit: usize) -> Vec<MemberName> {
        let names = self.peers.values().map(|peer| &peer.update.name);
        names
            .filter(|name| is_wanted(name))
            .take(limit)
            .cloned()
            .collect()
    }

    /// Handles another member's bucket sums: requests the updates of the buckets that differ,
    /// limited to about as many updates as the other member sends for one request.
    pub(crate) fn on_bucket_sums(
        &mut self,
        theirs: &BucketSums,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let differing = self.differing_buckets(&theirs.sums);
        if differing.len() >= MIN_BUCKETS_FOR_EAGER_COMPARISONS {
            self.anti_entropy.compare_eagerly();
            let soon = self.now + REQUEST_INTERVAL_US;
            self.schedule.next_comparison_at = self.schedule.next_comparison_at.min(soon);
        } else {
            self.anti_entropy.stop_eager_comparisons();
        }
        let differing: BucketSet = differing.into_iter().collect();
        let mut requestable = self.anti_entropy.requestable(&differing, self.now);
        // The first bucket is random, so that concurrent requests to several members ask for
        // different buckets.
        let start = (self.rng.next_u64() % requestable.len().max(1) as u64) as usize;
        requestable.rotate_left(start);
        requestable.truncate(self.buckets_per_request(theirs.known_members));
        let request = BucketRequest {
            buckets: requestable.into_iter().collect(),
            mutual: true,
        };
        self.send_request(request, from, actions);
    }

    fn differing_buckets(&self, their_sums: &[u32]) -> Vec<usize> {
        let own_sums = self.bucket_digests().truncated();
        let pairs = own_sums.iter().zip(their_sums).enumerate();
        let mut differing: Vec<usize> = pairs
            .filter(|(_, (own, theirs))| own != theirs)
            .map(|(bucket, _)| bucket)
            .collect();
        if self.has_mutant(Mutant::SkipsOneBucket) {
            differing.pop();
        }
        differing
    }

    /// Estimates how many buckets hold [`MAX_REQUESTED_UPDATES`] updates, based on the larger of
    /// the two views.
    fn buckets_per_request(&self, known_by_other: u32) -> usize {
        let known = self.peers.len().max(known_by_other as usize).max(1);
        (MAX_REQUESTED_UPDATES * BUCKET_COUNT / known).clamp(1, BUCKET_COUNT)
    }

    fn send_request(&mut self, request: BucketRequest, to: SocketAddr, actions: &mut Vec<Action>) {
        if request.buckets.is_empty() {
            return;
        }
        self.anti_entropy.record_request(&request.buckets, self.now);
        self.send_without_gossip(to, MessageBody::BucketRequest(request), actions);
    }

    /// Handles a request: starts a transfer of the updates in the requested buckets. If the request
    /// is mutual, also requests the other member's updates in these buckets.
    pub(crate) fn on_bucket_request(
        &mut self,
        request: &BucketRequest,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let is_wanted = |name: &str| request.buckets.contains(bucket_of(name));
        let names = self.peer_names(is_wanted, MAX_REQUESTED_UPDATES);
        self.anti_entropy.add_transfer(Transfer {
            to: from,
            names: names.into(),
            body: MessageBody::BucketTransfer,
        });
        // The request precedes the transfer. Otherwise the other member would send back the
        // updates that it has just received.
        if request.mutual {
            let requestable = self.anti_entropy.requestable(&request.buckets, self.now);
            let request = BucketRequest {
                buckets: requestable.into_iter().collect(),
                mutual: false,
            };
            self.send_request(request, from, actions);
        }
        self.continue_transfers(actions);
    }

    /// Sends updates of the transfers in progress until the budget is used up.
    pub(crate) fn continue_transfers(&mut self, actions: &mut Vec<Action>) {
        const OTHERS_PER_MESSAGE: usize = MAX_UPDATES_PER_MESSAGE - 1;
        while let Some(transfer) = self.anti_entropy.current_transfer() {
            let names = transfer.names.iter().take(OTHERS_PER_MESSAGE);
            let peers = names.filter_map(|name| self.peers.get(name));
            let others = peers.map(|peer| MemberUpdate::clone(&peer.update));
            let updates: Vec<MemberUpdate> =
                std::iter::once(self.own.clone()).chain(others).collect();
            let (to, body) = (transfer.to, transfer.body.clone());
            let update_bytes: u64 = updates.iter().map(MemberUpdate::max_encoded_bytes).sum();
            let bytes = update_bytes + MESSAGE_OVERHEAD_BYTES;
            if !self.anti_entropy.try_spend(bytes, self.now) {
                return;
            }
            self.anti_entropy.advance_transfer(OTHERS_PER_MESSAGE);
            let message = Message { body, updates };
            actions.push(Action::Send { to, message });
        }
    }
}
