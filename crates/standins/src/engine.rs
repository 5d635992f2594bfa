//! A stand-in for a model engine.
//!
//! It batches continuously, caches prompt prefixes in limited memory, honours
//! priorities, keeps streams for resuming, moves kept cache to and from a
//! store, and reports load and cache events late. docs/TARGETS.md has the
//! protocol. Answers follow from the prompt alone ([`expected_tokens`]), and
//! `GET /admin/report` tells of every use of a piece that was wrong.
//!
//! [`expected_tokens`]: crate::expected_tokens

use crate::{
    engine_batch::{EngineState, StreamBody, StreamPhase},
    engine_cache::piece_bytes,
    engine_transfer::{commit, export, import},
    serve::{reply, serve_forever, HttpCall, HttpServer, LineStream},
};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use tiny_http::Request;

/// How often a stream without a token says that it still waits.
const WAITING_LINE: Duration = Duration::from_millis(250);

/// How often an idle engine looks at its clock.
const IDLE_STEP: Duration = Duration::from_millis(20);

/// Settings of an engine stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The model that is loaded at the start.
    pub model: String,
    /// The weight version that is loaded at the start.
    pub version: String,
    /// Prompt tokens computed a second, over all streams.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds of one step, which gives each decoding stream a token.
    pub decode_ms: f64,
    /// Streams that run at once.
    pub max_batch: usize,
    /// Pieces in the prefix cache.
    pub cache_pieces: usize,
    /// Bytes of one piece.
    pub piece_bytes: usize,
    /// Age of a load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Age at which a cache event is published, in milliseconds.
    pub event_lag_ms: u64,
    /// Every how manieth cache event is lost; zero for none.
    pub event_gap_every: u64,
    /// How long an ended stream can be resumed, in milliseconds.
    pub hold_ms: u64,
    /// Time to load weights, in milliseconds.
    pub load_ms: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model: "blaze".to_owned(),
            version: "v1".to_owned(),
            prefill_tokens_per_s: 200_000.0,
            decode_ms: 2.0,
            max_batch: 32,
            cache_pieces: 64,
            piece_bytes: 16 * 1024,
            load_lag_ms: 0,
            event_lag_ms: 0,
            event_gap_every: 0,
            hold_ms: 60_000,
            load_ms: 20,
            checks_fencing: true,
        }
    }
}

/// The engine's state and the signal that it changed.
pub(crate) struct EngineShared {
    state: Mutex<EngineState>,
    changed: Condvar,
    stopping: AtomicBool,
}

impl EngineShared {
    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a change, or a little while.
    fn wait<'a>(&self, state: MutexGuard<'a, EngineState>) -> MutexGuard<'a, EngineState> {
        let waited = self.changed.wait_timeout(state, IDLE_STEP);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Locks the state once the engine is not silent.
    fn lock_awake(&self) -> MutexGuard<'_, EngineState> {
        let mut state = self.lock();
        while state.paused {
            state = self.wait(state);
        }
        state
    }
}

/// A running engine stand-in; dropping it stops it.
pub struct EngineServer {
    shared: Arc<EngineShared>,
    server: HttpServer,
    thread: Option<JoinHandle<()>>,
}

impl EngineServer {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(config: EngineConfig) -> io::Result<Self> {
        let listen = config.listen;
        let shared = Arc::new(EngineShared {
            state: Mutex::new(EngineState::new(config)),
            changed: Condvar::new(),
            stopping: AtomicBool::new(false),
        });
        let handling = Arc::clone(&shared);
        let server = HttpServer::start(listen, move |call, request| {
            handle(&handling, &call, request);
        })?;
        let stepping = Arc::clone(&shared);
        let thread = Some(thread::spawn(move || run_steps(&stepping)));
        Ok(Self {
            shared,
            server,
            thread,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What `GET /admin/report` answers.
    pub fn report(&self) -> Value {
        report(&self.shared.lock())
    }

    /// Drops the whole prefix cache.
    pub fn evict(&self) {
        self.shared.lock().evict();
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

/// Runs an engine until the process ends, having printed its address.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn run_engine(config: EngineConfig) -> io::Result<()> {
    let server = EngineServer::start(config)?;
    serve_forever(server.address())
}

/// Steps the batch for as long as the engine runs.
fn run_steps(shared: &EngineShared) {
    while !shared.stopping.load(Ordering::Relaxed) {
        let mut state = shared.lock();
        if state.paused || !state.is_busy() {
            state = shared.wait(state);
        }
        if state.paused {
            continue;
        }
        let step = Duration::from_secs_f64(state.config.decode_ms / 1000.0);
        state.step(step, Instant::now());
        let pause = if state.is_busy() {
            step.mul_f64(state.slow)
        } else {
            Duration::ZERO
        };
        drop(state);
        shared.changed.notify_all();
        thread::sleep(pause);
    }
}

/// Answers one request.
fn handle(shared: &EngineShared, call: &HttpCall, request: Request) {
    let parts: Vec<_> = call.path.trim_matches('/').split('/').collect();
    if parts.first() == Some(&"admin") {
        let (status, body) = administer(shared, call, parts.get(1).copied());
        return reply(request, status, &body);
    }
    let mut state = shared.lock_awake();
    let (status, body) = match (call.method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "streams"]) => {
            let Ok(body) = serde_json::from_slice::<StreamBody>(&call.body) else {
                drop(state);
                return reply(request, 400, &refusal("bad_request"));
            };
            let stream = body.stream.clone();
            match state.start(body) {
                Ok(()) => {
                    drop(state);
                    shared.changed.notify_all();
                    send_stream(shared, &stream, 0, request).ok();
                    return;
                }
                Err(reason) => (503, refusal(reason)),
            }
        }
        ("GET", ["v1", "streams", stream]) if state.streams.contains_key(*stream) => {
            drop(state);
            let offset = call.number("offset").unwrap_or(0);
            send_stream(shared, stream, offset as usize, request).ok();
            return;
        }
        ("DELETE", ["v1", "streams", stream]) if state.cancel(stream) => (200, json!({})),
        ("GET", ["v1", "load"]) => (200, state.load_report()),
        ("GET", ["v1", "events"]) => {
            let after = call.number("after").unwrap_or(0);
            (200, state.events_after(after))
        }
        ("POST", ["v1", "orders"]) => take_order(&mut state, &call.json()),
        ("POST", ["v1", "kv", verb]) => {
            drop(state);
            let body = match *verb {
                "export" => export(shared, &call.json()),
                "import" => import(shared, &call.json()),
                "commit" => commit(shared, &call.json()),
                _ => Value::Null,
            };
            return reply(request, 200, &body);
        }
        _ => (404, refusal("unknown")),
    };
    drop(state);
    reply(request, status, &body);
}

/// The body of a refusal of something that was not run.
fn refusal(reason: &str) -> Value {
    json!({"event": "error", "verdict": "not_run", "reason": reason})
}

/// Sends a stream's lines from `offset` on as they come.
fn send_stream(
    shared: &EngineShared,
    stream: &str,
    offset: usize,
    request: Request,
) -> io::Result<()> {
    let mut lines = LineStream::open(request)?;
    let mut sent = offset;
    let mut admitted = false;
    let mut spoken = Instant::now();
    loop {
        let mut due = Vec::new();
        let mut state = shared.lock_awake();
        let Some(run) = state.streams.get(stream) else {
            return Ok(());
        };
        let cancelled = run.phase == StreamPhase::Cancelled;
        if !admitted && !cancelled && run.phase != StreamPhase::Queued {
            due.push(run.admitted_line());
            admitted = true;
        }
        let fresh = run.answer.get(sent..run.made).unwrap_or_default();
        for text in fresh {
            due.push(json!({"event": "token", "offset": sent, "text": text}));
            sent += 1;
        }
        let ended = run.phase == StreamPhase::Ended;
        if ended {
            due.push(run.end_line());
        }
        if cancelled {
            due.push(json!({"event": "error", "verdict": "may_have_run", "reason": "cancelled"}));
        }
        if due.is_empty() && spoken.elapsed() >= WAITING_LINE {
            due.push(json!({"event": "waiting"}));
        }
        if due.is_empty() {
            state = shared.wait(state);
        } else {
            spoken = Instant::now();
        }
        drop(state);
        for line in due {
            lines.line(&line)?;
        }
        if ended || cancelled {
            return lines.finish();
        }
    }
}

/// Carries out an order for weights, an adapter or the role.
fn take_order(state: &mut EngineState, body: &Value) -> (u16, Value) {
    let fence = body["fence"].as_u64().unwrap_or(0);
    if fence < state.fence {
        if state.config.checks_fencing {
            let held = state.fence;
            let reason = "stale_fence";
            let body = json!({"verdict": "not_run", "reason": reason, "fence": held});
            return (409, body);
        }
        state.report.stale_orders += 1;
    }
    state.fence = state.fence.max(fence);
    let order = &body["order"];
    let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
    match order["kind"].as_str() {
        Some("load") => {
            let due = Instant::now() + Duration::from_millis(state.config.load_ms);
            state.loading = Some((due, text("model"), text("version")));
        }
        Some("adapter") => state.adapters.push(text("adapter")),
        Some("role") => state.role = text("role"),
        _ => return (400, refusal("bad_request")),
    }
    state.report.orders.push(body.clone());
    (200, json!({"applied": true, "fence": state.fence}))
}

/// What the engine saw, as JSON.
fn report(state: &EngineState) -> Value {
    let report = &state.report;
    json!({"mixed_use": report.mixed_use, "bad_reads": report.bad_reads,
           "prefilled": report.prefilled, "cached": report.cached, "runs": report.runs,
           "orders": report.orders, "stale_orders": report.stale_orders,
           "model": state.model, "version": state.version, "role": state.role})
}

/// Serves the tests' own calls.
fn administer(shared: &EngineShared, call: &HttpCall, verb: Option<&str>) -> (u16, Value) {
    let mut state = shared.lock();
    let body = call.json();
    match verb {
        Some("report") => return (200, report(&state)),
        Some("evict") => state.evict(),
        Some("slow") => state.slow = body["factor"].as_f64().unwrap_or(1.0),
        Some("leaving") => state.leaving = body["leaving"].as_bool().unwrap_or(true),
        Some("pause") => state.paused = body["paused"].as_bool().unwrap_or(true),
        Some("poison") => {
            // A piece of another scope under a given key, to show that the report sees it.
            let stamp = serde_json::from_value(body["stamp"].clone()).unwrap_or_default();
            let bytes = piece_bytes(&stamp, state.config.piece_bytes);
            let key = body["key"].as_str().unwrap_or_default();
            state.add_piece(key, bytes);
        }
        _ => return (404, refusal("unknown")),
    }
    drop(state);
    shared.changed.notify_all();
    (200, json!({}))
}
