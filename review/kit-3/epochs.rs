//! A store of kept KV cache restarts empty while prompts that share parts are served.

mod cache;
mod fleet;
mod http;
mod json;
mod reader;
mod store;

use cache::CacheStore;
use fleet::{call, loopback, Gateway, Record, KERTA_BEACON};
use reader::Reader;
use std::{
    env, fs,
    path::{Path, PathBuf},
    process::exit,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};
use store::Store;

/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(88);
/// Least time between two restarts of a store.
const MIN_PAUSE: Duration = Duration::from_secs(3);
const MAX_PAUSE: Duration = Duration::from_millis(4500);
/// Documents that prompts share.
const DOCUMENTS: u64 = 14;
/// Mean pause between two requests, in milliseconds.
const PAUSE_MS: u64 = 22;
const RUNNERS: u8 = 12;
const STORES: u8 = 3;
const MACHINES: u8 = 8;

fn config(caches: &[CacheStore]) -> String {
    let stores: Vec<String> = caches
        .iter()
        .enumerate()
        .map(|(index, cache)| {
            let (address, zone) = (cache.address, &cache.zone);
            format!(
                r#"{{"Name":"keep{index}","KvStoreAddr":"{address}","Zone":"{zone}","KvCapacityTokens":596834,"LinkMbps":540000.0,"MaxInflight":12,"Managed":true,"first_ms":0.5}}"#
            )
        })
        .collect();
    let stores = stores.join(",");
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-1","Host":"pule25.example","PathPrefix":"/digest/","RouteKind":"streaming","TimeoutMs":10000,"TargetLatencyMs":1500,"Priority":2,"Service":"models","MaxAttempts":1,"Public":false,"StickySessions":true,"Resumable":false,"TargetGapMs":200}}],"Services":[{stores},{{"Name":"models","HealthPath":"/health","MaxConnections":370,"Protocol":"h1","Tls":false,"Engine":{{"Slots":64,"KvCapacityTokens":73484,"KvTokenBytes":163840,"LinkMbps":550000.0,"Moves":true,"Replicas":true,"Managed":true,"Stride":4,"MaxInflight":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{{"Name":"m"}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"north-crew","ApiKeys":["key-a"]}}]}}"#
    )
}

/// A small generator of numbers (xorshift).
struct Luck(u64);

impl Luck {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % below
    }
}

fn main() {
    let folder = PathBuf::from(env::args().nth(1).expect("a folder for settings and logs"));
    let output = PathBuf::from(env::args().nth(2).expect("the path of the record"));
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let code = play(&folder, has_trouble, &record);
    record.note(&format!("exit code {code}"));
    record.save(&output);
    let _ = fs::remove_dir_all(&folder);
    exit(code);
}

fn play(folder: &Path, has_trouble: bool, record: &Record) -> i32 {
    let start = Instant::now();
    // 163,840 bytes a token over 540 Gbit/s.
    let token_us = 163_840.0 * 8.0 / 540_000.0;
    let caches = (0..STORES).map(|number| {
        let zone = KERTA_BEACON.zones[usize::from(number) % 3];
        CacheStore::start(loopback(150 + number), zone, start, token_us)
    });
    let Ok(caches) = caches.collect::<Result<Vec<CacheStore>, _>>() else {
        return 2;
    };
    let Ok(store) = Store::start(loopback(200)) else {
        return 2;
    };
    store.put("config", "main", &config(&caches));
    let mut readers = Vec::new();
    for number in 0..RUNNERS {
        let zone = KERTA_BEACON.zones[usize::from(number) % 3];
        let id = format!("i-7f3a91{number:02}");
        let ip = loopback(100 + number);
        let Ok(reader) = Reader::start(ip, &id, zone, 64, &caches, record) else {
            return 2;
        };
        store.put("servers", &id, &reader.beat());
        readers.push(reader);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let beats = {
        let (store, readers, is_over) = (store.clone(), readers.clone(), is_over.clone());
        thread::spawn(move || {
            while !is_over.load(SeqCst) {
                thread::sleep(Duration::from_millis(1200));
                for reader in &readers {
                    store.put("servers", &reader.id, &reader.beat());
                }
            }
        })
    };
    let gateways: Vec<Gateway> = (1..=MACHINES)
        .map(|last| Gateway::start(folder, &store, last, KERTA_BEACON))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.note("the processes did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let begun = Instant::now();
    // Each store restarts on its own, at most every MIN_PAUSE, while the same part is to be
    // fetched by one request and to be saved by another.
    let restarts: Vec<_> = caches
        .iter()
        .cloned()
        .map(|cache| {
            let (record, is_over) = (record.clone(), is_over.clone());
            thread::spawn(move || {
                let mut last = Instant::now();
                while has_trouble && !is_over.load(SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                    if last.elapsed() >= MIN_PAUSE && (cache.has_both() || last.elapsed() >= MAX_PAUSE) {
                        record.note(&format!(
                            "the store of kept KV cache at {} restarts empty (down for 50 ms)",
                            cache.address
                        ));
                        cache.restart(Duration::from_millis(50));
                        last = Instant::now();
                    }
                }
            })
        })
        .collect();
    let served = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    let mut luck = Luck(0x2545_f491_4f6c_dd1d);
    let mut number = 0u64;
    while begun.elapsed() < TRAFFIC {
        let document = luck.next(DOCUMENTS);
        number += 1;
        let (address, name) = {
            let gateway = &gateways[luck.next(u64::from(MACHINES)) as usize];
            (gateway.callers, gateway.name.clone())
        };
        let (record, served) = (record.clone(), served.clone());
        callers.push(thread::spawn(move || {
            let id = format!("9c41{number:08x}");
            let request = format!(
                "POST /digest/q HTTP/1.1\r\nHost: pule25.example\r\nBerylmount-Request-Id: {id}\r\n\
                 Berylmount-Model: m\r\nBerylmount-Token-Usage: 17060,8\r\n\
                 Berylmount-Prompt-Prefix: d0c{document:04x}:12800,{id}:4260\r\n\
                 Berylmount-Deadline-Ms: 10000\r\nAuthorization: Token key-a\r\nContent-Length: 2\r\n\r\nhi"
            );
            let status = call(address, &request, 11_000).map_or(0, |answer| answer.status());
            record.note(&format!("request {id} to {name} is answered {status}"));
            served.fetch_add(u64::from(status == 200), SeqCst);
        }));
        thread::sleep(Duration::from_millis(luck.next(2 * PAUSE_MS)));
    }
    for caller in callers {
        let _ = caller.join();
    }
    is_over.store(true, SeqCst);
    for restart in restarts {
        let _ = restart.join();
    }
    let _ = beats.join();
    let sum = |count: &dyn Fn(&Reader) -> u64| readers.iter().map(count).sum::<u64>();
    let fetches = sum(&|reader| reader.fetches.load(SeqCst));
    let saves = sum(&|reader| reader.saves.load(SeqCst));
    let late = sum(&|reader| reader.late.load(SeqCst));
    let served = served.load(SeqCst);
    record.note(&format!(
        "{served} of {number} requests were served; {fetches} fetches of parts, {late} of them \
         thrown away, {saves} saves"
    ));
    let torn: Vec<String> = readers.iter().flat_map(|r| r.torn.lock().unwrap().clone()).collect();
    for text in &torn {
        record.note(&format!("BROKEN: {text}"));
    }
    if !torn.is_empty() {
        return 1;
    }
    match served * 2 > number && fetches > 100 && saves > 10 {
        true => 0,
        false => 2,
    }
}
