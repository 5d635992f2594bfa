//! One request and its response on a connection, as a client.

use crate::{BodyFraming, BodyReader, H1Fault, H1Stream, HeadLimits, ResponseHead};
use bytes::{BufMut, Bytes, BytesMut};
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
    request: Bytes,
    /// Number of bytes of the request that were written.
    sent: usize,
    /// The body of the last response; `None` until its head was read.
    body: Option<BodyReader>,
    /// Whether the server keeps the connection open after the responses so far.
    keeps_open: bool,
}

impl RequestExchange {
    /// Starts an exchange of `request`, the encoded head and body, on an idle connection.
    /// Nothing is written yet.
    pub fn new(stream: H1Stream, request: Bytes) -> Self {
        Self {
            stream,
            request,
            sent: 0,
            body: None,
            keeps_open: true,
        }
    }

    /// Returns whether the whole request was written.
    pub fn is_sent(&self) -> bool {
        self.sent == self.request.len()
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
                if self.is_sent() {
                    self.stream.fill_head().await?;
                } else {
                    let rest = &self.request[self.sent..];
                    self.sent += self.stream.write_until_response(rest).await?;
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

    /// Reads the next available data of the body; `None` at its end, or if no body was
    /// started.
    ///
    /// # Errors
    ///
    /// Returns a fault when the connection fails or the framing is malformed.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, H1Fault> {
        match &mut self.body {
            Some(reader) => reader.next(&mut self.stream).await,
            None => Ok(None),
        }
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
    let mut exchange = RequestExchange::new(stream, call.encode());
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
