//! Tests of a gateway process whose settings name another address of the store after SIGHUP.
#![allow(clippy::unwrap_used)]

mod processes;
#[path = "../../gateway/tests/standins/mod.rs"]
mod standins;

use processes::{callers_address, settings_path, settings_text, spawn_with};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use standins::{
    all_routes, healthy_runner, received_requests, route, send_request, table, wait_until,
    StandinRunner, StandinStore,
};
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::Child,
    thread,
    time::{Duration, Instant},
};

/// Time for which a gateway is observed that must not change: longer than two watches and the
/// bound on new tables.
const OBSERVED_TIME: Duration = Duration::from_millis(3500);

/// Time after which no watch is open that began before.
const OPEN_WATCH_TIME: Duration = Duration::from_millis(2000);

/// A gateway process whose store can move.
struct MovableGateway {
    name: &'static str,
    child: Child,
    callers: SocketAddr,
    log: PathBuf,
    first: StandinStore,
}

impl Drop for MovableGateway {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.log);
        let _ = fs::remove_file(settings_path(&self.log));
    }
}

impl MovableGateway {
    fn start(test: &str, runner: &StandinRunner) -> Self {
        let first = StandinStore::start();
        first.put("config", "main", Some(keyed_table(1, all_routes(), "k1")));
        first.put("servers", "r1", Some(runner.entry("svc", "ready")));
        Self::start_at("i1", test, first)
    }

    /// Starts an instance that uses the store `first`.
    fn start_at(name: &'static str, test: &str, first: StandinStore) -> Self {
        let file = format!("berylmount-{test}-{name}-{}.log", std::process::id());
        let log = std::env::temp_dir().join(file);
        let _ = fs::remove_file(&log);
        let child = spawn_with(&settings_text(name, first.address), &log);
        wait_until("entry in the store", || {
            callers_address(&first, name).is_some()
        });
        let callers = callers_address(&first, name).unwrap();
        let gateway = Self {
            name,
            child,
            callers,
            log,
            first,
        };
        wait_until("first answer", || {
            gateway.status("/safe/warm", "k1") == "200"
        });
        gateway
    }

    /// Names the store in the settings file, sends SIGHUP and waits until it was handled.
    fn move_to(&self, store: &StandinStore) {
        let text = settings_text(self.name, store.address);
        fs::write(settings_path(&self.log), text).unwrap();
        let reloads = self.lines("settings reloaded");
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, Signal::HUP).unwrap();
        wait_until("the reload", || self.lines("settings reloaded") > reloads);
    }

    /// Returns the number of log lines that contain `part`.
    fn lines(&self, part: &str) -> usize {
        let text = fs::read_to_string(&self.log).unwrap();
        text.lines().filter(|line| line.contains(part)).count()
    }

    /// Returns the status of the response to a request with a key; empty if there is none.
    fn status(&self, path: &str, key: &str) -> String {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: id1\r\n\
             Berylmount-Deadline-Ms: 2500\r\nAuthorization: Token {key}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let response = send_request(self.callers, &request).unwrap_or_default();
        response.get(9..12).unwrap_or_default().to_owned()
    }

    /// Asserts that a request gets `status` as long as the gateway is observed.
    fn assert_stays(&self, path: &str, key: &str, status: &str) {
        let end = Instant::now() + OBSERVED_TIME;
        while Instant::now() < end {
            assert_eq!(self.status(path, key), status, "{path} with {key}");
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Builds a table whose only customer has this key.
fn keyed_table(version: u64, routes: Vec<Value>, key: &str) -> Value {
    let mut table = table(version, routes);
    table["Tenants"][0]["ApiKeys"] = vec![key].into();
    table
}

fn routes_with(path: &str) -> Vec<Value> {
    let mut routes = all_routes();
    routes.push(route(path, "safe", 2, false));
    routes
}

#[test]
fn a_key_removed_after_the_store_moved_is_refused() {
    let runner = healthy_runner();
    let gateway = MovableGateway::start("moved-key", &runner);
    // The same store at another address.
    let second = gateway.first.mirror();
    gateway.move_to(&second);
    gateway
        .first
        .refuse_kinds(&["config", "servers", "models", "berylmount-instances"]);
    thread::sleep(OPEN_WATCH_TIME);
    second.put("config", "main", Some(keyed_table(2, all_routes(), "k2")));
    wait_until("the key to be refused", || {
        gateway.status("/safe/x", "k1") == "401"
    });
    assert_eq!(gateway.status("/safe/x", "k2"), "200");
}

#[test]
fn changes_at_the_old_address_of_the_store_are_not_followed() {
    let runner = healthy_runner();
    let gateway = MovableGateway::start("old-address", &runner);
    let second = gateway.first.copy();
    gateway.move_to(&second);
    // A watch of the old address may still be open.
    let written = keyed_table(7, routes_with("/old/"), "k7");
    gateway.first.put("config", "main", Some(written));
    gateway.first.put("servers", "r1", None);
    gateway.assert_stays("/old/x", "k1", "404");
    assert_eq!(gateway.status("/safe/x", "k7"), "401");
    assert_eq!(gateway.status("/safe/x", "k1"), "200");
    let written = keyed_table(2, routes_with("/new/"), "k2");
    second.put("config", "main", Some(written));
    wait_until("the table of the new address", || {
        gateway.status("/new/x", "k2") == "200"
    });
}

/// Guards against comparing revisions of two stores, which may give the same or lower numbers
/// to other changes.
#[test]
fn a_moved_store_with_other_revisions_is_followed() {
    let (runner, other) = (healthy_runner(), healthy_runner());
    let gateway = MovableGateway::start("other-revisions", &runner);
    let second = gateway.first.copy();
    let at_first = keyed_table(2, routes_with("/two/"), "k1");
    let at_first = gateway.first.put("config", "main", Some(at_first));
    let at_second = keyed_table(3, routes_with("/three/"), "k1");
    let at_second = second.put("config", "main", Some(at_second));
    assert_eq!(at_first, at_second);
    // The revisions of the first store run ahead.
    for number in 0..50 {
        let entry = runner.entry("svc", "ready");
        gateway.first.put("servers", "r1", Some(entry));
        gateway.first.put("servers", &format!("gone{number}"), None);
    }
    wait_until("the table of the first store", || {
        gateway.status("/two/x", "k1") == "200"
    });
    gateway.move_to(&second);
    wait_until("the table of the second store", || {
        gateway.status("/three/x", "k1") == "200"
    });
    second.put("servers", "r2", Some(other.entry("svc", "ready")));
    second.put("servers", "r1", None);
    wait_until("the runner of the second store", || {
        gateway.status("/safe/x", "k1");
        !received_requests(&other).is_empty()
    });
    wait_until("the end of the runner that the second store lacks", || {
        let known = received_requests(&runner).len();
        (0..20).for_each(|_| drop(gateway.status("/safe/x", "k1")));
        received_requests(&runner).len() == known
    });
    second.put("config", "main", Some(keyed_table(4, all_routes(), "k4")));
    wait_until("the key to be refused", || {
        gateway.status("/safe/x", "k1") == "401"
    });
}

/// Guards against an instance that keeps the higher revision of an instance that moved later, so
/// that it waits for that revision at the new address.
#[test]
fn instances_that_move_one_after_the_other_follow_the_new_address() {
    let (runner, other) = (healthy_runner(), healthy_runner());
    let earlier = MovableGateway::start("one-by-one", &runner);
    let first = earlier.first.clone();
    let later = MovableGateway::start_at("i2", "one-by-one", first.clone());
    let second = first.copy();
    let entry = runner.entry("svc", "ready");
    (0..50).for_each(|_| {
        first.put("servers", "r1", Some(entry.clone()));
    });
    earlier.move_to(&second);
    // The other instance passes changes of the first store on.
    for _ in 0..15 {
        first.put("servers", "r1", Some(entry.clone()));
        thread::sleep(Duration::from_millis(100));
    }
    later.move_to(&second);
    second.put("servers", "r2", Some(other.entry("svc", "ready")));
    second.put("servers", "r1", None);
    for gateway in [&earlier, &later] {
        let known = received_requests(&other).len();
        wait_until("the runner of the second store", || {
            gateway.status("/safe/x", "k1");
            received_requests(&other).len() > known
        });
        wait_until("the end of the runner that the second store lacks", || {
            let known = received_requests(&runner).len();
            (0..20).for_each(|_| drop(gateway.status("/safe/x", "k1")));
            received_requests(&runner).len() == known
        });
    }
}

#[test]
fn a_move_to_an_older_copy_does_not_revert_the_table() {
    let runner = healthy_runner();
    let gateway = MovableGateway::start("older-copy", &runner);
    let second = gateway.first.copy();
    let written = keyed_table(2, all_routes(), "k2");
    gateway.first.put("config", "main", Some(written));
    wait_until("the key to be refused", || {
        gateway.status("/safe/x", "k1") == "401"
    });
    gateway.move_to(&second);
    gateway.assert_stays("/safe/x", "k1", "401");
    second.put("config", "main", Some(keyed_table(3, all_routes(), "k3")));
    wait_until("the table of the second store", || {
        gateway.status("/safe/x", "k3") == "200"
    });
}

#[test]
fn an_instance_is_listed_at_the_new_address_as_at_the_old_one() {
    let runner = healthy_runner();
    let gateway = MovableGateway::start("listed-again", &runner);
    let second = StandinStore::start();
    second.put("config", "main", Some(keyed_table(1, all_routes(), "k1")));
    second.put("servers", "r1", Some(runner.entry("svc", "ready")));
    let entry = gateway.first.value("berylmount-instances", "i1").unwrap();
    gateway.move_to(&second);
    wait_until("the entry at the new address", || {
        second.value("berylmount-instances", "i1").is_some()
    });
    assert_eq!(second.value("berylmount-instances", "i1").unwrap(), entry);
    // The ports on which it listens are those of its start.
    thread::sleep(OBSERVED_TIME);
    assert_eq!(second.value("berylmount-instances", "i1").unwrap(), entry);
}

/// Guards against advertising ports of the settings file on which the process does not listen.
#[test]
fn the_listed_ports_stay_as_they_are_when_settings_are_reloaded() {
    let runner = healthy_runner();
    let gateway = MovableGateway::start("listed-ports", &runner);
    let entry = gateway.first.value("berylmount-instances", "i1").unwrap();
    // The file leaves the choice of all ports to the process.
    gateway.move_to(&gateway.first);
    let end = Instant::now() + OBSERVED_TIME;
    while Instant::now() < end {
        let listed = gateway.first.value("berylmount-instances", "i1").unwrap();
        assert_eq!(listed, entry);
        thread::sleep(Duration::from_millis(50));
    }
}
