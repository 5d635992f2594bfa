//! Stand-in of the platform's store, as PROTOCOL.md describes it.

use crate::{
    http::{respond, serve, Request},
    json::Json,
};
use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    /// `None` once the object was deleted.
    spec: Option<Json>,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
}

impl State {
    /// Returns an object that is not deleted.
    fn find(&self, kind: &str, name: &str) -> Option<&Object> {
        let mut live = self.objects.iter().filter(|o| o.spec.is_some());
        live.find(|o| o.kind == kind && o.name == name)
    }

    /// Writes an object. Returns its revision.
    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>) -> u64 {
        let found = self.objects.iter().position(|o| o.kind == kind && o.name == name);
        if let Some(index) = found {
            if self.objects[index].spec == spec {
                return self.objects[index].revision;
            }
            self.objects.remove(index);
        }
        self.revision += 1;
        let revision = self.revision;
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.objects.push(Object { kind, name, revision, spec });
        revision
    }
}

/// The store; clones share its state.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves the store at an address. It may be served at several addresses.
    pub fn listen(&self, address: SocketAddr) -> io::Result<()> {
        let store = self.clone();
        serve(TcpListener::bind(address)?, move |request, socket| store.answer(request, socket));
        Ok(())
    }

    /// Writes an object as the operator and the runners do. Returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Option<Json>) -> u64 {
        let mut state = self.0 .0.lock().unwrap();
        let revision = state.put(kind, name, spec);
        self.0 .1.notify_all();
        revision
    }

    fn encode(object: &Object) -> Json {
        map! {
            "Metadata": map! {
                "Name": object.name.clone(), "Revision": object.revision,
                "Finalizers": Vec::new(), "DeletionPending": false,
            },
            "Spec": object.spec.clone().unwrap_or(Json::Null),
            "Status": Json::Null,
        }
    }

    fn answer(&self, request: &Request, socket: &mut TcpStream) -> io::Result<bool> {
        let path = request.path().to_owned();
        let parts: Vec<String> = path
            .strip_prefix("/berylmount/objects/")
            .unwrap_or_default()
            .split('/')
            .map(crate::http::decode)
            .collect();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&text).unwrap_or(Json::Null);
        let spec = || Some(body.get("Spec").clone());
        let named = body.get("Metadata").get("Revision").as_u64();
        let (status, answer) = match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => match request.query("Watch").and_then(|text| text.parse().ok()) {
                Some(since) => self.watch(kind, since, request),
                None => self.list(kind, &request.query("after").unwrap_or_default()),
            },
            ("GET", [kind, name]) => match self.0 .0.lock().unwrap().find(kind, name) {
                Some(object) => (200, Self::encode(object)),
                None => (404, Json::Null),
            },
            ("POST", [kind]) => {
                let name = body.get("Metadata").get("Name").as_str().unwrap_or_default();
                self.write(kind, name, Some(0), spec())
            }
            ("PUT", [kind, name]) => self.write(kind, name, named, spec()),
            ("PUT", [_, _, "status"]) => (200, Json::Null),
            ("DELETE", [kind, name]) => {
                let revision = request.query("Revision").and_then(|text| text.parse().ok());
                self.write(kind, name, revision, None)
            }
            _ => (404, Json::Null),
        };
        let headers = [("Content-Type", "application/json")];
        respond(socket, status, &headers, answer.text().as_bytes())?;
        Ok(true)
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Json) {
        let state = self.0 .0.lock().unwrap();
        let live = state.objects.iter().filter(|o| o.kind == kind && o.spec.is_some());
        let mut live: Vec<&Object> = live.filter(|o| o.name.as_str() > after).collect();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        let items: Vec<Json> = live.into_iter().map(Self::encode).collect();
        (200, map! {"items": items, "HasMore": false, "AtRev": state.revision})
    }

    fn watch(&self, kind: &str, since: u64, request: &Request) -> (u16, Json) {
        let wait_ms = request.query("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0u64);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.0 .0.lock().unwrap();
        if since > state.revision {
            return (410, Json::Null);
        }
        loop {
            let newer = state.objects.iter().filter(|o| o.kind == kind && o.revision > since);
            let mut newer: Vec<Object> = newer.cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                newer.sort_by_key(|o| o.revision);
                let events = newer.iter().map(|object| {
                    map! {"Deleted": object.spec.is_none(), "Object": Self::encode(object)}
                });
                let events: Vec<Json> = events.collect();
                return (200, map! {"Events": events, "AtRev": state.revision});
            }
            state = self.0 .1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Writes an object if it has the expected revision; 0 stands for no object.
    fn write(&self, kind: &str, name: &str, expected: Option<u64>, spec: Option<Json>) -> (u16, Json) {
        let mut state = self.0 .0.lock().unwrap();
        let current = state.find(kind, name).map_or(0, |object| object.revision);
        if expected.unwrap_or(current) != current || (expected.is_none() && current == 0) {
            return match state.find(kind, name) {
                Some(object) => (409, Self::encode(object)),
                None => (404, Json::Null),
            };
        }
        state.put(kind, name, spec);
        self.0 .1.notify_all();
        (200, state.find(kind, name).map_or(Json::Null, Self::encode))
    }
}
