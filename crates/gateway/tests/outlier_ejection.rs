//! Runners are told apart from requests that fail wherever they run.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    received_requests, response_to, scripted_runner, AfterResponse, StandinRunner, TestGateway,
};

/// Requests of each kind that are sent.
const REQUESTS: usize = 20;

/// Answers well, but for requests that fail wherever they run.
fn healthy_runner() -> StandinRunner {
    scripted_runner(|request| {
        let status = match request.contains("/nowhere") {
            true => "500 Failed",
            false => "200 OK",
        };
        (response_to(request, status, "x"), AfterResponse::Keep)
    })
}

/// Fails everything, though its entry is good.
fn failing_runner() -> StandinRunner {
    scripted_runner(|request| (response_to(request, "500 Failed", "x"), AfterResponse::Keep))
}

fn status(gateway: &TestGateway, line: &str, number: usize) -> String {
    let response = gateway.call(line, &format!("n{number}"), "", "").unwrap();
    response[9..12].to_owned()
}

#[test]
fn a_request_that_fails_everywhere_costs_no_runner_its_name() {
    let (first, second, third) = (healthy_runner(), healthy_runner(), failing_runner());
    let gateway = TestGateway::start(&[("r1", &first), ("r2", &second), ("r3", &third)]);
    // One round shows which runner is grey.
    for number in 0..REQUESTS {
        status(&gateway, "GET /safe/x", number);
    }
    let before = received_requests(&third).len();
    for number in 0..REQUESTS {
        assert_eq!(status(&gateway, "GET /safe/nowhere", number), "500");
    }
    // Orders get one try: those that went to the grey runner failed.
    let failed = (0..REQUESTS).filter(|number| status(&gateway, "POST /once/x", *number) == "500");
    assert_eq!(failed.count(), 0);
    assert_eq!(received_requests(&third).len(), before);
}
