//! Brittle runners, judged by the requests that they had to reject.

#![allow(clippy::unwrap_used)]

mod standins;

use standins::{
    all_routes, header, table, wait_until, BrittleRunner, StandinStore, TestGateway, LIMIT_CONTACT,
};
use std::{
    env,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Time for which brittle runners are watched.
const WATCHED: Duration = Duration::from_secs(5);

/// Gateways with callers that send requests to each of them without a pause.
struct PressedFleet {
    store: StandinStore,
    is_over: Arc<AtomicBool>,
    /// The responses that are not 200, without repetitions of their bodies.
    refusals: Arc<Mutex<Vec<(String, String)>>>,
    callers: Vec<JoinHandle<()>>,
}

impl PressedFleet {
    fn start(runners: &[BrittleRunner], instances: usize, callers: usize) -> Self {
        let store = StandinStore::start();
        store.put("config", "main", Some(table(1, all_routes())));
        for (number, brittle) in runners.iter().enumerate() {
            let mut entry = brittle.runner.entry("svc", "ready");
            entry["Slots"] = SLOTS.into();
            store.put("servers", &format!("r{number}"), Some(entry));
        }
        let start = |number| TestGateway::start_with(store.clone(), &format!("i{number}"));
        let gateways: Vec<TestGateway> = (0..instances).map(start).collect();
        for gateway in &gateways {
            gateway.wait_ready();
            gateway.wait_for_status("GET /safe/warm", "200", false);
        }
        let mut fleet = Self {
            store,
            is_over: Arc::default(),
            refusals: Arc::default(),
            callers: Vec::new(),
        };
        for gateway in gateways {
            fleet.add_callers(gateway, callers);
        }
        fleet
    }

    fn add_callers(&mut self, gateway: TestGateway, count: usize) {
        let gateway = Arc::new(gateway);
        for _ in 0..count {
            self.add_caller(gateway.clone());
        }
    }

    fn add_caller(&mut self, gateway: Arc<TestGateway>) {
        let (is_over, refusals) = (self.is_over.clone(), self.refusals.clone());
        let call = move || {
            while !is_over.load(Ordering::Relaxed) {
                let response = gateway.call("GET /safe/x", "n", "", "").unwrap();
                if response.starts_with("HTTP/1.1 200") {
                    continue;
                }
                let body = response.split_once("\r\n\r\n").unwrap().1.to_owned();
                let mut refusals = refusals.lock().unwrap();
                if !refusals.iter().any(|(known, _)| *known == body) {
                    refusals.push((body, response));
                }
                drop(refusals);
                thread::sleep(Duration::from_millis(20));
            }
        };
        self.callers.push(thread::spawn(call));
    }

    /// Stops the callers; returns the bodies and texts of the distinct refusals.
    fn stop(self) -> Vec<(String, String)> {
        self.is_over.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().unwrap();
        }
        let refusals = self.refusals.lock().unwrap();
        refusals.clone()
    }
}

const SLOTS: usize = 4;

/// Starts runners and a fleet with far more callers than the runners have slots, and
/// checks how often runners that bear `bears` rejections a second fall over.
fn check(runners: usize, instances: usize, callers: usize, bears: usize, tells_load: bool) {
    let start = |_| BrittleRunner::start(SLOTS, tells_load);
    let runners: Vec<BrittleRunner> = (0..runners).map(start).collect();
    let fleet = PressedFleet::start(&runners, instances, callers);
    runners.iter().for_each(|r| r.state_brittle(Some(bears)));
    thread::sleep(LIMIT_CONTACT);
    runners.iter().for_each(BrittleRunner::bind);
    thread::sleep(WATCHED);
    // Each serves a third of what its slots can in that time, but does so within any.
    let least = SLOTS * WATCHED.as_millis() as usize / 30 / 3;
    let counts = || runners.iter().map(BrittleRunner::count);
    let falls: usize = counts().map(|count| count.falls).sum();
    println!("{:?}", counts().collect::<Vec<_>>());
    assert!(falls <= 2 + runners.len() / 10, "{falls} falls");
    wait_until("the slots to be used", || {
        counts().all(|count| count.served >= least)
    });
    let refusals = fleet.stop();
    let (_, refusal) = refusals
        .iter()
        .find(|(body, _)| body == "runners_full")
        .unwrap();
    assert!(header(refusal, "retry-after").is_some(), "{refusal}");
}

#[test]
fn one_instance_does_not_make_a_brittle_runner_fall_over() {
    check(1, 1, 16, 1, true);
}

#[test]
fn instances_together_do_not_make_brittle_runners_fall_over() {
    let instances = env::var("BERYLMOUNT_LIMIT_INSTANCES");
    let instances = instances.map_or(7, |count| count.parse().unwrap());
    check(3, instances, 4, 1, true);
}

#[test]
fn instances_together_spare_brittle_runners_that_do_not_tell_their_load() {
    check(2, 7, 4, 2, false);
}

#[test]
fn processes_that_have_just_started_spare_brittle_runners() {
    let runners = [(); 2].map(|()| BrittleRunner::start(SLOTS, true));
    let mut fleet = PressedFleet::start(&runners, 3, 4);
    runners.iter().for_each(|r| r.state_brittle(Some(0)));
    thread::sleep(LIMIT_CONTACT);
    runners.iter().for_each(BrittleRunner::bind);
    let served = || -> usize { runners.iter().map(|r| r.count().served).sum() };
    for number in 0..4 {
        let gateway = TestGateway::start_with(fleet.store.clone(), &format!("late{number}"));
        gateway.wait_ready();
        fleet.add_callers(gateway, 8);
        let before = served();
        wait_until("requests to be served", || served() > before + 50);
    }
    let falls: usize = runners.iter().map(|r| r.count().falls).sum();
    assert!(falls <= 2, "{falls} falls");
    fleet.stop();
}

#[test]
fn a_runner_that_is_no_longer_brittle_lets_requests_wait_again() {
    let runners = [BrittleRunner::start(SLOTS, true)];
    let fleet = PressedFleet::start(&runners, 1, 10);
    runners[0].state_brittle(Some(0));
    thread::sleep(LIMIT_CONTACT);
    runners[0].bind();
    wait_until("requests to be served", || runners[0].count().served > 50);
    assert_eq!(runners[0].count().falls, 0);
    runners[0].state_brittle(None);
    wait_until("requests to wait at the runner", || {
        runners[0].waiting() > 0
    });
    fleet.stop();
}
