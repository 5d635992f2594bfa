//! Changes of the table while processes, the store and the connections between them are
//! disrupted, judged by what callers get from every instance in touch.
//!
//! Each version adds a route and a key and removes older ones, so that every response shows
//! which versions may be in force. The rule is that of the platform: from `APPLY` after the
//! store's confirmation on, an instance in touch handles no request as only an older version
//! allows. An instance is in touch if neither it, its connections nor the store were
//! disrupted within `CONTACT`.
//!
//! `CONFIG_SEEDS=1..50 cargo test -p berylmount --test config_processes` plays more seeds;
//! `CONFIG_INSTANCES` sets the number of processes.
#![allow(clippy::unwrap_used)]

mod processes;
#[path = "../../gateway/tests/standins/mod.rs"]
mod standins;

use berylmount_standins::ProxyFaults;
use processes::{callers_address, Instance};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use serde_json::{json, Value};
use standins::{
    all_routes, healthy_runner, route, send_request, table, wait_until, StandinRunner,
    StandinStore, StoreBackup,
};
use std::{
    env, fs,
    sync::{
        atomic::{AtomicBool, Ordering},
        Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const INSTANCES: usize = 3;
/// Seeds unless the environment sets `CONFIG_SEEDS`, and the time of each.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
const SPAN: Duration = Duration::from_secs(12);
/// `ConfigApplyMs` and `ContactMs` of the platform.
const APPLY: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
/// Number of versions that keep a route and a key.
const KEPT_VERSIONS: u64 = 3;
/// Routes that a huge table has in addition.
const HUGE_ROUTES: u64 = 350;
/// Pause between two requests to an instance.
const PROBE_PAUSE: Duration = Duration::from_millis(25);
/// Delay of a timer from which this machine counts as slowed.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(200);

/// The routes of a version, by the version that added them.
fn live_versions(version: u64) -> std::ops::RangeInclusive<u64> {
    version.saturating_sub(KEPT_VERSIONS - 1).max(1)..=version
}

/// Builds the table of a version.
fn versioned_table(version: u64, is_huge: bool) -> Value {
    let mut routes = all_routes();
    let added = live_versions(version).map(|added| format!("/v{added}/"));
    routes.extend(added.map(|path| route(&path, "safe", 2, false)));
    let filler = 0..if is_huge { HUGE_ROUTES } else { 0 };
    routes.extend(filler.map(|number| route(&format!("/filler/{number}/"), "safe", 2, false)));
    let mut table = table(version, routes);
    let keys = live_versions(version).map(|added| json!(format!("key{added}")));
    let keys: Vec<Value> = keys.chain([json!("k1")]).collect();
    table["Tenants"][0]["ApiKeys"] = Value::Array(keys);
    table
}

/// The operator's writes, with the times of the store's confirmations.
#[derive(Default)]
struct OperatorRecord {
    acked: Vec<(u64, Instant)>,
}

impl OperatorRecord {
    /// Returns the newest version that must be in force at `at` on instances in touch.
    fn due_at(&self, at: Instant) -> u64 {
        let due = self.acked.iter().filter(|(_, acked)| *acked + APPLY <= at);
        due.map(|(version, _)| *version).max().unwrap_or(0)
    }
}

/// A response to a probe of one version's route with one version's key.
struct ProbeResult {
    instance: usize,
    sent: Instant,
    answered: Instant,
    version: u64,
    status: String,
}

/// A disruption of one instance, or of all.
#[derive(Clone, Copy, Debug)]
struct Disruption {
    instance: Option<usize>,
    since: Instant,
    until: Instant,
}

#[derive(Default)]
struct RunRecord {
    operator: Mutex<OperatorRecord>,
    probes: Mutex<Vec<ProbeResult>>,
    disruptions: Mutex<Vec<Disruption>>,
}

impl RunRecord {
    fn note_disruption(&self, instance: Option<usize>, since: Instant, until: Instant) {
        let disruption = Disruption {
            instance,
            since,
            until,
        };
        self.disruptions.lock().unwrap().push(disruption);
    }

    /// Requests routes of the newest version that is due, and of one that was removed.
    fn run_prober(&self, instance: usize, store: &StandinStore, is_over: &AtomicBool) {
        let name = format!("i{instance}");
        while !is_over.load(Ordering::Relaxed) {
            thread::sleep(PROBE_PAUSE);
            let Some(address) = callers_address(store, &name) else {
                continue;
            };
            let due = self.operator.lock().unwrap().due_at(Instant::now());
            for version in [due, due.saturating_sub(KEPT_VERSIONS)] {
                let sent = Instant::now();
                let request = format!(
                    "GET /v{version}/x HTTP/1.1\r\nHost: a.example\r\n\
                     Berylmount-Request-Id: {name}-{version}\r\nBerylmount-Deadline-Ms: 900\r\n\
                     Authorization: Token key{version}\r\nContent-Length: 0\r\n\r\n"
                );
                let Some(response) = send_request(address, &request) else {
                    continue;
                };
                let result = ProbeResult {
                    instance,
                    sent,
                    answered: Instant::now(),
                    version,
                    status: response[9..12].to_owned(),
                };
                self.probes.lock().unwrap().push(result);
            }
        }
    }

    /// Records when timers of this machine are late, which excuses all instances.
    fn watch_timers(&self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Relaxed) {
            let since = Instant::now();
            thread::sleep(Duration::from_millis(10));
            if since.elapsed() > MAX_TIMER_DELAY {
                self.note_disruption(None, since, Instant::now());
            }
        }
    }

    /// Returns the probes that break the rule, and the number that could have.
    fn violations(&self, start: Instant) -> (Vec<String>, usize) {
        let operator = self.operator.lock().unwrap();
        let (disruptions, probes) = (
            self.disruptions.lock().unwrap(),
            self.probes.lock().unwrap(),
        );
        let is_in_touch = |probe: &&ProbeResult| {
            let mut disruptions = disruptions.iter();
            !disruptions.any(|disruption| {
                let is_affected = disruption.instance.is_none_or(|i| i == probe.instance);
                is_affected
                    && disruption.since <= probe.answered
                    && probe.sent < disruption.until + CONTACT
            })
        };
        let judged: Vec<&ProbeResult> = probes.iter().filter(is_in_touch).collect();
        let wrong = judged.iter().filter_map(|probe| {
            let due = operator.due_at(probe.sent);
            let newest = operator.acked.iter().map(|(version, _)| *version).max()?;
            // A newer version may be in force already, and may lack the route again.
            let must_exist = live_versions(newest + 1).contains(&probe.version);
            let must_lack = probe.version > 0 && probe.version + KEPT_VERSIONS <= due;
            let is_wrong = match probe.status.as_str() {
                "404" | "401" => must_exist && probe.version <= due && probe.version > 0,
                "200" => must_lack,
                _ => false,
            };
            let at_ms = probe.sent.duration_since(start).as_millis();
            let (instance, version, status) = (probe.instance, probe.version, &probe.status);
            is_wrong
                .then(|| format!("{at_ms} ms: i{instance}, version {version}, {due} due: {status}"))
        });
        (wrong.collect(), judged.len())
    }
}

/// The processes with the store that they use.
struct ConfigFleet {
    store: StandinStore,
    instances: Vec<Instance>,
    runner: StandinRunner,
    version: u64,
    backup: Option<StoreBackup>,
}

impl ConfigFleet {
    fn start(count: usize, folder: &std::path::Path) -> Self {
        let store = StandinStore::start();
        store.put("config", "main", Some(versioned_table(1, false)));
        let runner = healthy_runner();
        store.put("servers", "r1", Some(runner.entry("svc", "ready")));
        let start = |number| Instance::start(&format!("i{number}"), store.address, folder);
        let instances: Vec<Instance> = (0..count).map(start).collect();
        let fleet = Self {
            store,
            instances,
            runner,
            version: 1,
            backup: None,
        };
        fleet.wait_in_force();
        fleet
    }

    /// Waits until all instances serve the route that the current version added.
    fn wait_in_force(&self) {
        let version = self.version;
        let request = format!(
            "GET /v{version}/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: w\r\n\
             Authorization: Token key{version}\r\nContent-Length: 0\r\n\r\n"
        );
        for instance in &self.instances {
            wait_until("version in force", || {
                let address = callers_address(&self.store, instance.name());
                let response = address.and_then(|address| send_request(address, &request));
                response.is_some_and(|response| response.starts_with("HTTP/1.1 200"))
            });
        }
    }

    /// Writes the next version as the operator.
    fn change(&mut self, record: &RunRecord, is_huge: bool) {
        self.version += 1;
        let table = versioned_table(self.version, is_huge);
        self.store.put("config", "main", Some(table));
        let acked = (self.version, Instant::now());
        record.operator.lock().unwrap().acked.push(acked);
    }

    fn freeze_all(&self, record: &RunRecord) {
        self.instances.iter().for_each(|i| i.store.freeze());
        record.note_disruption(None, Instant::now(), Instant::now());
    }

    /// Restores the last backup; the operator and the runners write again what was lost.
    fn restore(&mut self, record: &RunRecord, rewrite: Duration) {
        let Some(backup) = self.backup.take() else {
            self.backup = Some(self.store.backup());
            return;
        };
        let since = Instant::now();
        self.store.restore(&backup);
        thread::sleep(rewrite);
        let table = versioned_table(self.version, false);
        self.store.put("config", "main", Some(table));
        let entry = self.runner.entry("svc", "ready");
        self.store.put("servers", "r1", Some(entry));
        record.note_disruption(None, since, Instant::now());
    }

    /// Disrupts an instance, all of them or the store for up to `span`.
    fn disrupt(&mut self, record: &RunRecord, rng: &mut impl Rng) {
        let index = rng.random_range(0..self.instances.len());
        let lasts = Duration::from_millis(rng.random_range(50..1500));
        let since = Instant::now();
        let fault = match rng.random_range(0..3) {
            0 => ProxyFaults {
                refuse: true,
                ..ProxyFaults::default()
            },
            1 => ProxyFaults {
                drop_answers: true,
                ..ProxyFaults::default()
            },
            _ => ProxyFaults {
                drop_requests: true,
                ..ProxyFaults::default()
            },
        };
        match rng.random_range(0..10) {
            0 => self.instances[index].restart(),
            1 => {
                self.instances.iter_mut().for_each(Instance::restart);
                return record.note_disruption(None, since, Instant::now());
            }
            2 => {
                self.instances[index].signal(Signal::STOP);
                thread::sleep(lasts);
                self.instances[index].signal(Signal::CONT);
            }
            3 => {
                self.instances[index].store.set(fault);
                thread::sleep(lasts);
                self.instances[index].store.set(ProxyFaults::default());
                self.instances[index].store.cut();
            }
            4 => self.instances[index].store.freeze(),
            5 => return self.freeze_all(record),
            6 => {
                let rewrite = Duration::from_millis(rng.random_range(0..300));
                return self.restore(record, rewrite);
            }
            7 => {
                self.store.refuse(true);
                thread::sleep(lasts);
                self.store.refuse(false);
                return record.note_disruption(None, since, Instant::now());
            }
            8 => {
                self.store.forget_history();
                return record.note_disruption(None, since, Instant::now());
            }
            _ => return,
        }
        record.note_disruption(Some(index), since, Instant::now());
    }
}

/// Runs `act` while all instances are probed; returns the violations, and how many probes
/// were judged.
fn play(
    name: &str,
    count: usize,
    act: impl FnOnce(&mut ConfigFleet, &RunRecord),
) -> (Vec<String>, usize) {
    let folder = env::temp_dir().join(format!("berylmount-config-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let mut fleet = ConfigFleet::start(count, &folder);
    let (record, is_over) = (RunRecord::default(), AtomicBool::new(false));
    let start = Instant::now();
    record.note_disruption(None, start, start);
    let store = fleet.store.clone();
    thread::scope(|scope| {
        for instance in 0..count {
            let (record, store, is_over) = (&record, &store, &is_over);
            scope.spawn(move || record.run_prober(instance, store, is_over));
        }
        scope.spawn(|| record.watch_timers(&is_over));
        act(&mut fleet, &record);
        is_over.store(true, Ordering::Relaxed);
    });
    let (violations, judged) = record.violations(start);
    if violations.is_empty() {
        // The logs are needed only after a failure.
        let _ = fs::remove_dir_all(&folder);
    }
    (violations, judged)
}

#[test]
fn connections_that_go_silent_do_not_delay_a_change() {
    let (violations, judged) = play("silent", INSTANCES, |fleet, record| {
        // The watches of all instances begin anew with the same change.
        fleet.change(record, false);
        fleet.wait_in_force();
        fleet.freeze_all(record);
        fleet.change(record, false);
        thread::sleep(CONTACT + Duration::from_secs(1));
    });
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    assert!(judged > 0);
}

#[test]
fn changes_hold_under_overlapping_disruptions() {
    let seeds = env::var("CONFIG_SEEDS").ok().and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some(first.parse().ok()?..=last.parse().ok()?)
    });
    let count = env::var("CONFIG_INSTANCES");
    let count = count.map_or(INSTANCES, |count| count.parse().unwrap());
    for seed in seeds.unwrap_or(SEEDS) {
        let (violations, judged) = play(&seed.to_string(), count, |fleet, record| {
            let mut rng = Pcg64::seed_from_u64(seed);
            let end = Instant::now() + SPAN;
            while Instant::now() < end {
                for _ in 0..rng.random_range(1..4) {
                    let is_huge = rng.random_bool(0.2);
                    fleet.change(record, is_huge);
                    thread::sleep(Duration::from_millis(rng.random_range(0..400)));
                }
                // Two disruptions in a row overlap in what they excuse and in their effects.
                for _ in 0..rng.random_range(0..3) {
                    fleet.disrupt(record, &mut rng);
                }
                fleet.change(record, false);
                let calm_ms = [200, 3500, 4500][rng.random_range(0..3)];
                thread::sleep(Duration::from_millis(calm_ms));
            }
        });
        println!(
            "seed {seed}: {judged} judged, {} violations",
            violations.len()
        );
        assert!(
            violations.is_empty(),
            "seed {seed}: {}",
            violations.join("\n")
        );
    }
}
