//! Tokens with which clients fetch pages of a cached result.
//!
//! A token is opaque to clients. It identifies the result and its expiry, and is authenticated with
//! a key that only this process has. The time to reject a forged token, or a token of another
//! process, does not depend on what is wrong with it.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::Micros;

/// Size of the encoded fields of a token, which the seal authenticates.
const BODY_BYTES: usize = 28;
/// Size of the seal, a truncated HMAC-SHA256.
const SEAL_BYTES: usize = 16;
/// Block size of SHA-256. HMAC pads a shorter key with zeros to this size.
const HMAC_BLOCK_BYTES: usize = 64;
/// Length of a token's text in characters.
pub const TOKEN_LENGTH: usize = (BODY_BYTES + SEAL_BYTES) * 4 / 3 + 1;

/// Identifies the attempt that produced a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId {
    /// The number of the request.
    pub request: u64,
    /// The number of the attempt within the request.
    pub attempt: u32,
}

/// The fields of a page token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageToken {
    /// The result's number in the cache.
    pub result_id: u64,
    /// The attempt that produced the result.
    pub origin: AttemptId,
    /// When the result expires, in microseconds. Its pages can't be fetched from then on.
    pub expires_at: Micros,
}

/// Seals tokens with a secret key, and verifies them.
#[derive(Clone)]
pub struct TokenSealer(Hmac<Sha256>);

impl std::fmt::Debug for TokenSealer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenSealer")
    }
}

impl TokenSealer {
    /// Creates a sealer with `key`, which must be secret and random.
    #[must_use]
    pub fn new(key: &[u8; 32]) -> Self {
        let mut block = [0; HMAC_BLOCK_BYTES];
        for (padded, byte) in block.iter_mut().zip(key) {
            *padded = *byte;
        }
        TokenSealer(Hmac::new(&block.into()))
    }

    /// Returns the token's text: its fields in big-endian byte order and their seal, encoded as
    /// URL-safe base64 without padding.
    #[must_use]
    pub fn seal(&self, token: &PageToken) -> String {
        let mut bytes = Vec::with_capacity(BODY_BYTES + SEAL_BYTES);
        bytes.extend_from_slice(&token.result_id.to_be_bytes());
        bytes.extend_from_slice(&token.origin.request.to_be_bytes());
        bytes.extend_from_slice(&token.origin.attempt.to_be_bytes());
        bytes.extend_from_slice(&token.expires_at.to_be_bytes());
        let mut mac = self.0.clone();
        mac.update(&bytes);
        bytes.extend(mac.finalize().into_bytes().into_iter().take(SEAL_BYTES));
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies and decodes a token's text. Returns `None` if it was not sealed with this key.
    #[must_use]
    pub fn open(&self, text: &str) -> Option<PageToken> {
        // The seal is verified even if the text is malformed, so that the time taken does not
        // reveal why a token was rejected.
        let mut bytes = [0u8; BODY_BYTES + SEAL_BYTES];
        let is_well_formed = text.len() == TOKEN_LENGTH
            && URL_SAFE_NO_PAD.decode_slice(text, &mut bytes) == Ok(BODY_BYTES + SEAL_BYTES);
        let (body, seal) = bytes.split_at(BODY_BYTES);
        let mut mac = self.0.clone();
        mac.update(body);
        let is_sealed = mac.verify_truncated_left(seal).is_ok();
        if !(is_well_formed && is_sealed) {
            return None;
        }
        let (result_id, rest) = body.split_first_chunk()?;
        let (request, rest) = rest.split_first_chunk()?;
        let (attempt, rest) = rest.split_first_chunk()?;
        let (expires_at, _) = rest.split_first_chunk()?;
        Some(PageToken {
            result_id: u64::from_be_bytes(*result_id),
            origin: AttemptId {
                request: u64::from_be_bytes(*request),
                attempt: u32::from_be_bytes(*attempt),
            },
            expires_at: u64::from_be_bytes(*expires_at),
        })
    }
}
