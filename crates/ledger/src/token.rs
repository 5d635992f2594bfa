//! Permission to call the service for one order, once.
//!
//! An [`IntentToken`] exists only for an intent that stands in the ledger (or
//! whose caller is still waiting for that), and cannot be cloned. Turning it
//! into a [`SentToken`] is the permission to call. A token that is dropped
//! before that abandons its attempt.

use crate::{
    worker::LaneHandle, ChangeReply, ChangeRequest, KeyPlace, LedgerChange, OrderIntent,
    OrderOutcome, WriterNonce,
};
use std::{fmt, sync::Arc, time::Duration};

/// What both tokens know.
struct TokenBody {
    intent: OrderIntent,
    place: KeyPlace,
    nonce: WriterNonce,
    unix_ms: u64,
    send_before_ms: u64,
    lane: Arc<LaneHandle>,
}

impl TokenBody {
    /// The change that belongs to this attempt.
    fn request(&self, change: LedgerChange) -> ChangeRequest {
        ChangeRequest {
            place: self.place,
            customer: self.intent.customer.clone(),
            key: self.intent.key.clone(),
            nonce: self.nonce,
            unix_ms: self.unix_ms,
            change,
        }
    }
}

/// Permission to call the service, not used yet.
pub struct IntentToken {
    body: Option<Box<TokenBody>>,
}

impl fmt::Debug for IntentToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nonce = self.body.as_ref().map(|body| body.nonce);
        f.debug_tuple("IntentToken").field(&nonce).finish()
    }
}

impl IntentToken {
    /// The token of an attempt that is about to be written.
    pub(crate) fn new(
        intent: OrderIntent,
        place: KeyPlace,
        nonce: WriterNonce,
        unix_ms: u64,
        send_before_ms: u64,
        lane: Arc<LaneHandle>,
    ) -> Self {
        let body = TokenBody {
            intent,
            place,
            nonce,
            unix_ms,
            send_before_ms,
            lane,
        };
        Self {
            body: Some(Box::new(body)),
        }
    }

    /// Forgets an attempt that certainly does not stand in the ledger.
    pub(crate) fn disarm(mut self) {
        self.body = None;
    }

    /// Gives the permission back and waits at most `wait` for the record of it.
    ///
    /// Returns whether the record stands, so that any process would let a new
    /// call run the order. It follows later if it does not stand yet.
    pub fn give_back(mut self, wait: Duration) -> bool {
        let Some(body) = self.body.take() else {
            return true;
        };
        let change = LedgerChange::Abandon(body.intent.clone());
        let reply = body.lane.ask(body.request(change), wait);
        reply == Some(ChangeReply::Recorded)
    }

    /// Uses the token for a call that starts at the monotonic time `now_ms`.
    ///
    /// A holder that was paused beyond the token's time gets `None`, and the
    /// attempt is abandoned. Call this right before the send.
    pub fn permit(mut self, now_ms: u64) -> Option<SentToken> {
        let timely = self
            .body
            .as_ref()
            .is_some_and(|body| now_ms < body.send_before_ms);
        if !timely {
            return None;
        }
        self.body.take().map(|body| SentToken { body })
    }
}

impl Drop for IntentToken {
    fn drop(&mut self) {
        if let Some(body) = self.body.take() {
            let intent = body.intent.clone();
            body.lane.note(body.request(LedgerChange::Abandon(intent)));
        }
    }
}

/// A used permission: the service may have been called.
///
/// Dropping it leaves the order without outcome, to be settled later.
pub struct SentToken {
    body: Box<TokenBody>,
}

impl SentToken {
    /// Gives the permission back after a call that certainly did not reach the
    /// service and never will.
    pub fn not_sent(self) -> IntentToken {
        IntentToken {
            body: Some(self.body),
        }
    }

    /// Records the outcome; does not wait for the platform.
    pub fn finish(self, outcome: OrderOutcome) {
        let request = self.body.request(LedgerChange::Finish(outcome));
        self.body.lane.note(request);
    }
}
