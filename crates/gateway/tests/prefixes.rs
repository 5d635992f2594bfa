//! Prefix affinity, and the cache transfers that the gateway orders for prompts.
#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::{json, Value};
use standins::{
    event_stream_to, header, received_requests, response_to, route, scripted_runner, send_request,
    table, wait_until, AfterResponse, StandinRunner, StandinStore, TestGateway,
};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

/// A route table whose service consists of engines.
fn engine_table() -> Value {
    let mut table = table(1, vec![route("/safe/", "safe", 2, false)]);
    let mut prompts = route("/ask/", "streaming", 2, true);
    prompts["StickySessions"] = json!(true);
    table["Routes"].as_array_mut().unwrap().push(prompts);
    table["Services"][0]["Engine"] = json!({
        "Slots": 8, "KvCapacityTokens": 7_000_000, "KvTokenBytes": 18_432, "LinkMbps": 180_000,
    });
    table
}

/// Starts a gateway in front of engines, given with their ids.
fn start_gateway(runners: &[(&str, &StandinRunner)]) -> TestGateway {
    let store = StandinStore::start();
    store.put("config", "main", Some(engine_table()));
    for (id, runner) in runners {
        store.put("servers", id, Some(runner.entry("svc", "ready")));
    }
    let gateway = TestGateway::start_with(store, "i1");
    gateway.wait_ready();
    gateway.wait_for_status("GET /safe/warm", "200", false);
    gateway
}

/// Sends a prompt of two parts, of which the first is shared.
fn send_prompt(gateway: &TestGateway, id: &str, prefix: &str) -> String {
    let headers = format!(
        "Berylmount-Model: m\r\nBerylmount-Token-Usage: 40500,20\r\n\
         Berylmount-Prompt-Prefix: {prefix}:40000,{id}:500\r\n\
         Berylmount-Kv-Until: 1\r\nBerylmount-Kv-Fetch: 1.2.3.4:5\r\n"
    );
    gateway.call("POST /ask/x", id, &headers, "prompt").unwrap()
}

fn streaming_runner() -> StandinRunner {
    scripted_runner(|request| {
        let response = event_stream_to(request, &["id: 0\ndata: a\n\n"], true);
        (response, AfterResponse::Keep)
    })
}

#[test]
fn prompts_with_the_same_prefix_go_to_the_same_runner() {
    let runners = [streaming_runner(), streaming_runner(), streaming_runner()];
    let runners_by_id = [
        ("r1", &runners[0]),
        ("r2", &runners[1]),
        ("r3", &runners[2]),
    ];
    let gateway = start_gateway(&runners_by_id);
    for prefix in ["aa", "bb", "cc", "dd"] {
        let before: Vec<usize> = runners.iter().map(|r| received_requests(r).len()).collect();
        for turn in 0..5 {
            let response = send_prompt(&gateway, &format!("{prefix}{turn}"), prefix);
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        let counts = runners.iter().zip(before);
        let counts: Vec<usize> = counts
            .map(|(r, old)| received_requests(r).len() - old)
            .collect();
        assert!(counts.contains(&5), "{prefix} went to {counts:?}");
    }
}

#[test]
fn a_retry_copies_the_prefix_from_another_home_runner() {
    let reject = |request: &str| {
        let response = response_to(request, "503 Service Unavailable", "");
        let response = String::from_utf8(response).unwrap();
        let marked = response.replacen("\r\n", "\r\nberylmount-not-executed: 1\r\n", 1);
        (marked.into_bytes(), AfterResponse::Keep)
    };
    let runners = [
        scripted_runner(reject),
        scripted_runner(reject),
        scripted_runner(reject),
    ];
    let runners_by_id = [
        ("r1", &runners[0]),
        ("r2", &runners[1]),
        ("r3", &runners[2]),
    ];
    let gateway = start_gateway(&runners_by_id);
    let response = send_prompt(&gateway, "id1", "aa");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let seen: Vec<String> = runners.iter().flat_map(received_requests).collect();
    assert_eq!(seen.len(), 2, "{seen:?}");
    let addresses = runners.iter().map(|runner| runner.address.to_string());
    let addresses: Vec<String> = addresses.collect();
    for request in &seen {
        // The shared part is fetched from another runner. System headers sent by the
        // caller are never forwarded.
        let fetch = header(request, "berylmount-kv-fetch").unwrap();
        let (source, own) = fetch.split_once(',').unwrap();
        assert_eq!(own, "-");
        assert!(addresses.iter().any(|address| address == source), "{fetch}");
        // Without a known runner clock the fetch has no time limit.
        assert_eq!(header(request, "berylmount-kv-until"), None);
    }
}

/// Placements of long prompts are announced to other instances at once. The
/// announcements must not delay the heartbeats.
#[test]
fn frequent_long_prompts_do_not_delay_heartbeats() {
    let runners = [streaming_runner(), streaming_runner()];
    let store = StandinStore::start();
    store.put("config", "main", Some(engine_table()));
    for (id, runner) in [("r1", &runners[0]), ("r2", &runners[1])] {
        store.put("servers", id, Some(runner.entry("svc", "ready")));
    }
    // An instance that receives no heartbeats lists all instances, so a third one
    // keeps sending them.
    let names = ["i1", "i2", "i3"];
    let [first, second, _third] = names.map(|name| TestGateway::start_with(store.clone(), name));
    let callers = first.settings.listen.callers.to_string();
    let is_listed = || {
        let request = "GET /berylmount/resolve?Name=a&Region=r&Zone=north HTTP/1.1\r\n\r\n";
        let locate = second.settings.listen.locate.unwrap();
        send_request(locate, request).is_some_and(|response| response.contains(&callers))
    };
    first.wait_for_status("GET /safe/warm", "200", false);
    let stays_listed = |checks: u32| {
        (0..checks).all(|_| {
            thread::sleep(Duration::from_millis(50));
            is_listed()
        })
    };
    // The list changes until all instances have received each other's heartbeats.
    wait_until("the first instance to be listed", || stays_listed(10));
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..4 {
            let (first, is_done) = (&first, &is_done);
            scope.spawn(move || {
                let mut number = 0;
                while !is_done.load(Ordering::Relaxed) {
                    number += 1;
                    send_prompt(first, &format!("{caller:x}{number:x}"), "aa");
                }
            });
        }
        // Several times the heartbeat timeout.
        let is_always_listed = stays_listed(80);
        is_done.store(true, Ordering::Relaxed);
        assert!(is_always_listed, "the instance was considered dead");
    });
}
