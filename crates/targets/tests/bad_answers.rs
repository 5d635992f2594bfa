//! Targets that answer with damage: a clear fault, bounded memory, and never a
//! cut answer that passes for a whole one.

#![allow(clippy::unwrap_used)]

mod common;

use berylmount_model::{piece_chain, DigestChain, OrderKey, PIECE_TOKENS};
use berylmount_targets::{
    kept::StoreClient, EngineClient, FaultKind, ServiceClient, StreamEvent, TargetFault,
    TargetTimeouts,
};
use common::{attempt, fuzz_config, scope};
use proptest::prelude::*;
use serde_json::{json, Value};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

const LIMIT: Duration = Duration::from_secs(5);

/// Answers each of `count` connections with `bytes` and closes it.
fn serve(bytes: Vec<u8>, count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for _ in 0..count {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = Vec::new();
            let mut buffer = [0; 4096];
            // Every request here ends its head, or its body of JSON, so.
            while !request.ends_with(b"\r\n\r\n") && !request.ends_with(b"}") {
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => request.extend_from_slice(&buffer[..count]),
                }
            }
            stream.write_all(&bytes).ok();
        }
    });
    address
}

/// A whole answer with a right head.
fn answer(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn engine(address: SocketAddr) -> EngineClient {
    EngineClient::new(address, TargetTimeouts::default())
}

/// Reads a stream to its end; the text only if it passed for whole.
fn read_stream(bytes: Vec<u8>, offset: u32) -> Result<String, TargetFault> {
    let mut stream = engine(serve(bytes, 1)).resume(attempt(1), offset)?;
    let mut text = String::new();
    while let Some(event) = stream.next_event()? {
        if let StreamEvent::Token { text: token, .. } = event {
            text.push_str(&token);
        }
    }
    Ok(text)
}

fn good_lines() -> Vec<String> {
    let mut digest = DigestChain::default();
    let admitted = json!({"event": "admitted", "cached_tokens": 1, "prompt_tokens": 2,
                          "version": "v1"});
    let mut lines = vec![admitted.to_string()];
    for offset in 0..4 {
        let text = format!("t{offset} ");
        digest.add(&text);
        lines.push(json!({"event": "token", "offset": offset, "text": text}).to_string());
    }
    lines.push(json!({"event": "end", "count": 4, "digest": digest.finish()}).to_string());
    lines
}

const GOOD_TEXT: &str = "t0 t1 t2 t3 ";

#[derive(Clone, Debug)]
enum Damage {
    Cut(usize),
    Flip(usize, u8),
    Drop(usize),
    Repeat(usize),
    Swap(usize, usize),
}

fn damage() -> impl Strategy<Value = Damage> {
    let line = 0..6_usize;
    prop_oneof![
        (0..400_usize).prop_map(Damage::Cut),
        (0..400_usize, 1..=255_u8).prop_map(|(at, mask)| Damage::Flip(at, mask)),
        line.clone().prop_map(Damage::Drop),
        line.clone().prop_map(Damage::Repeat),
        (line.clone(), line).prop_map(|(a, b)| Damage::Swap(a, b)),
    ]
}

/// The answer of `lines` after `all` damage.
fn damaged(all: &[Damage], mut lines: Vec<String>) -> Vec<u8> {
    for damage in all {
        match *damage {
            Damage::Drop(i) if i < lines.len() => drop(lines.remove(i)),
            Damage::Repeat(i) if i < lines.len() => lines.push(lines[i].clone()),
            Damage::Swap(a, b) if a.max(b) < lines.len() => lines.swap(a, b),
            _ => {}
        }
    }
    let mut body = lines.join("\n").into_bytes();
    for damage in all {
        match *damage {
            Damage::Cut(at) => body.truncate(at),
            Damage::Flip(at, mask) if at < body.len() => body[at] ^= mask,
            _ => {}
        }
    }
    answer(&body)
}

/// Numbers, texts and nests that no target should send.
fn absurd() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!(-1)),
        Just(json!(u64::MAX)),
        Just(json!(1e300)),
        Just(json!("x".repeat(100_000))),
        Just(json!([[[[[[]]]]]])),
        Just(json!({"name": {"key": "zz"}})),
        any::<u64>().prop_map(|number| json!(number)),
        ".{0,20}".prop_map(|text| json!(text)),
    ]
}

proptest! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn a_damaged_stream_is_whole_or_a_fault(all in proptest::collection::vec(damage(), 0..3)) {
        if let Ok(text) = read_stream(damaged(&all, good_lines()), 0) {
            prop_assert_eq!(text, GOOD_TEXT);
        }
        // A resumed stream has no digest of the tokens before it; its reader has.
        let flips = all.iter().any(|damage| matches!(damage, Damage::Flip(..)));
        let mut lines = good_lines();
        lines.drain(1..3);
        if let (false, Ok(text)) = (flips, read_stream(damaged(&all, lines), 2)) {
            prop_assert_eq!(text, &GOOD_TEXT[6..]);
        }
    }

    #[test]
    fn absurd_values_are_faults_or_in_bounds(
        field in 0..10_usize,
        value in absurd(),
        cut in 0..400_usize,
    ) {
        let mut load = json!({"running": 1, "queued": 2, "prefill_tokens": 3, "model": "m",
            "version": "v", "loading": null, "adapters": [], "role": "mixed", "fence": 0,
            "leaving": false});
        let name = load.as_object().unwrap().keys().nth(field).unwrap().clone();
        load[&name] = value.clone();
        let mut text = load.to_string();
        if let Ok(report) = engine(serve(answer(text.as_bytes()), 1)).load() {
            prop_assert!(report.running.max(report.queued).max(report.prefill_tokens) <= 1 << 40);
        }
        text.truncate(text.floor_char_boundary(cut));
        let address = serve(answer(text.as_bytes()), 2);
        engine(address).load().ok();
        engine(address).events(0).ok();
        let found = json!({"incarnation": 1, "found": true, "pieces": value, "events": value});
        let address = serve(answer(found.to_string().as_bytes()), 3);
        prop_assert!(StoreClient::new(address, TargetTimeouts::default())
            .find(&[], LIMIT)
            .is_ok_and(|found| found.pieces.is_empty()) == (value == json!([])));
        engine(address).events(0).ok();
        let key = OrderKey::new("20261204-a").unwrap();
        let service = ServiceClient::new(address, TargetTimeouts::default());
        service.look_up(&key).unwrap();
    }
}

#[test]
fn oversized_and_foreign_answers_are_bad_answers() {
    let long_line = "x".repeat(70_000);
    let long_body = "[".repeat(1_100_000);
    let load = |body: &str| {
        engine(serve(answer(body.as_bytes()), 1))
            .load()
            .unwrap_err()
    };
    let key = piece_chain(&scope("a", "v1"), &"t ".repeat(PIECE_TOKENS))[0];
    let piece = json!({"name": {"key": key, "nonce": 1, "generation": 1},
                       "seal": {"length": 1, "checksum": ""}});
    let foreign = json!({"incarnation": 1, "pieces": [piece]}).to_string();
    let store = StoreClient::new(
        serve(answer(foreign.as_bytes()), 1),
        TargetTimeouts::default(),
    );
    let endless = [b"HTTP/1.1 200 OK\r\nX: ".to_vec(), vec![b'x'; 1_000_000]].concat();
    let faults = [
        (
            "line",
            read_stream(answer(long_line.as_bytes()), 0).unwrap_err(),
        ),
        ("body", load(&long_body)),
        ("nest", load(&long_body[..1_000])),
        ("head", engine(serve(endless, 1)).load().unwrap_err()),
        (
            "no http",
            engine(serve(b"hello\r\n\r\n".to_vec(), 1))
                .load()
                .unwrap_err(),
        ),
        (
            "redirect",
            engine(serve(
                b"HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n"
                    .to_vec(),
                1,
            ))
            .load()
            .unwrap_err(),
        ),
        ("foreign", store.find(&[], LIMIT).unwrap_err()),
    ];
    let seen = faults.map(|(name, fault)| {
        assert_ne!(fault.kind, FaultKind::NotConnected);
        // How much of an endless head was read varies, so the detail ends at its colon.
        let detail = fault.detail.split(':').next().unwrap();
        format!("{name}: {} ({}): {detail}", fault.kind, fault.verdict)
    });
    insta::assert_snapshot!(seen.join("\n"), @r"
    line: bad_answer (may_have_run): a line is longer than 64 KiB
    body: bad_answer (may_have_run): the answer is longer than 1 MiB
    nest: bad_answer (may_have_run): invalid type
    head: bad_answer (may_have_run): response header is too big
    no http: bad_answer (may_have_run): protocol
    redirect: rejected: failed (may_have_run): the target answered 302 Found
    foreign: bad_answer (may_have_run): a store named pieces not asked for
    ");
}
