//! Engine streams against the engine stand-in.

#![allow(clippy::unwrap_used)]

mod common;

use berylmount_model::{piece_chain, ModelName, RequestVerdict, VersionName, PIECE_TOKENS};
use berylmount_standins::{expected_answer, EngineConfig, EngineServer};
use berylmount_targets::{
    EngineClient, EngineRole, EngineStream, FaultKind, RejectReason, StreamEvent, StreamOrder,
    TargetFault, TargetOrder, TargetTimeouts,
};
use common::{attempt, scope};
use std::{
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

fn client(address: SocketAddr) -> EngineClient {
    EngineClient::new(address, TargetTimeouts::default())
}

/// More tokens than any test waits for.
const ENDLESS: u32 = 50_000;

fn start(client: &EngineClient, count: u64, prompt: &str) -> Result<EngineStream, TargetFault> {
    start_long(client, count, prompt, 5)
}

fn start_long(
    client: &EngineClient,
    count: u64,
    prompt: &str,
    max_tokens: u32,
) -> Result<EngineStream, TargetFault> {
    let scope = scope("a", "v1");
    client.start(&StreamOrder {
        attempt: attempt(count),
        prompt,
        scope: &scope,
        pieces: &piece_chain(&scope, prompt),
        max_tokens,
        priority: 0,
        traceparent: "",
    })
}

fn read_all(stream: &mut EngineStream) -> Result<(u32, String), TargetFault> {
    let (mut cached, mut text) = (0, String::new());
    while let Some(event) = stream.next_event()? {
        match event {
            StreamEvent::Admitted { cached_tokens, .. } => cached = cached_tokens,
            StreamEvent::Token { text: token, .. } => text.push_str(&token),
            StreamEvent::Waiting | StreamEvent::End { .. } => {}
        }
    }
    Ok((cached, text))
}

fn admin(address: SocketAddr, verb: &str, body: serde_json::Value) {
    let url = format!("http://{address}/admin/{verb}");
    ureq::post(url).send_json(body).unwrap();
}

#[test]
fn answers_are_whole_and_the_prefix_cache_is_found() {
    let engine = EngineServer::start(EngineConfig::default()).unwrap();
    let client = client(engine.address());
    let prompt = "log ".repeat(2 * PIECE_TOKENS + 7);
    let (cached, text) = read_all(&mut start(&client, 1, &prompt).unwrap()).unwrap();
    assert_eq!((cached, text), (0, expected_answer(&prompt, 5)));
    let (cached, _) = read_all(&mut start(&client, 2, &prompt).unwrap()).unwrap();
    assert_eq!(cached as usize, 2 * PIECE_TOKENS);
    let added = client.events(0).unwrap();
    assert_eq!(added.len(), 2);
    engine.evict();
    assert_eq!(client.events(added[1].seq).unwrap().len(), 2);
    let (cached, _) = read_all(&mut start(&client, 3, &prompt).unwrap()).unwrap();
    assert_eq!(cached, 0);
    let report = engine.report();
    assert_eq!(
        (&report["mixed_use"], &report["bad_reads"]),
        (&0.into(), &0.into())
    );
}

#[test]
fn tokens_come_one_at_a_time() {
    // Three tokens are far less than any buffer on the way, and each comes
    // well within the gap limit only if nothing holds it back.
    let engine = EngineServer::start(EngineConfig {
        decode_ms: 400.0,
        ..EngineConfig::default()
    });
    let engine = engine.unwrap();
    let client = client(engine.address());
    let mut stream = start_long(&client, 1, "one two", ENDLESS).unwrap();
    while stream.offset() < 3 {
        stream.next_event().unwrap();
    }
    assert_eq!(client.load().unwrap().running, 1);
    client.cancel(attempt(1)).unwrap();
}

#[test]
fn a_silent_stream_is_noticed_and_resumed_at_its_offset() {
    const TOKENS: u32 = 500;
    let engine = EngineServer::start(EngineConfig::default()).unwrap();
    let client = client(engine.address());
    let mut stream = start_long(&client, 1, "x", TOKENS).unwrap();
    let mut text = String::new();
    let fault = loop {
        match stream.next_event() {
            Ok(Some(StreamEvent::Token { text: token, .. })) => {
                text.push_str(&token);
                admin(
                    engine.address(),
                    "pause",
                    serde_json::json!({"paused": true}),
                );
            }
            Ok(Some(_)) => {}
            Ok(None) => panic!("the silence was not noticed"),
            Err(fault) => break fault,
        }
    };
    assert_eq!(
        (fault.kind, fault.verdict),
        (FaultKind::Silent, RequestVerdict::MayHaveRun)
    );
    admin(
        engine.address(),
        "pause",
        serde_json::json!({"paused": false}),
    );
    let mut stream = client.resume(attempt(1), stream.offset()).unwrap();
    text.push_str(&read_all(&mut stream).unwrap().1);
    assert_eq!(text, expected_answer("x", TOKENS));
    assert_eq!(engine.report()["runs"][attempt(1).to_string()], 1);
}

#[test]
fn a_slow_queue_is_not_silence() {
    let config = EngineConfig {
        prefill_tokens_per_s: 100.0,
        ..EngineConfig::default()
    };
    let engine = EngineServer::start(config).unwrap();
    let prompt = "w ".repeat(200);
    let client = client(engine.address());
    let (_, text) = read_all(&mut start(&client, 1, &prompt).unwrap()).unwrap();
    assert_eq!(text, expected_answer(&prompt, 5));
}

#[test]
fn faults_say_whether_the_request_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let silent = start(&client(address), 1, "x").unwrap_err();
    drop(listener);
    let refused = start(&client(address), 1, "x").unwrap_err();
    let engine = EngineServer::start(EngineConfig::default()).unwrap();
    admin(engine.address(), "leaving", serde_json::json!({}));
    let leaving = start(&client(engine.address()), 1, "x").unwrap_err();
    let unknown = client(engine.address()).resume(attempt(9), 0).unwrap_err();
    let faults = [silent, refused, leaving, unknown];
    let seen = faults.map(|fault| format!("{:?}: {}", fault.kind, fault.verdict));
    insta::assert_snapshot!(seen.join("\n"), @r"
    Silent: may_have_run
    NotConnected: not_run
    Rejected(Leaving): not_run
    Rejected(Unknown): may_have_run
    ");
    let load = client(engine.address()).load().unwrap();
    assert!(load.leaving);
}

#[test]
fn a_cancelled_stream_ends_with_a_fault() {
    let engine = EngineServer::start(EngineConfig::default()).unwrap();
    let client = client(engine.address());
    let mut stream = start_long(&client, 1, "x", ENDLESS).unwrap();
    stream.next_event().unwrap();
    client.cancel(attempt(1)).unwrap();
    let fault = read_all(&mut stream).unwrap_err();
    assert_eq!(fault.kind, FaultKind::Rejected(RejectReason::Cancelled));
}

#[test]
fn orders_change_version_and_role() {
    let engine = EngineServer::start(EngineConfig::default()).unwrap();
    let client = client(engine.address());
    let order = TargetOrder::Load {
        model: ModelName::new("blaze").unwrap(),
        version: VersionName::new("v2").unwrap(),
    };
    client.order(2, &order).unwrap();
    let role = EngineRole::Prefill;
    client.order(2, &TargetOrder::Role { role }).unwrap();
    let stale = client.order(1, &order).unwrap_err();
    assert_eq!(stale.kind, FaultKind::Rejected(RejectReason::StaleFence));
    let deadline = Instant::now() + Duration::from_secs(10);
    while client.load().unwrap().version.as_str() != "v2" {
        assert!(Instant::now() < deadline, "the version never changed");
    }
    assert_eq!(client.load().unwrap().role, role);
    let fault = start(&client, 1, "x").unwrap_err();
    assert_eq!(fault.kind, FaultKind::Rejected(RejectReason::WrongVersion));
}
