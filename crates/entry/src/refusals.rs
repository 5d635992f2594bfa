//! Recent refusals, for the operators' status.

use crate::{
    operator_messages::{StatusLevel, StatusLine},
    operators::StatusPart,
    shared::EntryShared,
};
use berylmount_model::{CallRefusal, RefusalReason, RequestVerdict};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// How long a refusal is shown, in milliseconds.
const SHOWN_MS: u64 = 600_000;

/// Refusals kept.
const KEPT_REFUSALS: usize = 1_024;

/// One refusal.
#[derive(Clone, Debug)]
struct KeptRefusal {
    at_ms: u64,
    reason: RefusalReason,
    verdict: RequestVerdict,
    detail: String,
}

/// The refusals of the last minutes.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog {
    /// Oldest first.
    refusals: Mutex<VecDeque<KeptRefusal>>,
}

impl RefusalLog {
    /// Locks the refusals; a panic elsewhere leaves them whole.
    fn lock(&self) -> MutexGuard<'_, VecDeque<KeptRefusal>> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a refusal.
    pub(crate) fn note(&self, refusal: &CallRefusal, now_ms: u64) {
        let mut refusals = self.lock();
        if refusals.len() == KEPT_REFUSALS {
            refusals.pop_front();
        }
        refusals.push_back(KeptRefusal {
            at_ms: now_ms,
            reason: refusal.reason,
            verdict: refusal.verdict,
            detail: refusal.detail.clone(),
        });
    }

    /// A status line for each reason, with the last refusal's words.
    pub(crate) fn lines(&self, now_ms: u64) -> Vec<StatusLine> {
        let mut refusals = self.lock();
        refusals.retain(|refusal| now_ms < refusal.at_ms + SHOWN_MS);
        let mut reasons: Vec<RefusalReason> = Vec::new();
        for refusal in refusals.iter() {
            if !reasons.contains(&refusal.reason) {
                reasons.push(refusal.reason);
            }
        }
        let lines = reasons.into_iter().map(|reason| {
            let same = refusals.iter().filter(|refusal| refusal.reason == reason);
            reason_line(reason, &same.collect::<Vec<_>>())
        });
        lines.collect()
    }
}

/// The status line of one reason.
fn reason_line(reason: RefusalReason, refusals: &[&KeptRefusal]) -> StatusLine {
    let count = refusals.len();
    let unsure = refusals
        .iter()
        .filter(|refusal| refusal.verdict == RequestVerdict::MayHaveRun)
        .count();
    let last = refusals.last().map_or("", |refusal| &refusal.detail);
    let text = format!(
        "{count} requests were refused as {reason} in the last 10 minutes, \
         {unsure} of them may have run; the last: {last}"
    );
    StatusLine::new(StatusLevel::Notice, "callers", &text, reason_action(reason))
}

/// What the system does about refusals of one reason, or what to do.
fn reason_action(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::BadRequest | RefusalReason::NotFound | RefusalReason::Cancelled => {
            "the caller has to change its request"
        }
        RefusalReason::Unauthorized => "check the key_hash of the customer's row",
        RefusalReason::UnknownWork => "add a row for the kind of work, if it is wanted",
        RefusalReason::OverLimit => "raise the customer's rate or burst, if it is wanted",
        RefusalReason::Overloaded => "callers come back when told; add runners if it goes on",
        RefusalReason::NoTarget => "the system looks for live targets; see the pool's instances",
        RefusalReason::Redirected => "callers go to the address that they are told",
        RefusalReason::TableUnconfirmed => "the entry serves again once it reaches others",
        RefusalReason::PlatformUnavailable => "orders are taken again once the platform answers",
        RefusalReason::KeyMismatch | RefusalReason::KeyExpired => {
            "the caller has to use a fresh order key"
        }
        RefusalReason::OutcomeUnknown => "see `berylmount orders list-unsettled`",
        RefusalReason::TargetFailed | RefusalReason::TimedOut => {
            "the system avoids slow and failing targets; see the pool's instances"
        }
        RefusalReason::Internal => "report it with the process's log",
    }
}

/// The part of the status that shows refusals.
pub(crate) fn refusal_part(shared: &Arc<EntryShared>) -> StatusPart {
    let shared = Arc::clone(shared);
    Box::new(move || shared.refusals.lines(shared.now_ms()))
}
