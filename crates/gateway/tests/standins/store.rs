//! In-memory stand-in of the platform's store.

use super::any_port;
use serde_json::{json, Value};
use std::{
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};
use tiny_http::{Header, Method, Request, Response, Server};

/// Marks values that are sent as they are, without being encoded.
const RAW_MARK: &str = "@raw:";

#[derive(Clone, Default)]
struct StoreState {
    /// How often the store was restored from a backup.
    era: u64,
    revision: u64,
    /// Kind, name, revision and value of objects. Deleted objects have no value.
    objects: Vec<(String, String, u64, Option<Value>)>,
    /// Kinds of the received watch calls.
    watches: Vec<String>,
    /// Kinds of the received list calls.
    listings: Vec<String>,
    /// Kinds of the refused calls.
    refused: Vec<String>,
    /// Whether all calls are refused with status 503.
    is_refusing: bool,
    /// Maximum number of objects in a page of a listing; 0 for no maximum.
    page_size: usize,
    /// A change that is made right before the second page of a listing of its kind.
    between_pages: Option<(String, String, Option<Value>)>,
    /// Revision before which the history was discarded.
    compacted_revision: u64,
    /// Number of watches that were answered with status 410 (Gone) because their revision
    /// is not in the history.
    gone: usize,
}

/// A backup of the state of a store.
pub(crate) struct StoreBackup(StoreState);

/// In-memory stand-in of the platform's store.
#[derive(Clone)]
pub(crate) struct StandinStore {
    pub(crate) address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Kinds whose calls are refused at this address.
    refused_kinds: Arc<Mutex<Vec<String>>>,
}

impl StandinStore {
    pub(crate) fn start() -> Self {
        Self::serve(Arc::default())
    }

    /// Starts another address of the same store, which can turn away its callers.
    pub(crate) fn mirror(&self) -> Self {
        Self::serve(self.state.clone())
    }

    /// Starts a store with the same objects, which changes on its own from now on.
    pub(crate) fn copy(&self) -> Self {
        let state = self.state.0.lock().unwrap().clone();
        Self::serve(Arc::new((Mutex::new(state), Condvar::new())))
    }

    fn serve(state: Arc<(Mutex<StoreState>, Condvar)>) -> Self {
        let server = Server::http(any_port()).unwrap();
        let address = server.server_addr().to_ip().unwrap();
        let store = Self {
            address,
            state,
            refused_kinds: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for request in server.incoming_requests() {
                let store = serving.clone();
                thread::spawn(move || store.respond(request));
            }
        });
        store
    }

    /// Writes an object as an operator or runner does, without a check of the revision.
    /// Returns the new revision.
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

    /// Writes an object whose value is given as JSON text, which need not be valid.
    pub(crate) fn put_text(&self, kind: &str, name: &str, text: &str) -> u64 {
        self.put(kind, name, Some(Value::String(format!("{RAW_MARK}{text}"))))
    }

    /// Lists objects in pages of `page_size`, and makes a change right before the second
    /// page of the next listing of its kind.
    pub(crate) fn change_between_pages(
        &self,
        page_size: usize,
        kind: &str,
        name: &str,
        value: Option<Value>,
    ) {
        let mut state = self.state.0.lock().unwrap();
        state.page_size = page_size;
        state.between_pages = Some((kind.into(), name.into(), value));
    }

    /// Returns a backup of the state for [`Self::restore`].
    pub(crate) fn backup(&self) -> StoreBackup {
        StoreBackup(self.state.0.lock().unwrap().clone())
    }

    /// Restores an older backup. Later writes are lost, and their revisions are used again.
    pub(crate) fn restore(&self, backup: &StoreBackup) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let (watches, listings) = (state.watches.clone(), state.listings.clone());
        let refused = state.refused.clone();
        *state = StoreState {
            era: state.era + 1,
            watches,
            listings,
            refused,
            gone: state.gone,
            is_refusing: false,
            ..backup.0.clone()
        };
        changed.notify_all();
    }

    /// Returns the number of objects of a kind.
    pub(crate) fn listed(&self, kind: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        let live = state
            .objects
            .iter()
            .filter(|(k, _, _, value)| k == kind && value.is_some());
        live.count()
    }

    /// Returns the value of an object.
    pub(crate) fn value(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.0.lock().unwrap();
        let mut objects = state.objects.iter();
        objects
            .find(|(k, n, _, _)| k == kind && n == name)?
            .3
            .clone()
    }

    fn respond(&self, mut request: Request) {
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
                .map(|(_, value)| percent_decode(value))
        };
        let is_refusing = self.state.0.lock().unwrap().is_refusing
            || self
                .refused_kinds
                .lock()
                .unwrap()
                .iter()
                .any(|k| k == parts[0]);
        if is_refusing {
            let mut state = self.state.0.lock().unwrap();
            state.refused.push(parts[0].to_owned());
        }
        let (status, value) = match (request.method(), parts.as_slice()) {
            _ if is_refusing => (503, Value::Null),
            (Method::Get, [kind]) => match field("Watch") {
                Some(since) => self.watch(kind, since.parse().unwrap(), &field("WaitMs").unwrap()),
                None => self.list(kind, &field("after").unwrap_or_default()),
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
        let era = self.state.0.lock().unwrap().era.to_string();
        let era = Header::from_bytes("Store-Era", era).unwrap();
        let response = Response::from_data(response_text(&value)).with_header(header);
        let response = response.with_header(era);
        let _ = request.respond(response.with_status_code(status));
    }

    fn object(name: &str, revision: u64, value: &Option<Value>) -> Value {
        json!({"Metadata": {"Name": name, "Revision": revision}, "Spec": value})
    }

    /// Returns the number of received list calls of a kind.
    pub(crate) fn listings(&self, kind: &str) -> usize {
        let listings = &self.state.0.lock().unwrap().listings;
        listings.iter().filter(|listed| *listed == kind).count()
    }

    /// Returns the number of refused calls for objects of a kind.
    pub(crate) fn refusals(&self, kind: &str) -> usize {
        let refused = &self.state.0.lock().unwrap().refused;
        refused.iter().filter(|known| *known == kind).count()
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Value) {
        let change = {
            let mut state = self.state.0.lock().unwrap();
            let is_due = |(changed, _, _): &mut (String, String, Option<Value>)| changed == kind;
            match after.is_empty() {
                true => None,
                false => state.between_pages.take_if(is_due),
            }
        };
        if let Some((kind, name, value)) = change {
            self.put(&kind, &name, value);
        }
        let mut state = self.state.0.lock().unwrap();
        state.listings.push(kind.to_owned());
        let live = state
            .objects
            .iter()
            .filter(|(k, n, _, value)| k == kind && value.is_some() && n.as_str() > after);
        let mut live: Vec<_> = live.collect();
        live.sort_by(|a, b| a.1.cmp(&b.1));
        let count = match state.page_size {
            0 => live.len(),
            size => live.len().min(size),
        };
        let has_more = count < live.len();
        let live = live.into_iter().take(count);
        let items: Vec<Value> = live.map(|(_, n, r, v)| Self::object(n, *r, v)).collect();
        (
            200,
            json!({"items": items, "HasMore": has_more, "AtRev": state.revision}),
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

    /// Sets whether all calls are refused.
    pub(crate) fn refuse(&self, is_refusing: bool) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().is_refusing = is_refusing;
        changed.notify_all();
    }

    /// Refuses all calls for objects of these kinds at this address.
    pub(crate) fn refuse_kinds(&self, kinds: &[&str]) {
        let kinds = kinds.iter().map(|kind| (*kind).to_owned());
        *self.refused_kinds.lock().unwrap() = kinds.collect();
    }

    /// Discards the history of all changes so far.
    pub(crate) fn forget_history(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.compacted_revision = state.revision;
    }

    /// Returns the number of watches whose revision was not in the history.
    pub(crate) fn gone_watches(&self) -> usize {
        self.state.0.lock().unwrap().gone
    }

    /// Returns the number of received watch calls of a kind.
    pub(crate) fn watches(&self, kind: &str) -> usize {
        let watches = &self.state.0.lock().unwrap().watches;
        watches.iter().filter(|watched| *watched == kind).count()
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: &str) -> (u16, Value) {
        let wait = Duration::from_millis(wait_ms.parse().unwrap());
        let (state, changed) = &*self.state;
        let has_no_changes = |state: &mut StoreState| {
            !state
                .objects
                .iter()
                .any(|(k, _, revision, _)| k == kind && *revision > since)
        };
        let mut state = state.lock().unwrap();
        state.watches.push(kind.to_owned());
        if since < state.compacted_revision || since > state.revision {
            state.gone += 1;
            return (410, Value::Null);
        }
        let era = state.era;
        let keeps_waiting = |state: &mut StoreState| {
            state.era == era && !state.is_refusing && has_no_changes(state)
        };
        let (state, _) = changed
            .wait_timeout_while(state, wait, keeps_waiting)
            .unwrap();
        if state.is_refusing || state.era != era {
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

/// Encodes a response, with the marked values as they are. `\u{fffd}` in such a value stands
/// for a byte that is not UTF-8.
fn response_text(value: &Value) -> Vec<u8> {
    let encoded = value.to_string();
    let mark = format!("\"{RAW_MARK}");
    let mut text = String::new();
    let mut rest = encoded.as_str();
    while let Some(start) = rest.find(&mark) {
        text += &rest[..start];
        let mut values = serde_json::Deserializer::from_str(&rest[start..]).into_iter::<String>();
        let raw = values.next().unwrap().unwrap();
        text += &raw[RAW_MARK.len()..];
        rest = &rest[start + values.byte_offset()..];
    }
    text += rest;
    let bytes = text.split('\u{fffd}').map(str::as_bytes);
    bytes.collect::<Vec<_>>().join(&0xff)
}

/// Decodes a value of a query.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap(), rest.next().unwrap()];
                let digits = std::str::from_utf8(&digits).unwrap();
                bytes.push(u8::from_str_radix(digits, 16).unwrap());
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8(bytes).unwrap()
}
