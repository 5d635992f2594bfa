//! Prompts with a part that crashes each runner, among sound ones.

#![allow(clippy::unwrap_used)]

mod standins;

use berylmount_gateway::Gateway;
use berylmount_telemetry::MetricSet;
use standins::{
    all_routes, event_stream_to, header, response_to, scripted_runner, settings, table, wait_until,
    AfterResponse, StandinRunner, StandinStore, TestGateway,
};
use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const INSTANCES: usize = 3;
const RUNNERS: usize = 8;
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(30);
/// One of this many requests has a part that crashes its runner.
const CRASHING_EVERY: usize = 5;
/// The platform's rule: crashes and time after which it holds, and requests that it allows.
const RULE_CRASHES: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);
const MAX_LATER: usize = 3;
/// Time for which requests come after the rule holds.
const WATCHED: Duration = Duration::from_secs(3);

/// What runners received and callers got.
#[derive(Clone, Default)]
struct FleetRecord {
    /// Times of requests with the part `dead` at runners.
    crashes: Arc<Mutex<Vec<Instant>>>,
    sound_sent: Arc<AtomicUsize>,
    sound_served: Arc<AtomicUsize>,
    /// Statuses of requests with the part `dead`, with the time.
    refusals: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl FleetRecord {
    /// A runner whose connection breaks when it gets a prompt with the part `dead`.
    fn crashing_runner(&self) -> StandinRunner {
        let crashes = self.crashes.clone();
        scripted_runner(move |request| {
            let prompt = header(request, "berylmount-prompt-prefix").unwrap_or_default();
            if prompt.contains("dead") {
                crashes.lock().unwrap().push(Instant::now());
                return (Vec::new(), AfterResponse::Close);
            }
            (response_to(request, "200 OK", "fine"), AfterResponse::Keep)
        })
    }

    /// Sends requests until `is_over`; all share a first part and another one.
    fn run_caller(&self, gateway: &TestGateway, is_over: &AtomicBool) {
        let name = &gateway.settings.name;
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            thread::sleep(CALLER_PAUSE);
            number += 1;
            let is_crashing = number % CRASHING_EVERY == 0;
            let dead = if is_crashing { "dead:30," } else { "" };
            let headers = format!(
                "Berylmount-Model: m\r\nBerylmount-Token-Usage: 100,10\r\n\
                 Berylmount-Prompt-Prefix: aaaa:40,{dead}bbbb:20,{number:x}:10\r\n"
            );
            let id = format!("{name}-{number}");
            let response = gateway.call("POST /unsafe/x", &id, &headers, "b");
            let status = response.unwrap()[9..12].to_owned();
            if is_crashing {
                let mut refusals = self.refusals.lock().unwrap();
                refusals.push((Instant::now(), status));
                continue;
            }
            self.sound_sent.fetch_add(1, Ordering::Relaxed);
            let is_served = status == "200";
            self.sound_served
                .fetch_add(usize::from(is_served), Ordering::Relaxed);
        }
    }

    /// Waits for the crash from which the rule counts; returns when it holds.
    fn wait_for_rule(&self) -> Instant {
        loop {
            thread::sleep(Duration::from_millis(20));
            let crashes = self.crashes.lock().unwrap();
            if let Some(last) = crashes.get(RULE_CRASHES - 1) {
                return *last + CONTACT;
            }
        }
    }
}

/// Starts instances and runners with a common store.
fn start_fleet(record: &FleetRecord) -> Vec<TestGateway> {
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    for number in 0..RUNNERS {
        let entry = record.crashing_runner().entry("svc", "ready");
        store.put("servers", &format!("r{number}"), Some(entry));
    }
    let start = |number| TestGateway::start_with(store.clone(), &format!("i{number}"));
    let gateways: Vec<TestGateway> = (0..INSTANCES).map(start).collect();
    for gateway in &gateways {
        gateway.wait_ready();
        gateway.wait_for_status("GET /safe/warm", "200", false);
    }
    gateways
}

#[test]
fn requests_with_a_part_that_crashes_runners_stop_reaching_them() {
    let record = FleetRecord::default();
    let gateways = start_fleet(&record);
    let is_over = AtomicBool::new(false);
    let holds_at = thread::scope(|scope| {
        for gateway in &gateways {
            let (record, is_over) = (&record, &is_over);
            scope.spawn(move || record.run_caller(gateway, is_over));
        }
        let holds_at = record.wait_for_rule();
        let end = holds_at + WATCHED;
        thread::sleep(end.saturating_duration_since(Instant::now()));
        is_over.store(true, Ordering::Relaxed);
        holds_at
    });
    let crashes = record.crashes.lock().unwrap();
    let later = crashes.iter().filter(|at| **at > holds_at).count();
    assert!(
        later <= MAX_LATER,
        "{later} requests after {RULE_CRASHES} crashes"
    );
    // Sound requests with the same caller and parts are served throughout.
    let sent = record.sound_sent.load(Ordering::Relaxed);
    let served = record.sound_served.load(Ordering::Relaxed);
    assert!(
        served * 10 >= sent * 9,
        "{served} of {sent} sound requests served"
    );
    let refusals = record.refusals.lock().unwrap();
    let late = refusals.iter().filter(|(at, _)| *at > holds_at);
    let mut statuses: Vec<&str> = late.map(|(_, status)| status.as_str()).collect();
    statuses.dedup();
    assert_eq!(statuses, ["503"]);
}

/// Starts an instance that reaches `peer` and no store.
fn start_without_store(peer: &TestGateway) -> TestGateway {
    // No process listens at this address.
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = closed.local_addr().unwrap();
    let mut settings = settings("late", closed);
    settings.seed_peers = vec![peer.settings.peer_address().ip()];
    let mut gateway = Gateway::bind(settings, Arc::new(MetricSet::new().unwrap())).unwrap();
    gateway.set_first_contact(peer.settings.peer_address());
    let settings = gateway.settings().clone();
    thread::spawn(move || gateway.run().unwrap());
    let store = peer.store.clone();
    TestGateway { store, settings }
}

#[test]
fn a_process_without_the_store_learns_of_a_blamed_part_before_it_serves_prompts() {
    let record = FleetRecord::default();
    let gateways = start_fleet(&record);
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for gateway in &gateways {
            let (record, is_over) = (&record, &is_over);
            scope.spawn(move || record.run_caller(gateway, is_over));
        }
        wait_until("refusals", || {
            let refusals = record.refusals.lock().unwrap();
            let last = refusals.iter().rev().take(6);
            refusals.len() > 20 && last.clone().all(|(_, status)| status == "503")
        });
        is_over.store(true, Ordering::Relaxed);
    });
    let late = start_without_store(&gateways[0]);
    let known = record.crashes.lock().unwrap().len();
    wait_until("a served prompt", || {
        let prompt = |parts: &str| {
            let headers = format!(
                "Berylmount-Model: m\r\nBerylmount-Token-Usage: 100,10\r\n\
                 Berylmount-Prompt-Prefix: {parts}\r\n"
            );
            late.call("POST /unsafe/x", "late", &headers, "b")
        };
        prompt("aaaa:40,dead:30,bbbb:20,1:10");
        let sound = prompt("aaaa:40,bbbb:20,2:10");
        sound.is_some_and(|response| response.starts_with("HTTP/1.1 200"))
    });
    assert_eq!(record.crashes.lock().unwrap().len(), known);
}

/// Sends a prompt of a stream; returns the connection once the first event has arrived.
fn begin_stream(gateway: &TestGateway, id: &str) -> TcpStream {
    let mut socket = TcpStream::connect(gateway.settings.listen.callers).unwrap();
    let request = format!(
        "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: {id}\r\n\
         Berylmount-Deadline-Ms: 20000\r\nAuthorization: Token k1\r\nBerylmount-Model: m\r\n\
         Berylmount-Token-Usage: 100,10\r\nBerylmount-Prompt-Prefix: aaaa:40,bbbb:20,{id}:1\r\n\
         Content-Length: 0\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).unwrap();
    let mut response = [0; 4096];
    let length = socket.read(&mut response).unwrap();
    let response = String::from_utf8_lossy(&response[..length]);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    socket
}

/// Guards against blaming the parts of all prompts while the streams that they began run.
#[test]
fn streams_that_have_begun_clear_the_parts_of_their_prompts() {
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    for number in 0..RUNNERS {
        // Streams begin and do not end; some connections break before the first event.
        let runner = scripted_runner(|request| {
            let id = header(request, "berylmount-request-id").unwrap();
            if id.starts_with("broken") {
                return (Vec::new(), AfterResponse::Close);
            }
            let response = event_stream_to(request, &["id: 1\ndata: a\n\n"], false);
            (response, AfterResponse::Hang)
        });
        let entry = runner.entry("svc", "ready");
        store.put("servers", &format!("r{number}"), Some(entry));
    }
    let gateway = TestGateway::start_with(store, "i1");
    gateway.wait_ready();
    gateway.wait_for_status("GET /safe/warm", "200", false);
    let headers = "Berylmount-Model: m\r\nBerylmount-Token-Usage: 100,10\r\n\
                   Berylmount-Prompt-Prefix: aaaa:40,bbbb:20,cccc:1\r\n";
    let mut streams = Vec::new();
    for number in 0..8 {
        for stream in 0..3 {
            streams.push(begin_stream(&gateway, &format!("s{number}{stream}")));
        }
        let id = format!("broken{number}");
        let response = gateway.call("POST /stream/x", &id, headers, "").unwrap();
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        thread::sleep(Duration::from_millis(300));
    }
}
