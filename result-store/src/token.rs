//! Tokens by which clients ask for pages: opaque, sealed with a key that only this process has, and telling by
//! themselves when they end. A forged one, or one of another process, can't be told from noise, and finding that
//! out takes the same work whatever is wrong with it.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::Micros;

/// Bytes of the part that is sealed, and of the seal.
const BODY: usize = 28;
const SEAL: usize = 16;
/// Characters of a token.
pub const LENGTH: usize = (BODY + SEAL) * 4 / 3 + 1;

/// What a token stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// Which result.
    pub result: u64,
    /// The query whose attempt made it.
    pub query: u64,
    /// Which attempt of that query.
    pub attempt: u32,
    /// Until when its pages may be fetched.
    pub until: Micros,
}

/// The key of the seals.
#[derive(Clone)]
pub struct Sealer(Hmac<Sha256>);

impl std::fmt::Debug for Sealer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sealer")
    }
}

impl Sealer {
    /// Seals with a key, which has to be secret and of good random bytes.
    #[must_use]
    pub fn new(key: &[u8; 32]) -> Self {
        // HMAC fills a short key up with zeros to a block.
        let mut block = [0; 64];
        block.iter_mut().zip(key).for_each(|(b, k)| *b = *k);
        Sealer(Hmac::new(&block.into()))
    }

    /// The token's text.
    #[must_use]
    pub fn seal(&self, token: &Token) -> String {
        let mut bytes = Vec::with_capacity(BODY + SEAL);
        bytes.extend_from_slice(&token.result.to_be_bytes());
        bytes.extend_from_slice(&token.query.to_be_bytes());
        bytes.extend_from_slice(&token.attempt.to_be_bytes());
        bytes.extend_from_slice(&token.until.to_be_bytes());
        let mut mac = self.0.clone();
        mac.update(&bytes);
        bytes.extend(mac.finalize().into_bytes().into_iter().take(SEAL));
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a token's text; `None`: this key has not sealed it. The comparison takes the same time for all.
    #[must_use]
    pub fn open(&self, text: &str) -> Option<Token> {
        // What is no token at all is checked like one, so that time tells nothing.
        let mut bytes = [0u8; BODY + SEAL];
        let whole = text.len() == LENGTH
            && URL_SAFE_NO_PAD.decode_slice(text, &mut bytes) == Ok(BODY + SEAL);
        let (body, seal) = bytes.split_at(BODY);
        let mut mac = self.0.clone();
        mac.update(body);
        let good = mac.verify_truncated_left(seal).is_ok();
        if !(whole && good) {
            return None;
        }
        let (result, rest) = body.split_first_chunk()?;
        let (query, rest) = rest.split_first_chunk()?;
        let (attempt, rest) = rest.split_first_chunk()?;
        let (until, _) = rest.split_first_chunk()?;
        Some(Token {
            result: u64::from_be_bytes(*result),
            query: u64::from_be_bytes(*query),
            attempt: u32::from_be_bytes(*attempt),
            until: u64::from_be_bytes(*until),
        })
    }
}
