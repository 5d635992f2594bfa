//! Tests of the operators' table across processes during platform failures.

mod common;

use berylmount_standins::{wait_until, FleetConfig, ProxyFaults, TestFleet};
use common::{authority_rows, binary, CallerClient};
use serde_json::{json, Value};

/// A fleet of `instances` behind proxies.
fn fleet(instances: usize) -> TestFleet {
    let config = FleetConfig {
        instances,
        proxied: true,
        ..FleetConfig::default()
    };
    TestFleet::start(binary(), config, authority_rows()).unwrap()
}

/// Disconnects the instance `index` from the platform, or reconnects it.
fn cut_off(fleet: &TestFleet, index: usize, cut: bool) {
    fleet.platform_proxies[index].set(ProxyFaults {
        refuse: cut,
        ..ProxyFaults::default()
    });
    if cut {
        fleet.platform_proxies[index].cut();
    }
}

/// Sends a short prompt of `customer` to entry `index` and returns the answer.
fn ask(fleet: &TestFleet, index: usize, customer: &str) -> (u16, Value) {
    let caller = CallerClient::new(fleet.callers(index), customer);
    caller.ask(&json!({"work": "crew-question", "prompt": "a", "max_tokens": 1}))
}

/// Deletes the customer `south-crew` at an entry that reaches the platform.
fn delete_south(fleet: &TestFleet) {
    let (done, printed) = fleet.operate(&["table", "delete", "customer", "south-crew"]);
    assert!(done, "{printed}");
    assert!(printed.contains("accepted"), "{printed}");
}

/// Waits until entry `index` no longer knows `south-crew`.
fn wait_deleted(fleet: &TestFleet, index: usize) {
    wait_until("the deleted customer is refused", || {
        ask(fleet, index, "south-crew").1["reason"] == "unauthorized"
    });
}

#[test]
fn an_edit_reaches_a_process_that_is_cut_off_from_the_platform() {
    let fleet = fleet(3);
    cut_off(&fleet, 2, true);
    delete_south(&fleet);
    wait_deleted(&fleet, 2);
    // It still serves other customers because its peers confirm its table.
    assert_ne!(
        ask(&fleet, 2, "north-crew").1["reason"],
        "table_unconfirmed"
    );
}

#[test]
fn a_process_that_no_peer_confirms_refuses_requests() {
    let mut fleet = fleet(2);
    cut_off(&fleet, 1, true);
    // Only one of the four known processes still runs, so no peer can confirm.
    fleet.entries[0].signal("STOP").unwrap();
    for process in &mut fleet.dispatches {
        process.signal("STOP").unwrap();
    }
    wait_until("the entry refuses", || {
        let (status, refusal) = ask(&fleet, 1, "north-crew");
        status == 503 && refusal["reason"] == "table_unconfirmed"
    });
    let (_, refusal) = ask(&fleet, 1, "north-crew");
    assert_eq!(refusal["verdict"], "not_run");
    assert_ne!(refusal["retry_after_ms"], 0);
    // Once it reaches the platform again, it serves.
    fleet.entries[0].signal("CONT").unwrap();
    for process in &fleet.dispatches {
        process.signal("CONT").unwrap();
    }
    cut_off(&fleet, 1, false);
    wait_until("the entry serves", || {
        ask(&fleet, 1, "north-crew").1["reason"] != "table_unconfirmed"
    });
}

#[test]
fn an_outage_stops_edits_and_not_requests() {
    let fleet = fleet(3);
    fleet.platform.store().set_outage(true);
    let (done, printed) = fleet.operate(&["table", "delete", "customer", "south-crew"]);
    assert!(!done, "{printed}");
    // After the platform's last confirmation has expired, peers confirm the table.
    wait_until("peers confirm the table", || {
        let (_, status) = fleet.operate(&["status", "--json"]);
        let status: Value = serde_json::from_str(&status).unwrap_or_default();
        status["table"]["freshness"] == "peers"
    });
    for index in 0..3 {
        let reason = ask(&fleet, index, "north-crew").1["reason"].clone();
        assert_ne!(reason, "table_unconfirmed");
        assert_ne!(ask(&fleet, index, "south-crew").1["reason"], "unauthorized");
    }
    fleet.platform.store().set_outage(false);
    wait_until("edits are taken again", || {
        fleet
            .operate(&["table", "delete", "customer", "south-crew"])
            .0
    });
    (0..3).for_each(|index| wait_deleted(&fleet, index));
}

#[test]
fn a_restart_during_an_outage_gets_the_newest_table_from_peers() {
    let mut fleet = fleet(3);
    delete_south(&fleet);
    (0..3).for_each(|index| wait_deleted(&fleet, index));
    fleet.platform.store().set_outage(true);
    fleet.entries[2].kill();
    fleet.restart_entry(2).unwrap();
    wait_until("the restarted entry serves", || {
        let (status, answer) = ask(&fleet, 2, "north-crew");
        status == 200 || answer["reason"] == "redirected"
    });
    assert_eq!(ask(&fleet, 2, "south-crew").1["reason"], "unauthorized");
}

#[test]
fn concurrent_edits_of_one_row_conflict() {
    let fleet = fleet(1);
    let set = |rate: &str| {
        let cell = format!("rate_per_s={rate}");
        fleet.operate(&[
            "table",
            "set",
            "customer",
            "north-crew",
            &cell,
            "--version",
            "1",
        ])
    };
    let (first, _) = set("20");
    let (second, printed) = set("30");
    assert!(first && !second, "{printed}");
    assert!(
        printed.contains("20") && printed.contains("30"),
        "{printed}"
    );
}
