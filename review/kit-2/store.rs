//! The platform's metadata store, as PROTOCOL.md describes it.

use crate::{
    http::{read_message, response, Message},
    json::Json,
    record::Record,
};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone, Debug, Default)]
struct StoreState {
    revision: u64,
    /// Kind, name, revision of the last change, and the content; deleted ones have none.
    objects: Vec<(String, String, u64, Option<Json>)>,
}

/// A store with its listener.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
    is_down: Arc<Mutex<bool>>,
    name: &'static str,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, name: &'static str, record: &Record) -> Self {
        let state = StoreState {
            revision: 1,
            ..StoreState::default()
        };
        Self::serve(
            address,
            Arc::new((Mutex::new(state), Condvar::new())),
            name,
            record,
        )
    }

    /// Starts a store with the same objects at another address. The two change separately.
    pub fn copy(&self, address: SocketAddr, name: &'static str) -> Self {
        let state = self.state.0.lock().unwrap().clone();
        Self::serve(
            address,
            Arc::new((Mutex::new(state), Condvar::new())),
            name,
            &self.record,
        )
    }

    fn serve(
        address: SocketAddr,
        state: Arc<(Mutex<StoreState>, Condvar)>,
        name: &'static str,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("an address for the store");
        let store = Self {
            address: listener.local_addr().expect("the address of the store"),
            state,
            sockets: Arc::default(),
            is_down: Arc::default(),
            name,
            record: record.clone(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if *serving.is_down.lock().unwrap() {
                    continue;
                }
                serving
                    .sockets
                    .lock()
                    .unwrap()
                    .push(socket.try_clone().unwrap());
                let store = serving.clone();
                thread::spawn(move || store.serve_connection(socket));
            }
        });
        store
    }

    /// Takes no more calls, and closes all connections.
    pub fn stop(&self) {
        *self.is_down.lock().unwrap() = true;
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Writes an object as the operator or a runner does.
    pub fn put(&self, kind: &str, name: &str, content: &str) {
        let content = Json::parse(content).expect("an object as JSON");
        let (state, changed) = &*self.state;
        state.lock().unwrap().set(kind, name, Some(content));
        changed.notify_all();
    }

    fn serve_connection(&self, socket: TcpStream) {
        let Ok(mut writer) = socket.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(socket);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let text = response(status, "Content-Type: application/json\r\n", &body.print());
            if *self.is_down.lock().unwrap() || writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Json) {
        let (method, target) = request.request_line();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/berylmount/objects/").unwrap_or("");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let fields: Vec<(&str, &str)> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let field = |name: &str| fields.iter().find(|(known, _)| *known == name).map(|f| f.1);
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        if method != "GET" {
            let store = self.name;
            self.record.note(&format!("{store} gets {method} {target}"));
        }
        match method {
            "GET" if name.is_empty() => match number("Watch") {
                Some(since) => self.watch(kind, since, number("WaitMs").unwrap_or(0)),
                None => ("200 OK", self.list(kind, field("after").unwrap_or(""))),
            },
            "GET" => match self.state.0.lock().unwrap().find(kind, name) {
                Some((revision, Some(content))) => ("200 OK", object(name, revision, &content)),
                _ => ("404 Not Found", Json::Null),
            },
            _ => self.change(method, kind, name, number("Revision"), &request.body),
        }
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let state = self.state.0.lock().unwrap();
        let found = state
            .objects
            .iter()
            .filter(|(k, n, _, c)| k == kind && &n[..] > after && c.is_some());
        let mut items: Vec<(String, Json)> = found
            .map(|(_, name, revision, content)| {
                let content = content.clone().unwrap_or(Json::Null);
                (name.clone(), object(name, *revision, &content))
            })
            .collect();
        items.sort_by(|a, b| a.0.cmp(&b.0));
        map([
            (
                "items",
                Json::List(items.into_iter().map(|(_, item)| item).collect()),
            ),
            ("HasMore", Json::Bool(false)),
            ("AtRev", Json::Number(state.revision.to_string())),
        ])
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (&'static str, Json) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if since > state.revision {
            return ("410 Gone", Json::Null);
        }
        loop {
            let mut found: Vec<_> = state
                .objects
                .iter()
                .filter(|(k, _, r, _)| k == kind && *r > since)
                .collect();
            found.sort_by_key(|(_, _, revision, _)| *revision);
            let events = found.iter().map(|(_, name, revision, content)| {
                let is_deleted = content.is_none();
                let content = content.clone().unwrap_or(Json::Null);
                map([
                    ("Object", object(name, *revision, &content)),
                    ("Deleted", Json::Bool(is_deleted)),
                ])
            });
            let events: Vec<Json> = events.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = Json::Number(state.revision.to_string());
                return (
                    "200 OK",
                    map([("Events", Json::List(events)), ("AtRev", revision)]),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(
        &self,
        method: &str,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        body: &str,
    ) -> (&'static str, Json) {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let metadata = body.get("Metadata").cloned().unwrap_or(Json::Null);
        let named = metadata
            .get("Name")
            .and_then(Json::text)
            .unwrap_or(name)
            .to_owned();
        let name = if name.is_empty() {
            named
        } else {
            name.to_owned()
        };
        let expected = expected.or(metadata.get("Revision").and_then(Json::number));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let known = state
            .find(kind, &name)
            .and_then(|(revision, c)| Some((revision, c?)));
        match (&known, method) {
            (Some((revision, content)), "POST") => {
                return ("409 Conflict", object(&name, *revision, content));
            }
            (None, "PUT" | "DELETE") => return ("404 Not Found", Json::Null),
            (Some((revision, content)), _) if expected.is_some_and(|r| r != *revision) => {
                return ("409 Conflict", object(&name, *revision, content));
            }
            _ => {}
        }
        let content = body.get("Spec").cloned().unwrap_or(Json::Null);
        if let Some((revision, known)) = &known {
            if method == "PUT" && *known == content {
                return ("200 OK", object(&name, *revision, known));
            }
        }
        let stored = (method != "DELETE").then(|| content.clone());
        let revision = state.set(kind, &name, stored);
        changed.notify_all();
        ("200 OK", object(&name, revision, &content))
    }
}

impl StoreState {
    fn find(&self, kind: &str, name: &str) -> Option<(u64, Option<Json>)> {
        let found = self
            .objects
            .iter()
            .find(|(k, n, _, _)| k == kind && n == name)?;
        Some((found.2, found.3.clone()))
    }

    fn set(&mut self, kind: &str, name: &str, content: Option<Json>) -> u64 {
        self.revision += 1;
        self.objects.retain(|(k, n, _, _)| k != kind || n != name);
        self.objects
            .push((kind.to_owned(), name.to_owned(), self.revision, content));
        self.revision
    }
}

fn object(name: &str, revision: u64, content: &Json) -> Json {
    let metadata = map([
        ("Name", Json::Text(name.to_owned())),
        ("Revision", Json::Number(revision.to_string())),
        ("DeletionPending", Json::Bool(false)),
    ]);
    map([
        ("Metadata", metadata),
        ("Spec", content.clone()),
        ("Status", Json::Null),
    ])
}

fn map<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value));
    Json::Map(BTreeMap::from_iter(fields))
}
