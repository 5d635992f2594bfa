//! Runners whose bytes are no answer and never end, and late copies of answers.
//!
//! The stand-in sends until the gateway closes the connection, so a gateway
//! that does not end it would keep the request until its time limit (504) or
//! for good.
#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::json;
use standins::{
    all_routes, answer_to, header, table, wait_until, AfterAnswer, Served, StandinRunner,
};
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::Mutex,
    thread,
    time::Duration,
};

/// Bytes of a body that no socket buffer holds.
const LONG_BODY: usize = 12 << 20;

/// A runner that answers warm-ups well, and others with `start` and then `more`
/// until the connection is closed.
fn endless(start: &'static str, more: &'static [u8], pause: Duration) -> StandinRunner {
    StandinRunner::start_with(move |socket, head| {
        if head.contains("/warm") {
            socket
                .write_all(&answer_to(head, "200 OK", "warm"))
                .unwrap();
            return AfterAnswer::Keep;
        }
        let id = header(head, "berylmount-request-id").unwrap();
        let start = start.replace("ID", &id);
        let mut is_open = socket.write_all(start.as_bytes()).is_ok();
        while is_open {
            is_open = socket.write_all(more).is_ok();
            thread::sleep(pause);
        }
        AfterAnswer::Hang
    })
}

/// Asks a runner that never ends; returns the answer. The connection to the
/// runner must have been closed, and the gateway still serve.
fn ask_endless(line: &str, start: &'static str, more: &'static [u8]) -> String {
    let runner = endless(start, more, Duration::ZERO);
    let served = Served::start(&[("r1", &runner)]);
    let closed = *runner.closed.lock().unwrap();
    let answer = served.call(line, "id1", "", "").unwrap();
    wait_until("the runner's connection to be closed", || {
        *runner.closed.lock().unwrap() > closed
    });
    let warm = served.call("GET /safe/warm", "id2", "", "").unwrap();
    assert!(warm.starts_with("HTTP/1.1 200"), "{warm}");
    answer
}

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nberylmount-request-id: ID\r\nberylmount-response-stamp: s\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nberylmount-request-id: ID\r\n\
                       berylmount-response-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nberylmount-request-id: ID\r\n\
                      berylmount-response-stamp: s\r\ncontent-type: text/event-stream\r\n\
                      transfer-encoding: chunked\r\n\r\n";

#[test]
fn endless_bytes_in_a_head_end_the_request_at_once() {
    let cases: [(&str, &[u8]); 4] = [
        ("", b"no protocol at all "),
        (HEAD, b"x-more: 1\r\n"),
        ("", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ("", b"\r\n"),
    ];
    for (start, more) in cases {
        let answer = ask_endless("POST /unsafe/x", start, more);
        assert!(answer.starts_with("HTTP/1.1 502"), "{more:?}: {answer}");
    }
}

#[test]
fn endless_bytes_in_a_body_end_the_request_at_once() {
    let cases: [(&str, &[u8]); 4] = [
        (CHUNKED, b"1;extension"),
        (CHUNKED, b"1000000000000000\r\n"),
        (
            "HTTP/1.1 200 OK\r\nberylmount-request-id: ID\r\nberylmount-response-stamp: s\r\n\
             transfer-encoding: chunked\r\n\r\n0\r\n",
            b"trailer: 1\r\n",
        ),
        (
            "HTTP/1.1 200 OK\r\nberylmount-request-id: ID\r\nberylmount-response-stamp: s\r\n\r\n",
            &[b'x'; 4096],
        ),
    ];
    for (start, more) in cases {
        let answer = ask_endless("POST /unsafe/x", start, more);
        assert!(answer.starts_with("HTTP/1.1 502"), "{start}: {answer}");
    }
}

#[test]
fn an_event_without_end_breaks_the_stream_off() {
    let answer = ask_endless(
        "POST /stream/x",
        EVENTS,
        b"400\r\ndata: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
          xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n",
    );
    let is_broken = answer.starts_with("HTTP/1.1 502") || answer.ends_with("<broken off>");
    assert!(is_broken, "{answer}");
}

/// Comments are no events: a stream that sends nothing else ends at the route's
/// time limit, and does not look complete.
#[test]
fn a_stalled_stream_with_a_comment_now_and_then_ends() {
    let more = b"5\r\n: x\n\n\r\n";
    let runner = endless(EVENTS, more, Duration::from_millis(50));
    let served = Served::start(&[("r1", &runner)]);
    let answer = served.call("POST /stream/x", "id1", "", "").unwrap();
    let is_ended = answer.starts_with("HTTP/1.1 504") || answer.ends_with("<broken off>");
    assert!(is_ended, "{answer}");
}

/// A copy of an earlier answer comes on the reused connection while a long body
/// is still being sent: the caller gets its own answer.
#[test]
fn a_late_copy_during_a_long_body_does_not_cost_the_next_request() {
    let earlier = Mutex::new(Vec::new());
    let runner = StandinRunner::start_with(move |socket, head| {
        let answer = answer_to(head, "200 OK", "own");
        let length = header(head, "content-length").map_or(0, |text| text.parse().unwrap());
        if length == LONG_BODY {
            // The copy comes before any of the body is read.
            socket.write_all(&earlier.lock().unwrap()).unwrap();
            thread::sleep(Duration::from_millis(50));
        }
        read_body(socket, length);
        socket.write_all(&answer).unwrap();
        *earlier.lock().unwrap() = answer;
        AfterAnswer::Keep
    });
    let served = Served::start(&[("r1", &runner)]);
    let mut long = table(2, all_routes());
    long["Limits"]["MaxBodyBytes"] = json!(2 * LONG_BODY);
    served.store.put("config", "main", Some(long));
    let body = "b".repeat(LONG_BODY);
    let mut number = 0;
    wait_until("an answer to a long body", || {
        number += 1;
        let answer = served.call("POST /unsafe/x", &format!("long{number}"), "", &body);
        // Until the new table is in force the body is too long.
        let answer = answer.unwrap_or_default();
        if answer.is_empty() || answer.starts_with("HTTP/1.1 413") {
            return false;
        }
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let id = header(&answer, "berylmount-request-id");
        assert_eq!(id, Some(format!("long{number}")));
        true
    });
}

fn read_body(socket: &mut TcpStream, length: usize) {
    let mut left = length;
    let mut bytes = vec![0u8; 64 << 10];
    while left > 0 {
        let most = left.min(bytes.len());
        match socket.read(&mut bytes[..most]) {
            Ok(count) if count > 0 => left -= count,
            _ => return,
        }
    }
}
