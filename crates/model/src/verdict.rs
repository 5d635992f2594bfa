//! Verdicts: whether a request may have run.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request may have run on a target.
///
/// ```
/// use berylmount_model::RequestVerdict;
///
/// assert!(RequestVerdict::NotRun.allows_retry(false));
/// assert!(RequestVerdict::MayHaveRun.allows_retry(true));
/// assert!(!RequestVerdict::MayHaveRun.allows_retry(false));
/// ```
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RequestVerdict {
    /// No target has run it, and none will.
    NotRun,
    /// A target may have run it, or may yet run it.
    MayHaveRun,
    /// A target ran it to its end.
    Ran,
}

impl RequestVerdict {
    /// Whether another attempt is safe for work that is `idempotent` or not.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }

    /// The weaker claim of the two.
    ///
    /// Use it to join the verdicts of two attempts at one request.
    pub fn join(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            _ => Self::MayHaveRun,
        }
    }
}

/// Why a request was refused or failed.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed or out of bounds.
    BadRequest,
    /// The caller's key is missing or wrong.
    Unauthorized,
    /// The customer may not use this kind of work, or it does not exist.
    UnknownWork,
    /// The named request, order or answer is not known here.
    NotFound,
    /// The customer's limit is used up.
    OverLimit,
    /// The wait would exceed the request's limit.
    Overloaded,
    /// No live target can take the work.
    NoTarget,
    /// The process is stopping or is not the right one; another address follows.
    Redirected,
    /// The process cannot confirm that its table is current.
    TableUnconfirmed,
    /// The platform's object API does not answer.
    PlatformUnavailable,
    /// The idempotency key was used with another body.
    KeyMismatch,
    /// The idempotency key is older than the retention, or carries no date.
    KeyExpired,
    /// An earlier try with this key has no recorded outcome.
    OutcomeUnknown,
    /// The target failed or fell silent.
    TargetFailed,
    /// The caller cancelled the request.
    Cancelled,
    /// The request's time limit has passed.
    TimedOut,
    /// A fault in the system itself.
    Internal,
}

/// The final answer to a request that was not served.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{reason} ({verdict}): {detail}")]
pub struct CallRefusal {
    /// Whether the request may have run.
    pub verdict: RequestVerdict,
    /// The kind of refusal.
    pub reason: RefusalReason,
    /// One sentence for a person.
    pub detail: String,
    /// When to come back, in milliseconds from now; zero says never.
    pub retry_after_ms: u64,
    /// Where to come back, if not here.
    pub address: Option<SocketAddr>,
}

impl CallRefusal {
    /// A refusal of a request that no target has run.
    pub fn not_run(reason: RefusalReason, detail: &str, retry_after_ms: u64) -> Self {
        Self {
            verdict: RequestVerdict::NotRun,
            reason,
            detail: detail.to_owned(),
            retry_after_ms,
            address: None,
        }
    }

    /// A failure of a request that a target may have run.
    pub fn may_have_run(reason: RefusalReason, detail: &str, retry_after_ms: u64) -> Self {
        Self {
            verdict: RequestVerdict::MayHaveRun,
            ..Self::not_run(reason, detail, retry_after_ms)
        }
    }
}
