//! Calls of plain services against the service stand-in.

#![allow(clippy::unwrap_used)]

use berylmount_model::OrderKey;
use berylmount_standins::{ServiceConfig, ServiceFault, ServiceServer};
use berylmount_targets::{KeyOutcome, ServiceClient, TargetTimeouts};
use serde_json::json;
use std::time::Duration;

/// How long a test waits for an answer that comes.
const LIMIT: Duration = Duration::from_secs(10);

/// How long a test waits for an answer that was lost.
const LOST_ANSWER: Duration = Duration::from_millis(500);

fn key(text: &str) -> OrderKey {
    OrderKey::new(text).unwrap()
}

#[test]
fn each_fault_has_the_verdict_that_the_runs_prove() {
    let service = ServiceServer::start(&ServiceConfig::default()).unwrap();
    let client = ServiceClient::new(service.address(), TargetTimeouts::default());
    let faults = [
        ServiceFault::None,
        ServiceFault::FailBefore,
        ServiceFault::FailAfter,
        ServiceFault::DropAnswer,
    ];
    let mut seen = Vec::new();
    for fault in faults {
        let key = key(&format!("20261204-{fault:?}"));
        service.inject(fault, 1);
        let limit = match fault {
            ServiceFault::DropAnswer => LOST_ANSWER,
            _ => LIMIT,
        };
        let answer = client.call(&key, &json!({"n": 1}), limit);
        let verdict = match answer {
            Ok(answer) => format!("{answer}"),
            Err(fault) => format!("{:?} {}", fault.kind, fault.verdict),
        };
        let outcome = client.look_up(&key).unwrap() != KeyOutcome::NotFound;
        let runs = service.runs(key.as_str());
        seen.push(format!(
            "{fault:?}: {verdict}, runs {runs}, found {outcome}"
        ));
    }
    insta::assert_snapshot!(seen.join("\n"), @r#"
    None: {"echo":{"n":1},"key":"20261204-None","run":1}, runs 1, found true
    FailBefore: Rejected(Failed) not_run, runs 0, found false
    FailAfter: Rejected(Failed) may_have_run, runs 1, found true
    DropAnswer: Silent may_have_run, runs 1, found true
    "#);
}

#[test]
fn a_leaving_service_refuses_and_a_service_without_look_up_says_so() {
    let config = ServiceConfig {
        look_up: false,
        ..ServiceConfig::default()
    };
    let service = ServiceServer::start(&config).unwrap();
    let client = ServiceClient::new(service.address(), TargetTimeouts::default());
    service.set_leaving(true);
    let key = key("20261204-a/b");
    let fault = client.call(&key, &json!({}), LIMIT).unwrap_err();
    insta::assert_snapshot!(fault, @"rejected: leaving (not_run): the target answered 503 Service Unavailable");
    assert_eq!(client.look_up(&key).unwrap(), KeyOutcome::Unsupported);
    service.set_leaving(false);
    client.call(&key, &json!({}), LIMIT).unwrap();
    assert_eq!(service.runs("20261204-a/b"), 1);
    let read = client.read("stock/red-paint", LIMIT).unwrap();
    assert_eq!(read["path"], "/v1/reads/stock/red-paint");
    assert!(client.read("../admin/report", LIMIT).is_err());
}

#[test]
fn a_call_carries_the_traces_context() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let heard = std::thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let lines = std::io::BufRead::lines(std::io::BufReader::new(stream));
        let mut lines = lines
            .map(Result::unwrap)
            .take_while(|line| !line.is_empty());
        lines.any(|line| line == format!("traceparent: {trace}"))
    });
    let client = ServiceClient::new(address, TargetTimeouts::default()).with_traceparent(trace);
    // The listener gives no answer; only what it heard counts.
    let _ = client.read("paint", Duration::from_secs(5));
    assert!(heard.join().unwrap());
}
