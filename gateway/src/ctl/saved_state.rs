//! Files that hold a saved state: a magic number, a checksum, and the state.

use thiserror::Error;

/// What a file with a saved state begins with; then come a CRC-32 of the state, little-endian, and the state.
const MAGIC: &[u8; 8] = b"VGSTATE1";

/// Why a file holds no saved state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SavedStateError {
    /// It begins otherwise.
    #[error("this is no saved state")]
    NotASavedState,
    /// It ends before the state.
    #[error("this saved state is cut short")]
    Truncated,
    /// Its checksum is not that of the state.
    #[error("this saved state is spoilt: its checksum is another one")]
    Corrupt,
}

/// The content of a file that saves a state.
pub(super) fn encode(state: &[u8]) -> Vec<u8> {
    let checksum = crc32fast::hash(state).to_le_bytes();
    [MAGIC, checksum.as_slice(), state].concat()
}

/// The state that a file saves.
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
