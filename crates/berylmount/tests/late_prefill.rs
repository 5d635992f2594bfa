//! Checks that a request is cancelled if its deadline passes during prefill.

mod common;

use berylmount_standins::{wait_until, EngineConfig, FleetConfig, TestFleet};
use common::{authority_rows, binary, CallerClient};
use serde_json::{json, Value};

#[test]
fn a_late_prompt_is_cancelled_before_its_prefill_ends() {
    let config = FleetConfig {
        engine: EngineConfig {
            prefill_tokens_per_s: 250.0,
            ..EngineConfig::default()
        },
        ..FleetConfig::default()
    };
    let rows = authority_rows().replace("yes,5000,30000", "yes,1000,1500");
    let fleet = TestFleet::start(binary(), config, &rows).unwrap();
    let caller = CallerClient::new(fleet.locate("north-crew"), "north-crew");
    let prompt = "log ".repeat(2_500);
    let (status, refusal) =
        caller.ask(&json!({"work": "crew-question", "prompt": prompt, "max_tokens": 2}));
    assert_eq!(
        (status, &refusal["reason"], &refusal["verdict"]),
        (504, &json!("timed_out"), &json!("may_have_run")),
        "{refusal}"
    );
    let ask = |path: &str| -> Value {
        let url = format!("http://{}{path}", fleet.engines[0].address());
        let answer = ureq::get(url).call();
        answer.unwrap().body_mut().read_json().unwrap()
    };
    wait_until("the runner stops computing", || {
        ask("/v1/load")["running"] == 0
    });
    // The runner caches the blocks of a prompt only after the whole prefill.
    assert_eq!(ask("/v1/events?after=0")["events"], json!([]));
}
