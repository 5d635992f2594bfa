//! Records of work orders and certifications, which run at most once.
//!
//! The ledger lives on the platform as segments, one object each, changed by
//! conditional update only. A process writes an *intent* before it calls the
//! service and the *outcome* after, so an order without intent has not run, and
//! an intent without outcome may have run and is never run again by itself.
//!
//! Invariants:
//! - Only the attempt whose nonce stands in the entry may call the service, and
//!   it does so once: [`IntentToken`] cannot be cloned and runs out.
//! - Safety rests on the conditional update. A paused writer's late write is
//!   refused by the platform; clocks only decide how long to wait.
//! - What a caller was told stays true. "Not run" is given only when the
//!   attempt's token is gone.
//!
//! The decisions ([`LedgerLane`] and below) make no calls and read no clock;
//! [`OrderLedger`] runs them on a thread for each lane.

mod calls;
mod change;
mod config;
mod day;
mod entry;
mod lane;
mod order_ledger;
mod place;
mod read;
mod recent;
mod segment;
mod settle;
mod token;
mod verify;
mod worker;
mod writer;

pub use crate::{
    calls::make_call,
    change::{ChangeReply, ChangeRequest, LedgerChange, OrderOutcome},
    config::{LedgerConfig, RETENTION_DAYS},
    day::LedgerDay,
    entry::{
        BodyDigest, NonceError, OrderEntry, OrderIntent, OrderState, OutcomeSource, RecordedAnswer,
        WriterNonce, MAX_ANSWER_BYTES,
    },
    lane::{LaneCall, LedgerLane, PROBE_OBJECT},
    order_ledger::{BeginOutcome, EarlierAttempt, LedgerTime, OrderLedger},
    place::{
        fresh_key, service_key, KeyError, KeyPlace, SegmentName, LEDGER_PREFIX, ROOT_SEGMENTS,
    },
    read::{read_entry, unsettled_below, unsettled_orders, visit_day, ReadError},
    segment::{SegmentBody, SEGMENT_ENTRIES},
    settle::{change_once, expire_day, settle_entry, DayExpiry},
    token::{IntentToken, SentToken},
    verify::{decode_segment, verify_segment, SegmentFault},
    worker::WriteCounts,
    writer::{CallReply, ChangeTicket, SegmentCall},
};
