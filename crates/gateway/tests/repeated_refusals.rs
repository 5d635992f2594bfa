//! Runners that send a refusal of an earlier request once more on a kept connection, or a
//! status of a refusal after they have run the request.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    header, received_requests, response_to, scripted_runner, AfterResponse, StandinRunner,
    TestGateway,
};

/// A refusal of the request with `id`, or of one that it does not name.
fn refusal(id: Option<&str>, status: &str) -> Vec<u8> {
    let id = id.map_or_else(String::new, |id| format!("berylmount-request-id: {id}\r\n"));
    format!(
        "HTTP/1.1 {status}\r\n{id}berylmount-not-executed: 1\r\n\
         berylmount-instance-id: r1\r\ncontent-length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// A runner that refuses the request `first`, and repeats that refusal without or with its
/// id before the response to each later request.
fn repeating_runner(names_id: bool, status: &'static str) -> StandinRunner {
    scripted_runner(move |request| {
        let id = header(request, "berylmount-request-id").unwrap();
        let response = match id.as_str() {
            "first" => refusal(Some("first"), status),
            _ => {
                let mut bytes = refusal(names_id.then_some("first"), status);
                bytes.extend(response_to(request, "200 OK", "own"));
                bytes
            }
        };
        (response, AfterResponse::Keep)
    })
}

#[test]
fn a_repeated_refusal_is_not_taken_for_one_of_the_next_request() {
    for status in ["503 Full", "429 Busy", "421 Misdirected"] {
        for names_id in [true, false] {
            let runner = repeating_runner(names_id, status);
            let gateway = TestGateway::start(&[("r1", &runner)]);
            for path in ["unsafe", "once", "safe"] {
                // A refused request leaves a connection that the next one uses.
                gateway.call("POST /unsafe/x", "first", "", "b").unwrap();
                let before = received_requests(&runner).len();
                let line = format!("POST /{path}/x");
                let response = gateway.call(&line, "second", "", "b").unwrap();
                let case = format!("{status}, with id {names_id}, {path}: {response}");
                assert!(response.starts_with("HTTP/1.1 200"), "{case}");
                assert!(response.ends_with("own"), "{case}");
                assert_eq!(received_requests(&runner).len(), before + 1, "{case}");
            }
        }
    }
}

/// Guards against a second run after a refusal that may belong to an earlier request.
#[test]
fn a_refusal_without_an_id_on_a_kept_connection_promises_nothing() {
    let runner = || {
        scripted_runner(|request| {
            let id = header(request, "berylmount-request-id").unwrap();
            match id.as_str() {
                "first" => (refusal(Some("first"), "503 Full"), AfterResponse::Keep),
                _ => (refusal(None, "503 Full"), AfterResponse::Close),
            }
        })
    };
    let (first, second) = (runner(), runner());
    let gateway = TestGateway::start(&[("r1", &first), ("r2", &second)]);
    // Both runners refuse it and keep the connection.
    gateway.call("POST /unsafe/x", "first", "", "b").unwrap();
    let response = gateway.call("POST /unsafe/x", "second", "", "b").unwrap();
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    let received = [received_requests(&first), received_requests(&second)].concat();
    let ids = received
        .iter()
        .map(|r| header(r, "berylmount-request-id").unwrap());
    assert_eq!(ids.filter(|id| id == "second").count(), 1);
}

/// Guards against a promise that a request has not run which its runner did not make.
#[test]
fn a_refusal_status_without_the_statement_promises_nothing_if_a_request_may_run_once() {
    for status in ["503 Failed", "429 Busy", "421 Misdirected", "408 Late"] {
        let runner = || {
            scripted_runner(move |request| {
                (response_to(request, status, "own"), AfterResponse::Keep)
            })
        };
        let (first, second) = (runner(), runner());
        let gateway = TestGateway::start(&[("r1", &first), ("r2", &second)]);
        for path in ["unsafe", "once", "stream"] {
            let line = format!("POST /{path}/x");
            let response = gateway.call(&line, path, "", "b").unwrap();
            assert!(response.starts_with("HTTP/1.1 502"), "{status}: {response}");
            assert_eq!(
                header(&response, "berylmount-response-stamp"),
                None,
                "{status}"
            );
            let received = [received_requests(&first), received_requests(&second)].concat();
            let ids = received
                .iter()
                .map(|r| header(r, "berylmount-request-id").unwrap());
            assert_eq!(ids.filter(|id| id == path).count(), 1, "{status}");
        }
        // A request that may be repeated gets the status of its runner.
        let response = gateway.call("GET /safe/x", "safe", "", "").unwrap();
        assert!(response[9..].starts_with(&status[..3]), "{response}");
    }
}
