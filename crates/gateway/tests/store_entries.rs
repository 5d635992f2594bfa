//! Entries in the store that other writers left, and listings in several pages.

#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::Value;
use standins::{
    all_routes, healthy_runner, received_requests, table, wait_until, StandinRunner, StandinStore,
    TestGateway,
};

/// Values of entries that name no runner to use.
fn odd_entries() -> Vec<(&'static str, String)> {
    let nested = |count: usize| format!("{}{}", "[".repeat(count), "]".repeat(count));
    let entry = |field: &str| {
        format!(
            "{{\"Service\":\"svc\",\"Zone\":\"north\",\"Slots\":8,\"State\":\"ready\",\
             \"Address\":\"127.0.0.1:9\",{field}}}"
        )
    };
    vec![
        ("nested", entry(&format!("\"Extra\":{}", nested(100_000)))),
        ("nested-alone", nested(5000)),
        ("large-number", entry("\"born\":1e999")),
        (
            "many-digits",
            entry(&format!("\"born\":{}", "9".repeat(400))),
        ),
        ("negative", entry("\"born\":-4")),
        (
            "port",
            "{\"Service\":\"svc\",\"Address\":\"127.0.0.1:99999\",\"State\":\"ready\"}".into(),
        ),
        (
            "wrong-types",
            "{\"Service\":7,\"Address\":[],\"State\":{}}".into(),
        ),
        ("text", "\"text\"".into()),
        ("bytes", "\"\u{fffd}\u{fffd}\"".into()),
        ("null", "null".into()),
    ]
}

/// Waits until requests reach `runner`.
fn wait_for_requests(gateway: &TestGateway, runner: &StandinRunner) {
    wait_until("requests to the runner", || {
        gateway.call("GET /safe/x", "probe", "", "");
        !received_requests(runner).is_empty()
    });
}

/// Starts a gateway whose store holds an odd entry next to a runner's.
fn start_beside(name: &str, text: &str, runner: &StandinRunner) -> TestGateway {
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    store.put("servers", "a1", Some(runner.entry("svc", "ready")));
    store.put_text("servers", name, text);
    TestGateway::start_with(store, "i1")
}

#[test]
fn an_odd_entry_in_a_listing_leaves_the_other_runners_in_use() {
    for (name, text) in odd_entries() {
        let runner = healthy_runner();
        let gateway = start_beside(name, &text, &runner);
        println!("{name}");
        wait_for_requests(&gateway, &runner);
    }
}

#[test]
fn an_odd_entry_in_a_watch_leaves_the_list_followed() {
    let first = healthy_runner();
    let gateway = TestGateway::start(&[("next", &first)]);
    for (name, text) in odd_entries() {
        println!("{name}");
        gateway.store.put_text("servers", name, &text);
        // Replaces the only runner.
        let next = healthy_runner();
        let entry = next.entry("svc", "ready");
        gateway.store.put("servers", "next", Some(entry));
        wait_for_requests(&gateway, &next);
    }
}

#[test]
fn an_entry_that_becomes_odd_names_no_runner() {
    let (first, second) = (healthy_runner(), healthy_runner());
    let gateway = TestGateway::start(&[("a1", &first), ("a2", &second)]);
    gateway.store.put_text("servers", "a1", "{\"Slots\":1e999}");
    wait_until("requests to the other runner only", || {
        let known = received_requests(&first).len();
        (0..10).for_each(|_| drop(gateway.call("GET /safe/x", "probe", "", "")));
        received_requests(&first).len() == known
    });
}

#[test]
fn entries_with_unusual_names_are_listed_in_pages() {
    let runner = healthy_runner();
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    for name in ["a b", "a&x=1", "a#", "a\r\nb: c", "a%20", "ü"] {
        store.put_text("servers", name, "{}");
    }
    store.put("servers", "zz", Some(runner.entry("svc", "ready")));
    store.change_between_pages(2, "servers", "zzz", Some(Value::Null));
    let gateway = TestGateway::start_with(store, "i1");
    wait_for_requests(&gateway, &runner);
}

/// Guards against a watch that continues after the revision of the last page.
#[test]
fn a_change_between_two_pages_of_a_listing_is_not_lost() {
    let (gone, stays) = (healthy_runner(), healthy_runner());
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    store.put("servers", "a1", Some(gone.entry("svc", "ready")));
    store.put("servers", "b1", Some(stays.entry("svc", "ready")));
    let draining = gone.entry("svc", "draining");
    store.change_between_pages(1, "servers", "a1", Some(draining));
    let gateway = TestGateway::start_with(store, "i1");
    wait_for_requests(&gateway, &stays);
    let known = received_requests(&gone).len();
    for _ in 0..20 {
        gateway.call("GET /safe/x", "probe", "", "");
    }
    assert_eq!(received_requests(&gone).len(), known);
}
