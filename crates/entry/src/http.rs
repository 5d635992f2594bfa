//! Answers in HTTP and JSON, and the bounds of the listeners.

use berylmount_http::{AnswerWriter, BodyFault, HttpAnswer, HttpCall, HttpConfig};
use berylmount_model::{CallRefusal, RefusalReason};
use berylmount_settings::EntrySettings;
use serde::Serialize;
use std::io;

/// When to come back to an entry whose threads are all busy, in milliseconds.
const BUSY_RETRY_MS: u64 = 500;

/// The bounds of a listener whose bodies have at most `max_body` bytes.
pub(crate) fn http_config(settings: &EntrySettings, max_body: usize) -> HttpConfig {
    let busy = "the entry has too many requests";
    let dropped = "the entry lost the request";
    HttpConfig {
        max_connections: settings.max_connections,
        max_head: settings.max_header,
        max_body,
        idle_timeout: settings.idle_timeout,
        busy: refusal_answer(&busy_refusal(busy)),
        dropped: refusal_answer(&CallRefusal::may_have_run(
            RefusalReason::Internal,
            dropped,
            BUSY_RETRY_MS,
        )),
    }
}

/// The refusal of a request that found no room.
pub(crate) fn busy_refusal(detail: &str) -> CallRefusal {
    CallRefusal::not_run(RefusalReason::Overloaded, detail, BUSY_RETRY_MS)
}

/// The body of a call as text.
///
/// # Errors
///
/// Refuses a body that is too long, does not come or is not text.
pub(crate) fn call_text(call: &HttpCall) -> Result<&str, CallRefusal> {
    call.text()
        .map_err(|fault: BodyFault| bad_request(&fault.to_string()))
}

/// The value of `name` in a query such as `a=1&b=2`.
pub(crate) fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// A JSON answer with `status`.
pub(crate) fn json_answer<T: Serialize>(status: u16, body: &T) -> HttpAnswer {
    // Every answer is made of strings and numbers, which always serialize.
    HttpAnswer::json(status, serde_json::to_vec(body).unwrap_or_default())
}

/// The HTTP status that fits a refusal.
fn refusal_status(refusal: &CallRefusal) -> u16 {
    match refusal.reason {
        RefusalReason::BadRequest => 400,
        RefusalReason::Unauthorized => 401,
        RefusalReason::UnknownWork => 403,
        RefusalReason::NotFound => 404,
        RefusalReason::KeyMismatch | RefusalReason::OutcomeUnknown => 409,
        RefusalReason::KeyExpired => 410,
        RefusalReason::OverLimit => 429,
        RefusalReason::Redirected => 421,
        RefusalReason::Overloaded
        | RefusalReason::NoTarget
        | RefusalReason::TableUnconfirmed
        | RefusalReason::PlatformUnavailable => 503,
        RefusalReason::TargetFailed => 502,
        RefusalReason::TimedOut => 504,
        RefusalReason::Cancelled => 499,
        RefusalReason::Internal => 500,
    }
}

/// The answer to a refused request.
pub(crate) fn refusal_answer(refusal: &CallRefusal) -> HttpAnswer {
    let answer = json_answer(refusal_status(refusal), refusal);
    match refusal.retry_after_ms {
        0 => answer,
        ms => answer.with_header("retry-after", &ms.div_ceil(1_000).to_string()),
    }
}

/// A refusal of a malformed request.
pub(crate) fn bad_request(detail: &str) -> CallRefusal {
    CallRefusal::not_run(RefusalReason::BadRequest, detail, 0)
}

/// Writes one answer line by line as it comes.
pub(crate) struct LineWriter(AnswerWriter);

impl LineWriter {
    /// Answers `call` with status 200 and lines to follow.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone.
    pub(crate) fn start(call: HttpCall) -> io::Result<Self> {
        call.start("application/x-ndjson").map(Self)
    }

    /// Writes one line; it is sent at once.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone or does not read.
    pub(crate) fn write_line<T: Serialize>(&mut self, line: &T) -> io::Result<()> {
        let mut text = serde_json::to_vec(line).map_err(io::Error::other)?;
        text.push(b'\n');
        self.0.write(text)
    }

    /// Ends the answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone.
    pub(crate) fn finish(self) -> io::Result<()> {
        self.0.finish()
    }
}
