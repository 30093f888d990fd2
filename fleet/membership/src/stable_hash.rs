//! A hash function that must be the same on every gateway and in every release, because members
//! have to agree on ring positions and digest buckets.

/// Hashes a name with a salt. Applies FNV-1a and then the finalizer of SplitMix64, which mixes all
/// bits.
#[must_use]
pub fn stable_hash(name: &str, salt: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
