//! Connections to runners that respond before they have read the whole request.
//!
//! The long body exceeds the socket buffers, so part of it is surely not sent when the
//! response arrives. A runner that reads on later takes whatever follows for the rest.
#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::json;
use standins::{
    all_routes, event_stream_to, header, response_to, table, wait_until, AfterResponse,
    StandinRunner, TestGateway,
};
use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{Arc, Mutex},
};

/// Size of a body in bytes that exceeds any socket buffer.
const LONG_BODY: usize = 12 << 20;
/// The byte that long bodies consist of.
const BODY_BYTE: u8 = b'b';

/// Reads a body and returns the first bytes of it that are not of a long body.
fn read_body(socket: &mut TcpStream, length: usize) -> Result<(), String> {
    let mut left = length;
    let mut bytes = vec![0u8; 64 << 10];
    while left > 0 {
        let chunk_len = left.min(bytes.len());
        match socket.read(&mut bytes[..chunk_len]) {
            Ok(count) if count > 0 => {
                let read = &bytes[..count];
                if let Some(start) = read.iter().position(|byte| *byte != BODY_BYTE) {
                    let end = count.min(start + 40);
                    return Err(String::from_utf8_lossy(&read[start..end]).into_owned());
                }
                left -= count;
            }
            _ => return Ok(()),
        }
    }
    Ok(())
}

/// Starts a gateway before `runner` that accepts long bodies.
fn start_gateway(runner: &StandinRunner) -> TestGateway {
    let gateway = TestGateway::start(&[("r1", runner)]);
    let mut large_body_table = table(2, all_routes());
    large_body_table["Limits"]["MaxBodyBytes"] = json!(2 * LONG_BODY);
    gateway.store.put("config", "main", Some(large_body_table));
    gateway
}

/// Sends a long body until the table that allows it is in force; returns the response.
fn call_long(gateway: &TestGateway, path: &str) -> String {
    let body = char::from(BODY_BYTE).to_string().repeat(LONG_BODY);
    let (mut number, mut found) = (0, String::new());
    wait_until("a response to a long body", || {
        number += 1;
        let line = format!("POST {path}");
        found = gateway
            .call(&line, &format!("long{number}"), "", &body)
            .unwrap_or_default();
        !found.is_empty() && !found.starts_with("HTTP/1.1 413")
    });
    found
}

/// Guards against the next request being sent into the body of an earlier one, which its
/// runner had answered early.
#[test]
fn a_connection_is_not_reused_after_an_early_response_to_a_long_body() {
    type Encode = fn(&str) -> Vec<u8>;
    let early_responses: [(&str, Encode); 4] = [
        ("/stream/x", |head| {
            event_stream_to(head, &["id: 1\ndata: a\n\n"], true)
        }),
        ("/resume/x", |head| {
            event_stream_to(head, &["id: 1\ndata: a\n\n"], true)
        }),
        ("/unsafe/x", |head| response_to(head, "200 OK", "early")),
        ("/unsafe/x", |head| {
            let response = response_to(head, "503 Service Unavailable", "full");
            let text = String::from_utf8(response).unwrap();
            let mark = "berylmount-not-executed: 1\r\ncontent-length";
            text.replace("content-length", mark).into_bytes()
        }),
    ];
    for (path, encode) in early_responses {
        let foreign_bytes: Arc<Mutex<Vec<String>>> = Arc::default();
        let seen = foreign_bytes.clone();
        let runner = StandinRunner::start_with(move |socket, head| {
            let length = header(head, "content-length").map_or(0, |text| text.parse().unwrap());
            if length < LONG_BODY {
                let _ = read_body(socket, length);
                socket
                    .write_all(&response_to(head, "200 OK", "own"))
                    .unwrap();
                return AfterResponse::Keep;
            }
            // The gateway may close the connection at once.
            let _ = socket.write_all(&encode(head));
            if let Err(foreign) = read_body(socket, length) {
                seen.lock().unwrap().push(foreign);
            }
            AfterResponse::Close
        });
        let gateway = start_gateway(&runner);
        call_long(&gateway, path);
        let next = gateway.call(&format!("GET {path}"), "next", "", "");
        assert!(next.unwrap().starts_with("HTTP/1.1 200"), "{path}");
        assert_eq!(*foreign_bytes.lock().unwrap(), [""; 0], "{path}");
    }
}

/// Guards against a request whose rest is never sent, because an interim response arrived
/// while it was being sent.
#[test]
fn the_rest_of_a_long_body_is_sent_after_an_interim_response() {
    let runner = StandinRunner::start_with(|socket, head| {
        let length = header(head, "content-length").map_or(0, |text| text.parse().unwrap());
        if length == LONG_BODY {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            socket.write_all(interim).unwrap();
        }
        assert_eq!(read_body(socket, length), Ok(()));
        let response = response_to(head, "200 OK", "own");
        // The gateway may have given up on the request.
        let _ = socket.write_all(&response);
        AfterResponse::Keep
    });
    let gateway = start_gateway(&runner);
    let response = call_long(&gateway, "/unsafe/x");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
