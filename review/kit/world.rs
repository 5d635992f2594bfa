//! What the cases share: a small deployment, and consumers.

use crate::{
    engine::{Engine, Fleet},
    gateway::{Gateway, Net, Processes},
    http::{Conn, Response},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "pule25.example";
pub const ENGINES: &str = "huvo11a";
pub const PLAIN: &str = "kafi81c";

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

impl From<io::Error> for Verdict {
    fn from(error: io::Error) -> Self {
        Verdict::NotRun(error.to_string())
    }
}

/// A small deployment.
pub struct World {
    pub net: Net,
    pub store: Store,
    pub store_address: SocketAddr,
    pub fleet: Fleet,
    pub record: Record,
    pub processes: Processes,
    pub gateways: Vec<Gateway>,
    pub engines: Vec<Engine>,
    next_id: AtomicU64,
}

/// A request of a consumer.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub headers: Vec<(&'a str, String)>,
}

impl World {
    pub fn new(root: &Path, record: &Record, processes: &Processes) -> io::Result<Self> {
        if !root.join("target/release/berylmount").exists() {
            return Err(io::Error::other("target/release/berylmount is missing; run the build of the deploy file"));
        }
        let net = Net::choose();
        let (store, store_address) = (Store::default(), net.at(1, 8007));
        store.listen(store_address)?;
        Ok(Self {
            net,
            store,
            store_address,
            fleet: Fleet::default(),
            record: record.clone(),
            processes: processes.clone(),
            gateways: Vec::new(),
            engines: Vec::new(),
            next_id: AtomicU64::new(1),
        })
    }

    /// Starts runners of a service.
    pub fn start_engines(&mut self, service: &str, count: u8, models: &[(&str, u64)]) -> io::Result<()> {
        for number in 1..=count {
            let host = 100 + self.engines.len() as u8;
            let id = format!("i-{service}{number}");
            let place = (id.as_str(), service, self.net.at(host, 8080));
            let engine = Engine::start(place, models, &self.store, &self.fleet, &self.record)?;
            self.engines.push(engine);
        }
        Ok(())
    }

    /// Starts gateways and waits until all are ready.
    pub fn start_gateways(&mut self, count: u8) -> io::Result<()> {
        for number in 1..=count {
            let gateway = self.processes.start(self.net, number, count, self.store_address)?;
            self.gateways.push(gateway);
        }
        let until = Instant::now() + Duration::from_secs(15);
        for gateway in &self.gateways {
            while !is_ready(gateway) {
                if Instant::now() > until {
                    return Err(io::Error::other(format!("{} does not become ready", gateway.name)));
                }
                thread::sleep(Duration::from_millis(100));
            }
            self.record.note(&format!("{} is ready", gateway.name));
        }
        // Traffic starts 10 s after the machines do.
        thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    /// Writes a config, as the operator does.
    pub fn put_config(&self, config: &Json) -> Instant {
        self.store.put("config", "main", Some(config.clone()));
        let version = config.get("Version").as_u64().unwrap_or(0);
        self.record.note(&format!("the store acknowledges config {version}"));
        Instant::now()
    }

    /// Names new weights, as the operator does.
    pub fn name_weights(&self, model: &str, version: u64) -> Instant {
        let spec = map! {"Model": model, "Version": version};
        self.store.put("versions", model, Some(spec));
        self.record.note(&format!("the store acknowledges version {version} of {model}"));
        Instant::now()
    }

    /// Returns a new request id.
    pub fn new_id(&self) -> String {
        format!("{:016x}", 0x9c41_0000_0000_0000 + self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Opens a connection to a gateway.
    pub fn connect(&self, gateway: &Gateway, call: &Call<'_>) -> io::Result<Conn> {
        Conn::open(gateway.callers, Duration::from_millis(call.deadline_ms))
    }

    /// Sends a request with a body on a new connection and reads its answer.
    pub fn request_with(&self, gateway: &Gateway, call: &Call<'_>, body: &[u8]) -> io::Result<(String, Response)> {
        let mut conn = self.connect(gateway, call)?;
        let (id, head) = self.head(call, Some(body.len()));
        self.record.note(&format!("{id}: {} {} to {}, {} bytes", call.method, call.path, gateway.name, body.len()));
        io::Write::write_all(&mut conn.socket, head.as_bytes())?;
        io::Write::write_all(&mut conn.socket, body)?;
        let answer = conn.response(call.method);
        match &answer {
            Ok(answer) => self.note_answer(&id, answer),
            Err(error) => self.record.note(&format!("{id}: no answer: {error}")),
        }
        Ok((id, answer?))
    }

    /// Returns the head of a request with a new id.
    fn head(&self, call: &Call<'_>, length: Option<usize>) -> (String, String) {
        let id = self.new_id();
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nBerylmount-Request-Id: {id}\r\n\
             Berylmount-Deadline-Ms: {}\r\nAuthorization: Token {}\r\n",
            call.method, call.path, call.deadline_ms, call.key
        );
        for (name, value) in &call.headers {
            text += &format!("{name}: {value}\r\n");
        }
        if let Some(length) = length {
            text += &format!("Content-Length: {length}\r\n");
        }
        text += "\r\n";
        (id, text)
    }

    /// Sends a request on a connection. Returns its id.
    pub fn send(&self, conn: &mut Conn, gateway: &Gateway, call: &Call<'_>) -> io::Result<String> {
        let body = if call.method == "POST" { "work" } else { "" };
        let length = (!body.is_empty()).then_some(body.len());
        let (id, mut text) = self.head(call, length);
        text += body;
        io::Write::write_all(&mut conn.socket, text.as_bytes())?;
        self.record.note(&format!("{id}: {} {} to {}", call.method, call.path, gateway.name));
        Ok(id)
    }

    /// Sends a request on a new connection and reads its answer.
    pub fn request(&self, gateway: &Gateway, call: &Call<'_>) -> io::Result<(String, Response)> {
        let mut conn = self.connect(gateway, call)?;
        let id = self.send(&mut conn, gateway, call)?;
        let answer = conn.response(call.method);
        match &answer {
            Ok(answer) => self.note_answer(&id, answer),
            Err(error) => self.record.note(&format!("{id}: no answer: {error}")),
        }
        Ok((id, answer?))
    }

    pub fn note_answer(&self, id: &str, answer: &Response) {
        let text = answer.text();
        let text = if text.len() > 60 { format!("{} bytes", text.len()) } else { format!("{text:?}") };
        let retry = answer.header("Retry-After").map_or(String::new(), |value| format!(", Retry-After {value}"));
        let stamp = answer.header("Berylmount-Response-Stamp").unwrap_or("none");
        self.record.note(&format!("{id}: {:?}, stamp {stamp}, body {text}{retry}", answer.start));
    }

    /// Records the last lines of each gateway's log.
    pub fn note_logs(&self, filter: &[&str]) {
        for gateway in &self.gateways {
            let log = self.processes.log(gateway);
            let lines = log.lines().filter(|line| filter.iter().any(|word| line.contains(word)));
            for line in lines.take(40) {
                self.record.note(&format!("log of {}: {line}", gateway.name));
            }
        }
    }

    /// Checks that no gateway has ended by itself.
    pub fn check_alive(&self) -> Result<(), Verdict> {
        for gateway in &self.gateways {
            if let Some(status) = self.processes.ended(gateway.pid) {
                return Err(Verdict::NotRun(format!("{} ended: {status}", gateway.name)));
            }
        }
        Ok(())
    }
}

fn is_ready(gateway: &Gateway) -> bool {
    let ask = || -> io::Result<u16> {
        let mut conn = Conn::open(gateway.ready, Duration::from_secs(1))?;
        io::Write::write_all(&mut conn.socket, b"GET /berylmount/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        Ok(conn.response("GET")?.status)
    };
    ask().is_ok_and(|status| status == 200)
}

/// A tenant of a config.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
    pub is_isolated: bool,
}

/// Builds a config with a route to the engines, `/gen/`, and two to the plain service, `/plain/` (safe) and
/// `/order/` (unsafe).
pub fn config(version: u64, models: &[&str], tenants: &[Tenant<'_>]) -> Json {
    let route = |name: &str, path: &str, kind: &str, service: &str, timeout_ms: u64| {
        map! {
            "Name": name, "Host": HOST, "PathPrefix": path, "RouteKind": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": 400u64, "Priority": 1u64, "Service": service,
            "MaxAttempts": 2u64, "Public": false, "StickySessions": kind == "streaming",
            "Resumable": kind == "streaming", "TargetGapMs": 300u64,
        }
    };
    let models = models.iter().map(|name| map! {"Name": *name}).collect::<Vec<_>>();
    let tenants = tenants.iter().map(|tenant| {
        let keys: Vec<Json> = tenant.keys.iter().map(|key| Json::from(*key)).collect();
        map! {"Name": tenant.name, "ApiKeys": keys, "Isolated": tenant.is_isolated, "Priority": 1u64}
    });
    map! {
        "Version": version,
        "Routes": vec![
            route("r-gen", "/gen/", "streaming", ENGINES, 12_000),
            route("r-plain", "/plain/", "safe", PLAIN, 1_500),
            route("r-order", "/order/", "unsafe", PLAIN, 1_500),
        ],
        "Services": vec![
            map! {
                "Name": ENGINES, "HealthPath": "/health", "MaxConnections": 620u64, "Protocol": "h1",
                "Tls": false,
                "Engine": map! {
                    "Slots": 128u64, "KvCapacityTokens": 213_382u64, "KvTokenBytes": 18_432u64,
                    "LinkMbps": 180_000u64, "Managed": true, "MaxInflight": 12u64, "Models": models,
                },
            },
            map! {
                "Name": PLAIN, "HealthPath": "/health", "MaxConnections": 100u64, "Protocol": "h1",
                "Tls": false,
            },
        ],
        "Limits": map! {
            "MaxHeaderBytes": 16_384u64, "MaxBodyBytes": 4_194_304u64, "HeaderTimeoutMs": 3_000u64,
            "IdleTimeoutMs": 15_000u64,
        },
        "Tenants": tenants.collect::<Vec<_>>(),
    }
}

/// Builds a prompt's headers.
pub fn prompt(model: &str, parts: &[(&str, u64)]) -> Vec<(&'static str, String)> {
    let tokens: u64 = parts.iter().map(|(_, tokens)| tokens).sum();
    let listed: Vec<String> = parts.iter().map(|(id, tokens)| format!("{id}:{tokens}")).collect();
    vec![
        ("Berylmount-Model", model.to_owned()),
        ("Berylmount-Token-Usage", format!("{tokens},80")),
        ("Berylmount-Prompt-Prefix", listed.join(",")),
    ]
}
