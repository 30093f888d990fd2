//! The framing of records: length, checksum, content.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::{Corruption, StorageError};

/// The size of a record's header, in bytes: the length and the checksum.
const HEADER_BYTES: usize = 8;

/// Encodes a value as a record: header and content. Fails if the content is longer than the length
/// field can express. That is the only limit, so every record that was written can be read.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    let content = postcard::to_stdvec(value).map_err(Corruption::Encoding)?;
    let length = u32::try_from(content.len()).map_err(Corruption::RecordTooLong)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(length, &content).to_le_bytes());
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

fn checksum(length: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}

/// A complete record with a valid checksum, not decoded yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RawRecord<'a> {
    pub(crate) content: &'a [u8],
    /// The size of the record including its header, in bytes.
    pub(crate) size: usize,
}

impl<'a> RawRecord<'a> {
    /// Returns the record at the start of `bytes`, or `None` if there is no complete and undamaged
    /// record.
    pub(crate) fn at_start(bytes: &'a [u8]) -> Option<Self> {
        let (length, rest) = bytes.split_first_chunk()?;
        let (stored_checksum, rest) = rest.split_first_chunk()?;
        let length = u32::from_le_bytes(*length);
        let content = rest.get(..length as usize)?;
        // An empty record is invalid, so that zeros with which the operating system has extended a
        // file are never read as records.
        let is_valid =
            length > 0 && checksum(length, content) == u32::from_le_bytes(*stored_checksum);
        is_valid.then_some(RawRecord {
            content,
            size: HEADER_BYTES + content.len(),
        })
    }
}

/// Decodes the value of a file that consists of one record.
pub(crate) fn decode_file<T: DeserializeOwned>(file: &str, bytes: &[u8]) -> Result<T, Corruption> {
    RawRecord::at_start(bytes)
        .and_then(|record| postcard::from_bytes(record.content).ok())
        .ok_or_else(|| Corruption::NoRecord {
            file: file.to_owned(),
        })
}
