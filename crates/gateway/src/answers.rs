//! Answers of our own.

use berylmount_adapter::request_headers::set_response_id;
use berylmount_h1::push_headers;
use bytes::{BufMut, Bytes, BytesMut};
use http::{
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER},
    HeaderMap, HeaderValue, StatusCode,
};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Why a request gets an answer of our own.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum AnswerReason {
    /// The request can't be read in only one way.
    Malformed,
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The request did not arrive in time.
    RequestTimeout,
    /// No route serves the host and path.
    UnknownRoute,
    /// No customer holds the key.
    UnknownKey,
    /// No route table is known yet.
    NoTable,
    /// No runner can take the request now; it has not run.
    NoRunner,
    /// The request can't be served in time; it has not run.
    TooLate,
    /// This instance is leaving; the request has not run.
    Leaving,
    /// Every runner that was tried refused; the request has not run.
    Refused,
    /// All runners have asked to be left alone for a while; the request has not run.
    RunnersRest,
    /// Too many requests wait here; the request has not run.
    Overloaded,
    /// A runner may have run the request and did not answer in time.
    MayHaveRunTimeout,
    /// A runner may have run the request and its answer is lost or broken.
    MayHaveRun,
}

impl AnswerReason {
    /// The status that says so.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoTable
            | Self::NoRunner
            | Self::TooLate
            | Self::Leaving
            | Self::Refused
            | Self::RunnersRest
            | Self::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRunTimeout => StatusCode::GATEWAY_TIMEOUT,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
        }
    }
}

/// An answer of our own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnAnswer {
    /// Why.
    pub(crate) reason: AnswerReason,
    /// When the caller should come back.
    pub(crate) retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// An answer without a time to come back.
    pub(crate) fn new(reason: AnswerReason) -> Self {
        let retry_after = None;
        Self {
            reason,
            retry_after,
        }
    }

    /// Its bytes, for a request with `id`.
    pub(crate) fn encode(&self, id: &str, closes: bool) -> Bytes {
        let text: &'static str = self.reason.into();
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if !id.is_empty() {
            set_response_id(&mut headers, id);
        }
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.2}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        encode_whole(self.reason.status(), &mut headers, text.as_bytes(), closes)
    }
}

/// Bytes of an answer whose body is known.
pub(crate) fn encode_whole(
    status: StatusCode,
    headers: &mut HeaderMap,
    body: &[u8],
    closes: bool,
) -> Bytes {
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    let mut output = encode_head(status, headers, closes);
    output.put_slice(body);
    output.freeze()
}

/// Bytes of an answer's head.
pub(crate) fn encode_head(status: StatusCode, headers: &mut HeaderMap, closes: bool) -> BytesMut {
    if closes {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let mut output = BytesMut::with_capacity(512);
    let phrase = status.canonical_reason().unwrap_or("Status");
    output.put_slice(format!("HTTP/1.1 {} {phrase}\r\n", status.as_u16()).as_bytes());
    push_headers(&mut output, headers);
    output.put_slice(b"\r\n");
    output
}
