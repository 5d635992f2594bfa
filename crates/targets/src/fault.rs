//! What went wrong between us and a target, and whether the request may have run.

use berylmount_model::RequestVerdict;
use std::io;
use strum::{Display, EnumString, IntoStaticStr};

/// Why a target refused a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RejectReason {
    /// The target is stopping and takes no new work.
    Leaving,
    /// Another model or weight version is loaded.
    WrongVersion,
    /// The order carries an old fencing number.
    StaleFence,
    /// The target does not know the stream, key or path.
    Unknown,
    /// The stream was cancelled.
    Cancelled,
    /// The service tells no outcomes of keys.
    NoLookUp,
    /// The target has no room.
    Full,
    /// The store has the piece already.
    Exists,
    /// The target failed, or gave a reason that we do not know.
    Failed,
}

impl RejectReason {
    /// Reads the target's word for its reason.
    pub(crate) fn from_word(word: &str) -> Self {
        word.parse().unwrap_or(Self::Failed)
    }
}

/// What kind of fault ended a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// No connection was made, so nothing was sent.
    NotConnected,
    /// The request was malformed and never sent.
    BadRequest,
    /// The target sent nothing for longer than the gap limit.
    Silent,
    /// The connection ended before the answer did.
    Cut,
    /// The answer broke the protocol or a bound.
    BadAnswer,
    /// The target refused or failed the request.
    #[strum(to_string = "rejected: {0}")]
    Rejected(RejectReason),
}

/// A failed call to a target.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{kind} ({verdict}): {detail}")]
pub struct TargetFault {
    /// Whether the target may have run the request.
    pub verdict: RequestVerdict,
    /// The kind of fault.
    pub kind: FaultKind,
    /// One sentence for a person.
    pub detail: String,
}

impl TargetFault {
    /// A fault of a request that was never sent.
    pub(crate) fn not_sent(kind: FaultKind, detail: String) -> Self {
        Self {
            verdict: RequestVerdict::NotRun,
            kind,
            detail,
        }
    }

    /// A fault after the request was sent.
    pub(crate) fn after_send(kind: FaultKind, detail: &str) -> Self {
        Self {
            verdict: RequestVerdict::MayHaveRun,
            kind,
            detail: detail.to_owned(),
        }
    }

    /// An answer that breaks the protocol.
    pub(crate) fn bad_answer(detail: &str) -> Self {
        Self::after_send(FaultKind::BadAnswer, detail)
    }

    /// Whether a store refused because it has the piece already.
    pub(crate) fn is_present(&self) -> bool {
        self.kind == FaultKind::Rejected(RejectReason::Exists)
    }

    /// The fault of a call about a request that was sent before.
    ///
    /// That this call was not run says nothing about the request.
    pub(crate) fn of_earlier(self) -> Self {
        Self {
            verdict: RequestVerdict::MayHaveRun,
            ..self
        }
    }

    /// Sorts an error of the HTTP client by whether anything was sent.
    pub(crate) fn from_http(error: ureq::Error) -> Self {
        match error {
            ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
            | ureq::Error::ConnectionFailed
            | ureq::Error::HostNotFound => {
                Self::not_sent(FaultKind::NotConnected, error.to_string())
            }
            ureq::Error::Io(e) => Self::from_io(e),
            ureq::Error::Timeout(limit) => {
                Self::after_send(FaultKind::Silent, &format!("timeout: {limit}"))
            }
            ureq::Error::Http(_) | ureq::Error::BadUri(_) => {
                Self::not_sent(FaultKind::BadRequest, error.to_string())
            }
            _ => Self::bad_answer(&error.to_string()),
        }
    }

    /// Sorts an error of the connection.
    ///
    /// Only a refused connection proves that nothing was sent.
    pub(crate) fn from_io(error: io::Error) -> Self {
        let detail = error.to_string();
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::not_sent(FaultKind::NotConnected, detail),
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => {
                Self::after_send(FaultKind::Silent, &detail)
            }
            io::ErrorKind::Other => match error.downcast::<ureq::Error>() {
                Ok(ureq::Error::Io(e)) => Self::after_send(FaultKind::Cut, &e.to_string()),
                Ok(inner) => Self::from_http(inner),
                Err(_) => Self::after_send(FaultKind::Cut, &detail),
            },
            io::ErrorKind::InvalidData => Self::bad_answer(&detail),
            _ => Self::after_send(FaultKind::Cut, &detail),
        }
    }
}
