//! Customers that stop or start sharing cached prompts.
#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::{json, Value};
use standins::{
    event_stream_to, header, received_requests, route, scripted_runner, table, AfterResponse,
    StandinRunner, StandinStore, TestGateway,
};

/// A table whose service consists of engines, with two customers. A route that is named after
/// the version shows that the table is in force.
fn isolation_table(version: u64, first: (&str, bool)) -> Value {
    let mut prompts = route("/ask/", "streaming", 2, true);
    prompts["StickySessions"] = json!(true);
    let mark = route(&format!("/v{version}/"), "safe", 2, false);
    let mut table = table(
        version,
        vec![route("/safe/", "safe", 2, false), prompts, mark],
    );
    table["Services"][0]["Engine"] = json!({
        "Slots": 8, "KvCapacityTokens": 7_000_000, "KvTokenBytes": 18_432, "LinkMbps": 180_000,
    });
    table["Tenants"] = json!([
        {"Name": first.0, "ApiKeys": ["k1"], "Isolated": first.1},
        {"Name": "t2", "ApiKeys": ["k2"], "Isolated": false},
    ]);
    table
}

/// Sends a prompt of each customer; returns their cache scopes.
fn scopes(gateway: &TestGateway, runner: &StandinRunner) -> [String; 2] {
    let send = |key: &str| {
        let headers = format!(
            "Berylmount-Model: m\r\nBerylmount-Token-Usage: 4050,20\r\n\
             Berylmount-Prompt-Prefix: aa:4000,{key}:50\r\nAuthorization: Token {key}\r\n"
        );
        let address = gateway.settings.listen.callers;
        let request = format!(
            "POST /ask/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: {key}\r\n\
             Berylmount-Deadline-Ms: 2500\r\n{headers}Content-Length: 0\r\n\r\n"
        );
        let response = standins::send_request(address, &request).unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let requests = received_requests(runner);
        let sent = requests.iter().rfind(|r| r.starts_with("POST /ask"));
        header(sent.unwrap(), "berylmount-cache-salt").unwrap()
    };
    ["k1", "k2"].map(send)
}

/// Guards against parts of a customer that stay in use by all others after it became isolated,
/// and against a name that is taken for the shared scope.
#[test]
fn nothing_is_shared_with_a_customer_from_its_isolation_on() {
    let runner = scripted_runner(|request| {
        let response = event_stream_to(request, &["id: 0\ndata: a\n\n"], true);
        (response, AfterResponse::Keep)
    });
    let store = StandinStore::start();
    store.put("config", "main", Some(isolation_table(1, ("t1", false))));
    store.put("servers", "r1", Some(runner.entry("svc", "ready")));
    let gateway = TestGateway::start_with(store, "i1");
    gateway.wait_ready();
    let mut found = Vec::new();
    let customers = [("t1", false), ("t1", true), ("t1", false), ("shared", true)];
    for (version, first) in (1..).zip(customers) {
        let table = isolation_table(version, first);
        gateway.store.put("config", "main", Some(table));
        gateway.wait_for_status(&format!("GET /v{version}/warm"), "200", false);
        found.push(scopes(&gateway, &runner));
    }
    let [shared, isolated, again, named_shared] = &found[..] else {
        unreachable!()
    };
    assert_eq!(shared[0], shared[1]);
    assert_ne!(isolated[0], isolated[1]);
    assert!(!isolated.contains(&shared[0]), "{found:?}");
    assert_eq!(again, shared);
    assert_ne!(named_shared[0], named_shared[1]);
    assert!(!named_shared.contains(&shared[0]), "{found:?}");
}
