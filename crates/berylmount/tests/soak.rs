//! Randomised soak test of gateway processes.
//!
//! Faults are injected from outside of the processes. Signals stop, pause, kill
//! and restart them; loopback proxies delay, cut, freeze and silence their
//! connections to the store and to runners; runners fail, leave, ask for
//! backoff and name request limits; tables change; the store is restored from older backups. Callers
//! reuse their connections and check these guarantees during the faults:
//!
//! - a request that may not be repeated runs at most once;
//! - a request that was refused has not run and does not run later;
//! - an answer is complete and the caller's own, and a stream has every event once;
//! - requests are served. The span of a run counts only while some process runs and knows
//!   the table, and some runner can be reached; a run goes on until that span is over;
//! - afterwards every instance serves again.
//!
//! `SOAK_SEEDS=1..50 SOAK_SECONDS=10 cargo test -p berylmount --test soak` runs
//! it longer; `SOAK_INSTANCES=60` runs it with more processes. `REGRESSIONS`
//! keeps the seeds that failed once, with their cause.
#![allow(clippy::unwrap_used)]

mod processes;
#[path = "../../gateway/tests/standins/mod.rs"]
mod standins;

use berylmount_standins::{FaultProxy, ProxyFaults};
use processes::{callers_address, Instance};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use standins::{
    all_routes, event_stream_to, header, read_response, response_to, send_request, table,
    wait_until, AfterResponse, StandinRunner, StandinStore, StoreBackup,
};
use std::{
    collections::BTreeMap,
    fs,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Number of instances if `SOAK_INSTANCES` is not set.
const INSTANCES: usize = 3;
const RUNNERS: usize = 3;
/// Minimum number of callers, and number of instances for each fault in a step.
const CALLERS: usize = 6;
const INSTANCES_PER_FAULT: usize = 6;
/// Probability of a changed request limit in a step, and the limits in tenths of a
/// request per second: below and above one for each instance, or none.
const LIMIT_CHANGE: f64 = 0.3;
const LIMIT_TENTHS: [u32; 4] = [0, 3, 20, 300];
/// Seeds that failed once, with the cause.
const REGRESSIONS: [u64; 0] = [];

/// Number of runs of each request, by request id.
type RunCounts = Arc<Mutex<BTreeMap<String, u32>>>;

/// The request limit that all runners name, in tenths of a request per second; 0 for
/// none.
type NamedLimit = Arc<AtomicU32>;

/// A runner that fails some of its requests and counts the runs of each request.
fn faulty_runner(seed: u64, runs: RunCounts, limit: NamedLimit) -> StandinRunner {
    let rng = Mutex::new(Pcg64::seed_from_u64(seed));
    let respond = move |request: &str| {
        let dice: u32 = rng.lock().unwrap().random_range(0..100);
        let id = header(request, "berylmount-request-id").unwrap_or_default();
        if dice < 4 {
            let retry_after = if dice == 0 {
                "retry-after: 0.2\r\n"
            } else {
                ""
            };
            let refusal = format!(
                "HTTP/1.1 503 Full\r\nberylmount-request-id: {id}\r\n\
                 berylmount-not-executed: 1\r\n{retry_after}content-length: 0\r\n\r\n"
            );
            return (refusal.into_bytes(), AfterResponse::Keep);
        }
        // The path tells whether a request may be repeated.
        let is_once = ["/unsafe/", "/once/", "/stream/"]
            .iter()
            .any(|path| request.contains(path));
        let key = if is_once {
            id.clone()
        } else {
            format!("repeatable {id}")
        };
        *runs.lock().unwrap().entry(key).or_default() += 1;
        thread::sleep(Duration::from_millis(u64::from(dice % 30)));
        if !request.contains("/stream/") && !request.contains("/resume/") {
            return match dice {
                4..8 => (Vec::new(), AfterResponse::Close),
                8..12 => (
                    response_to(request, "200 OK", &id)[..40].to_vec(),
                    AfterResponse::Close,
                ),
                _ => (response_to(request, "200 OK", &id), AfterResponse::Keep),
            };
        }
        let last = header(request, "last-event-id").map_or(0, |id| id.parse().unwrap());
        let events: Vec<String> = (last + 1..=8)
            .map(|n| format!("id: {n}\ndata: {id}\n\n"))
            .collect();
        let mut parts: Vec<&str> = events.iter().map(String::as_str).collect();
        if dice < 15 && !parts.is_empty() {
            parts.truncate(parts.len() / 2);
            parts.push("id: 99\nda");
            return (
                event_stream_to(request, &parts, false),
                AfterResponse::Close,
            );
        }
        (event_stream_to(request, &parts, true), AfterResponse::Keep)
    };
    StandinRunner::start(move |request, _| {
        let (response, after) = respond(request);
        (with_limit(response, &limit), after)
    })
}

/// Adds the limit to the head of a response.
fn with_limit(response: Vec<u8>, limit: &NamedLimit) -> Vec<u8> {
    let tenths = limit.load(Ordering::Relaxed);
    let head_start = response.windows(2).position(|bytes| bytes == b"\r\n");
    let Some(status_end) = head_start.filter(|_| tenths > 0) else {
        return response;
    };
    let (status, rest) = response.split_at(status_end);
    let header = format!("\r\nserver-limit: {}", f64::from(tenths) / 10.0);
    [status, header.as_bytes(), rest].concat()
}

/// Time limit of a run in which hardly any process runs.
const MAX_RUN: Duration = Duration::from_secs(120);

/// Returns whether a proxy with these faults lets nothing through.
fn is_cut(faults: ProxyFaults) -> bool {
    faults.refuse || faults.drop_requests || faults.drop_answers
}

/// The time in which some instance could serve.
struct ServingClock {
    /// Whether each instance is cut off from the store, and each runner from the instances.
    cut_stores: Vec<bool>,
    cut_runners: Vec<bool>,
    /// For each instance, the number of starts at which it last reached the store.
    synced: Vec<u32>,
    total: Duration,
}

impl ServingClock {
    fn new(instances: usize, runners: usize) -> Self {
        Self {
            cut_stores: vec![false; instances],
            cut_runners: vec![false; runners],
            synced: vec![0; instances],
            total: Duration::ZERO,
        }
    }

    /// Counts the time that passed since the last fault.
    fn note(&mut self, passed: Duration, instances: &[Instance]) {
        let mut can_serve = false;
        for (number, instance) in instances.iter().enumerate() {
            if instance.is_running() && !self.cut_stores[number] {
                self.synced[number] = instance.starts();
            }
            can_serve |= instance.is_running() && self.synced[number] == instance.starts();
        }
        if can_serve && self.cut_runners.iter().any(|is_cut| !is_cut) {
            self.total += passed;
        }
    }
}

/// Results that the callers collected.
#[derive(Default)]
struct CallerResults {
    served: AtomicU32,
    refused: Mutex<Vec<String>>,
    violations: Mutex<Vec<String>>,
}

/// Calls random instances, or only the instance `only`, over reused connections until `stop` is
/// set.
fn run_caller(
    number: usize,
    seed: u64,
    instances: usize,
    only: Option<usize>,
    store: &StandinStore,
    seen: &CallerResults,
    stop: &AtomicBool,
) {
    let mut rng = Pcg64::seed_from_u64(seed * 100 + number as u64);
    let mut connections: BTreeMap<SocketAddr, TcpStream> = BTreeMap::new();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        let random = rng.random_range(0..instances);
        let name = format!("i{}", only.unwrap_or(random));
        let Some(address) = callers_address(store, &name) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        count += 1;
        let id = format!("c{number}-{count}");
        let path = ["unsafe", "safe", "once", "stream", "resume"][rng.random_range(0..5)];
        let request = format!(
            "POST /{path}/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: {id}\r\n\
             Berylmount-Deadline-Ms: 2000\r\nAuthorization: Token k1\r\nContent-Length: 2\r\n\r\nhi"
        );
        let socket = connections
            .remove(&address)
            .or_else(|| TcpStream::connect(address).ok());
        let Some(mut socket) = socket else { continue };
        socket
            .set_read_timeout(Some(Duration::from_secs(4)))
            .unwrap();
        let answer = socket
            .write_all(request.as_bytes())
            .ok()
            .and_then(|()| read_response(&mut socket));
        let Some(answer) = answer else { continue };
        check_answer(&id, path, &answer, seen);
        let closes = header(&answer, "connection").is_some_and(|value| value == "close");
        if !closes && !answer.ends_with("<broken off>") {
            connections.insert(address, socket);
        }
    }
}

/// Checks that one answer is complete and belongs to its request.
fn check_answer(id: &str, path: &str, answer: &str, seen: &CallerResults) {
    let status = &answer[9..12];
    if status == "503" || status == "429" || status == "408" {
        seen.refused.lock().unwrap().push(id.to_owned());
    }
    if status != "200" || answer.ends_with("<broken off>") {
        return;
    }
    let body = answer.split_once("\r\n\r\n").unwrap().1;
    let is_own = match path {
        "stream" | "resume" => {
            let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
            let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
            let ids: Vec<u32> = ids.map(|text| text.parse().unwrap()).collect();
            ids == (1..=8).collect::<Vec<u32>>()
                && data.clone().count() == 8
                && data.clone().all(|d| d == id)
        }
        _ => body == id,
    };
    match is_own {
        true => _ = seen.served.fetch_add(1, Ordering::Relaxed),
        false => seen
            .violations
            .lock()
            .unwrap()
            .push(format!("{id}: {answer}")),
    }
}

/// Injects one random fault; it lasts until it ends by itself or a later one replaces it.
fn inject_random_fault(
    rng: &mut impl Rng,
    instances: &mut [Instance],
    runners: &[(StandinRunner, FaultProxy)],
    store: &StandinStore,
    version: &mut u64,
    backup: &mut Option<StoreBackup>,
    clock: &mut ServingClock,
) {
    let instance = rng.random_range(0..instances.len());
    let runner_number = rng.random_range(0..runners.len());
    let (runner, proxy) = &runners[runner_number];
    let faults = [
        ProxyFaults::default(),
        ProxyFaults {
            refuse: true,
            ..ProxyFaults::default()
        },
        ProxyFaults {
            drop_answers: true,
            ..ProxyFaults::default()
        },
        ProxyFaults {
            drop_requests: true,
            ..ProxyFaults::default()
        },
        ProxyFaults {
            delay_ms: 150,
            ..ProxyFaults::default()
        },
    ];
    let fault = faults[rng.random_range(0..faults.len())];
    match rng.random_range(0..11) {
        0 => instances[instance].restart(),
        1 => instances[instance].signal(Signal::STOP),
        2 => instances[instance].signal(Signal::CONT),
        3 => instances[instance].signal(Signal::TERM),
        4 => {
            instances[instance].store.set(fault);
            clock.cut_stores[instance] = is_cut(fault);
        }
        5 => instances[instance].store.freeze(),
        6 => {
            proxy.set(fault);
            clock.cut_runners[runner_number] = is_cut(fault);
        }
        7 => proxy.freeze(),
        8 => *backup = Some(store.backup()),
        9 => {
            if let Some(backup) = backup.take() {
                store.restore(&backup);
                // The operator and the runners write their entries again after a short delay.
                thread::sleep(Duration::from_millis(rng.random_range(0..300)));
                store.put("config", "main", Some(table(*version, all_routes())));
                register(runners, store);
            }
        }
        _ => {
            *version += 3;
            store.put("config", "main", Some(table(*version, all_routes())));
            let mut entry = runner.entry("svc", "ready");
            entry["Address"] = proxy.address().to_string().into();
            store.put("servers", &format!("r-{version}"), Some(entry));
        }
    }
}

/// Writes the runners' entries to the store.
fn register(runners: &[(StandinRunner, FaultProxy)], store: &StandinStore) {
    for (number, (runner, proxy)) in runners.iter().enumerate() {
        let mut entry = runner.entry("svc", "ready");
        entry["Address"] = proxy.address().to_string().into();
        store.put("servers", &format!("r{number}"), Some(entry));
    }
}

/// Runs the test with one seed and returns the violations.
fn run_seed(seed: u64, plan: &SoakPlan) -> Vec<String> {
    let folder =
        std::env::temp_dir().join(format!("berylmount-soak-{}-{seed}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let store = StandinStore::start();
    let mut version = 1;
    store.put("config", "main", Some(table(version, all_routes())));
    let (runs, limit) = (RunCounts::default(), NamedLimit::default());
    let runners: Vec<_> = (0..RUNNERS)
        .map(|number| {
            let runner = faulty_runner(seed + number as u64, runs.clone(), limit.clone());
            let proxy = FaultProxy::start(runner.address).unwrap();
            (runner, proxy)
        })
        .collect();
    register(&runners, &store);
    let start = |number| Instance::start(&format!("i{number}"), store.address, &folder);
    let mut instances: Vec<Instance> = (0..plan.instances).map(start).collect();
    for number in 0..plan.instances {
        wait_until("entries", || {
            callers_address(&store, &format!("i{number}")).is_some()
        });
    }
    let (seen, stop) = (CallerResults::default(), AtomicBool::new(false));
    thread::scope(|scope| {
        // Paused instances hold up the callers of random ones, so each instance also has a caller
        // of its own.
        let random = CALLERS.max(plan.instances);
        for number in 0..random + plan.instances {
            let (store, seen, stop) = (&store, &seen, &stop);
            let (count, only) = (plan.instances, number.checked_sub(random));
            scope.spawn(move || run_caller(number, seed, count, only, store, seen, stop));
        }
        let mut rng = Pcg64::seed_from_u64(seed);
        // Separate, so that the other faults of a seed do not depend on the limits.
        let mut limit_rng = Pcg64::seed_from_u64(!seed);
        let mut backup = None;
        let mut clock = ServingClock::new(plan.instances, RUNNERS);
        let started = Instant::now();
        let end = started + plan.span + MAX_RUN;
        while clock.total < plan.span && Instant::now() < end {
            let pause = Duration::from_millis(rng.random_range(50..300));
            thread::sleep(pause);
            clock.note(pause, &instances);
            instances.iter_mut().for_each(Instance::revive);
            if limit_rng.random_bool(LIMIT_CHANGE) {
                let tenths = LIMIT_TENTHS[limit_rng.random_range(0..LIMIT_TENTHS.len())];
                limit.store(tenths, Ordering::Relaxed);
            }
            for _ in 0..plan.instances.div_ceil(INSTANCES_PER_FAULT) {
                inject_random_fault(
                    &mut rng,
                    &mut instances,
                    &runners,
                    &store,
                    &mut version,
                    &mut backup,
                    &mut clock,
                );
            }
        }
        stop.store(true, Ordering::Relaxed);
        let (could, took) = (clock.total, started.elapsed());
        println!("seed {seed}: some instance could serve for {could:.1?} of {took:.1?}");
    });
    limit.store(0, Ordering::Relaxed);
    let mut violations = std::mem::take(&mut *seen.violations.lock().unwrap());
    violations.extend(recovery_faults(&mut instances, &runners, &store));
    let runs = runs.lock().unwrap();
    let refused = seen.refused.lock().unwrap();
    let ran = refused.iter().filter(|id| runs.contains_key(*id));
    violations.extend(ran.map(|id| format!("{id} was refused and ran")));
    let twice = runs
        .iter()
        .filter(|(id, count)| !id.starts_with("repeatable") && **count > 1);
    violations.extend(twice.map(|(id, count)| format!("{id} ran {count} times")));
    let served = seen.served.load(Ordering::Relaxed);
    if served == 0 {
        violations.push("nothing was served".to_owned());
    }
    if violations.is_empty() {
        // The logs are needed only after a failure.
        let _ = fs::remove_dir_all(&folder);
    }
    println!("seed {seed}: served {served}, refused {}", refused.len());
    violations
}

/// Ends all faults and returns an error for each instance that doesn't serve afterwards.
fn recovery_faults(
    instances: &mut [Instance],
    runners: &[(StandinRunner, FaultProxy)],
    store: &StandinStore,
) -> Vec<String> {
    for (_, proxy) in runners {
        proxy.set(ProxyFaults::default());
    }
    let mut faults = Vec::new();
    for instance in instances.iter() {
        instance.store.set(ProxyFaults::default());
        instance.signal(Signal::CONT);
    }
    let end = Instant::now() + Duration::from_secs(12);
    for instance in instances {
        let name = instance.name().to_owned();
        let serves = || {
            let request =
                "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nBerylmount-Request-Id: after\r\n\
                           Authorization: Token k1\r\n\r\n";
            let answer =
                callers_address(store, &name).and_then(|address| send_request(address, request));
            answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
        };
        while !serves() {
            instance.revive();
            if Instant::now() > end {
                faults.push(format!("{name} does not serve after the faults"));
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    faults
}

/// Parameters of a soak run.
struct SoakPlan {
    seeds: Vec<u64>,
    /// Duration of the run of each seed.
    span: Duration,
    instances: usize,
}

/// Reads the parameters from the environment, with the defaults that CI uses.
fn plan() -> SoakPlan {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some((first.parse().ok()?..=last.parse().ok()?).collect())
    });
    SoakPlan {
        seeds: seeds.unwrap_or_else(|| vec![1, 2]),
        span: Duration::from_secs(number("SOAK_SECONDS").unwrap_or(3)),
        instances: number("SOAK_INSTANCES").map_or(INSTANCES, |count| count as usize),
    }
}

#[test]
fn guarantees_hold_under_random_faults() {
    let plan = plan();
    for seed in REGRESSIONS.iter().chain(&plan.seeds).copied() {
        let violations = run_seed(seed, &plan);
        assert!(
            violations.is_empty(),
            "seed {seed}: {}",
            violations.join("\n")
        );
        println!("seed {seed}: kept");
    }
}
