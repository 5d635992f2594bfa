//! Responses whose runner stops in the middle of the head and closes the connection.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    event_stream_to, header, received_requests, response_to, scripted_runner, AfterResponse,
    TestGateway,
};

/// Returns the number in a path such as `/unsafe/cut-12`.
fn cut_at(request: &str) -> Option<usize> {
    let (_, rest) = request.lines().next()?.split_once("/cut-")?;
    rest.split_whitespace().next()?.parse().ok()
}

/// Guards against heads that end with their connection and count as complete.
#[test]
fn a_head_that_is_cut_at_any_byte_never_becomes_a_success() {
    for framing in ["length", "chunks", "close"] {
        let runner = scripted_runner(move |request| {
            let mut response = match framing {
                "chunks" => event_stream_to(request, &["id: 1\ndata: a\n\n"], true),
                _ => response_to(request, "200 OK", "fine"),
            };
            if framing == "close" {
                let text = String::from_utf8(response).unwrap();
                response = text.replace("content-length: 4\r\n", "").into_bytes();
            }
            let head = response.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
            match cut_at(request) {
                Some(length) => {
                    // The last byte of the head is always missing.
                    response.truncate(length.min(head - 1));
                    (response, AfterResponse::Close)
                }
                // Only a response without framing ends with its connection. The gateway keeps
                // the others, and must not find them closed.
                None if framing == "close" => (response, AfterResponse::Close),
                None => (response, AfterResponse::Keep),
            }
        });
        let gateway = TestGateway::start(&[("r1", &runner)]);
        let line = match framing {
            "chunks" => "POST /stream",
            _ => "POST /once",
        };
        let whole = gateway
            .call(&format!("{line}/x"), "whole", "", "b")
            .unwrap();
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
        for length in 0..150 {
            let id = format!("cut{length}");
            let response = gateway.call(&format!("{line}/cut-{length}"), &id, "", "b");
            let response = response.unwrap();
            assert!(
                response.starts_with("HTTP/1.1 502"),
                "{framing} {length}: {response}"
            );
            let received = received_requests(&runner);
            let of_id = |request: &&String| {
                header(request, "berylmount-request-id").as_deref() == Some(id.as_str())
            };
            assert_eq!(received.iter().filter(of_id).count(), 1);
        }
    }
}

/// The same on a connection that has carried a request before.
#[test]
fn a_cut_head_on_a_kept_connection_never_becomes_a_success() {
    let runner = scripted_runner(|request| {
        let mut response = response_to(request, "200 OK", "fine");
        match cut_at(request) {
            Some(length) => {
                let head = response.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
                response.truncate(length.min(head - 1));
                (response, AfterResponse::Close)
            }
            None => (response, AfterResponse::Keep),
        }
    });
    let gateway = TestGateway::start(&[("r1", &runner)]);
    for length in 0..100 {
        let whole = gateway.call("POST /unsafe/x", &format!("w{length}"), "", "b");
        assert!(whole.unwrap().starts_with("HTTP/1.1 200"));
        let response = gateway.call(
            &format!("POST /once/cut-{length}"),
            &format!("c{length}"),
            "",
            "b",
        );
        let response = response.unwrap();
        assert!(response.starts_with("HTTP/1.1 502"), "{length}: {response}");
    }
}
