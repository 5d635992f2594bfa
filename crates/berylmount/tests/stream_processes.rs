//! Streams whose gateway process is killed while runners of two software versions serve.
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
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
};

const INSTANCES: usize = 4;
const STREAMS: usize = 12;

/// Starts a runner whose events name its version. It rejects requests while `is_busy` is set.
fn start_runner(
    store: &StandinStore,
    version: &'static str,
    is_busy: &Arc<AtomicBool>,
) -> StandinRunner {
    let rejects = is_busy.clone();
    let runner = scripted_runner(move |request| {
        if rejects.load(Ordering::Relaxed) {
            let status = "503 Busy\r\nberylmount-not-executed: 1";
            return (response_to(request, status, ""), AfterResponse::Keep);
        }
        let last = header(request, "last-event-id");
        let last: u64 = last.map_or(0, |id| id.parse().unwrap());
        let event = format!("id: {}\ndata: {version}\n\n", last + 1);
        (
            event_stream_to(request, &[&event], true),
            AfterResponse::Keep,
        )
    });
    let mut entry = runner.entry("svc", "ready");
    entry["Version"] = version.into();
    store.put("servers", version, Some(entry));
    runner
}

/// Sends a request to an instance; returns the version that its response names.
fn version_from(callers: SocketAddr, id: &str, headers: &str) -> String {
    let request = format!(
        "POST /resume/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: {id}\r\n\
         Berylmount-Deadline-Ms: 2500\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\
         {headers}\r\n"
    );
    let response = send_request(callers, &request).unwrap_or_default();
    let line = response.lines().find(|line| line.starts_with("data: "));
    line.map_or_else(String::new, |line| line["data: ".len()..].to_owned())
}

/// Guards against losing the streams that a process has begun since its last heartbeat.
#[test]
fn streams_of_a_process_that_is_killed_during_a_release_go_on_elsewhere() {
    let folder = env::temp_dir().join(format!("berylmount-streams-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    let (is_old_busy, is_new_busy) = (Arc::default(), Arc::default());
    let old = start_runner(&store, "v1", &is_old_busy);
    let new = start_runner(&store, "v2", &is_new_busy);
    let names: Vec<String> = (0..INSTANCES).map(|number| format!("i{number}")).collect();
    let start = |name: &String| Instance::start(name, store.address, &folder);
    let instances: Vec<Instance> = names.iter().map(start).collect();
    let mut callers = Vec::new();
    for name in &names {
        wait_until("entry", || callers_address(&store, name).is_some());
        callers.push(callers_address(&store, name).unwrap());
    }
    for (name, callers) in names.iter().zip(&callers) {
        let log = folder.join(format!("{name}.log"));
        wait_until("the other instances", || {
            let text = fs::read_to_string(&log).unwrap();
            text.matches("instance is live").count() >= INSTANCES - 1
        });
        for (version, is_other_busy) in [("v2", &is_old_busy), ("v1", &is_new_busy)] {
            is_other_busy.store(true, Ordering::Relaxed);
            wait_until("a stream at the version", || {
                version_from(*callers, &format!("{name}-{version}"), "") == version
            });
            is_other_busy.store(false, Ordering::Relaxed);
        }
    }
    let begun: Vec<(String, String)> = (0..STREAMS)
        .map(|number| {
            // The second half begins at the other version.
            is_old_busy.store(number >= STREAMS / 2, Ordering::Relaxed);
            is_new_busy.store(number < STREAMS / 2, Ordering::Relaxed);
            let id = format!("begun{number}");
            let version = version_from(callers[0], &id, "");
            (id, version)
        })
        .collect();
    assert!(begun.iter().all(|(_, version)| !version.is_empty()));
    // The process has handled what it began before once it answers again.
    version_from(callers[0], "last", "");
    instances[0].signal(Signal::KILL);
    is_old_busy.store(false, Ordering::Relaxed);
    for (number, (id, version)) in begun.iter().enumerate() {
        let other = callers[1 + number % (INSTANCES - 1)];
        let headers = format!("Last-Event-Id: 1\r\nResumes: {id}\r\n");
        let again = version_from(other, &format!("again{number}"), &headers);
        assert_eq!(again, *version, "{id}");
    }
    drop((instances, old, new));
    // The logs are needed only after a failure.
    let _ = fs::remove_dir_all(&folder);
}
