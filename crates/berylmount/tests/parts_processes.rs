//! Prompt parts that crash runners, while gateway processes are restarted.
#![allow(clippy::unwrap_used)]

mod processes;
#[path = "../../gateway/tests/standins/mod.rs"]
mod standins;

use processes::{callers_address, Instance};
use serde_json::{json, Value};
use standins::{
    all_routes, header, response_to, scripted_runner, send_request, table, wait_until,
    AfterResponse, StandinRunner, StandinStore,
};
use std::{
    env, fs,
    path::PathBuf,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

const INSTANCES: usize = 3;
const RUNNERS: usize = 8;
/// Kind of the objects that name parts which crash runners.
const BLAMED_KIND: &str = "berylmount-parts";

/// The processes with the store and the runners that they use.
struct PartFleet {
    store: StandinStore,
    instances: Vec<Instance>,
    /// Entries of the runners.
    runners: Vec<Value>,
    /// Requests with the part `dead` that reached a runner.
    crashes: Arc<AtomicUsize>,
    sent: usize,
    folder: PathBuf,
}

impl PartFleet {
    fn start(name: &str) -> Self {
        let folder = env::temp_dir().join(format!("berylmount-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let (store, crashes) = (StandinStore::start(), Arc::default());
        store.put("config", "main", Some(table(1, all_routes())));
        let entry = |_| crashing_runner(&crashes).entry("svc", "ready");
        let runners: Vec<Value> = (0..RUNNERS).map(entry).collect();
        for (number, entry) in runners.iter().enumerate() {
            store.put("servers", &format!("r{number}"), Some(entry.clone()));
        }
        let start = |number| Instance::start(&format!("i{number}"), store.address, &folder);
        let instances = (0..INSTANCES).map(start).collect();
        let mut fleet = Self {
            store,
            instances,
            runners,
            crashes,
            sent: 0,
            folder,
        };
        fleet.wait_serving();
        fleet
    }

    /// Sends a prompt to an instance; returns the status, if there was a response.
    fn call(&mut self, instance: usize, has_dead_part: bool) -> Option<String> {
        let address = callers_address(&self.store, &format!("i{instance}"))?;
        self.sent += 1;
        let (number, dead) = (self.sent, if has_dead_part { "dead:30," } else { "" });
        let request = format!(
            "POST /unsafe/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: n{number}\r\n\
             Berylmount-Deadline-Ms: 2500\r\nAuthorization: Token k1\r\nBerylmount-Model: m\r\n\
             Berylmount-Token-Usage: 100,10\r\n\
             Berylmount-Prompt-Prefix: aaaa:40,{dead}bbbb:20,{number:x}:10\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let response = send_request(address, &request)?;
        Some(response[9..12].to_owned())
    }

    /// Registers the runners as started again.
    fn restart_runners(&mut self) {
        for (number, entry) in self.runners.iter_mut().enumerate() {
            entry["born"] = json!(2);
            let name = format!("r{number}");
            self.store.put("servers", &name, Some(entry.clone()));
        }
    }

    fn wait_serving(&mut self) {
        for instance in 0..INSTANCES {
            wait_until("a served prompt", || {
                self.call(instance, false).as_deref() == Some("200")
            });
        }
    }

    /// Sends prompts until the part is refused everywhere and stored.
    fn wait_blamed(&mut self) {
        wait_until("a stored verdict", || {
            for instance in 0..INSTANCES {
                (0..4).for_each(|_| drop(self.call(instance, false)));
                self.call(instance, true);
            }
            thread::sleep(Duration::from_millis(50));
            self.store.listed(BLAMED_KIND) > 0
        });
        for instance in 0..INSTANCES {
            wait_until("refusals", || {
                let known = self.crashes.load(Ordering::Relaxed);
                let status = self.call(instance, true);
                status.as_deref() == Some("503") && self.crashes.load(Ordering::Relaxed) == known
            });
        }
    }

    /// Sends prompts with the part to an instance from its first response on; none reaches a
    /// runner, and sound ones are served.
    fn check_refused(&mut self, instance: usize) {
        let known = self.crashes.load(Ordering::Relaxed);
        let mut statuses = Vec::new();
        wait_until("a served prompt", || {
            statuses.extend(self.call(instance, true));
            self.call(instance, false).as_deref() == Some("200")
        });
        for _ in 0..10 {
            statuses.extend(self.call(instance, true));
        }
        assert_eq!(self.crashes.load(Ordering::Relaxed), known);
        statuses.dedup();
        assert_eq!(statuses, ["503"]);
    }
}

impl Drop for PartFleet {
    fn drop(&mut self) {
        if !thread::panicking() {
            // The logs are needed only after a failure.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A runner whose connection breaks when it gets a prompt with the part `dead`.
fn crashing_runner(crashes: &Arc<AtomicUsize>) -> StandinRunner {
    let crashes = crashes.clone();
    scripted_runner(move |request| {
        let prompt = header(request, "berylmount-prompt-prefix").unwrap_or_default();
        if prompt.contains("dead") {
            crashes.fetch_add(1, Ordering::Relaxed);
            return (Vec::new(), AfterResponse::Close);
        }
        (response_to(request, "200 OK", "fine"), AfterResponse::Keep)
    })
}

#[test]
fn a_restart_of_all_processes_does_not_forget_a_blamed_part() {
    let mut fleet = PartFleet::start("parts-all");
    fleet.wait_blamed();
    fleet.instances.iter_mut().for_each(Instance::restart);
    for instance in 0..INSTANCES {
        fleet.check_refused(instance);
    }
}

/// Guards against crashes that count from zero after a restart.
#[test]
fn a_restart_of_all_processes_does_not_forget_the_crashes_of_a_suspect() {
    let mut fleet = PartFleet::start("parts-suspect");
    wait_until("stored evidence of two crashes", || {
        if fleet.crashes.load(Ordering::Relaxed) < 2 {
            fleet.call(0, true);
        }
        thread::sleep(Duration::from_millis(300));
        (0..INSTANCES).for_each(|instance| drop(fleet.call(instance, false)));
        fleet.store.listed(BLAMED_KIND) > 0
    });
    fleet.restart_runners();
    fleet.instances.iter_mut().for_each(Instance::restart);
    fleet.wait_serving();
    wait_until("a refusal", || {
        (0..INSTANCES).for_each(|instance| drop(fleet.call(instance, false)));
        thread::sleep(Duration::from_millis(500));
        fleet.call(1, true).as_deref() == Some("503")
    });
    assert_eq!(fleet.crashes.load(Ordering::Relaxed), 3);
}
