//! Streams of a gateway process that is killed while runners of two software versions serve.
#![allow(clippy::unwrap_used)]

mod processes;
#[path = "../../gateway/tests/standins/mod.rs"]
mod standins;

use processes::{callers_address, Instance};
use rustix::process::Signal;
use standins::{
    all_routes, event_stream_to, header, response_to, scripted_runner, send_request, table,
    wait_until, AfterResponse, StandinRunner, StandinStore,
};
use std::{
    env, fs,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

const STREAMS: usize = 20;

/// Registers a runner whose events name its software version, and which rejects requests while
/// the flag is set.
fn register_runner(
    store: &StandinStore,
    id: &str,
    version: &'static str,
) -> (StandinRunner, Arc<AtomicBool>) {
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
    let mut entry = runner.entry("svc", "ready");
    entry["Version"] = version.into();
    store.put("servers", id, Some(entry));
    (runner, is_busy)
}

/// Sends a request to an instance; returns the response, which is empty if there was none.
fn call(store: &StandinStore, name: &str, id: &str, headers: &str) -> String {
    let request = format!(
        "POST /resume/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: {id}\r\n\
         Berylmount-Deadline-Ms: 2500\r\nAuthorization: Token k1\r\n{headers}\
         Content-Length: 0\r\n\r\n"
    );
    let address = callers_address(store, name);
    let response = address.and_then(|address| send_request(address, &request));
    response.unwrap_or_default()
}

/// Guards against refusing the last streams of an instance that is lost in the middle of a
/// release, when it has used both versions.
#[test]
fn last_streams_of_an_instance_that_is_killed_in_a_release_go_on_elsewhere() {
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    let (_old, is_old_busy) = register_runner(&store, "r1", "v1");
    let folder = env::temp_dir().join(format!("berylmount-killed-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let [first, second] = ["i1", "i2"].map(|name| {
        let instance = Instance::start(name, store.address, &folder);
        wait_until("a stream", || {
            call(&store, name, "warm", "").contains("data: v1")
        });
        instance
    });
    let (_new, is_new_busy) = register_runner(&store, "r2", "v2");
    is_old_busy.store(true, Ordering::Relaxed);
    for name in ["i1", "i2"] {
        wait_until("a stream at the new version", || {
            call(&store, name, "warm", "").contains("data: v2")
        });
    }
    // Each instance knows the other by now.
    thread::sleep(Duration::from_secs(3));
    let begun: Vec<String> = (0..STREAMS)
        .map(|number| format!("begun{number}"))
        .collect();
    for id in &begun {
        assert!(call(&store, "i1", id, "").contains("data: v2"));
    }
    first.signal(Signal::KILL);
    is_old_busy.store(false, Ordering::Relaxed);
    let mut served = 0;
    for id in &begun {
        let headers = format!("Last-Event-Id: 1\r\nResumes: {id}\r\n");
        let response = call(&store, "i2", &format!("{id}-again"), &headers);
        if response.starts_with("HTTP/1.1 200") {
            assert!(response.contains("data: v2"), "{response}");
            served += 1;
        }
    }
    let _ = fs::remove_dir_all(&folder);
    assert!(served * 10 >= STREAMS * 9, "{served} of {STREAMS} go on");
    drop((second, is_new_busy));
}
