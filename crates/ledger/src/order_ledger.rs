//! The ledger as the dispatch role uses it.

use crate::{
    recent::RecentKeys,
    worker::{LaneHandle, WriteCounts},
    ChangeReply, ChangeRequest, IntentToken, KeyError, KeyPlace, LedgerChange, LedgerConfig,
    LedgerDay, OrderIntent, OrderOutcome, OutcomeSource, RecordedAnswer, WriterNonce,
};
use berylmount_model::{CallRefusal, RefusalReason};
use berylmount_objects::ObjectStore;
use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

/// Pause after a lost race, in milliseconds.
const CONTENDED_RETRY_MS: u64 = 200;

/// The two clocks of a process, read together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerTime {
    /// Monotonic milliseconds; they bound how long a permission to send holds.
    pub now_ms: u64,
    /// Wall-clock milliseconds since 1970; they date keys and entries.
    pub unix_ms: u64,
}

/// What stands in the ledger after [`OrderLedger::begin`].
#[derive(Debug)]
pub enum BeginOutcome {
    /// The intent stands: the service may be called, once.
    Fresh(IntentToken),
    /// The order has run before, with this answer if it is known.
    Finished(Option<RecordedAnswer>),
    /// An earlier attempt has no outcome; it is never run again by itself.
    Unknown(EarlierAttempt),
}

/// An attempt without outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EarlierAttempt {
    /// The attempt.
    pub nonce: WriterNonce,
    /// When it was written, in milliseconds since 1970.
    pub since_unix_ms: u64,
}

/// Records of orders that run at most once.
///
/// ```
/// use berylmount_ledger::{
///     BeginOutcome, BodyDigest, LedgerConfig, LedgerTime, OrderIntent, OrderLedger,
///     OrderOutcome, RecordedAnswer,
/// };
/// use berylmount_model::{CustomerName, OrderKey, PoolName, WorkName};
/// use berylmount_standins::MemoryStore;
/// use std::{sync::Arc, time::Duration};
///
/// let ledger = OrderLedger::new(Arc::new(MemoryStore::default()), LedgerConfig::new(1)).unwrap();
/// let order = OrderIntent {
///     customer: CustomerName::new("north-crew").unwrap(),
///     key: OrderKey::new("20261204-7").unwrap(),
///     work: WorkName::new("work-order").unwrap(),
///     pool: PoolName::new("field-ledger").unwrap(),
///     body: BodyDigest::of(b"repaint blaze 12"),
/// };
/// let time = LedgerTime { now_ms: 0, unix_ms: 1_796_342_400_000 };
/// let Ok(BeginOutcome::Fresh(token)) = ledger.begin(&order, time) else { panic!() };
/// let sent = token.permit(5).unwrap();
/// // The service is called here.
/// sent.finish(OrderOutcome::Ran(Some(RecordedAnswer::of("done"))));
/// let Ok(BeginOutcome::Finished(answer)) = ledger.begin(&order, time) else { panic!() };
/// assert_eq!(answer, Some(RecordedAnswer::of("done")));
/// ledger.stop(Duration::from_secs(1));
/// ```
pub struct OrderLedger {
    config: LedgerConfig,
    lanes: Vec<Arc<LaneHandle>>,
    attempts: AtomicU64,
    recent: RecentKeys,
}

impl OrderLedger {
    /// Starts the ledger's lanes.
    ///
    /// # Errors
    ///
    /// The system's error if it gives no thread.
    pub fn new(store: Arc<dyn ObjectStore>, config: LedgerConfig) -> std::io::Result<Self> {
        let lanes = (0..config.lanes.max(1))
            .map(|_| LaneHandle::start(store.clone(), config).map(Arc::new))
            .collect::<std::io::Result<_>>()?;
        Ok(Self {
            config,
            lanes,
            attempts: AtomicU64::new(0),
            recent: RecentKeys::new(),
        })
    }

    /// Writes the intent of an order, or says what became of an earlier attempt.
    ///
    /// Waits at most [`LedgerConfig::begin_wait_ms`].
    ///
    /// # Errors
    ///
    /// A refusal. Its verdict "not run" is final: this call never leads to a
    /// run. An expired key is refused as "may have run".
    pub fn begin(
        &self,
        order: &OrderIntent,
        time: LedgerTime,
    ) -> Result<BeginOutcome, CallRefusal> {
        let place = self.check_key(order, time.unix_ms)?;
        let lane = self.lane(&place);
        if lane.is_down() {
            return Err(self.unavailable(&place));
        }
        let nonce = self.next_nonce();
        let request = ChangeRequest {
            place,
            customer: order.customer.clone(),
            key: order.key.clone(),
            nonce,
            unix_ms: time.unix_ms,
            change: LedgerChange::Begin(order.clone()),
        };
        let send_before_ms = time.now_ms + self.config.send_within_ms;
        let token = IntentToken::new(
            order.clone(),
            place,
            nonce,
            time.unix_ms,
            send_before_ms,
            lane.clone(),
        );
        let wait = Duration::from_millis(self.config.begin_wait_ms);
        match lane.ask(request, wait) {
            Some(ChangeReply::Recorded) => {
                self.recent.insert(&place);
                Ok(BeginOutcome::Fresh(token))
            }
            Some(reply) => {
                token.disarm();
                self.refuse(&place, reply)
            }
            // The token's drop abandons the attempt.
            None => Err(self.unavailable(&place)),
        }
    }

    /// Finds the place of an order's key, if its day is served.
    fn check_key(&self, order: &OrderIntent, unix_ms: u64) -> Result<KeyPlace, CallRefusal> {
        let today = LedgerDay::of_unix_ms(unix_ms);
        let place = order.place();
        place
            .and_then(|place| {
                place.check_day(today, self.config.retention_days)?;
                Ok(place)
            })
            .map_err(key_refusal)
    }

    /// The lane of a place's top segment.
    fn lane(&self, place: &KeyPlace) -> &Arc<LaneHandle> {
        let at = place.route() as usize % self.lanes.len();
        &self.lanes[at]
    }

    /// A nonce that no other attempt has.
    fn next_nonce(&self) -> WriterNonce {
        WriterNonce {
            origin: self.config.origin,
            count: self.attempts.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Translates a reply that gives no permission to send.
    fn refuse(&self, place: &KeyPlace, reply: ChangeReply) -> Result<BeginOutcome, CallRefusal> {
        let refusal =
            |reason, detail, retry_ms| Err(CallRefusal::not_run(reason, detail, retry_ms));
        match reply {
            ChangeReply::Finished(answer) => {
                self.recent.insert(place);
                Ok(BeginOutcome::Finished(answer))
            }
            ChangeReply::Unknown {
                nonce,
                since_unix_ms,
            } => {
                self.recent.insert(place);
                Ok(BeginOutcome::Unknown(EarlierAttempt {
                    nonce,
                    since_unix_ms,
                }))
            }
            ChangeReply::KeyMismatch => refusal(
                RefusalReason::KeyMismatch,
                "the order key was used with another body or kind of work",
                0,
            ),
            ChangeReply::DayExpired => Err(key_refusal(KeyError::Expired)),
            ChangeReply::Contended => refusal(
                RefusalReason::Overloaded,
                "other orders kept changing the ledger segment",
                CONTENDED_RETRY_MS,
            ),
            ChangeReply::Malformed => Err(CallRefusal::may_have_run(
                RefusalReason::Internal,
                "the ledger segment on the platform is damaged; this call does not run, an \
                 earlier one with this key may have",
                0,
            )),
            _ => Err(self.unavailable(place)),
        }
    }

    /// The refusal while the platform does not answer.
    ///
    /// This call never leads to a run; an earlier one with the key may have.
    fn unavailable(&self, place: &KeyPlace) -> CallRefusal {
        let reason = RefusalReason::PlatformUnavailable;
        let retry_ms = 2 * self.config.probe_ms;
        if self.recent.contains(place) {
            let detail = "the platform cannot tell what became of an earlier call with this key";
            return CallRefusal::may_have_run(reason, detail, retry_ms);
        }
        let detail = "the platform does not take the order's record, so this call does not run";
        CallRefusal::not_run(reason, detail, retry_ms)
    }

    /// Records that a look-up by key found an earlier attempt.
    ///
    /// Only a found order settles: an absent one may still be on its way. Does
    /// not wait for the platform; if the record fails, the next call looks up
    /// again.
    pub fn settle_ran(
        &self,
        order: &OrderIntent,
        attempt: EarlierAttempt,
        answer: RecordedAnswer,
        unix_ms: u64,
    ) {
        let Ok(place) = order.place() else {
            return;
        };
        self.lane(&place).note(ChangeRequest {
            place,
            customer: order.customer.clone(),
            key: order.key.clone(),
            nonce: attempt.nonce,
            unix_ms,
            change: LedgerChange::Settle {
                outcome: OrderOutcome::Ran(Some(answer)),
                source: OutcomeSource::LookUp,
                min_age_ms: 0,
            },
        });
    }

    /// Whether some lane's last call to the platform had no answer.
    pub fn is_down(&self) -> bool {
        self.lanes.iter().any(|lane| lane.is_down())
    }

    /// Outcomes and abandons that the platform has not taken yet.
    pub fn owed(&self) -> usize {
        self.lanes.iter().map(|lane| lane.owed()).sum()
    }

    /// Conditional writes since the last call.
    pub fn take_writes(&self) -> WriteCounts {
        let mut counts = WriteCounts::default();
        for lane in &self.lanes {
            lane.take_writes(&mut counts);
        }
        counts
    }

    /// Writes what is owed for at most `wait`, and ends the lanes' threads.
    pub fn stop(&self, wait: Duration) {
        let deadline = Instant::now() + wait;
        for lane in &self.lanes {
            lane.stop(deadline);
        }
    }
}

/// The refusal of a key that the ledger does not serve.
fn key_refusal(fault: KeyError) -> CallRefusal {
    let detail = fault.to_string();
    match fault {
        KeyError::NoDate | KeyError::Future => {
            CallRefusal::not_run(RefusalReason::BadRequest, &detail, 0)
        }
        KeyError::Expired => CallRefusal::may_have_run(RefusalReason::KeyExpired, &detail, 0),
    }
}
