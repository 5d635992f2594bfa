//! Verdicts, which state whether a request may have run, and refusals.

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
    /// No target has run the request, and none will.
    NotRun,
    /// A target may have run the request, or may still run it.
    MayHaveRun,
    /// A target ran the request to completion.
    Ran,
}

impl RequestVerdict {
    /// Returns whether another attempt is safe, given whether the work is idempotent.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }

    /// Combines the verdicts of two attempts at one request.
    ///
    /// The result is `Ran` if either attempt ran, `NotRun` if neither ran, and
    /// `MayHaveRun` otherwise.
    pub fn join(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            _ => Self::MayHaveRun,
        }
    }
}

/// Reason why a request was refused or failed.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// The caller's key is missing or wrong.
    Unauthorized,
    /// The customer may not use this kind of work, or it does not exist.
    UnknownWork,
    /// The named request, order or response is unknown here.
    NotFound,
    /// The customer has exceeded a rate or concurrency limit.
    OverLimit,
    /// The expected wait exceeds the request's time limit.
    Overloaded,
    /// No live target can accept the work.
    NoTarget,
    /// The process is draining or not responsible; the refusal contains another address.
    Redirected,
    /// The process cannot confirm that its table is current.
    TableUnconfirmed,
    /// The platform's object API does not respond.
    PlatformUnavailable,
    /// The idempotency key was used with another body.
    KeyMismatch,
    /// The idempotency key is older than the retention period, or contains no date.
    KeyExpired,
    /// An earlier attempt with this key has no recorded outcome.
    OutcomeUnknown,
    /// The target failed or stopped responding.
    TargetFailed,
    /// The caller cancelled the request.
    Cancelled,
    /// The request exceeded its time limit.
    TimedOut,
    /// An internal error of the system.
    Internal,
}

/// Final response to a request that was refused or failed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{reason} ({verdict}): {detail}")]
pub struct CallRefusal {
    /// Whether the request may have run.
    pub verdict: RequestVerdict,
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Human-readable description, one sentence.
    pub detail: String,
    /// Time after which to retry, in milliseconds; zero means never.
    pub retry_after_ms: u64,
    /// Address at which to retry, if another one.
    pub address: Option<SocketAddr>,
}

impl CallRefusal {
    /// Creates a refusal of a request that no target has run.
    pub fn not_run(reason: RefusalReason, detail: &str, retry_after_ms: u64) -> Self {
        Self {
            verdict: RequestVerdict::NotRun,
            reason,
            detail: detail.to_owned(),
            retry_after_ms,
            address: None,
        }
    }

    /// Creates a refusal of a request that a target may have run.
    pub fn may_have_run(reason: RefusalReason, detail: &str, retry_after_ms: u64) -> Self {
        Self {
            verdict: RequestVerdict::MayHaveRun,
            ..Self::not_run(reason, detail, retry_after_ms)
        }
    }
}
