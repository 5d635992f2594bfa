//! Requests whose callers have left before a paused process reads them.
#![allow(clippy::unwrap_used)]

mod processes;
#[path = "../../gateway/tests/standins/mod.rs"]
mod standins;

use processes::{callers_address, Instance};
use rustix::process::Signal;
use standins::{
    all_routes, received_requests, response_to, scripted_runner, send_request, table, wait_until,
    AfterResponse, StandinStore,
};
use std::{
    env, fs,
    io::Write,
    net::{SocketAddr, TcpStream},
};

/// Requests of each path whose callers leave.
const REQUESTS: usize = 20;

fn request(line: &str, id: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: {id}\r\n\
         Berylmount-Deadline-Ms: 2500\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n"
    )
}

fn call(address: SocketAddr, line: &str, id: &str) -> String {
    send_request(address, &request(line, id)).unwrap_or_default()
}

/// Guards against requests that reach runners although their callers have left (GONE).
#[test]
fn requests_of_callers_that_have_left_are_not_sent_on() {
    let folder = env::temp_dir().join(format!("berylmount-left-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let runner =
        scripted_runner(|request| (response_to(request, "200 OK", "x"), AfterResponse::Keep));
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    store.put("servers", "r1", Some(runner.entry("svc", "ready")));
    let instance = Instance::start("i1", store.address, &folder);
    wait_until("entry", || callers_address(&store, "i1").is_some());
    let address = callers_address(&store, "i1").unwrap();
    for path in ["GET /safe/warm", "POST /resume/warm"] {
        wait_until("served", || call(address, path, "w").contains("200 OK"));
    }
    instance.signal(Signal::STOP);
    for path in ["GET /safe/left", "POST /unsafe/left", "POST /resume/left"] {
        for number in 0..REQUESTS {
            let mut socket = TcpStream::connect(address).unwrap();
            let text = request(path, &format!("left{number}"));
            socket.write_all(text.as_bytes()).unwrap();
        }
    }
    instance.signal(Signal::CONT);
    // By then the process has accepted the connections before.
    wait_until("served", || {
        call(address, "GET /safe/last", "last").contains("200 OK")
    });
    let sent: Vec<String> = received_requests(&runner)
        .into_iter()
        .filter(|request| request.contains("/left"))
        .collect();
    assert_eq!(sent.len(), 0, "{sent:?}");
    // The logs are needed only after a failure.
    let _ = fs::remove_dir_all(&folder);
}
