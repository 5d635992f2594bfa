//! Request and response with buffered bodies, for clients that need no streaming.

use crate::{BodyReader, H1Fault, H1Stream, HeadLimits, ResponseHead};
use bytes::{BufMut, Bytes, BytesMut};
use http::Method;

/// A request with a fully buffered body.
#[derive(Clone, Debug)]
pub struct BufferedCall<'a> {
    /// Request method.
    pub method: Method,
    /// Request target: path and query.
    pub target: &'a str,
    /// Value of the Host header.
    pub host: &'a str,
    /// Additional headers.
    pub headers: &'a [(&'static str, &'a str)],
    /// Request body.
    pub body: &'a [u8],
}

impl BufferedCall<'_> {
    /// Encodes the request.
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

/// Sends a request and reads the complete response, with a body of at most
/// `max_bytes`.
///
/// The connection can be reused unless the head of the response asks to close it.
///
/// # Errors
///
/// Returns a fault when the connection fails or the response is invalid. The server
/// may have executed the request.
pub async fn exchange(
    stream: &mut H1Stream,
    call: &BufferedCall<'_>,
    max_bytes: usize,
) -> Result<(ResponseHead, Bytes), H1Fault> {
    stream.write(&call.encode()).await?;
    let head = stream.read_response(HeadLimits::default()).await?;
    let reader = BodyReader::new(head.framing(&call.method)?);
    let body = read_body(stream, reader, max_bytes).await?;
    Ok((head, body))
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
///
/// Returns [`H1Fault::BodyTooLong`] for a longer body.
pub async fn read_body(
    stream: &mut H1Stream,
    reader: BodyReader,
    max_bytes: usize,
) -> Result<Bytes, H1Fault> {
    read_counted_body(stream, reader, max_bytes, |_| true).await
}

/// Reads a complete body of at most `max_bytes`, and accounts for its memory.
///
/// `try_reserve` is called with the size of each read in bytes, and returns
/// whether there is memory for it.
///
/// # Errors
///
/// Returns [`H1Fault::BodyTooLong`] for a longer body, and [`H1Fault::MemoryLimit`]
/// when `try_reserve` returns false.
pub async fn read_counted_body(
    stream: &mut H1Stream,
    mut reader: BodyReader,
    max_bytes: usize,
    mut try_reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, H1Fault> {
    let mut body = BytesMut::new();
    while let Some(data) = reader.next(stream).await? {
        if body.len() + data.len() > max_bytes {
            return Err(H1Fault::BodyTooLong);
        }
        if !try_reserve(data.len()) {
            return Err(H1Fault::MemoryLimit);
        }
        body.put_slice(&data);
    }
    Ok(body.freeze())
}
