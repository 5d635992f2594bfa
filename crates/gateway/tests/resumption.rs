//! Streams that break off, and runners that fail to continue them.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    event_stream_to, header, received_requests, response_to, scripted_runner, AfterResponse,
    StandinRunner, TestGateway,
};

/// An event stream without a length and without chunks, which ends with its connection.
fn unframed_stream_to(request: &str, events: &str) -> Vec<u8> {
    let id = header(request, "berylmount-request-id").unwrap();
    format!(
        "HTTP/1.1 200 OK\r\nberylmount-request-id: {id}\r\nberylmount-response-stamp: s\r\n\
         content-type: text/event-stream\r\n\r\n{events}"
    )
    .into_bytes()
}

/// The first part of a stream that breaks off.
fn broken_streams(request: &str) -> Vec<Vec<u8>> {
    vec![
        event_stream_to(request, &["id: 1\ndata: a\n\n"], false),
        event_stream_to(request, &["id: 1\ndata: a\n\n", "id: 2\nda"], false),
        // The stream ends inside an event, although its framing is complete.
        event_stream_to(request, &["id: 1\ndata: a\n\n", "id: 2\nda"], true),
        unframed_stream_to(request, "id: 1\ndata: a\n\nid: 2\nda"),
    ]
}

/// Responses that continue no stream.
fn failed_continuations(request: &str) -> Vec<Vec<u8>> {
    let id = header(request, "berylmount-request-id").unwrap();
    let refusal = |status: &str, extra: &str| {
        format!(
            "HTTP/1.1 {status}\r\nberylmount-request-id: {id}\r\n{extra}content-length: 6\r\n\r\n\
             failed"
        )
        .into_bytes()
    };
    vec![
        response_to(request, "500 Broken", "failed"),
        response_to(request, "404 Not Found", "failed"),
        response_to(request, "200 OK", "failed"),
        response_to(request, "206 Partial Content", "failed"),
        refusal("503 Full", "berylmount-not-executed: 1\r\n"),
        refusal("503 Full", ""),
        refusal("421 Misdirected", ""),
        refusal(
            "429 Busy",
            "berylmount-not-executed: 1\r\nretry-after: 0.1\r\n",
        ),
        // A failure that has the type of an event stream.
        refusal("500 Broken", "content-type: text/event-stream\r\n"),
        refusal("200 OK", "content-type: text/event-stream\r\n"),
        b"failed\r\n\r\n".to_vec(),
        b"HTTP/1.1 200 OK\r\nfailed".to_vec(),
        Vec::new(),
    ]
}

/// Starts two runners that send one part to a first request and another to a continuation.
fn pair(
    first: impl Fn(&str) -> Vec<u8> + Clone + Send + Sync + 'static,
    second: impl Fn(&str) -> Vec<u8> + Clone + Send + Sync + 'static,
) -> [StandinRunner; 2] {
    [(); 2].map(|()| {
        let (first, second) = (first.clone(), second.clone());
        scripted_runner(move |request| {
            let response = match header(request, "last-event-id") {
                None => first(request),
                Some(_) => second(request),
            };
            (response, AfterResponse::Close)
        })
    })
}

/// Sends a request that may be resumed to a gateway in front of both runners.
fn stream_through(runners: &[StandinRunner; 2]) -> String {
    let gateway = TestGateway::start(&[("r1", &runners[0]), ("r2", &runners[1])]);
    gateway.call("POST /resume/x", "id1", "", "b").unwrap()
}

#[test]
fn a_failure_of_the_next_runner_never_shows_in_a_stream() {
    let request = "POST / HTTP/1.1\r\nberylmount-request-id: x\r\n\r\n";
    let continuations = failed_continuations(request).len();
    for broken in 0..broken_streams(request).len() {
        for failed in 0..continuations {
            // All pairs take long; each break and each failure is played at least once.
            if broken != failed % broken_streams(request).len() && failed != 0 {
                continue;
            }
            let runners = pair(
                move |request| broken_streams(request).swap_remove(broken),
                move |request| failed_continuations(request).swap_remove(failed),
            );
            let response = stream_through(&runners);
            let case = format!("break {broken}, failure {failed}: {response}");
            assert!(response.starts_with("HTTP/1.1 200"), "{case}");
            assert!(response.contains("id: 1\ndata: a\n\n"), "{case}");
            assert!(response.ends_with("<broken off>"), "{case}");
            assert!(
                !response.contains("failed") && !response.contains("id: 2"),
                "{case}"
            );
            assert_eq!(response.matches("HTTP/1.1").count(), 1, "{case}");
        }
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_resumed() {
    let request = "POST / HTTP/1.1\r\nberylmount-request-id: x\r\n\r\n";
    for broken in 0..broken_streams(request).len() {
        let runners = pair(
            move |request| broken_streams(request).swap_remove(broken),
            |request| event_stream_to(request, &["id: 2\ndata: b\n\n"], true),
        );
        let response = stream_through(&runners);
        let (_, body) = response.split_once("\r\n\r\n").unwrap();
        let events: Vec<&str> = body.lines().filter(|line| line.contains(": ")).collect();
        assert_eq!(
            events,
            ["id: 1", "data: a", "id: 2", "data: b"],
            "{response}"
        );
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    }
}

#[test]
fn a_stream_without_framing_ends_with_its_connection() {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let runner =
        scripted_runner(move |request| (unframed_stream_to(request, events), AfterResponse::Close));
    let gateway = TestGateway::start(&[("r1", &runner)]);
    let response = gateway.call("POST /stream/x", "id1", "", "b").unwrap();
    assert!(response.contains("data: b"), "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(received_requests(&runner).len(), 1);
}
