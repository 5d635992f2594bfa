//! The HTTP calls that every client of a target shares.
//!
//! Each call has its own connection: a connection that went silent is then
//! never used again, and a failure while connecting proves that nothing was
//! sent. Bodies and lines are bounded before they are decoded.

use crate::fault::{FaultKind, RejectReason, TargetFault};
use berylmount_model::RequestVerdict;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::{
    io::{BufRead, Read},
    net::SocketAddr,
    time::Duration,
};
use ureq::{
    http::{Method, Request, Response},
    Agent, Body,
};

/// The longest line of a stream, in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 64 * 1024;

/// The longest whole answer, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Time limits on calls to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetTimeouts {
    /// Longest time to connect.
    pub connect: Duration,
    /// Longest silence between two reads.
    pub gap: Duration,
    /// Longest time of a whole call that is not a stream.
    pub call: Duration,
    /// Longest time that an engine and a store move one piece; engines give up
    /// after it, and a retired name is freed only after it.
    pub transfer: Duration,
}

impl Default for TargetTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(250),
            gap: Duration::from_millis(1_000),
            call: Duration::from_millis(5_000),
            transfer: Duration::from_millis(30_000),
        }
    }
}

/// The body of a refusal.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RefusalBody {
    verdict: Option<RequestVerdict>,
    reason: String,
}

/// Calls one address.
#[derive(Clone, Debug)]
pub(crate) struct HttpCaller {
    address: SocketAddr,
    agent: Agent,
    timeouts: TargetTimeouts,
    /// The trace's context that whole calls carry, empty for none.
    traceparent: String,
}

impl HttpCaller {
    /// A caller of `address`.
    pub(crate) fn new(address: SocketAddr, timeouts: TargetTimeouts) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .timeout_connect(Some(timeouts.connect))
            .timeout_per_read(Some(timeouts.gap))
            .timeout_per_write(Some(timeouts.gap))
            .build();
        Self {
            address,
            agent: config.into(),
            timeouts,
            traceparent: String::new(),
        }
    }

    /// The same caller, whose whole calls carry a trace's context.
    pub(crate) fn with_traceparent(mut self, traceparent: &str) -> Self {
        traceparent.clone_into(&mut self.traceparent);
        self
    }

    /// Where it calls.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns an accepted answer's head.
    fn send(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        traceparent: &str,
        limit: Option<Duration>,
    ) -> Result<Response<Body>, TargetFault> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        if !traceparent.is_empty() {
            request = request.header("traceparent", traceparent);
        }
        let request = request
            .body(body)
            .map_err(|e| TargetFault::not_sent(FaultKind::BadRequest, e.to_string()))?;
        let mut request = self.agent.configure_request(request);
        if let Some(limit) = limit {
            // A whole answer may keep its caller waiting for all of its time.
            request = request
                .timeout_global(Some(limit))
                .timeout_per_read(Some(limit));
        }
        let answer = self.agent.run(request.build());
        let answer = answer.map_err(TargetFault::from_http)?;
        if answer.status().is_success() {
            return Ok(answer);
        }
        Err(read_refusal(answer))
    }

    /// Opens a stream of lines.
    pub(crate) fn open(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
        traceparent: &str,
    ) -> Result<Response<Body>, TargetFault> {
        self.send(method, path, body, traceparent, None)
    }

    /// Sends a request and reads the whole answer, at most `limit` long in time.
    pub(crate) fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
        limit: Option<Duration>,
    ) -> Result<A, TargetFault> {
        let bytes = match body {
            Some(body) => encode(body)?,
            None => Vec::new(),
        };
        let limit = limit.unwrap_or(self.timeouts.call);
        let answer = self.send(method, path, &bytes, &self.traceparent, Some(limit))?;
        let bytes = read_body(answer)?;
        serde_json::from_slice(&bytes).map_err(|e| TargetFault::bad_answer(&e.to_string()))
    }
}

/// Encodes a request's body.
pub(crate) fn encode<Q: Serialize>(body: &Q) -> Result<Vec<u8>, TargetFault> {
    serde_json::to_vec(body)
        .map_err(|e| TargetFault::not_sent(FaultKind::BadRequest, e.to_string()))
}

/// Reads a whole body within its bound.
pub(crate) fn read_body(answer: Response<Body>) -> Result<Vec<u8>, TargetFault> {
    let mut bytes = Vec::new();
    let reader = answer.into_body().into_reader();
    let mut bounded = reader.take(MAX_ANSWER_BYTES as u64 + 1);
    bounded
        .read_to_end(&mut bytes)
        .map_err(TargetFault::from_io)?;
    if bytes.len() > MAX_ANSWER_BYTES {
        return Err(TargetFault::bad_answer("the answer is longer than 1 MiB"));
    }
    Ok(bytes)
}

/// Reads one line within its bound into `line`; false at the end.
pub(crate) fn read_line(
    reader: &mut impl BufRead,
    line: &mut Vec<u8>,
) -> Result<bool, TargetFault> {
    line.clear();
    let mut bounded = reader.take(MAX_LINE_BYTES as u64 + 1);
    let count = bounded
        .read_until(b'\n', line)
        .map_err(TargetFault::from_io)?;
    if count > MAX_LINE_BYTES {
        return Err(TargetFault::bad_answer("a line is longer than 64 KiB"));
    }
    Ok(count > 0)
}

/// Turns a refusal into a fault; without a readable verdict it may have run.
fn read_refusal(answer: Response<Body>) -> TargetFault {
    let status = answer.status();
    let bytes = read_body(answer).unwrap_or_default();
    let body: RefusalBody = serde_json::from_slice(&bytes).unwrap_or_default();
    TargetFault {
        verdict: body.verdict.unwrap_or(RequestVerdict::MayHaveRun),
        kind: FaultKind::Rejected(RejectReason::from_word(&body.reason)),
        detail: format!("the target answered {status}"),
    }
}
