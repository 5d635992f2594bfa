//! Which parts of KV cache stores are fetched while orders to save them wait at runners.
#![allow(clippy::unwrap_used)]

mod standins;

use berylmount_policy::save_orders::UNTOLD_ORDER_MS;
use serde_json::{json, Value};
use standins::{
    event_stream_to, header, received_requests, route, scripted_runner, table, wait_until,
    AfterResponse, StandinCacheStore, StandinRunner, StandinStore, TestGateway,
};
use std::{
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Number of instances that count as a large fleet.
const LARGE_FLEET: usize = 16;
/// Size of the shared part of each prompt, in tokens.
const PART_TOKENS: u32 = 10_000;

/// Requests whose id starts with "held" wait at the runner until the gate opens.
#[derive(Clone, Default)]
struct RunnerGate(Arc<(Mutex<bool>, Condvar)>);

impl RunnerGate {
    fn open(&self) {
        *self.0 .0.lock().unwrap() = true;
        self.0 .1.notify_all();
    }

    fn wait(&self) {
        let (is_open, changed) = &*self.0;
        let is_open = is_open.lock().unwrap();
        drop(changed.wait_while(is_open, |is_open| !*is_open).unwrap());
    }
}

/// A runner, a KV cache store and the platform's store.
struct StoreFleet {
    runner: StandinRunner,
    gate: RunnerGate,
    kept: StandinCacheStore,
    store: StandinStore,
}

impl StoreFleet {
    fn start() -> Self {
        let (gate, kept) = (RunnerGate::default(), StandinCacheStore::start());
        let held = gate.clone();
        let runner = scripted_runner(move |request| {
            let id = header(request, "berylmount-request-id").unwrap_or_default();
            if id.starts_with("held") {
                held.wait();
            }
            let response = event_stream_to(request, &["id: 0\ndata: a\n\n"], true);
            (response, AfterResponse::Keep)
        });
        let store = StandinStore::start();
        store.put("config", "main", Some(store_table(&kept)));
        store.put("servers", "r1", Some(runner.entry("svc", "ready")));
        Self {
            runner,
            gate,
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

    /// Sends prompts with a part until it is fetched from the store.
    fn wait_for_fetches(&self, gateway: &TestGateway, prefix: &str) {
        let mut number = 0;
        wait_until("the part is fetched", || {
            number += 1;
            let id = format!("late{number}-{}", gateway.settings.name);
            let request = self.send(gateway, &id, prefix);
            self.is_fetched(&request)
        });
    }

    fn is_fetched(&self, request: &str) -> bool {
        let fetch = header(request, "berylmount-kv-fetch");
        fetch.is_some_and(|fetch| fetch.contains(&self.kept.address.to_string()))
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

/// Guards against a save that is written into the next epoch of its store: while it waits at a
/// runner, no instance fetches the part.
#[test]
fn a_part_is_not_fetched_while_an_order_to_save_it_waits_at_a_runner() {
    let fleet = StoreFleet::start();
    let [first, second] = ["i1", "i2"].map(|name| fleet.start_gateway(name));
    let scope = fleet.wait_for_saves(&first);
    fleet.wait_for_saves(&second);
    // The save of another request makes the part whole, while the first one still waits.
    thread::scope(|threads| {
        let held = threads.spawn(|| fleet.send(&first, "held", "bb"));
        wait_until("the request waits at the runner", || {
            fleet.received("held").is_some()
        });
        let request = fleet.received("held").unwrap();
        assert!(
            header(&request, "berylmount-kv-save").is_some(),
            "{request}"
        );
        fleet.kept.hold(&scope, "bb", PART_TOKENS);
        let end = Instant::now() + Duration::from_millis(1500);
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let request = fleet.send(&second, &format!("early{number}"), "bb");
            assert!(!fleet.is_fetched(&request), "{request}");
            thread::sleep(Duration::from_millis(50));
        }
        assert!(number > 5);
        fleet.gate.open();
        held.join().unwrap();
    });
    for gateway in [&first, &second] {
        fleet.wait_for_fetches(gateway, "bb");
    }
}

/// Guards against a large fleet that fetches parts only when all orders must have begun: most of its
/// instances don't get the reports of the others.
#[test]
fn instances_of_a_large_fleet_soon_fetch_what_a_collector_has_settled() {
    let fleet = StoreFleet::start();
    let names: Vec<String> = (0..LARGE_FLEET)
        .map(|number| format!("i{number}"))
        .collect();
    let gateways: Vec<TestGateway> = names.iter().map(|name| fleet.start_gateway(name)).collect();
    let scope = fleet.wait_for_saves(&gateways[0]);
    // On a busy machine some parts may take longer.
    let is_soon_fetched = (0..5).any(|number| {
        let part = format!("bb{number}");
        let held = Instant::now();
        fleet.kept.hold(&scope, &part, PART_TOKENS);
        let fetching = gateways.iter().step_by(5);
        fetching.for_each(|gateway| fleet.wait_for_fetches(gateway, &part));
        held.elapsed() < Duration::from_millis(UNTOLD_ORDER_MS)
    });
    assert!(is_soon_fetched);
}

/// Guards against a second save of a part, which would delay its first fetch.
#[test]
fn a_part_that_another_instance_saves_is_left_to_it() {
    let fleet = StoreFleet::start();
    let [first, second] = ["i1", "i2"].map(|name| fleet.start_gateway(name));
    fleet.wait_for_saves(&first);
    fleet.wait_for_saves(&second);
    thread::scope(|threads| {
        let held = threads.spawn(|| fleet.send(&first, "held", "bb"));
        wait_until("the request waits at the runner", || {
            fleet.received("held").is_some()
        });
        // Some heartbeats later.
        thread::sleep(Duration::from_millis(500));
        let request = fleet.send(&second, "other", "bb");
        assert_eq!(header(&request, "berylmount-kv-save"), None, "{request}");
        fleet.gate.open();
        held.join().unwrap();
    });
}

/// Guards against orders to save a part again and again, because the event that reports it never
/// arrives.
#[test]
fn a_part_whose_event_was_lost_is_fetched_all_the_same() {
    let fleet = StoreFleet::start();
    let gateway = fleet.start_gateway("i1");
    let scope = fleet.wait_for_saves(&gateway);
    fleet.kept.hold_unreported(&scope, "bb", PART_TOKENS);
    fleet.wait_for_fetches(&gateway, "bb");
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
