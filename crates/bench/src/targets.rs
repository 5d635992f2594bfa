//! Timing of the outside targets: runners, links and stores.
//!
//! Just enough for the scenarios: a runner prefills in chunks of one piece, by
//! priority and then by age, and decodes beside it; a link carries one transfer
//! after the other; a store is a set of prompts. Times are microseconds.

use berylmount_model::{PieceKey, PIECE_TOKENS};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Prompt tokens that a healthy runner prefills a second.
pub(crate) const PREFILL_TOKENS_PER_S: f64 = 10_000.0;
/// Time between two tokens of an answer on a healthy runner.
pub(crate) const TOKEN_US: f64 = 25_000.0;
/// Sequences that halve the speed of prefill while they decode.
const DECODES_TO_HALVE: f64 = 64.0;
/// Bytes of kept cache of one piece.
pub(crate) const PIECE_BYTES: u64 = 8 << 20;
/// Requests that a runner batches at most; the scenarios stay below.
pub(crate) const RUNNER_SLOTS: u32 = 512;
/// Pieces that a runner's own cache holds.
pub(crate) const RUNNER_PIECES: usize = 256;

/// A bounded set of pieces, least recently used out first.
#[derive(Debug, Default)]
pub(crate) struct PieceCache {
    ages: BTreeMap<PieceKey, u64>,
    order: BTreeMap<u64, PieceKey>,
    count: u64,
    most: usize,
}

impl PieceCache {
    pub(crate) fn new(most: usize) -> Self {
        Self {
            most,
            ..Self::default()
        }
    }

    /// Pieces of the longest prefix of `keys` that is here.
    pub(crate) fn prefix(&self, keys: &[PieceKey]) -> usize {
        let held = keys.iter().take_while(|key| self.ages.contains_key(key));
        held.count()
    }

    /// Puts in `keys`, so that the end of the prefix goes out first.
    pub(crate) fn insert(&mut self, keys: &[PieceKey]) {
        for &key in keys.iter().rev() {
            self.count += 1;
            if let Some(age) = self.ages.insert(key, self.count) {
                self.order.remove(&age);
            }
            self.order.insert(self.count, key);
        }
        while self.ages.len() > self.most {
            let Some((_, key)) = self.order.pop_first() else {
                return;
            };
            self.ages.remove(&key);
        }
    }
}

/// A prefill on a runner.
#[derive(Clone, Debug)]
pub(crate) struct PrefillJob {
    pub(crate) attempt: usize,
    /// Lower goes first.
    pub(crate) rank: u8,
    pub(crate) age: u64,
    pub(crate) pieces: Rc<[PieceKey]>,
    pub(crate) prompt_tokens: u32,
    /// Prompt tokens not yet computed; unknown until the engine looked it up.
    pub(crate) left_tokens: Option<f64>,
    /// Prompt tokens that the engine did not find in its cache.
    pub(crate) computed_tokens: f64,
}

/// One runner of a model engine.
#[derive(Debug)]
pub(crate) struct RunnerModel {
    pub(crate) data_centre: usize,
    pub(crate) speed: f64,
    pub(crate) decoding: u32,
    pub(crate) cache: PieceCache,
    waiting: Vec<PrefillJob>,
    active: Option<PrefillJob>,
}

impl RunnerModel {
    pub(crate) fn new(data_centre: usize) -> Self {
        Self {
            data_centre,
            speed: 1.0,
            decoding: 0,
            cache: PieceCache::new(RUNNER_PIECES),
            waiting: Vec::new(),
            active: None,
        }
    }

    pub(crate) fn submit(&mut self, job: PrefillJob) {
        self.waiting.push(job);
    }

    /// Drops a prefill that was cancelled; a chunk that runs is finished.
    pub(crate) fn cancel(&mut self, attempt: usize) {
        self.waiting.retain(|job| job.attempt != attempt);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.active.is_none()
    }

    /// Prompt tokens that wait, as a report states them.
    pub(crate) fn waiting_tokens(&self) -> u64 {
        let jobs = self.waiting.iter().chain(&self.active);
        let left = |job: &PrefillJob| job.left_tokens.unwrap_or(f64::from(job.prompt_tokens));
        jobs.map(left).sum::<f64>() as u64
    }

    pub(crate) fn running(&self) -> u32 {
        self.decoding + (self.waiting.len() + usize::from(self.active.is_some())) as u32
    }

    /// Begins the next chunk; returns its duration.
    pub(crate) fn begin_chunk(&mut self) -> Option<u64> {
        let next =
            (0..self.waiting.len()).min_by_key(|&n| (self.waiting[n].rank, self.waiting[n].age))?;
        let mut job = self.waiting.swap_remove(next);
        let cached = (self.cache.prefix(&job.pieces) * PIECE_TOKENS) as u32;
        let uncached = f64::from(job.prompt_tokens.saturating_sub(cached).max(1));
        if job.left_tokens.is_none() {
            job.computed_tokens = uncached;
        }
        let left = *job.left_tokens.get_or_insert(uncached);
        let rate =
            PREFILL_TOKENS_PER_S * self.speed / (1.0 + f64::from(self.decoding) / DECODES_TO_HALVE);
        self.active = Some(job);
        Some((left.min(PIECE_TOKENS as f64) / rate * 1e6) as u64 + 1)
    }

    /// Ends the chunk; returns the job if its prefill is done.
    pub(crate) fn end_chunk(&mut self) -> Option<PrefillJob> {
        let mut job = self.active.take()?;
        let left = job.left_tokens.unwrap_or(0.0) - PIECE_TOKENS as f64;
        job.left_tokens = Some(left);
        if left > 0.0 {
            self.waiting.push(job);
            return None;
        }
        self.cache.insert(&job.pieces);
        Some(job)
    }
}

/// One link between a data centre and a store.
#[derive(Debug)]
pub(crate) struct LinkModel {
    pub(crate) bytes_per_us: f64,
    pub(crate) delay_us: u64,
    /// Spells of lower speed: from, to, factor.
    pub(crate) spells: Vec<(u64, u64, f64)>,
    free_us: u64,
    pub(crate) carried: u64,
}

impl LinkModel {
    pub(crate) fn new(bytes_per_s: f64, delay_us: u64) -> Self {
        Self {
            bytes_per_us: bytes_per_s / 1e6,
            delay_us,
            spells: Vec::new(),
            free_us: 0,
            carried: 0,
        }
    }

    /// Carries `bytes` after all that was promised before; returns the arrival.
    pub(crate) fn carry(&mut self, bytes: u64, now: u64) -> u64 {
        let begin = self.free_us.max(now);
        let spell = self.spells.iter().find(|s| (s.0..s.1).contains(&begin));
        let rate = self.bytes_per_us * spell.map_or(1.0, |s| s.2);
        self.free_us = begin + (bytes as f64 / rate) as u64;
        self.carried += bytes;
        self.free_us + self.delay_us
    }
}

/// One kept-cache store: which prompts it has, and for whom.
#[derive(Debug, Default)]
pub(crate) struct StoreModel {
    kept: BTreeMap<u64, BTreeSet<usize>>,
    /// Least recently used order, for the plain policies.
    ages: BTreeMap<u64, (u64, u64)>,
    order: BTreeSet<(u64, u64)>,
    used_bytes: u64,
}

impl StoreModel {
    pub(crate) fn holds(&self, prompt: u64) -> bool {
        self.kept.contains_key(&prompt) || self.ages.contains_key(&prompt)
    }

    pub(crate) fn keep(&mut self, prompt: u64, holder: usize) {
        self.kept.entry(prompt).or_default().insert(holder);
    }

    pub(crate) fn free(&mut self, prompt: u64, holder: usize) {
        if let Some(holders) = self.kept.get_mut(&prompt) {
            holders.remove(&holder);
            if holders.is_empty() {
                self.kept.remove(&prompt);
            }
        }
    }

    /// Keeps `prompt` as the most recently used; returns whether it is new.
    pub(crate) fn keep_recent(&mut self, prompt: u64, bytes: u64, room: u64, now: u64) -> bool {
        let known = self.ages.insert(prompt, (now, bytes));
        if let Some((age, bytes)) = known {
            self.order.remove(&(age, prompt));
            self.used_bytes -= bytes;
        }
        self.order.insert((now, prompt));
        self.used_bytes += bytes;
        while self.used_bytes > room {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.used_bytes -= self.ages.remove(&oldest).map_or(0, |(_, bytes)| bytes);
        }
        known.is_none()
    }
}
