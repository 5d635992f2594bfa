//! A stand-in for a kept-cache store.
//!
//! Pieces lie in slots of two tiers behind one limited link. The store is as
//! careless as a real one may be: a read looks its slot up once and then copies
//! what lies there, a freed slot keeps its bytes, a read by a name that is gone
//! finds the slot that the key last had, and after a restart generations count
//! from one again. docs/TARGETS.md has the protocol.

use crate::{
    serve::{reply, serve_forever, HttpCall, HttpServer},
    store_slots::{PieceName, SlotStore},
};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};
use tiny_http::{Request, Response};

/// Bytes moved over the link at a time.
const LINK_CHUNK: usize = 4096;

/// Settings of a store stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Slots in memory.
    pub memory_slots: usize,
    /// Slots on disk.
    pub disk_slots: usize,
    /// Time that a read from disk takes beyond the link, in milliseconds.
    pub disk_ms: u64,
    /// Bytes a second over the link, zero for no bound.
    pub link_bytes_per_s: u64,
    /// Whether a full store drops its least recently used piece by itself.
    pub evicts: bool,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            memory_slots: 64,
            disk_slots: 256,
            disk_ms: 2,
            link_bytes_per_s: 0,
            evicts: true,
        }
    }
}

/// What goes wrong with transfers until it is set back.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// Reads and writes stop half way until the fault is set back.
    Hang,
    /// Writes end half way and say that all was well.
    HalfWrite,
}

/// What the store holds.
struct StoreState {
    slots: SlotStore,
    fault: StoreFault,
    hung: usize,
    link_bytes_per_s: u64,
    link_free: Instant,
    bytes_moved: u64,
}

/// The state and the signal that it changed.
struct StoreShared {
    state: Mutex<StoreState>,
    changed: Condvar,
    disk_ms: u64,
}

impl StoreShared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while transfers hang.
    fn wait_fault(&self) {
        let mut state = self.lock();
        state.hung += 1;
        while state.fault == StoreFault::Hang {
            let waited = self.changed.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        state.hung -= 1;
    }

    /// Takes `count` bytes of the link's time.
    fn use_link(&self, count: usize) {
        let mut state = self.lock();
        state.bytes_moved += count as u64;
        if state.link_bytes_per_s == 0 {
            return;
        }
        let time = Duration::from_secs_f64(count as f64 / state.link_bytes_per_s as f64);
        let until = state.link_free.max(Instant::now()) + time;
        state.link_free = until;
        drop(state);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// A running store stand-in; dropping it stops it.
pub struct StoreServer {
    shared: Arc<StoreShared>,
    server: HttpServer,
}

impl StoreServer {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(config: &StoreConfig) -> io::Result<Self> {
        let state = StoreState {
            slots: SlotStore::new(config.memory_slots, config.disk_slots, config.evicts),
            fault: StoreFault::None,
            hung: 0,
            link_bytes_per_s: config.link_bytes_per_s,
            link_free: Instant::now(),
            bytes_moved: 0,
        };
        let shared = Arc::new(StoreShared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            disk_ms: config.disk_ms,
        });
        let handling = Arc::clone(&shared);
        let server = HttpServer::start(config.listen, move |call, request| {
            handle(&handling, &call, request);
        })?;
        Ok(Self { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Makes transfers go wrong from now on, or right again.
    pub fn inject(&self, fault: StoreFault) {
        self.shared.lock().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Transfers that hang.
    pub fn hung(&self) -> usize {
        self.shared.lock().hung
    }

    /// Bytes moved over the link so far.
    pub fn bytes_moved(&self) -> u64 {
        self.shared.lock().bytes_moved
    }

    /// Frees every piece at once, as a store does that lost its index.
    pub fn free_all(&self) {
        self.shared.lock().slots.free_all();
    }

    /// Restarts: memory is lost, disk stays, generations count from one again.
    pub fn restart(&self) {
        self.shared.lock().slots.restart();
    }
}

/// Runs a store until the process ends, having printed its address.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn run_store(config: &StoreConfig) -> io::Result<()> {
    let server = StoreServer::start(config)?;
    serve_forever(server.address())
}

/// The name in the path and query of a transfer.
fn name_in(call: &HttpCall, key: &str) -> PieceName {
    PieceName {
        key: key.to_owned(),
        nonce: call.number("nonce").unwrap_or(0),
        generation: call.number("generation").unwrap_or(0),
    }
}

/// Answers one request.
fn handle(shared: &StoreShared, call: &HttpCall, request: Request) {
    let parts: Vec<_> = call.path.trim_matches('/').split('/').collect();
    let body = call.json();
    let (status, body) = match (call.method.as_str(), parts.as_slice()) {
        ("PUT", ["v1", "pieces", key]) => write_piece(shared, &name_in(call, key), &call.body),
        ("GET", ["v1", "pieces", key]) => match read_piece(shared, &name_in(call, key)) {
            Some(bytes) => {
                request.respond(Response::from_data(bytes)).ok();
                return;
            }
            None => (404, json!({"verdict": "not_run", "reason": "unknown"})),
        },
        ("POST", ["v1", verb]) => command(&mut shared.lock().slots, verb, &body),
        ("GET", ["admin", "report"]) => {
            let state = shared.lock();
            (
                200,
                json!({"bytes_moved": state.bytes_moved, "pieces": state.slots.count()}),
            )
        }
        ("POST", ["admin", verb]) => administer(shared, verb, &body),
        _ => (404, json!({"verdict": "not_run", "reason": "unknown"})),
    };
    reply(request, status, &body);
}

/// Writes a piece into its slot, chunk by chunk.
fn write_piece(shared: &StoreShared, name: &PieceName, bytes: &[u8]) -> (u16, Value) {
    let Some(slot) = shared.lock().slots.slot_for_write(name) else {
        return (404, json!({"verdict": "not_run", "reason": "unknown"}));
    };
    for (i, chunk) in bytes.chunks(LINK_CHUNK).enumerate() {
        let offset = i * LINK_CHUNK;
        let half_way = offset >= bytes.len() / 2;
        if half_way {
            shared.wait_fault();
        }
        if half_way && shared.lock().fault == StoreFault::HalfWrite {
            break;
        }
        shared.use_link(chunk.len());
        shared.lock().slots.write_slot(slot, offset, chunk);
    }
    shared.lock().slots.set_length(name, bytes.len());
    (200, json!({}))
}

/// Copies what lies in the slot of a name, chunk by chunk.
fn read_piece(shared: &StoreShared, name: &PieceName) -> Option<Vec<u8>> {
    let place = shared.lock().slots.slot_for_read(name)?;
    if place.on_disk {
        thread::sleep(Duration::from_millis(shared.disk_ms));
    }
    let mut bytes = Vec::with_capacity(place.length);
    while bytes.len() < place.length {
        if bytes.len() >= place.length / 2 {
            shared.wait_fault();
        }
        let count = LINK_CHUNK.min(place.length - bytes.len());
        shared.use_link(count);
        let state = shared.lock();
        let chunk = state.slots.read_slot(place.slot, bytes.len(), count);
        bytes.extend_from_slice(&chunk);
    }
    Some(bytes)
}

/// Carries out one command on names.
fn command(slots: &mut SlotStore, verb: &str, body: &Value) -> (u16, Value) {
    let names: Vec<PieceName> = serde_json::from_value(body["pieces"].clone()).unwrap_or_default();
    let each = |done: &mut dyn FnMut(&PieceName) -> bool| {
        names.iter().filter(|name| done(name)).cloned().collect()
    };
    let done: Vec<PieceName> = match verb {
        "find" => {
            let keys: Vec<String> =
                serde_json::from_value(body["keys"].clone()).unwrap_or_default();
            let found: Vec<_> = keys.iter().filter_map(|key| slots.find(key)).collect();
            return (
                200,
                json!({"incarnation": slots.incarnation(), "pieces": found}),
            );
        }
        "confirm" => {
            let found: Vec<_> = names
                .iter()
                .filter_map(|name| slots.confirm(name))
                .collect();
            return (
                200,
                json!({"incarnation": slots.incarnation(), "pieces": found}),
            );
        }
        "reserve" => {
            let key = body["key"].as_str().unwrap_or_default();
            let nonce = body["nonce"].as_u64().unwrap_or(0);
            return match slots.reserve(key, nonce) {
                Ok(generation) => (200, json!({ "generation": generation })),
                Err(reason) => (409, json!({"verdict": "not_run", "reason": reason})),
            };
        }
        "seal" => {
            let Ok(name) = serde_json::from_value::<PieceName>(body["piece"].clone()) else {
                return (400, json!({"verdict": "not_run", "reason": "failed"}));
            };
            return match slots.seal(&name, &body["seal"]) {
                Some(seal) => (200, seal),
                None => (409, json!({"verdict": "not_run", "reason": "failed"})),
            };
        }
        "retire" => each(&mut |name| slots.retire(name)),
        "free" => each(&mut |name| slots.free(name)),
        _ => return (404, json!({"verdict": "not_run", "reason": "unknown"})),
    };
    (200, json!({ "pieces": done }))
}

/// Serves the tests' own calls.
fn administer(shared: &StoreShared, verb: &str, body: &Value) -> (u16, Value) {
    let mut state = shared.lock();
    match verb {
        "restart" => state.slots.restart(),
        "free_all" => state.slots.free_all(),
        "fault" => state.fault = serde_json::from_value(body["fault"].clone()).unwrap_or_default(),
        "link" => state.link_bytes_per_s = body["bytes_per_s"].as_u64().unwrap_or(0),
        _ => return (404, json!({})),
    }
    drop(state);
    shared.changed.notify_all();
    (200, json!({}))
}
