//! A stand-in of a model runner that fetches parts of prompts from a store and saves them there.

use crate::{
    cache::{CacheStore, Fetched, PartName},
    fleet::Record,
    http::{response, Message, Wire},
};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicU64, Ordering::SeqCst},
        Arc, Condvar, Mutex,
    },
    thread,
    time::Duration,
};

/// Prompt tokens that are read in a millisecond.
const TOKENS_PER_MS: f64 = 51.1;

/// Tokens that the runner's memory holds, for running requests and kept parts.
const MEMORY_TOKENS: u64 = 73_484;

/// Grants turns in the order in which they were asked for.
#[derive(Default)]
struct Turns {
    state: Mutex<(u64, u64)>,
    changed: Condvar,
}

impl Turns {
    fn take(&self) {
        let mut state = self.state.lock().unwrap();
        let own = state.0;
        state.0 += 1;
        while state.1 != own {
            state = self.changed.wait(state).unwrap();
        }
    }

    fn end(&self) {
        self.state.lock().unwrap().1 += 1;
        self.changed.notify_all();
    }
}

/// The runner.
#[derive(Clone)]
pub struct Reader {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    slots: u32,
    born_ms: u64,
    stores: Vec<CacheStore>,
    record: Record,
    /// Transfers run one after another.
    link: Arc<Turns>,
    /// Requests are admitted one after another.
    queue: Arc<Turns>,
    /// Prompts are read one after another.
    engine: Arc<Turns>,
    /// The parts that the runner keeps itself, the least recently used first.
    kept: Arc<Mutex<Vec<(PartName, u64)>>>,
    /// Tokens of the requests that run.
    used: Arc<AtomicU64>,
    running: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    pub fetches: Arc<AtomicU64>,
    pub saves: Arc<AtomicU64>,
    pub late: Arc<AtomicU64>,
    pub torn: Arc<Mutex<Vec<String>>>,
}

impl Reader {
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        zone: &str,
        slots: u32,
        stores: &[CacheStore],
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let reader = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            slots,
            born_ms: now.map_or(0, |now| now.as_millis() as u64),
            stores: stores.to_vec(),
            record: record.clone(),
            link: Arc::default(),
            queue: Arc::default(),
            engine: Arc::default(),
            kept: Arc::default(),
            used: Arc::default(),
            running: Arc::default(),
            sequence: Arc::default(),
            fetches: Arc::default(),
            saves: Arc::default(),
            late: Arc::default(),
            torn: Arc::default(),
        };
        let served = reader.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let reader = served.clone();
                thread::spawn(move || {
                    let mut wire = Wire::new(socket);
                    while let Ok(Some(call)) = wire.message() {
                        if !call.is_whole || reader.serve(&mut wire, &call).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(reader)
    }

    pub fn beat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, SeqCst);
        let Self { address, born_ms, zone, slots, .. } = self;
        format!(
            "{{\"Service\":\"models\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdRemainingMs\":0,\
             \"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\
             \"Adapters\":[]}}],\"Sequence\":{sequence},\"born\":{born_ms}}}"
        )
    }

    /// The store of each part that is to be fetched or saved, if any.
    fn stores_of(&self, call: &Message, what: &str) -> Vec<Option<usize>> {
        let text = call.header(&format!("berylmount-kv-{what}")).unwrap_or_default();
        let entries = text.split(',').map(str::trim);
        entries
            .map(|entry| self.stores.iter().position(|s| s.address.to_string() == entry))
            .collect()
    }

    fn serve(&self, wire: &mut Wire, call: &Message) -> std::io::Result<()> {
        if call.word(0) == "GET" {
            let body = format!(
                "{{\"Stage\":\"colocated\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\
                 \"Busy\":false,\"Sequence\":0,\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":213382,\
                 \"KvHandles\":0,\"clock_ms\":{},\"born\":{}}}",
                self.stores[0].clock_ms(),
                self.born_ms
            );
            return wire.send(&response("200 OK", "Content-Type: application/json\r\n", &body));
        }
        let own = format!("Berylmount-Instance-Id: {}\r\n", self.id);
        if call.header("berylmount-expect-instance").is_some_and(|id| id != self.id) {
            return wire.send(&response("421 Misdirected Request", &own, ""));
        }
        let running = self.running.fetch_add(1, SeqCst) + 1;
        let (fetch, save) = (self.stores_of(call, "fetch"), self.stores_of(call, "save"));
        let names = part_names(call);
        for (index, (name, _)) in names.iter().enumerate() {
            for (entries, is_save) in [(&fetch, false), (&save, true)] {
                if let Some(store) = entries.get(index).copied().flatten() {
                    self.stores[store].expect(name, is_save);
                }
            }
        }
        let prefix = call.header("berylmount-prompt-prefix").unwrap_or_default();
        let parts = prefix.split(',').filter_map(|part| part.split_once(':'));
        let tokens: u64 = parts.map(|(_, tokens)| tokens.parse().unwrap_or(0)).sum();
        // A request waits until the memory has room for it.
        self.queue.take();
        while self.used.load(SeqCst) + tokens > MEMORY_TOKENS {
            thread::sleep(Duration::from_millis(2));
        }
        self.used.fetch_add(tokens, SeqCst);
        self.queue.end();
        self.evict();
        let result = self.run(wire, call, running);
        self.used.fetch_sub(tokens, SeqCst);
        self.running.fetch_sub(1, SeqCst);
        result
    }

    /// Lets the least recently used parts yield to the requests that run.
    fn evict(&self) {
        let mut kept = self.kept.lock().unwrap();
        let room = MEMORY_TOKENS.saturating_sub(self.used.load(SeqCst));
        while kept.iter().map(|(_, tokens)| tokens).sum::<u64>() > room {
            kept.remove(0);
        }
    }

    /// Whether the runner keeps a part; it is used now.
    fn uses_kept(&self, name: &PartName) -> bool {
        let mut kept = self.kept.lock().unwrap();
        let Some(index) = kept.iter().position(|(known, _)| known == name) else {
            return false;
        };
        let part = kept.remove(index);
        kept.push(part);
        true
    }

    fn keep(&self, name: &PartName, tokens: u64) {
        if !self.uses_kept(name) {
            self.kept.lock().unwrap().push((name.clone(), tokens));
            self.evict();
        }
    }

    fn run(&self, wire: &mut Wire, call: &Message, running: u64) -> std::io::Result<()> {
        let request = call.header("berylmount-request-id").unwrap_or_default();
        let model = call.header("berylmount-model").unwrap_or_default();
        let until_ms = call.header("berylmount-kv-until").and_then(|text| text.parse().ok());
        let (fetch, save) = (self.stores_of(call, "fetch"), self.stores_of(call, "save"));
        let prefix = call.header("berylmount-prompt-prefix").unwrap_or_default();
        let parts = part_names(call);
        self.record.note(&format!(
            "runner {} runs {request}, parts {prefix}: fetch {fetch:?} until {until_ms:?}, \
             save {save:?}, at {}",
            self.id,
            self.stores[0].clock_ms()
        ));
        let mut unread = 0;
        let mut is_kept_so_far = true;
        for (index, (name, tokens)) in parts.iter().enumerate() {
            let mut is_read = is_kept_so_far && self.uses_kept(name);
            let source = fetch.get(index).copied().flatten();
            if let Some(store) = source.filter(|_| !is_kept_so_far || is_read) {
                self.stores[store].begin(name, false);
            }
            if let Some(source) = source.filter(|_| is_kept_so_far && !is_read) {
                let store = &self.stores[source];
                self.link.take();
                store.begin(name, false);
                let fetched = store.fetch(name, store.factor(&self.zone), until_ms);
                self.link.end();
                self.fetches.fetch_add(1, SeqCst);
                is_read = matches!(fetched, Fetched::Whole | Fetched::Overlapped | Fetched::Torn);
                match fetched {
                    Fetched::Late => drop(self.late.fetch_add(1, SeqCst)),
                    // Whole before the fetch ended, so what was read may be right.
                    Fetched::Overlapped => self.record.note(&format!(
                        "request {request} at runner {} fetched part {} while it was being \
                         written; not counted, as the part was whole when the fetch ended",
                        self.id, name.1
                    )),
                    Fetched::Torn => {
                        let text = format!(
                            "request {request} at runner {} took part {} of {tokens} tokens from \
                             the store, which was still being written when the fetch ended at {} \
                             (Berylmount-Kv-Until {until_ms:?})",
                            self.id,
                            name.1,
                            self.stores[0].clock_ms()
                        );
                        self.record.note(&text);
                        self.torn.lock().unwrap().push(text);
                    }
                    Fetched::Miss | Fetched::Whole => {}
                }
            }
            is_kept_so_far &= is_read;
            unread += if is_read { 0 } else { *tokens };
        }
        self.engine.take();
        thread::sleep(Duration::from_micros((unread as f64 / TOKENS_PER_MS * 1000.0) as u64));
        self.engine.end();
        for (name, tokens) in &parts {
            self.keep(name, *tokens);
        }
        for (index, (name, tokens)) in parts.iter().enumerate() {
            let Some(target) = save.get(index).copied().flatten() else {
                continue;
            };
            self.stores[target].begin(name, true);
            // The space is reserved at once; the transfer waits for its turn.
            let from_ms = self.stores[0].clock_ms();
            let Some(epoch) = self.stores[target].reserve(name, *tokens, model) else {
                continue;
            };
            let (reader, name, tokens) = (self.clone(), name.clone(), *tokens);
            let request = request.to_owned();
            thread::spawn(move || {
                let store = &reader.stores[target];
                reader.link.take();
                let is_saved = store.write(&name, tokens, epoch, store.factor(&reader.zone));
                reader.link.end();
                reader.saves.fetch_add(1, SeqCst);
                if is_saved {
                    reader.record.note(&format!(
                        "runner {} has saved part {} for {request}, from {from_ms} to {}",
                        reader.id,
                        name.1,
                        store.clock_ms()
                    ));
                }
            });
        }
        let slots = self.slots;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Berylmount-Request-Id: {request}\r\nBerylmount-Response-Stamp: st.{request}\r\n\
             Berylmount-Weight-Versions: 1\r\nBerylmount-Instance-Load: {running},0,{slots}\r\n\r\n"
        );
        wire.send(&head)?;
        for event in 1..=3 {
            let text = format!("id: {event}\ndata: token\n\n");
            wire.send(&format!("{:x}\r\n{text}\r\n", text.len()))?;
            thread::sleep(Duration::from_millis(10));
        }
        wire.send("0\r\n\r\n")
    }
}

/// The parts of a request's prompt, with their tokens.
fn part_names(call: &Message) -> Vec<(PartName, u64)> {
    let salt = call.header("berylmount-cache-salt").unwrap_or_default();
    let prefix = call.header("berylmount-prompt-prefix").unwrap_or_default();
    let parts = prefix.split(',').filter_map(|part| part.trim().split_once(':'));
    parts
        .map(|(id, tokens)| {
            let name = (salt.to_owned(), id.to_owned());
            (name, tokens.parse().unwrap_or(0))
        })
        .collect()
}
