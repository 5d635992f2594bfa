//! One request and its response on a connection, as a client.

use crate::{BodyFraming, BodyReader, H1Fault, H1Stream, HeadLimits, ResponseHead};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::Method;

/// Maximum number of interim (1xx) responses before the final one. Runners send only a
/// few.
const MAX_INTERIM_RESPONSES: usize = 8;

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

/// One request and its response on a connection.
///
/// A server may respond before it has read the whole request and read the rest later, so
/// that the next request on the connection would be taken for the rest of the first one.
/// The connection is therefore available again only from [`RequestExchange::finish`], which
/// checks both directions.
#[derive(Debug)]
pub struct RequestExchange {
    stream: H1Stream,
    /// The parts of the request that were not written yet: the head, with a short body in the
    /// same part, and a long body, which its owner holds as well.
    unsent: [Bytes; 2],
    /// The body of the last response; `None` until its head was read.
    body: Option<BodyReader>,
    /// Whether the server keeps the connection open after the responses so far.
    keeps_open: bool,
}

impl RequestExchange {
    /// Starts an exchange of a request in two parts on an idle connection. Nothing is written
    /// yet. The second part is empty unless it is too long to be copied behind the first one.
    pub fn new(stream: H1Stream, request: [Bytes; 2]) -> Self {
        Self {
            stream,
            unsent: request,
            body: None,
            keeps_open: true,
        }
    }

    /// Returns whether the whole request was written.
    pub fn is_sent(&self) -> bool {
        self.unsent.iter().all(Bytes::is_empty)
    }

    /// Writes the request until the server responds, and reads the head of the response.
    ///
    /// The rest of the request is written on after interim responses (1xx), and if the
    /// method is called again because the response belonged to another request.
    ///
    /// # Errors
    ///
    /// Returns [`H1Fault::Closed`] when the connection closes before the first byte,
    /// [`H1Fault::Malformed`] when there are too many interim responses, and other faults
    /// when the connection fails or the head is invalid.
    pub async fn read_head(&mut self, limits: HeadLimits) -> Result<ResponseHead, H1Fault> {
        self.body = None;
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = loop {
                if let Some(head) = self.stream.take_response(limits)? {
                    break head;
                }
                match self.unsent.iter_mut().find(|part| !part.is_empty()) {
                    Some(part) => {
                        let written = self.stream.write_until_response(part).await?;
                        part.advance(written);
                    }
                    None => self.stream.fill_head().await?,
                }
            };
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
        Err(H1Fault::Malformed("too many interim responses"))
    }

    /// Starts to read the body of the response with this head to a request with `method`.
    ///
    /// # Errors
    ///
    /// Returns [`H1Fault::Malformed`] for invalid or ambiguous framing.
    pub fn start_body(&mut self, head: &ResponseHead, method: &Method) -> Result<(), H1Fault> {
        let framing = head.framing(method)?;
        self.keeps_open &= !head.wants_close() && framing != BodyFraming::UntilClose;
        self.body = Some(BodyReader::new(framing));
        Ok(())
    }

    /// Returns the number of bytes of the body that are left, or `usize::MAX` if the server has not
    /// declared it.
    pub fn declared_left(&self) -> usize {
        let reader = self.body.as_ref();
        reader.map_or(usize::MAX, BodyReader::declared_left)
    }

    /// Reads the next available data of the body; `None` at its end, or if no body was
    /// started.
    ///
    /// # Errors
    ///
    /// Returns a fault when the connection fails or the framing is malformed, and
    /// [`H1Fault::Truncated`] when a body that ends with its connection does so before the request
    /// was written. The server may then have given up both, and a reset that it sends after the
    /// end may still be on its way.
    ///
    /// A clean end behind a request that was written counts as the end of the body, though the
    /// server may not have read the request: it may not need to, and the acknowledgements of TCP
    /// tell what a kernel has received, not what a server has read. A reset that arrives after
    /// the end was read comes too late.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, H1Fault> {
        let Some(reader) = &mut self.body else {
            return Ok(None);
        };
        let is_until_close = reader.is_until_close();
        let data = reader.next(&mut self.stream).await?;
        if data.is_none() && is_until_close && !self.is_sent() {
            return Err(H1Fault::Truncated);
        }
        Ok(data)
    }

    /// Reads and discards the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns [`H1Fault::BodyTooLong`] for more than `max_bytes`.
    pub async fn skip_body(&mut self, max_bytes: usize) -> Result<(), H1Fault> {
        let mut skipped = 0;
        while let Some(data) = self.next_data().await? {
            skipped += data.len();
            if skipped > max_bytes {
                return Err(H1Fault::BodyTooLong);
            }
        }
        Ok(())
    }

    /// Ends the exchange; returns the connection if it can carry another request. It can if
    /// the whole request was written, the whole response was read, no other bytes have
    /// arrived, and the server keeps the connection open.
    pub fn finish(self) -> Option<H1Stream> {
        let is_read = self.body.is_some_and(|reader| reader.is_done());
        let is_reusable =
            self.is_sent() && is_read && self.keeps_open && self.stream.is_buffer_empty();
        is_reusable.then_some(self.stream)
    }
}

/// A complete response, with the connection if it can carry another request.
#[derive(Debug)]
pub struct BufferedReply {
    /// Head of the response.
    pub head: ResponseHead,
    /// Body of the response.
    pub body: Bytes,
    /// The connection, for the next request.
    pub idle: Option<H1Stream>,
}

/// Sends a request and reads the complete response, with a body of at most
/// `max_bytes`.
///
/// # Errors
///
/// Returns a fault when the connection fails or the response is invalid. The server
/// may have executed the request.
pub async fn exchange(
    stream: H1Stream,
    call: &BufferedCall<'_>,
    max_bytes: usize,
) -> Result<BufferedReply, H1Fault> {
    let mut exchange = RequestExchange::new(stream, [call.encode(), Bytes::new()]);
    let head = exchange.read_head(HeadLimits::default()).await?;
    exchange.start_body(&head, &call.method)?;
    let mut body = BytesMut::new();
    while let Some(data) = exchange.next_data().await? {
        if body.len() + data.len() > max_bytes {
            return Err(H1Fault::BodyTooLong);
        }
        body.put_slice(&data);
    }
    Ok(BufferedReply {
        head,
        body: body.freeze(),
        idle: exchange.finish(),
    })
}

/// Returns the capacity to which the buffer of a body grows for `length` bytes, of `max_capacity`
/// at most. It follows what was received, not what is declared.
///
/// ```
/// use berylmount_h1::grown_capacity;
///
/// assert_eq!(grown_capacity(&Vec::new(), 100, 4000), 100);
/// assert_eq!(grown_capacity(&Vec::with_capacity(1000), 1100, 4000), 2000);
/// assert_eq!(grown_capacity(&Vec::with_capacity(3000), 3100, 4000), 4000);
/// ```
pub fn grown_capacity(body: &Vec<u8>, length: usize, max_capacity: usize) -> usize {
    let doubled = body.capacity().saturating_mul(2).min(max_capacity);
    length.max(doubled)
}

/// Reads a complete body of at most `max_bytes`, and accounts for its memory.
///
/// `try_reserve` is called with the stream and the bytes by which the buffer of the body grows,
/// and returns whether there is memory for it.
///
/// # Errors
///
/// Returns [`H1Fault::BodyTooLong`] for a longer body, and [`H1Fault::MemoryLimit`]
/// when `try_reserve` returns false.
pub async fn read_counted_body(
    stream: &mut H1Stream,
    mut reader: BodyReader,
    max_bytes: usize,
    mut try_reserve: impl FnMut(&H1Stream, usize) -> bool,
) -> Result<Bytes, H1Fault> {
    let max_capacity = reader.declared_left().min(max_bytes);
    let mut body = Vec::new();
    while let Some(data) = reader.next(stream).await? {
        let length = body.len() + data.len();
        if length > max_bytes {
            return Err(H1Fault::BodyTooLong);
        }
        if length > body.capacity() {
            let capacity = grown_capacity(&body, length, max_capacity);
            if !try_reserve(stream, capacity - body.capacity()) {
                return Err(H1Fault::MemoryLimit);
            }
            body.reserve_exact(capacity - body.len());
        }
        body.extend_from_slice(&data);
    }
    body.shrink_to_fit();
    Ok(body.into())
}
