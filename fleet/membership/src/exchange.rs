//! The comparison of views: what news has missed comes that way, at a cost that follows the difference.
//!
//! A `Compare` carries one number for the whole view. Where it differs, the answer is a sum for each bucket of names;
//! the claims of the buckets whose sums differ are then asked for, in both directions, and sent in pieces. Nothing is
//! kept between the steps: a lost message is made good by the next comparison, and a late piece is merged like any
//! other claim. What a member sends for this is held to a budget of bytes a second.

use std::collections::VecDeque;
use std::net::SocketAddr;

use rand_chacha::rand_core::RngCore;

use crate::claim::{Claim, Name};
use crate::digest::{bucket_of, BUCKETS};
use crate::membership::{Action, Membership, Mutant};
use crate::message::{Body, BucketSet, Message, ViewSums, Want, MOST_CLAIMS};
use crate::Micros;

/// The most claims that are asked of one member at a time, and that one sends for one request.
const MOST_WANTED: usize = 256;
/// The most members that are being sent claims at a time; others ask somebody else soon.
const MOST_TRANSFERS: usize = 4;
/// A bucket that was asked for is not asked for again, of anyone, before this has passed.
const ASK_AGAIN: Micros = 1_000_000;
/// With so many differing buckets this member has missed a lot.
const MANY_BUCKETS: usize = 16;
/// After that, and after the start, so many comparisons come `ASK_AGAIN` after each other, or until one finds little.
const EAGER: u32 = 8;
/// What may be sent at once after a quiet time, in seconds of the budget.
const BURST_SECONDS: u64 = 4;
/// The least that may be sent at once: room for any message.
const LEAST_BURST: u64 = 4_096;
/// Bytes of a datagram beside its claims, headers included.
const MESSAGE_BYTES: u64 = 64;
/// Bytes of the sums of all buckets.
const SUMS_BYTES: u64 = 5 * BUCKETS as u64;

/// Claims on their way to one member. Names are kept, and looked up when they are sent: what is told is never older
/// than the view.
#[derive(Debug, Clone)]
struct Transfer {
    to: SocketAddr,
    names: VecDeque<Name>,
    body: Body,
}

/// What is being exchanged, and the budget for it.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    bytes_per_s: u64,
    allowance: u64,
    refilled: Micros,
    transfers: VecDeque<Transfer>,
    /// So many comparisons are to come soon.
    eager: u32,
    /// When each bucket may be asked for again.
    ask_again: Vec<Micros>,
    /// Comparisons and requests that were not answered for lack of budget or room.
    pub dropped: u64,
}

impl Exchange {
    pub fn new(bytes_per_s: u64) -> Self {
        Exchange {
            bytes_per_s,
            allowance: Self::burst(bytes_per_s),
            refilled: 0,
            transfers: VecDeque::new(),
            eager: EAGER,
            ask_again: vec![0; BUCKETS],
            dropped: 0,
        }
    }

    fn burst(bytes_per_s: u64) -> u64 {
        bytes_per_s.saturating_mul(BURST_SECONDS).max(LEAST_BURST)
    }

    /// Takes bytes from the budget, if it has as many.
    fn spend(&mut self, bytes: u64, now: Micros) -> bool {
        let earned = now
            .saturating_sub(self.refilled)
            .saturating_mul(self.bytes_per_s)
            / 1_000_000;
        if earned > 0 {
            self.allowance = self
                .allowance
                .saturating_add(earned)
                .min(Self::burst(self.bytes_per_s));
            self.refilled = now;
        }
        let enough = self.allowance >= bytes;
        self.allowance -= if enough { bytes } else { 0 };
        enough
    }

    /// Begins to send claims, in place of what was asked for before from there: that was asked for again, if it is
    /// still missing.
    fn add(&mut self, transfer: Transfer) {
        self.transfers.retain(|t| t.to != transfer.to);
        if self.transfers.len() >= MOST_TRANSFERS {
            self.dropped += 1;
        } else if !transfer.names.is_empty() {
            self.transfers.push_back(transfer);
        }
    }

    /// Those of some buckets that may be asked for now.
    fn askable(&self, buckets: &BucketSet, now: Micros) -> Vec<usize> {
        let may = |bucket: &usize| self.ask_again.get(*bucket).is_some_and(|at| *at <= now);
        buckets.iter().filter(may).collect()
    }

    fn note_asked(&mut self, buckets: &BucketSet, now: Micros) {
        for bucket in buckets.iter() {
            self.ask_again
                .get_mut(bucket)
                .into_iter()
                .for_each(|at| *at = now + ASK_AGAIN);
        }
    }
}

impl Membership {
    /// Now and then two compare their whole views.
    pub(crate) fn compare(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_exchange {
            return;
        }
        let partner = self.some(1, &self.own.name.clone());
        if partner.is_empty() {
            return;
        }
        let usual =
            self.config.exchange_every / 2 + self.rng.next_u64() % self.config.exchange_every;
        let eager = self.exchange.eager > 0;
        self.exchange.eager = self.exchange.eager.saturating_sub(1);
        self.next_exchange = self.now + if eager { usual.min(ASK_AGAIN) } else { usual };
        for addr in partner {
            let message = self.comparison(None);
            actions.push(Action::Send(addr, message));
        }
    }

    /// A `Compare` that says that its sender reads sums by bucket.
    pub(crate) fn comparison(&mut self, told: Option<Claim>) -> Message {
        let mark = Some(self.own.clone());
        self.message(Body::Compare(self.digest()), mark.into_iter().chain(told))
    }

    /// Another compares. One that does not read sums gets claims in messages that it knows.
    pub(crate) fn answer_comparison(
        &mut self,
        message: &Message,
        theirs: u64,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        if theirs == self.digest() {
            return;
        }
        if !message.reads_sums() {
            return self.send_to_older_build(from, actions);
        }
        if !self.exchange.spend(SUMS_BYTES + MESSAGE_BYTES, self.now) {
            self.exchange.dropped += 1;
            return;
        }
        let known = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let sums = ViewSums {
            known,
            sums: self.digests().sums(),
        };
        let claims = vec![self.own.clone()];
        actions.push(Action::Send(
            from,
            Message {
                body: Body::Sums(sums),
                claims,
            },
        ));
    }

    /// Part of the view, beginning at random: over some comparisons all of it.
    fn send_to_older_build(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        let mut names: VecDeque<Name> = self
            .peers
            .values()
            .map(|p| Name::clone(&p.claim.name))
            .collect();
        let begin = (self.rng.next_u64() % names.len().max(1) as u64) as usize;
        names.rotate_left(begin);
        names.truncate(MOST_WANTED);
        self.exchange.add(Transfer {
            to,
            names,
            body: Body::Tell,
        });
        self.send_pieces(actions);
    }

    /// The sums of another: the claims of the buckets that differ are asked for, as many as it may send soon.
    pub(crate) fn compare_sums(
        &mut self,
        theirs: &ViewSums,
        from: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let own = self.digests().sums();
        let pairs = own.iter().zip(&theirs.sums).enumerate();
        let mut differing: Vec<usize> = pairs
            .filter(|(_, (a, b))| a != b)
            .map(|(at, _)| at)
            .collect();
        if self.mutated(Mutant::BlindBucket) {
            differing.pop();
        }
        if differing.len() >= MANY_BUCKETS {
            self.exchange.eager = EAGER;
            self.next_exchange = self.next_exchange.min(self.now + ASK_AGAIN);
        } else {
            self.exchange.eager = 0;
        }
        let differing: BucketSet = differing.into_iter().collect();
        let mut askable = self.exchange.askable(&differing, self.now);
        let known = self.peers.len().max(theirs.known as usize).max(1);
        let most = (MOST_WANTED * BUCKETS / known).clamp(1, BUCKETS);
        // Beginning at random, so that several that are asked at a time are asked for different ones.
        let begin = (self.rng.next_u64() % askable.len().max(1) as u64) as usize;
        askable.rotate_left(begin);
        self.ask(
            askable.into_iter().take(most).collect(),
            true,
            from,
            actions,
        );
    }

    fn ask(&mut self, buckets: BucketSet, mutual: bool, of: SocketAddr, actions: &mut Vec<Action>) {
        if buckets.is_empty() {
            return;
        }
        self.exchange.note_asked(&buckets, self.now);
        let claims = vec![self.own.clone()];
        let body = Body::Want(Want { buckets, mutual });
        actions.push(Action::Send(of, Message { body, claims }));
    }

    /// Another asks for the claims of some buckets; it holds something else in them, which is asked for in turn.
    pub(crate) fn answer_want(&mut self, want: &Want, from: SocketAddr, actions: &mut Vec<Action>) {
        let names = self.peers.values().map(|p| &p.claim.name);
        let names = names.filter(|name| want.buckets.contains(bucket_of(name)));
        let names = names.take(MOST_WANTED).cloned().collect();
        self.exchange.add(Transfer {
            to: from,
            names,
            body: Body::Piece,
        });
        // Asked before anything is sent, or the other would send back what it has just been given.
        if want.mutual {
            let askable = self.exchange.askable(&want.buckets, self.now);
            self.ask(askable.into_iter().collect(), false, from, actions);
        }
        self.send_pieces(actions);
    }

    /// Sends what was asked for, as far as the budget goes.
    pub(crate) fn send_pieces(&mut self, actions: &mut Vec<Action>) {
        while let Some(transfer) = self.exchange.transfers.front() {
            let names = transfer.names.iter().take(MOST_CLAIMS - 1);
            let others = names
                .filter_map(|name| self.peers.get(name))
                .map(|p| Claim::clone(&p.claim));
            let claims: Vec<Claim> = std::iter::once(self.own.clone()).chain(others).collect();
            let (to, body) = (transfer.to, transfer.body.clone());
            let bytes = claims.iter().map(Claim::most_bytes).sum::<u64>() + MESSAGE_BYTES;
            if !self.exchange.spend(bytes, self.now) {
                return;
            }
            if let Some(transfer) = self.exchange.transfers.front_mut() {
                transfer
                    .names
                    .drain(..transfer.names.len().min(MOST_CLAIMS - 1));
            }
            if self
                .exchange
                .transfers
                .front()
                .is_some_and(|t| t.names.is_empty())
            {
                self.exchange.transfers.pop_front();
            }
            actions.push(Action::Send(to, Message { body, claims }));
        }
    }
}
