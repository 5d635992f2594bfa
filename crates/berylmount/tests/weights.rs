//! Tests that runners load the weight version in the table, and that no request
//! mixes versions.

mod common;

use berylmount_standins::{wait_until, FleetConfig, TestFleet};
use common::{authority_rows, binary, lines, post_prompt, CallerClient};
use serde_json::{json, Value};

/// A fleet of three runners, one of which may load at once.
fn fleet() -> TestFleet {
    let config = FleetConfig {
        runners: 3,
        ..FleetConfig::default()
    };
    TestFleet::start(binary(), config, authority_rows()).unwrap()
}

/// Returns the versions that the runners serve, sorted.
fn versions(fleet: &TestFleet) -> Vec<String> {
    let reports = fleet.engines.iter().map(|engine| engine.report());
    let mut versions: Vec<_> = reports
        .map(|report| report["version"].as_str().unwrap_or_default().to_owned())
        .collect();
    versions.sort();
    versions
}

/// A short prompt.
fn body() -> Value {
    json!({"work": "crew-question", "prompt": "which version", "max_tokens": 2})
}

#[test]
fn a_new_version_is_loaded_everywhere_and_served() {
    let fleet = fleet();
    let caller = CallerClient::new(fleet.callers(0), "north-crew");
    assert_eq!(caller.ask(&body()).0, 200);
    fleet
        .import(&authority_rows().replace(",,v1,", ",,v2,"))
        .unwrap();
    wait_until("every runner serves v2", || versions(&fleet) == ["v2"; 3]);
    wait_until("prompts are served again", || caller.ask(&body()).0 == 200);
    for engine in &fleet.engines {
        assert_eq!(engine.report()["mixed_use"], 0);
        assert_eq!(engine.report()["stale_orders"], 0);
    }
}

#[test]
fn one_customer_sees_its_own_version() {
    let fleet = fleet();
    let rows = authority_rows().lines().map(|line| {
        match line.strip_prefix("customer,south-crew,") {
            // The version is the customer's tenth cell.
            Some(rest) => {
                let mut cells: Vec<_> = rest.split(',').collect();
                cells[7] = "v2";
                format!("customer,south-crew,{}", cells.join(","))
            }
            None => line.to_owned(),
        }
    });
    let rows: Vec<_> = rows.collect();
    fleet.import(&rows.join("\n")).unwrap();
    wait_until("a runner serves v2", || {
        versions(&fleet).contains(&"v2".to_owned())
    });
    for customer in ["north-crew", "south-crew"] {
        let caller = CallerClient::new(fleet.callers(0), customer);
        wait_until("the customer is served", || caller.ask(&body()).0 == 200);
    }
}

#[test]
fn a_running_request_keeps_its_version() {
    let fleet = fleet();
    let caller = CallerClient::new(fleet.callers(0), "north-crew");
    let body = json!({
        "work": "crew-question", "prompt": "under way", "max_tokens": 1500, "stream": true
    });
    let mut rest = lines(post_prompt(&caller, &body));
    assert_eq!(rest.next().unwrap().unwrap()["event"], "started");
    fleet
        .import(&authority_rows().replace(",,v1,", ",,v2,"))
        .unwrap();
    wait_until("some runner serves v2", || {
        versions(&fleet).contains(&"v2".to_owned())
    });
    let last = rest.map(Result::unwrap).last().unwrap();
    assert_eq!(last["event"], "end", "{last}");
    assert!(fleet.engines.iter().all(|e| e.report()["mixed_use"] == 0));
}
