//! One call, as the thread that serves it sees it.

use crate::{
    answer::{AnswerBody, AnswerWriter},
    HttpAnswer,
};
use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri};
use std::{io, time::Duration};
use tokio::{runtime::Handle, sync::oneshot, task::AbortHandle};

/// Why a call has no body.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BodyFault {
    /// It is longer than the bound.
    #[error("a body has at most {0} bytes")]
    TooLong(usize),
    /// It did not come in time, or broke off.
    #[error("the body did not come: {0}")]
    NotRead(String),
    /// It is not text.
    #[error("the body is not UTF-8")]
    NotText,
}

/// A call with its whole body.
#[derive(Debug)]
pub struct HttpCall {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Result<Bytes, BodyFault>,
    pub(crate) answer: oneshot::Sender<Response<AnswerBody>>,
    pub(crate) handle: Handle,
    pub(crate) patience: Duration,
    pub(crate) connection: AbortHandle,
}

impl HttpCall {
    /// The method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// The path.
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// The query, empty for none.
    pub fn query(&self) -> &str {
        self.uri.query().unwrap_or_default()
    }

    /// The value of the header `name`, if it is there and is plain text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as text.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn text(&self) -> Result<&str, BodyFault> {
        let body = self.body.as_ref().map_err(Clone::clone)?;
        std::str::from_utf8(body).map_err(|_| BodyFault::NotText)
    }

    /// Answers whole.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone.
    pub fn respond(self, answer: HttpAnswer) -> io::Result<()> {
        let sent = self.answer.send(answer.into_response());
        sent.map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    /// Starts an answer with status 200 that comes piece by piece.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone.
    pub fn start(self, content_type: &'static str) -> io::Result<AnswerWriter> {
        let (writer, response) =
            AnswerWriter::new(self.handle, self.patience, self.connection, content_type);
        let sent = self.answer.send(response);
        sent.map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        Ok(writer)
    }
}
