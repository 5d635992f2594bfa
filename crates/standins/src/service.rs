//! A stand-in for a plain service, some of whose calls may not be repeated.
//!
//! It runs every call that reaches it, counts the runs of each key, and can be
//! told to be slow, fail before or after the run, or lose the answer.

use crate::serve::{reply, serve_forever, HttpCall, HttpServer};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};
use tiny_http::Request;

/// Settings of a service stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Whether it tells the outcome of a key.
    pub look_up: bool,
    /// Time that a call takes, in milliseconds.
    pub call_ms: u64,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            look_up: true,
            call_ms: 0,
        }
    }
}

/// What goes wrong with the next calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    /// Nothing.
    #[default]
    None,
    /// The call fails and is not run.
    FailBefore,
    /// The call is run and fails.
    FailAfter,
    /// The call is run and its answer lost.
    DropAnswer,
}

/// One key's runs and answer.
#[derive(Clone, Debug, Default)]
struct KeyRuns {
    runs: u64,
    answer: Value,
}

/// What the service holds.
#[derive(Debug, Default)]
struct ServiceState {
    keys: BTreeMap<String, KeyRuns>,
    call_ms: u64,
    fault: ServiceFault,
    faults_left: u64,
    leaving: bool,
    look_up: bool,
}

/// A running service stand-in; dropping it stops it.
pub struct ServiceServer {
    state: Arc<Mutex<ServiceState>>,
    server: HttpServer,
}

impl ServiceServer {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub fn start(config: &ServiceConfig) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(ServiceState {
            call_ms: config.call_ms,
            look_up: config.look_up,
            ..ServiceState::default()
        }));
        let handling = Arc::clone(&state);
        let server = HttpServer::start(config.listen, move |call, request| {
            handle(&handling, &call, request);
        })?;
        Ok(Self { state, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// How often the call with `key` ran.
    pub fn runs(&self, key: &str) -> u64 {
        let state = lock(&self.state);
        state.keys.get(key).map_or(0, |runs| runs.runs)
    }

    /// How often calls ran, over all keys.
    pub fn total_runs(&self) -> u64 {
        let state = lock(&self.state);
        state.keys.values().map(|runs| runs.runs).sum()
    }

    /// Makes the next `count` calls go wrong.
    pub fn inject(&self, fault: ServiceFault, count: u64) {
        let mut state = lock(&self.state);
        (state.fault, state.faults_left) = (fault, count);
    }

    /// Whether calls are refused because the instance leaves.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }
}

/// Runs a service until the process ends, having printed its address.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn run_service(config: &ServiceConfig) -> io::Result<()> {
    let server = ServiceServer::start(config)?;
    serve_forever(server.address())
}

/// Locks the state.
fn lock(state: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes the fault of the next call.
fn take_fault(state: &mut ServiceState) -> ServiceFault {
    if state.faults_left == 0 {
        return ServiceFault::None;
    }
    state.faults_left -= 1;
    state.fault
}

/// Answers one request.
fn handle(shared: &Mutex<ServiceState>, call: &HttpCall, request: Request) {
    let parts: Vec<_> = call.path.trim_matches('/').split('/').collect();
    let (status, body) = match (call.method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "calls", key]) => {
            match run_call(shared, &key.replace("%2F", "/"), &call.json()) {
                Some(answer) => answer,
                // Dropping the request would answer it with an error, so the writer goes unused.
                None => return drop(request.into_writer()),
            }
        }
        ("GET", ["v1", "calls", key]) => look_up(&lock(shared), &key.replace("%2F", "/")),
        ("GET", ["v1", "reads", ..]) => (200, json!({ "path": call.path })),
        ("GET", ["admin", "report"]) => (200, report(&lock(shared))),
        ("POST", ["admin", "set"]) => (200, set(&mut lock(shared), &call.json())),
        _ => (404, json!({"verdict": "not_run", "reason": "unknown"})),
    };
    reply(request, status, &body);
}

/// Runs a call; no answer stands for a lost one.
fn run_call(shared: &Mutex<ServiceState>, key: &str, body: &Value) -> Option<(u16, Value)> {
    let refused = |reason| Some((503, json!({"verdict": "not_run", "reason": reason})));
    let (fault, call_ms) = {
        let mut state = lock(shared);
        if state.leaving {
            return refused("leaving");
        }
        (take_fault(&mut state), state.call_ms)
    };
    if fault == ServiceFault::FailBefore {
        return refused("failed");
    }
    thread::sleep(Duration::from_millis(call_ms));
    let mut state = lock(shared);
    let entry = state.keys.entry(key.to_owned()).or_default();
    entry.runs += 1;
    entry.answer = json!({"key": key, "run": entry.runs, "echo": body});
    match fault {
        ServiceFault::DropAnswer => None,
        ServiceFault::FailAfter => Some((500, json!({"reason": "failed"}))),
        _ => Some((200, entry.answer.clone())),
    }
}

/// Tells the outcome of a key.
fn look_up(state: &ServiceState, key: &str) -> (u16, Value) {
    if !state.look_up {
        return (501, json!({"reason": "no_look_up"}));
    }
    match state.keys.get(key) {
        Some(runs) => (200, json!({"found": true, "answer": runs.answer})),
        None => (200, json!({"found": false})),
    }
}

/// The runs of every key.
fn report(state: &ServiceState) -> Value {
    let runs = state.keys.iter();
    let runs: BTreeMap<_, _> = runs.map(|(key, runs)| (key, runs.runs)).collect();
    json!({ "runs": runs })
}

/// Changes how the service behaves.
fn set(state: &mut ServiceState, body: &Value) -> Value {
    if let Some(call_ms) = body["call_ms"].as_u64() {
        state.call_ms = call_ms;
    }
    if let Some(leaving) = body["leaving"].as_bool() {
        state.leaving = leaving;
    }
    if let Ok(fault) = serde_json::from_value(body["fault"].clone()) {
        state.fault = fault;
        state.faults_left = body["count"].as_u64().unwrap_or(1);
    }
    json!({})
}
