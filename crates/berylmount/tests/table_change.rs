//! Tests that no process uses an older row later than 4 s after a table change.
#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

mod common;

use berylmount_standins::{wait_until, FleetConfig, ProxyFaults, TestFleet};
use common::{authority_rows, binary, CallerClient};
use serde_json::json;
use std::time::{Duration, Instant};

/// Time after an accepted edit from which no process may use an older row.
const MAX_APPLY_TIME: Duration = Duration::from_secs(4);

/// Starts two instances with four processes; a majority is three of them.
fn start(proxied: bool) -> TestFleet {
    let config = FleetConfig {
        instances: 2,
        proxied,
        ..FleetConfig::default()
    };
    let fleet = TestFleet::start(binary(), config, authority_rows()).unwrap();
    wait_until("the table is in force on all", || {
        fleet
            .operate(&["status"])
            .1
            .contains("in force on all 4 of 4")
    });
    fleet
}

/// Sends a request with the customer's first key to an entry; returns its status.
fn ask(fleet: &TestFleet, index: usize) -> u16 {
    let caller = CallerClient::new(fleet.callers(index), "north-crew");
    let body = json!({"work": "crew-question", "prompt": "a", "max_tokens": 1});
    caller.ask(&body).0
}

/// Changes the customer's key; returns the time at which the edit was accepted.
fn change_key(fleet: &TestFleet) -> Instant {
    let edit = [
        "table",
        "set",
        "customer",
        "north-crew",
        "key=new",
        "--id",
        "e1",
    ];
    wait_until("the edit is accepted", || fleet.operate(&edit).0);
    Instant::now()
}

/// Waits until the entry refuses the first key, which it must do within
/// `MAX_APPLY_TIME` after the edit was accepted.
fn wait_refused(fleet: &TestFleet, index: usize, accepted_at: Instant) {
    wait_until("the new row is in force", || {
        let late = accepted_at.elapsed() >= MAX_APPLY_TIME;
        let status = ask(fleet, index);
        assert!(!late || status != 200, "entry {index} used an older row");
        status == 401
    });
    assert_eq!(
        ask(fleet, index),
        401,
        "the entry went back to the older row"
    );
}

#[test]
fn a_change_is_in_force_on_every_entry() {
    let fleet = start(false);
    wait_until("the first key is accepted", || {
        (0..2).all(|index| ask(&fleet, index) == 200)
    });
    let accepted_at = change_key(&fleet);
    (0..2).for_each(|index| wait_refused(&fleet, index, accepted_at));
}

#[test]
fn a_resumed_entry_uses_the_new_row() {
    let fleet = start(false);
    wait_until("the first key is accepted", || ask(&fleet, 1) == 200);
    fleet.entries[1].signal("STOP").unwrap();
    let accepted_at = change_key(&fleet);
    wait_until("the maximum time has passed", || {
        accepted_at.elapsed() >= MAX_APPLY_TIME
    });
    fleet.entries[1].signal("CONT").unwrap();
    wait_refused(&fleet, 1, accepted_at);
}

/// Requests from the instance reach the platform, but the answers are lost.
#[test]
fn an_instance_cut_off_one_way_gets_the_change_from_peers() {
    let fleet = start(true);
    wait_until("the first key is accepted", || ask(&fleet, 1) == 200);
    fleet.platform_proxies[1].set(ProxyFaults {
        drop_answers: true,
        ..ProxyFaults::default()
    });
    let accepted_at = change_key(&fleet);
    wait_refused(&fleet, 1, accepted_at);
    wait_refused(&fleet, 0, accepted_at);
}
