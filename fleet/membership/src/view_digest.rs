//! Digests of a view by bucket of names: two views that differ in a few updates differ in as few
//! buckets.

use serde::{Deserialize, Serialize};

use crate::member_update::MemberUpdate;
use crate::stable_hash::stable_hash;

/// How many buckets a view is divided into.
pub const BUCKET_COUNT: usize = 256;

/// The salt for a name's bucket; no observer ring has this number.
const BUCKET_SALT: u64 = 0xb0c4_e75e_ed00_0001;

/// The bucket of a name.
#[must_use]
pub fn bucket_of(name: &str) -> usize {
    (stable_hash(name, BUCKET_SALT) % BUCKET_COUNT as u64) as usize
}

/// An update's part of the digest of its bucket. It must not depend on the accuser, which differs
/// between views.
fn digest_of(update: &MemberUpdate) -> u64 {
    let precedence = update.precedence();
    let salt = precedence.incarnation
        ^ u64::from(precedence.refutations) << 8
        ^ u64::from(precedence.has_left) << 7
        ^ precedence.state as u64;
    stable_hash(&update.name, salt)
}

/// The digests of a view's buckets: in each the wrapping sum over its updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BucketDigests(Vec<u64>);

impl Default for BucketDigests {
    fn default() -> Self {
        BucketDigests(vec![0; BUCKET_COUNT])
    }
}

impl BucketDigests {
    /// Adds an update.
    pub fn add(&mut self, update: &MemberUpdate) {
        if let Some(sum) = self.0.get_mut(bucket_of(&update.name)) {
            *sum = sum.wrapping_add(digest_of(update));
        }
    }

    /// Removes an update that was added.
    pub fn remove(&mut self, update: &MemberUpdate) {
        if let Some(sum) = self.0.get_mut(bucket_of(&update.name)) {
            *sum = sum.wrapping_sub(digest_of(update));
        }
    }

    /// The lower half of each digest. Two buckets that differ show the same sum with a probability
    /// of 2^-32.
    #[must_use]
    pub fn truncated(&self) -> Vec<u32> {
        self.0.iter().map(|sum| *sum as u32).collect()
    }

    /// One number for the whole view.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().fold(0, |total, sum| total.wrapping_add(*sum))
    }
}

/// A set of buckets, a bit for each.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketSet(Vec<u8>);

impl BucketSet {
    /// Whether it contains a bucket.
    #[must_use]
    pub fn contains(&self, bucket: usize) -> bool {
        let byte = self.0.get(bucket / 8);
        byte.is_some_and(|byte| byte & (1 << (bucket % 8)) != 0)
    }

    /// The buckets that it contains, in order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        (0..BUCKET_COUNT).filter(|bucket| self.contains(*bucket))
    }

    /// Whether it contains no bucket.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|byte| *byte == 0)
    }

    /// How many buckets it can hold: [`BUCKET_COUNT`] unless its sender's build has another number.
    pub(crate) fn bucket_count(&self) -> usize {
        self.0.len() * 8
    }
}

impl FromIterator<usize> for BucketSet {
    /// Collects buckets; numbers from [`BUCKET_COUNT`] on are left out.
    fn from_iter<I: IntoIterator<Item = usize>>(buckets: I) -> Self {
        let mut bytes = vec![0u8; BUCKET_COUNT / 8];
        for bucket in buckets {
            if let Some(byte) = bytes.get_mut(bucket / 8) {
                *byte |= 1 << (bucket % 8);
            }
        }
        BucketSet(bytes)
    }
}
