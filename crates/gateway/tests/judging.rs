//! Runners are told apart from requests that fail wherever they run.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{answer_to, arrivals, scripted, AfterAnswer, Served, StandinRunner};

/// Requests of each kind that are sent.
const REQUESTS: usize = 20;

/// Answers well, but for requests that fail wherever they run.
fn sound() -> StandinRunner {
    scripted(|request| {
        let status = match request.contains("/nowhere") {
            true => "500 Failed",
            false => "200 OK",
        };
        (answer_to(request, status, "x"), AfterAnswer::Keep)
    })
}

/// Fails everything, though its entry is good.
fn grey() -> StandinRunner {
    scripted(|request| (answer_to(request, "500 Failed", "x"), AfterAnswer::Keep))
}

fn status(served: &Served, line: &str, number: usize) -> String {
    let answer = served.call(line, &format!("n{number}"), "", "").unwrap();
    answer[9..12].to_owned()
}

#[test]
fn a_request_that_fails_everywhere_costs_no_runner_its_name() {
    let (first, second, third) = (sound(), sound(), grey());
    let served = Served::start(&[("r1", &first), ("r2", &second), ("r3", &third)]);
    // One round shows which runner is grey.
    for number in 0..REQUESTS {
        status(&served, "GET /safe/x", number);
    }
    let known = arrivals(&third).len();
    for number in 0..REQUESTS {
        assert_eq!(status(&served, "GET /safe/nowhere", number), "500");
    }
    // Orders get one try: those that went to the grey runner failed.
    let failed = (0..REQUESTS).filter(|number| status(&served, "POST /once/x", *number) == "500");
    assert_eq!(failed.count(), 0);
    assert_eq!(arrivals(&third).len(), known);
}
