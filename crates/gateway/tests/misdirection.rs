//! Runners whose addresses were assigned to other servers.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    all_routes, header, healthy_runner, received_requests, response_to, scripted_runner, table,
    wait_until, AfterResponse, StandinRunner, StandinStore, TestGateway,
};

/// A server that rejects every request because it is not the runner that was expected.
fn other_server(sender: &'static str) -> StandinRunner {
    scripted_runner(move |request| {
        let id = header(request, "berylmount-request-id").unwrap();
        let rejection = format!(
            "HTTP/1.1 421 Misdirected\r\nberylmount-request-id: {id}\r\n{sender}\
             berylmount-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        );
        (rejection.into_bytes(), AfterResponse::Keep)
    })
}

const NAMED: &str = "berylmount-instance-id: other\r\n";

/// Starts instances that use these runners.
fn start_fleet(instances: usize, runners: &[(&str, &StandinRunner)]) -> Vec<TestGateway> {
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    for (id, runner) in runners {
        store.put("servers", id, Some(runner.entry("svc", "ready")));
    }
    let start = |number| TestGateway::start_with(store.clone(), &format!("i{number}"));
    let gateways: Vec<TestGateway> = (0..instances).map(start).collect();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    wait_until("entries of all instances", || {
        let entry = |number| store.value("berylmount-instances", &format!("i{number}"));
        (0..instances).all(|number| entry(number).is_some())
    });
    gateways
}

/// Sends requests and returns the distinct statuses of their responses.
fn statuses(gateway: &TestGateway, count: usize) -> Vec<String> {
    let call = |number| gateway.call("GET /safe/x", &format!("n{number}"), "", "");
    let statuses = (0..count).map(|number| call(number).unwrap()[9..12].to_owned());
    let mut statuses: Vec<String> = statuses.collect();
    statuses.sort();
    statuses.dedup();
    statuses
}

#[test]
fn one_rejection_by_another_server_excludes_the_runner_at_all_instances() {
    let (first, second) = (other_server(NAMED), other_server(NAMED));
    let sound = healthy_runner();
    let fleet = start_fleet(3, &[("r1", &first), ("r2", &second), ("r3", &sound)]);
    let arrivals = || received_requests(&first).len() + received_requests(&second).len();
    wait_until("rejections by both servers", || {
        statuses(&fleet[0], 1);
        !received_requests(&first).is_empty() && !received_requests(&second).is_empty()
    });
    assert_eq!(arrivals(), 2);
    // The others learn of it by a datagram, which must arrive before their requests.
    wait_until("reports at the other instances", || {
        let known = arrivals();
        statuses(&fleet[1], 10);
        statuses(&fleet[2], 10);
        arrivals() == known
    });
    assert!(arrivals() <= 6, "{} arrivals", arrivals());
    let known = arrivals();
    for gateway in &fleet {
        // An instance is ready a moment before it serves.
        wait_until("the end of the start", || {
            let response = gateway.call("GET /safe/x", "start", "", "").unwrap();
            !response.ends_with("starting")
        });
        assert_eq!(statuses(gateway, 50), ["200"]);
    }
    assert_eq!(arrivals(), known);
}

#[test]
fn callers_are_refused_at_once_while_other_servers_have_all_addresses() {
    let (first, second) = (other_server(NAMED), other_server(NAMED));
    let fleet = start_fleet(1, &[("r1", &first), ("r2", &second)]);
    assert_eq!(statuses(&fleet[0], 50), ["503"]);
    let arrivals = received_requests(&first).len() + received_requests(&second).len();
    assert!(arrivals <= 2, "{arrivals} arrivals");
}

#[test]
fn rejections_without_a_sender_exclude_the_runner_after_the_second() {
    let other = other_server("");
    let fleet = start_fleet(1, &[("r1", &other)]);
    wait_until("the second rejection", || {
        statuses(&fleet[0], 1);
        received_requests(&other).len() >= 2
    });
    assert_eq!(statuses(&fleet[0], 50), ["503"]);
    assert_eq!(received_requests(&other).len(), 2);
}

#[test]
fn a_rejection_by_the_runner_itself_does_not_exclude_it() {
    let runner = scripted_runner(|request| {
        let id = header(request, "berylmount-request-id").unwrap();
        let response = match id.as_str() {
            "n0" => format!(
                "HTTP/1.1 421 Misdirected\r\nberylmount-request-id: {id}\r\n\
                 berylmount-instance-id: r1\r\nberylmount-not-executed: 1\r\n\
                 content-length: 0\r\n\r\n"
            )
            .into_bytes(),
            _ => response_to(request, "200 OK", "fine"),
        };
        (response, AfterResponse::Keep)
    });
    let fleet = start_fleet(1, &[("r1", &runner)]);
    assert_eq!(statuses(&fleet[0], 5), ["200", "503"]);
}
