//! Outlier ejection distinguishes failing runners from requests that fail at every
//! runner.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    received_requests, response_to, scripted_runner, AfterResponse, StandinRunner, TestGateway,
};
use std::{net::TcpListener, thread, time::Duration};

/// Number of requests of each kind.
const REQUESTS: usize = 20;

/// A runner that fails only for `/nowhere`, as all runners of the test do.
fn healthy_runner() -> StandinRunner {
    scripted_runner(|request| {
        let status = match request.contains("/nowhere") {
            true => "500 Failed",
            false => "200 OK",
        };
        (response_to(request, status, "x"), AfterResponse::Keep)
    })
}

/// A runner that fails every request although its registered state is ready.
fn failing_runner() -> StandinRunner {
    scripted_runner(|request| (response_to(request, "500 Failed", "x"), AfterResponse::Keep))
}

fn status(gateway: &TestGateway, line: &str, number: usize) -> String {
    let response = gateway.call(line, &format!("n{number}"), "", "").unwrap();
    response[9..12].to_owned()
}

#[test]
fn a_request_that_fails_at_every_runner_ejects_none_of_them() {
    let (first, second, third) = (healthy_runner(), healthy_runner(), failing_runner());
    let gateway = TestGateway::start(&[("r1", &first), ("r2", &second), ("r3", &third)]);
    // The first round ejects the failing runner.
    for number in 0..REQUESTS {
        status(&gateway, "GET /safe/x", number);
    }
    let before = received_requests(&third).len();
    for number in 0..REQUESTS {
        assert_eq!(status(&gateway, "GET /safe/nowhere", number), "500");
    }
    // The route `/once/` allows one attempt, so each request sent to the failing runner
    // would fail.
    let failed = (0..REQUESTS).filter(|number| status(&gateway, "POST /once/x", *number) == "500");
    assert_eq!(failed.count(), 0);
    assert_eq!(received_requests(&third).len(), before);
}

/// Guards against requests that use up their attempts at runners which have crashed, while
/// their entries are still in the store and the other runners are busy.
#[test]
fn requests_avoid_runners_that_refused_a_connection() {
    // It reports a load, so that the crashed runners look better.
    let busy = scripted_runner(|request| {
        let load = "200 OK\r\nberylmount-instance-load: 7,6,8,300";
        (response_to(request, load, "x"), AfterResponse::Keep)
    });
    let gateway = TestGateway::start(&[("r0", &busy)]);
    for number in 1..=6 {
        let closed = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = closed.local_addr().unwrap().to_string();
        drop(closed);
        let mut entry = busy.entry("svc", "ready");
        entry["Address"] = address.into();
        gateway
            .store
            .put("servers", &format!("crashed{number}"), Some(entry));
    }
    thread::sleep(Duration::from_millis(300));
    let statuses = (0..REQUESTS).map(|number| {
        let response = gateway.call("POST /unsafe/x", &format!("n{number}"), "", "b");
        response.unwrap()[9..12].to_owned()
    });
    let statuses: Vec<String> = statuses.collect();
    let served = statuses.iter().filter(|status| *status == "200").count();
    // Each crashed runner is tried once.
    assert!(served >= REQUESTS - 3, "{statuses:?}");
}
