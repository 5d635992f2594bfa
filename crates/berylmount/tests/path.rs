//! End-to-end tests of the request path through entry, dispatch and targets.

mod common;

use berylmount_standins::{expected_answer, wait_until, FleetConfig, TestFleet, CUSTOMER_KEY};
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

#[test]
fn a_callers_trace_has_a_span_for_each_hop() {
    let fleet = TestFleet::start(binary(), FleetConfig::default(), authority_rows()).unwrap();
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let answer = ureq::post(format!("http://{}/v1/prompts", fleet.callers(0)))
        .header("authorization", format!("Bearer north-crew:{CUSTOMER_KEY}"))
        .header("traceparent", format!("00-{trace}-b7ad6b7169203331-01"))
        .send_json(json!({"work": "crew-question", "prompt": "a", "max_tokens": 1}));
    assert_eq!(answer.unwrap().status(), 200);
    let read = ureq::get(format!(
        "http://{}/v1/reads/inventory/paint",
        fleet.callers(0)
    ))
    .header("authorization", format!("Bearer north-crew:{CUSTOMER_KEY}"))
    .header("traceparent", format!("00-{trace}-b7ad6b7169203331-01"))
    .call();
    assert_eq!(read.unwrap().status(), 200);
    for role in ["entry", "dispatch"] {
        wait_until("the hop's span is logged", || {
            let log = fleet.log(role, 0);
            let spans = log.lines().filter(|line| line.contains(trace));
            spans.count() == 2
        });
    }
}

#[test]
fn a_read_is_answered_and_counted_in_the_metrics() {
    let fleet = TestFleet::start(binary(), FleetConfig::default(), authority_rows()).unwrap();
    let caller = CallerClient::new(fleet.callers(0), "north-crew");
    let answer = caller.get("/v1/reads/inventory/paint?colour=blue").unwrap();
    assert_eq!(answer.status(), 200);
    let metrics = fleet.entries[0].addresses.metrics;
    let page = ureq::get(format!("http://{metrics}/metrics")).call();
    let page = page.unwrap().body_mut().read_to_string().unwrap();
    assert!(
        page.contains("berylmount_requests_total{verdict=\"ran\"} 1"),
        "{page}"
    );
}
