//! The format of files that contain a saved state: a magic number, a checksum, and the state.

use thiserror::Error;

/// The first bytes of a file. A little-endian CRC-32 of the state and the state itself follow.
const MAGIC: &[u8; 8] = b"VGSTATE1";

/// Why a file doesn't contain a valid saved state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SavedStateError {
    /// The file doesn't begin with the magic number.
    #[error("this is no saved state")]
    NotASavedState,
    /// The file ends before the end of the checksum.
    #[error("the saved state is truncated")]
    Truncated,
    /// The checksum doesn't match the state.
    #[error("the saved state is corrupt: its checksum doesn't match")]
    Corrupt,
}

/// Encodes a state as the content of a file.
pub(super) fn encode(state: &[u8]) -> Vec<u8> {
    let checksum = crc32fast::hash(state).to_le_bytes();
    [MAGIC, checksum.as_slice(), state].concat()
}

/// Decodes the content of a file, and returns the state.
pub(super) fn decode(bytes: &[u8]) -> Result<Vec<u8>, SavedStateError> {
    let rest = bytes.strip_prefix(MAGIC);
    let rest = rest.ok_or(SavedStateError::NotASavedState)?;
    let (checksum, state) = rest.split_first_chunk().ok_or(SavedStateError::Truncated)?;
    if crc32fast::hash(state) != u32::from_le_bytes(*checksum) {
        return Err(SavedStateError::Corrupt);
    }
    Ok(state.to_vec())
}

#[cfg(test)]
mod tests;
