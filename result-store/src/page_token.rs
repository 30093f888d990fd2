//! Tokens with which clients ask for pages of a cached result.
//!
//! A token is opaque to clients and sealed with a key that only this process has; it names the
//! result and its expiry. A forged one, or one of another process, is rejected in the same time
//! whatever is wrong with it.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::Micros;

/// Bytes of the fields that are sealed.
const BODY_BYTES: usize = 28;
/// Bytes of the seal: HMAC-SHA256, truncated.
const SEAL_BYTES: usize = 16;
/// SHA-256 works on blocks of this size; HMAC pads a shorter key with zeros.
const HMAC_BLOCK_BYTES: usize = 64;
/// Characters of a token's text.
pub const TOKEN_LENGTH: usize = (BODY_BYTES + SEAL_BYTES) * 4 / 3 + 1;

/// The attempt that made a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptId {
    /// The request's number.
    pub request: u64,
    /// The number of the attempt within the request.
    pub attempt: u32,
}

/// What a token stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageToken {
    /// The result's number in the cache.
    pub result_id: u64,
    /// The attempt that made the result.
    pub origin: AttemptId,
    /// Until when its pages may be fetched, in microseconds.
    pub expires_at: Micros,
}

/// Seals and opens tokens with one key.
#[derive(Clone)]
pub struct TokenSealer(Hmac<Sha256>);

impl std::fmt::Debug for TokenSealer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TokenSealer")
    }
}

impl TokenSealer {
    /// Creates a sealer for a key, which has to be secret and random.
    #[must_use]
    pub fn new(key: &[u8; 32]) -> Self {
        let mut block = [0; HMAC_BLOCK_BYTES];
        for (padded, byte) in block.iter_mut().zip(key) {
            *padded = *byte;
        }
        TokenSealer(Hmac::new(&block.into()))
    }

    /// Returns the token's text: its fields in big-endian order and their seal, as URL-safe base64.
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

    /// Reads a token's text; `None` if this key has not sealed it.
    #[must_use]
    pub fn open(&self, text: &str) -> Option<PageToken> {
        // Text that is no token at all is verified like one, so that the time taken reveals
        // nothing.
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
