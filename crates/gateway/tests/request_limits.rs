//! Request limits of runners, judged by the requests that the runners received.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    all_routes, healthy_runner, table, wait_until, LimitedRunner, StandinRunner, StandinStore,
    TestGateway, LIMIT_CONTACT,
};
use std::{
    env,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Number of instances, unless the environment sets `BERYLMOUNT_LIMIT_INSTANCES`.
const INSTANCES: usize = 7;
/// Time for which a limit is watched once it binds.
const WATCHED: Duration = Duration::from_secs(6);
/// Pause of a caller between two requests. All callers together send far more requests
/// than the limits allow.
const CALLER_PAUSE: Duration = Duration::from_millis(60);

/// Instances with callers that send requests to each of them without a pause in between.
struct LoadedFleet {
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    /// Bodies of the responses that are not 200, without repetitions.
    refusals: Arc<Mutex<Vec<String>>>,
    callers: Vec<JoinHandle<()>>,
}

impl LoadedFleet {
    fn start(runners: &[(&str, &StandinRunner)]) -> Self {
        let store = StandinStore::start();
        store.put("config", "main", Some(table(1, all_routes())));
        for (id, runner) in runners {
            store.put("servers", id, Some(runner.entry("svc", "ready")));
        }
        let instances = env::var("BERYLMOUNT_LIMIT_INSTANCES");
        let instances = instances.map_or(INSTANCES, |count| count.parse().unwrap());
        let start = |number| TestGateway::start_with(store.clone(), &format!("i{number}"));
        let gateways: Vec<TestGateway> = (0..instances).map(start).collect();
        for gateway in &gateways {
            gateway.wait_ready();
            gateway.wait_for_status("GET /safe/warm", "200", false);
        }
        let mut fleet = Self {
            is_over: Arc::default(),
            served: Arc::default(),
            refusals: Arc::default(),
            callers: Vec::new(),
        };
        for gateway in gateways {
            fleet.add_caller(gateway);
        }
        fleet
    }

    fn add_caller(&mut self, gateway: TestGateway) {
        let (is_over, served) = (self.is_over.clone(), self.served.clone());
        let refusals = self.refusals.clone();
        let call = move || {
            while !is_over.load(Ordering::Relaxed) {
                let response = gateway.call("GET /safe/x", "n", "", "").unwrap();
                if response.starts_with("HTTP/1.1 200") {
                    served.fetch_add(1, Ordering::Relaxed);
                } else {
                    let body = response.split_once("\r\n\r\n").unwrap().1.to_owned();
                    let mut refusals = refusals.lock().unwrap();
                    if !refusals.contains(&body) {
                        refusals.push(body);
                    }
                }
                thread::sleep(CALLER_PAUSE);
            }
        };
        self.callers.push(thread::spawn(call));
    }

    /// Stops the callers; returns the distinct refusals.
    fn stop(self) -> Vec<String> {
        self.is_over.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().unwrap();
        }
        let refusals = self.refusals.lock().unwrap();
        refusals.clone()
    }
}

/// Names limits and waits until they bind; returns since when they do.
fn name_limits(limits: &[(&LimitedRunner, f64)]) -> Instant {
    for (runner, per_s) in limits {
        runner.name_limit(Some(*per_s));
    }
    thread::sleep(LIMIT_CONTACT);
    Instant::now()
}

#[test]
fn a_runner_gets_no_more_requests_from_all_instances_than_its_limit_allows() {
    let limited = [LimitedRunner::start(), LimitedRunner::start()];
    let other = healthy_runner();
    let fleet = LoadedFleet::start(&[
        ("r1", &limited[0].runner),
        ("r2", &limited[1].runner),
        ("r3", &other),
    ]);
    let since = name_limits(&[(&limited[0], 2.8), (&limited[1], 5.2)]);
    thread::sleep(WATCHED);
    limited[0].check_kept(2.8, since, |_| false);
    limited[1].check_kept(5.2, since, |_| false);
    // The runner without a limit serves the other requests.
    assert_eq!(fleet.stop(), Vec::<String>::new());
}

#[test]
fn limits_of_all_runners_are_used_and_other_callers_are_refused() {
    let limited = [LimitedRunner::start(), LimitedRunner::start()];
    let fleet = LoadedFleet::start(&[("r1", &limited[0].runner), ("r2", &limited[1].runner)]);
    let since = name_limits(&[(&limited[0], 2.8), (&limited[1], 5.2)]);
    thread::sleep(WATCHED);
    for (runner, per_s) in limited.iter().zip([2.8, 5.2]) {
        runner.check_kept(per_s, since, |_| false);
        runner.check_used(per_s, since);
    }
    assert_eq!(fleet.stop(), ["runner_limits"]);
}

#[test]
fn a_limit_that_is_raised_lowered_or_withdrawn_takes_effect_at_all_instances() {
    let limited = LimitedRunner::start();
    let fleet = LoadedFleet::start(&[("r1", &limited.runner)]);
    for per_s in [3.0, 12.0, 2.0] {
        let since = name_limits(&[(&limited, per_s)]);
        thread::sleep(WATCHED);
        limited.check_kept(per_s, since, |_| false);
        limited.check_used(per_s, since);
    }
    limited.name_limit(None);
    let since = Instant::now();
    // With the limit, this would take 50 s.
    wait_until("requests beyond the withdrawn limit", || {
        limited.arrivals_since(since).len() > 100
    });
    fleet.stop();
}
