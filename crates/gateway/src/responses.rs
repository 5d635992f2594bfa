//! Responses that the gateway generates itself, and the encoding of responses.

use berylmount_adapter::request_headers::set_response_id;
use berylmount_h1::push_headers;
use bytes::{BufMut, Bytes, BytesMut};
use http::{
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER},
    HeaderMap, HeaderValue, Method, StatusCode,
};
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Length in bytes up to which a body is copied behind its head, so that both are written at
/// once.
pub(crate) const MAX_COPIED_BYTES: usize = 16 * 1024;

/// The reason for a response that the gateway generates itself.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LocalReason {
    /// The request is malformed or ambiguous.
    Malformed,
    /// The head exceeds the size limit.
    HeadTooLong,
    /// The body exceeds the size limit.
    BodyTooLong,
    /// The request was not received within the time limit.
    RequestTimeout,
    /// No route matches the host and path.
    UnknownRoute,
    /// The API key belongs to no customer.
    UnknownKey,
    /// No route table is known yet.
    NoTable,
    /// No runner is available; the request has not run.
    NoRunner,
    /// No instance has a network path to the runners; the request has not run.
    NoPath,
    /// The time limit passed before the request was sent; it has not run.
    TooLate,
    /// This instance is draining; the request has not run.
    #[strum(serialize = "leaving")]
    Draining,
    /// Every runner that was tried rejected the request; it has not run.
    Refused,
    /// All runners are in the backoff that they asked for; the request has not run.
    #[strum(serialize = "runners_rest")]
    RunnersInBackoff,
    /// All runners are at the request limits that they named; the request has not run.
    #[strum(serialize = "runner_limits")]
    RunnersAtLimit,
    /// All runners have stated that they are brittle, and none has room; the request has not
    /// run.
    RunnersFull,
    /// The gateway or the runners lack capacity; the request has not run.
    Overloaded,
    /// This process has just started and does not know yet which requests crash runners; the
    /// request has not run.
    Starting,
    /// The request or a part of its prompt crashes runners; it has not run.
    CrashingPart,
    /// The request or a part of its prompt may crash runners, and another one with it was just
    /// sent; the request has not run.
    SuspectPart,
    /// The stream was begun at a software version that is not known; it does not go on.
    UnknownStream,
    /// No runner has the software version that began the stream; it does not go on.
    VersionGone,
    /// A runner may have run the request but did not respond in time.
    MayHaveRunTimeout,
    /// A runner may have run the request, but its response was lost or invalid.
    MayHaveRun,
}

impl LocalReason {
    /// Returns the HTTP status for the reason.
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
            | Self::NoPath
            | Self::TooLate
            | Self::Draining
            | Self::Refused
            | Self::RunnersInBackoff
            | Self::RunnersAtLimit
            | Self::RunnersFull
            | Self::Overloaded
            | Self::Starting
            | Self::CrashingPart
            | Self::SuspectPart
            | Self::UnknownStream
            | Self::VersionGone => StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRunTimeout => StatusCode::GATEWAY_TIMEOUT,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A response that the gateway generates itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalResponse {
    /// The reason for the response.
    pub(crate) reason: LocalReason,
    /// The delay after which the caller should retry.
    pub(crate) retry_after: Option<Duration>,
}

impl LocalResponse {
    /// Creates a response without a `Retry-After` header.
    pub(crate) fn new(reason: LocalReason) -> Self {
        let retry_after = None;
        Self {
            reason,
            retry_after,
        }
    }

    /// Encodes the response to a request with `method` and `id`; `closes` adds
    /// `Connection: close`.
    pub(crate) fn encode(&self, method: &Method, id: &str, closes: bool) -> Bytes {
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
        let (status, body) = (self.reason.status(), text.as_bytes());
        encode_response(method, status, &mut headers, body, closes)
    }
}

/// Encodes a response with a complete body to a request with `method`; `closes` adds
/// `Connection: close`.
///
/// A response to HEAD ends with its head, which may state the length of the body that it
/// does not have.
pub(crate) fn encode_response(
    method: &Method,
    status: StatusCode,
    headers: &mut HeaderMap,
    body: &[u8],
    closes: bool,
) -> Bytes {
    let is_bodiless = *method == Method::HEAD;
    if !is_bodiless || !body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let mut output = encode_head(status, headers, closes);
    if !is_bodiless {
        output.put_slice(body);
    }
    output.freeze()
}

/// Encodes a response like [`encode_response`], in two parts. The second part is empty unless the
/// body is long, so that a long body is never copied.
pub(crate) fn encode_parts(
    method: &Method,
    status: StatusCode,
    headers: &mut HeaderMap,
    body: Bytes,
    closes: bool,
) -> (Bytes, Bytes) {
    if body.len() <= MAX_COPIED_BYTES || *method == Method::HEAD {
        let whole = encode_response(method, status, headers, &body, closes);
        return (whole, Bytes::new());
    }
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    (encode_head(status, headers, closes).freeze(), body)
}

/// Encodes the head of a response; `closes` adds `Connection: close`.
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
