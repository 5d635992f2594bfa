//! An instance that takes the rollout lease from one that was stopped.
#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::json;
use standins::{
    all_routes, received_requests, response_to, scripted_runner, settings, table, wait_until,
    AfterResponse, CuttableLink, LinkCut, StandinRunner, StandinStore, TestGateway,
};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

/// Starts a runner with old weights that accepts orders.
fn old_runner() -> StandinRunner {
    scripted_runner(|request| {
        let body = match request.starts_with("GET /berylmount/report") {
            true => r#"{"Models":[{"Name":"m","Version":1}],"Busy":false,"Sequence":0}"#,
            false => "",
        };
        let response = match request.starts_with("POST /berylmount/order") {
            true => response_to(request, "202 Accepted", ""),
            false => response_to(request, "200 OK", body),
        };
        (response, AfterResponse::Keep)
    })
}

fn orders(runner: &StandinRunner) -> usize {
    let requests = received_requests(runner);
    let orders = requests
        .iter()
        .filter(|r| r.starts_with("POST /berylmount/order"));
    orders.count()
}

/// Guards against a rollout that waits for the exclusion time after a planned stop of the lease
/// holder, and against a second order to a runner that the earlier holder has just ordered.
#[test]
fn a_lease_that_was_handed_over_excludes_only_the_listed_runners() {
    let runners = ["r1", "r2", "r3"].map(|id| (id, old_runner()));
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    for (id, runner) in &runners {
        store.put("servers", id, Some(runner.entry("svc", "ready")));
    }
    store.put("versions", "m", Some(json!({"Model": "m", "Version": 2})));
    let order = |id: &str| json!({"runner": id, "model": "m", "version": 2, "age_ms": 2500});
    let record = json!({
        "holder": "gone", "started_ms": 1, "term": 3, "renewal": 9, "is_acting": true,
        "is_released": true, "orders": [order("r2")], "named": [],
    });
    store.put("berylmount-leases", "weights", Some(record));
    let mut settings = settings("i1", store.address);
    settings.bounds.lease = Duration::from_secs(600);
    let _gateway = TestGateway::start_with_settings(store, settings);
    for index in [0, 2] {
        let (id, runner) = &runners[index];
        wait_until(&format!("an order to {id}"), || orders(runner) > 0);
    }
    assert_eq!(orders(&runners[1].1), 0);
}

/// Guards against a rollout that stands still because the lease holder reaches no runner.
#[test]
fn a_holder_without_a_path_to_the_runners_releases_the_lease() {
    let runners = ["r1", "r2", "r3"].map(|id| (id, old_runner()));
    let links = runners
        .each_ref()
        .map(|(_, runner)| CuttableLink::start(runner.address));
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    for ((id, runner), link) in runners.iter().zip(&links) {
        let mut entry = runner.entry("svc", "ready");
        entry["Address"] = link.address.to_string().into();
        store.put("servers", id, Some(entry));
    }
    let gateway = TestGateway::start_with(store.clone(), "i1");
    gateway.wait_ready();
    links.iter().for_each(|link| link.cut(LinkCut::Hang));
    store.put("versions", "m", Some(json!({"Model": "m", "Version": 2})));
    let is_released = || {
        let record = store.value("berylmount-leases", "weights");
        record.map(|record| record["is_released"].as_bool().unwrap())
    };
    wait_until("the lease to be held", || is_released() == Some(false));
    wait_until("the lease to be released", || is_released() == Some(true));
    links.iter().for_each(CuttableLink::heal);
    wait_until("an order", || {
        runners.iter().any(|(_, runner)| orders(runner) > 0)
    });
}

/// Guards against a runner that counts as switching for seconds although it got no order, because
/// it failed the question that comes before it.
#[test]
fn a_runner_whose_report_failed_is_ordered_soon() {
    let reports = AtomicUsize::new(0);
    let sound = old_runner();
    let runner = scripted_runner(move |request| {
        let is_report = request.starts_with("GET /berylmount/report");
        let response = match is_report && reports.fetch_add(1, Ordering::Relaxed) == 0 {
            true => response_to(request, "503 Busy", ""),
            false if is_report => {
                let body = r#"{"Models":[{"Name":"m","Version":1}],"Busy":false,"Sequence":0}"#;
                response_to(request, "200 OK", body)
            }
            false => response_to(request, "202 Accepted", ""),
        };
        (response, AfterResponse::Keep)
    });
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    store.put("servers", "r1", Some(runner.entry("svc", "ready")));
    store.put("servers", "r2", Some(sound.entry("svc", "ready")));
    store.put("versions", "m", Some(json!({"Model": "m", "Version": 2})));
    let _gateway = TestGateway::start_with(store, "i1");
    let has_report = || {
        let requests = received_requests(&runner);
        requests
            .iter()
            .any(|r| r.starts_with("GET /berylmount/report"))
    };
    wait_until("a report", has_report);
    let asked = Instant::now();
    wait_until("an order", || orders(&runner) > 0);
    assert!(asked.elapsed() < Duration::from_secs(4));
}
