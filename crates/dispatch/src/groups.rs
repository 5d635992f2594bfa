//! Queue and runners of one runner group, joined to waiting threads.
//!
//! Every decision is the `policy` crate's; this module keeps the runners' list
//! in step with the roster and hands grants to the threads that wait for them.
//! A waiting thread gets exactly one answer: a grant or a refusal.

use berylmount_model::{
    CallRefusal, InstanceName, InstanceRecord, PieceKey, RefusalReason, VersionName, WorkClass,
};
use berylmount_policy::{
    pacing::MAX_RETRY_AFTER_MS, RetryPacer, RunnerBalancer, RunnerChoice, RunnerId, RunnerQuery,
    RunnerReport, RunnerSettings, WorkItem, WorkQueue, WorkTicket,
};
use berylmount_targets::CacheEvent;
use rand_pcg::Pcg64Mcg;
use std::{
    net::SocketAddr,
    sync::{
        mpsc::{sync_channel, Receiver, SyncSender},
        Mutex, MutexGuard, PoisonError,
    },
};

/// Items that may be passed over in one round because no runner suits them.
const MAX_PASSED_OVER: usize = 16;

/// Refused callers told to return to one runner, a second.
const RETURNS_PER_RUNNER_S: f64 = 10.0;

/// When to come back to a group without a suitable runner, in milliseconds.
const NO_RUNNER_RETRY_MS: u64 = 1_000;

/// Leave to send one attempt to one runner.
#[derive(Clone, Debug)]
pub struct RunGrant {
    /// The attempt's ticket in the group.
    pub ticket: WorkTicket,
    /// The runner.
    pub runner: InstanceName,
    /// Where the runner listens.
    pub address: SocketAddr,
    /// The decision, for the board.
    pub choice: RunnerChoice,
}

/// Work that asks for a runner.
#[derive(Debug)]
pub struct WorkOffer<'a> {
    /// A hash of the customer.
    pub customer: u64,
    /// The customer's weight.
    pub weight: u32,
    /// The class of work.
    pub class: WorkClass,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Keys of the prompt's whole pieces.
    pub pieces: &'a [PieceKey],
    /// The weight version it needs.
    pub version: &'a VersionName,
    /// Runners that failed it before.
    pub avoid: &'a [InstanceName],
    /// Whether a runner that was slow may be tried with it.
    pub may_probe: bool,
    /// When the first token is due.
    pub due_ms: u64,
}

/// A thread that waits for a runner.
#[derive(Debug)]
struct WaitingWork {
    ticket: WorkTicket,
    class: WorkClass,
    prompt_tokens: u32,
    pieces: Vec<PieceKey>,
    version: VersionName,
    avoid: Vec<InstanceName>,
    may_probe: bool,
    answer: SyncSender<Result<RunGrant, CallRefusal>>,
}

/// A runner of the group.
#[derive(Debug)]
struct GroupRunner {
    id: RunnerId,
    name: InstanceName,
    address: SocketAddr,
    /// The version it reported; unknown until its first report.
    version: Option<VersionName>,
    /// The number of the last cache event taken from it.
    last_event: u64,
}

/// Everything of a group that one lock guards.
#[derive(Debug)]
struct GroupState {
    board: RunnerBalancer,
    queue: WorkQueue,
    /// Sorted by name.
    runners: Vec<GroupRunner>,
    /// Sorted by ticket.
    waiting: Vec<WaitingWork>,
    next_ticket: u64,
    settings: RunnerSettings,
    rng: Pcg64Mcg,
    /// Spreads refused callers.
    pacer: RetryPacer,
    expired: Vec<WorkItem>,
}

/// One runner group.
#[derive(Debug)]
pub struct RunnerGroup {
    state: Mutex<GroupState>,
}

impl RunnerGroup {
    /// An empty group.
    pub fn new(settings: RunnerSettings, seed: u128) -> Self {
        Self {
            state: Mutex::new(GroupState {
                board: RunnerBalancer::new(settings),
                queue: WorkQueue::default(),
                runners: Vec::new(),
                waiting: Vec::new(),
                next_ticket: 1,
                settings,
                rng: Pcg64Mcg::new(seed),
                pacer: RetryPacer::default(),
                expired: Vec::new(),
            }),
        }
    }

    /// Locks the state; a panic elsewhere leaves it whole.
    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Brings the runners in step with the list, each with whether it is live.
    pub fn apply_runners(&self, records: &[(InstanceRecord, bool)], now_ms: u64) {
        let mut state = self.lock();
        state.remove_absent(records);
        for (record, live) in records {
            state.apply_runner(record, *live);
        }
        state.serve_waiting(now_ms);
    }

    /// Takes a runner's load report.
    pub fn apply_report(
        &self,
        runner: &InstanceName,
        report: &RunnerReport,
        version: &VersionName,
        now_ms: u64,
    ) {
        let mut state = self.lock();
        let Ok(slot) = state.runner_slot(runner) else {
            return;
        };
        let id = state.runners[slot].id;
        state.runners[slot].version = Some(version.clone());
        state.board.report(id, report);
        state.serve_waiting(now_ms);
    }

    /// Marks a runner as leaving or live again.
    pub fn set_leaving(&self, runner: &InstanceName, leaving: bool) {
        let mut state = self.lock();
        if let Ok(slot) = state.runner_slot(runner) {
            let id = state.runners[slot].id;
            state.board.set_leaving(id, leaving);
        }
    }

    /// Queues work; the answer comes through the receiver.
    pub fn offer(
        &self,
        offer: &WorkOffer<'_>,
        now_ms: u64,
    ) -> Receiver<Result<RunGrant, CallRefusal>> {
        let (answer, grant) = sync_channel(1);
        let mut state = self.lock();
        state.offer(offer, answer, now_ms);
        state.serve_waiting(now_ms);
        grant
    }

    /// Notes the first token of an attempt.
    pub fn first_token(&self, grant: &RunGrant, now_ms: u64) {
        let mut state = self.lock();
        state
            .board
            .first_token(grant.choice.runner, grant.ticket, now_ms);
        state.serve_waiting(now_ms);
    }

    /// Notes that an attempt ended well; the runner now holds its `pieces`.
    pub fn finish(&self, grant: &RunGrant, pieces: &[PieceKey], now_ms: u64) {
        let mut state = self.lock();
        let runner = grant.choice.runner;
        state.board.finish(runner, grant.ticket, now_ms);
        state.board.prefixes_mut().note_kept(runner, pieces);
        state.serve_waiting(now_ms);
    }

    /// Notes that an attempt failed on its runner.
    pub fn fail(&self, grant: &RunGrant, now_ms: u64) {
        let mut state = self.lock();
        state.board.fail(grant.choice.runner, grant.ticket, now_ms);
        state.serve_waiting(now_ms);
    }

    /// The number of the last cache event taken from a runner.
    pub fn last_event(&self, runner: &InstanceName) -> u64 {
        let state = self.lock();
        let slot = state.runner_slot(runner);
        slot.map_or(0, |slot| state.runners[slot].last_event)
    }

    /// Takes a runner's cache events, in order; those taken before are skipped.
    pub fn apply_events(&self, runner: &InstanceName, events: &[CacheEvent]) {
        let mut state = self.lock();
        let Ok(slot) = state.runner_slot(runner) else {
            return;
        };
        let GroupRunner { id, last_event, .. } = state.runners[slot];
        let fresh = events.iter().filter(|event| event.seq > last_event);
        let prefixes = state.board.prefixes_mut();
        let mut last = last_event;
        for event in fresh {
            last = last.max(event.seq);
            match event.added {
                true => prefixes.note_kept(id, std::slice::from_ref(&event.key)),
                false => prefixes.note_dropped(id, event.key),
            }
        }
        state.runners[slot].last_event = last;
    }

    /// How many leading `pieces` the granted runner is thought to hold.
    pub fn held_pieces(&self, grant: &RunGrant, pieces: &[PieceKey]) -> usize {
        let mut found = Vec::new();
        let mut state = self.lock();
        state.board.prefixes_mut().held_pieces(pieces, &mut found);
        let slot = found.binary_search_by_key(&grant.choice.runner, |(runner, _)| *runner);
        slot.map_or(0, |slot| found[slot].1)
    }

    /// Refuses what can no longer be in time, and serves what can.
    pub fn tick(&self, now_ms: u64) {
        self.lock().serve_waiting(now_ms);
    }

    /// Expected wait of new short work, by class, in milliseconds.
    pub fn waits_ms(&self, now_ms: u64) -> [u32; 4] {
        let state = self.lock();
        let capacity = state.board.capacity(now_ms);
        state
            .queue
            .waits_ms(&capacity)
            .map(|wait_ms| wait_ms as u32)
    }

    /// Attempts that wait for a runner.
    pub fn queued(&self) -> usize {
        self.lock().queue.len()
    }
}

impl GroupState {
    /// Where the runner `name` is or would be.
    fn runner_slot(&self, name: &InstanceName) -> Result<usize, usize> {
        self.runners
            .binary_search_by(|runner| runner.name.cmp(name))
    }

    /// Removes runners that are gone from the list or moved.
    fn remove_absent(&mut self, records: &[(InstanceRecord, bool)]) {
        let board = &mut self.board;
        self.runners.retain(|runner| {
            let listed = records
                .iter()
                .any(|(r, _)| r.name == runner.name && r.address == runner.address);
            if !listed {
                board.remove(runner.id);
            }
            listed
        });
    }

    /// Adds a runner or updates its mark.
    fn apply_runner(&mut self, record: &InstanceRecord, live: bool) {
        let slot = match self.runner_slot(&record.name) {
            Ok(slot) => slot,
            Err(slot) => {
                let runner = GroupRunner {
                    id: self.board.join(),
                    name: record.name.clone(),
                    address: record.address,
                    version: None,
                    last_event: 0,
                };
                self.runners.insert(slot, runner);
                slot
            }
        };
        self.board.set_leaving(self.runners[slot].id, !live);
    }

    /// Puts work into the queue, or refuses it at once.
    fn offer(
        &mut self,
        offer: &WorkOffer<'_>,
        answer: SyncSender<Result<RunGrant, CallRefusal>>,
        now_ms: u64,
    ) {
        if !self.runners.iter().any(|r| self.board.is_live(r.id)) {
            let refusal = CallRefusal::not_run(
                RefusalReason::NoTarget,
                "no runner of the group is live",
                NO_RUNNER_RETRY_MS,
            );
            let _ = answer.try_send(Err(refusal));
            return;
        }
        let ticket = WorkTicket(self.next_ticket);
        self.next_ticket += 1;
        let cached = self.best_cached_tokens(offer.pieces);
        let tokens = offer.prompt_tokens.saturating_sub(cached);
        let item = WorkItem {
            ticket,
            customer: offer.customer,
            weight: offer.weight,
            class: offer.class,
            prefill_ms: self.settings.prefill_ms(tokens),
            due_ms: offer.due_ms,
        };
        let capacity = self.board.capacity(now_ms);
        if let Err(refusal) = self.queue.offer(item, &capacity, now_ms) {
            // Refused callers are spread, so that they don't return in one wave.
            let wait_ms = refusal.retry_after_ms.min(MAX_RETRY_AFTER_MS);
            let rate_per_s = capacity.runners * RETURNS_PER_RUNNER_S;
            let retry_after_ms =
                self.pacer
                    .next_retry_after(wait_ms, rate_per_s, now_ms, &mut self.rng);
            let refusal = CallRefusal::not_run(
                RefusalReason::Overloaded,
                &refusal.to_string(),
                retry_after_ms,
            );
            // The thread that waits may be gone; then nobody needs the answer.
            let _ = answer.try_send(Err(refusal));
            return;
        }
        self.waiting.push(WaitingWork {
            ticket,
            class: offer.class,
            prompt_tokens: offer.prompt_tokens,
            pieces: offer.pieces.to_vec(),
            version: offer.version.clone(),
            avoid: offer.avoid.to_vec(),
            may_probe: offer.may_probe,
            answer,
        });
    }

    /// Tokens that the runner with the longest cached prefix holds.
    fn best_cached_tokens(&mut self, pieces: &[PieceKey]) -> u32 {
        let mut found = Vec::new();
        self.board.prefixes_mut().held_pieces(pieces, &mut found);
        let most = found.iter().map(|(_, count)| *count).max().unwrap_or(0);
        (most * berylmount_model::PIECE_TOKENS) as u32
    }

    /// Takes the waiting work of a ticket out of the list.
    fn take_waiting(&mut self, ticket: WorkTicket) -> Option<WaitingWork> {
        let slot = self
            .waiting
            .binary_search_by_key(&ticket, |work| work.ticket)
            .ok()?;
        Some(self.waiting.remove(slot))
    }

    /// Refuses expired work, then grants runners while there is room.
    fn serve_waiting(&mut self, now_ms: u64) {
        self.refuse_expired(now_ms);
        let mut passed_over = Vec::new();
        while passed_over.len() < MAX_PASSED_OVER {
            let room = self.board.room(now_ms);
            let Some(item) = self.queue.take(room) else {
                break;
            };
            if !self.grant(&item, now_ms) {
                passed_over.push(item);
            }
        }
        for item in passed_over {
            self.queue.restore(item);
        }
    }

    /// Refuses what can no longer be in time.
    fn refuse_expired(&mut self, now_ms: u64) {
        let mut expired = std::mem::take(&mut self.expired);
        self.queue.expire(now_ms, &mut expired);
        for item in expired.drain(..) {
            if let Some(work) = self.take_waiting(item.ticket) {
                let refusal = CallRefusal::not_run(
                    RefusalReason::Overloaded,
                    "no runner was free in time",
                    NO_RUNNER_RETRY_MS,
                );
                let _ = work.answer.try_send(Err(refusal));
            }
        }
        self.expired = expired;
    }

    /// Grants a runner to `item`; returns whether it is done with.
    fn grant(&mut self, item: &WorkItem, now_ms: u64) -> bool {
        let Some(work) = self.take_waiting(item.ticket) else {
            return true;
        };
        let unsuited = self.unsuited_runners(&work);
        let query = RunnerQuery {
            pieces: &work.pieces,
            prompt_tokens: work.prompt_tokens,
            class: work.class,
            may_probe: work.may_probe,
            avoid: &unsuited,
        };
        let Some(choice) = self.board.choose(&query, now_ms, &mut self.rng) else {
            return self.keep_or_refuse(work, unsuited.len());
        };
        let Some(runner) = self.runners.iter().find(|r| r.id == choice.runner) else {
            return self.keep_or_refuse(work, self.runners.len());
        };
        let grant = RunGrant {
            ticket: work.ticket,
            runner: runner.name.clone(),
            address: runner.address,
            choice,
        };
        if work.answer.try_send(Ok(grant)).is_ok() {
            self.board.start(work.ticket, &choice, &query, now_ms);
        }
        true
    }

    /// Keeps work waiting, unless no runner of the group suits it at all.
    fn keep_or_refuse(&mut self, work: WaitingWork, unsuited: usize) -> bool {
        if unsuited < self.runners.len() {
            let slot = self.waiting.partition_point(|w| w.ticket < work.ticket);
            self.waiting.insert(slot, work);
            return false;
        }
        let refusal = CallRefusal::not_run(
            RefusalReason::NoTarget,
            "no runner of the group has the version or is left to try",
            NO_RUNNER_RETRY_MS,
        );
        let _ = work.answer.try_send(Err(refusal));
        true
    }

    /// Runners that `work` must not or need not try.
    fn unsuited_runners(&self, work: &WaitingWork) -> Vec<RunnerId> {
        let unsuited = self.runners.iter().filter(|runner| {
            let version = runner.version.as_ref();
            let other = version.is_some_and(|version| *version != work.version);
            other || work.avoid.contains(&runner.name) || !self.board.is_live(runner.id)
        });
        unsuited.map(|runner| runner.id).collect()
    }
}
