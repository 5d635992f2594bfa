//! End-to-end tests of orders; the service's own count of runs is the oracle.

mod common;

use berylmount_ledger::{service_key, unsettled_orders, LedgerDay};
use berylmount_model::{unix_ms, CustomerName, OrderKey};
use berylmount_objects::ObjectStore;
use berylmount_standins::{
    wait_until, FleetConfig, PlatformFaults, ServiceConfig, ServiceFault, TestFleet,
};
use common::{authority_rows, binary, CallerClient};
use serde_json::{json, Value};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Mutex, OnceLock,
    },
    thread,
    time::Duration,
};

/// Number of kills, pauses and platform faults in one run.
const FAULTS: usize = 14;
/// Number of orders that must run between two faults.
const RUNS_BETWEEN: usize = 4;
/// Number of concurrent callers.
const CALLERS: usize = 6;
/// Maximum pause of a caller before it retries.
const MAX_PAUSE: Duration = Duration::from_millis(20);

/// The day on which the tests started, so that keys don't change at midnight.
fn today() -> LedgerDay {
    static DAY: OnceLock<LedgerDay> = OnceLock::new();
    *DAY.get_or_init(|| LedgerDay::of_unix_ms(unix_ms()))
}

fn fleet(instances: usize, service: ServiceConfig) -> TestFleet {
    let config = FleetConfig {
        instances,
        runners: 0,
        services: 2,
        service,
        ..FleetConfig::default()
    };
    // The time limit is shorter than a pause of a dispatch process.
    let rows = authority_rows().replace("field-ledger,no,5000,10000", "field-ledger,no,500,1000");
    TestFleet::start(binary(), config, &rows).unwrap()
}

/// Counts the runs of a customer's key on all instances of the service.
fn runs(fleet: &TestFleet, customer: &str, key: &str) -> u64 {
    let customer = CustomerName::new(customer).unwrap();
    let key = service_key(&customer, &OrderKey::new(key).unwrap()).unwrap();
    let services = fleet.services.iter();
    services.map(|service| service.runs(key.as_str())).sum()
}

fn body(text: &str) -> Value {
    json!({ "work": "work-order", "body": { "blaze": text } })
}

/// Returns the keys of the orders that an operator sees as unsettled.
fn unsettled(fleet: &TestFleet) -> Vec<String> {
    let store: &dyn ObjectStore = fleet.platform.store();
    let days = [today().minus(1), today()].into_iter();
    let entries = days.flat_map(|day| unsettled_orders(store, day, u64::MAX).unwrap());
    entries.map(|entry| entry.key.to_string()).collect()
}

#[test]
fn a_repeated_order_runs_once_and_crossed_keys_are_refused() {
    let fleet = fleet(2, ServiceConfig::default());
    let key = format!("{}-repeat", today());
    let north = CallerClient::new(fleet.callers(0), "north-crew");
    let north_elsewhere = CallerClient::new(fleet.callers(1), "north-crew");
    let south = CallerClient::new(fleet.callers(1), "south-crew");
    let (status, first) = north.order(&key, &body("a"));
    assert_eq!((status, &first["echo"]), (200, &json!({ "blaze": "a" })));
    assert_eq!(north_elsewhere.order(&key, &body("a")), (200, first));
    let (_, refusal) = north_elsewhere.order(&key, &body("b"));
    assert_eq!(
        (&refusal["reason"], &refusal["verdict"]),
        (&json!("key_mismatch"), &json!("not_run"))
    );
    assert_eq!(south.order(&key, &body("b")).0, 200);
    assert_eq!(
        (
            runs(&fleet, "north-crew", &key),
            runs(&fleet, "south-crew", &key)
        ),
        (1, 1)
    );
    for (key, reason, verdict) in [
        (
            format!("{}-old", today().minus(40)),
            "key_expired",
            "may_have_run",
        ),
        (format!("{}-new", today().plus(3)), "bad_request", "not_run"),
        ("undated-key".to_owned(), "bad_request", "not_run"),
    ] {
        let (_, refusal) = north.order(&key, &body("a"));
        assert_eq!(
            (&refusal["reason"], &refusal["verdict"]),
            (&json!(reason), &json!(verdict))
        );
        assert_eq!(runs(&fleet, "north-crew", &key), 0);
    }
    let (status, fresh) = common::answer(north.post("/v1/order-keys", &json!({})));
    assert_eq!(status, 200);
    assert_eq!(
        north.order(fresh["key"].as_str().unwrap(), &body("c")).0,
        200
    );
}

#[test]
fn an_outage_refuses_new_orders_and_keeps_pending_outcomes() {
    let fleet = fleet(
        2,
        ServiceConfig {
            call_ms: 300,
            ..ServiceConfig::default()
        },
    );
    let (owed, fresh) = (format!("{}-owed", today()), format!("{}-fresh", today()));
    let caller = CallerClient::new(fleet.callers(0), "north-crew");
    let answer = thread::scope(|scope| {
        let order = scope.spawn(|| caller.order(&owed, &body("a")));
        wait_until("the intent", || unsettled(&fleet).contains(&owed));
        fleet.platform.store().set_outage(true);
        order.join().unwrap()
    });
    assert_eq!(answer.0, 200);
    let (_, refusal) = caller.order(&fresh, &body("a"));
    assert_eq!(refusal["reason"], "platform_unavailable");
    assert_eq!(refusal["verdict"], "not_run");
    assert!(refusal["retry_after_ms"].as_u64().unwrap() > 0);
    assert_eq!(runs(&fleet, "north-crew", &fresh), 0);
    fleet.platform.store().set_outage(false);
    wait_until("the owed outcome", || !unsettled(&fleet).contains(&owed));
    let elsewhere = CallerClient::new(fleet.callers(1), "north-crew");
    assert_eq!(elsewhere.order(&owed, &body("a")), answer);
    wait_until("new orders", || {
        elsewhere.order(&fresh, &body("a")).0 == 200
    });
    assert_eq!(
        (
            runs(&fleet, "north-crew", &owed),
            runs(&fleet, "north-crew", &fresh)
        ),
        (1, 1)
    );
}

#[test]
fn an_operator_settles_what_no_look_up_can() {
    let fleet = fleet(
        1,
        ServiceConfig {
            look_up: false,
            ..ServiceConfig::default()
        },
    );
    fleet
        .services
        .iter()
        .for_each(|s| s.inject(ServiceFault::DropAnswer, 1));
    let key = format!("{}-lost", today());
    let caller = CallerClient::new(fleet.callers(0), "north-crew");
    let (_, refusal) = caller.order(&key, &body("a"));
    assert_eq!(
        (&refusal["reason"], &refusal["verdict"]),
        (&json!("outcome_unknown"), &json!("may_have_run"))
    );
    let (_, again) = caller.order(&key, &body("a"));
    assert_eq!(again["verdict"], "may_have_run");
    assert_eq!(runs(&fleet, "north-crew", &key), 1);

    let settings = fleet.settings(0);
    let operate = |words: &[&str]| {
        let first = ["orders", "--settings", settings.to_str().unwrap()];
        fleet.operate(&[&first, words].concat())
    };
    let (listed, text) = operate(&["list-unsettled"]);
    assert!(listed && text.contains(&key), "{text}");
    let settle = [
        "settle",
        "north-crew",
        &key,
        "not-run",
        "--note",
        "asked the clerk",
    ];
    let (accepted, text) = operate(&settle);
    assert!(
        !accepted && text.contains("--checked-with-service"),
        "{text}"
    );
    let (accepted, text) = operate(&[&settle[..], &["--checked-with-service"]].concat());
    assert!(!accepted && text.contains("too young"), "{text}");
    let settle = [
        "settle",
        "north-crew",
        &key,
        "ran",
        "--note",
        "asked the clerk",
    ];
    let (accepted, text) = operate(&settle);
    assert!(
        accepted && text.contains("ran, reported by an operator: asked the clerk"),
        "{text}"
    );
    let (accepted, text) = operate(&settle);
    assert!(accepted, "settling again is safe: {text}");
    let (_, text) = operate(&["list-unsettled"]);
    assert!(text.contains("0 orders without outcome"), "{text}");
    assert_eq!(caller.order(&key, &body("a")).1["verdict"], "ran");
    assert_eq!(runs(&fleet, "north-crew", &key), 1);
}

/// The final answer that a caller got for a key.
#[derive(Clone, Debug, PartialEq)]
enum FinalAnswer {
    Ran(Value),
    /// The caller stopped retrying.
    NotRun,
    MayHaveRun,
}

/// State that the callers of a run share.
struct CallerGroup {
    entries: Mutex<Vec<SocketAddr>>,
    answers: AtomicUsize,
    ran: AtomicUsize,
    /// Whether no more faults are injected.
    calm: AtomicBool,
}

impl CallerGroup {
    /// Sends one order to the entries in turn until its outcome is known.
    ///
    /// "Not run" refers only to the call that it answers, so a caller stops on it
    /// only if no earlier call with the key may have run.
    fn send_until_settled(&self, place: usize, key: &str, gives_up: bool) -> FinalAnswer {
        let (mut calm_tries, mut may_have_run) = (0, false);
        for round in place.. {
            let entries = self.entries.lock().unwrap().clone();
            let caller = CallerClient::new(entries[round % entries.len()], "north-crew");
            let calm = self.calm.load(Ordering::SeqCst);
            let (status, answer) = caller.order(key, &body(key));
            self.answers.fetch_add(1, Ordering::SeqCst);
            calm_tries += usize::from(calm);
            match (status, answer["verdict"].as_str()) {
                (200, _) => {
                    self.ran.fetch_add(1, Ordering::SeqCst);
                    return FinalAnswer::Ran(answer);
                }
                (_, Some("not_run")) if gives_up && !may_have_run => return FinalAnswer::NotRun,
                (_, Some("may_have_run")) if calm_tries > 6 => return FinalAnswer::MayHaveRun,
                (_, Some("ran")) => panic!("ran, but without an answer: {answer}"),
                (_, verdict) => may_have_run |= verdict != Some("not_run"),
            }
            let pause = Duration::from_millis(answer["retry_after_ms"].as_u64().unwrap_or(0));
            thread::sleep(pause.min(MAX_PAUSE));
        }
        unreachable!()
    }
}

/// Injects one fault, waits for some answers, and ends the fault where possible.
fn inject(fleet: &mut TestFleet, group: &CallerGroup, draw: usize) {
    let place = draw / 8 % fleet.entries.len();
    let wait_for = |what: &str, counter: &AtomicUsize, count: usize| {
        let start = counter.load(Ordering::SeqCst);
        wait_until(what, || counter.load(Ordering::SeqCst) >= start + count);
    };
    let progress = |count| wait_for("answers of any kind", &group.answers, count);
    match draw % 8 {
        0 | 1 => {
            fleet.dispatches[place].kill();
            progress(2);
            fleet.restart_dispatch(place).unwrap();
        }
        2 => {
            fleet.entries[place].kill();
            progress(2);
            fleet.restart_entry(place).unwrap();
            group.entries.lock().unwrap()[place] = fleet.callers(place);
        }
        3 | 4 => {
            fleet.dispatches[place].signal("STOP").unwrap();
            progress(4);
            fleet.dispatches[place].signal("CONT").unwrap();
        }
        6 => {
            fleet.dispatches[place].signal("TERM").unwrap();
            progress(2);
            fleet.dispatches[place].wait().unwrap();
            fleet.restart_dispatch(place).unwrap();
        }
        5 => {
            let faults = PlatformFaults {
                lose_answers: 4,
                ..PlatformFaults::default()
            };
            fleet.platform.set_faults(faults);
        }
        _ => {
            fleet.platform.store().set_outage(true);
            progress(6);
            fleet.platform.store().set_outage(false);
        }
    }
    wait_for("orders that ran", &group.ran, RUNS_BETWEEN);
}

#[test]
fn orders_run_at_most_once_through_kills_pauses_and_lost_answers() {
    let seed = std::env::var("BERYLMOUNT_SEED").map_or(7, |seed| seed.parse().unwrap());
    let mut fleet = fleet(
        3,
        ServiceConfig {
            call_ms: 60,
            ..ServiceConfig::default()
        },
    );
    let group = CallerGroup {
        entries: Mutex::new((0..3).map(|place| fleet.callers(place)).collect()),
        answers: AtomicUsize::new(0),
        ran: AtomicUsize::new(0),
        calm: AtomicBool::new(false),
    };
    let told: Vec<(String, FinalAnswer)> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let group = &group;
                scope.spawn(move || {
                    let calm = || group.calm.load(Ordering::SeqCst);
                    let numbers = (0..).take_while(|_| !calm());
                    let send_until_settled = |number: usize| {
                        let key = format!("{}-c{caller}n{number}", today());
                        let told = group.send_until_settled(caller + number, &key, number % 3 == 2);
                        (key, told)
                    };
                    numbers.map(send_until_settled).collect::<Vec<_>>()
                })
            })
            .collect();
        let mut draw: u64 = seed;
        for _ in 0..FAULTS {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            inject(&mut fleet, &group, (draw >> 33) as usize);
        }
        fleet.platform.set_faults(PlatformFaults::default());
        group.calm.store(true, Ordering::SeqCst);
        let told = callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap());
        told.collect()
    });
    for (key, told) in &told {
        let runs = runs(&fleet, "north-crew", key);
        match told {
            FinalAnswer::Ran(answer) => {
                assert_eq!((runs, &answer["echo"]["blaze"]), (1, &json!(key)), "{key}");
            }
            FinalAnswer::NotRun => assert_eq!(runs, 0, "{key} was told not run"),
            FinalAnswer::MayHaveRun => {
                assert!(runs <= 1, "{key} ran {runs} times");
                assert!(
                    unsettled(&fleet).contains(key),
                    "{key} is not listed as unsettled"
                );
            }
        }
    }
    let count = |is: fn(&FinalAnswer) -> bool| told.iter().filter(|(_, told)| is(told)).count();
    println!(
        "seed {seed}: {} ran, {} not run, {} may have run, {} answers",
        count(|told| matches!(told, FinalAnswer::Ran(_))),
        count(|told| *told == FinalAnswer::NotRun),
        count(|told| *told == FinalAnswer::MayHaveRun),
        group.answers.load(Ordering::SeqCst),
    );
}
