//! Gateway processes that are stopped while they roll out weights.
#![allow(clippy::unwrap_used)]

mod processes;
#[path = "../../gateway/tests/standins/mod.rs"]
mod standins;

use processes::{settings_path, settings_text};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use standins::{
    all_routes, received_requests, response_to, scripted_runner, table, wait_until, AfterResponse,
    StandinRunner, StandinStore,
};
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

/// A process that logs to a file.
struct LoggedProcess {
    child: Child,
    log: PathBuf,
}

impl LoggedProcess {
    fn start(name: &str, store: SocketAddr) -> Self {
        let file = format!("berylmount-lease-{name}-{}.log", std::process::id());
        let log = std::env::temp_dir().join(file);
        let settings = settings_text(name, store);
        let settings = settings.replace("GracePeriodS = 3", "GracePeriodS = 30");
        fs::write(settings_path(&log), settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_berylmount"))
            .args(["gateway", "--metrics", "0"])
            .env("BERYLMOUNT_BOOT", settings_path(&log))
            .stdout(Stdio::from(fs::File::create(&log).unwrap()))
            .spawn()
            .unwrap();
        Self { child, log }
    }

    /// Sends the signal for a planned stop, and waits until the process drains.
    fn stop(&self) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, Signal::TERM).unwrap();
        self.wait_line("\"leaving\"");
    }

    fn wait_line(&self, part: &str) {
        wait_until(part, || {
            fs::read_to_string(&self.log).unwrap().contains(part)
        });
    }
}

impl Drop for LoggedProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.log);
        let _ = fs::remove_file(settings_path(&self.log));
    }
}

/// Starts a runner with old weights that is always busy with an order.
fn busy_runner() -> StandinRunner {
    scripted_runner(|request| {
        let body = match request.starts_with("GET /berylmount/report") {
            true => r#"{"Models":[{"Name":"m","Version":1}],"Busy":true,"Sequence":0}"#,
            false => "",
        };
        (response_to(request, "200 OK", body), AfterResponse::Keep)
    })
}

/// Starts a store that requests new weights of a runner.
fn start_store(runner: &StandinRunner) -> StandinStore {
    let store = StandinStore::start();
    store.put("config", "main", Some(table(1, all_routes())));
    store.put("servers", "r1", Some(runner.entry("svc", "ready")));
    store.put("versions", "m", Some(json!({"Model": "m", "Version": 2})));
    store
}

/// Returns how often a runner was asked whether it is busy with an order.
fn count_reports(runner: &StandinRunner) -> usize {
    let requests = received_requests(runner);
    let reports = requests
        .iter()
        .filter(|r| r.starts_with("GET /berylmount/report"));
    reports.count()
}

/// Guards against a rollout that stands still because the lease holder drains and no other
/// instance is there.
#[test]
fn a_draining_lease_holder_goes_on_until_another_instance_is_ready() {
    let runner = busy_runner();
    let store = start_store(&runner);
    let first = LoggedProcess::start("i1", store.address);
    let reports = || count_reports(&runner);
    wait_until("the rollout", || reports() > 0);
    first.stop();
    let before = reports();
    wait_until("the rollout goes on", || reports() > before + 3);
    let _second = LoggedProcess::start("i2", store.address);
    first.wait_line("\"lease released\"");
    wait_until("the lease of the other instance", || {
        let lease = store.value("berylmount-leases", "weights");
        lease.is_some_and(|lease| lease["holder"] == "i2")
    });
}

/// Guards against a successor that waits at runners to which no order was sent.
#[test]
fn a_lease_that_is_handed_over_lists_no_runner_without_an_order() {
    let runner = busy_runner();
    let store = start_store(&runner);
    let first = LoggedProcess::start("i3", store.address);
    wait_until("the rollout", || count_reports(&runner) > 0);
    let lease = || store.value("berylmount-leases", "weights").unwrap();
    first.stop();
    let _second = LoggedProcess::start("i4", store.address);
    wait_until("the release", || lease()["is_released"] == true);
    assert_eq!(lease()["orders"], json!([]));
}
