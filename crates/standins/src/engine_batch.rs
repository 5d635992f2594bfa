//! The engine stand-in's continuous batching, one step at a time.

use crate::{
    engine::EngineConfig,
    engine_cache::{piece_bytes, prefix_digests, read_stamp, PieceCache, PieceStamp},
};
use berylmount_model::{DigestChain, PIECE_TOKENS};
use serde::Deserialize;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// Events kept for readers of the cache events.
const EVENTS_KEPT: usize = 4096;

/// The tokens that every engine stand-in answers to `prompt`.
///
/// ```
/// use berylmount_standins::expected_tokens;
///
/// assert_eq!(expected_tokens("a b", 3), expected_tokens("a b", 3));
/// assert_ne!(expected_tokens("a b", 3), expected_tokens("a c", 3));
/// ```
pub fn expected_tokens(prompt: &str, max_tokens: u32) -> Vec<String> {
    let digest = hex::encode(Sha256::digest(prompt.as_bytes()));
    let seed = &digest[..8];
    (0..max_tokens).map(|i| format!("{seed}.{i} ")).collect()
}

/// The whole answer of every engine stand-in to `prompt`.
///
/// ```
/// use berylmount_standins::expected_answer;
///
/// assert_eq!(expected_answer("a b", 2).split(' ').count(), 3);
/// ```
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    expected_tokens(prompt, max_tokens).concat()
}

/// The body of an order to start a stream.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct StreamBody {
    pub(crate) stream: String,
    pub(crate) prompt: String,
    pub(crate) model: String,
    pub(crate) version: String,
    #[serde(default)]
    pub(crate) adapter: String,
    #[serde(default)]
    pub(crate) pieces: Vec<String>,
    pub(crate) max_tokens: u32,
    #[serde(default)]
    pub(crate) priority: u32,
    #[serde(default)]
    pub(crate) scope: String,
}

/// How far a stream has come.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StreamPhase {
    Queued,
    Prefill(f64),
    Decode,
    Ended,
    Cancelled,
}

/// One stream and its answer so far.
#[derive(Debug)]
pub(crate) struct StreamRun {
    body: StreamBody,
    prefixes: Vec<String>,
    prompt_tokens: usize,
    cached_tokens: usize,
    pub(crate) phase: StreamPhase,
    pub(crate) answer: Vec<String>,
    pub(crate) made: usize,
    ended: Option<Instant>,
    order: u64,
}

impl StreamRun {
    /// Whether it takes a place in the batch.
    fn is_running(&self) -> bool {
        matches!(self.phase, StreamPhase::Prefill(_) | StreamPhase::Decode)
    }

    /// The line that tells what admission found.
    pub(crate) fn admitted_line(&self) -> Value {
        json!({"event": "admitted", "cached_tokens": self.cached_tokens,
               "prompt_tokens": self.prompt_tokens, "version": self.body.version})
    }

    /// The line that ends a whole answer.
    pub(crate) fn end_line(&self) -> Value {
        let mut digest = DigestChain::default();
        self.answer.iter().for_each(|token| digest.add(token));
        json!({"event": "end", "count": self.answer.len(), "digest": digest.finish()})
    }

    /// The stamp of the run's piece `i`.
    fn stamp(&self, i: usize) -> PieceStamp {
        PieceStamp {
            scope: self.body.scope.clone(),
            model: self.body.model.clone(),
            version: self.body.version.clone(),
            adapter: self.body.adapter.clone(),
            prefix: self.prefixes.get(i).cloned().unwrap_or_default(),
        }
    }
}

/// A change of the prefix cache, published late.
#[derive(Debug)]
struct CacheEvent {
    seq: u64,
    at: Instant,
    key: String,
    added: bool,
}

/// What the engine saw, for tests.
#[derive(Debug, Default)]
pub(crate) struct EngineReport {
    pub(crate) mixed_use: u64,
    pub(crate) bad_reads: u64,
    pub(crate) prefilled: u64,
    pub(crate) cached: u64,
    pub(crate) runs: BTreeMap<String, u64>,
    pub(crate) orders: Vec<Value>,
    pub(crate) stale_orders: u64,
}

/// Everything the engine holds.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) config: EngineConfig,
    pub(crate) model: String,
    pub(crate) version: String,
    pub(crate) adapters: Vec<String>,
    pub(crate) role: String,
    pub(crate) fence: u64,
    pub(crate) loading: Option<(Instant, String, String)>,
    pub(crate) leaving: bool,
    pub(crate) paused: bool,
    pub(crate) slow: f64,
    pub(crate) streams: BTreeMap<String, StreamRun>,
    pub(crate) cache: PieceCache,
    pub(crate) staged: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    pub(crate) report: EngineReport,
    events: VecDeque<CacheEvent>,
    loads: VecDeque<(Instant, Value)>,
    count: u64,
}

impl EngineState {
    /// An idle engine.
    pub(crate) fn new(config: EngineConfig) -> Self {
        Self {
            model: config.model.clone(),
            version: config.version.clone(),
            adapters: Vec::new(),
            role: "mixed".to_owned(),
            fence: 0,
            loading: None,
            leaving: false,
            paused: false,
            slow: 1.0,
            streams: BTreeMap::new(),
            cache: PieceCache::new(config.cache_pieces),
            staged: BTreeMap::new(),
            report: EngineReport::default(),
            events: VecDeque::new(),
            loads: VecDeque::new(),
            count: 0,
            config,
        }
    }

    /// Queues a stream, or returns why it does not.
    ///
    /// A stream that is known already is joined, not run again.
    pub(crate) fn start(&mut self, body: StreamBody) -> Result<(), &'static str> {
        if self.streams.contains_key(&body.stream) {
            return Ok(());
        }
        if self.leaving {
            return Err("leaving");
        }
        if body.model != self.model || body.version != self.version {
            return Err("wrong_version");
        }
        *self.report.runs.entry(body.stream.clone()).or_default() += 1;
        self.count += 1;
        let run = StreamRun {
            prefixes: prefix_digests(&body.prompt, PIECE_TOKENS),
            prompt_tokens: body.prompt.split_whitespace().count(),
            cached_tokens: 0,
            phase: StreamPhase::Queued,
            answer: expected_tokens(&body.prompt, body.max_tokens),
            made: 0,
            ended: None,
            order: self.count,
            body,
        };
        self.streams.insert(run.body.stream.clone(), run);
        Ok(())
    }

    /// Does what the engine does in `step` of its own time.
    pub(crate) fn step(&mut self, step: Duration, now: Instant) {
        self.finish_load(now);
        self.admit();
        self.prefill(step);
        self.decode(now);
        let kept = Duration::from_millis(self.config.hold_ms);
        self.streams
            .retain(|_, run| run.ended.is_none_or(|at| now.duration_since(at) < kept));
        self.sample_load(now);
    }

    /// Whether any stream waits or runs.
    pub(crate) fn is_busy(&self) -> bool {
        let mut runs = self.streams.values();
        runs.any(|run| run.phase == StreamPhase::Queued || run.is_running())
    }

    /// Swaps to a version whose loading time is over; runs keep what they have.
    fn finish_load(&mut self, now: Instant) {
        let due = self.loading.take_if(|(at, _, _)| *at <= now);
        if let Some((_, model, version)) = due {
            (self.model, self.version) = (model, version);
        }
    }

    /// The streams that pass `wanted`, most urgent and oldest first.
    fn urgent_first(&self, wanted: impl Fn(&StreamRun) -> bool) -> Vec<String> {
        let mut runs: Vec<_> = self.streams.values().filter(|run| wanted(run)).collect();
        runs.sort_by_key(|run| (run.body.priority, run.order));
        runs.iter().map(|run| run.body.stream.clone()).collect()
    }

    /// Moves the most urgent queued streams into free places of the batch.
    fn admit(&mut self) {
        let running = self.streams.values().filter(|run| run.is_running()).count();
        let places = self.config.max_batch.saturating_sub(running);
        let queued = self.urgent_first(|run| run.phase == StreamPhase::Queued);
        for stream in queued.into_iter().take(places) {
            if let Some(mut run) = self.streams.remove(&stream) {
                let cached = self.use_cache(&run);
                run.cached_tokens = cached * PIECE_TOKENS;
                let left = run.prompt_tokens.saturating_sub(run.cached_tokens);
                self.report.prefilled += left as u64;
                self.report.cached += run.cached_tokens as u64;
                run.phase = StreamPhase::Prefill(left as f64);
                self.streams.insert(stream, run);
            }
        }
    }

    /// Counts the leading pieces of `run` in the cache, checking each.
    fn use_cache(&mut self, run: &StreamRun) -> usize {
        let mut found = 0;
        for (i, key) in run.body.pieces.iter().enumerate() {
            let Some(bytes) = self.cache.touch(key) else {
                break;
            };
            let expected = run.stamp(i);
            match read_stamp(bytes) {
                None => self.report.bad_reads += 1,
                Some(stamp) if stamp.prefix != expected.prefix => self.report.bad_reads += 1,
                Some(stamp) if stamp != expected => self.report.mixed_use += 1,
                Some(_) => {}
            }
            found += 1;
        }
        found.min(run.prefixes.len())
    }

    /// Spends a step's prefill budget on the most urgent streams first.
    fn prefill(&mut self, step: Duration) {
        let mut budget = self.config.prefill_tokens_per_s * step.as_secs_f64();
        for stream in self.urgent_first(|run| matches!(run.phase, StreamPhase::Prefill(_))) {
            let Some(run) = self.streams.get_mut(&stream) else {
                continue;
            };
            let StreamPhase::Prefill(left) = &mut run.phase else {
                continue;
            };
            let spent = left.min(budget);
            *left -= spent;
            budget -= spent;
            if *left <= 0.0 {
                run.phase = StreamPhase::Decode;
                self.cache_run(&stream);
            }
        }
    }

    /// Puts the pieces of a prefilled stream into the cache.
    fn cache_run(&mut self, stream: &str) {
        let Some(run) = self.streams.get(stream) else {
            return;
        };
        let length = self.config.piece_bytes;
        let keys = run.body.pieces.iter().take(run.prefixes.len());
        let pieces: Vec<_> = keys
            .enumerate()
            .map(|(i, key)| (key.clone(), piece_bytes(&run.stamp(i), length)))
            .collect();
        for (key, bytes) in pieces {
            self.add_piece(&key, bytes);
        }
    }

    /// Adds one piece to the cache and publishes what changed.
    pub(crate) fn add_piece(&mut self, key: &str, bytes: Vec<u8>) {
        if self.cache.touch(key).is_some() {
            return;
        }
        self.publish(key, true);
        for key in self.cache.insert(key, bytes) {
            self.publish(&key, false);
        }
    }

    /// Empties the cache.
    pub(crate) fn evict(&mut self) {
        for key in self.cache.clear() {
            self.publish(&key, false);
        }
    }

    /// Adds one token to every decoding stream.
    fn decode(&mut self, now: Instant) {
        for run in self.streams.values_mut() {
            if run.phase != StreamPhase::Decode {
                continue;
            }
            run.made += 1;
            if run.made >= run.answer.len() {
                run.made = run.answer.len();
                run.phase = StreamPhase::Ended;
                run.ended = Some(now);
            }
        }
    }

    /// Gives up a stream; one that has ended stays as it is.
    pub(crate) fn cancel(&mut self, stream: &str) -> bool {
        let Some(run) = self.streams.get_mut(stream) else {
            return false;
        };
        if run.phase != StreamPhase::Ended {
            run.phase = StreamPhase::Cancelled;
            run.ended = Some(Instant::now());
        }
        true
    }

    /// Queues a cache event, unless a gap swallows it.
    fn publish(&mut self, key: &str, added: bool) {
        self.count += 1;
        let gap = self.config.event_gap_every;
        if gap > 0 && self.count.is_multiple_of(gap) {
            return;
        }
        let event = CacheEvent {
            seq: self.count,
            at: Instant::now(),
            key: key.to_owned(),
            added,
        };
        self.events.push_back(event);
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// The events after `seq` that are old enough to be published.
    pub(crate) fn events_after(&self, seq: u64) -> Value {
        let lag = Duration::from_millis(self.config.event_lag_ms);
        let due = self.events.iter();
        let due = due.filter(|event| event.seq > seq && event.at.elapsed() >= lag);
        let lines: Vec<_> = due
            .map(|e| json!({"seq": e.seq, "key": e.key, "added": e.added}))
            .collect();
        json!({ "events": lines })
    }

    /// Notes the present load for later reports.
    fn sample_load(&mut self, now: Instant) {
        let load = self.load_now();
        self.loads.push_back((now, load));
        let lag = Duration::from_millis(self.config.load_lag_ms);
        while self.loads.len() > 1 && now.duration_since(self.loads[1].0) >= lag {
            self.loads.pop_front();
        }
    }

    /// The load as it is.
    fn load_now(&self) -> Value {
        let count = |wanted: fn(&StreamRun) -> bool| {
            let runs = self.streams.values();
            runs.filter(|run| wanted(run)).count()
        };
        let backlog: f64 = self
            .streams
            .values()
            .map(|run| match run.phase {
                StreamPhase::Prefill(left) => left,
                StreamPhase::Queued => run.prompt_tokens as f64,
                _ => 0.0,
            })
            .sum();
        let loading = self.loading.as_ref().map(|(_, _, version)| version);
        json!({"running": count(StreamRun::is_running),
               "queued": count(|run| run.phase == StreamPhase::Queued),
               "prefill_tokens": backlog as u64, "model": self.model,
               "version": self.version, "loading": loading, "adapters": self.adapters,
               "role": self.role, "fence": self.fence, "leaving": self.leaving})
    }

    /// The load as it was some time ago.
    pub(crate) fn load_report(&self) -> Value {
        match self.loads.front() {
            Some((_, load)) if self.config.load_lag_ms > 0 => load.clone(),
            _ => self.load_now(),
        }
    }
}
