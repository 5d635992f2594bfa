//! Runs orders at most once.
//!
//! An order calls its service only with a permission that the ledger gave, and
//! each permission is used for one call. Another instance is tried only after
//! a call that certainly did not reach the service.
//!
//! An order that may have run is settled by the service's look-up if that
//! finds it. A look-up that finds nothing settles nothing: the call may still
//! be on its way.

use berylmount_ledger::{
    service_key, BeginOutcome, BodyDigest, EarlierAttempt, IntentToken, LedgerTime, OrderIntent,
    OrderLedger, OrderOutcome, RecordedAnswer, SentToken,
};
use berylmount_model::{
    unix_ms, CallRefusal, MonotonicClock, OrderKey, RefusalReason, RequestVerdict,
};
use berylmount_targets::{KeyOutcome, ServiceClient, TargetFault, TargetTimeouts};
use berylmount_wire::{AnswerBody, OrderCall};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};

/// Instances tried for one order or look-up.
const MAX_ORDER_TRIES: usize = 3;
/// Longest wait for a look-up.
const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(200);
/// When to come back after a call that certainly did not run, in milliseconds.
const NOT_RUN_RETRY_MS: u64 = 500;
/// Longest wait for the record that an order did not run.
const GIVE_BACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of an attempt that may still be at the service, in milliseconds.
const BUSY_AGE_MS: u64 = 10_000;
/// When to come back for an order that may still be at the service, in milliseconds.
const BUSY_RETRY_MS: u64 = 500;
/// When to come back for an outcome that is not known yet, in milliseconds.
const UNKNOWN_RETRY_MS: u64 = 5_000;

/// The service that an order goes to.
pub struct OrderTargets<'a> {
    /// Live instances, the preferred one first.
    pub addresses: &'a [SocketAddr],
    /// Time limits of connections.
    pub timeouts: TargetTimeouts,
    /// Told of each failed call.
    pub on_fault: &'a dyn Fn(SocketAddr, &TargetFault),
}

/// What one order needs to run.
struct OrderRun<'a> {
    ledger: &'a OrderLedger,
    targets: &'a OrderTargets<'a>,
    clock: &'a MonotonicClock,
    call: &'a OrderCall,
    intent: OrderIntent,
    body: Value,
    service_key: OrderKey,
    deadline_ms: u64,
}

/// Runs an order, or says what became of an earlier attempt with its key.
///
/// # Errors
///
/// The refusal. "Not run" holds for ever: nothing but a new call runs the
/// order. After "may have run" the same call asks what became of it.
pub fn run_order(
    ledger: &OrderLedger,
    targets: &OrderTargets<'_>,
    clock: &MonotonicClock,
    call: &OrderCall,
) -> Result<AnswerBody, CallRefusal> {
    let run = OrderRun::new(ledger, targets, clock, call)?;
    match ledger.begin(&run.intent, run.time())? {
        BeginOutcome::Fresh(token) => run.start(token),
        BeginOutcome::Finished(answer) => run.repeat(answer),
        BeginOutcome::Unknown(attempt) => run.ask(attempt),
    }
}

impl<'a> OrderRun<'a> {
    /// Checks the call; nothing is written yet.
    fn new(
        ledger: &'a OrderLedger,
        targets: &'a OrderTargets<'a>,
        clock: &'a MonotonicClock,
        call: &'a OrderCall,
    ) -> Result<Self, CallRefusal> {
        let body = serde_json::from_str(&call.body).map_err(|e| bad_request(&e.to_string()))?;
        let service_key = service_key(&call.customer, &call.key)
            .ok_or_else(|| bad_request("an order key starts with its date"))?;
        let intent = OrderIntent {
            customer: call.customer.clone(),
            key: call.key.clone(),
            work: call.work.clone(),
            pool: call.pool.clone(),
            body: BodyDigest::of(call.body.as_bytes()),
        };
        Ok(Self {
            ledger,
            targets,
            clock,
            call,
            intent,
            body,
            service_key,
            deadline_ms: clock.now_ms() + call.total_ms,
        })
    }

    /// Both clocks.
    fn time(&self) -> LedgerTime {
        LedgerTime {
            now_ms: self.clock.now_ms(),
            unix_ms: unix_ms(),
        }
    }

    /// Calls the service on one instance after another until one may have run it.
    fn start(&self, mut token: IntentToken) -> Result<AnswerBody, CallRefusal> {
        let mut refusal = CallRefusal::not_run(
            RefusalReason::NoTarget,
            "no instance of the service is live",
            NOT_RUN_RETRY_MS,
        );
        for &address in self.targets.addresses.iter().take(MAX_ORDER_TRIES) {
            let now_ms = self.clock.now_ms();
            let limit = Duration::from_millis(self.deadline_ms.saturating_sub(now_ms));
            if limit.is_zero() {
                refusal = timed_out();
                break;
            }
            let Some(sent) = token.permit(now_ms) else {
                return Err(timed_out());
            };
            match self
                .client(address, limit)
                .call(&self.service_key, &self.body, limit)
            {
                Ok(answer) => return Ok(self.finish(sent, &answer)),
                Err(fault) => {
                    (self.targets.on_fault)(address, &fault);
                    if fault.verdict != RequestVerdict::NotRun {
                        return self.look_after(sent, &fault);
                    }
                    refusal = not_run(&fault);
                    token = sent.not_sent();
                }
            }
        }
        // The record first, so that the caller's next call, elsewhere too, runs the order.
        token.give_back(GIVE_BACK_TIMEOUT);
        Err(refusal)
    }

    /// A client whose silence limit is the call's own, since a service sends
    /// nothing until it is done.
    fn client(&self, address: SocketAddr, limit: Duration) -> ServiceClient {
        let timeouts = TargetTimeouts {
            gap: limit,
            call: limit,
            ..self.targets.timeouts
        };
        ServiceClient::new(address, timeouts).with_traceparent(&self.call.traceparent)
    }

    /// Records the answer of a call.
    fn finish(&self, sent: SentToken, answer: &Value) -> AnswerBody {
        let text = answer.to_string();
        let recorded = RecordedAnswer::of(&text);
        sent.finish(OrderOutcome::Ran(Some(recorded)));
        self.answer(text, false)
    }

    /// Looks for a call that may have run; leaves it without outcome if not found.
    fn look_after(&self, sent: SentToken, fault: &TargetFault) -> Result<AnswerBody, CallRefusal> {
        match self.look_up() {
            Some(answer) => Ok(self.finish(sent, &answer)),
            None => Err(CallRefusal::may_have_run(
                RefusalReason::OutcomeUnknown,
                &format!("{fault}; repeat the same call to learn the outcome"),
                UNKNOWN_RETRY_MS,
            )),
        }
    }

    /// Asks the service what became of an earlier attempt.
    fn ask(&self, attempt: EarlierAttempt) -> Result<AnswerBody, CallRefusal> {
        let Some(answer) = self.look_up() else {
            let age_ms = unix_ms().saturating_sub(attempt.since_unix_ms);
            let busy = age_ms < BUSY_AGE_MS;
            return Err(CallRefusal::may_have_run(
                RefusalReason::OutcomeUnknown,
                "an earlier call with this key has no known outcome yet",
                if busy {
                    BUSY_RETRY_MS
                } else {
                    UNKNOWN_RETRY_MS
                },
            ));
        };
        let text = answer.to_string();
        let recorded = RecordedAnswer::of(&text);
        self.ledger
            .settle_ran(&self.intent, attempt, recorded, unix_ms());
        log::info!(target: "orders", "{} settled by look-up", self.call.key);
        Ok(self.answer(text, true))
    }

    /// Repeats a recorded answer; one that was too long is fetched again.
    fn repeat(&self, recorded: Option<RecordedAnswer>) -> Result<AnswerBody, CallRefusal> {
        let text = recorded.as_ref().and_then(|answer| answer.text.clone());
        let found = || self.look_up().map(|answer| answer.to_string());
        let text = text.or_else(found).filter(|text| {
            let same = |answer: &RecordedAnswer| answer.digest == BodyDigest::of(text.as_bytes());
            recorded.as_ref().is_none_or(same)
        });
        match text {
            Some(text) => Ok(self.answer(text, true)),
            None => Err(answer_not_kept(recorded.as_ref())),
        }
    }

    /// Asks one instance after another for the key, until one found it.
    fn look_up(&self) -> Option<Value> {
        look_up_key(self.targets, &self.service_key)
    }

    /// The answer to the caller.
    fn answer(&self, body: String, recorded: bool) -> AnswerBody {
        AnswerBody {
            request: self.call.request,
            body,
            recorded,
        }
    }
}

/// Asks one instance after another for a service key, until one found it.
pub(crate) fn look_up_key(targets: &OrderTargets<'_>, key: &OrderKey) -> Option<Value> {
    let timeouts = TargetTimeouts {
        connect: targets.timeouts.connect.min(LOOK_UP_TIMEOUT),
        gap: LOOK_UP_TIMEOUT,
        call: LOOK_UP_TIMEOUT,
        ..targets.timeouts
    };
    let addresses = targets.addresses.iter().take(MAX_ORDER_TRIES);
    for &address in addresses {
        match ServiceClient::new(address, timeouts).look_up(key) {
            Ok(KeyOutcome::Ran(answer)) => return Some(answer),
            Ok(KeyOutcome::NotFound) => {}
            Ok(KeyOutcome::Unsupported) => return None,
            Err(fault) => log::info!(target: "orders", "look-up failed: {fault}"),
        }
    }
    None
}

/// The refusal of a malformed call.
fn bad_request(detail: &str) -> CallRefusal {
    CallRefusal::not_run(RefusalReason::BadRequest, detail, 0)
}

/// The refusal when time ran out before the call.
fn timed_out() -> CallRefusal {
    CallRefusal::not_run(
        RefusalReason::TimedOut,
        "the time limit passed before the service was called",
        NOT_RUN_RETRY_MS,
    )
}

/// The refusal after a call that did not reach the service.
fn not_run(fault: &TargetFault) -> CallRefusal {
    CallRefusal::not_run(
        RefusalReason::TargetFailed,
        &fault.to_string(),
        NOT_RUN_RETRY_MS,
    )
}

/// The refusal when an order ran, but nobody has its answer.
fn answer_not_kept(recorded: Option<&RecordedAnswer>) -> CallRefusal {
    let detail = match recorded {
        Some(answer) => format!(
            "the order ran; its answer of {} bytes, SHA-256 {}, was too long to keep",
            answer.bytes, answer.digest
        ),
        None => "the order ran, as an operator stated; its answer is not known".to_owned(),
    };
    CallRefusal {
        verdict: RequestVerdict::Ran,
        ..CallRefusal::not_run(RefusalReason::NotFound, &detail, 0)
    }
}
