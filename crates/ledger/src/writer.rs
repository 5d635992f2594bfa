//! The changes of one segment, grouped into conditional writes.
//!
//! A [`SegmentWriter`] makes no call itself: it says which call comes next and
//! takes the reply, so that tests can stop it between any two steps.
//!
//! Invariants:
//! - A reply that a change stands is given only after the platform confirmed
//!   the write, or after a read that shows the change's nonce.
//! - An attempt whose caller was told "not run" while one of its writes may
//!   still arrive is followed by an abandon of the same nonce.
//! - Outcomes and abandons stay queued until they stand.

use crate::{
    segment::ChangeEffect, ChangeReply, ChangeRequest, LedgerChange, SegmentBody, SegmentName,
};
use std::collections::VecDeque;

/// Changes in one write.
const BATCH_CHANGES: usize = 256;
/// Path hashes that take the memory of one entry.
const HASHES_PER_ENTRY: usize = 16;
/// Conflicts and lost answers that one attempt goes through.
const MAX_TRIES: u8 = 8;

/// Names a change until its reply; zero for changes that nobody waits for.
pub type ChangeTicket = u64;

/// The call that a segment needs next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SegmentCall {
    /// Read the segment.
    Read,
    /// Write the segment if its version is still the expected one.
    Write {
        /// The segment as JSON.
        body: Vec<u8>,
        /// The version that was read; zero for a segment that does not exist.
        expected: u64,
    },
}

/// What came of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallReply {
    /// The segment's bytes and version.
    Found(Vec<u8>, u64),
    /// There is no such segment.
    Missing,
    /// The write stands under this version.
    Written(u64),
    /// The version has moved on; certainly not written.
    Conflict,
    /// Certainly not written, or not read.
    Unavailable,
    /// The write may stand, or may yet arrive.
    Unclear,
    /// The platform refused the value or answered nonsense.
    Malformed,
}

/// A change that waits for its place in a write.
#[derive(Debug)]
pub(crate) struct QueuedChange {
    /// Whom the reply is for.
    pub(crate) ticket: ChangeTicket,
    /// The change.
    pub(crate) request: ChangeRequest,
    /// Writes that did not succeed.
    tries: u8,
    /// Whether an earlier write may stand or may yet arrive.
    unclear: bool,
    /// The writer's confirmations when the change came.
    seen: u64,
}

impl QueuedChange {
    /// A change that has been in no write.
    pub(crate) fn new(ticket: ChangeTicket, request: ChangeRequest) -> Self {
        Self {
            ticket,
            request,
            tries: 0,
            unclear: false,
            seen: 0,
        }
    }

    /// Whether the change must reach the platform, however long that takes.
    fn is_owed(&self) -> bool {
        matches!(
            self.request.change,
            LedgerChange::Finish(_) | LedgerChange::Abandon(_)
        )
    }
}

/// Replies and forwarded changes of a step.
#[derive(Debug, Default)]
pub(crate) struct StepOutput {
    /// Replies by ticket.
    pub(crate) replies: Vec<(ChangeTicket, ChangeReply)>,
    /// Changes that belong to a child.
    pub(crate) forwards: Vec<(SegmentName, QueuedChange)>,
}

/// What the writer knows of the segment.
#[derive(Debug)]
enum SegmentView {
    /// Nothing, or nothing certain.
    Unread,
    /// The body at a version.
    Known(SegmentBody, u64),
    /// The sorted path hashes of a sealed segment's entries.
    Sealed(Vec<u64>),
}

/// A write that has no answer yet.
#[derive(Debug)]
struct PendingWrite {
    next: SegmentBody,
    carried: Vec<(QueuedChange, ChangeReply)>,
}

/// Groups the changes of one segment.
#[derive(Debug)]
pub(crate) struct SegmentWriter {
    name: SegmentName,
    max_entries: usize,
    view: SegmentView,
    queue: VecDeque<QueuedChange>,
    pending: Option<PendingWrite>,
    /// Counts reads and writes that the platform confirmed.
    confirmations: u64,
}

impl SegmentWriter {
    /// A writer that knows nothing of its segment.
    pub(crate) fn new(name: SegmentName, max_entries: usize) -> Self {
        Self {
            name,
            max_entries,
            view: SegmentView::Unread,
            queue: VecDeque::new(),
            pending: None,
            confirmations: 0,
        }
    }

    /// Outcomes and abandons that wait.
    pub(crate) fn owed(&self) -> usize {
        let queued = self.queue.iter().filter(|change| change.is_owed());
        queued.count()
    }

    /// Refuses all changes that callers wait for, because the platform is down.
    pub(crate) fn refuse_waiting(&mut self, output: &mut StepOutput) {
        self.refuse(&ChangeReply::Unavailable, output);
    }

    /// Entries remembered; only a hash is kept of each in a sealed segment.
    pub(crate) fn weight(&self) -> usize {
        match &self.view {
            SegmentView::Unread => 1,
            SegmentView::Known(body, _) => 1 + body.entries.len(),
            SegmentView::Sealed(hashes) => 1 + hashes.len() / HASHES_PER_ENTRY,
        }
    }

    /// Whether nothing waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.pending.is_none()
    }

    /// Adds a change.
    pub(crate) fn push(&mut self, mut change: QueuedChange) {
        change.seen = self.confirmations;
        self.queue.push_back(change);
    }

    /// The segment's next call; none when every waiting change has its reply.
    pub(crate) fn next_call(&mut self, output: &mut StepOutput) -> Option<SegmentCall> {
        self.forward_absent(output);
        if self.queue.is_empty() {
            self.shrink_sealed();
            return None;
        }
        match std::mem::replace(&mut self.view, SegmentView::Unread) {
            SegmentView::Known(body, version) => self.plan_write(body, version, output),
            SegmentView::Unread | SegmentView::Sealed(_) => Some(SegmentCall::Read),
        }
    }

    /// Sends changes on that a sealed segment certainly does not hold.
    fn forward_absent(&mut self, output: &mut StepOutput) {
        let SegmentView::Sealed(hashes) = &self.view else {
            return;
        };
        for change in std::mem::take(&mut self.queue) {
            let held = hashes.binary_search(&change.request.place.hash).is_ok();
            if held {
                self.queue.push_back(change);
            } else {
                forward(self.name, change, output);
            }
        }
    }

    /// Keeps only the hashes of a sealed segment.
    fn shrink_sealed(&mut self) {
        let SegmentView::Known(body, _) = &self.view else {
            return;
        };
        if !body.sealed || body.expired {
            return;
        }
        let place = |entry: &crate::OrderEntry| {
            crate::KeyPlace::of(&entry.customer, &entry.key).map(|place| place.hash)
        };
        let hashes: Result<Vec<u64>, _> = body.entries.iter().map(place).collect();
        if let Ok(mut hashes) = hashes {
            hashes.sort_unstable();
            self.view = SegmentView::Sealed(hashes);
        }
    }

    /// Applies waiting changes to the known body; writes it if any alters it.
    fn plan_write(
        &mut self,
        body: SegmentBody,
        version: u64,
        output: &mut StepOutput,
    ) -> Option<SegmentCall> {
        let mut plan = WritePlan::new(self, &body);
        for change in std::mem::take(&mut self.queue) {
            plan.place(change, output);
        }
        let WritePlan {
            next,
            carried,
            waiting,
            stale,
            dirty,
            ..
        } = plan;
        self.queue = waiting;
        if dirty {
            let Ok(bytes) = serde_json::to_vec(&next) else {
                self.pending = Some(PendingWrite { next, carried });
                self.take_reply(CallReply::Malformed, output);
                return None;
            };
            self.pending = Some(PendingWrite { next, carried });
            return Some(SegmentCall::Write {
                body: bytes,
                expected: version,
            });
        }
        if stale {
            return Some(SegmentCall::Read);
        }
        self.view = SegmentView::Known(body, version);
        self.shrink_sealed();
        None
    }

    /// Takes the reply to the last call.
    pub(crate) fn take_reply(&mut self, reply: CallReply, output: &mut StepOutput) {
        match (reply, self.pending.take()) {
            (CallReply::Written(version), Some(pending)) => {
                self.confirm(pending.next, version);
                let replies = pending.carried.into_iter();
                output
                    .replies
                    .extend(replies.map(|(change, reply)| (change.ticket, reply)));
            }
            (CallReply::Found(bytes, version), None) => self.take_body(&bytes, version, output),
            (CallReply::Missing, None) => self.confirm(SegmentBody::default(), 0),
            (CallReply::Conflict, Some(pending)) => self.retry(pending, false, output),
            (CallReply::Unclear, Some(pending)) => self.retry(pending, true, output),
            (CallReply::Unavailable | CallReply::Unclear, pending) => {
                self.requeue(pending);
                self.refuse(&ChangeReply::Unavailable, output);
            }
            (_, pending) => {
                log::error!(target: "ledger", "segment {} refused or malformed", self.name);
                self.requeue(pending);
                self.refuse(&ChangeReply::Malformed, output);
            }
        }
    }

    /// Notes a body that the platform confirmed.
    fn confirm(&mut self, body: SegmentBody, version: u64) {
        self.confirmations += 1;
        self.view = SegmentView::Known(body, version);
    }

    /// Decodes a segment that was read.
    fn take_body(&mut self, bytes: &[u8], version: u64, output: &mut StepOutput) {
        match crate::decode_segment(self.name, bytes) {
            Ok(body) => self.confirm(body, version),
            Err(fault) => {
                log::error!(target: "ledger", "segment {} is malformed: {fault}", self.name);
                self.refuse(&ChangeReply::Malformed, output);
            }
        }
    }

    /// Puts the changes of a write back in front, in their order.
    fn requeue(&mut self, pending: Option<PendingWrite>) {
        let carried = pending.map(|pending| pending.carried).unwrap_or_default();
        for (change, _) in carried.into_iter().rev() {
            self.queue.push_front(change);
        }
    }

    /// Tries the changes of a failed write again, a bounded number of times.
    fn retry(&mut self, mut pending: PendingWrite, unclear: bool, output: &mut StepOutput) {
        for (change, _) in &mut pending.carried {
            change.tries = change.tries.saturating_add(1);
            change.unclear |= unclear;
        }
        self.requeue(Some(pending));
        for change in std::mem::take(&mut self.queue) {
            if change.tries >= MAX_TRIES {
                self.give_up(change, &ChangeReply::Contended, output);
            } else {
                self.queue.push_back(change);
            }
        }
    }

    /// Refuses all changes that callers wait for; keeps what is owed.
    fn refuse(&mut self, reply: &ChangeReply, output: &mut StepOutput) {
        for change in std::mem::take(&mut self.queue) {
            self.give_up(change, reply, output);
        }
    }

    /// Refuses one change, unless it is owed.
    ///
    /// A begin with a write that may arrive turns into an abandon. Nothing can
    /// be owed to a malformed segment; its orders stay without outcome.
    fn give_up(&mut self, mut change: QueuedChange, reply: &ChangeReply, output: &mut StepOutput) {
        let malformed = *reply == ChangeReply::Malformed;
        if change.is_owed() && !malformed {
            change.tries = 0;
            self.queue.push_back(change);
            return;
        }
        output.replies.push((change.ticket, reply.clone()));
        let LedgerChange::Begin(intent) = &change.request.change else {
            return;
        };
        if change.unclear && !malformed {
            let request = ChangeRequest {
                change: LedgerChange::Abandon(intent.clone()),
                ..change.request.clone()
            };
            self.push(QueuedChange::new(0, request));
        }
    }
}

/// Sends a change on to the child on its way.
fn forward(name: SegmentName, change: QueuedChange, output: &mut StepOutput) {
    match name.child(&change.request.place) {
        Some(child) => output.forwards.push((child, change)),
        None => output.replies.push((change.ticket, ChangeReply::Contended)),
    }
}

/// One pass over the waiting changes.
struct WritePlan {
    name: SegmentName,
    max_entries: usize,
    confirmations: u64,
    /// Whether the body on the platform is sealed.
    sealed: bool,
    next: SegmentBody,
    dirty: bool,
    /// Path hashes of entries that this pass altered, sorted.
    touched: Vec<u64>,
    carried: Vec<(QueuedChange, ChangeReply)>,
    waiting: VecDeque<QueuedChange>,
    /// Whether a change needs a newer read than the known one.
    stale: bool,
}

impl WritePlan {
    fn new(writer: &SegmentWriter, body: &SegmentBody) -> Self {
        Self {
            name: writer.name,
            max_entries: writer.max_entries,
            confirmations: writer.confirmations,
            sealed: body.sealed,
            next: body.clone(),
            dirty: false,
            touched: Vec::new(),
            carried: Vec::new(),
            waiting: VecDeque::new(),
            stale: false,
        }
    }

    /// Applies one change, or leaves it for the next pass.
    ///
    /// A second change of a key waits, because the first may yet fail.
    fn place(&mut self, change: QueuedChange, output: &mut StepOutput) {
        let hash = change.request.place.hash;
        let touched = self.touched.binary_search(&hash);
        let (Err(at), true) = (touched, self.carried.len() < BATCH_CHANGES) else {
            self.waiting.push_back(change);
            return;
        };
        match self.next.apply(&change.request, self.max_entries) {
            ChangeEffect::Write(reply) => {
                self.dirty = true;
                self.touched.insert(at, hash);
                self.carried.push((change, reply));
            }
            ChangeEffect::Reply(reply) => self.reply(change, reply, output),
            ChangeEffect::Descend if self.sealed => forward(self.name, change, output),
            ChangeEffect::Descend => self.waiting.push_back(change),
            ChangeEffect::Sealed => {
                self.dirty = true;
                self.waiting.push_back(change);
            }
        }
    }

    /// Gives a reply that needs no write, if what it rests on is fresh enough.
    fn reply(&mut self, change: QueuedChange, reply: ChangeReply, output: &mut StepOutput) {
        let lasting = matches!(
            reply,
            ChangeReply::Finished(_) | ChangeReply::KeyMismatch | ChangeReply::DayExpired
        );
        if lasting || change.seen < self.confirmations {
            output.replies.push((change.ticket, reply));
        } else {
            self.stale = true;
            self.waiting.push_back(change);
        }
    }
}
