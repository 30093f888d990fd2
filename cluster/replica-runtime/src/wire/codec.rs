//! Encodes and decodes frames. A frame is the length of a message in four bytes, little-endian,
//! then the message.

use serde::de::DeserializeOwned;
use serde::Serialize;

use super::MAX_FRAME_BYTES;
use crate::close_reason::CloseReason;

/// The number of bytes before a message, which hold its length.
pub(crate) const FRAME_HEADER_BYTES: usize = 4;

/// A decoded message and the length of its frame in bytes, including the header.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Decoded<T> {
    pub message: T,
    pub frame_bytes: usize,
}

/// Encodes a message as a frame. Fails if the message is longer than [`MAX_FRAME_BYTES`].
pub(crate) fn encode_frame(message: &impl Serialize) -> Result<Vec<u8>, CloseReason> {
    let too_long = CloseReason::FrameTooLong;
    let mut frame =
        postcard::to_extend(message, vec![0; FRAME_HEADER_BYTES]).map_err(|_| too_long)?;
    let length = frame.len().saturating_sub(FRAME_HEADER_BYTES);
    if length > MAX_FRAME_BYTES {
        return Err(too_long);
    }
    let length = u32::try_from(length).map_err(|_| too_long)?;
    let header = frame.first_chunk_mut().ok_or(too_long)?;
    *header = length.to_le_bytes();
    Ok(frame)
}

/// Decodes the first message in `bytes`; `None` if its frame is not complete yet. Fails if the
/// message is longer than `max_bytes` or can't be decoded.
pub(crate) fn decode_frame<T: DeserializeOwned>(
    bytes: &[u8],
    max_bytes: usize,
) -> Result<Option<Decoded<T>>, CloseReason> {
    let Some((header, rest)) = bytes.split_first_chunk() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*header) as usize;
    if length > max_bytes {
        return Err(CloseReason::FrameTooLong);
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let message = postcard::from_bytes(body).map_err(|_| CloseReason::MalformedFrame)?;
    Ok(Some(Decoded {
        message,
        frame_bytes: FRAME_HEADER_BYTES + length,
    }))
}
