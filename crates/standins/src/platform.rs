//! The platform's object API as an HTTP server with faults.
//!
//! Beside the API that `berylmount-objects` documents:
//!
//! - `PUT /admin/instances?lag_ms=N`: the list of instances, shown after the lag.
//! - `PUT /admin/faults`: a [`PlatformFaults`]; keys that are absent go back to none.
//! - `GET /admin/counts`: calls by kind.

use crate::{MemoryStore, WriteFault};
use berylmount_model::InstanceRecord;
use berylmount_objects::{CallKind, ObjectStore, StoreError, StoredObject, MAX_VALUE_BYTES};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};
use tiny_http::{Header, Method, Request, Response, Server};

/// The longest wait of one watch.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The kinds of call, in the order of the counts.
const CALL_KINDS: [CallKind; 6] = [
    CallKind::Get,
    CallKind::Put,
    CallKind::Delete,
    CallKind::Watch,
    CallKind::List,
    CallKind::Instances,
];

/// What goes wrong at the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with 503 and does nothing.
    pub outage: bool,
    /// Each call is held this long before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// So many writes take effect and are not answered.
    pub lose_answers: u32,
}

/// The platform stand-in.
///
/// It runs until the process ends, or until it is dropped.
#[derive(Clone)]
pub struct PlatformServer(Arc<ServerInner>);

struct ServerInner {
    server: Arc<Server>,
    address: SocketAddr,
    state: Arc<ServerState>,
}

#[derive(Default)]
struct ServerState {
    store: MemoryStore,
    slow_ms: AtomicU64,
}

impl Drop for ServerInner {
    fn drop(&mut self) {
        self.server.unblock();
    }
}

impl PlatformServer {
    /// Listens on `listen` and serves in the background.
    ///
    /// # Errors
    ///
    /// The address could not be bound.
    ///
    /// ```
    /// use berylmount_standins::PlatformServer;
    ///
    /// let server = PlatformServer::start("127.0.0.1:0".parse().unwrap()).unwrap();
    /// assert_ne!(server.address().port(), 0);
    /// ```
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let server = Arc::new(Server::http(listen).map_err(io::Error::other)?);
        let address = server.server_addr().to_ip().unwrap_or(listen);
        let state = Arc::new(ServerState::default());
        let (thread_server, thread_state) = (server.clone(), state.clone());
        thread::spawn(move || {
            while let Ok(request) = thread_server.recv() {
                let state = thread_state.clone();
                thread::spawn(move || state.serve(request));
            }
        });
        Ok(Self(Arc::new(ServerInner {
            server,
            address,
            state,
        })))
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// The objects, for tests in the same process.
    pub fn store(&self) -> &MemoryStore {
        &self.0.state.store
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.0.state.set_faults(faults);
    }
}

/// Serves the platform stand-in until the process ends.
///
/// # Errors
///
/// The address could not be bound.
pub fn run_platform(listen: SocketAddr) -> io::Result<()> {
    let server = PlatformServer::start(listen)?;
    println!("platform listens on {}", server.address());
    loop {
        thread::park();
    }
}

/// One answer: status, version, body.
type Answer = (u16, Option<u64>, Vec<u8>);

impl ServerState {
    fn set_faults(&self, faults: PlatformFaults) {
        self.slow_ms.store(faults.slow_ms, Ordering::Relaxed);
        self.store.set_outage(faults.outage);
        self.store.clear_write_faults();
        for _ in 0..faults.lose_answers {
            self.store.add_write_fault(WriteFault::LoseAnswer);
        }
    }

    fn serve(&self, mut request: Request) {
        let mut body = Vec::new();
        let bound = MAX_VALUE_BYTES as u64 + 1;
        let read = request.as_reader().take(bound).read_to_end(&mut body);
        // A sender that died leaves a shorter body, which the library takes for the end.
        let announced = request.body_length().unwrap_or(body.len());
        if read.is_err() || body.len() < announced.min(MAX_VALUE_BYTES) {
            return;
        }
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        if path.starts_with("/admin/") {
            let answer = self.admin(request.method(), path, query, &body);
            return respond(request, answer);
        }
        thread::sleep(Duration::from_millis(self.slow_ms.load(Ordering::Relaxed)));
        match self.api(&request, path, query, &body) {
            Ok(answer) => respond(request, answer),
            Err(StoreError::Unclear) => lose_answer(request),
            Err(StoreError::Conflict { current }) => respond(request, (412, Some(current), vec![])),
            Err(StoreError::NotFound) => respond(request, (404, None, vec![])),
            Err(StoreError::TooLarge) => respond(request, (413, None, vec![])),
            Err(StoreError::Unavailable) => respond(request, (503, None, vec![])),
            Err(StoreError::Malformed) => respond(request, (400, None, vec![])),
        }
    }

    fn api(
        &self,
        request: &Request,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> Result<Answer, StoreError> {
        if path == "/instances" {
            let known = known_version(request).unwrap_or(0);
            return Ok(match self.store.instances_after(known)? {
                Some(listing) => (200, Some(listing.version), to_json(&listing.records)),
                None => (304, None, vec![]),
            });
        }
        if path == "/objects" {
            let prefix = parameter(query, "prefix").unwrap_or("");
            return Ok((200, None, to_json(&self.store.list(prefix)?)));
        }
        let key = path
            .strip_prefix("/objects/")
            .ok_or(StoreError::Malformed)?;
        match request.method() {
            Method::Get if query.is_empty() => Ok(object_answer(self.store.get(key)?, 404)),
            Method::Get => self.watch(key, query),
            Method::Put => {
                let version = self.store.put(key, expected_version(request)?, body)?;
                Ok((200, Some(version), vec![]))
            }
            Method::Delete => {
                self.store.delete(key, expected_version(request)?)?;
                Ok((204, None, vec![]))
            }
            _ => Err(StoreError::Malformed),
        }
    }

    fn watch(&self, key: &str, query: &str) -> Result<Answer, StoreError> {
        let after = number(query, "after").ok_or(StoreError::Malformed)?;
        let wait = number(query, "wait_ms").ok_or(StoreError::Malformed)?;
        let wait = Duration::from_millis(wait).min(MAX_WAIT);
        Ok(object_answer(self.store.watch(key, after, wait)?, 204))
    }

    fn admin(&self, method: &Method, path: &str, query: &str, body: &[u8]) -> Answer {
        match (method, path) {
            (Method::Get, "/admin/counts") => {
                let counts = self.store.counts();
                let kinds = CALL_KINDS.iter();
                let counts = kinds.map(|&kind| (kind.to_string(), counts.calls(kind)));
                (200, None, to_json(&counts.collect::<BTreeMap<_, _>>()))
            }
            (Method::Put, "/admin/faults") => match serde_json::from_slice(body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    (204, None, vec![])
                }
                Err(error) => (400, None, error.to_string().into_bytes()),
            },
            (Method::Put, "/admin/instances") => {
                match serde_json::from_slice::<Vec<InstanceRecord>>(body) {
                    Ok(instances) => {
                        let lag = number(query, "lag_ms").unwrap_or(0);
                        thread::sleep(Duration::from_millis(lag));
                        self.store.set_instances(&instances);
                        (204, None, vec![])
                    }
                    Err(error) => (400, None, error.to_string().into_bytes()),
                }
            }
            _ => (404, None, vec![]),
        }
    }
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn object_answer(object: Option<StoredObject>, missing: u16) -> Answer {
    match object {
        Some(object) => (200, Some(object.version), object.value),
        None => (missing, None, vec![]),
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().map(|(_, value)| value)
}

fn number(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let mut headers = request.headers().iter().filter(|h| h.field.equiv(name));
    headers.next().map(|header| header.value.as_str())
}

fn known_version(request: &Request) -> Option<u64> {
    let tag = header(request, "If-None-Match")?;
    tag.trim_matches('"').parse().ok()
}

fn expected_version(request: &Request) -> Result<u64, StoreError> {
    if header(request, "If-None-Match") == Some("*") {
        return Ok(0);
    }
    let tag = header(request, "If-Match").ok_or(StoreError::Malformed)?;
    tag.trim_matches('"')
        .parse()
        .map_err(|_| StoreError::Malformed)
}

fn respond(request: Request, (status, version, body): Answer) {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Some(version) = version {
        let tag = format!("\"{version}\"");
        if let Ok(header) = Header::from_bytes("ETag", tag) {
            response.add_header(header);
        }
    }
    let _ = request.respond(response);
}

/// Breaks the exchange off in the status line; the server offers no plain close.
fn lose_answer(request: Request) {
    let mut writer = request.into_writer();
    let _ = writer.write_all(b"lost\r\n\r\n");
    let _ = writer.flush();
}
