//! Which parts the reports of a fleet settle.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    prefix_cache::{PartKey, UnsettledPart},
    save_orders::{FleetSaves, ReportWriter, SaveReport, StoreProgress, UNTOLD_ORDER_MS},
};
use insta::assert_snapshot;
use std::fmt::Write;

const STORE: u64 = 1;
const EPOCH: u64 = 5;
const SILENCE_MS: u64 = 8000;
/// A part that is known since one second, by the tenth event of the store.
const PART: UnsettledPart = UnsettledPart {
    key: PartKey(7),
    number: 10,
    first_number: 10,
    known_ms: 1000,
};

/// A report of a process that knows the first events up to `known`.
fn report(instance: u64, process: u64, number: u64, known: u64, pending: &[u64]) -> SaveReport {
    SaveReport {
        instance,
        process,
        number,
        stores: vec![StoreProgress {
            store: STORE,
            epoch: EPOCH,
            known,
            settled: 0,
            has_forgotten: false,
        }],
        pending: Some(pending.iter().copied().map(PartKey).collect()),
        longest_ms: 3000,
        unsettled: Vec::new(),
    }
}

fn forgotten(mut report: SaveReport) -> SaveReport {
    report.stores[0].has_forgotten = true;
    report
}

/// Applies reports in turn at the same time, after instance 3 has told that nothing is left, and
/// returns whether the part is settled then.
fn settles(reports: &[SaveReport]) -> bool {
    let mut fleet = FleetSaves::default();
    fleet.note_report(report(3, 1, 1, 10, &[]), 1000);
    for told in reports {
        fleet.note_report(told.clone(), 1100);
    }
    is_settled(&fleet, &report(1, 1, 1, 10, &[]), 1200)
}

fn is_settled(fleet: &FleetSaves, own: &SaveReport, now_ms: u64) -> bool {
    let settled = fleet.settled(own, SILENCE_MS, now_ms);
    settled.covers(STORE, EPOCH, now_ms, &PART)
}

/// Guards against fetches of parts that a save may still write, for each way in which an instance
/// tells of its orders.
#[test]
fn reports_settle_a_part_once_every_instance_knows_it_and_has_no_order() {
    let other_epoch = |mut report: SaveReport| {
        report.stores[0].epoch += 1;
        report
    };
    let untold = |mut report: SaveReport| {
        report.pending = None;
        report
    };
    let settled = |mut report: SaveReport| {
        report.stores[0].settled = 10;
        report
    };
    let without_stores = |mut report: SaveReport| {
        report.stores.clear();
        report
    };
    let cases = [
        ("knows it, no order", vec![report(2, 1, 1, 10, &[])]),
        ("does not know it", vec![report(2, 1, 1, 9, &[])]),
        ("has an order", vec![report(2, 1, 1, 10, &[7])]),
        (
            "has an order of another part",
            vec![report(2, 1, 1, 10, &[8])],
        ),
        (
            "has too many orders to tell",
            vec![untold(report(2, 1, 1, 10, &[]))],
        ),
        (
            "knows another epoch",
            vec![other_epoch(report(2, 1, 1, 10, &[]))],
        ),
        (
            "told that it is settled, and has an order now",
            vec![settled(report(2, 1, 1, 10, &[7]))],
        ),
        (
            "its order has begun, told without its progress",
            vec![
                report(2, 1, 1, 10, &[7]),
                without_stores(report(2, 1, 2, 0, &[])),
            ],
        ),
        (
            "an earlier report arrives late",
            vec![report(2, 1, 2, 10, &[7]), report(2, 1, 1, 10, &[])],
        ),
        (
            "its process is new, and it had no other",
            vec![report(2, 2, 1, 10, &[])],
        ),
        (
            "an earlier process is not known",
            vec![forgotten(report(2, 2, 1, 10, &[]))],
        ),
        (
            "an earlier process had an order",
            vec![
                report(2, 1, 9, 10, &[7]),
                forgotten(report(2, 2, 1, 10, &[])),
            ],
        ),
        (
            "an earlier process did not know it",
            vec![report(2, 1, 9, 9, &[]), forgotten(report(2, 2, 1, 10, &[]))],
        ),
        (
            "an earlier process knew it and had no order",
            vec![
                report(2, 1, 9, 10, &[]),
                forgotten(report(2, 2, 1, 10, &[])),
            ],
        ),
        (
            "the process before the last one had an order",
            vec![
                report(2, 1, 9, 10, &[7]),
                forgotten(report(2, 2, 1, 10, &[])),
                forgotten(report(2, 3, 1, 10, &[])),
            ],
        ),
    ];
    let mut text = String::new();
    for (name, reports) in cases {
        let outcome = if settles(&reports) {
            "settled"
        } else {
            "not settled"
        };
        writeln!(text, "{name}: {outcome}").unwrap();
    }
    assert_snapshot!(text);
}

/// Guards against an instance that is cut off, or was never heard from: its orders are unknown.
#[test]
fn a_silent_instance_settles_nothing_until_its_orders_have_begun() {
    let own = report(1, 1, 1, 10, &[]);
    let mut fleet = FleetSaves::default();
    fleet.note_listed(&[2], SILENCE_MS, 1000);
    assert!(!is_settled(&fleet, &own, 1100));
    // Without a report, as from an earlier build.
    fleet.note_heard(2, 1200);
    assert!(!is_settled(&fleet, &own, 1300));
    assert!(!is_settled(&fleet, &own, 1000 + UNTOLD_ORDER_MS));
    // It has been silent for so long that all its orders have begun.
    assert!(is_settled(&fleet, &own, 1200 + SILENCE_MS));
    // It is heard, but tells nothing: its orders have begun some time after the part was known.
    fleet.note_heard(2, 6000);
    assert!(!is_settled(&fleet, &own, PART.known_ms + UNTOLD_ORDER_MS));
    assert!(is_settled(
        &fleet,
        &own,
        PART.known_ms + 2 * UNTOLD_ORDER_MS
    ));
}

/// Guards against an order that waits at a runner for longer than its instance is heard from.
#[test]
fn an_order_that_was_told_counts_until_its_deadline() {
    let own = report(1, 1, 1, 10, &[]);
    let told = SaveReport {
        longest_ms: 60_000,
        ..report(2, 1, 1, 10, &[7])
    };
    for is_restarted in [false, true] {
        let mut fleet = FleetSaves::default();
        fleet.note_report(told.clone(), 1000);
        if is_restarted {
            fleet.note_report(report(2, 2, 1, 10, &[]), 2000);
        }
        fleet.note_listed(&[], SILENCE_MS, 30_000);
        assert!(!is_settled(&fleet, &own, 60_000));
        assert!(is_settled(&fleet, &own, 65_000));
    }
}

/// Guards against a process that has just started and relies on what it does not remember.
#[test]
fn a_new_process_settles_what_another_one_has_settled() {
    let own = forgotten(report(1, 2, 1, 10, &[]));
    let mut fleet = FleetSaves::default();
    fleet.note_report(report(2, 1, 1, 10, &[]), 1000);
    assert!(!is_settled(&fleet, &own, 1100));
    let mut told = report(2, 1, 2, 12, &[]);
    told.stores[0].settled = 10;
    fleet.note_report(told, 1200);
    assert!(is_settled(&fleet, &own, 1300));
    // What was settled is told together with the exceptions of that time.
    let mut later = report(2, 1, 3, 12, &[]);
    later.stores.clear();
    fleet.note_report(later, 1300);
    assert!(!is_settled(&fleet, &own, 1400));
}

/// Guards against a large fleet whose instances wait for parts that are settled: they learn from a
/// collector which ones are not.
#[test]
fn a_collector_tells_which_parts_are_not_settled() {
    // Only the collector knows what all others know.
    let own = report(1, 1, 1, 12, &[]);
    let mut fleet = FleetSaves::default();
    fleet.note_heard(3, 1000);
    let mut writer = ReportWriter::default();
    let mut tell = |unsettled: &[u64]| {
        let mut told = report(2, 1, 0, 12, &[]);
        told.stores[0].settled = 12;
        told.unsettled = unsettled.iter().copied().map(PartKey).collect();
        fleet.note_report(writer.next(&told).unwrap(), 1100);
        is_settled(&fleet, &own, 1200)
    };
    let outcomes = [tell(&[7, 8]), tell(&[7]), tell(&[8]), tell(&[]), tell(&[])];
    assert_eq!(outcomes, [false, false, true, true, true]);
}

/// An instance that starts later learns of all stores.
#[test]
fn every_tenth_report_has_all_stores() {
    let mut writer = ReportWriter::default();
    let full = report(2, 1, 0, 10, &[]);
    let mut told = (0..21).map(|_| writer.next(&full).is_some());
    let is_told = |index: usize| index < 3 || index.is_multiple_of(10);
    assert!((0..21).all(|index| told.next() == Some(is_told(index))));
}
