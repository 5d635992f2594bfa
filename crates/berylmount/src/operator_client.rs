//! HTTP client of the operators' commands, and their exit codes.

use berylmount_entry::{OperatorReason, OperatorRefusal};
use serde::{de::DeserializeOwned, Serialize};
use std::{env, net::SocketAddr, time::Duration};
use ureq::{http::Response, Agent, Body};

/// Environment variable with the entries' addresses for operators.
const ENTRY_VARIABLE: &str = "BERYLMOUNT_ENTRY";
/// Environment variable with the operators' key.
const KEY_VARIABLE: &str = "BERYLMOUNT_OPERATOR_KEY";
/// Timeout of a call; an edit waits until the processes have applied it.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 256 << 20;
/// Maximum number of rounds over all entries; only retryable failures are retried.
const MAX_ROUNDS: usize = 3;

/// The exit status of an operators' command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(crate) enum CommandExit {
    /// Done; an edit is accepted and in force.
    Done = 0,
    /// Refused because of an invalid row, a wrong key or a missing row. Nothing was stored.
    Refused = 1,
    /// The command line or the environment is invalid.
    Usage = 2,
    /// The row was changed since it was read. Nothing was stored.
    Conflict = 5,
    /// Stored, but not yet in force on more than half of the processes.
    NotInForce = 6,
    /// The edit may have been stored; it can be retried with the same id.
    Unclear = 7,
    /// No entry or no platform answers. Nothing was stored.
    NoAnswer = 8,
    /// The status shows a problem that needs an operator.
    Attention = 9,
}

impl CommandExit {
    /// The process's exit code.
    pub(crate) fn code(self) -> u8 {
        self as u8
    }
}

/// The reason why a call failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallFault {
    /// The environment or the command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// The entry refused the call.
    #[error("{0}")]
    Refused(Box<OperatorRefusal>),
    /// The key is missing or wrong.
    #[error("the operators' key in ${KEY_VARIABLE} is wrong")]
    Unauthorized,
    /// No entry could be reached, so nothing was sent.
    #[error("no entry answers at {0}; nothing was stored")]
    Unreachable(String),
    /// The call may have reached an entry, but its answer was lost.
    #[error("the answer was lost: {0}")]
    Lost(String),
    /// The answer could not be decoded.
    #[error("the entry's answer could not be decoded: {0}")]
    BadAnswer(String),
}

impl CallFault {
    /// Returns the exit status for this failure.
    pub(crate) fn exit(&self) -> CommandExit {
        match self {
            Self::Usage(_) => CommandExit::Usage,
            Self::Refused(refusal) => match refusal.reason {
                OperatorReason::Conflict => CommandExit::Conflict,
                OperatorReason::Unclear => CommandExit::Unclear,
                OperatorReason::PlatformUnavailable | OperatorReason::Busy => CommandExit::NoAnswer,
                _ => CommandExit::Refused,
            },
            Self::Unauthorized => CommandExit::Refused,
            Self::Unreachable(_) => CommandExit::NoAnswer,
            Self::Lost(_) | Self::BadAnswer(_) => CommandExit::Unclear,
        }
    }

    /// Returns whether a retry at this or another entry may succeed.
    ///
    /// Retries are safe because the edit's id makes the call idempotent.
    fn is_retryable(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.reason == OperatorReason::Unclear,
            Self::Lost(_) | Self::Unreachable(_) => true,
            _ => false,
        }
    }

    /// Returns whether the edit may have been stored.
    fn is_outcome_unknown(&self) -> bool {
        self.exit() == CommandExit::Unclear
    }
}

/// Client that calls the first entry that answers.
pub(crate) struct OperatorClient {
    agent: Agent,
    entries: Vec<SocketAddr>,
    key: String,
}

impl OperatorClient {
    /// Creates a client for the entries at `addresses`, or for those in the environment.
    pub(crate) fn new(addresses: Option<&str>) -> Result<Self, CallFault> {
        let usage = |text: String| CallFault::Usage(text);
        let variable = env::var(ENTRY_VARIABLE).unwrap_or_default();
        let text = addresses.unwrap_or(&variable);
        let entries = text.split(',').map(|address| address.trim().parse());
        let entries: Result<Vec<_>, _> = entries.collect();
        let entries = entries.map_err(|_| {
            usage(format!(
                "give entries' addresses by --entry or ${ENTRY_VARIABLE}, such as 10.0.0.1:7001,10.0.0.2:7001; found {text:?}"
            ))
        })?;
        let key = env::var(KEY_VARIABLE);
        let key = key.map_err(|_| usage(format!("put the operators' key into ${KEY_VARIABLE}")))?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Ok(Self {
            agent: config.into(),
            entries,
            key,
        })
    }

    /// Sends a GET request for `path`.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallFault> {
        self.call(|address| {
            let request = self.agent.get(format!("http://{address}{path}"));
            request.header("authorization", self.bearer()).call()
        })
    }

    /// Posts `body` to `path`; the body carries an edit's id, so it can be sent twice.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CallFault> {
        self.call(|address| {
            let request = self.agent.post(format!("http://{address}{path}"));
            request
                .header("authorization", self.bearer())
                .send_json(body)
        })
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }

    /// Calls entries in turn until one gives a final answer.
    ///
    /// Once an attempt may have been stored, a later failure does not replace its error.
    fn call<T: DeserializeOwned>(
        &self,
        send: impl Fn(SocketAddr) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<T, CallFault> {
        let mut last = CallFault::Unreachable("any address".to_owned());
        for &address in std::iter::repeat_n(&self.entries, MAX_ROUNDS).flatten() {
            match decode_answer(address, send(address)) {
                Ok(answer) => return Ok(answer),
                Err(fault) if !fault.is_retryable() => return Err(fault),
                Err(fault) if last.is_outcome_unknown() && !fault.is_outcome_unknown() => {}
                Err(fault) => last = fault,
            }
        }
        Err(last)
    }
}

/// Decodes an entry's answer.
fn decode_answer<T: DeserializeOwned>(
    address: SocketAddr,
    answer: Result<Response<Body>, ureq::Error>,
) -> Result<T, CallFault> {
    let mut answer = answer.map_err(|error| match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            CallFault::Unreachable(address.to_string())
        }
        ureq::Error::Timeout(ureq::Timeout::Connect) => CallFault::Unreachable(address.to_string()),
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallFault::Unreachable(address.to_string())
        }
        error => CallFault::Lost(error.to_string()),
    })?;
    let status = answer.status();
    let body = answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec();
    let body = body.map_err(|error| CallFault::Lost(error.to_string()))?;
    let bad = |error: serde_json::Error| CallFault::BadAnswer(format!("{status}, {error}"));
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(bad);
    }
    if status == 401 || status == 403 {
        return Err(CallFault::Unauthorized);
    }
    let refusal = serde_json::from_slice(&body).map_err(bad)?;
    Err(CallFault::Refused(Box::new(refusal)))
}
