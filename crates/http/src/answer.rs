//! Answers, whole or piece by piece.

use bytes::Bytes;
use http::{header, HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{runtime::Handle, sync::mpsc, task::AbortHandle};

/// Pieces of an answer that may wait for a slow reader.
const PIECES_WAITING: usize = 64;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl HttpAnswer {
    /// A JSON answer; a status out of range becomes 500.
    ///
    /// ```
    /// use berylmount_http::HttpAnswer;
    ///
    /// let answer = HttpAnswer::json(200, b"{}".to_vec()).with_header("retry-after", "3");
    /// ```
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let json = HeaderValue::from_static("application/json");
        Self {
            status,
            headers: vec![(header::CONTENT_TYPE, json)],
            body: body.into(),
        }
    }

    /// Adds a header; one with characters that are not allowed is left out.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.push((HeaderName::from_static(name), value));
        }
        self
    }

    /// The response that carries it.
    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::new(AnswerSource::Whole(Some(self.body))));
        *response.status_mut() = self.status;
        response.headers_mut().extend(self.headers);
        response
    }
}

/// What an [`AnswerWriter`] passes to the connection.
#[derive(Debug)]
enum AnswerItem {
    /// The next bytes.
    Piece(Bytes),
    /// The answer is whole.
    Finish,
}

/// Where the bytes of a response come from.
#[derive(Debug)]
enum AnswerSource {
    /// All bytes are there.
    Whole(Option<Bytes>),
    /// Bytes come from an [`AnswerWriter`].
    Pieces(mpsc::Receiver<AnswerItem>),
}

/// The body of a response.
pub(crate) struct AnswerBody {
    source: AnswerSource,
    /// Dropped once the answer is sent or cut.
    held: Option<Box<dyn Send>>,
}

impl AnswerBody {
    /// A body from `source`.
    fn new(source: AnswerSource) -> Self {
        Self { source, held: None }
    }

    /// Drops `held` once the answer is sent or cut.
    pub(crate) fn hold(&mut self, held: Box<dyn Send>) {
        self.held = Some(held);
    }
}

impl std::fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}, held: {}", self.source, self.held.is_some())
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.get_mut().source {
            AnswerSource::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            AnswerSource::Pieces(pieces) => pieces.poll_recv(cx).map(|item| match item {
                Some(AnswerItem::Piece(piece)) => Some(Ok(Frame::data(piece))),
                Some(AnswerItem::Finish) => None,
                // The writer is gone: an answer that was cut must not look whole.
                None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, AnswerSource::Whole(None))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match &self.source {
            AnswerSource::Whole(body) => {
                let length = body.as_ref().map_or(0, Bytes::len);
                http_body::SizeHint::with_exact(length as u64)
            }
            AnswerSource::Pieces(_) => http_body::SizeHint::default(),
        }
    }
}

/// Writes an answer piece by piece.
///
/// Dropping it before [`AnswerWriter::finish`] breaks the connection, so that a
/// cut answer never looks whole.
#[derive(Debug)]
pub struct AnswerWriter {
    handle: Handle,
    pieces: mpsc::Sender<AnswerItem>,
    patience: Duration,
    connection: AbortHandle,
}

impl AnswerWriter {
    /// A writer and the response that it fills.
    pub(crate) fn new(
        handle: Handle,
        patience: Duration,
        connection: AbortHandle,
        content_type: &'static str,
    ) -> (Self, Response<AnswerBody>) {
        let (pieces, received) = mpsc::channel(PIECES_WAITING);
        let mut response = Response::new(AnswerBody::new(AnswerSource::Pieces(received)));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        let writer = Self {
            handle,
            pieces,
            patience,
            connection,
        };
        (writer, response)
    }

    /// Passes the next bytes on; they are sent at once.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone, or reads too slowly for too long; the
    /// connection is closed then.
    pub fn write(&mut self, piece: Vec<u8>) -> io::Result<()> {
        self.pass(AnswerItem::Piece(piece.into()))
    }

    /// Ends the answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone.
    pub fn finish(self) -> io::Result<()> {
        self.pass(AnswerItem::Finish)
    }

    /// Passes one item on, waiting for room.
    fn pass(&self, item: AnswerItem) -> io::Result<()> {
        let passed = self.handle.block_on(async {
            // The timer starts inside the runtime.
            self.pieces.send_timeout(item, self.patience).await
        });
        passed.map_err(|_| {
            self.connection.abort();
            io::ErrorKind::BrokenPipe.into()
        })
    }
}
