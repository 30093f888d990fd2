//! A digest of the actions in a simulation. It doesn't depend on the names of types or fields.

use serde::Serialize;

/// A 64-bit FNV-1a hash of the bytes added to it.
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    /// Adds bytes without their length.
    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Adds a number as 8 bytes, little-endian.
    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    /// Adds the length and the bytes of a value's encoding for the wire and the disk.
    pub fn encoded(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).unwrap();
        self.number(bytes.len() as u64);
        self.bytes(&bytes);
    }

    /// Returns the hash of all bytes added so far.
    pub fn value(&self) -> u64 {
        self.0
    }
}
