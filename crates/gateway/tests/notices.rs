//! Notices in runners' responses that they are draining or ask for backoff.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    header, healthy_runner, read_response, received_requests, response_to, scripted_runner,
    wait_until, AfterResponse, StandinRunner, StandinStore, TestGateway,
};
use std::{
    io::Write,
    net::TcpStream,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
};

/// A response with one more header.
fn response_with_header(request: &str, status: &str, extra: &str) -> Vec<u8> {
    let response = String::from_utf8(response_to(request, status, "fine")).unwrap();
    let (head, body) = response.split_once("\r\n").unwrap();
    format!("{head}\r\n{extra}\r\n{body}").into_bytes()
}

/// A rejection by a runner that asks for backoff.
fn backoff_rejection(request: &str, seconds: &str) -> Vec<u8> {
    let extra = format!("berylmount-not-executed: 1\r\nretry-after: {seconds}");
    response_with_header(request, "503 Full", &extra)
}

/// Sends `count` requests.
fn send_requests(gateway: &TestGateway, count: usize) {
    for number in 0..count {
        gateway.call("GET /safe/x", &format!("n{number}"), "", "");
    }
}

#[test]
fn a_runner_that_announces_its_drain_gets_no_further_request() {
    for status in ["200 OK", "500 Failed"] {
        let responses = Arc::new(AtomicUsize::new(0));
        let counted = responses.clone();
        let draining = scripted_runner(move |request| {
            counted.fetch_add(1, Ordering::Relaxed);
            let response = response_with_header(request, status, "Server-Leaving: 1");
            (response, AfterResponse::Keep)
        });
        let other = healthy_runner();
        let gateway = TestGateway::start(&[("r1", &draining), ("r2", &other)]);
        wait_until("the first request at the draining runner", || {
            send_requests(&gateway, 1);
            responses.load(Ordering::Relaxed) > 0
        });
        // Its entry still says ready, even when it is written again.
        let entry = draining.entry("svc", "ready");
        gateway.store.put("servers", "r1", Some(entry));
        send_requests(&gateway, 30);
        assert_eq!(responses.load(Ordering::Relaxed), 1, "{status}");
    }
}

#[test]
fn a_drain_notice_outlives_the_entry_and_is_cleared_by_a_restart() {
    let draining = scripted_runner(|request| {
        let response = response_with_header(request, "200 OK", "Server-Leaving: 1");
        (response, AfterResponse::Keep)
    });
    let other = healthy_runner();
    let gateway = TestGateway::start(&[("r1", &draining), ("r2", &other)]);
    wait_until("the first request at the draining runner", || {
        send_requests(&gateway, 1);
        !received_requests(&draining).is_empty()
    });
    let store: &StandinStore = &gateway.store;
    store.put("servers", "r1", None);
    store.put("servers", "r1", Some(draining.entry("svc", "ready")));
    let marker = healthy_runner();
    store.put("servers", "r3", Some(marker.entry("svc", "ready")));
    store.put("servers", "r2", None);
    wait_until("the new entries to be in force", || {
        send_requests(&gateway, 1);
        !received_requests(&marker).is_empty()
    });
    assert_eq!(received_requests(&draining).len(), 1);
    let mut entry = draining.entry("svc", "ready");
    entry["born"] = 2.into();
    store.put("servers", "r1", Some(entry));
    store.put("servers", "r3", None);
    wait_until("a request after the restart", || {
        send_requests(&gateway, 1);
        received_requests(&draining).len() > 1
    });
}

#[test]
fn a_drain_notice_in_a_late_duplicate_is_ignored() {
    // Each response follows a duplicate of an earlier one.
    let runner: StandinRunner = scripted_runner(|request| {
        let stale = "GET /safe/x HTTP/1.1\r\nberylmount-request-id: earlier\r\n\r\n";
        let mut response = response_with_header(stale, "200 OK", "Server-Leaving: 1");
        response.extend(response_to(request, "200 OK", "fine"));
        (response, AfterResponse::Keep)
    });
    let gateway = TestGateway::start(&[("r1", &runner)]);
    for number in 0..5 {
        let response = gateway.call("GET /safe/x", &format!("n{number}"), "", "");
        assert!(response.unwrap().starts_with("HTTP/1.1 200"));
    }
}

#[test]
fn a_runner_in_backoff_gets_no_request_and_callers_get_retry_after() {
    let runner = scripted_runner(|request| (backoff_rejection(request, "30"), AfterResponse::Keep));
    let gateway = TestGateway::start(&[("r1", &runner)]);
    send_requests(&gateway, 10);
    assert_eq!(received_requests(&runner).len(), 1);
    let response = gateway.call("GET /safe/x", "last", "", "").unwrap();
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.ends_with("runners_rest"), "{response}");
    let delay: f64 = header(&response, "retry-after").unwrap().parse().unwrap();
    assert!((25.0..60.0).contains(&delay), "{delay}");
}

#[test]
fn other_runners_serve_during_a_backoff_and_the_runner_serves_after_it() {
    let rejections = Arc::new(AtomicUsize::new(0));
    let counted = rejections.clone();
    let backing_off = scripted_runner(move |request| {
        let is_first = counted.fetch_add(1, Ordering::Relaxed) == 0;
        let response = match is_first {
            true => backoff_rejection(request, "0.4"),
            false => response_to(request, "200 OK", "fine"),
        };
        (response, AfterResponse::Keep)
    });
    let other = healthy_runner();
    let gateway = TestGateway::start(&[("r1", &backing_off), ("r2", &other)]);
    wait_until("the request for backoff", || {
        let response = gateway.call("GET /safe/x", "n", "", "").unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        rejections.load(Ordering::Relaxed) > 0
    });
    gateway.store.put("servers", "r2", None);
    wait_until("requests after the backoff", || {
        send_requests(&gateway, 1);
        rejections.load(Ordering::Relaxed) > 1
    });
}

#[test]
fn unusual_retry_after_values_are_handled() {
    // Values that are not a positive number of seconds are ignored.
    for unusual in ["soon", "-3", "0", "nan", "Fri, 04 Dec 2026 12:00:00 GMT"] {
        let runner = scripted_runner(move |request| {
            (backoff_rejection(request, unusual), AfterResponse::Keep)
        });
        let gateway = TestGateway::start(&[("r1", &runner)]);
        send_requests(&gateway, 3);
        assert!(received_requests(&runner).len() >= 3, "{unusual}");
    }
    for huge in ["1e300", "inf", "99999999999"] {
        let runner =
            scripted_runner(move |request| (backoff_rejection(request, huge), AfterResponse::Keep));
        let gateway = TestGateway::start(&[("r1", &runner)]);
        send_requests(&gateway, 5);
        assert_eq!(received_requests(&runner).len(), 1, "{huge}");
    }
}

#[test]
fn a_backoff_holds_for_requests_on_many_connections() {
    let runner = scripted_runner(|request| (backoff_rejection(request, "60"), AfterResponse::Keep));
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let mut callers: Vec<TcpStream> = (0..8)
        .map(|_| TcpStream::connect(gateway.settings.listen.callers).unwrap())
        .collect();
    for round in 0..3 {
        for (number, caller) in callers.iter_mut().enumerate() {
            let text = format!(
                "GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\
                 Berylmount-Request-Id: c{round}-{number}\r\nBerylmount-Deadline-Ms: 2500\r\n\
                 Authorization: Token k1\r\nContent-Length: 0\r\n\r\n"
            );
            caller.write_all(text.as_bytes()).unwrap();
        }
        for caller in &mut callers {
            let response = read_response(caller).unwrap();
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        }
        // Some requests were sent before the first response arrived.
        let count = received_requests(&runner).len();
        send_requests(&gateway, 2);
        assert_eq!(received_requests(&runner).len(), count);
    }
}
