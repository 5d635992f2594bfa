//! Tests of invalid, excessive, slow and idle callers.

mod common;

use berylmount_standins::{wait_until, FleetConfig, TestFleet, CUSTOMER_KEY};
use common::{answer, authority_rows, binary, CallerClient};
use proptest::{prelude::*, test_runner::TestRunner};
use serde_json::{json, Value};
use std::{
    fmt::Write as _,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Socket timeout, longer than any wait in a passing test.
const IO_TIMEOUT: Duration = Duration::from_secs(20);

/// A fleet of one instance.
fn fleet() -> TestFleet {
    TestFleet::start(binary(), FleetConfig::default(), authority_rows()).unwrap()
}

/// A short prompt.
fn body() -> Value {
    json!({"work": "crew-question", "prompt": "which colour", "max_tokens": 2})
}

/// Sends raw bytes and reads until the entry closes or its first answer ends.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut read = Vec::new();
    let _ = stream.read_to_end(&mut read);
    read
}

#[test]
fn wrong_requests_are_refused_with_their_reason() {
    let fleet = fleet();
    let caller = CallerClient::new(fleet.callers(0), "north-crew");
    let stranger = CallerClient::new(fleet.callers(0), "nobody");
    let long = "word ".repeat(20_001);
    let huge = "x".repeat(2 << 20);
    let prompt = |body: Value| caller.ask(&body);
    let cases = [
        (
            "unknown field",
            prompt(json!({"work": "crew-question", "prompt": "a", "x": 1})),
        ),
        (
            "empty prompt",
            prompt(json!({"work": "crew-question", "prompt": " "})),
        ),
        (
            "long prompt",
            prompt(json!({"work": "crew-question", "prompt": long})),
        ),
        (
            "huge body",
            prompt(json!({"work": "crew-question", "prompt": huge})),
        ),
        (
            "many tokens",
            prompt(json!({"work": "crew-question", "prompt": "a", "max_tokens": 2001})),
        ),
        (
            "no such work",
            prompt(json!({"work": "nothing", "prompt": "a"})),
        ),
        (
            "order as prompt",
            prompt(json!({"work": "work-order", "prompt": "a"})),
        ),
        ("unknown customer", stranger.ask(&body())),
        ("bad request id", answer(caller.get("/v1/prompts/xyz"))),
        (
            "bad offset",
            answer(caller.get(&format!("/v1/prompts/{:032}?offset=-1", 0))),
        ),
        (
            "unknown request",
            answer(caller.get(&format!("/v1/prompts/{:032}", 0))),
        ),
        ("unknown path", answer(caller.get("/v2/prompts"))),
        (
            "read that may not repeat",
            answer(caller.get("/v1/reads/work-order/a")),
        ),
        (
            "bad key",
            caller.order("no-date", &json!({"work": "work-order", "body": 1})),
        ),
    ];
    let mut seen = String::new();
    for (name, (status, body)) in &cases {
        let (verdict, reason, detail) = (&body["verdict"], &body["reason"], &body["detail"]);
        writeln!(seen, "{name}: {status} {verdict} {reason} {detail}").unwrap();
    }
    insta::assert_snapshot!(seen);
}

#[test]
fn a_wrong_key_and_an_unknown_customer_get_the_same_response() {
    let fleet = fleet();
    let address = fleet.callers(0);
    let ask = |authorization: &str| {
        let request = format!(
            "POST /v1/prompts HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
             authorization: {authorization}\r\ncontent-length: 0\r\n\r\n"
        );
        let answer = String::from_utf8(send_raw(address, request.as_bytes())).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with("HTTP/1.1 401"), "{head}");
        body.to_owned()
    };
    let wrong = ask("Bearer north-crew:wrong");
    assert_eq!(wrong, ask("Bearer nobody:wrong"));
    assert_eq!(wrong, ask("Basic something"));
    assert!(!wrong.contains(CUSTOMER_KEY));
}

#[test]
fn a_customer_over_its_limit_is_told_when_to_retry() {
    let fleet = fleet();
    let rows = authority_rows().replace("10,100,100,100", "10,1,2,100");
    fleet.import(&rows).unwrap();
    let caller = CallerClient::new(fleet.callers(0), "north-crew");
    let mut refused = (0, Value::Null);
    wait_until("the limit is used up", || {
        refused = caller.ask(&body());
        refused.0 != 200
    });
    assert_eq!(refused.0, 429, "{}", refused.1);
    assert_eq!(refused.1["verdict"], "not_run");
    let retry_after_ms = refused.1["retry_after_ms"].as_u64().unwrap();
    assert!((1..=2_000).contains(&retry_after_ms), "{retry_after_ms}");
    // Another customer has a limit of its own.
    let other = CallerClient::new(fleet.callers(0), "south-crew");
    assert_eq!(other.ask(&body()).0, 200);
}

#[test]
fn an_entry_that_is_not_the_customers_own_says_which_is() {
    let config = FleetConfig {
        instances: 2,
        ..FleetConfig::default()
    };
    let rows = authority_rows().replace("10,100,100,100", "10,1,2,2");
    let mut fleet = TestFleet::start(binary(), config, &rows).unwrap();
    let own = fleet.locate("north-crew");
    let place = (0..2).find(|&place| fleet.callers(place) != own).unwrap();
    let caller = CallerClient::new(fleet.callers(place), "north-crew");
    let (status, refusal) = caller.ask(&body());
    assert_eq!(
        (status, &refusal["address"]),
        (421, &json!(own.to_string()))
    );
    assert_eq!(refusal["verdict"], "not_run");
    // After the customer's own entry is killed, the other entry serves it.
    fleet.entries[1 - place].kill();
    assert_eq!(caller.ask(&body()).0, 200);
}

#[test]
fn idle_and_slow_callers_do_not_block_others() {
    let fleet = fleet();
    let address = fleet.callers(0);
    let idle: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let slow: Vec<TcpStream> = (0..50)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream
                .write_all(b"POST /v1/prompts HTTP/1.1\r\nhost:")
                .unwrap();
            stream
        })
        .collect();
    let caller = CallerClient::new(address, "north-crew");
    assert_eq!(caller.ask(&body()).0, 200);
    drop((idle, slow));
}

#[test]
fn arbitrary_bytes_do_not_stop_the_entry() {
    let fleet = fleet();
    let address = fleet.callers(0);
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 40,
        ..ProptestConfig::default()
    });
    let line = prop_oneof![
        Just("GET /v1/locate?customer=%00&customer=x HTTP/1.1".to_owned()),
        Just("POST /v1/prompts HTTP/1.1".to_owned()),
        "[ -~]{0,80}",
    ];
    let header = prop_oneof![
        Just(format!("authorization: Bearer north-crew:{CUSTOMER_KEY}")),
        Just("content-length: 99999999999999999999".to_owned()),
        Just("transfer-encoding: chunked".to_owned()),
        "[ -~]{0,200}",
    ];
    let headers = prop::collection::vec(header, 0..4);
    let tail = prop::collection::vec(any::<u8>(), 0..200);
    let sent = (line, headers, tail);
    runner
        .run(&sent, |(line, headers, tail)| {
            let mut bytes = format!("{line}\r\n{}\r\n\r\n", headers.join("\r\n")).into_bytes();
            bytes.extend(tail);
            let _ = send_raw(address, &bytes);
            Ok(())
        })
        .unwrap();
    let caller = CallerClient::new(address, "north-crew");
    assert_eq!(caller.ask(&body()).0, 200);
}

/// Returns the resident memory of a process, in bytes.
fn memory_of(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.unwrap().split_whitespace().nth(1).unwrap();
    kib.parse::<u64>().unwrap() * 1024
}

#[test]
fn an_endless_head_is_not_read_to_its_end() {
    let fleet = fleet();
    let before = memory_of(fleet.entries[0].id());
    let mut stream = TcpStream::connect(fleet.callers(0)).unwrap();
    stream.set_write_timeout(Some(IO_TIMEOUT)).unwrap();
    let part = vec![b'a'; 1 << 20];
    let sent = (0..64).take_while(|_| stream.write_all(&part).is_ok());
    let sent = sent.count();
    let grown = memory_of(fleet.entries[0].id()).saturating_sub(before);
    assert!(sent < 64, "the entry read a head of 64 MiB");
    assert!(grown < 16 << 20, "the entry grew by {grown} bytes");
}
