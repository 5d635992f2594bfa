//! End-to-end tests of KV cache transfer between stores and runners.

mod common;

use berylmount_standins::{wait_until, EngineConfig, FleetConfig, TestFleet};
use common::{authority_rows, binary, CallerClient};
use serde_json::{json, Value};

/// A fleet with one slow runner and one store.
fn store_fleet() -> TestFleet {
    let config = FleetConfig {
        stores: 1,
        engine: EngineConfig {
            prefill_tokens_per_s: 5_000.0,
            ..EngineConfig::default()
        },
        ..FleetConfig::default()
    };
    TestFleet::start(binary(), config, authority_rows()).unwrap()
}

/// A prompt of three full cache blocks and 10 more tokens.
fn long_prompt(word: &str) -> Value {
    let prompt = format!("{word} ").repeat(3 * 1024 + 10);
    json!({"work": "blaze-report", "prompt": prompt, "max_tokens": 3})
}

/// Sends a prompt and returns the answer; panics unless the status is 200.
fn ask(caller: &CallerClient, body: &Value) -> Value {
    let (status, answer) = caller.ask(body);
    assert_eq!(status, 200, "{answer}");
    answer
}

/// Evicts the runner's cache and sends the prompt until its blocks are fetched.
fn ask_until_fetched(fleet: &TestFleet, caller: &CallerClient, body: &Value) -> Value {
    let mut last = Value::Null;
    wait_until("the prompt is kept and fetched", || {
        fleet.engines[0].evict();
        last = ask(caller, body);
        last["fetched_tokens"] == 3 * 1024
    });
    last
}

#[test]
fn an_evicted_prompt_is_fetched_and_says_what_was_recomputed() {
    let fleet = store_fleet();
    let caller = CallerClient::new(fleet.callers(0), "north-crew");
    let body = long_prompt("log");
    let first = ask(&caller, &body);
    assert_eq!(first["recomputed_tokens"], 3 * 1024 + 10);
    let again = ask_until_fetched(&fleet, &caller, &body);
    assert_eq!(again["recomputed_tokens"], 10);
    assert_eq!(again["text"], first["text"]);
    let report = fleet.engines[0].report();
    assert_eq!(report["bad_reads"], 0, "{report}");
    assert_eq!(report["mixed_use"], 0, "{report}");
}

#[test]
fn customers_and_versions_never_share_pieces() {
    let fleet = store_fleet();
    let north = CallerClient::new(fleet.callers(0), "north-crew");
    let south = CallerClient::new(fleet.callers(0), "south-crew");
    let body = long_prompt("shared");
    ask(&north, &body);
    ask_until_fetched(&fleet, &north, &body);
    // Another customer's identical prompt hits neither the runner's cache nor the store.
    let other = ask(&south, &body);
    assert_eq!(other["recomputed_tokens"], 3 * 1024 + 10);
    assert_eq!(fleet.engines[0].report()["mixed_use"], 0);
}

#[test]
fn a_restarted_store_or_freed_pieces_mean_a_recompute() {
    let fleet = store_fleet();
    let caller = CallerClient::new(fleet.callers(0), "north-crew");
    let body = long_prompt("freed");
    ask(&caller, &body);
    ask_until_fetched(&fleet, &caller, &body);
    for lose in [
        |fleet: &TestFleet| fleet.stores[0].free_all(),
        |fleet: &TestFleet| {
            fleet.stores[0].restart();
        },
    ] {
        lose(&fleet);
        fleet.engines[0].evict();
        let answer = ask(&caller, &body);
        assert_eq!(answer["fetched_tokens"], 0);
        assert_eq!(answer["recomputed_tokens"], 3 * 1024 + 10);
    }
    assert_eq!(fleet.engines[0].report()["bad_reads"], 0);
}
