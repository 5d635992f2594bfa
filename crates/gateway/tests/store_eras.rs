//! A store that comes back from an older copy, as callers see it.

#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::json;
use standins::{
    all_routes, healthy_runner, received_requests, route, table, wait_until, StandinRunner,
    StandinStore, TestGateway,
};

/// A gateway with the table of version 1 and these runners.
fn served(runners: &[(&str, &StandinRunner)]) -> TestGateway {
    TestGateway::start(runners)
}

/// Waits until an instance has learned of a table by asking for its route.
fn wait_route(served: &TestGateway, path: &str) {
    served.wait_for_status(&format!("GET {path}"), "200", false);
}

/// Routes of the first table, and one more.
fn routes_with(path: &str) -> Vec<serde_json::Value> {
    let mut routes = all_routes();
    routes.push(route(path, "safe", 2, false));
    routes
}

fn status(served: &TestGateway, line: &str) -> String {
    let answer = served.call(line, "asked", "", "").unwrap();
    answer[9..12].to_owned()
}

#[test]
fn a_table_does_not_go_back() {
    let runner = healthy_runner();
    let served = served(&[("r1", &runner)]);
    let copy = served.store.copy();
    // Version 2 takes a route away and adds one.
    let mut routes = routes_with("/warm2/");
    routes.retain(|route| route["PathPrefix"] != "/once/");
    served.store.put("config", "main", Some(table(2, routes)));
    wait_route(&served, "/warm2/x");
    served.store.come_back(&copy);
    // The new era is known once something that is written in it is in force.
    let other = healthy_runner();
    let entry = other.entry("svc", "ready");
    served.store.put("servers", "r2", Some(entry));
    served.store.put("servers", "r1", None);
    wait_until("a runner of the new era", || {
        served.call("GET /safe/x", "probe", "", "");
        !received_requests(&other).is_empty()
    });
    assert_eq!(status(&served, "GET /warm2/x"), "200");
    assert_eq!(status(&served, "POST /once/x"), "404");
    // What the operator writes next holds, though its revision is a low one.
    let written = table(3, routes_with("/warm3/"));
    served.store.put("config", "main", Some(written));
    wait_route(&served, "/warm3/x");
    assert_eq!(status(&served, "POST /once/x"), "200");
}

#[test]
fn a_revision_that_is_given_out_again_stands_for_another_change() {
    let (first, lost, second) = (healthy_runner(), healthy_runner(), healthy_runner());
    let served = served(&[("r1", &first)]);
    let copy = served.store.copy();
    let entry = |runner: &StandinRunner| Some(runner.entry("svc", "ready"));
    let before = served.store.put("servers", "lost", entry(&lost));
    served.store.put("servers", "r1", None);
    wait_until("the change before", || {
        served.call("GET /safe/x", "probe", "", "");
        !received_requests(&lost).is_empty()
    });
    served.store.come_back(&copy);
    let again = served.store.put("servers", "r2", entry(&second));
    served.store.put("servers", "r1", None);
    assert_eq!(before, again);
    wait_until("the other change", || {
        served.call("GET /safe/x", "probe", "", "");
        !received_requests(&second).is_empty()
    });
}

#[test]
fn a_runner_that_the_copy_lacks_serves_on() {
    let (old, new) = (healthy_runner(), healthy_runner());
    let served = served(&[("r1", &old)]);
    let copy = served.store.copy();
    let entry = |runner: &StandinRunner| Some(runner.entry("svc", "ready"));
    served.store.put("servers", "r2", entry(&new));
    served.store.put("servers", "r1", None);
    wait_until("the new runner alone", || {
        let known = received_requests(&old).len();
        served.call("GET /safe/x", "probe", "", "");
        received_requests(&old).len() == known && !received_requests(&new).is_empty()
    });
    served.store.come_back(&copy);
    // The one that it lacks still serves; the one that had left stays left.
    let known = received_requests(&old).len();
    for _ in 0..20 {
        assert_eq!(status(&served, "GET /safe/x"), "200");
    }
    assert_eq!(received_requests(&old).len(), known);
    served.store.put("servers", "r2", entry(&new));
    assert_eq!(status(&served, "GET /safe/x"), "200");
}

#[test]
fn a_runner_that_said_it_leaves_stays_left() {
    let (leaving, staying) = (healthy_runner(), healthy_runner());
    let served = served(&[("r1", &leaving), ("r2", &staying)]);
    let copy = served.store.copy();
    let draining = leaving.entry("svc", "draining");
    served.store.put("servers", "r1", Some(draining));
    wait_until("only the other", || {
        let known = received_requests(&leaving).len();
        (0..10).for_each(|_| drop(served.call("GET /safe/x", "probe", "", "")));
        received_requests(&leaving).len() == known
    });
    let known = received_requests(&leaving).len();
    served.store.come_back(&copy);
    let third = healthy_runner();
    let entry = third.entry("svc", "ready");
    served.store.put("servers", "r3", Some(entry));
    served.store.put("servers", "r2", None);
    wait_until("a runner of the new era", || {
        served.call("GET /safe/x", "probe", "", "");
        !received_requests(&third).is_empty()
    });
    // It writes itself again, as ready, a moment before it says once more that it leaves.
    served
        .store
        .put("servers", "r1", Some(leaving.entry("svc", "ready")));
    for _ in 0..20 {
        served.call("GET /safe/x", "probe", "", "");
    }
    assert_eq!(received_requests(&leaving).len(), known);
    // Another start under the same id is another runner.
    let mut entry = leaving.entry("svc", "ready");
    entry["born"] = json!(2);
    served.store.put("servers", "r1", Some(entry));
    served.store.put("servers", "r3", None);
    wait_until("the new start", || {
        served.call("GET /safe/x", "probe", "", "");
        received_requests(&leaving).len() > known
    });
}

#[test]
fn an_instance_that_starts_in_the_new_era_takes_the_table_of_its_neighbours() {
    let runner = healthy_runner();
    let first = served(&[("r1", &runner)]);
    wait_until("its entry", || {
        first.store.value("berylmount-instances", "i1").is_some()
    });
    let copy = first.store.copy();
    let mut routes = all_routes();
    routes.retain(|route| route["PathPrefix"] != "/once/");
    first.store.put("config", "main", Some(table(2, routes)));
    wait_until("the newer table", || {
        status(&first, "POST /once/x") == "404"
    });
    first.store.come_back(&copy);
    let store: StandinStore = first.store.clone();
    let second = TestGateway::start_with(store, "i2");
    second.wait_ready();
    // The first request that it takes is judged by the newer table.
    assert_eq!(status(&second, "POST /once/x"), "404");
}

#[test]
fn an_instance_registers_again() {
    let store = StandinStore::start();
    let copy = store.copy();
    store.put("config", "main", Some(table(1, all_routes())));
    let served = TestGateway::start_with(store, "i1");
    let is_listed = || served.store.value("berylmount-instances", "i1").is_some();
    wait_until("its entry", is_listed);
    served.store.come_back(&copy);
    assert!(!is_listed());
    wait_until("its entry again", is_listed);
}
