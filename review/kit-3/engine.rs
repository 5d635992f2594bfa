//! A stand-in of a model runner, with its cache of prompt parts.

use crate::{
    fleet::Record,
    http::{response, Message, Wire},
};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicU64, Ordering::SeqCst},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// A part of a prompt that the runner keeps.
#[derive(Clone, Debug, PartialEq)]
struct KeptPart {
    /// The text under which it is kept; an absent one is a text that all share.
    salt: Option<String>,
    model: String,
    id: String,
    /// The tenant whose request made it.
    tenant: String,
}

/// A part that a request used, which another tenant's request had made.
#[derive(Clone, Debug)]
pub struct ForeignUse {
    pub part: String,
    pub maker: String,
    pub user: String,
}

/// The runner.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub born_ms: u64,
    service: String,
    record: Record,
    kept: Arc<Mutex<Vec<KeptPart>>>,
    pub foreign: Arc<Mutex<Vec<ForeignUse>>>,
    pub runs: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
}

impl Engine {
    pub fn start(ip: Ipv4Addr, id: &str, service: &str, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            born_ms: now.map_or(0, |now| now.as_millis() as u64),
            service: service.to_owned(),
            record: record.clone(),
            kept: Arc::default(),
            foreign: Arc::default(),
            runs: Arc::default(),
            sequence: Arc::default(),
        };
        let served = engine.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let engine = served.clone();
                thread::spawn(move || {
                    let mut wire = Wire::new(socket);
                    while let Ok(Some(call)) = wire.message() {
                        if !call.is_whole || engine.serve(&mut wire, &call).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(engine)
    }

    /// The entry that the runner writes for itself.
    pub fn beat(&self, model: &str) -> String {
        let sequence = self.sequence.fetch_add(1, SeqCst);
        let Self { service, address, born_ms, .. } = self;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"ridge-north\",\
             \"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,\
             \"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"{model}\",\"Version\":1,\
             \"Adapters\":[]}}],\"Sequence\":{sequence},\"born\":{born_ms}}}"
        )
    }

    /// An entry of another writer for the runner, without some of the fields.
    pub fn foreign_entry(&self) -> String {
        let Self { service, address, .. } = self;
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"ridge-north\",\
             \"Slots\":8,\"State\":\"ready\"}}"
        )
    }

    fn serve(&self, wire: &mut Wire, call: &Message) -> std::io::Result<()> {
        let load = "Berylmount-Instance-Load: 1,0,8\r\n";
        if call.word(0) == "GET" && call.word(1).starts_with("/berylmount/report") {
            let body = format!(
                "{{\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\
                 \"Busy\":false,\"Sequence\":0,\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\
                 \"KvHandles\":0,\"born\":{}}}",
                self.born_ms
            );
            return wire.send(&response("200 OK", "Content-Type: application/json\r\n", &body));
        }
        if call.word(1) == "/health" {
            let id = format!("Berylmount-Instance-Id: {}\r\n{load}", self.id);
            return wire.send(&response("200 OK", &id, ""));
        }
        let own = format!("Berylmount-Instance-Id: {}\r\n", self.id);
        if call.header("berylmount-expect-instance").is_some_and(|id| id != self.id) {
            return wire.send(&response("421 Misdirected Request", &own, ""));
        }
        let request = call.header("berylmount-request-id").unwrap_or_default();
        let tenant = call.header("berylmount-tenant").unwrap_or_default();
        let model = call.header("berylmount-model").unwrap_or_default();
        let salt = call.header("berylmount-cache-salt").map(str::to_owned);
        let expected = call.header("berylmount-expect-version").unwrap_or("absent");
        self.runs.fetch_add(1, SeqCst);
        self.record.note(&format!(
            "runner {} runs request {request} of tenant {tenant}: Berylmount-Cache-Salt {}, \
             Berylmount-Expect-Version {expected}",
            self.id,
            salt.as_deref().unwrap_or("absent"),
        ));
        // The prompt is read.
        thread::sleep(Duration::from_millis(30));
        self.read_prompt(call, tenant, model, &salt);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Berylmount-Request-Id: {request}\r\nBerylmount-Response-Stamp: st.{request}\r\n\
             Berylmount-Weight-Versions: 1\r\n{load}\r\n"
        );
        wire.send(&head)?;
        for event in 1..=3 {
            let text = format!("id: {event}\ndata: token\n\n");
            wire.send(&format!("{:x}\r\n{text}\r\n", text.len()))?;
            thread::sleep(Duration::from_millis(10));
        }
        wire.send("0\r\n\r\n")
    }

    /// Uses the parts that are kept, from the first on, and keeps the others.
    fn read_prompt(&self, call: &Message, tenant: &str, model: &str, salt: &Option<String>) {
        let prefix = call.header("berylmount-prompt-prefix").unwrap_or_default();
        let mut kept = self.kept.lock().unwrap();
        let mut is_kept_so_far = true;
        for (id, _) in prefix.split(',').filter_map(|part| part.trim().split_once(':')) {
            let found = kept.iter().find(|k| k.salt == *salt && k.model == model && k.id == id);
            if let Some(found) = found.filter(|_| is_kept_so_far) {
                if found.tenant != tenant {
                    self.record.note(&format!(
                        "runner {}: the request of tenant {tenant} uses part {id}, which a request \
                         of tenant {} made",
                        self.id, found.tenant
                    ));
                    self.foreign.lock().unwrap().push(ForeignUse {
                        part: id.to_owned(),
                        maker: found.tenant.clone(),
                        user: tenant.to_owned(),
                    });
                }
                continue;
            }
            is_kept_so_far = false;
            kept.push(KeptPart {
                salt: salt.clone(),
                model: model.to_owned(),
                id: id.to_owned(),
                tenant: tenant.to_owned(),
            });
        }
    }
}
