//! The ledger with its threads, and the corners that fuzzing does not reach.

use berylmount_ledger::{
    change_once, decode_segment, expire_day, read_entry, settle_entry, unsettled_orders,
    verify_segment, BeginOutcome, BodyDigest, ChangeReply, ChangeRequest, DayExpiry, KeyPlace,
    LedgerChange, LedgerConfig, LedgerDay, LedgerTime, OrderIntent, OrderLedger, OrderOutcome,
    OrderState, OutcomeSource, RecordedAnswer, SegmentName, WriterNonce, MAX_ANSWER_BYTES,
    SEGMENT_ENTRIES,
};
use berylmount_model::{
    CustomerName, OrderKey, PoolName,
    RefusalReason::{self, KeyExpired, PlatformUnavailable},
    RequestVerdict, WorkName,
};
use berylmount_objects::{CallKind, ObjectStore, MAX_VALUE_BYTES};
use berylmount_standins::{wait_until, MemoryStore, WriteFault};
use proptest::{prelude::*, test_runner::TestRunner};
use std::{sync::Arc, thread, time::Duration};

const UNIX_MS: u64 = 1_796_342_400_000;
const TIME: LedgerTime = LedgerTime {
    now_ms: 0,
    unix_ms: UNIX_MS,
};

fn order(key: &str) -> OrderIntent {
    OrderIntent {
        customer: CustomerName::new("north").unwrap(),
        key: OrderKey::new(key).unwrap(),
        work: WorkName::new("certify").unwrap(),
        pool: PoolName::new("records").unwrap(),
        body: BodyDigest::of(b"board 12"),
    }
}

fn ledger(store: &Arc<MemoryStore>) -> OrderLedger {
    let config = LedgerConfig {
        probe_ms: 20,
        ..LedgerConfig::new(1)
    };
    OrderLedger::new(store.clone(), config).unwrap()
}

fn state(store: &MemoryStore, order: &OrderIntent) -> Option<OrderState> {
    let entry = read_entry(store, &order.customer, &order.key).unwrap();
    entry.map(|entry| entry.state)
}

fn fresh(ledger: &OrderLedger, order: &OrderIntent) -> berylmount_ledger::IntentToken {
    match ledger.begin(order, TIME) {
        Ok(BeginOutcome::Fresh(token)) => token,
        other => panic!("{other:?}"),
    }
}

fn not_run() -> Option<OrderState> {
    let source = OutcomeSource::Writer;
    Some(OrderState::NotRun { source })
}

#[test]
fn a_permission_that_is_late_or_dropped_gives_the_key_back() {
    let store = Arc::new(MemoryStore::default());
    let ledger = ledger(&store);
    let order = order("20261204-1");
    assert!(fresh(&ledger, &order).permit(60_000).is_none());
    wait_until("the late one's abandon", || {
        state(&store, &order) == not_run()
    });
    drop(fresh(&ledger, &order));
    wait_until("the dropped one's abandon", || {
        state(&store, &order) == not_run()
    });
    let sent = fresh(&ledger, &order).permit(1).unwrap();
    let sent = sent.not_sent().permit(2).unwrap();
    let again = ledger.begin(&order, TIME).unwrap();
    assert!(matches!(again, BeginOutcome::Unknown(_)));
    drop(sent);
    let again = ledger.begin(&order, TIME).unwrap();
    assert!(
        matches!(again, BeginOutcome::Unknown(_)),
        "a used permission stays used"
    );
}

#[test]
fn an_outage_refuses_at_once_and_owed_outcomes_follow() {
    let store = Arc::new(MemoryStore::default());
    let ledger = ledger(&store);
    let (owed, new) = (order("20261204-1"), order("20261204-2"));
    let sent = fresh(&ledger, &owed).permit(1).unwrap();
    store.set_outage(true);
    let answer = RecordedAnswer::of("certified");
    sent.finish(OrderOutcome::Ran(Some(answer.clone())));
    let refusal = ledger.begin(&new, TIME).unwrap_err();
    assert_eq!(refusal.verdict, RequestVerdict::NotRun);
    assert_eq!(refusal.reason, PlatformUnavailable);
    assert!(refusal.retry_after_ms > 0);
    let refusal = ledger.begin(&owed, TIME).unwrap_err();
    assert_eq!(refusal.reason, PlatformUnavailable);
    assert_eq!(
        refusal.verdict,
        RequestVerdict::MayHaveRun,
        "the key was seen"
    );
    wait_until("the lane to know", || {
        ledger.is_down() && ledger.owed() == 1
    });
    store.set_outage(false);
    wait_until("the owed outcome", || ledger.owed() == 0);
    let again = ledger.begin(&owed, TIME).unwrap();
    assert!(matches!(again, BeginOutcome::Finished(Some(found)) if found == answer));
    assert_eq!(state(&store, &new), None);
    wait_until("new orders", || ledger.begin(&new, TIME).is_ok());
    ledger.stop(Duration::from_secs(5));
    assert!(ledger.begin(&order("20261204-3"), TIME).is_err(), "stopped");
}

#[test]
fn a_stop_writes_what_is_owed() {
    let store = Arc::new(MemoryStore::default());
    let ledger = ledger(&store);
    let orders: Vec<_> = (0..40).map(|n| order(&format!("20261204-{n}"))).collect();
    for order in &orders {
        let sent = fresh(&ledger, order).permit(1).unwrap();
        store.add_write_fault(WriteFault::LoseAnswer);
        sent.finish(OrderOutcome::Ran(None));
    }
    ledger.stop(Duration::from_secs(20));
    let ran = |order| matches!(state(&store, order), Some(OrderState::Ran { .. }));
    assert!(orders.iter().all(ran));
}

#[test]
fn keys_outside_the_served_days_are_refused() {
    let store = Arc::new(MemoryStore::default());
    let ledger = ledger(&store);
    let refusals = [
        "undated-1",
        "20261204",
        "20261232-1",
        "20261206-1",
        "20261119-1",
    ];
    let refusals = refusals.map(|key| {
        let refusal = ledger.begin(&order(key), TIME).unwrap_err();
        format!("{key}: {refusal}")
    });
    insta::assert_snapshot!(refusals.join("\n"), @r"
    undated-1: bad_request (not_run): an order key starts with its date, YYYYMMDD, and '-'
    20261204: bad_request (not_run): an order key starts with its date, YYYYMMDD, and '-'
    20261232-1: bad_request (not_run): an order key starts with its date, YYYYMMDD, and '-'
    20261206-1: bad_request (not_run): the order key's date lies in the future
    20261119-1: key_expired (may_have_run): the order key's date is older than orders are kept
    ");
    assert!(ledger.begin(&order("20261205-1"), TIME).is_ok());
    assert!(ledger.begin(&order("20261120-1"), TIME).is_ok());
}

#[test]
fn a_settlement_needs_the_attempt_it_saw_and_its_age() {
    let store = Arc::new(MemoryStore::default());
    let ledger = ledger(&store);
    let config = LedgerConfig::new(2);
    let order = order("20261204-1");
    let late_ms = UNIX_MS + config.settle_min_age_ms;
    let settle = |entry: &_, outcome, unix_ms| {
        let source = OutcomeSource::operator("asked the clerk");
        settle_entry(store.as_ref(), config, entry, outcome, source, unix_ms).unwrap()
    };
    let first = fresh(&ledger, &order).permit(1).unwrap();
    let entry = read_entry(store.as_ref(), &order.customer, &order.key);
    let entry = entry.unwrap().unwrap();
    assert_eq!(
        settle(&entry, OrderOutcome::NotRun, UNIX_MS + 1),
        ChangeReply::TooYoung
    );
    assert_eq!(
        settle(&entry, OrderOutcome::NotRun, late_ms),
        ChangeReply::Recorded
    );
    assert_eq!(
        settle(&entry, OrderOutcome::NotRun, late_ms),
        ChangeReply::Recorded
    );
    let second = fresh(&ledger, &order).permit(1).unwrap();
    assert_eq!(
        settle(&entry, OrderOutcome::Ran(None), late_ms),
        ChangeReply::AttemptMoved
    );
    // The operator was wrong; the first attempt may not touch the second's entry.
    first.finish(OrderOutcome::Ran(Some(RecordedAnswer::of("first"))));
    second.finish(OrderOutcome::Ran(Some(RecordedAnswer::of("second"))));
    ledger.stop(Duration::from_secs(5));
    let Some(OrderState::Ran { answer, .. }) = state(&store, &order) else {
        panic!("no outcome")
    };
    assert_eq!(answer, Some(RecordedAnswer::of("second")));
    assert_eq!(
        settle(&entry, OrderOutcome::NotRun, late_ms),
        ChangeReply::AttemptMoved
    );
}

#[test]
fn an_expired_day_cannot_be_started_by_a_lagging_clock() {
    let store = Arc::new(MemoryStore::default());
    let ledger = ledger(&store);
    let config = LedgerConfig::new(2);
    let order = order("20261204-1");
    let sent = fresh(&ledger, &order).permit(1).unwrap();
    let day = LedgerDay::parse("20261204").unwrap();
    let expire = |today| expire_day(store.as_ref(), config, day, today).unwrap();
    assert_eq!(expire(day.plus(16)), DayExpiry::Kept);
    assert_eq!(expire(day.plus(17)), DayExpiry::Unsettled(1));
    sent.finish(OrderOutcome::Ran(None));
    wait_until("the outcome", || {
        unsettled_orders(store.as_ref(), day, u64::MAX)
            .unwrap()
            .is_empty()
    });
    assert_eq!(expire(day.plus(17)), DayExpiry::Expired(0));
    // One process knows the segments from before, the other does not.
    let elsewhere = self::ledger(&store);
    for (ledger, key) in [(&elsewhere, "20261204-1"), (&ledger, "20261204-29")] {
        let refusal = ledger.begin(&self::order(key), TIME).unwrap_err();
        let told = (refusal.reason, refusal.verdict);
        assert_eq!(told, (KeyExpired, RequestVerdict::MayHaveRun));
    }
}

#[test]
fn malformed_segments_refuse_their_orders_and_no_others() {
    let store = Arc::new(MemoryStore::default());
    let ledger = ledger(&store);
    let (bad, good) = (order("20261204-1"), order("20261204-2"));
    let root = bad.place().unwrap().root();
    assert_ne!(root, good.place().unwrap().root());
    for value in [
        &b"{"[..],
        b"[]",
        b"{\"sealed\":false,\"expired\":false,\"entries\":[{}]}",
        b"\xff",
    ] {
        store.corrupt(&root.to_string(), value);
        let refusal = ledger.begin(&bad, TIME).unwrap_err();
        assert_eq!(
            (refusal.reason, refusal.verdict),
            (RefusalReason::Internal, RequestVerdict::MayHaveRun)
        );
    }
    assert!(ledger.begin(&good, TIME).is_ok());
}

#[test]
fn damaged_segments_are_refused_or_well_formed() {
    let store = Arc::new(MemoryStore::default());
    let ledger = ledger(&store);
    let order = order("20261204-1");
    drop(fresh(&ledger, &order).permit(1));
    let root = order.place().unwrap().root();
    let whole = store.get(&root.to_string()).unwrap().unwrap().value;
    assert!(decode_segment(root, &whole).is_ok());
    let damage = (0..whole.len(), any::<u8>(), any::<bool>());
    let result = TestRunner::deterministic().run(&damage, |(at, byte, cut)| {
        let mut bytes = whole.clone();
        bytes[at] = byte;
        bytes.truncate(if cut { at } else { bytes.len() });
        if let Ok(body) = decode_segment(root, &bytes) {
            prop_assert!(!cut && verify_segment(root, &body).is_ok());
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn the_fullest_segment_fits_a_platform_value() {
    let store = MemoryStore::default();
    let config = LedgerConfig::new(1);
    let text = |length| "k".repeat(length);
    let day = LedgerDay::parse("20261204").unwrap();
    let root = SegmentName::roots(day).next().unwrap();
    let mut orders = (0..).filter_map(|n: u32| {
        let intent = OrderIntent {
            customer: CustomerName::new(&text(96)).unwrap(),
            work: WorkName::new(&text(96)).unwrap(),
            pool: PoolName::new(&text(96)).unwrap(),
            ..order(&format!("20261204-{n:087}"))
        };
        (intent.place().unwrap().root() == root).then_some(intent)
    });
    for count in 0..=SEGMENT_ENTRIES {
        let intent = orders.next().unwrap();
        let request = |change| ChangeRequest {
            place: KeyPlace::of(&intent.customer, &intent.key).unwrap(),
            customer: intent.customer.clone(),
            key: intent.key.clone(),
            nonce: WriterNonce {
                origin: u64::MAX,
                count: count as u64,
            },
            unix_ms: u64::MAX,
            change,
        };
        let answer = RecordedAnswer::of(&text(MAX_ANSWER_BYTES - 2));
        assert!(answer.text.is_some());
        let outcome = OrderOutcome::Ran(Some(answer));
        for change in [
            LedgerChange::Begin(intent.clone()),
            LedgerChange::Finish(outcome),
        ] {
            assert_eq!(
                change_once(&store, config, request(change)),
                ChangeReply::Recorded
            );
        }
    }
    let stored = store.get(&root.to_string()).unwrap().unwrap();
    let body = decode_segment(root, &stored.value).unwrap();
    assert!(body.sealed && body.entries.len() == SEGMENT_ENTRIES);
    assert!(
        stored.value.len() < MAX_VALUE_BYTES,
        "{} bytes",
        stored.value.len()
    );
    assert_eq!(
        store.list("ledger/").unwrap().len(),
        2,
        "the next order is in a child"
    );
}

#[test]
fn many_callers_share_writes() {
    let store = Arc::new(MemoryStore::default());
    let ledger = ledger(&store);
    let late = LedgerTime { now_ms: 1, ..TIME };
    thread::scope(|scope| {
        for caller in 0..16 {
            let ledger = &ledger;
            scope.spawn(move || {
                for number in 0..8 {
                    let order = order(&format!("20261204-{caller}-{number}"));
                    let outcome = ledger.begin(&order, late).unwrap();
                    let BeginOutcome::Fresh(token) = outcome else {
                        panic!("a new key is fresh")
                    };
                    token.permit(2).unwrap().finish(OrderOutcome::Ran(None));
                }
            });
        }
    });
    ledger.stop(Duration::from_secs(5));
    let day = LedgerDay::parse("20261204").unwrap();
    assert!(unsettled_orders(store.as_ref(), day, u64::MAX)
        .unwrap()
        .is_empty());
    assert!(store.counts().calls(CallKind::Put) <= 2 * 16 * 8);
}
