//! A digest of what was seen in a simulation, which does not depend on the names of types.

use serde::Serialize;

/// FNV-1a over bytes that the test chooses.
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    /// Adds bytes.
    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    /// Adds a value as it is encoded for the wire and the disk, with its length.
    pub fn encoded(&mut self, value: &impl Serialize) {
        let bytes = postcard::to_stdvec(value).unwrap();
        self.number(bytes.len() as u64);
        self.bytes(&bytes);
    }

    /// The digest of all that was added.
    pub fn value(&self) -> u64 {
        self.0
    }
}
