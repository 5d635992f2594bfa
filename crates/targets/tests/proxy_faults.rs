//! Engine streams through the fault proxy: cut, frozen, one-way and lost answers.

#![allow(clippy::unwrap_used)]

mod common;

use berylmount_model::RequestVerdict;
use berylmount_standins::{expected_answer, EngineConfig, EngineServer, FaultProxy, ProxyFaults};
use berylmount_targets::{
    EngineClient, EngineStream, FaultKind, StreamEvent, StreamOrder, TargetFault, TargetTimeouts,
};
use common::{attempt, scope};

const TOKENS: u32 = 500;

struct Bench {
    engine: EngineServer,
    proxy: FaultProxy,
    client: EngineClient,
}

fn bench() -> Bench {
    let engine = EngineServer::start(EngineConfig::default()).unwrap();
    let proxy = FaultProxy::start(engine.address()).unwrap();
    let client = EngineClient::new(proxy.address(), TargetTimeouts::default());
    Bench {
        engine,
        proxy,
        client,
    }
}

fn start(client: &EngineClient) -> Result<EngineStream, TargetFault> {
    let scope = scope("a", "v1");
    client.start(&StreamOrder {
        attempt: attempt(1),
        prompt: "p",
        scope: &scope,
        pieces: &[],
        max_tokens: TOKENS,
        priority: 0,
        traceparent: "",
    })
}

/// Reads tokens until a fault or the end; injects `fault` after the first token.
fn read(stream: &mut EngineStream, text: &mut String, fault: impl Fn()) -> Option<TargetFault> {
    loop {
        match stream.next_event() {
            Ok(Some(StreamEvent::Token { text: token, .. })) => {
                text.push_str(&token);
                fault();
            }
            Ok(Some(_)) => {}
            Ok(None) => return None,
            Err(fault) => return Some(fault),
        }
    }
}

/// Injects one fault in mid-stream and expects the whole answer after one resume.
fn check_resumed(inject: impl Fn(&FaultProxy), kind: FaultKind) {
    let bench = bench();
    let mut text = String::new();
    let mut stream = start(&bench.client).unwrap();
    let fault = read(&mut stream, &mut text, || inject(&bench.proxy)).unwrap();
    assert_eq!(fault.kind, kind);
    assert_eq!(fault.verdict, RequestVerdict::MayHaveRun);
    bench.proxy.set(ProxyFaults::default());
    let mut resumed = bench.client.resume(attempt(1), stream.offset()).unwrap();
    assert_eq!(read(&mut resumed, &mut text, || ()), None);
    assert_eq!(text, expected_answer("p", TOKENS));
    assert_eq!(bench.engine.report()["runs"][attempt(1).to_string()], 1);
}

#[test]
fn a_cut_stream_is_resumed() {
    check_resumed(FaultProxy::cut, FaultKind::Cut);
}

#[test]
fn a_frozen_stream_is_resumed_over_a_new_connection() {
    check_resumed(FaultProxy::freeze, FaultKind::Silent);
}

#[test]
fn a_stream_without_answers_is_resumed() {
    let faults = ProxyFaults {
        drop_answers: true,
        ..ProxyFaults::default()
    };
    check_resumed(|proxy| proxy.set(faults), FaultKind::Silent);
}

#[test]
fn a_lost_answer_may_have_run_and_a_refused_connection_too() {
    let bench = bench();
    bench.proxy.set(ProxyFaults {
        answer_bytes: Some(0),
        ..ProxyFaults::default()
    });
    let lost = start(&bench.client).unwrap_err();
    assert_eq!(
        (lost.kind, lost.verdict),
        (FaultKind::Silent, RequestVerdict::MayHaveRun)
    );
    bench.proxy.set(ProxyFaults {
        refuse: true,
        ..ProxyFaults::default()
    });
    // The connection was made, so bytes may have gone through before it closed.
    let closed = start(&bench.client).unwrap_err();
    assert_eq!(closed.verdict, RequestVerdict::MayHaveRun);
}

#[test]
fn a_delayed_stream_is_whole() {
    let bench = bench();
    bench.proxy.set(ProxyFaults {
        delay_ms: 15,
        ..ProxyFaults::default()
    });
    let mut text = String::new();
    let mut stream = start(&bench.client).unwrap();
    assert_eq!(read(&mut stream, &mut text, || ()), None);
    assert_eq!(text, expected_answer("p", TOKENS));
}
