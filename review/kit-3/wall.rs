//! A runner joins. Another writer has left an entry under its id, without some fields.

mod engine;
mod fleet;
mod http;
mod json;
mod store;

use engine::Engine;
use fleet::{call, loopback, Gateway, Record, CRTMA_BLAZE};
use std::{env, fs, path::PathBuf, process::exit, thread, time::Duration};
use store::Store;

/// Number of runners that join, one after the other.
const RUNNERS: u32 = 4;

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"r-1","Host":"pule25.example","PathPrefix":"/crew/","RouteKind":"streaming","TimeoutMs":12000,"TargetLatencyMs":400,"Priority":1,"Service":"models","MaxAttempts":1,"Public":false,"StickySessions":true,"Resumable":false,"TargetGapMs":300}],"Services":[{"Name":"models","HealthPath":"/health","MaxConnections":620,"Protocol":"h1","Tls":false,"Engine":{"Slots":8,"KvCapacityTokens":213382,"KvTokenBytes":18432,"LinkMbps":180000.0,"Moves":true,"Replicas":true,"Managed":true,"Stride":5,"MaxInflight":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"north-crew","ApiKeys":["key-a"],"Isolated":true},{"Name":"county","ApiKeys":["key-b"]}]}"#;

fn ask(gateway: &Gateway, id: &str, key: &str, record: &Record) -> u16 {
    let request = format!(
        "POST /crew/q HTTP/1.1\r\nHost: pule25.example\r\nBerylmount-Request-Id: {id}\r\n\
         Berylmount-Model: m\r\nBerylmount-Token-Usage: 800,8\r\n\
         Berylmount-Prompt-Prefix: 5c1e07a2:650,{id}:150\r\nBerylmount-Deadline-Ms: 3000\r\n\
         Authorization: Token {key}\r\nContent-Length: 2\r\n\r\nhi"
    );
    let answer = call(gateway.callers, &request, 4000);
    let status = answer.map_or(0, |answer| answer.status());
    let (name, key) = (&gateway.name, key);
    record.note(&format!("request {id} with {key}, sent to {name}, is answered {status}"));
    status
}

/// Asks until the answer is a success.
fn ask_served(gateway: &Gateway, id: &str, key: &str, record: &Record) -> bool {
    (0..20).any(|attempt| {
        if attempt > 0 {
            thread::sleep(Duration::from_millis(50));
        }
        ask(gateway, &format!("{id}{attempt:02}"), key, record) == 200
    })
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

fn play(folder: &std::path::Path, has_trouble: bool, record: &Record) -> i32 {
    let Ok(store) = Store::start(loopback(200)) else {
        return 2;
    };
    store.put("config", "main", CONFIG);
    let gateways: Vec<Gateway> = (1..=3)
        .map(|last| Gateway::start(folder, &store, last, CRTMA_BLAZE))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.note("the processes did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let mut foreign = Vec::new();
    let mut served = 0;
    for number in 0..RUNNERS {
        let id = format!("i-7f3a91c{number}");
        let Ok(engine) = Engine::start(loopback(100 + number as u8), &id, "models", record) else {
            return 2;
        };
        if has_trouble {
            record.note(&format!("another writer leaves an entry of {id}: {}", engine.foreign_entry()));
            store.put("servers", &id, &engine.foreign_entry());
        } else {
            record.note(&format!("{id} writes its entry"));
            store.put("servers", &id, &engine.beat("m"));
        }
        // The runner writes its next entry within its interval of 1200 ms.
        let (beats, beaten, stop) = (store.clone(), engine.clone(), engine.runs.clone());
        let beat_record = record.clone();
        let beating = thread::spawn(move || {
            for round in 0..2 {
                thread::sleep(Duration::from_millis(1200));
                if round == 0 {
                    beat_record.note(&format!("{} writes its entry", beaten.id));
                }
                beats.put("servers", &beaten.id, &beaten.beat("m"));
            }
            drop(stop);
        });
        // Two tenants ask at two machines for prompts that share their first part.
        let first = ask_served(&gateways[0], &format!("a{number}"), "key-a", record);
        let second = ask_served(&gateways[1], &format!("b{number}"), "key-b", record);
        served += u32::from(first && second);
        let _ = beating.join();
        foreign.extend(engine.foreign.lock().unwrap().clone());
        store.delete("servers", &id);
        record.note(&format!("{id} leaves"));
        thread::sleep(Duration::from_millis(2500));
    }
    record.note(&format!("{served} of {RUNNERS} pairs of requests were served"));
    for used in &foreign {
        record.note(&format!(
            "BROKEN: tenant {} used part {} of tenant {}, and north-crew is isolated",
            used.user, used.part, used.maker
        ));
    }
    if !foreign.is_empty() {
        return 1;
    }
    match served {
        0 => 2,
        _ => 0,
    }
}
