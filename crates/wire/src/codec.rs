//! Frames: a length and a bincode value.
//!
//! `bincode` is no longer maintained; this module is the only one that uses
//! it, so that a successor replaces it here.

use crate::WireFault;
use bytes::{Buf, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};

/// The longest frame, in bytes, without its length.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// The encoding of a frame's value.
type FrameEncoding = bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_FRAME_BYTES>,
>;

/// Makes the encoding of a frame's value.
fn frame_encoding() -> FrameEncoding {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes `message` as the value of a frame.
///
/// # Errors
///
/// Returns [`WireFault::Malformed`] if the value is longer than
/// [`MAX_FRAME_BYTES`].
///
/// ```
/// use berylmount_wire::{decode_frame, encode_frame};
///
/// let frame = encode_frame(&(7u32, "text")).unwrap();
/// assert_eq!(decode_frame::<(u32, String)>(&frame), Ok((7, "text".to_owned())));
/// assert!(decode_frame::<(u32, String)>(&frame[1..]).is_err());
/// ```
pub fn encode_frame<M: Serialize>(message: &M) -> Result<Bytes, WireFault> {
    let value = bincode::serde::encode_to_vec(message, frame_encoding())
        .map_err(|e| WireFault::Malformed(e.to_string()))?;
    if value.len() > MAX_FRAME_BYTES {
        return Err(WireFault::Malformed(format!("{} bytes", value.len())));
    }
    Ok(value.into())
}

/// Decodes the value of a frame.
///
/// # Errors
///
/// Returns [`WireFault::Malformed`] if `value` does not decode or has bytes
/// left over.
pub fn decode_frame<M: DeserializeOwned>(value: &[u8]) -> Result<M, WireFault> {
    let (message, used) = bincode::serde::decode_from_slice(value, frame_encoding())
        .map_err(|e| WireFault::Malformed(e.to_string()))?;
    if used != value.len() {
        return Err(WireFault::Malformed("bytes left over".to_owned()));
    }
    Ok(message)
}

/// Puts the length before a frame's value.
pub(crate) fn with_length(value: &Bytes) -> Bytes {
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + value.len());
    frame.extend_from_slice(&(value.len() as u32).to_le_bytes());
    frame.extend_from_slice(value);
    frame.freeze()
}

/// Cuts received bytes into frames.
#[derive(Debug, Default)]
pub(crate) struct FrameSplitter {
    /// Bytes that came and are not part of a returned frame.
    pending: BytesMut,
}

impl FrameSplitter {
    /// Adds received bytes.
    pub(crate) fn add(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
    }

    /// Takes the next whole frame's value, if it has come.
    pub(crate) fn next_frame(&mut self) -> Result<Option<Bytes>, WireFault> {
        let Some(head) = self.pending.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*head) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(WireFault::Malformed(format!("a frame of {length} bytes")));
        }
        if self.pending.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.pending.advance(LENGTH_BYTES);
        Ok(Some(self.pending.split_to(length).freeze()))
    }

    /// Whether part of a frame is left.
    pub(crate) fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }
}
