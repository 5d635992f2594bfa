//! A segment: one platform object with the entries of some keys.
//!
//! Invariants: entries are sorted by customer and key without duplicates; a
//! sealed segment gets no new entry, ever; an expired one is empty and stays
//! so. All three hold because a segment is changed by conditional update only.

use crate::{
    entry::OrderEntry, ChangeReply, ChangeRequest, LedgerChange, OrderIntent, OrderOutcome,
    OrderState, OutcomeSource,
};
use berylmount_model::{CustomerName, OrderKey};
use serde::{Deserialize, Serialize};

/// Entries in a segment before it is sealed.
pub const SEGMENT_ENTRIES: usize = 512;

/// The entries of one segment.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SegmentBody {
    /// Whether new keys go to the children.
    pub sealed: bool,
    /// Whether the day's entries are gone.
    pub expired: bool,
    /// Sorted by customer and key.
    pub entries: Vec<OrderEntry>,
}

/// What a change does to a segment.
#[derive(Debug)]
pub(crate) enum ChangeEffect {
    /// The segment has changed and must be written; then the reply holds.
    Write(ChangeReply),
    /// Nothing is to be written; the reply holds for the version that was read.
    Reply(ChangeReply),
    /// The key belongs to the child.
    Descend,
    /// The segment was sealed and must be written before the key goes on.
    Sealed,
}

impl SegmentBody {
    /// The entry of a customer's key.
    ///
    /// ```
    /// use berylmount_ledger::SegmentBody;
    /// use berylmount_model::{CustomerName, OrderKey};
    ///
    /// let body = SegmentBody::default();
    /// let customer = CustomerName::new("north-crew").unwrap();
    /// let key = OrderKey::new("20261204-7").unwrap();
    /// assert!(body.entry(&customer, &key).is_none());
    /// ```
    pub fn entry(&self, customer: &CustomerName, key: &OrderKey) -> Option<&OrderEntry> {
        let at = self.position(customer, key).ok()?;
        self.entries.get(at)
    }

    /// The index of a key, or where it would be inserted.
    fn position(&self, customer: &CustomerName, key: &OrderKey) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (&entry.customer, &entry.key).cmp(&(customer, key)))
    }

    /// Applies one change.
    pub(crate) fn apply(&mut self, request: &ChangeRequest, max_entries: usize) -> ChangeEffect {
        if self.expired {
            return ChangeEffect::Reply(ChangeReply::DayExpired);
        }
        let position = self.position(&request.customer, &request.key);
        match (&request.change, position) {
            (LedgerChange::Begin(intent), Ok(at)) => begin(&mut self.entries[at], intent, request),
            (LedgerChange::Begin(intent), Err(at)) => {
                self.insert(at, intent, request, OrderState::Intent, max_entries)
            }
            (LedgerChange::Abandon(intent), Ok(at)) => {
                abandon(&mut self.entries[at], intent, request)
            }
            (LedgerChange::Abandon(intent), Err(at)) => {
                self.insert(at, intent, request, not_run(), max_entries)
            }
            (LedgerChange::Finish(outcome), Ok(at)) => {
                finish(&mut self.entries[at], outcome, request)
            }
            (LedgerChange::Settle { .. }, Ok(at)) => settle(&mut self.entries[at], request),
            (LedgerChange::Finish(_) | LedgerChange::Settle { .. }, Err(_)) => {
                self.descend_or(ChangeReply::AttemptMoved)
            }
        }
    }

    /// Inserts a new entry, or seals the segment if it is full.
    fn insert(
        &mut self,
        at: usize,
        intent: &OrderIntent,
        request: &ChangeRequest,
        state: OrderState,
        max_entries: usize,
    ) -> ChangeEffect {
        if self.sealed {
            return ChangeEffect::Descend;
        }
        if self.entries.len() >= max_entries {
            self.sealed = true;
            return ChangeEffect::Sealed;
        }
        let entry = OrderEntry::new(intent, request.nonce, request.unix_ms, state);
        self.entries.insert(at, entry);
        ChangeEffect::Write(ChangeReply::Recorded)
    }

    /// Goes on to the child of a sealed segment, else gives `reply`.
    fn descend_or(&self, reply: ChangeReply) -> ChangeEffect {
        if self.sealed {
            ChangeEffect::Descend
        } else {
            ChangeEffect::Reply(reply)
        }
    }
}

/// The state of an attempt that its own writer gave up.
fn not_run() -> OrderState {
    OrderState::NotRun {
        source: OutcomeSource::Writer,
    }
}

/// Starts an attempt at a key that has an entry.
fn begin(entry: &mut OrderEntry, intent: &OrderIntent, request: &ChangeRequest) -> ChangeEffect {
    if !entry.agrees(intent) {
        return ChangeEffect::Reply(ChangeReply::KeyMismatch);
    }
    let own = entry.nonce == request.nonce;
    match &entry.state {
        OrderState::Ran { answer, .. } => {
            ChangeEffect::Reply(ChangeReply::Finished(answer.clone()))
        }
        // An earlier write of this attempt took effect although its answer was lost.
        OrderState::Intent if own => ChangeEffect::Reply(ChangeReply::Recorded),
        OrderState::Intent => ChangeEffect::Reply(ChangeReply::Unknown {
            nonce: entry.nonce,
            since_unix_ms: entry.since_unix_ms,
        }),
        // Someone ended this attempt before its writer knew that it stood.
        OrderState::NotRun { .. } if own => ChangeEffect::Reply(ChangeReply::Contended),
        OrderState::NotRun { .. } => {
            *entry = OrderEntry::new(intent, request.nonce, request.unix_ms, OrderState::Intent);
            ChangeEffect::Write(ChangeReply::Recorded)
        }
    }
}

/// Gives up an attempt at a key that has an entry.
///
/// Where the attempt's own intent has not arrived, a record of the given-up
/// attempt takes its place: its write moves the version on, so that a late
/// arrival of the intent is refused by the platform.
fn abandon(entry: &mut OrderEntry, intent: &OrderIntent, request: &ChangeRequest) -> ChangeEffect {
    let own = entry.nonce == request.nonce;
    match &entry.state {
        OrderState::Intent if own => {
            entry.state = not_run();
            ChangeEffect::Write(ChangeReply::Recorded)
        }
        OrderState::NotRun { .. } if !own && entry.agrees(intent) => {
            *entry = OrderEntry::new(intent, request.nonce, request.unix_ms, not_run());
            ChangeEffect::Write(ChangeReply::Recorded)
        }
        _ => ChangeEffect::Reply(ChangeReply::Recorded),
    }
}

/// Records how an attempt ended.
///
/// A writer that saw the service run the order overrules an operator's word;
/// nothing overrules an entry of another attempt.
fn finish(entry: &mut OrderEntry, outcome: &OrderOutcome, request: &ChangeRequest) -> ChangeEffect {
    if entry.nonce != request.nonce {
        return ChangeEffect::Reply(ChangeReply::AttemptMoved);
    }
    let state = outcome.clone().into_state(OutcomeSource::Writer);
    let settled = entry.state != OrderState::Intent;
    if entry.state == state || (settled && *outcome == OrderOutcome::NotRun) {
        return ChangeEffect::Reply(ChangeReply::Recorded);
    }
    entry.state = state;
    ChangeEffect::Write(ChangeReply::Recorded)
}

/// Records what a look-up or an operator says of an attempt without outcome.
fn settle(entry: &mut OrderEntry, request: &ChangeRequest) -> ChangeEffect {
    let LedgerChange::Settle {
        outcome,
        source,
        min_age_ms,
    } = &request.change
    else {
        return ChangeEffect::Reply(ChangeReply::AttemptMoved);
    };
    let state = outcome.clone().into_state(source.clone());
    if entry.nonce == request.nonce && entry.state == state {
        return ChangeEffect::Reply(ChangeReply::Recorded);
    }
    if entry.nonce != request.nonce || entry.state != OrderState::Intent {
        return ChangeEffect::Reply(ChangeReply::AttemptMoved);
    }
    let age_ms = request.unix_ms.saturating_sub(entry.since_unix_ms);
    if age_ms < *min_age_ms {
        return ChangeEffect::Reply(ChangeReply::TooYoung);
    }
    entry.state = state;
    ChangeEffect::Write(ChangeReply::Recorded)
}
