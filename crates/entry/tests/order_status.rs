//! Orders without outcome in the operators' status.

use berylmount_entry::{order_part, StatusLevel};
use berylmount_ledger::{
    BeginOutcome, BodyDigest, LedgerConfig, LedgerDay, LedgerTime, OrderIntent, OrderLedger,
};
use berylmount_model::{unix_ms, CustomerName, OrderKey, PoolName, WorkName};
use berylmount_standins::MemoryStore;
use std::sync::Arc;

/// Begins an order so long ago and never ends it.
fn leave_open(ledger: &OrderLedger, number: u32, age_ms: u64) {
    let unix_ms = unix_ms() - age_ms;
    let order = OrderIntent {
        customer: CustomerName::new("north-crew").unwrap(),
        key: OrderKey::new(&format!("{}-{number}", LedgerDay::of_unix_ms(unix_ms))).unwrap(),
        work: WorkName::new("certify").unwrap(),
        pool: PoolName::new("records").unwrap(),
        body: BodyDigest::of(b"board 12"),
    };
    match ledger.begin(&order, LedgerTime { now_ms: 0, unix_ms }) {
        Ok(BeginOutcome::Fresh(token)) => drop(token.permit(1)),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_status_names_orders_that_an_operator_must_settle() {
    let store = Arc::new(MemoryStore::default());
    let ledger = OrderLedger::new(store.clone(), LedgerConfig::new(1)).unwrap();
    let lines = || order_part(store.clone())();
    leave_open(&ledger, 1, 1_000);
    assert!(lines().is_empty(), "it may be at the service");
    leave_open(&ledger, 2, 120_000);
    assert_eq!(lines()[0].level, StatusLevel::Notice);
    leave_open(&ledger, 3, 1_000_000);
    let shown = lines();
    assert_eq!((shown.len(), shown[0].level), (1, StatusLevel::Alarm));
    assert!(
        shown[0].text.starts_with("2 orders may have run"),
        "{shown:?}"
    );
    assert!(shown[0].text.contains("-3 of north-crew"), "{shown:?}");
    store.set_outage(true);
    let shown = lines();
    assert!(
        shown[0].text.contains("not every order was looked at"),
        "{shown:?}"
    );
}
