//! One order against a service stand-in and a platform in memory.

use berylmount_dispatch::{
    run_order, sweep_share, DispatchParts, DispatchShared, OrderTargets, SweepReport,
};
use berylmount_ledger::{
    unsettled_orders, BeginOutcome, BodyDigest, LedgerConfig, LedgerDay, LedgerTime, OrderIntent,
    OrderLedger, RecordedAnswer, MAX_ANSWER_BYTES,
};
use berylmount_model::{
    unix_ms, CustomerName, DataCentre, InstanceName, InstanceRecord, InstanceRole, InstanceState,
    MonotonicClock, OrderKey, PoolName, RefusalReason, RequestId, RequestVerdict, WorkName,
};
use berylmount_settings::ProcessSettings;
use berylmount_standins::{MemoryStore, ServiceConfig, ServiceFault, ServiceServer};
use berylmount_table::TableReplica;
use berylmount_targets::TargetTimeouts;
use berylmount_telemetry::MetricSet;
use berylmount_wire::{AnswerBody, OrderCall};
use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

type OrderResult = Result<AnswerBody, berylmount_model::CallRefusal>;

/// The day on which the tests started, so that midnight changes no key.
fn today() -> LedgerDay {
    static DAY: OnceLock<LedgerDay> = OnceLock::new();
    *DAY.get_or_init(|| LedgerDay::of_unix_ms(unix_ms()))
}

/// A ledger, two service instances and a clock.
struct OrderBench {
    store: Arc<MemoryStore>,
    ledger: OrderLedger,
    services: [ServiceServer; 2],
}

impl OrderBench {
    fn new(service: &ServiceConfig) -> Self {
        let store = Arc::new(MemoryStore::default());
        Self {
            ledger: OrderLedger::new(store.clone(), LedgerConfig::new(1)).unwrap(),
            store,
            services: [(); 2].map(|()| ServiceServer::start(service).unwrap()),
        }
    }

    fn run(&self, call: &OrderCall) -> OrderResult {
        let addresses = self.services.each_ref().map(ServiceServer::address);
        let targets = OrderTargets {
            addresses: &addresses,
            timeouts: TargetTimeouts::default(),
            on_fault: &|_, _| {},
        };
        run_order(&self.ledger, &targets, &MonotonicClock::start(), call)
    }

    fn inject(&self, fault: ServiceFault, count: u64) {
        self.services.iter().for_each(|s| s.inject(fault, count));
    }

    fn runs(&self) -> [u64; 2] {
        let key = berylmount_ledger::service_key(&call("").customer, &call("").key).unwrap();
        self.services.each_ref().map(|s| s.runs(key.as_str()))
    }
}

fn call(body: &str) -> OrderCall {
    OrderCall {
        request: RequestId::new(1, 1),
        customer: CustomerName::new("north").unwrap(),
        work: WorkName::new("certify").unwrap(),
        pool: PoolName::new("records").unwrap(),
        key: OrderKey::new(&format!("{}-1", today())).unwrap(),
        body: format!("\"{body}\""),
        total_ms: 2_000,
        traceparent: String::new(),
    }
}

fn told(result: &OrderResult) -> (RefusalReason, RequestVerdict) {
    let refusal = result.as_ref().unwrap_err();
    (refusal.reason, refusal.verdict)
}

const UNKNOWN: (RefusalReason, RequestVerdict) =
    (RefusalReason::OutcomeUnknown, RequestVerdict::MayHaveRun);

#[test]
fn another_instance_is_tried_only_after_a_call_that_did_not_run() {
    let bench = OrderBench::new(&ServiceConfig::default());
    bench.inject(ServiceFault::FailBefore, 1);
    let refused = bench.run(&call("a"));
    assert_eq!(
        told(&refused),
        (RefusalReason::TargetFailed, RequestVerdict::NotRun)
    );
    bench.services[0].inject(ServiceFault::FailBefore, 1);
    assert!(
        !bench.run(&call("a")).unwrap().recorded,
        "a new call runs it"
    );
    assert_eq!(bench.runs(), [0, 1]);
    assert!(bench.run(&call("a")).unwrap().recorded);
    assert_eq!(bench.runs(), [0, 1]);
}

#[test]
fn a_lost_answer_is_looked_up_and_never_run_again() {
    let bench = OrderBench::new(&ServiceConfig::default());
    bench.services[0].inject(ServiceFault::DropAnswer, 1);
    assert!(!bench.run(&call("a")).unwrap().recorded, "found by look-up");
    assert!(bench.run(&call("a")).unwrap().recorded);
    assert_eq!(bench.runs(), [1, 0]);

    let bench = OrderBench::new(&ServiceConfig {
        look_up: false,
        ..ServiceConfig::default()
    });
    bench.services[0].inject(ServiceFault::FailAfter, 1);
    for _ in 0..3 {
        assert_eq!(told(&bench.run(&call("a"))), UNKNOWN);
    }
    assert_eq!(told(&bench.run(&call("b"))).0, RefusalReason::KeyMismatch);
    assert_eq!(bench.runs(), [1, 0]);
}

#[test]
fn a_silent_service_is_left_alone_until_a_look_up_finds_the_order() {
    let bench = OrderBench::new(&ServiceConfig {
        call_ms: 600,
        ..ServiceConfig::default()
    });
    let short = OrderCall {
        total_ms: 100,
        ..call("a")
    };
    assert_eq!(
        told(&bench.run(&short)),
        UNKNOWN,
        "a look-up too early proves nothing"
    );
    assert_eq!(
        told(&bench.run(&short)),
        UNKNOWN,
        "and does not let it run again"
    );
    berylmount_standins::wait_until("the run", || bench.runs() == [1, 0]);
    assert!(bench.run(&short).unwrap().recorded);
    assert_eq!(bench.runs(), [1, 0]);
}

#[test]
fn a_long_answer_is_fetched_again_or_told_of() {
    let long = "x".repeat(2 * MAX_ANSWER_BYTES);
    let bench = OrderBench::new(&ServiceConfig::default());
    let first = bench.run(&call(&long)).unwrap();
    assert_eq!(bench.run(&call(&long)).unwrap().body, first.body);
    let bench = OrderBench::new(&ServiceConfig {
        look_up: false,
        ..ServiceConfig::default()
    });
    bench.run(&call(&long)).unwrap();
    let refusal = bench.run(&call(&long)).unwrap_err();
    assert_eq!(refusal.verdict, RequestVerdict::Ran);
    assert!(refusal.detail.contains("too long to keep"), "{refusal}");
    assert_eq!(bench.runs(), [1, 0]);
}

#[test]
fn an_order_without_time_or_target_gives_its_key_back() {
    let bench = OrderBench::new(&ServiceConfig::default());
    let late = OrderCall {
        total_ms: 0,
        ..call("a")
    };
    assert_eq!(
        told(&bench.run(&late)),
        (RefusalReason::TimedOut, RequestVerdict::NotRun)
    );
    let malformed = OrderCall {
        body: "{".to_owned(),
        ..call("a")
    };
    assert_eq!(
        told(&bench.run(&malformed)),
        (RefusalReason::BadRequest, RequestVerdict::NotRun)
    );
    let nowhere = OrderTargets {
        addresses: &[],
        timeouts: TargetTimeouts::default(),
        on_fault: &|_, _| {},
    };
    let result = run_order(
        &bench.ledger,
        &nowhere,
        &MonotonicClock::start(),
        &call("a"),
    );
    assert_eq!(
        told(&result),
        (RefusalReason::NoTarget, RequestVerdict::NotRun)
    );
    assert!(bench.run(&call("a")).is_ok());
    assert_eq!(bench.runs(), [1, 0]);
}

#[test]
fn a_sweep_settles_what_the_service_knows_and_counts_the_rest() {
    let bench = OrderBench::new(&ServiceConfig::default());
    let own: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let record = |name: &str, role, pool: &str, address| InstanceRecord {
        name: InstanceName::new(name).unwrap(),
        role,
        pool: PoolName::new(pool).unwrap(),
        data_centre: DataCentre::new("ridge-north").unwrap(),
        address,
        caller_address: None,
        state: InstanceState::Live,
    };
    let service = bench.services[0].address();
    let records = [
        record("dispatch-0", InstanceRole::Dispatch, "dispatch", own),
        record("records-0", InstanceRole::Service, "records", service),
    ];
    bench.store.set_instances(&records);
    let old = LedgerTime {
        now_ms: 0,
        unix_ms: unix_ms() - 60_000,
    };
    let begin = |key: &str| {
        let intent = OrderIntent {
            customer: call("").customer,
            key: OrderKey::new(key).unwrap(),
            work: call("").work,
            pool: call("").pool,
            body: BodyDigest::of(b"\"a\""),
        };
        match bench.ledger.begin(&intent, old) {
            Ok(BeginOutcome::Fresh(token)) => drop(token.permit(1).unwrap()),
            other => panic!("{other:?}"),
        }
        intent
    };
    let ran = begin(call("").key.as_str());
    begin(&format!("{}-2", today()));
    let client = berylmount_targets::ServiceClient::new(service, TargetTimeouts::default());
    let key = berylmount_ledger::service_key(&ran.customer, &ran.key).unwrap();
    let answer = client
        .call(&key, &"a".into(), Duration::from_secs(5))
        .unwrap();

    let settings = include_str!("orders.settings.json");
    let settings = ProcessSettings::parse(settings).unwrap();
    let metrics = Arc::new(MetricSet::new().unwrap());
    let parts = DispatchParts {
        settings,
        store: bench.store.clone(),
        table: Arc::new(TableReplica::new(0)),
        metrics,
        clock: MonotonicClock::start(),
        seed: 1,
    };
    let (shared, _wishes) = DispatchShared::new(parts).unwrap();
    shared.roster.apply_list(&records);
    let sweep = |own| sweep_share(&shared, own).unwrap();
    assert_eq!(sweep(service), SweepReport::default(), "not its share");
    assert_eq!(
        sweep(own),
        SweepReport {
            settled: 1,
            unsettled: 1
        }
    );
    assert_eq!(
        sweep(own),
        SweepReport {
            settled: 0,
            unsettled: 1
        }
    );
    let day = today();
    assert_eq!(
        unsettled_orders(bench.store.as_ref(), day, u64::MAX)
            .unwrap()
            .len(),
        1
    );
    let again = shared.ledger.begin(&ran, old).unwrap();
    let recorded = Some(RecordedAnswer::of(&answer.to_string()));
    assert!(matches!(again, BeginOutcome::Finished(found) if found == recorded));
}
