//! Stand-in of a runner: a model engine, or a plain service if it has no models.

use crate::{
    http::{respond, serve, Request},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Interval of the entries in the store, `HeartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Duration of a load of weights.
const LOAD_TIME: Duration = Duration::from_millis(800);
/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(10);

/// A part of a prompt in a runner's memory.
#[derive(Clone, Debug)]
struct CachedPart {
    /// Tenant whose request made it, and the id of that request.
    tenant: String,
    request: String,
    version: u64,
}

#[derive(Default)]
struct EngineState {
    /// Name and version of each model.
    models: Vec<(String, u64)>,
    /// Number of orders that were accepted.
    orders: u64,
    /// Model whose weights are being loaded.
    loading: Option<String>,
    running: HashMap<String, u32>,
    beats: u64,
    /// By model, salt and part.
    cache: HashMap<(String, String, String), CachedPart>,
}

/// One use of cached memory.
#[derive(Clone, Debug)]
pub struct CacheUse {
    pub request: String,
    pub tenant: String,
    pub maker: String,
}

/// A runner; clones share its state.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born: u64,
    state: Arc<Mutex<EngineState>>,
    /// All uses of cached memory.
    pub uses: Arc<Mutex<Vec<CacheUse>>>,
    /// Ids of the requests that were run.
    pub runs: Arc<Mutex<Vec<String>>>,
    /// Share of the plain requests that fail with 503 after they were run.
    failing: Arc<Mutex<f64>>,
    /// Runners by address, to copy memory from.
    fleet: Fleet,
    record: Record,
}

/// The runners by address.
pub type Fleet = Arc<Mutex<HashMap<String, Engine>>>;

impl Engine {
    /// Starts a runner, which registers itself in the store.
    pub fn start(
        (id, service, address): (&str, &str, SocketAddr),
        models: &[(&str, u64)],
        store: &Store,
        fleet: &Fleet,
        record: &Record,
    ) -> io::Result<Self> {
        let models = models.iter().map(|(name, version)| ((*name).to_owned(), *version));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            born,
            state: Arc::new(Mutex::new(EngineState { models: models.collect(), ..EngineState::default() })),
            uses: Arc::default(),
            runs: Arc::default(),
            failing: Arc::default(),
            fleet: fleet.clone(),
            record: record.clone(),
        };
        fleet.lock().unwrap().insert(address.to_string(), engine.clone());
        let serving = engine.clone();
        serve(TcpListener::bind(address)?, move |request, socket| serving.answer(request, socket));
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || loop {
            store.put("servers", &beating.id, Some(beating.entry()));
            thread::sleep(HEARTBEAT);
        });
        Ok(engine)
    }

    fn models(state: &EngineState) -> Json {
        let models = state.models.iter().map(|(name, version)| {
            map! {"Name": name.clone(), "Version": *version, "Adapters": Vec::new()}
        });
        Json::List(models.collect())
    }

    fn entry(&self) -> Json {
        let mut state = self.state.lock().unwrap();
        state.beats += 1;
        map! {
            "Service": self.service.clone(), "Address": self.address.to_string(), "Zone": "ridge-north",
            "Version": "v1", "Slots": 128u64, "State": "ready", "ColdRemainingMs": 0u64,
            "Stage": "colocated", "Models": Self::models(&state), "Sequence": state.beats,
            "born": self.born,
        }
    }

    /// Returns the version of a model.
    pub fn version(&self, model: &str) -> u64 {
        let state = self.state.lock().unwrap();
        let mut models = state.models.iter();
        models.find(|(name, _)| name == model).map_or(0, |(_, version)| *version)
    }

    /// Returns the number of accepted orders.
    pub fn orders(&self) -> u64 {
        self.state.lock().unwrap().orders
    }

    fn answer(&self, request: &Request, socket: &mut TcpStream) -> io::Result<bool> {
        let json = [("Content-Type", "application/json")];
        match (request.method.as_str(), request.path()) {
            ("GET", "/berylmount/report") => {
                let state = self.state.lock().unwrap();
                let running: u32 = state.running.values().sum();
                let report = map! {
                    "Stage": "colocated", "Models": Self::models(&state),
                    "Busy": state.loading.is_some(), "Sequence": state.orders, "Queued": 0u64,
                    "Running": u64::from(running), "KvUsed": 0u64, "KvTotal": 213_382u64,
                    "KvHandles": 0u64, "born": self.born,
                };
                drop(state);
                respond(socket, 200, &json, report.text().as_bytes())?;
            }
            ("POST", "/berylmount/order") => {
                let (status, text) = self.take_order(request);
                respond(socket, status, &json, text.as_bytes())?;
            }
            ("GET", "/berylmount/kv-events") | ("GET", "/berylmount/kv-list") => {
                let answer = map! {
                    "BootEpoch": self.born, "NextToken": 1u64, "GapDetected": false,
                    "Events": Vec::new(), "Retained": Vec::new(),
                };
                respond(socket, 200, &json, answer.text().as_bytes())?;
            }
            ("GET", "/health") => {
                let headers = [("Berylmount-Instance-Id", self.id.as_str()), ("Berylmount-Instance-Load", "0,0,128")];
                respond(socket, 200, &headers, b"")?;
            }
            _ => return self.run(request, socket),
        }
        Ok(true)
    }

    /// Fails a share of the plain requests from now on, after they were run.
    pub fn fail_late(&self, share: f64) {
        *self.failing.lock().unwrap() = share;
    }

    /// Answers an order for other weights.
    fn take_order(&self, request: &Request) -> (u16, &'static str) {
        if request.header("Berylmount-Expect-Instance").is_some_and(|id| id != self.id) {
            return (421, "{}");
        }
        let order = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let model = order.get("Model").as_str().unwrap_or_default().to_owned();
        let version = order.get("Version").as_u64().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let sequence = state.orders;
        if order.get("Holder").as_str().is_none() || order.get("FencingToken").as_u64().is_none() {
            return (400, "{}");
        }
        if state.loading.is_some() || order.get("Precondition").as_u64().is_some_and(|n| n != sequence) {
            return (409, "{}");
        }
        let Some(known) = state.models.iter().position(|(name, _)| *name == model) else {
            return (400, "{}");
        };
        if state.models[known].1 == version {
            return (200, "{}");
        }
        state.orders += 1;
        state.loading = Some(model.clone());
        drop(state);
        self.record.note(&format!("runner {} accepts the order: {model} to version {version}", self.id));
        let engine = self.clone();
        thread::spawn(move || {
            // Runs of the model finish first.
            while engine.state.lock().unwrap().running.get(&model).is_some_and(|count| *count > 0) {
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(LOAD_TIME);
            let mut state = engine.state.lock().unwrap();
            state.models[known].1 = version;
            state.loading = None;
            state.cache.retain(|(cached, _, _), _| *cached != model);
            drop(state);
            engine.record.note(&format!("runner {} has {model} version {version}", engine.id));
        });
        (202, "{}")
    }

    /// Runs a request, or says that it has not run it.
    fn run(&self, request: &Request, socket: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("Berylmount-Request-Id").unwrap_or_default().to_owned();
        let named = [
            ("Berylmount-Request-Id", id.as_str()),
            ("Berylmount-Instance-Id", self.id.as_str()),
            ("Berylmount-Not-Executed", "1"),
        ];
        if request.header("Berylmount-Expect-Instance").is_some_and(|expected| expected != self.id) {
            respond(socket, 421, &named, b"")?;
            return Ok(true);
        }
        let model = request.header("Berylmount-Model").unwrap_or_default().to_owned();
        let expected = request.header("Berylmount-Expect-Version").and_then(|text| text.parse().ok());
        let stamp = format!("{}.{id}", self.id);
        let version = {
            let mut state = self.state.lock().unwrap();
            let found = state.models.iter().find(|(name, _)| *name == model);
            let version = found.map_or(0, |(_, version)| *version);
            if expected.is_some_and(|expected: u64| expected != version) {
                drop(state);
                self.record.note(&format!(
                    "runner {} turns {id} away: {model} version {expected:?} is expected, it has {version}", self.id
                ));
                respond(socket, 421, &named, b"")?;
                return Ok(true);
            }
            if state.loading.as_ref() == Some(&model) && !model.is_empty() {
                drop(state);
                respond(socket, 503, &named, b"")?;
                return Ok(true);
            }
            *state.running.entry(model.clone()).or_default() += 1;
            version
        };
        let result = match model.is_empty() {
            true => self.answer_plain(request, socket, &id, &stamp),
            false => self.stream(request, socket, (&id, &stamp), (&model, version)),
        };
        let mut state = self.state.lock().unwrap();
        if let Some(count) = state.running.get_mut(&model) {
            *count -= 1;
        }
        drop(state);
        result.map(|()| true)
    }

    fn answer_plain(&self, request: &Request, socket: &mut TcpStream, id: &str, stamp: &str) -> io::Result<()> {
        thread::sleep(Duration::from_millis(20));
        let count = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(id.to_owned());
            runs.len()
        };
        let share = *self.failing.lock().unwrap();
        let fails = (count as f64 * share).floor() > ((count - 1) as f64 * share).floor();
        let headers = [
            ("Berylmount-Request-Id", id),
            ("Berylmount-Response-Stamp", stamp),
            ("Berylmount-Instance-Load", "1,0,128"),
        ];
        let body = format!("answer to {id}");
        if fails {
            self.record.note(&format!("runner {}: {id} has run and fails with 503", self.id));
            return respond(socket, 503, &headers, b"failed");
        }
        match request.method.as_str() {
            // No body follows, but the length is that of the body of a GET.
            "HEAD" => {
                let mut text = "HTTP/1.1 200 OK\r\n".to_owned();
                for (name, value) in headers {
                    text += &format!("{name}: {value}\r\n");
                }
                text += &format!("Content-Length: {}\r\n\r\n", body.len());
                socket.write_all(text.as_bytes())
            }
            _ => respond(socket, 200, &headers, body.as_bytes()),
        }
    }

    fn stream(
        &self,
        request: &Request,
        socket: &mut TcpStream,
        (id, stamp): (&str, &str),
        (model, version): (&str, u64),
    ) -> io::Result<()> {
        self.read_prompt(request, id, model, version);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBerylmount-Request-Id: {id}\r\n\
             Berylmount-Response-Stamp: {stamp}\r\nBerylmount-Weight-Versions: {version}\r\n\
             Berylmount-Instance-Load: 1,0,128\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        socket.write_all(head.as_bytes())?;
        let first: u64 = request.header("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0);
        for event in first + 1..=5 {
            thread::sleep(EVENT_GAP);
            let text = format!("id: {event}\ndata: token {event} of {id}\n\n");
            socket.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        socket.write_all(b"0\r\n\r\n")
    }

    /// Reads the parts of a prompt: those at the start that are cached under the request's salt
    /// are used, the others are prefilled and cached.
    fn read_prompt(&self, request: &Request, id: &str, model: &str, version: u64) {
        let salt = request.header("Berylmount-Cache-Salt").unwrap_or_default().to_owned();
        let tenant = request.header("Berylmount-Tenant").unwrap_or_default().to_owned();
        let prefix = request.header("Berylmount-Prompt-Prefix").unwrap_or_default();
        let sources = request.header("Berylmount-Kv-Fetch").unwrap_or_default();
        let sources: Vec<&str> = sources.split(',').collect();
        let mut is_prefix = true;
        for (index, entry) in prefix.split(',').enumerate() {
            let part = entry.split(':').next().unwrap_or_default().trim().to_owned();
            let key = (model.to_owned(), salt.clone(), part.clone());
            let source = match sources.len() {
                1 => sources[0],
                _ => sources.get(index).copied().unwrap_or_default(),
            };
            let source = source.split('/').next().unwrap_or_default();
            let own = self.state.lock().unwrap().cache.get(&key).cloned();
            let known = own.or_else(|| {
                let source = self.fleet.lock().unwrap().get(source).cloned()?;
                let state = source.state.lock().unwrap();
                state.cache.get(&key).cloned()
            });
            match known.filter(|_| is_prefix) {
                Some(cached) => {
                    self.record.note(&format!(
                        "runner {}: {id} of tenant {tenant} uses part {part} (salt {salt:?}) that {} of tenant {} made at version {}",
                        self.id, cached.request, cached.tenant, cached.version
                    ));
                    self.uses.lock().unwrap().push(CacheUse {
                        request: id.to_owned(),
                        tenant: tenant.clone(),
                        maker: cached.tenant.clone(),
                    });
                    self.state.lock().unwrap().cache.insert(key, cached);
                }
                None => {
                    is_prefix = false;
                    self.record.note(&format!("runner {}: {id} of tenant {tenant} reads part {part} (salt {salt:?})", self.id));
                    let made = CachedPart { tenant: tenant.clone(), request: id.to_owned(), version };
                    self.state.lock().unwrap().cache.insert(key, made);
                }
            }
        }
    }
}
