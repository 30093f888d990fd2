//! What members say to each other. Each message begins with its sender's claim of itself; claims of others ride along.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::claim::{Claim, Name, State};
use crate::digest::BUCKETS;

/// The most claims in one message: with the longest names it stays under 4 KiB, with usual ones under 1,400 bytes.
pub const MOST_CLAIMS: usize = 16;

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Answer me.
    Ping(u64),
    /// The answer, under the number of the ping.
    Ack(u64),
    /// Ping that one for me.
    PingFor(u64, Name, SocketAddr),
    /// It has answered a ping made for you.
    AckFor(u64, Name),
    /// Claims only.
    Tell,
    /// What my view comes to; say what you hold if yours is another. A sender that reads [`Body::Sums`] repeats its own
    /// claim as the second one, which changes nothing for a build that does not.
    Compare(u64),
    /// What my view comes to by bucket of names. This and what follows goes only to those that read it.
    Sums(ViewSums),
    /// Send me your claims of these buckets.
    Want(Want),
    /// Claims that were asked for: what the receiver does not know of is no news to others.
    Piece,
}

/// A view by buckets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ViewSums {
    /// How many others the sender knows.
    pub known: u32,
    /// A sum for each of the [`BUCKETS`] buckets.
    pub sums: Vec<u32>,
}

/// A request for claims.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Want {
    /// Of which buckets.
    pub buckets: BucketSet,
    /// The sender has other claims in these buckets; ask for them.
    pub mutual: bool,
}

/// Some of the buckets, a bit for each.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketSet(Vec<u8>);

impl BucketSet {
    /// Whether a bucket is among them.
    #[must_use]
    pub fn contains(&self, bucket: usize) -> bool {
        self.0
            .get(bucket / 8)
            .is_some_and(|byte| byte & (1 << (bucket % 8)) != 0)
    }

    /// All that are among them.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        (0..BUCKETS).filter(|bucket| self.contains(*bucket))
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|byte| *byte == 0)
    }
}

impl FromIterator<usize> for BucketSet {
    fn from_iter<I: IntoIterator<Item = usize>>(buckets: I) -> Self {
        let mut bytes = vec![0u8; BUCKETS / 8];
        for bucket in buckets {
            bytes
                .get_mut(bucket / 8)
                .into_iter()
                .for_each(|byte| *byte |= 1 << (bucket % 8));
        }
        BucketSet(bytes)
    }
}

/// One message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// What it is for.
    pub body: Body,
    /// The sender's claim of itself, then claims of others.
    pub claims: Vec<Claim>,
}

/// Why a message is not heeded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Unfit {
    /// It has no claim of its sender, or too many claims.
    #[error("a message with {0} claims: check that all front ends run the same version")]
    Claims(usize),
    /// A claim can't be used.
    #[error(
        "a claim of {0:?} that can't be used: check the names and addresses in its `fleet` block"
    )]
    Claim(String),
    /// Its sender claims something other than to be alive, or to have left.
    #[error(
        "a message of {0:?}, which does not claim to be alive: check that all run the same version"
    )]
    Sender(String),
    /// It has another number of buckets.
    #[error("a message with sums of {0} buckets: check that all front ends run the same version")]
    Buckets(usize),
}

impl Message {
    /// Whether it can be heeded; the sender's claim.
    ///
    /// # Errors
    ///
    /// It can't; the error says what to look at.
    pub fn sender(&self) -> Result<&Claim, Unfit> {
        let first = self
            .claims
            .first()
            .filter(|_| self.claims.len() <= MOST_CLAIMS);
        let first = first.ok_or(Unfit::Claims(self.claims.len()))?;
        if let Some(bad) = self.claims.iter().find(|c| !c.is_sound()) {
            return Err(Unfit::Claim(
                bad.name.chars().take(crate::LONGEST_NAME).collect(),
            ));
        }
        if !matches!(first.state, State::Alive | State::Left) {
            return Err(Unfit::Sender(first.name.to_string()));
        }
        let buckets = match &self.body {
            Body::Sums(view) => view.sums.len(),
            Body::Want(want) => want.buckets.0.len() * 8,
            _ => BUCKETS,
        };
        if buckets != BUCKETS {
            return Err(Unfit::Buckets(buckets));
        }
        Ok(first)
    }

    /// Whether the sender of a comparison reads sums by bucket.
    #[must_use]
    pub fn reads_sums(&self) -> bool {
        self.claims.len() > 1 && self.claims.first() == self.claims.get(1)
    }
}
