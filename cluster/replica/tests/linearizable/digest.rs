//! A digest of the events of a simulation that does not depend on the names of types.

use serde::Serialize;

/// An FNV-1a hash of the bytes that the test adds.
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

    /// Adds a number as 8 bytes in little-endian order.
    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    /// Adds the length of a value's postcard encoding, then the encoding.
    pub fn encoded(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).unwrap();
        self.number(bytes.len() as u64);
        self.bytes(&bytes);
    }

    /// Returns the digest of everything added so far.
    pub fn value(&self) -> u64 {
        self.0
    }
}
