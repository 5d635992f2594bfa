//! Tests of a gateway process under signals, its log lines and a stalled log reader.
#![allow(clippy::unwrap_used)]

mod processes;
#[path = "../../gateway/tests/standins/mod.rs"]
mod standins;

use processes::{callers_address, command, settings_path, settings_text, spawn, spawn_with};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use standins::{
    all_routes, event_stream_to, header, read_response, response_to, send_request, table,
    wait_until, AfterResponse, StandinRunner, StandinStore,
};
use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// A gateway process with its store and one runner.
struct GatewayInstance {
    child: Child,
    callers: SocketAddr,
    log: PathBuf,
    store: StandinStore,
}

impl Drop for GatewayInstance {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.log);
        let _ = fs::remove_file(settings_path(&self.log));
    }
}

impl GatewayInstance {
    fn start(
        test: &str,
        runner: &StandinRunner,
        start: impl Fn(SocketAddr, &PathBuf) -> Child,
    ) -> Self {
        let store = StandinStore::start();
        store.put("config", "main", Some(table(1, all_routes())));
        store.put("servers", "r1", Some(runner.entry("svc", "ready")));
        let name = format!("berylmount-{test}-{}.log", std::process::id());
        let log = std::env::temp_dir().join(name);
        let _ = fs::remove_file(&log);
        let child = start(store.address, &log);
        wait_until("entry in the store", || {
            callers_address(&store, "i1").is_some()
        });
        let callers = callers_address(&store, "i1").unwrap();
        let gateway = Self {
            child,
            callers,
            log,
            store,
        };
        wait_until("first answer", || {
            gateway
                .call("GET /safe/warm", "warm")
                .is_some_and(|answer| answer.contains(" 200 "))
        });
        gateway
    }

    fn call(&self, line: &str, id: &str) -> Option<String> {
        send_request(self.callers, &request(line, id, "k1"))
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Returns the log lines that contain `part`.
    fn lines(&self, part: &str) -> Vec<Value> {
        let text = fs::read_to_string(&self.log).unwrap();
        let found = text.lines().filter(|line| line.contains(part));
        found
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    fn wait_line(&self, part: &str) -> Value {
        wait_until(part, || !self.lines(part).is_empty());
        self.lines(part).remove(0)
    }
}

fn request(line: &str, id: &str, key: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: {id}\r\n\
         Berylmount-Deadline-Ms: 2500\r\nAuthorization: Token {key}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Starts a runner whose answer depends on the path: complete, streamed, late,
/// broken off or missing.
fn runner(may_end: &Arc<AtomicBool>) -> StandinRunner {
    let may_end = may_end.clone();
    StandinRunner::start(move |request, _| {
        let has = |part: &str| request.contains(part);
        if has("/held") {
            wait_until("permission to end", || may_end.load(Ordering::Relaxed));
        }
        match () {
            () if has("/cut") => (
                event_stream_to(request, &["id: 1\ndata: a\n\n"], false),
                AfterResponse::Close,
            ),
            () if has("/broken") => (Vec::new(), AfterResponse::Close),
            () if has("/silent") => (Vec::new(), AfterResponse::Hang),
            () if has("/failed") => (response_to(request, "500 Failed", "x"), AfterResponse::Keep),
            () if has("/stream/") => (
                event_stream_to(request, &["id: 1\ndata: a\n\n"], true),
                AfterResponse::Keep,
            ),
            () => (response_to(request, "200 OK", "fine"), AfterResponse::Keep),
        }
    })
}

#[test]
fn a_planned_stop_aborts_no_request() {
    let may_end = Arc::new(AtomicBool::new(false));
    let runner = runner(&may_end);
    let mut gateway = GatewayInstance::start("stop", &runner, |store, log| spawn("i1", store, log));
    let ready = gateway.wait_line("\"serving\"")["ready"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap();
    let is_ready = move || {
        send_request(ready, "GET /berylmount/ready HTTP/1.1\r\n\r\n")
            .is_some_and(|a| a.contains(" 200 "))
    };
    assert!(is_ready());
    let held: Vec<_> = ["POST /unsafe/held", "GET /stream/held"]
        .into_iter()
        .map(|line| {
            let (callers, text) = (gateway.callers, request(line, "held", "k1"));
            thread::spawn(move || send_request(callers, &text))
        })
        .collect();
    wait_until("requests at the runner", || {
        let requests = runner.requests.lock().unwrap();
        requests
            .iter()
            .filter(|request| request.contains("/held"))
            .count()
            == 2
    });
    let mut kept = TcpStream::connect(gateway.callers).unwrap();
    gateway.signal(Signal::TERM);
    gateway.wait_line("\"leaving\"");
    assert!(!is_ready());
    // Callers with an outdated list of addresses are still served.
    kept.write_all(request("GET /safe/x", "late", "k1").as_bytes())
        .unwrap();
    let answer = read_response(&mut kept).unwrap().to_ascii_lowercase();
    assert!(
        answer.contains(" 200 ") && answer.contains("connection: close"),
        "{answer}"
    );
    may_end.store(true, Ordering::Relaxed);
    for held in held {
        let answer = held.join().unwrap().unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(
            answer.ends_with("fine") || answer.ends_with("0\r\n\r\n"),
            "{answer}"
        );
    }
    wait_until("the end of the process", || {
        gateway.child.try_wait().unwrap().is_some()
    });
    assert!(gateway.child.wait().unwrap().success());
    assert_eq!(gateway.wait_line("\"stopped\"")["in_flight"], 0);
}

/// Guards against requests that are sent to a runner late in a planned stop, whose responses
/// the process would not live to pass on.
#[test]
fn a_planned_stop_starts_no_request_that_it_cannot_finish() {
    let reached = Arc::new(AtomicBool::new(false));
    let seen = reached.clone();
    let slow = StandinRunner::start(move |request, _| {
        if request.contains("/late") {
            seen.store(true, Ordering::Relaxed);
            thread::sleep(Duration::from_secs(1));
        }
        (response_to(request, "200 OK", "fine"), AfterResponse::Keep)
    });
    let gateway = GatewayInstance::start("unfit", &slow, |store, log| spawn("i1", store, log));
    wait_until("a served request", || {
        let response = gateway.call("GET /safe/x", "warm");
        response.is_some_and(|response| response.starts_with("HTTP/1.1 200"))
    });
    gateway.signal(Signal::TERM);
    gateway.wait_line("\"leaving\"");
    // The request may take 2.5 s, and the process ends at 2.6 s of its grace period of 3 s.
    thread::sleep(Duration::from_millis(1850));
    let response = gateway.call("POST /unsafe/late", "late").unwrap();
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.ends_with("leaving"), "{response}");
    assert!(!reached.load(Ordering::Relaxed));
}

/// Requests that outlast the grace period get an answer with what is known of
/// them instead of a closed connection.
#[test]
fn a_planned_stop_answers_requests_that_it_cannot_finish() {
    let runner = runner(&Arc::default());
    let mut gateway = GatewayInstance::start("late", &runner, |store, log| spawn("i1", store, log));
    gateway.signal(Signal::TERM);
    gateway.wait_line("\"leaving\"");
    let ask_late = |line: &str, id: &str| {
        // The deadline is longer than the process's grace period.
        let text = request(line, id, "k1").replace("Ms: 2500", "Ms: 9000");
        let callers = gateway.callers;
        thread::spawn(move || send_request(callers, &text))
    };
    let sent = [
        ask_late("POST /unsafe/silent", "sent-1"),
        ask_late("GET /stream/silent", "sent-2"),
    ];
    // Near the end of the grace period, no new request is started.
    let mut last = None;
    wait_until("a refusal of the leaving process", || {
        let answer = gateway.call("GET /safe/x", "new");
        last = answer.clone().or(last.take());
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 503"))
    });
    assert!(last.unwrap().ends_with("leaving"));
    for sent in sent {
        let answer = sent.join().unwrap().unwrap();
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    }
    wait_until("the end of the process", || {
        gateway.child.try_wait().unwrap().is_some()
    });
    assert!(gateway.child.wait().unwrap().success());
}

/// Guards against a second response in the middle of the body of the first one.
#[test]
fn a_response_that_is_cut_at_the_end_of_a_planned_stop_is_followed_by_nothing() {
    const BODY_BYTES: usize = 30 << 20;
    let runner = StandinRunner::start(|request, _| {
        let body = match request.contains("/large") {
            true => "x".repeat(BODY_BYTES),
            false => "fine".to_owned(),
        };
        (response_to(request, "200 OK", &body), AfterResponse::Keep)
    });
    let gateway = GatewayInstance::start("large", &runner, |store, log| {
        let output = fs::File::create(log).unwrap();
        let mut command = command("i1", store, log);
        let path = settings_path(log);
        let text = fs::read_to_string(&path).unwrap();
        fs::write(&path, text.replace("MemoryMb = 128", "MemoryMb = 4096")).unwrap();
        command.stdout(Stdio::from(output)).spawn().unwrap()
    });
    let mut socket = TcpStream::connect(gateway.callers).unwrap();
    let text = request("GET /safe/large", "large", "k1").replace("Ms: 2500", "Ms: 9000");
    socket.write_all(text.as_bytes()).unwrap();
    let mut received = vec![0u8; 1024];
    socket.read_exact(&mut received).unwrap();
    gateway.signal(Signal::TERM);
    // The caller reads too slowly for the grace period.
    let mut piece = vec![0u8; 64 << 10];
    while let Ok(count) = socket.read(&mut piece) {
        if count == 0 {
            break;
        }
        received.extend_from_slice(&piece[..count]);
        if gateway.lines("grace period over").is_empty() {
            thread::sleep(Duration::from_millis(20));
        }
    }
    assert!(received.len() < BODY_BYTES, "{}", received.len());
    let head = received.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
    let rest = received[head..].iter().find(|byte| **byte != b'x');
    assert_eq!(rest, None);
}

/// Guards against connections that are closed later in a planned stop without notice.
#[test]
fn a_response_during_a_planned_stop_announces_the_close() {
    let may_end = Arc::new(AtomicBool::new(false));
    let runner = runner(&may_end);
    let gateway = GatewayInstance::start("notice", &runner, |store, log| spawn("i1", store, log));
    let held: Vec<_> = ["POST /unsafe/held", "GET /stream/held"]
        .into_iter()
        .map(|line| {
            let (callers, text) = (gateway.callers, request(line, "held", "k1"));
            thread::spawn(move || send_request(callers, &text))
        })
        .collect();
    wait_until("requests at the runner", || {
        let requests = runner.requests.lock().unwrap();
        let held = requests.iter().filter(|request| request.contains("/held"));
        held.count() == 2
    });
    gateway.signal(Signal::TERM);
    gateway.wait_line("\"leaving\"");
    may_end.store(true, Ordering::Relaxed);
    for held in held {
        let response = held.join().unwrap().unwrap();
        let close = header(&response, "connection");
        assert_eq!(close.as_deref(), Some("close"), "{response}");
    }
}

#[test]
fn a_process_that_cannot_serve_logs_the_reason() {
    let nowhere = std::env::temp_dir().join("berylmount-no-such-settings.toml");
    let mut command = Command::new(env!("CARGO_BIN_EXE_berylmount"));
    let command = command.arg("gateway").env("BERYLMOUNT_BOOT", nowhere);
    let output = command.output().unwrap();
    assert!(!output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let line: Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    let logged = (&line["level"], &line["message"]);
    assert_eq!(
        logged,
        (
            &"ERROR".into(),
            &"the gateway could not start or stopped with an error".into()
        )
    );
    let fault = line["fault"].as_str().unwrap();
    assert!(fault.contains("no-such-settings"), "{line}");
}

/// Guards against limits that are copied when a service is first used.
#[test]
fn the_retry_budget_of_reloaded_settings_is_in_force() {
    let runner = runner(&Arc::default());
    let failing = ["r2", "r3"].map(|id| {
        let failing = StandinRunner::start(|_, _| (Vec::new(), AfterResponse::Close));
        (id, failing)
    });
    let gateway = GatewayInstance::start("budget", &runner, |store, log| {
        let settings = settings_text("i1", store);
        let settings = settings.replace("RetryBudgetRatio = 0.2", "RetryBudgetRatio = 100");
        spawn_with(&settings, log)
    });
    for (id, failing) in &failing {
        let entry = failing.entry("svc", "ready");
        gateway.store.put("servers", id, Some(entry));
    }
    gateway.store.put("servers", "r1", None);
    let count = |path: &str| {
        let counts = failing.iter().map(|(_, failing)| {
            let requests = failing.requests.lock().unwrap();
            requests.iter().filter(|r| r.contains(path)).count()
        });
        counts.sum::<usize>()
    };
    wait_until("a retry", || {
        let before = count("/safe/retried");
        gateway.call("GET /safe/retried", "retried");
        count("/safe/retried") == before + 2
    });
    let path = settings_path(&gateway.log);
    let text = fs::read_to_string(&path).unwrap();
    let text = text.replace("RetryBudgetRatio = 100", "RetryBudgetRatio = 0");
    let text = text.replace("BudgetExtra = 50", "BudgetExtra = 0");
    fs::write(&path, text).unwrap();
    gateway.signal(Signal::HUP);
    gateway.wait_line("settings reloaded");
    for number in 0..5 {
        let path = format!("/safe/once{number}");
        gateway.call(&format!("GET {path}"), "once");
        assert!(count(&path) <= 1, "{path} was retried");
    }
    assert!(count("/safe/once") > 0);
}

#[test]
fn settings_are_read_again_and_faulty_ones_are_refused() {
    let runner = runner(&Arc::default());
    let gateway = GatewayInstance::start("reload", &runner, |store, log| spawn("i1", store, log));
    gateway.signal(Signal::HUP);
    gateway.wait_line("settings reloaded");
    let path = settings_path(&gateway.log);
    let text = fs::read_to_string(&path).unwrap();
    fs::write(&path, text.replace("DrainMs = 2000", "DrainMs = -1")).unwrap();
    gateway.signal(Signal::HUP);
    let line = gateway.wait_line("settings not reloaded");
    assert!(
        line["fault"].as_str().unwrap().contains("Bounds.DrainMs"),
        "{line}"
    );
    let answer = gateway.call("GET /safe/x", "after").unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn every_request_outcome_is_logged() {
    let runner = runner(&Arc::default());
    let gateway = GatewayInstance::start("endings", &runner, |store, log| {
        let output = fs::File::create(log).unwrap();
        let mut command = command("i1", store, log);
        command
            .args(["--log-served", "1"])
            .stdout(Stdio::from(output))
            .spawn()
            .unwrap()
    });
    let cases = [
        ("GET /safe/x", "k1", "status 200"),
        ("GET /stream/x", "k1", "streamed"),
        ("GET /nowhere", "k1", "unknown_route"),
        ("GET /safe/x", "other", "unknown_key"),
        ("POST /unsafe/broken", "k1", "may_have_run"),
        ("POST /unsafe/silent", "k1", "may_have_run_timeout"),
        ("POST /unsafe/failed", "k1", "status 500"),
        ("GET /stream/cut", "k1", "cut: the stream broke off"),
    ];
    let found: Vec<String> = cases
        .iter()
        .enumerate()
        .map(|(number, (line, key, outcome))| {
            let id = format!("case-{number}");
            let _ = send_request(gateway.callers, &request(line, &id, key));
            let line = gateway.wait_line(&format!("\"request\":\"{id}\""));
            let tries = line["tries"].as_str().unwrap();
            let has_timings = line["total_ms"].is_u64() && line["patience_ms"] == 2500;
            assert!(has_timings, "{line}");
            assert_eq!(tries.is_empty(), outcome.starts_with("unknown"), "{line}");
            line["outcome"].as_str().unwrap().to_owned()
        })
        .collect();
    assert_eq!(found, cases.map(|(_, _, outcome)| outcome));
    let mut leaving = TcpStream::connect(gateway.callers).unwrap();
    leaving
        .write_all(request("GET /safe/silent", "gone", "k1").as_bytes())
        .unwrap();
    wait_until("request at the runner", || {
        runner
            .requests
            .lock()
            .unwrap()
            .iter()
            .any(|request| request.contains("gone"))
    });
    drop(leaving);
    let line = gateway.wait_line("\"request\":\"gone\"");
    assert_eq!(line["outcome"], "caller gone");
    gateway.store.put("servers", "r1", None);
    gateway.wait_line("\"change\":\"left\"");
    gateway.call("GET /safe/x", "none");
    assert_eq!(
        gateway.wait_line("\"request\":\"none\"")["outcome"],
        "no_runner"
    );
}

/// Number of requests whose log lines exceed the pipe and the ring buffer of records.
const STALLED_REQUESTS: usize = 9000;

#[test]
fn a_stalled_log_reader_blocks_no_request() {
    let runner = runner(&Arc::default());
    let mut gateway = GatewayInstance::start("stalled", &runner, |store, log| {
        let mut command = command("i1", store, log);
        command
            .args(["--log-served", "1"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap()
    });
    let mut kept = TcpStream::connect(gateway.callers).unwrap();
    kept.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    for number in 0..STALLED_REQUESTS {
        let text = request("GET /nowhere", &format!("n{number}"), "k1");
        kept.write_all(text.as_bytes()).unwrap();
        let answer = read_response(&mut kept).unwrap();
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    }
    // When reading resumes, a record reports how many lines were dropped.
    let output = BufReader::new(gateway.child.stdout.take().unwrap());
    let mut lines = output.lines().map(Result::unwrap);
    let line = lines.find(|line| line.contains("records dropped")).unwrap();
    let line: Value = serde_json::from_str(&line).unwrap();
    assert!(line["dropped"].as_u64().unwrap() > 0, "{line}");
}
