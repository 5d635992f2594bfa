//! Which parts are saved to KV cache stores.
#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::{json, Value};
use standins::{
    event_stream_to, header, received_requests, route, scripted_runner, table, wait_until,
    AfterResponse, StandinCacheStore, StandinRunner, StandinStore, TestGateway,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Size of the shared part of each prompt, in tokens.
const PART_TOKENS: u32 = 10_000;

/// A runner, a KV cache store and the platform's store.
struct StoreFleet {
    runner: StandinRunner,
    kept: StandinCacheStore,
    store: StandinStore,
}

impl StoreFleet {
    fn start() -> Self {
        let kept = StandinCacheStore::start();
        let runner = scripted_runner(|request| {
            let response = event_stream_to(request, &["id: 0\ndata: a\n\n"], true);
            (response, AfterResponse::Keep)
        });
        let store = StandinStore::start();
        store.put("config", "main", Some(store_table(&kept)));
        store.put("servers", "r1", Some(runner.entry("svc", "ready")));
        Self {
            runner,
            kept,
            store,
        }
    }

    fn start_gateway(&self, name: &str) -> TestGateway {
        let gateway = TestGateway::start_with(self.store.clone(), name);
        gateway.wait_ready();
        gateway.wait_for_status("GET /safe/warm", "200", false);
        gateway
    }

    /// Sends a prompt until it is admitted, and returns the request as the runner received it.
    fn send(&self, gateway: &TestGateway, id: &str, prefix: &str) -> String {
        wait_until("the prompt is admitted", || {
            let response = send_prompt(gateway, id, prefix);
            response.starts_with("HTTP/1.1 200")
        });
        self.received(id).unwrap()
    }

    fn received(&self, id: &str) -> Option<String> {
        let requests = received_requests(&self.runner);
        let is_sought = |request: &String| {
            header(request, "berylmount-request-id").is_some_and(|found| found == id)
        };
        requests.into_iter().find(is_sought)
    }

    /// Sends prompts with parts of their own until one is to be saved; returns its scope.
    fn wait_for_saves(&self, gateway: &TestGateway) -> String {
        let mut number = 0;
        let mut scope = None;
        wait_until("saves are ordered", || {
            number += 1;
            let name = format!("{}{number}", gateway.settings.name);
            let request = self.send(gateway, &format!("first-{name}"), &format!("p{name}"));
            scope = header(&request, "berylmount-cache-salt");
            header(&request, "berylmount-kv-save").is_some()
        });
        scope.unwrap()
    }
}

/// A route table with engines and a store.
fn store_table(kept: &StandinCacheStore) -> Value {
    let mut prompts = route("/ask/", "streaming", 2, true);
    prompts["StickySessions"] = json!(true);
    prompts["TargetLatencyMs"] = json!(2000);
    let mut table = table(1, vec![route("/safe/", "safe", 2, false), prompts]);
    table["Services"][0]["Engine"] = json!({
        "Slots": 8, "KvCapacityTokens": 7_000_000, "KvTokenBytes": 18_432, "LinkMbps": 180_000,
    });
    table["Services"]
        .as_array_mut()
        .unwrap()
        .push(kept.service());
    table
}

/// Sends a prompt of two parts, of which the first is shared.
fn send_prompt(gateway: &TestGateway, id: &str, prefix: &str) -> String {
    let headers = format!(
        "Berylmount-Model: m\r\nBerylmount-Token-Usage: 10500,20\r\n\
         Berylmount-Prompt-Prefix: {prefix}:{PART_TOKENS},{id}:500\r\n"
    );
    gateway.call("POST /ask/x", id, &headers, "prompt").unwrap()
}

/// Guards against orders to save parts that the store already holds: without a listing an instance
/// does not know them.
#[test]
fn nothing_is_saved_while_events_of_the_store_are_missing() {
    let fleet = StoreFleet::start();
    fleet.kept.set_failing(true);
    let gateway = fleet.start_gateway("i1");
    // Longer than the wait before the first saves of an epoch.
    let end = Instant::now() + Duration::from_millis(3500);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let request = fleet.send(&gateway, &format!("early{number}"), &format!("c{number}"));
        assert_eq!(header(&request, "berylmount-kv-save"), None, "{request}");
        thread::sleep(Duration::from_millis(50));
    }
    assert!(number > 5);
    fleet.kept.set_failing(false);
    fleet.wait_for_saves(&gateway);
}
