//! Digests of a view by bucket of names. Two views that differ in a few updates differ in at most
//! as many buckets.

use serde::{Deserialize, Serialize};

use crate::member_update::MemberUpdate;
use crate::stable_hash::stable_hash;

/// Number of buckets that a view is divided into.
pub const BUCKET_COUNT: usize = 256;

/// Salt for hashing names to buckets. The rings that assign observers to members use the ring
/// numbers, which are small, as salts. So the buckets are independent of the rings.
const BUCKET_SALT: u64 = 0xb0c4_e75e_ed00_0001;

/// Returns the bucket of a name, below [`BUCKET_COUNT`].
#[must_use]
pub fn bucket_of(name: &str) -> usize {
    (stable_hash(name, BUCKET_SALT) % BUCKET_COUNT as u64) as usize
}

/// Returns the number that an update adds to the digest of its bucket. It must not depend on the
/// accuser, which differs between views.
fn digest_of(update: &MemberUpdate) -> u64 {
    let precedence = update.precedence();
    let salt = precedence.incarnation
        ^ u64::from(precedence.refutations) << 8
        ^ u64::from(precedence.has_left) << 7
        ^ precedence.state as u64;
    stable_hash(&update.name, salt)
}

/// Digests of a view's buckets, each the wrapping sum over the updates in the bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BucketDigests(Vec<u64>);

impl Default for BucketDigests {
    fn default() -> Self {
        BucketDigests(vec![0; BUCKET_COUNT])
    }
}

impl BucketDigests {
    /// Adds an update to the digest of its bucket.
    pub fn add(&mut self, update: &MemberUpdate) {
        if let Some(sum) = self.0.get_mut(bucket_of(&update.name)) {
            *sum = sum.wrapping_add(digest_of(update));
        }
    }

    /// Removes an update that was added before.
    pub fn remove(&mut self, update: &MemberUpdate) {
        if let Some(sum) = self.0.get_mut(bucket_of(&update.name)) {
            *sum = sum.wrapping_sub(digest_of(update));
        }
    }

    /// Returns the lower half of each digest. Two buckets that differ have the same truncated
    /// digest with a probability of 2^-32.
    #[must_use]
    pub fn truncated(&self) -> Vec<u32> {
        self.0.iter().map(|sum| *sum as u32).collect()
    }

    /// Returns the digest of the whole view: the wrapping sum over all buckets.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().fold(0, |total, sum| total.wrapping_add(*sum))
    }
}

/// A set of buckets, stored as a bitmap.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketSet(Vec<u8>);

impl BucketSet {
    /// Returns whether the set contains a bucket.
    #[must_use]
    pub fn contains(&self, bucket: usize) -> bool {
        let byte = self.0.get(bucket / 8);
        byte.is_some_and(|byte| byte & (1 << (bucket % 8)) != 0)
    }

    /// Returns the buckets in the set in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        (0..BUCKET_COUNT).filter(|bucket| self.contains(*bucket))
    }

    /// Returns whether the set contains no bucket.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|byte| *byte == 0)
    }

    /// Returns the size of the bitmap in buckets. It is [`BUCKET_COUNT`] unless the set was
    /// received from a build with another number of buckets.
    pub(crate) fn bucket_count(&self) -> usize {
        self.0.len() * 8
    }
}

impl FromIterator<usize> for BucketSet {
    /// Collects buckets into a set. Numbers from [`BUCKET_COUNT`] on are ignored.
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
