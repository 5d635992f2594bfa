//! Frames around the bytes that a tunnel carries towards the client.
//!
//! A connection that ends does not tell whether the server has closed its stream or the tunnel
//! was lost. Each block of bytes therefore follows its length, and the server's end of the
//! stream is a frame of its own.

use bytes::{Buf, BytesMut};
use std::io;

/// Size of the length of a frame, in bytes.
const LENGTH_BYTES: usize = 2;
/// Length of the frame which tells that the server has closed its stream.
const CLOSED: u16 = 0;
/// Length of the frame which tells that the connection to the server was lost.
const LOST: u16 = u16::MAX;
/// Maximum number of bytes in one frame.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;

/// How the stream of a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The server has closed it.
    Closed,
    /// The connection to the server was lost.
    Lost,
}

/// Returns what precedes a block of `length` bytes, which is at least 1 and at most
/// [`MAX_FRAME_BYTES`].
///
/// ```
/// assert_eq!(berylmount_h1::frame_head(258), [1, 2]);
/// ```
pub fn frame_head(length: usize) -> [u8; LENGTH_BYTES] {
    debug_assert!((1..=MAX_FRAME_BYTES).contains(&length));
    (length as u16).to_be_bytes()
}

/// Returns the frame for the end of a stream.
///
/// ```
/// use berylmount_h1::{end_frame, StreamEnd};
///
/// assert_eq!(end_frame(StreamEnd::Closed), [0, 0]);
/// ```
pub fn end_frame(end: StreamEnd) -> [u8; LENGTH_BYTES] {
    let length = match end {
        StreamEnd::Closed => CLOSED,
        StreamEnd::Lost => LOST,
    };
    length.to_be_bytes()
}

/// Decodes the frames of a tunnel.
#[derive(Debug, Default)]
pub(crate) struct FrameReader {
    /// Received bytes that are not decoded yet.
    pub(crate) received: BytesMut,
    /// Bytes of the current frame that are still to come.
    left: usize,
    is_closed: bool,
}

impl FrameReader {
    /// Whether the server has closed its stream.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Whether the tunnel is between two frames and nothing has been received.
    pub(crate) fn is_idle(&self) -> bool {
        self.received.is_empty() && self.left == 0 && !self.is_closed
    }

    /// Moves the received bytes of the server to `output`; returns their number.
    ///
    /// # Errors
    ///
    /// Returns `ConnectionReset` if the connection to the server was lost, and `InvalidData` if
    /// the bytes are no frames.
    pub(crate) fn decode(&mut self, output: &mut BytesMut) -> io::Result<usize> {
        let mut decoded = 0;
        while !self.is_closed {
            if self.left > 0 {
                let count = self.left.min(self.received.len());
                output.extend_from_slice(&self.received[..count]);
                self.received.advance(count);
                self.left -= count;
                decoded += count;
                if self.left > 0 {
                    break;
                }
            }
            if self.received.len() < LENGTH_BYTES {
                break;
            }
            // What came before the loss is delivered first.
            match u16::from_be_bytes([self.received[0], self.received[1]]) {
                LOST if decoded > 0 => break,
                LOST => return Err(io::ErrorKind::ConnectionReset.into()),
                CLOSED => self.is_closed = true,
                length if usize::from(length) > MAX_FRAME_BYTES => {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                length => self.left = usize::from(length),
            }
            self.received.advance(LENGTH_BYTES);
        }
        Ok(decoded)
    }
}
