//! Origins of streams of which no instance has told: limits that change, large fleets, many
//! callers, and instances that know little.

#![allow(clippy::unwrap_used)]

mod standins;

use serde_json::{json, Value};
use standins::{
    all_routes, event_stream_to, header, response_to, scripted_runner, settings, table, wait_until,
    AfterResponse, StandinRunner, StandinStore, TestGateway,
};
use std::{
    net::UdpSocket,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const INSTANCES: &str = "berylmount-instances";
const STREAMS: &str = "berylmount-streams";
const USED: &str = "berylmount-used-software";

/// A runner of a software version.
struct VersionedRunner {
    runner: StandinRunner,
    version: &'static str,
    /// Whether it rejects requests.
    is_busy: Arc<AtomicBool>,
}

impl VersionedRunner {
    /// Starts a runner whose events name its version.
    fn register(store: &StandinStore, id: &str, version: &'static str) -> Self {
        let is_busy: Arc<AtomicBool> = Arc::default();
        let rejects = is_busy.clone();
        let runner = scripted_runner(move |request| {
            if rejects.load(Ordering::Relaxed) {
                let status = "503 Busy\r\nberylmount-not-executed: 1";
                return (response_to(request, status, ""), AfterResponse::Keep);
            }
            let last = header(request, "last-event-id");
            let last: u64 = last.map_or(0, |id| id.parse().unwrap());
            let event = format!("id: {}\ndata: {version}\n\n", last + 1);
            let response = event_stream_to(request, &[&event], true);
            (response, AfterResponse::Keep)
        });
        let started = Self {
            runner,
            version,
            is_busy,
        };
        started.list(store, id);
        started
    }

    /// Writes the entry of the runner.
    fn list(&self, store: &StandinStore, id: &str) {
        let mut entry = self.runner.entry("svc", "ready");
        entry["Version"] = self.version.into();
        store.put("servers", id, Some(entry));
    }

    fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::Relaxed);
    }
}

/// Returns a table whose routes have a time limit.
fn limited_table(version: u64, timeout_ms: u64) -> Value {
    let mut limited = table(version, all_routes());
    // Instances of a large fleet share them; several streams are taken up at once.
    limited["Services"][0]["MaxConnections"] = 5000.into();
    let routes = limited["Routes"].as_array_mut().unwrap();
    for route in routes {
        route["TimeoutMs"] = timeout_ms.into();
    }
    limited
}

fn start_store(timeout_ms: u64) -> StandinStore {
    let store = StandinStore::start();
    store.put("config", "main", Some(limited_table(1, timeout_ms)));
    store
}

fn start_gateway(store: &StandinStore, name: &str) -> TestGateway {
    let gateway = TestGateway::start_with(store.clone(), name);
    gateway.wait_ready();
    gateway.wait_for_status("POST /resume/warm", "200", false);
    gateway
}

fn version_in(response: &str) -> String {
    let line = response.lines().find(|line| line.starts_with("data: "));
    line.map_or_else(String::new, |line| line["data: ".len()..].to_owned())
}

/// Begins a stream; returns its version, which is empty if the stream was refused.
fn begin_stream(gateway: &TestGateway, id: &str) -> String {
    let response = gateway.call("POST /resume/x", id, "", "b").unwrap();
    version_in(&response)
}

/// Takes up the stream that attempt `begun` brought the first event of.
fn take_up(gateway: &TestGateway, id: &str, begun: &str) -> String {
    let headers = format!("Last-Event-Id: 1\r\nResumes: {begun}\r\n");
    gateway.call("POST /resume/x", id, &headers, "b").unwrap()
}

/// Returns a copy of the store in which an instance is listed and does not answer, beside
/// `others` more.
fn store_without(store: &StandinStore, name: &str, others: usize) -> StandinStore {
    wait_until("the entry of the instance", || {
        store.value(INSTANCES, name).is_some()
    });
    let copy = store.copy();
    // A socket that nobody reads is as silent as a machine without power.
    let silent = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut entry = copy.value(INSTANCES, name).unwrap();
    entry["peers"] = silent.local_addr().unwrap().to_string().into();
    for number in 0..others {
        copy.put(INSTANCES, &format!("lost{number}"), Some(entry.clone()));
    }
    copy.put(INSTANCES, name, Some(entry));
    copy
}

/// Adds a runner of a second version, and waits until the instance uses both.
fn release_second(
    store: &StandinStore,
    gateway: &TestGateway,
    old: &VersionedRunner,
) -> VersionedRunner {
    let new = VersionedRunner::register(store, "r2", "v2");
    old.set_busy(true);
    wait_until("a stream at the new version", || {
        begin_stream(gateway, "other") == "v2"
    });
    old.set_busy(false);
    new
}

/// Guards against forgetting which versions can have begun streams when a table shortens the
/// time limit: streams that began before run on.
#[test]
fn streams_go_on_at_their_version_after_the_time_limit_is_shortened() {
    let store = start_store(15_000);
    let old = VersionedRunner::register(&store, "r1", "v1");
    let first = start_gateway(&store, "i1");
    assert_eq!(begin_stream(&first, "begun"), "v1");
    let new = VersionedRunner::register(&store, "r2", "v2");
    store.put("servers", "r1", None);
    store.put("config", "main", Some(limited_table(2, 500)));
    // Within the 15 s of the stream; the version counts as gone after 3 s.
    for number in 0..20 {
        thread::sleep(Duration::from_millis(500));
        begin_stream(&first, &format!("later{number}"));
    }
    let late = start_gateway(&store, "i2");
    for gateway in [&first, &late] {
        let response = take_up(gateway, "again", "begun");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }
    drop((old, new));
}

/// Guards against an instance that forgets streams early when a table shortens the time limit,
/// and takes them for streams that it has not begun.
#[test]
fn streams_are_known_after_the_time_limit_is_shortened_while_two_versions_serve() {
    let store = start_store(15_000);
    let old = VersionedRunner::register(&store, "r1", "v1");
    let gateway = start_gateway(&store, "i1");
    let new = release_second(&store, &gateway, &old);
    old.set_busy(true);
    assert_eq!(begin_stream(&gateway, "begun"), "v2");
    old.set_busy(false);
    store.put("config", "main", Some(limited_table(2, 500)));
    // Within the 15 s of the stream.
    for number in 0..24 {
        thread::sleep(Duration::from_millis(500));
        begin_stream(&gateway, &format!("later{number}"));
    }
    check_second(&take_up(&gateway, "again", "begun"));
    drop(new);
}

/// Guards against instances that begin no streams for want of a write to the store.
#[test]
fn an_instance_that_starts_without_the_store_begins_streams_after_a_release() {
    let store = start_store(3000);
    let old = VersionedRunner::register(&store, "r1", "v1");
    let first = start_gateway(&store, "i1");
    let new = release_second(&store, &first, &old);
    store.put("servers", "r1", None);
    wait_until("streams at the new version only", || {
        (0..5).all(|_| begin_stream(&first, "other") == "v2")
    });
    let cut_store = store.mirror();
    cut_store.refuse_kinds(&[
        "berylmount-software",
        "berylmount-used-software",
        "berylmount-streams",
    ]);
    let contact = first.settings.peer_address();
    let settings = settings("i2", cut_store.address);
    let second = TestGateway::start_near(cut_store, settings, Some(contact));
    second.wait_ready();
    second.wait_for_status("GET /safe/warm", "200", false);
    wait_until("a stream at the admitted version", || {
        begin_stream(&second, "late") == "v2"
    });
    drop((old, new));
}

/// Takes up streams one after another, each by a caller of its own, `gap` apart; returns how
/// many go on, all at the first version.
fn take_up_apart(gateway: &TestGateway, begun: &[String], gap: Duration) -> usize {
    let served = thread::scope(|scope| {
        let callers: Vec<_> = begun
            .iter()
            .map(|id| {
                thread::sleep(gap);
                scope.spawn(move || take_up(gateway, &format!("{id}-again"), id))
            })
            .collect();
        let responses = callers.into_iter().map(|caller| caller.join().unwrap());
        responses
            .filter(|response| response.starts_with("HTTP/1.1 200"))
            .map(|response| {
                assert_eq!(version_in(&response), "v1", "{response}");
            })
            .count()
    });
    served
}

/// Begins streams at an instance that is lost before a second version is released; returns the
/// store, the instance that is left, the runners, and the streams.
fn lose_instance(
    count: usize,
    others: usize,
) -> (StandinStore, TestGateway, [VersionedRunner; 2], Vec<String>) {
    let store = start_store(3000);
    let old = VersionedRunner::register(&store, "r1", "v1");
    let first = start_gateway(&store, "i1");
    let begun: Vec<String> = (0..count).map(|number| format!("begun{number}")).collect();
    for id in &begun {
        assert_eq!(begin_stream(&first, id), "v1");
    }
    let store = store_without(&store, "i1", others);
    let second = start_gateway(&store, "i2");
    let new = release_second(&store, &second, &old);
    (store, second, [old, new], begun)
}

/// Guards against take-ups that keep each other from reading what instances have used.
#[test]
fn untold_streams_go_on_while_others_are_taken_up() {
    let (_store, second, _runners, begun) = lose_instance(20, 75);
    let served = take_up_apart(&second, &begun, Duration::from_millis(100));
    assert!(
        served * 10 >= begun.len() * 9,
        "{served} of {} go on",
        begun.len()
    );
}

/// Guards against listings of a large fleet that are too far apart for those who take up.
#[test]
fn untold_streams_go_on_in_a_large_fleet_with_many_stored_streams() {
    const OTHERS: usize = 75;
    const STORED: usize = 20_000;
    let (store, second, _runners, begun) = lose_instance(8, OTHERS);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let stored: Vec<String> = (0..STORED)
        .map(|id| format!("{id:x}.1.{:x}", now.as_millis()))
        .collect();
    for (number, streams) in stored.chunks(1000).enumerate() {
        let record = json!({ "streams": streams });
        store.put(STREAMS, &format!("lost-{number}"), Some(record));
    }
    // A read while several versions serve, which lists the streams.
    thread::sleep(Duration::from_secs(6));
    let served = take_up_apart(&second, &begun, Duration::from_millis(400));
    assert!(
        served * 2 >= begun.len(),
        "{served} of {} go on",
        begun.len()
    );
}

/// Guards against deleting what an instance that has just started has stored, because the
/// history was read before it admitted the version.
#[test]
fn records_of_versions_that_are_admitted_during_a_read_are_kept() {
    let store = start_store(3000);
    let old = VersionedRunner::register(&store, "r1", "v1");
    let gateway = start_gateway(&store, "i1");
    let new = release_second(&store, &gateway, &old);
    let used = json!([{ "service": "svc", "version": "v3" }]);
    let record = json!({ "process": 1, "era": 0, "versions": used, "earlier": [] });
    store.put(USED, "fresh", Some(record));
    let listings = store.listings(USED);
    take_up(&gateway, "again0", "unknown");
    assert!(store.listings(USED) > listings);
    assert!(store.value(USED, "fresh").is_some());
    let third = VersionedRunner::register(&store, "r3", "v3");
    for runner in [&old, &new] {
        runner.set_busy(true);
    }
    wait_until("a stream at the third version", || {
        begin_stream(&gateway, "other") == "v3"
    });
    for number in 1..4 {
        let response = take_up(&gateway, &format!("again{number}"), "unknown");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }
    assert!(store.value(USED, "fresh").is_some());
    drop(third);
}

/// Begins the stream `begun` at the second version, and so many others that the instance drops
/// it for want of room; the store refuses it these kinds. Returns the store, the instance, and
/// the runners.
fn drop_stream(refused: &[&str]) -> (StandinStore, TestGateway, [VersionedRunner; 2]) {
    const CALLERS: usize = 8;
    const MAX_STREAMS: usize = 16_384;
    let store = start_store(30_000);
    let old = VersionedRunner::register(&store, "r1", "v1");
    let first_store = store.mirror();
    first_store.refuse_kinds(refused);
    let gateway = start_gateway(&first_store, "i1");
    let new = release_second(&store, &gateway, &old);
    old.set_busy(true);
    assert_eq!(begin_stream(&gateway, "begun"), "v2");
    old.set_busy(false);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let gateway = &gateway;
            scope.spawn(move || {
                for number in 0..=MAX_STREAMS / CALLERS {
                    begin_stream(gateway, &format!("c{caller}-{number}"));
                }
            });
        }
    });
    // The streams are stored.
    thread::sleep(Duration::from_secs(2));
    (store, gateway, [old, new])
}

/// Checks that a stream that began at the second version does not go on at the first.
fn check_second(response: &str) {
    if response.starts_with("HTTP/1.1 200") {
        assert_eq!(version_in(response), "v2", "{response}");
    }
}

/// Guards against an instance that takes the streams which it has dropped for want of room for
/// streams that it has not begun.
#[test]
fn streams_that_an_instance_has_dropped_are_of_unknown_origin() {
    let (_store, gateway, _runners) = drop_stream(&[]);
    check_second(&take_up(&gateway, "again", "begun"));
}

/// Guards against a reply that names some streams and conceals that others were dropped.
#[test]
fn streams_that_another_instance_has_dropped_are_of_unknown_origin() {
    const TRIES: usize = 30;
    let (store, first, _runners) = drop_stream(&[]);
    let late = start_gateway(&store, "i2");
    check_second(&take_up(&late, "alone", "begun"));
    for number in 0..TRIES {
        // The late instance has not heard of this one yet.
        let known = format!("known{number}");
        begin_stream(&first, &known);
        thread::scope(|scope| {
            scope.spawn(|| take_up(&late, &format!("{known}-again"), &known));
            check_second(&take_up(&late, &format!("again{number}"), "begun"));
        });
    }
}

/// Guards against a reply that names a stream which was not stored, and conceals that others
/// were dropped.
#[test]
fn unstored_streams_that_another_instance_has_dropped_are_of_unknown_origin() {
    const TRIES: usize = 10;
    let (store, first, _runners) = drop_stream(&[STREAMS]);
    // The late instance hears of none of these.
    let known: Vec<String> = (0..TRIES).map(|number| format!("known{number}")).collect();
    for id in &known {
        begin_stream(&first, id);
    }
    thread::sleep(Duration::from_secs(2));
    let late = start_gateway(&store, "i2");
    for (number, known) in known.iter().enumerate() {
        thread::scope(|scope| {
            scope.spawn(|| take_up(&late, &format!("{known}-again"), known));
            check_second(&take_up(&late, &format!("again{number}"), "begun"));
        });
    }
}
