//! Answers held while they are made and for a while after.
//!
//! One thread writes an answer, any number of calls read it, each from its own
//! offset, so a caller that lost its connection goes on where it stopped. A
//! new attempt at the same request starts the answer again from token zero and
//! readers are told so. The book is bounded in bytes and in time.

use berylmount_model::{AttemptId, CallRefusal, CustomerName, RequestId};
use berylmount_wire::StartedRun;
use std::{
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
    },
    time::Duration,
};

/// Bytes that one answer takes besides its tokens.
const ANSWER_BASE_BYTES: usize = 512;

/// Bytes that one token takes besides its text.
const TOKEN_BASE_BYTES: usize = 24;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEnd {
    /// It is whole.
    Whole {
        /// Tokens in the answer.
        count: u64,
        /// Digest of all tokens, in hexadecimal.
        digest: String,
    },
    /// It was given up on.
    Refused(CallRefusal),
}

/// What a reader is to pass on next.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerPart {
    /// A run started; tokens follow from zero, or from the reader's offset.
    Started(StartedRun),
    /// Tokens from the offset on.
    Tokens {
        /// The attempt.
        attempt: AttemptId,
        /// The first token's place.
        offset: u64,
        /// The tokens.
        texts: Vec<String>,
    },
    /// Nothing more comes.
    End(AttemptId, AnswerEnd),
}

/// What is known of an answer so far.
#[derive(Debug)]
struct AnswerState {
    /// The attempt under way.
    attempt: AttemptId,
    /// Where it runs, once a runner admitted it.
    started: Option<StartedRun>,
    /// The tokens so far.
    tokens: Vec<String>,
    /// How it ended, once it did.
    end: Option<AnswerEnd>,
    /// When it ended.
    ended_ms: u64,
    /// Whether its caller cancelled it.
    cancelled: bool,
    /// Bytes counted for it in the book.
    bytes: usize,
}

/// One answer.
#[derive(Debug)]
pub struct HeldAnswer {
    /// Who asked; nobody else may read it.
    customer: CustomerName,
    /// What is known so far.
    state: Mutex<AnswerState>,
    /// Signalled at every change.
    changed: Condvar,
    /// Bytes of all answers of the book.
    total_bytes: Arc<AtomicUsize>,
}

impl HeldAnswer {
    /// Starts an empty answer.
    fn new(attempt: AttemptId, customer: &CustomerName, total_bytes: Arc<AtomicUsize>) -> Self {
        total_bytes.fetch_add(ANSWER_BASE_BYTES, Ordering::Relaxed);
        Self {
            customer: customer.clone(),
            state: Mutex::new(AnswerState {
                attempt,
                started: None,
                tokens: Vec::new(),
                end: None,
                ended_ms: 0,
                cancelled: false,
                bytes: ANSWER_BASE_BYTES,
            }),
            changed: Condvar::new(),
            total_bytes,
        }
    }

    /// Locks the state; a panic elsewhere leaves it whole.
    fn lock(&self) -> MutexGuard<'_, AnswerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether `customer` asked for it.
    pub fn belongs_to(&self, customer: &CustomerName) -> bool {
        self.customer == *customer
    }

    /// Starts the answer again with the next attempt, from token zero.
    pub fn restart(&self, attempt: AttemptId) {
        let mut state = self.lock();
        let freed = state.bytes - ANSWER_BASE_BYTES;
        self.total_bytes.fetch_sub(freed, Ordering::Relaxed);
        state.bytes = ANSWER_BASE_BYTES;
        state.attempt = attempt;
        state.started = None;
        state.tokens.clear();
        self.changed.notify_all();
    }

    /// Notes that a runner admitted the attempt.
    pub fn start(&self, run: &StartedRun) {
        let mut state = self.lock();
        if state.attempt == run.attempt {
            state.started = Some(run.clone());
            self.changed.notify_all();
        }
    }

    /// Adds the next token.
    pub fn add_token(&self, text: &str) {
        let bytes = TOKEN_BASE_BYTES + text.len();
        let mut state = self.lock();
        state.tokens.push(text.to_owned());
        state.bytes += bytes;
        self.total_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Where it runs, once a runner admitted it.
    pub fn started(&self) -> Option<StartedRun> {
        self.lock().started.clone()
    }

    /// Tokens so far.
    pub fn count(&self) -> u64 {
        self.lock().tokens.len() as u64
    }

    /// Ends the answer; the first end counts.
    pub fn end(&self, end: AnswerEnd, now_ms: u64) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
            state.ended_ms = now_ms;
            self.changed.notify_all();
        }
    }

    /// Marks it as cancelled by its caller.
    pub fn cancel(&self) {
        self.lock().cancelled = true;
        self.changed.notify_all();
    }

    /// Whether its caller cancelled it.
    pub fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    /// Whether it ended.
    pub fn is_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Waits up to `timeout` for what comes after `reader`'s place.
    ///
    /// Returns nothing if nothing came.
    pub fn next_part(&self, reader: &mut AnswerReader, timeout: Duration) -> Option<AnswerPart> {
        let state = self.lock();
        let waited = self
            .changed
            .wait_timeout_while(state, timeout, |state| !reader.has_next(state));
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        reader.take_next(&state)
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        let bytes = self.lock().bytes;
        self.total_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// One reader's place in an answer.
#[derive(Clone, Debug)]
pub struct AnswerReader {
    /// The attempt whose tokens it reads.
    attempt: AttemptId,
    /// The next token wanted.
    offset: u64,
    /// Whether the start of the attempt was passed on.
    told_start: bool,
}

impl AnswerReader {
    /// A reader of `attempt` from token `offset` on.
    pub fn new(attempt: AttemptId, offset: u64) -> Self {
        Self {
            attempt,
            offset,
            told_start: false,
        }
    }

    /// Whether the answer has something for this reader.
    fn has_next(&self, state: &AnswerState) -> bool {
        let restarted = state.attempt != self.attempt;
        let start = state.started.is_some() && (restarted || !self.told_start);
        let token = self.told_start && !restarted && state.tokens.len() as u64 > self.offset;
        start || token || state.end.is_some()
    }

    /// Takes what comes next.
    fn take_next(&mut self, state: &AnswerState) -> Option<AnswerPart> {
        if state.attempt != self.attempt {
            *self = Self::new(state.attempt, 0);
        }
        if let (false, Some(run)) = (self.told_start, &state.started) {
            self.told_start = true;
            return Some(AnswerPart::Started(run.clone()));
        }
        let from = usize::try_from(self.offset).unwrap_or(usize::MAX);
        let texts = state.tokens.get(from..).unwrap_or_default();
        if self.told_start && !texts.is_empty() {
            let offset = self.offset;
            self.offset += texts.len() as u64;
            return Some(AnswerPart::Tokens {
                attempt: self.attempt,
                offset,
                texts: texts.to_vec(),
            });
        }
        let end = state.end.clone()?;
        Some(AnswerPart::End(self.attempt, end))
    }
}

/// The answers that a dispatch process holds.
#[derive(Debug)]
pub struct AnswerBook {
    /// Sorted by request.
    answers: Mutex<Vec<(RequestId, Arc<HeldAnswer>)>>,
    /// Bytes of all answers.
    total_bytes: Arc<AtomicUsize>,
    /// The bound on their bytes.
    max_bytes: usize,
    /// How long an ended answer is held, in milliseconds.
    hold_ms: u64,
}

impl AnswerBook {
    /// A book bounded by `max_bytes`, which holds ended answers for `hold`.
    pub fn new(max_bytes: usize, hold: Duration) -> Self {
        Self {
            answers: Mutex::default(),
            total_bytes: Arc::default(),
            max_bytes,
            hold_ms: hold.as_millis() as u64,
        }
    }

    /// Locks the list; a panic elsewhere leaves it whole.
    fn lock(&self) -> MutexGuard<'_, Vec<(RequestId, Arc<HeldAnswer>)>> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an answer; returns the one there is, with `false`, if any.
    ///
    /// Returns nothing if the book is full.
    pub fn open(
        &self,
        attempt: AttemptId,
        customer: &CustomerName,
    ) -> Option<(Arc<HeldAnswer>, bool)> {
        let mut answers = self.lock();
        let slot = answers.binary_search_by_key(&attempt.request, |(request, _)| *request);
        let slot = match slot {
            Ok(slot) => return Some((Arc::clone(&answers[slot].1), false)),
            Err(slot) => slot,
        };
        if self.bytes() + ANSWER_BASE_BYTES > self.max_bytes {
            drop_oldest_ended(&mut answers);
            return None;
        }
        let total = Arc::clone(&self.total_bytes);
        let answer = Arc::new(HeldAnswer::new(attempt, customer, total));
        answers.insert(slot, (attempt.request, Arc::clone(&answer)));
        Some((answer, true))
    }

    /// The answer to `request`, if it is held and `customer` asked for it.
    pub fn find(&self, request: RequestId, customer: &CustomerName) -> Option<Arc<HeldAnswer>> {
        let answers = self.lock();
        let slot = answers
            .binary_search_by_key(&request, |(request, _)| *request)
            .ok()?;
        let answer = &answers[slot].1;
        answer.belongs_to(customer).then(|| Arc::clone(answer))
    }

    /// Drops answers that ended longer ago than they are held.
    pub fn drop_expired(&self, now_ms: u64) {
        let hold_ms = self.hold_ms;
        self.lock().retain(|(_, answer)| {
            let state = answer.lock();
            state.end.is_none() || now_ms < state.ended_ms.saturating_add(hold_ms)
        });
    }

    /// Answers that have not ended.
    pub fn open_count(&self) -> usize {
        let answers = self.lock();
        answers.iter().filter(|(_, a)| !a.is_ended()).count()
    }

    /// Bytes of all answers.
    pub fn bytes(&self) -> usize {
        self.total_bytes.load(Ordering::Relaxed)
    }
}

/// Drops the half of the ended answers that ended first, to make room.
fn drop_oldest_ended(answers: &mut Vec<(RequestId, Arc<HeldAnswer>)>) {
    let mut ended: Vec<u64> = answers
        .iter()
        .map(|(_, answer)| answer.lock())
        .filter(|state| state.end.is_some())
        .map(|state| state.ended_ms)
        .collect();
    ended.sort_unstable();
    let Some(&limit) = ended.get(ended.len() / 2) else {
        return;
    };
    answers.retain(|(_, answer)| {
        let state = answer.lock();
        state.end.is_none() || state.ended_ms > limit
    });
}
