//! How long runners with older weights serve after newer ones are requested.
//!
//! The time limit counts from the request, which no object in the store tells.
#![allow(clippy::unwrap_used)]

mod standins;

use berylmount_gateway::wire_cases::{WireInput, WireKind};
use serde_json::{json, Value};
use standins::{
    all_routes, encode_heartbeat, received_requests, response_to, scripted_runner, settings, table,
    wait_until, AfterResponse, StandinRunner, StandinStore, TestGateway, WAIT_TIMEOUT,
};
use std::{
    net::UdpSocket,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Time after which a process no longer believes what a heartbeat alone tells of the time of a
/// request, with some margin.
const HINT_TIME: Duration = Duration::from_millis(1500);

/// Starts a runner with old weights that refuses orders for newer ones.
fn old_runner() -> StandinRunner {
    scripted_runner(|request| {
        let status = match request.contains("/berylmount/") {
            true => "503 Busy",
            false => "200 OK",
        };
        (response_to(request, status, ""), AfterResponse::Keep)
    })
}

fn start_store(runner: &StandinRunner) -> StandinStore {
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    store.put("servers", "r1", Some(runner.entry("svc", "ready")));
    store
}

fn weights(version: u64) -> Option<Value> {
    Some(json!({"Model": "m", "Version": version}))
}

/// Sends a prompt for the model `m`; returns the first line of the response.
fn send_prompt(gateway: &TestGateway, id: &str) -> String {
    send_prompt_for(gateway, "m", id)
}

fn send_prompt_for(gateway: &TestGateway, model: &str, id: &str) -> String {
    let headers = format!("Berylmount-Model: {model}\r\nBerylmount-Token-Usage: 100,10\r\n");
    let response = gateway.call("GET /safe/x", id, &headers, "").unwrap();
    response.lines().next().unwrap().to_owned()
}

/// Returns how many prompts a runner received after its first `before` requests.
fn count_prompts(runner: &StandinRunner, before: usize) -> usize {
    let requests = received_requests(runner);
    let prompts = requests[before..].iter();
    prompts.filter(|r| r.starts_with("GET /safe/")).count()
}

fn start_gateway(store: &StandinStore, name: &str) -> TestGateway {
    let gateway = TestGateway::start_with(store.clone(), name);
    gateway.wait_ready();
    gateway.wait_for_status("GET /safe/warm", "200", false);
    gateway
}

/// Guards against a process that starts after the request of new weights, when nobody is left
/// who knows its time, and serves old weights for another full time limit.
#[test]
fn old_weights_do_not_serve_if_nobody_knows_when_newer_ones_were_requested() {
    let runner = old_runner();
    let store = start_store(&runner);
    store.put("versions", "m", weights(2));
    let gateway = start_gateway(&store, "i1");
    let before = received_requests(&runner).len();
    for number in 0..5 {
        let status = send_prompt(&gateway, &format!("id{number}"));
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
    }
    assert_eq!(count_prompts(&runner, before), 0);
}

/// Guards against refusing prompts during a rollout whose start is known: from the watch of
/// the process itself, from another process, or from the lease record.
#[test]
fn old_weights_serve_while_the_time_limit_has_surely_not_passed() {
    let runner = old_runner();
    let store = start_store(&runner);
    store.put("versions", "m", weights(1));
    let first = start_gateway(&store, "i1");
    store.put("versions", "m", weights(2));
    let lease = || store.value("berylmount-leases", "weights");
    wait_until("the time in the lease", || {
        lease().is_some_and(|record| record["named"][0]["version"] == 2)
    });
    assert_eq!(send_prompt(&first, "id1"), "HTTP/1.1 200 OK");
    let second = start_gateway(&store, "i2");
    wait_until("a response on old weights", || {
        send_prompt(&second, "id2") == "HTTP/1.1 200 OK"
    });
    // The lease record is all that a process before another store has.
    let stored = start_store(&runner);
    stored.put("versions", "m", weights(2));
    let mut record = lease().unwrap();
    record["is_released"] = true.into();
    stored.put("berylmount-leases", "weights", Some(record));
    let third = start_gateway(&stored, "i3");
    wait_until("a response on old weights after a loss", || {
        send_prompt(&third, "id3") == "HTTP/1.1 200 OK"
    });
}

/// Guards against a lease record of a clock that is ahead, which would let old weights serve
/// for longer.
#[test]
fn a_stored_request_time_counts_as_earlier_by_the_clock_skew() {
    let runner = old_runner();
    let store = start_store(&runner);
    store.put("versions", "m", weights(2));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    // With the maximum skew of 2.5 s, the time limit of 15 s has passed, less the time until
    // a busy runner starts a request.
    let at_unix_ms = (now - Duration::from_millis(10_800)).as_millis() as u64;
    let record = json!({
        "holder": "gone", "started_ms": 1, "term": 3, "renewal": 9, "is_acting": false,
        "is_released": true,
        "named": [{"model": "m", "version": 2, "at_unix_ms": at_unix_ms}],
    });
    store.put("berylmount-leases", "weights", Some(record));
    let gateway = start_gateway(&store, "i1");
    wait_until("the lease", || {
        let lease = store.value("berylmount-leases", "weights");
        lease.is_some_and(|lease| lease["holder"] == "i1")
    });
    for number in 0..5 {
        let status = send_prompt(&gateway, &format!("id{number}"));
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
    }
}

/// Guards against a request that waits in the queue of a runner with old weights until the time limit
/// has passed.
#[test]
fn a_runner_with_old_weights_and_a_queue_gets_no_requests_near_the_time_limit() {
    // Running and waiting requests, and slots.
    for (load, expected) in [
        ("2,0,8", "HTTP/1.1 200 OK"),
        ("2,4,8", "HTTP/1.1 503 Service Unavailable"),
    ] {
        let runner = StandinRunner::start(move |request, _| {
            let status = match request.contains("/berylmount/") {
                true => "503 Busy",
                false => "200 OK",
            };
            let response = String::from_utf8(response_to(request, status, "")).unwrap();
            let loaded = format!("berylmount-instance-load: {load}\r\ncontent-length");
            let response = response.replace("content-length", &loaded);
            (response.into_bytes(), AfterResponse::Keep)
        });
        let store = start_store(&runner);
        store.put("versions", "m", weights(1));
        let mut settings = settings("i1", store.address);
        settings.bounds.weights_apply = Duration::from_millis(5500);
        let gateway = TestGateway::start_with_settings(store.clone(), settings);
        gateway.wait_ready();
        gateway.wait_for_status("GET /safe/warm", "200", false);
        store.put("versions", "m", weights(2));
        let requested = Instant::now();
        wait_until("the expected response", || {
            send_prompt(&gateway, "id") == expected
        });
        assert!(requested.elapsed() < Duration::from_secs(2), "{load}");
    }
}

/// Guards against a heartbeat that waited for long on its way, whose age of a request is too low
/// by that time, and which lets old weights serve for another full time limit.
#[test]
fn a_delayed_heartbeat_does_not_let_old_weights_serve() {
    let runner = old_runner();
    let store = start_store(&runner);
    store.put("versions", "m", weights(2));
    let gateway = start_gateway(&store, "i1");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let heartbeat = encode_heartbeat("i2", address, 4002, &json!([["m", 2, 100]]));
    let peers = gateway.settings.peer_address();
    socket.send_to(&heartbeat, peers).unwrap();
    thread::sleep(HINT_TIME);
    let before = received_requests(&runner).len();
    for number in 0..5 {
        let status = send_prompt(&gateway, &format!("id{number}"));
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
    }
    assert_eq!(count_prompts(&runner, before), 0);
}

/// Waits for a query for request times; returns its number.
fn receive_query(socket: &UdpSocket) -> u64 {
    let mut buffer = vec![0; 65_536];
    let mut number = None;
    wait_until("a query for request times", || {
        let length = socket.recv(&mut buffer).unwrap();
        // Heartbeats are no extensions.
        if let Ok(value) = WireKind::Extension.read(WireInput::Encoded(&buffer[..length])) {
            let query = value.text.strip_prefix("RequestTimesQuery(\n");
            number = query.map(|rest| rest.trim().split(',').next().unwrap().to_owned());
        }
        number.is_some()
    });
    number.unwrap().parse().unwrap()
}

/// Guards against refusing prompts until the next heartbeat, in a large fleet for a second, after
/// a process has learned of a version of which others have told before, and against believing
/// them for longer without a reply.
#[test]
fn a_process_asks_for_the_request_time_when_it_learns_of_a_version() {
    let runner = old_runner();
    let store = start_store(&runner);
    store.put("versions", "m", weights(2));
    store.refuse_kinds(&["versions"]);
    let gateway = start_gateway(&store, "i1");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let address = socket.local_addr().unwrap();
    let heartbeat = encode_heartbeat("i2", address, 4002, &json!([["m", 2, 100]]));
    let peers = gateway.settings.peer_address();
    socket.send_to(&heartbeat, peers).unwrap();
    // The gateway sends its own heartbeats to instances that it has heard.
    socket.recv(&mut [0; 65_536]).unwrap();
    let started = Instant::now();
    store.refuse_kinds(&[]);
    receive_query(&socket);
    let status = send_prompt(&gateway, "soon");
    // The process has learned of the version after `started`.
    if started.elapsed() < Duration::from_secs(1) {
        assert_eq!(status, "HTTP/1.1 200 OK");
    }
    thread::sleep(HINT_TIME);
    let status = send_prompt(&gateway, "later");
    assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
}

/// Guards against a reply that is taken for younger than it is, and against refusing prompts for
/// which a reply has shown that old weights may serve.
#[test]
fn a_request_time_in_a_reply_counts_from_the_query() {
    let runner = old_runner();
    let store = start_store(&runner);
    let mut entry = runner.entry("svc", "ready");
    entry["Models"] = json!([{"Name": "m", "Version": 1}, {"Name": "n", "Version": 1}]);
    store.put("servers", "r1", Some(entry));
    store.put("versions", "m", weights(2));
    store.put("versions", "n", Some(json!({"Model": "n", "Version": 2})));
    let mut settings = settings("i1", store.address);
    settings.bounds.weights_apply = Duration::from_secs(14);
    let gateway = TestGateway::start_with_settings(store, settings);
    gateway.wait_ready();
    gateway.wait_for_status("GET /safe/warm", "200", false);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let address = socket.local_addr().unwrap();
    let goals = json!([["m", 2, 100], ["n", 2, 100]]);
    let heartbeat = encode_heartbeat("i2", address, 4002, &goals);
    let peers = gateway.settings.peer_address();
    socket.send_to(&heartbeat, peers).unwrap();
    let number = receive_query(&socket);
    thread::sleep(Duration::from_secs(4));
    for model in ["m", "n"] {
        let status = send_prompt_for(&gateway, model, "early");
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
    }
    // Of the 14 s, 4 s have passed since the query, and a request may start 2 s later.
    let reply = json!({"number": number, "ages": [["m", 2, 9000], ["n", 2, 0]]});
    let reply = json!({"RequestTimesReply": reply}).to_string();
    let reply = WireKind::Extension.read(WireInput::Json(&reply)).unwrap();
    socket.send_to(&reply.bytes, peers).unwrap();
    wait_until("a response on old weights", || {
        send_prompt_for(&gateway, "n", "recent") == "HTTP/1.1 200 OK"
    });
    assert_eq!(
        send_prompt_for(&gateway, "m", "long-ago"),
        "HTTP/1.1 503 Service Unavailable"
    );
}
