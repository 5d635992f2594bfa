//! Incremental reading of message bodies.

use crate::{H1Fault, H1Stream};
use bytes::{Buf, Bytes};

/// Maximum length of a chunk-size or trailer line, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Maximum number of trailer lines of one body.
const MAX_TRAILERS: usize = 32;

/// How the length of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked and ends with an empty chunk.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// Position of a reader within a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadState {
    /// Bytes left of a body with a known length.
    Length(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// Bytes left of a chunk.
    ChunkData(u64),
    /// Before the line break after a chunk.
    ChunkEnd,
    /// In the trailer section, after this many lines.
    Trailer(usize),
    /// In a body that ends when the connection closes.
    UntilClose,
    /// The body has been read completely.
    Done,
}

/// Reads one body from a stream.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    state: ReadState,
}

impl BodyReader {
    /// Creates a reader of a body with this framing.
    ///
    /// ```
    /// use berylmount_h1::{BodyFraming, BodyReader};
    ///
    /// assert!(BodyReader::new(BodyFraming::Length(0)).is_done());
    /// assert!(!BodyReader::new(BodyFraming::Chunked).is_done());
    /// ```
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => ReadState::Done,
            BodyFraming::Length(length) => ReadState::Length(length),
            BodyFraming::Chunked => ReadState::ChunkSize,
            BodyFraming::UntilClose => ReadState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body has been read completely.
    pub fn is_done(&self) -> bool {
        self.state == ReadState::Done
    }

    /// Returns the number of bytes left, or `usize::MAX` if the peer has not declared it.
    pub(crate) fn declared_left(&self) -> usize {
        match self.state {
            ReadState::Length(left) => usize::try_from(left).unwrap_or(usize::MAX),
            _ => usize::MAX,
        }
    }

    /// Returns whether the body ends with its connection.
    pub(crate) fn is_until_close(&self) -> bool {
        self.state == ReadState::UntilClose
    }

    /// Reads the next available data of the body; `None` at its end.
    ///
    /// The method is cancel safe: bytes already read stay in the stream's buffer.
    ///
    /// # Errors
    ///
    /// Returns [`H1Fault::Truncated`] when the connection closes before the end of the
    /// body, and other faults when the connection fails or the framing is malformed. A body that
    /// ends with its connection also fails if a reset has followed the end.
    pub async fn next(&mut self, stream: &mut H1Stream) -> Result<Option<Bytes>, H1Fault> {
        loop {
            if let Some(data) = self.take(stream)? {
                return Ok(Some(data));
            }
            if self.is_done() {
                return Ok(None);
            }
            if stream.fill().await? == 0 {
                if self.state == ReadState::UntilClose {
                    stream.check_end()?;
                    self.state = ReadState::Done;
                    return Ok(None);
                }
                return Err(H1Fault::Truncated);
            }
        }
    }

    /// Takes body data from the stream's buffer, without reading from the socket.
    fn take(&mut self, stream: &mut H1Stream) -> Result<Option<Bytes>, H1Fault> {
        loop {
            let buffered = stream.buffer.len() as u64;
            match self.state {
                ReadState::Done => return Ok(None),
                _ if buffered == 0 => return Ok(None),
                ReadState::UntilClose => return Ok(Some(stream.buffer.split().freeze())),
                ReadState::Length(left) => {
                    let taken = left.min(buffered);
                    self.state = match left - taken {
                        0 => ReadState::Done,
                        remaining => ReadState::Length(remaining),
                    };
                    return Ok(Some(stream.buffer.split_to(taken as usize).freeze()));
                }
                ReadState::ChunkData(left) => {
                    let taken = left.min(buffered);
                    self.state = match left - taken {
                        0 => ReadState::ChunkEnd,
                        remaining => ReadState::ChunkData(remaining),
                    };
                    return Ok(Some(stream.buffer.split_to(taken as usize).freeze()));
                }
                ReadState::ChunkSize => match take_line(stream)? {
                    None => return Ok(None),
                    Some(line) => {
                        self.state = match parse_chunk_size(&line)? {
                            0 => ReadState::Trailer(0),
                            size => ReadState::ChunkData(size),
                        }
                    }
                },
                ReadState::ChunkEnd => match take_line(stream)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = ReadState::ChunkSize,
                    Some(_) => {
                        return Err(H1Fault::Malformed(
                            "a chunk is longer than its declared size",
                        ))
                    }
                },
                ReadState::Trailer(lines) => match take_line(stream)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = ReadState::Done,
                    Some(_) if lines >= MAX_TRAILERS => {
                        return Err(H1Fault::Malformed("too many trailer lines"))
                    }
                    Some(_) => self.state = ReadState::Trailer(lines + 1),
                },
            }
        }
    }
}

/// Takes a line without its CRLF; `None` if it is still incomplete.
fn take_line(stream: &mut H1Stream) -> Result<Option<Bytes>, H1Fault> {
    let Some(end) = stream.buffer.iter().position(|byte| *byte == b'\n') else {
        return match stream.buffer.len() > MAX_CHUNK_LINE {
            true => Err(H1Fault::Malformed(
                "a chunk-size or trailer line is too long",
            )),
            false => Ok(None),
        };
    };
    if end == 0 || stream.buffer[end - 1] != b'\r' {
        return Err(H1Fault::Malformed(
            "a chunk-size or trailer line does not end with CRLF",
        ));
    }
    let line = stream.buffer.split_to(end - 1).freeze();
    stream.buffer.advance(2);
    Ok(Some(line))
}

/// Parses a chunk-size line; chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, H1Fault> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default().trim_end();
    let valid = (1..=15).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
    let size = if valid {
        u64::from_str_radix(text, 16).ok()
    } else {
        None
    };
    size.ok_or(H1Fault::Malformed("invalid chunk size"))
}
