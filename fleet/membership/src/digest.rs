//! Digests of a view by bucket of names: two views that differ in a few claims differ in as few buckets.

use crate::claim::{place, Claim};

/// How many buckets a view has.
pub const BUCKETS: usize = 256;

/// The ring number under which a name's bucket is drawn; no ring of watchers has it.
const BUCKET_RING: u64 = 0xb0c4_e75e_ed00_0001;

/// The bucket of a name.
#[must_use]
pub fn bucket_of(name: &str) -> usize {
    (place(name, BUCKET_RING) % BUCKETS as u64) as usize
}

/// What a claim adds to the digest of its bucket. It must not depend on who accuses.
fn digest_of(claim: &Claim) -> u64 {
    let (life, left, turn, state) = claim.rank();
    place(
        &claim.name,
        life ^ u64::from(turn) << 8 ^ u64::from(left) << 7 ^ state as u64,
    )
}

/// Sums of the digests of claims, by bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BucketDigests(Vec<u64>);

impl Default for BucketDigests {
    fn default() -> Self {
        BucketDigests(vec![0; BUCKETS])
    }
}

impl BucketDigests {
    /// Counts a claim in.
    pub fn add(&mut self, claim: &Claim) {
        let sum = self.0.get_mut(bucket_of(&claim.name));
        sum.into_iter()
            .for_each(|sum| *sum = sum.wrapping_add(digest_of(claim)));
    }

    /// Takes a claim out that was counted in.
    pub fn remove(&mut self, claim: &Claim) {
        let sum = self.0.get_mut(bucket_of(&claim.name));
        sum.into_iter()
            .for_each(|sum| *sum = sum.wrapping_sub(digest_of(claim)));
    }

    /// The lower half of each sum: two views differ in a bucket and show the same with a chance of one in 2^32.
    #[must_use]
    pub fn sums(&self) -> Vec<u32> {
        self.0.iter().map(|sum| *sum as u32).collect()
    }

    /// One number for all buckets.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().fold(0, |total, sum| total.wrapping_add(*sum))
    }
}
