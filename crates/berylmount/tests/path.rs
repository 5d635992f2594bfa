//! The whole path: callers, entry, dispatch and targets as processes.

mod common;

use berylmount_standins::{expected_answer, FleetConfig, TestFleet};
use common::{authority_rows, binary, joined_text, post_prompt, read_lines, CallerClient};
use serde_json::json;

#[test]
fn a_prompt_is_answered_token_by_token() {
    let fleet = TestFleet::start(binary(), FleetConfig::default(), authority_rows()).unwrap();
    let caller = CallerClient::new(fleet.locate("north-crew"), "north-crew");
    let body = json!({
        "work": "crew-question", "prompt": "which colour", "max_tokens": 5, "stream": true
    });
    let lines = read_lines(post_prompt(&caller, &body));
    let events: Vec<_> = lines
        .iter()
        .map(|line| line["event"].as_str().unwrap())
        .collect();
    assert_eq!(
        events,
        ["started", "token", "token", "token", "token", "token", "end"]
    );
    assert_eq!(joined_text(&lines), expected_answer("which colour", 5));
}
