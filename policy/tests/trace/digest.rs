//! FNV-1a hash of the actions in order, each written as numbers.

use violetgate_policy::interface::Micros;
use violetgate_policy::Action;

/// A running FNV-1a hash of 64 bits.
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    pub fn value(&self) -> u64 {
        self.0
    }

    pub fn add_numbers(&mut self, words: &[u64]) {
        for byte in words.iter().flat_map(|word| word.to_le_bytes()) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub fn add_action(&mut self, now: Micros, action: &Action) {
        let words = match *action {
            Action::SetResources {
                query,
                memory_mb,
                priority,
            } => [now, 1, query, memory_mb.to_bits(), u64::from(priority)],
            Action::Send {
                query,
                engine,
                timeout,
            } => [now, 2, query, u64::from(engine), timeout],
            Action::Cancel { query, attempt } => [now, 3, query, u64::from(attempt), 0],
            Action::Reject { query, retry_after } => [now, 4, query, retry_after, 0],
            Action::Fail { query } => [now, 5, query, 0, 0],
            Action::SetTimer { at } => [now, 6, at, 0, 0],
            Action::SubscribeEngineList => [now, 7, 0, 0, 0],
        };
        self.add_numbers(&words);
    }
}
