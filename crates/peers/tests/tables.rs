//! The operators' table among processes that can't reach the platform.

#![allow(clippy::unwrap_used)]

mod node;

use berylmount_model::{ModelName, ModelRow, TableRow, VersionName};
use berylmount_objects::ObjectStore;
use berylmount_peers::{feed_table, BoardConfig, MemberView};
use berylmount_standins::MemoryStore;
use berylmount_table::{FreshnessState, RowChange, TableEdit, TableEditor, TableReplica};
use node::{node_name, start_node, LocalNode};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Longer than any wait that a passing test needs.
const LONG: Duration = Duration::from_secs(60);

fn store_row(store: &dyn ObjectStore) -> TableRow {
    let row = TableRow::Model(ModelRow {
        name: ModelName::new("blaze").unwrap(),
        version: VersionName::new("v2").unwrap(),
    });
    let change = RowChange {
        key: row.key(),
        expected: 0,
        row: Some(row.clone()),
    };
    let edit = TableEdit {
        id: "first".to_owned(),
        who: "ana".to_owned(),
        at_ms: 1,
        digest: TableEdit::digest(b"first"),
        changes: vec![change],
    };
    TableEditor::new(store).apply(&edit).unwrap();
    row
}

fn wait_until(wanted: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !wanted() {
        assert!(Instant::now() < end);
        thread::sleep(Duration::from_millis(10));
    }
}

fn state(node: &LocalNode) -> FreshnessState {
    node.table.freshness(node.clock.now_ms())
}

#[test]
fn a_table_reaches_processes_without_the_platform() {
    let store = Arc::new(MemoryStore::default());
    let row = store_row(&*store);
    let config = BoardConfig {
        interval_ms: 50,
        ..BoardConfig::default()
    };
    let first = start_node(0, Vec::new(), config);
    let others: Vec<_> = (1..4)
        .map(|number| start_node(number, vec![first.address], config))
        .collect();

    // Only the first reaches the platform.
    let stop = Arc::new(AtomicBool::new(false));
    let (table, clock, stopping) = (Arc::clone(&first.table), first.clock, Arc::clone(&stop));
    let polling = thread::spawn(move || table.run(&*store, &|| clock.now_ms(), &stopping));
    for node in &others {
        wait_until(|| state(node) == FreshnessState::Platform);
        assert!(node.table.view().row(&row.key()).is_some());
    }

    // Then nobody does, and one more starts with nothing.
    stop.store(true, Ordering::Relaxed);
    polling.join().unwrap();
    let late = start_node(4, vec![others[0].address], config);
    for node in others.iter().chain([&first, &late]) {
        wait_until(|| state(node) == FreshnessState::Peers);
        assert!(node.table.view().row(&row.key()).is_some());
    }
    // A cut-off process must not go on by what it knows.
    others.iter().chain([&first]).for_each(|node| {
        // A farewell may be lost; an ended process answers nobody either way.
        node.silent.store(true, Ordering::Relaxed);
        node.membership.stop();
    });
    wait_until(|| state(&late) == FreshnessState::Unconfirmed);
}

#[test]
fn a_process_that_knows_nobody_is_no_majority() {
    let store = MemoryStore::default();
    let table = TableReplica::new(0);
    table.poll(&store, 0, Duration::ZERO).unwrap();
    feed_table(&table, &MemberView::default(), &node_name(0), None);
    assert_eq!(table.freshness(1_000), FreshnessState::Platform);
    assert_eq!(table.freshness(60_000), FreshnessState::Unconfirmed);
    // Listed alone, it is all there is.
    feed_table(
        &table,
        &MemberView::default(),
        &node_name(0),
        Some(&[node_name(0)]),
    );
    assert_eq!(table.freshness(60_000), FreshnessState::Peers);
}
