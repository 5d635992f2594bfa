//! The retry budget of a service while all gateway processes are killed again and again.
#![allow(clippy::unwrap_used)]

mod processes;
#[path = "../../gateway/tests/standins/mod.rs"]
mod standins;

use processes::{callers_address, Instance};
use standins::{
    all_routes, header, response_to, scripted_runner, send_request, table, wait_until,
    AfterResponse, StandinRunner, StandinStore,
};
use std::{
    env, fs,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const INSTANCES: usize = 7;
const RUNNERS: usize = 3;
/// Number of times that all processes are killed, and the pause before each.
const KILLS: usize = 6;
const PAUSE: Duration = Duration::from_millis(1500);
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(60);
/// The platform's rule, as in the settings of the processes.
const RATIO: f64 = 0.2;
const EXTRA: f64 = 50.0;
const WINDOW: Duration = Duration::from_secs(10);

/// What callers sent and runners received, with the time.
#[derive(Clone, Default)]
struct AttemptRecord {
    sent: Arc<Mutex<Vec<Instant>>>,
    /// Arrivals, with the id of the request.
    arrived: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl AttemptRecord {
    /// Starts a runner that fails every request.
    fn failing_runner(&self) -> StandinRunner {
        let arrived = self.arrived.clone();
        scripted_runner(move |request| {
            let id = header(request, "berylmount-request-id").unwrap();
            arrived.lock().unwrap().push((id, Instant::now()));
            let response = response_to(request, "500 Internal Server Error", "failed");
            (response, AfterResponse::Keep)
        })
    }

    /// Sends requests to one instance until `is_over` is set.
    fn run_caller(&self, name: &str, store: &StandinStore, is_over: &AtomicBool) {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            thread::sleep(CALLER_PAUSE);
            let Some(address) = callers_address(store, name) else {
                continue;
            };
            number += 1;
            self.sent.lock().unwrap().push(Instant::now());
            let request = format!(
                "GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\
                 Berylmount-Request-Id: {name}-{number}\r\nBerylmount-Deadline-Ms: 2500\r\n\
                 Authorization: Token k1\r\nContent-Length: 0\r\n\r\n"
            );
            // A process that is gone gives no response.
            let _ = send_request(address, &request);
        }
    }

    /// Returns the times of the arrivals beyond the first of each request.
    fn retries(&self) -> Vec<Instant> {
        let mut arrived = self.arrived.lock().unwrap().clone();
        arrived.sort();
        let pairs = arrived.windows(2);
        let repeats = pairs.filter(|pair| pair[0].0 == pair[1].0);
        repeats.map(|pair| pair[1].1).collect()
    }

    /// Checks the retries in every window against those allowed.
    fn check_budget(&self) {
        let (sent, retries) = (self.sent.lock().unwrap(), self.retries());
        let count = |times: &[Instant], end: Instant| {
            let in_window = times.iter().filter(|at| **at <= end && **at + WINDOW > end);
            in_window.count()
        };
        for end in retries.iter().copied() {
            // The rule takes the largest of these windows of requests.
            let ends = [end, end.checked_sub(WINDOW / 2).unwrap()];
            let requests = ends.into_iter().map(|end| count(&sent, end)).max();
            let allowed = RATIO * requests.unwrap() as f64 + EXTRA;
            let retried = count(&retries, end);
            assert!(
                retried as f64 <= allowed,
                "{retried} retries in a window, {allowed} allowed"
            );
        }
    }
}

#[test]
fn restarts_of_all_processes_do_not_renew_the_retry_budget() {
    let folder = env::temp_dir().join(format!("berylmount-retries-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let (store, record) = (StandinStore::start(), AttemptRecord::default());
    store.put("config", "main", Some(table(1, all_routes())));
    for number in 0..RUNNERS {
        let entry = record.failing_runner().entry("svc", "ready");
        store.put("servers", &format!("r{number}"), Some(entry));
    }
    let names: Vec<String> = (0..INSTANCES).map(|number| format!("i{number}")).collect();
    let start = |name: &String| Instance::start(name, store.address, &folder);
    let mut instances: Vec<Instance> = names.iter().map(start).collect();
    for name in &names {
        wait_until("entry", || callers_address(&store, name).is_some());
    }
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for name in &names {
            let (record, store, is_over) = (&record, &store, &is_over);
            scope.spawn(move || record.run_caller(name, store, is_over));
        }
        for _ in 0..KILLS {
            thread::sleep(PAUSE);
            instances.iter_mut().for_each(Instance::restart);
        }
        thread::sleep(PAUSE);
        is_over.store(true, Ordering::Relaxed);
    });
    record.check_budget();
    // The logs are needed only after a failure.
    let _ = fs::remove_dir_all(&folder);
}
