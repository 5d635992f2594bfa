//! A stand-in of the platform's store: objects with revisions, lists and watches.

use crate::{
    http::{response, Message, Wire},
    json::Json,
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Content>, Condvar)>,
}

fn object_text(name: &str, object: &Object) -> String {
    let metadata = Json::Map(vec![
        ("Name".into(), Json::Text(name.into())),
        ("Revision".into(), Json::Number(object.revision.to_string())),
        ("Created".into(), Json::Number(object.created.to_string())),
        ("Finalizers".into(), Json::List(Vec::new())),
        ("DeletionPending".into(), Json::Bool(false)),
    ]);
    let object = Json::Map(vec![
        ("Metadata".into(), metadata),
        ("Spec".into(), object.spec.clone()),
        ("Status".into(), Json::Null),
    ]);
    object.encode()
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key) {
            if known.spec == spec {
                return known.clone();
            }
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |o| o.created);
        let object = Object {
            revision: self.revision,
            created,
            spec,
        };
        self.objects.insert(key, object.clone());
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            text: format!("{{\"Deleted\":false,\"Object\":{}}}", object_text(name, &object)),
        });
        object
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            self.events.push(Event {
                revision: self.revision,
                kind: kind.to_owned(),
                text: format!("{{\"Deleted\":true,\"Object\":{}}}", object_text(name, &object)),
            });
        }
    }
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            inner: Arc::new((Mutex::new(Content { revision: 10, ..Content::default() }), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut wire = Wire::new(socket);
                    while let Ok(Some(call)) = wire.message() {
                        let answer = store.answer(&call);
                        if wire.send(&answer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes as the operator, a runner or another writer does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("a spec is JSON");
        self.inner.0.lock().unwrap().put(kind, name, spec);
        self.inner.1.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.inner.0.lock().unwrap().delete(kind, name);
        self.inner.1.notify_all();
    }

    /// The names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let content = self.inner.0.lock().unwrap();
        let objects = content.objects.keys().filter(|(known, _)| known == kind);
        objects.map(|(_, name)| name.clone()).collect()
    }

    fn answer(&self, call: &Message) -> String {
        let json = "Content-Type: application/json\r\n";
        let (method, target) = (call.word(0), call.word(1));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let Some(rest) = path.strip_prefix("/berylmount/objects/") else {
            return response("404 Not Found", json, "{}");
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let body = Json::parse(&String::from_utf8_lossy(&call.body));
        let metadata = body.as_ref().and_then(|body| body.get("Metadata"));
        let revision = metadata.and_then(|m| m.get("Revision")).and_then(Json::number);
        let revision = revision.or(field("Revision").and_then(|text| text.parse().ok()));
        let spec = body.as_ref().and_then(|body| body.get("Spec")).cloned();
        let spec = spec.unwrap_or(Json::Null);
        let (lock, changed) = &*self.inner;
        let mut content = lock.lock().unwrap();
        match method {
            "GET" if name.is_empty() => {
                let Some(since) = field("Watch").and_then(|text| text.parse::<u64>().ok()) else {
                    let after = field("after").unwrap_or_default();
                    let objects = content.objects.iter();
                    let objects = objects.filter(|((k, n), _)| k == kind && *n > after);
                    let items: Vec<String> =
                        objects.map(|((_, n), object)| object_text(n, object)).collect();
                    let (items, at) = (items.join(","), content.revision);
                    let body = format!("{{\"items\":[{items}],\"HasMore\":false,\"AtRev\":{at}}}");
                    return response("200 OK", json, &body);
                };
                if since > content.revision {
                    return response("410 Gone", json, "{}");
                }
                let wait = field("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events = content.events.iter();
                    let events = events.filter(|e| e.revision > since && e.kind == kind);
                    let events: Vec<&str> = events.map(|event| event.text.as_str()).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, at) = (events.join(","), content.revision);
                        let body = format!("{{\"Events\":[{events}],\"AtRev\":{at}}}");
                        return response("200 OK", json, &body);
                    }
                    content = changed.wait_timeout(content, left).unwrap().0;
                }
            }
            "GET" => {
                let found = content.objects.get(&(kind.to_owned(), name.to_owned()));
                match found {
                    Some(object) => response("200 OK", json, &object_text(name, object)),
                    None => response("404 Not Found", json, "{}"),
                }
            }
            "POST" => {
                let name = metadata.and_then(|m| m.get("Name")).and_then(Json::text);
                let name = name.unwrap_or_default().to_owned();
                if let Some(known) = content.objects.get(&(kind.to_owned(), name.clone())) {
                    return response("409 Conflict", json, &object_text(&name, known));
                }
                let object = content.put(kind, &name, spec);
                changed.notify_all();
                response("200 OK", json, &object_text(&name, &object))
            }
            "PUT" | "DELETE" => {
                let Some(known) = content.objects.get(&(kind.to_owned(), name.to_owned())) else {
                    return response("404 Not Found", json, "{}");
                };
                if revision.is_some_and(|revision| revision != known.revision) {
                    return response("409 Conflict", json, &object_text(name, known));
                }
                let known = known.clone();
                let object = match method {
                    "PUT" => content.put(kind, name, spec),
                    _ => {
                        content.delete(kind, name);
                        known
                    }
                };
                changed.notify_all();
                response("200 OK", json, &object_text(name, &object))
            }
            _ => response("400 Bad Request", json, "{}"),
        }
    }
}
