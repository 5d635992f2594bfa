//! Small stand-ins: the platform's store, runners, and callers.

#![allow(dead_code, clippy::unwrap_used)]

use berylmount_fleet::{
    ListenAddresses, MachineLimits, ProcessSettings, RuleBounds, StoreEndpoint,
};
use berylmount_gateway::Gateway;
use berylmount_telemetry::MetricSet;
use serde_json::{json, Value};
use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};
use tiny_http::{Header, Method, Request, Response, Server};

/// Longest wait for a condition.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until `holds`.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Kind, name, revision, value; deleted ones have no value.
    objects: Vec<(String, String, u64, Option<Value>)>,
    /// Kinds of the watches that came.
    watches: Vec<String>,
    /// Whether all calls are refused.
    is_refusing: bool,
    /// The revision before which no history is kept.
    kept_from: u64,
    /// Watches whose history was gone.
    gone: usize,
}

/// The platform's store in memory.
#[derive(Clone)]
pub(crate) struct StandinStore {
    pub(crate) address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl StandinStore {
    pub(crate) fn start() -> Self {
        let server = Server::http(any_port()).unwrap();
        let address = server.server_addr().to_ip().unwrap();
        let store = Self {
            address,
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for request in server.incoming_requests() {
                let store = serving.clone();
                thread::spawn(move || store.answer(request));
            }
        });
        store
    }

    /// Writes an object as an operator or runner does.
    pub(crate) fn put(&self, kind: &str, name: &str, value: Option<Value>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.objects.retain(|(k, n, _, _)| k != kind || n != name);
        state
            .objects
            .push((kind.into(), name.into(), revision, value));
        changed.notify_all();
        revision
    }

    /// The value of an object.
    pub(crate) fn value(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.0.lock().unwrap();
        let mut objects = state.objects.iter();
        objects
            .find(|(k, n, _, _)| k == kind && n == name)?
            .3
            .clone()
    }

    fn answer(&self, mut request: Request) {
        let mut body = String::new();
        request.as_reader().read_to_string(&mut body).unwrap();
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let parts: Vec<&str> = path
            .trim_start_matches("/berylmount/objects/")
            .split('/')
            .collect();
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let is_refusing = self.state.0.lock().unwrap().is_refusing;
        let (status, value) = match (request.method(), parts.as_slice()) {
            _ if is_refusing => (503, Value::Null),
            (Method::Get, [kind]) => match field("Watch") {
                Some(since) => self.watch(kind, since.parse().unwrap(), &field("WaitMs").unwrap()),
                None => self.list(kind),
            },
            (Method::Get, [kind, name]) => self.get(kind, name),
            (Method::Post, [kind]) => {
                let object: Value = serde_json::from_str(&body).unwrap();
                let name = object["Metadata"]["Name"].as_str().unwrap().to_owned();
                self.write(kind, &name, Some(0), Some(object["Spec"].clone()))
            }
            (Method::Put, [kind, name]) => {
                let object: Value = serde_json::from_str(&body).unwrap();
                let expected = object["Metadata"]["Revision"].as_u64();
                self.write(kind, name, expected, Some(object["Spec"].clone()))
            }
            (Method::Delete, [kind, name]) => {
                let expected = field("Revision").and_then(|text| text.parse().ok());
                self.write(kind, name, expected, None)
            }
            _ => (404, Value::Null),
        };
        let header = Header::from_bytes("content-type", "application/json").unwrap();
        let response = Response::from_string(value.to_string()).with_header(header);
        let _ = request.respond(response.with_status_code(status));
    }

    fn object(name: &str, revision: u64, value: &Option<Value>) -> Value {
        json!({"Metadata": {"Name": name, "Revision": revision}, "Spec": value})
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let state = self.state.0.lock().unwrap();
        let live = state
            .objects
            .iter()
            .filter(|(k, _, _, value)| k == kind && value.is_some());
        let items: Vec<Value> = live.map(|(_, n, r, v)| Self::object(n, *r, v)).collect();
        (
            200,
            json!({"items": items, "HasMore": false, "AtRev": state.revision}),
        )
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Value) {
        let state = self.state.0.lock().unwrap();
        let mut objects = state.objects.iter();
        match objects.find(|(k, n, _, value)| k == kind && n == name && value.is_some()) {
            Some((_, name, revision, value)) => (200, Self::object(name, *revision, value)),
            None => (404, Value::Null),
        }
    }

    /// Refuses all calls, or takes them again.
    pub(crate) fn refuse(&self, is_refusing: bool) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_refusing = is_refusing;
        changed.notify_all();
    }

    /// Forgets the history of all changes so far.
    pub(crate) fn forget_history(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.kept_from = state.revision;
    }

    /// How many watches came whose history was gone.
    pub(crate) fn gone(&self) -> usize {
        self.state.0.lock().unwrap().gone
    }

    /// How many watches of a kind came.
    pub(crate) fn watches(&self, kind: &str) -> usize {
        let watches = &self.state.0.lock().unwrap().watches;
        watches.iter().filter(|watched| *watched == kind).count()
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: &str) -> (u16, Value) {
        let wait = Duration::from_millis(wait_ms.parse().unwrap());
        let (state, changed) = &*self.state;
        let has_news = |state: &mut StoreState| {
            !state
                .objects
                .iter()
                .any(|(k, _, revision, _)| k == kind && *revision > since)
        };
        let mut state = state.lock().unwrap();
        state.watches.push(kind.to_owned());
        if since < state.kept_from {
            state.gone += 1;
            return (410, Value::Null);
        }
        let waits = |state: &mut StoreState| !state.is_refusing && has_news(state);
        let (state, _) = changed.wait_timeout_while(state, wait, waits).unwrap();
        if state.is_refusing {
            return (503, Value::Null);
        }
        let newer = state
            .objects
            .iter()
            .filter(|(k, _, revision, _)| k == kind && *revision > since);
        let events: Vec<Value> = newer
            .map(|(_, name, revision, value)| {
                let object = Self::object(name, *revision, value);
                json!({"Deleted": value.is_none(), "Object": object})
            })
            .collect();
        (200, json!({"Events": events, "AtRev": state.revision}))
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        value: Option<Value>,
    ) -> (u16, Value) {
        let current = match self.get(kind, name) {
            (200, object) => object["Metadata"]["Revision"].as_u64().unwrap(),
            _ => 0,
        };
        if expected.is_some_and(|expected| expected != current) {
            return (409, self.get(kind, name).1);
        }
        let revision = self.put(kind, name, value.clone());
        (200, Self::object(name, revision, &value))
    }
}

/// What a runner does after its answer.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AfterAnswer {
    Keep,
    Close,
    /// Sends nothing further and keeps the connection open.
    Hang,
}

/// A runner that answers as a script says.
#[derive(Clone)]
pub(crate) struct StandinRunner {
    pub(crate) address: SocketAddr,
    /// Whole requests that arrived.
    pub(crate) requests: Arc<Mutex<Vec<String>>>,
    /// Connections that callers closed.
    pub(crate) closed: Arc<Mutex<u32>>,
    /// Connections that callers opened.
    pub(crate) opened: Arc<Mutex<u32>>,
}

impl StandinRunner {
    /// Starts a runner; `script` sees the request and its number.
    pub(crate) fn start(
        script: impl Fn(&str, usize) -> (Vec<u8>, AfterAnswer) + Send + Sync + 'static,
    ) -> Self {
        Self::serving(move |runner, socket| {
            let request = read_message(socket)?;
            let number = runner.note(&request);
            let (answer, after) = script(&request, number);
            socket.write_all(&answer).ok()?;
            Some(after)
        })
    }

    /// Starts a runner that sees only a request's head, and reads no body.
    pub(crate) fn start_with(
        script: impl Fn(&mut TcpStream, &str) -> AfterAnswer + Send + Sync + 'static,
    ) -> Self {
        Self::serving(move |runner, socket| {
            let head = read_head(socket)?;
            runner.note(&head);
            Some(script(socket, &head))
        })
    }

    /// Starts a runner; `step` serves one request of a connection, `None` at its end.
    fn serving(
        step: impl Fn(&Self, &mut TcpStream) -> Option<AfterAnswer> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(any_port()).unwrap();
        let runner = Self {
            address: listener.local_addr().unwrap(),
            requests: Arc::default(),
            closed: Arc::default(),
            opened: Arc::default(),
        };
        let (serving, step) = (runner.clone(), Arc::new(step));
        thread::spawn(move || {
            for socket in listener.incoming() {
                let (runner, step) = (serving.clone(), step.clone());
                let mut socket = socket.unwrap();
                *runner.opened.lock().unwrap() += 1;
                thread::spawn(move || {
                    while let Some(after) = step(&runner, &mut socket) {
                        match after {
                            AfterAnswer::Keep => {}
                            AfterAnswer::Close => return,
                            AfterAnswer::Hang => break,
                        }
                    }
                    runner.await_end(&mut socket);
                });
            }
        });
        runner
    }

    /// Notes a request; returns its number.
    fn note(&self, request: &str) -> usize {
        let mut requests = self.requests.lock().unwrap();
        requests.push(request.to_owned());
        requests.len() - 1
    }

    /// Waits until the caller closes the connection.
    fn await_end(&self, socket: &mut TcpStream) {
        let mut rest = [0u8; 64];
        while matches!(socket.read(&mut rest), Ok(length) if length > 0) {}
        *self.closed.lock().unwrap() += 1;
    }

    pub(crate) fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    /// The entry with which it registers.
    pub(crate) fn entry(&self, service: &str, state: &str) -> Value {
        json!({
            "Service": service, "Address": self.address.to_string(), "Zone": "north",
            "Version": "v1", "Slots": 8, "State": state, "Models": [{"Name": "m", "Version": 1}],
            "born": 1,
        })
    }
}

/// Reads a message's head; `None` at the end of the connection.
fn read_head(socket: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0u8; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        match socket.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8(bytes).unwrap())
}

/// Reads a message with a length, as text; `None` at the end of the connection.
pub(crate) fn read_message(socket: &mut TcpStream) -> Option<String> {
    let head = read_head(socket)?;
    let length = header(&head, "content-length").map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0u8; length];
    socket.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).unwrap())
}

/// A header of a message.
pub(crate) fn header(message: &str, name: &str) -> Option<String> {
    let lines = message.lines().take_while(|line| !line.is_empty());
    let mut pairs = lines.filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim().to_owned())
}

/// A whole answer of a runner to `request`.
pub(crate) fn answer_to(request: &str, status: &str, body: &str) -> Vec<u8> {
    let id = header(request, "berylmount-request-id").unwrap_or_default();
    answer_with_id(&id, status, body)
}

/// A whole answer of a runner to the request with `id`.
pub(crate) fn answer_with_id(id: &str, status: &str, body: &str) -> Vec<u8> {
    let stamp = "berylmount-response-stamp: s\r\n";
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nberylmount-request-id: {id}\r\n{stamp}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// The start of a stream of events in answer to `request`.
pub(crate) fn stream_to(request: &str, chunks: &[&str], ends: bool) -> Vec<u8> {
    let id = header(request, "berylmount-request-id").unwrap_or_default();
    let mut answer = format!(
        "HTTP/1.1 200 OK\r\nberylmount-request-id: {id}\r\nberylmount-response-stamp: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    for chunk in chunks {
        answer += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
    }
    if ends {
        answer += "0\r\n\r\n";
    }
    answer.into_bytes()
}

/// A route of the table.
pub(crate) fn route(path: &str, kind: &str, attempts: u32, resumable: bool) -> Value {
    json!({
        "Name": path, "Host": "a.example", "PathPrefix": path, "RouteKind": kind,
        "TimeoutMs": 3000, "TargetLatencyMs": 400, "Priority": 1, "Service": "svc",
        "MaxAttempts": attempts, "Public": false, "StickySessions": false,
        "Resumable": resumable, "TargetGapMs": 300,
    })
}

/// A table with routes of every kind.
pub(crate) fn table(version: u64, routes: Vec<Value>) -> Value {
    json!({
        "Version": version, "Routes": routes,
        "Services": [{"Name": "svc", "HealthPath": "/h", "MaxConnections": 50, "Protocol": "h1"}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "t1", "ApiKeys": ["k1"], "Isolated": false}],
    })
}

/// Routes of every kind.
pub(crate) fn all_routes() -> Vec<Value> {
    vec![
        route("/safe/", "safe", 2, false),
        route("/unsafe/", "unsafe", 2, false),
        route("/once/", "unsafe", 1, false),
        route("/stream/", "streaming", 2, false),
        route("/resume/", "streaming", 2, true),
    ]
}

/// Settings of an instance that uses `store`.
pub(crate) fn settings(name: &str, store: SocketAddr) -> ProcessSettings {
    ProcessSettings {
        name: name.to_owned(),
        data_centre: "north".to_owned(),
        listen: ListenAddresses {
            callers: any_port(),
            ready: any_port(),
            locate: Some(any_port()),
        },
        contacts: Vec::new(),
        peer_ports: 0..=0,
        store: StoreEndpoint {
            address: store,
            writes_per_s: 400.0,
            reads_per_s: 2000.0,
        },
        machine: MachineLimits {
            millicores: 250,
            link_mbps: 1000,
            memory_bytes: 128 << 20,
            descriptors: 4000,
        },
        bounds: RuleBounds {
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            table_apply: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            lease: Duration::from_secs(3),
            weights_apply: Duration::from_secs(15),
            locate_ttl: Duration::from_secs(5),
        },
    }
}

/// A running gateway with its store.
pub(crate) struct Served {
    pub(crate) store: StandinStore,
    pub(crate) settings: ProcessSettings,
}

impl Served {
    /// Starts a gateway whose store holds a table and these runners.
    pub(crate) fn start(runners: &[(&str, &StandinRunner)]) -> Self {
        let store = StandinStore::start();
        store.put("config", "main", Some(table(1, all_routes())));
        for (id, runner) in runners {
            store.put("servers", id, Some(runner.entry("svc", "ready")));
        }
        let served = Self::start_with(store, "i1");
        served.wait_ready();
        served.wait_status("GET /safe/warm", "200", runners.is_empty());
        served
    }

    pub(crate) fn start_with(store: StandinStore, name: &str) -> Self {
        let settings = settings(name, store.address);
        Self::start_as(store, settings)
    }

    pub(crate) fn start_as(store: StandinStore, settings: ProcessSettings) -> Self {
        let metrics = Arc::new(MetricSet::new().unwrap());
        let gateway = Gateway::bind(settings, metrics).unwrap();
        let settings = gateway.settings().clone();
        thread::spawn(move || gateway.run().unwrap());
        Self { store, settings }
    }

    pub(crate) fn wait_ready(&self) {
        wait_until("ready", || {
            let answer = ask(
                self.settings.listen.ready,
                "GET /berylmount/ready HTTP/1.1\r\n\r\n",
            );
            answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
        });
    }

    /// Repeats a request until its answer has `status`.
    pub(crate) fn wait_status(&self, line: &str, status: &str, is_optional: bool) {
        if is_optional {
            return;
        }
        wait_until(status, || {
            let answer = self.call(line, "warm", "", "");
            answer.is_some_and(|answer| answer.starts_with(&format!("HTTP/1.1 {status}")))
        });
    }

    /// Sends a request with the customer's key; returns the whole answer.
    pub(crate) fn call(&self, line: &str, id: &str, headers: &str, body: &str) -> Option<String> {
        let length = body.len();
        ask(
            self.settings.listen.callers,
            &format!(
                "{line} HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: {id}\r\n\
                 Berylmount-Deadline-Ms: 2500\r\nAuthorization: Token k1\r\n\
                 Content-Length: {length}\r\n{headers}\r\n{body}"
            ),
        )
    }
}

/// Sends a request, and reads its answer up to its end.
pub(crate) fn ask(address: SocketAddr, request: &str) -> Option<String> {
    let mut socket = TcpStream::connect(address).ok()?;
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    socket.write_all(request.as_bytes()).ok()?;
    read_answer(&mut socket)
}

/// Reads an answer with a length or in chunks; a chunked one that breaks off is
/// marked.
pub(crate) fn read_answer(socket: &mut TcpStream) -> Option<String> {
    let head = read_head(socket)?;
    let mut byte = [0u8; 1];
    if let Some(length) = header(&head, "content-length") {
        let mut body = vec![0u8; length.parse().unwrap()];
        socket.read_exact(&mut body).ok()?;
        return Some(head + &String::from_utf8(body).unwrap());
    }
    let mut body = Vec::new();
    while !body.ends_with(b"0\r\n\r\n") {
        match socket.read(&mut byte) {
            Ok(1) => body.push(byte[0]),
            _ => return Some(head + &String::from_utf8(body).unwrap() + "<broken off>"),
        }
    }
    Some(head + &String::from_utf8(body).unwrap())
}
