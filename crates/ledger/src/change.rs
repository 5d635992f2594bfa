//! Changes to an order's entry, and what comes of them.

use crate::{KeyPlace, OrderIntent, OrderState, OutcomeSource, RecordedAnswer, WriterNonce};
use berylmount_model::{CustomerName, OrderKey};

/// What the end of an attempt was.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The service ran the order and answered.
    Ran(Option<RecordedAnswer>),
    /// The service certainly did not get the order and never will.
    NotRun,
}

impl OrderOutcome {
    /// The state that records this outcome.
    pub(crate) fn into_state(self, source: OutcomeSource) -> OrderState {
        match self {
            Self::Ran(answer) => OrderState::Ran { answer, source },
            Self::NotRun => OrderState::NotRun { source },
        }
    }
}

/// A change to one entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LedgerChange {
    /// Writes the intent, unless the key is taken.
    Begin(OrderIntent),
    /// Records how the attempt with the request's nonce ended.
    Finish(OrderOutcome),
    /// Records that the attempt was given up before any call, also if its
    /// intent has not reached the platform yet.
    Abandon(OrderIntent),
    /// Records what a look-up or an operator says of an unsettled attempt.
    Settle {
        /// What happened.
        outcome: OrderOutcome,
        /// Who says so.
        source: OutcomeSource,
        /// Attempts that are younger are left alone, in milliseconds.
        min_age_ms: u64,
    },
}

/// A change with its place and time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeRequest {
    /// Where the entry stands.
    pub place: KeyPlace,
    /// The customer.
    pub customer: CustomerName,
    /// The key.
    pub key: OrderKey,
    /// The attempt that the change belongs to.
    pub nonce: WriterNonce,
    /// Wall-clock time, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The change.
    pub change: LedgerChange,
}

/// What came of a change.
#[derive(Clone, Debug, Eq, PartialEq, strum::IntoStaticStr)]
pub enum ChangeReply {
    /// It stands in the ledger.
    Recorded,
    /// The order has run before.
    Finished(Option<RecordedAnswer>),
    /// An earlier attempt has no outcome.
    Unknown {
        /// The earlier attempt.
        nonce: WriterNonce,
        /// When it was written, in milliseconds since 1970.
        since_unix_ms: u64,
    },
    /// The key was used with another body or kind of work.
    KeyMismatch,
    /// The day's entries are gone.
    DayExpired,
    /// The entry belongs to another attempt, or there is none.
    AttemptMoved,
    /// The attempt is too young to be settled as not run.
    TooYoung,
    /// The platform does not answer; the change certainly does not stand.
    Unavailable,
    /// Other writers kept winning; the change certainly does not stand.
    Contended,
    /// The platform holds something that is no segment.
    Malformed,
}
