//! A stand-in of a store of kept KV cache (`Managed`): parts, events, restarts and transfers.

use crate::{
    http::{response, Message, Wire},
    json::Json,
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Salt and id of a part.
pub type PartName = (String, String);

#[derive(Clone, Debug)]
struct Part {
    tokens: u64,
    model: String,
    /// Whether all of it has arrived.
    is_whole: bool,
}

struct Content {
    epoch: u64,
    number: u64,
    is_down: bool,
    parts: BTreeMap<PartName, Part>,
    events: Vec<(u64, &'static str, PartName, u64, String)>,
    sockets: Vec<TcpStream>,
    transfers: u32,
    /// Parts that requests at runners are to save, and to fetch, and have not begun to.
    to_save: Vec<PartName>,
    to_fetch: Vec<PartName>,
}

/// What a fetch of one part found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fetched {
    /// The part is not there, or the store went away meanwhile.
    Miss,
    Whole,
    /// The part was being written when the fetch began, and whole when it ended.
    Overlapped,
    /// The part was still being written when the fetch ended.
    Torn,
    /// The fetch did not end in time and is thrown away.
    Late,
}

/// The store.
#[derive(Clone)]
pub struct CacheStore {
    pub address: SocketAddr,
    pub zone: String,
    start: Instant,
    /// Time for a token over its link, in microseconds.
    token_us: f64,
    first: Duration,
    inner: Arc<(Mutex<Content>, Condvar)>,
}

impl CacheStore {
    pub fn start(ip: Ipv4Addr, zone: &str, start: Instant, token_us: f64) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let content = Content {
            epoch: 77_120,
            number: 0,
            is_down: false,
            parts: BTreeMap::new(),
            events: Vec::new(),
            sockets: Vec::new(),
            transfers: 0,
            to_save: Vec::new(),
            to_fetch: Vec::new(),
        };
        let store = Self {
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            start,
            token_us,
            first: Duration::from_micros(500),
            inner: Arc::new((Mutex::new(content), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let mut content = served.inner.0.lock().unwrap();
                if content.is_down {
                    continue;
                }
                if let Ok(copy) = socket.try_clone() {
                    content.sockets.push(copy);
                }
                drop(content);
                let store = served.clone();
                thread::spawn(move || {
                    let mut wire = Wire::new(socket);
                    while let Ok(Some(call)) = wire.message() {
                        let Some(answer) = store.answer(&call) else { return };
                        if wire.send(&answer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// The clock that runners and stores share, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1_000_000
    }

    /// A transfer takes twice as long between zones.
    pub fn factor(&self, zone: &str) -> f64 {
        if self.zone == zone {
            1.0
        } else {
            2.0
        }
    }

    /// The store goes down, and returns empty.
    pub fn restart(&self, down: Duration) {
        let (lock, changed) = &*self.inner;
        {
            let mut content = lock.lock().unwrap();
            content.is_down = true;
            for socket in content.sockets.drain(..) {
                let _ = socket.shutdown(Shutdown::Both);
            }
            content.parts.clear();
            content.events.clear();
            content.epoch += 1;
            content.number = 0;
        }
        changed.notify_all();
        thread::sleep(down);
        lock.lock().unwrap().is_down = false;
    }

    /// Waits for a transfer; returns whether the store stayed in its epoch.
    fn transfer(&self, tokens: u64, factor: f64, epoch: u64) -> bool {
        let (lock, _) = &*self.inner;
        let others = {
            let mut content = lock.lock().unwrap();
            content.transfers += 1;
            content.transfers
        };
        let us = tokens as f64 * self.token_us * factor * f64::from(others);
        thread::sleep(self.first + Duration::from_micros(us as u64));
        let mut content = lock.lock().unwrap();
        content.transfers -= 1;
        content.epoch == epoch && !content.is_down
    }

    /// Reads a part, until the time on the shared clock after which the fetch is thrown away.
    pub fn fetch(&self, name: &PartName, factor: f64, until_ms: Option<u64>) -> Fetched {
        let (lock, _) = &*self.inner;
        let (epoch, found) = {
            let content = lock.lock().unwrap();
            if content.is_down {
                drop(content);
                thread::sleep(Duration::from_millis(200));
                return Fetched::Miss;
            }
            (content.epoch, content.parts.get(name).cloned())
        };
        let Some(found) = found else {
            thread::sleep(Duration::from_millis(1));
            return Fetched::Miss;
        };
        if !self.transfer(found.tokens, factor, epoch) {
            return Fetched::Miss;
        }
        if until_ms.is_some_and(|until_ms| self.clock_ms() > until_ms) {
            return Fetched::Late;
        }
        let content = lock.lock().unwrap();
        let is_whole = content.parts.get(name).is_some_and(|part| part.is_whole);
        match (found.is_whole, is_whole) {
            (true, _) => Fetched::Whole,
            (false, true) => Fetched::Overlapped,
            (false, false) => Fetched::Torn,
        }
    }

    /// Notes that a request at a runner is to save or to fetch a part.
    pub fn expect(&self, name: &PartName, is_save: bool) {
        let mut content = self.inner.0.lock().unwrap();
        let expected = if is_save { &mut content.to_save } else { &mut content.to_fetch };
        expected.push(name.clone());
    }

    /// Notes that a request begins to save or to fetch a part, or no longer will.
    pub fn begin(&self, name: &PartName, is_save: bool) {
        let mut content = self.inner.0.lock().unwrap();
        let expected = if is_save { &mut content.to_save } else { &mut content.to_fetch };
        if let Some(index) = expected.iter().position(|known| known == name) {
            expected.remove(index);
        }
    }

    /// Whether requests at runners are to save and to fetch the same part, which is whole.
    pub fn has_both(&self) -> bool {
        let content = self.inner.0.lock().unwrap();
        let is_whole = |name: &PartName| content.parts.get(name).is_some_and(|p| p.is_whole);
        let mut names = content.to_fetch.iter();
        names.any(|name| content.to_save.contains(name) && is_whole(name))
    }

    /// Reserves the space of a part that will be written, and returns the epoch. A part that the
    /// store holds stays as it was first made.
    pub fn reserve(&self, name: &PartName, tokens: u64, model: &str) -> Option<u64> {
        let (lock, _) = &*self.inner;
        let mut content = lock.lock().unwrap();
        if content.is_down || content.parts.contains_key(name) {
            return None;
        }
        let model = model.to_owned();
        let part = Part { tokens, model, is_whole: false };
        content.parts.insert(name.clone(), part);
        Some(content.epoch)
    }

    /// Writes a part into the space that was reserved for it in an epoch.
    pub fn write(&self, name: &PartName, tokens: u64, epoch: u64, factor: f64) -> bool {
        if !self.transfer(tokens, factor, epoch) {
            return false;
        }
        let (lock, changed) = &*self.inner;
        let mut content = lock.lock().unwrap();
        let Some(part) = content.parts.get_mut(name) else {
            return false;
        };
        part.is_whole = true;
        let model = part.model.clone();
        content.number += 1;
        let event = (content.number, "+", name.clone(), tokens, model);
        content.events.push(event);
        changed.notify_all();
        true
    }

    fn answer(&self, call: &Message) -> Option<String> {
        let json = "Content-Type: application/json\r\n";
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let (lock, changed) = &*self.inner;
        let mut content = lock.lock().unwrap();
        let epoch = content.epoch;
        match path {
            "/berylmount/kv-events" => {
                let since: u64 = query.strip_prefix("SinceRev=")?.parse().ok()?;
                let wait = call.header("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    if content.epoch != epoch || content.is_down {
                        return None;
                    }
                    let has_gap = since > content.number;
                    let events = content.events.iter().filter(|event| event.0 > since || has_gap);
                    let events: Vec<String> = events
                        .map(|(number, sign, (salt, id), tokens, model)| {
                            format!("[{number},\"{sign}\",\"{salt}\",\"{id}\",{tokens},\"{model}\"]")
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() || has_gap {
                        let (events, next) = (events.join(","), content.number);
                        let clock_ms = self.clock_ms();
                        let body = format!(
                            "{{\"BootEpoch\":{epoch},\"NextToken\":{next},\"GapDetected\":{has_gap},\
                             \"Events\":[{events}],\"clock_ms\":{clock_ms}}}"
                        );
                        return Some(response("200 OK", json, &body));
                    }
                    content = changed.wait_timeout(content, left).unwrap().0;
                }
            }
            "/berylmount/kv-list" => {
                let whole = content.parts.iter().filter(|(_, part)| part.is_whole);
                let whole: Vec<String> = whole
                    .map(|((salt, id), part)| {
                        format!("[\"{salt}\",\"{id}\",{},\"{}\"]", part.tokens, part.model)
                    })
                    .collect();
                let (whole, next, clock_ms) = (whole.join(","), content.number, self.clock_ms());
                let body = format!(
                    "{{\"BootEpoch\":{epoch},\"NextToken\":{next},\"Retained\":[{whole}],\
                     \"clock_ms\":{clock_ms}}}"
                );
                Some(response("200 OK", json, &body))
            }
            "/berylmount/kv-free" => {
                let body = Json::parse(&String::from_utf8_lossy(&call.body))?;
                if body.get("BootEpoch").and_then(Json::number).is_some_and(|known| known != epoch) {
                    return Some(response("409 Conflict", json, "{}"));
                }
                if let Some(Json::List(parts)) = body.get("parts") {
                    for part in parts {
                        if let Json::List(words) = part {
                            let salt = words.first().and_then(Json::text).unwrap_or_default();
                            let id = words.get(1).and_then(Json::text).unwrap_or_default();
                            content.parts.remove(&(salt.to_owned(), id.to_owned()));
                        }
                    }
                }
                Some(response("200 OK", json, "{}"))
            }
            "/berylmount/report" => {
                let body = format!(
                    "{{\"KvUsed\":0,\"KvTotal\":1378996,\"BootEpoch\":{epoch},\"clock_ms\":{}}}",
                    self.clock_ms()
                );
                Some(response("200 OK", json, &body))
            }
            _ => Some(response("404 Not Found", json, "{}")),
        }
    }
}
