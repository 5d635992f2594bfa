//! Behaviour towards callers when the store is restored from an older backup.

#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::json;
use standins::{
    all_routes, healthy_runner, received_requests, route, table, wait_until, StandinRunner,
    StandinStore, TestGateway,
};

/// Starts a gateway with version 1 of the table and these runners.
fn start_gateway(runners: &[(&str, &StandinRunner)]) -> TestGateway {
    TestGateway::start(runners)
}

/// Waits until the gateway serves a route, which shows that its table is in force.
fn wait_for_route(gateway: &TestGateway, path: &str) {
    gateway.wait_for_status(&format!("GET {path}"), "200", false);
}

/// Returns the routes of the first table and one more.
fn routes_with(path: &str) -> Vec<serde_json::Value> {
    let mut routes = all_routes();
    routes.push(route(path, "safe", 2, false));
    routes
}

/// Returns the status code of the response to a request line.
fn status(gateway: &TestGateway, line: &str) -> String {
    let response = gateway.call(line, "id1", "", "").unwrap();
    response[9..12].to_owned()
}

#[test]
fn a_restore_does_not_revert_the_table() {
    let runner = healthy_runner();
    let gateway = start_gateway(&[("r1", &runner)]);
    let backup = gateway.store.backup();
    // Version 2 removes one route and adds another.
    let mut routes = routes_with("/warm2/");
    routes.retain(|route| route["PathPrefix"] != "/once/");
    gateway.store.put("config", "main", Some(table(2, routes)));
    wait_for_route(&gateway, "/warm2/x");
    gateway.store.restore(&backup);
    // The gateway knows the new era once an object written in it is in force.
    let other = healthy_runner();
    let entry = other.entry("svc", "ready");
    gateway.store.put("servers", "r2", Some(entry));
    gateway.store.put("servers", "r1", None);
    wait_until("a runner of the new era", || {
        gateway.call("GET /safe/x", "probe", "", "");
        !received_requests(&other).is_empty()
    });
    assert_eq!(status(&gateway, "GET /warm2/x"), "200");
    assert_eq!(status(&gateway, "POST /once/x"), "404");
    // The next write of the operator takes effect, although its revision is low.
    let written = table(3, routes_with("/warm3/"));
    gateway.store.put("config", "main", Some(written));
    wait_for_route(&gateway, "/warm3/x");
    assert_eq!(status(&gateway, "POST /once/x"), "200");
}

/// Guards against skipping a change after a restore because its revision number was
/// already used before the restore.
#[test]
fn a_reused_revision_is_a_different_change() {
    let (first, lost, second) = (healthy_runner(), healthy_runner(), healthy_runner());
    let gateway = start_gateway(&[("r1", &first)]);
    let backup = gateway.store.backup();
    let entry = |runner: &StandinRunner| Some(runner.entry("svc", "ready"));
    let before = gateway.store.put("servers", "lost", entry(&lost));
    gateway.store.put("servers", "r1", None);
    wait_until("the change before the restore", || {
        gateway.call("GET /safe/x", "probe", "", "");
        !received_requests(&lost).is_empty()
    });
    gateway.store.restore(&backup);
    let again = gateway.store.put("servers", "r2", entry(&second));
    gateway.store.put("servers", "r1", None);
    assert_eq!(before, again);
    wait_until("the change after the restore", || {
        gateway.call("GET /safe/x", "probe", "", "");
        !received_requests(&second).is_empty()
    });
}

#[test]
fn a_runner_missing_in_the_backup_keeps_serving() {
    let (old, new) = (healthy_runner(), healthy_runner());
    let gateway = start_gateway(&[("r1", &old)]);
    let backup = gateway.store.backup();
    let entry = |runner: &StandinRunner| Some(runner.entry("svc", "ready"));
    gateway.store.put("servers", "r2", entry(&new));
    gateway.store.put("servers", "r1", None);
    wait_until("requests to the new runner only", || {
        let known = received_requests(&old).len();
        gateway.call("GET /safe/x", "probe", "", "");
        received_requests(&old).len() == known && !received_requests(&new).is_empty()
    });
    gateway.store.restore(&backup);
    // The runner missing in the backup still serves. The departed runner gets no requests.
    let known = received_requests(&old).len();
    for _ in 0..20 {
        assert_eq!(status(&gateway, "GET /safe/x"), "200");
    }
    assert_eq!(received_requests(&old).len(), known);
    gateway.store.put("servers", "r2", entry(&new));
    assert_eq!(status(&gateway, "GET /safe/x"), "200");
}

#[test]
fn a_draining_runner_gets_no_requests_after_a_restore() {
    let (drained, other) = (healthy_runner(), healthy_runner());
    let gateway = start_gateway(&[("r1", &drained), ("r2", &other)]);
    let backup = gateway.store.backup();
    let draining = drained.entry("svc", "draining");
    gateway.store.put("servers", "r1", Some(draining));
    wait_until("requests to the other runner only", || {
        let known = received_requests(&drained).len();
        (0..10).for_each(|_| drop(gateway.call("GET /safe/x", "probe", "", "")));
        received_requests(&drained).len() == known
    });
    let known = received_requests(&drained).len();
    gateway.store.restore(&backup);
    let third = healthy_runner();
    let entry = third.entry("svc", "ready");
    gateway.store.put("servers", "r3", Some(entry));
    gateway.store.put("servers", "r2", None);
    wait_until("a runner of the new era", || {
        gateway.call("GET /safe/x", "probe", "", "");
        !received_requests(&third).is_empty()
    });
    // The draining runner registers as ready again before it announces the drain again.
    gateway
        .store
        .put("servers", "r1", Some(drained.entry("svc", "ready")));
    for _ in 0..20 {
        gateway.call("GET /safe/x", "probe", "", "");
    }
    assert_eq!(received_requests(&drained).len(), known);
    // A new start under the same id counts as another runner.
    let mut entry = drained.entry("svc", "ready");
    entry["born"] = json!(2);
    gateway.store.put("servers", "r1", Some(entry));
    gateway.store.put("servers", "r3", None);
    wait_until("a request to the new start of the runner", || {
        gateway.call("GET /safe/x", "probe", "", "");
        received_requests(&drained).len() > known
    });
}

#[test]
fn an_instance_that_starts_in_a_new_era_pulls_the_table_from_its_peers() {
    let runner = healthy_runner();
    let first = start_gateway(&[("r1", &runner)]);
    wait_until("the entry of the instance", || {
        first.store.value("berylmount-instances", "i1").is_some()
    });
    let backup = first.store.backup();
    let mut routes = all_routes();
    routes.retain(|route| route["PathPrefix"] != "/once/");
    first.store.put("config", "main", Some(table(2, routes)));
    wait_until("the newer table", || {
        status(&first, "POST /once/x") == "404"
    });
    first.store.restore(&backup);
    let store: StandinStore = first.store.clone();
    let second = TestGateway::start_with(store, "i2");
    second.wait_ready();
    // Its first request is routed by the newer table.
    assert_eq!(status(&second, "POST /once/x"), "404");
}

#[test]
fn an_instance_registers_again_after_a_restore() {
    let store = StandinStore::start();
    let backup = store.backup();
    store.put("config", "main", Some(table(1, all_routes())));
    let gateway = TestGateway::start_with(store, "i1");
    let is_listed = || gateway.store.value("berylmount-instances", "i1").is_some();
    wait_until("the entry of the instance", is_listed);
    gateway.store.restore(&backup);
    assert!(!is_listed());
    wait_until("the entry of the instance after the restore", is_listed);
}
