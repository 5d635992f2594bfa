//! One whole call over a connection, for callers that need no streaming.

use crate::{BodyReader, H1Fault, H1Stream, HeadLimits, ResponseHead};
use bytes::{BufMut, Bytes, BytesMut};
use http::Method;

/// A call with a body of a known length.
#[derive(Clone, Debug)]
pub struct BufferedCall<'a> {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: &'a str,
    /// The Host header.
    pub host: &'a str,
    /// Further headers.
    pub headers: &'a [(&'static str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

impl BufferedCall<'_> {
    /// The bytes of the call.
    fn encode(&self) -> Bytes {
        let mut output = BytesMut::with_capacity(256 + self.body.len());
        let line = format!(
            "{} {} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n",
            self.method,
            self.target,
            self.host,
            self.body.len()
        );
        output.put_slice(line.as_bytes());
        for (name, value) in self.headers {
            output.put_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        output.put_slice(b"\r\n");
        output.put_slice(self.body);
        output.freeze()
    }
}

/// Makes a call and reads the whole answer, up to `most_bytes` of body.
///
/// The connection can carry another call afterwards if the answer's head does
/// not want it closed.
///
/// # Errors
///
/// Returns the fault of the connection or of the answer; the call may have
/// been carried out.
pub async fn exchange(
    stream: &mut H1Stream,
    call: &BufferedCall<'_>,
    most_bytes: usize,
) -> Result<(ResponseHead, Bytes), H1Fault> {
    stream.write(&call.encode()).await?;
    let head = stream.read_response(HeadLimits::default()).await?;
    let reader = BodyReader::new(head.framing(&call.method)?);
    let body = read_body(stream, reader, most_bytes).await?;
    Ok((head, body))
}

/// Reads a whole body of at most `most_bytes`.
///
/// # Errors
///
/// Returns [`H1Fault::BodyTooLong`] for a longer body.
pub async fn read_body(
    stream: &mut H1Stream,
    reader: BodyReader,
    most_bytes: usize,
) -> Result<Bytes, H1Fault> {
    read_counted_body(stream, reader, most_bytes, |_| true).await
}

/// Reads a whole body of at most `most_bytes`; `has_room` learns the bytes of
/// each piece as it comes, and tells whether they can be held.
///
/// # Errors
///
/// Returns [`H1Fault::BodyTooLong`] for a longer body, and
/// [`H1Fault::MemoryLimit`] once `has_room` is false.
pub async fn read_counted_body(
    stream: &mut H1Stream,
    mut reader: BodyReader,
    most_bytes: usize,
    mut has_room: impl FnMut(usize) -> bool,
) -> Result<Bytes, H1Fault> {
    let mut body = BytesMut::new();
    while let Some(piece) = reader.next(stream).await? {
        if body.len() + piece.len() > most_bytes {
            return Err(H1Fault::BodyTooLong);
        }
        if !has_room(piece.len()) {
            return Err(H1Fault::MemoryLimit);
        }
        body.put_slice(&piece);
    }
    Ok(body.freeze())
}
