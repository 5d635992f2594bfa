//! Forwarding of requests to runners with various failures.
#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    event_stream_to, header, healthy_runner, received_requests, response_to, response_with_id,
    scripted_runner, send_request, table, wait_until, AfterResponse, TestGateway,
};
use std::{io::Write, net::TcpStream};

#[test]
fn the_request_is_forwarded_unchanged_except_for_system_headers() {
    let runner = healthy_runner();
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let headers = "X-Own: 1\r\nBerylmount-Tenant: forged\r\nBerylmount-Kv-Hold: h\r\n\
                   Kv-From: 1.2.3.4:5/x\r\nBerylmount-Cache-Salt: forged\r\n\
                   Connection: keep-alive, X-Hop\r\nX-Hop: 2\r\n";
    let response = gateway
        .call("POST /unsafe/a%20b?c=d", "id1", headers, "body")
        .unwrap();
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("fine"),
        "{response}"
    );
    assert_eq!(header(&response, "berylmount-response-stamp").unwrap(), "s");
    let forwarded = &received_requests(&runner)[0];
    assert!(
        forwarded.starts_with("POST /unsafe/a%20b?c=d HTTP/1.1\r\n"),
        "{forwarded}"
    );
    assert!(forwarded.ends_with("\r\n\r\nbody"), "{forwarded}");
    let names = [
        "x-own",
        "berylmount-request-id",
        "berylmount-tenant",
        "berylmount-expect-instance",
        "berylmount-kv-hold",
        "kv-from",
        "berylmount-cache-salt",
        "x-hop",
        "authorization",
    ];
    let found = names.map(|name| header(forwarded, name).unwrap_or_default());
    assert_eq!(found, ["1", "id1", "t1", "r1", "", "", "", "", ""]);
    let left: u64 = header(forwarded, "berylmount-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 2500, "{left}");
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    let first = scripted_runner(|_| (Vec::new(), AfterResponse::Close));
    let second = scripted_runner(|_| (Vec::new(), AfterResponse::Close));
    let gateway = TestGateway::start(&[("r1", &first), ("r2", &second)]);
    let response = gateway.call("POST /unsafe/x", "id1", "", "b").unwrap();
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(
        received_requests(&first).len() + received_requests(&second).len(),
        1
    );
}

#[test]
fn an_idempotent_request_is_retried_at_another_runner() {
    let broken = scripted_runner(|request| {
        (
            response_to(request, "200 OK", "cut off")[..60].to_vec(),
            AfterResponse::Close,
        )
    });
    let healthy_runner = healthy_runner();
    let gateway = TestGateway::start(&[("r1", &broken), ("r2", &healthy_runner)]);
    for number in 0..4 {
        let response = gateway
            .call("GET /safe/x", &format!("id{number}"), "", "")
            .unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert_eq!(received_requests(&healthy_runner).len(), 4);
}

#[test]
fn a_rejected_request_is_retried_only_within_the_attempt_limit() {
    let reject = |request: &str| {
        let id = header(request, "berylmount-request-id").unwrap();
        let rejection = format!(
            "HTTP/1.1 503 Full\r\nberylmount-request-id: {id}\r\nberylmount-not-executed: 1\r\n\
             content-length: 0\r\n\r\n"
        );
        (rejection.into_bytes(), AfterResponse::Keep)
    };
    let (first, second) = (scripted_runner(reject), scripted_runner(reject));
    let gateway = TestGateway::start(&[("r1", &first), ("r2", &second)]);
    let response = gateway.call("POST /once/x", "id1", "", "b").unwrap();
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(header(&response, "retry-after").is_some(), "{response}");
    assert_eq!(
        received_requests(&first).len() + received_requests(&second).len(),
        1
    );
    let response = gateway.call("POST /unsafe/x", "id2", "", "b").unwrap();
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert_eq!(
        received_requests(&first).len() + received_requests(&second).len(),
        3
    );
}

#[test]
fn a_response_to_another_request_is_never_forwarded() {
    let runner = scripted_runner(|request| {
        let mut bytes = response_with_id("other", "200 OK", "foreign");
        bytes.extend(response_to(request, "200 OK", "own"));
        (bytes, AfterResponse::Keep)
    });
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let response = gateway.call("POST /unsafe/x", "id1", "", "b").unwrap();
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("own"),
        "{response}"
    );
}

#[test]
fn a_response_without_stamp_or_with_content_encoding_is_a_failure() {
    let runner = scripted_runner(|request| {
        let id = header(request, "berylmount-request-id").unwrap();
        let extra = match request.contains("/plain") {
            true => "",
            false => "berylmount-response-stamp: s\r\ncontent-encoding: gzip\r\n",
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\nberylmount-request-id: {id}\r\n{extra}content-length: 1\r\n\r\nx"
        );
        (response.into_bytes(), AfterResponse::Keep)
    });
    let gateway = TestGateway::start(&[("r1", &runner)]);
    for path in ["plain", "encoded"] {
        let response = gateway
            .call(&format!("POST /once/{path}"), "id1", "", "b")
            .unwrap();
        assert!(response.starts_with("HTTP/1.1 502"), "{path}: {response}");
    }
}

#[test]
fn a_response_that_ends_with_its_connection_gets_a_content_length() {
    let runner = scripted_runner(|request| {
        let id = header(request, "berylmount-request-id").unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\nberylmount-request-id: {id}\r\nberylmount-response-stamp: s\r\n\r\n"
        );
        ((head + "until the end").into_bytes(), AfterResponse::Close)
    });
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let response = gateway.call("POST /once/x", "id1", "", "b").unwrap();
    assert_eq!(header(&response, "content-length").unwrap(), "13");
    assert!(response.ends_with("until the end"), "{response}");
}

#[test]
fn a_failed_stream_is_resumed_after_its_last_complete_event() {
    let runner = |_: ()| {
        scripted_runner(
            |request| match header(request, "last-event-id").as_deref() {
                None => {
                    let parts = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\nid: 3\nda"];
                    (
                        event_stream_to(request, &parts, false),
                        AfterResponse::Close,
                    )
                }
                Some("2") => {
                    let parts = ["id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
                    (event_stream_to(request, &parts, true), AfterResponse::Keep)
                }
                Some(other) => panic!("resumed after {other}"),
            },
        )
    };
    let (first, second) = (runner(()), runner(()));
    let gateway = TestGateway::start(&[("r1", &first), ("r2", &second)]);
    let response = gateway.call("POST /resume/x", "id1", "", "b").unwrap();
    let body = response.split_once("\r\n\r\n").unwrap().1;
    let lines = body
        .lines()
        .filter(|line| line.starts_with("id:") || line.starts_with("data:"));
    let lines: Vec<&str> = lines.collect();
    let expected = [
        "id: 1", "data: a", "id: 2", "data: b", "id: 3", "data: c", "id: 4", "data: d",
    ];
    assert_eq!(lines, expected);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

#[test]
fn a_failed_stream_that_is_not_resumable_does_not_look_complete() {
    let runner = scripted_runner(|request| {
        (
            event_stream_to(request, &["id: 1\ndata: a\n\n", "id: 2\nda"], false),
            AfterResponse::Close,
        )
    });
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let response = gateway.call("POST /stream/x", "id1", "", "b").unwrap();
    assert!(
        response.contains("data: a") && !response.contains("id: 2"),
        "{response}"
    );
    assert!(response.ends_with("<broken off>"), "{response}");
    assert_eq!(received_requests(&runner).len(), 1);
}

#[test]
fn a_caller_disconnect_closes_the_connection_to_the_runner() {
    let runner = scripted_runner(|_| (Vec::new(), AfterResponse::Hang));
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let mut caller = TcpStream::connect(gateway.settings.listen.callers).unwrap();
    let request = "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: id1\r\n\
                   Authorization: Token k1\r\nContent-Length: 1\r\n\r\nb";
    caller.write_all(request.as_bytes()).unwrap();
    wait_until("the request at the runner", || {
        received_requests(&runner).len() == 1
    });
    drop(caller);
    wait_until("the connection to the runner to close", || {
        *runner.closed.lock().unwrap() == 1
    });
}

#[test]
fn a_request_at_a_silent_runner_times_out() {
    let runner = scripted_runner(|_| (Vec::new(), AfterResponse::Hang));
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let response = gateway.call("POST /unsafe/x", "id1", "", "b").unwrap();
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
}

#[test]
fn routes_and_keys_follow_the_newest_table() {
    let runner = healthy_runner();
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let status = |line: &str| {
        let response = gateway.call(line, "id1", "", "").unwrap();
        response[9..12].to_owned()
    };
    assert_eq!(status("GET /nowhere/x"), "404");
    let unknown = "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token no\r\n\r\n";
    let response = send_request(gateway.settings.listen.callers, unknown).unwrap();
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    let mut newer = table(5, vec![standins::route("/added/", "safe", 1, false)]);
    newer["Tenants"][0]["ApiKeys"] = serde_json::json!(["k1", "k2"]);
    gateway.store.put("config", "main", Some(newer));
    wait_until("the newer table", || status("GET /added/x") == "200");
    assert_eq!(status("GET /safe/x"), "404");
    // An older version that is written later is ignored.
    gateway
        .store
        .put("config", "main", Some(table(4, standins::all_routes())));
    gateway.store.put(
        "config",
        "main",
        Some(table(6, vec![standins::route("/last/", "safe", 1, false)])),
    );
    wait_until("the newest table", || status("GET /last/x") == "200");
    assert_eq!(status("GET /safe/x"), "404");
}

#[test]
fn a_draining_runner_gets_no_new_request() {
    let (first, second) = (healthy_runner(), healthy_runner());
    let gateway = TestGateway::start(&[("r1", &first), ("r2", &second)]);
    gateway
        .store
        .put("servers", "r1", Some(first.entry("svc", "draining")));
    // An invalid entry is ignored.
    gateway
        .store
        .put("servers", "odd", Some(serde_json::json!({"Service": 7})));
    wait_until("the first runner to receive no more requests", || {
        let before = first.count();
        for number in 0..4 {
            gateway
                .call("GET /safe/x", &format!("d{number}"), "", "")
                .unwrap();
        }
        first.count() == before
    });
    gateway.store.put("servers", "r2", None);
    wait_until("a rejection", || {
        let response = gateway.call("GET /safe/x", "none", "", "").unwrap();
        response.starts_with("HTTP/1.1 503") && header(&response, "retry-after").is_some()
    });
}

#[test]
fn malformed_requests_are_rejected_and_never_forwarded() {
    let runner = healthy_runner();
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let start = "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n";
    let cases = [
        (
            "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400",
        ),
        ("Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"),
        ("Content-Length: +1\r\n\r\na", "400"),
        ("Transfer-Encoding: gzip\r\n\r\n", "400"),
        ("Content-Length: 99999999\r\n\r\n", "413"),
        ("Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"),
    ];
    for (rest, status) in cases {
        let response = match status {
            "413" => {
                let body = "x".repeat(70_000);
                send_request(
                    gateway.settings.listen.callers,
                    &format!("{start}{rest}{body}"),
                )
            }
            _ => send_request(gateway.settings.listen.callers, &format!("{start}{rest}")),
        };
        if let Some(response) = response {
            assert!(
                response.starts_with(&format!("HTTP/1.1 {status}")),
                "{rest:?}: {response}"
            );
        }
    }
    assert_eq!(received_requests(&runner).len(), 0);
}

#[test]
fn a_stream_whose_resumption_fails_gets_no_second_head() {
    let runner = || {
        scripted_runner(|request| match header(request, "last-event-id") {
            None => (
                event_stream_to(request, &["id: 1\ndata: a\n\n"], false),
                AfterResponse::Close,
            ),
            Some(_) => (Vec::new(), AfterResponse::Close),
        })
    };
    let (first, second) = (runner(), runner());
    let gateway = TestGateway::start(&[("r1", &first), ("r2", &second)]);
    let response = gateway.call("POST /resume/x", "id1", "", "b").unwrap();
    assert!(
        response.contains("data: a") && response.ends_with("<broken off>"),
        "{response}"
    );
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
    assert_eq!(
        received_requests(&first).len() + received_requests(&second).len(),
        2
    );
}

#[test]
fn a_server_error_is_forwarded_when_no_other_runner_is_left() {
    let runner = scripted_runner(|request| {
        (
            response_to(request, "500 Broken", "why"),
            AfterResponse::Keep,
        )
    });
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let response = gateway.call("GET /safe/x", "id1", "", "").unwrap();
    assert!(
        response.starts_with("HTTP/1.1 500") && response.ends_with("why"),
        "{response}"
    );
    assert_eq!(header(&response, "berylmount-response-stamp").unwrap(), "s");
}
