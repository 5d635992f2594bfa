//! The operators' routes against a store in memory.
#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

use berylmount_entry::{OperatorRoutes, StatusLevel, StatusLine, StatusPart};
use berylmount_model::{InstanceName, MonotonicClock};
use berylmount_standins::{MemoryStore, WriteFault};
use berylmount_table::{shard_key, PeerReport, TableReplica};
use serde_json::{json, Value};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
};

/// An entry's routes with a thread that follows the table.
struct Desk {
    routes: OperatorRoutes,
    store: Arc<MemoryStore>,
    table: Arc<TableReplica>,
    clock: MonotonicClock,
    stop: Arc<AtomicBool>,
}

impl Drop for Desk {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// A desk whose entry knows `peers`.
fn desk(peers: &[InstanceName]) -> Desk {
    let (store, clock) = (Arc::new(MemoryStore::default()), MonotonicClock::start());
    let table = Arc::new(TableReplica::new(clock.now_ms()));
    table.set_peers(peers);
    let stop = Arc::new(AtomicBool::new(false));
    let (followed, replica, end) = (store.clone(), table.clone(), stop.clone());
    thread::spawn(move || replica.run(&*followed, &|| clock.now_ms(), &end));
    let part = || {
        vec![StatusLine::new(
            StatusLevel::Notice,
            "ledger",
            "two orders wait",
            "",
        )]
    };
    let parts: Vec<StatusPart> = vec![Box::new(part)];
    let routes = OperatorRoutes::new(store.clone(), table.clone(), clock, parts);
    Desk {
        routes,
        store,
        table,
        clock,
        stop,
    }
}

impl Desk {
    fn get(&self, path: &str, query: &str) -> (u16, Value) {
        let (status, body) = self.routes.handle("GET", path, query, b"");
        (status, serde_json::from_slice(&body).unwrap())
    }

    fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        let body = body.to_string();
        let (status, body) = self.routes.handle("POST", path, "", body.as_bytes());
        (status, serde_json::from_slice(&body).unwrap())
    }

    fn set(
        &self,
        id: &str,
        row: (&str, &str),
        expected: u64,
        cells: &[(&str, &str)],
    ) -> (u16, Value) {
        let cells: Vec<_> = cells
            .iter()
            .map(|(c, t)| json!({"column": c, "text": t}))
            .collect();
        let (kind, name) = row;
        self.post(
            "/ops/edit",
            &json!({"id": id, "who": "ana", "kind": kind, "name": name, "expected": expected, "cells": cells}),
        )
    }
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap()
}

const SHEET: &str = "\
kind,name,role,pool,model,version,key_hash,rate_per_s,burst,idempotent
pool,blaze-models,engine,,,,,,,
model,blaze,,,,v1,,,,
work,report,,blaze-models,blaze,,,,,yes
customer,crew,,,,,0000000000000000000000000000000000000000000000000000000000000001,,,
limit,crew/report,,,,,,2.5,4,
";

fn import(desk: &Desk, id: &str, sheet: &str, dry_run: bool) -> (u16, Value) {
    desk.post(
        "/ops/import",
        &json!({"id": id, "who": "ana", "csv": sheet, "dry_run": dry_run, "delete_missing": true}),
    )
}

#[test]
fn sheet_goes_in_and_comes_out() {
    let desk = desk(&[]);
    let (status, answer) = import(&desk, "i1", SHEET, true);
    assert_eq!(
        (status, answer["differences"].as_array().unwrap().len()),
        (200, 5)
    );
    assert_eq!(desk.get("/ops/table", "").1["rows"], json!([]));
    let (status, answer) = import(&desk, "i1", SHEET, false);
    assert_eq!(
        (status, &answer["edit"]["state"]),
        (200, &json!("accepted"))
    );
    let (_, sheet) = desk.get("/ops/export", "");
    insta::assert_snapshot!(sheet["csv"].as_str().unwrap());
    let (_, answer) = import(&desk, "i2", sheet["csv"].as_str().unwrap(), false);
    assert_eq!(answer, json!({"differences": [], "edit": null}));
    let (_, answer) = import(&desk, "i3", &SHEET.replace("2.5", "3"), true);
    insta::assert_snapshot!(pretty(&answer));
    let without_limit = SHEET.rsplit_once("limit").unwrap().0;
    assert_eq!(import(&desk, "i4", without_limit, false).0, 200);
    assert_eq!(desk.get("/ops/row", "kind=limit&name=crew/report").0, 404);
}

#[test]
fn wrong_rows_name_row_column_found_and_allowed() {
    let desk = desk(&[]);
    import(&desk, "i1", SHEET, false);
    let wrong = [
        desk.set(
            "e1",
            ("work", "draft"),
            0,
            &[("pool", "none"), ("model", "blaze")],
        ),
        desk.set(
            "e2",
            ("work", "draft"),
            0,
            &[("weight", "0"), ("colour", "red")],
        ),
        desk.set(
            "e3",
            ("customer", "crew"),
            1,
            &[("key_hash", "my secret key")],
        ),
        desk.set(
            "e4",
            ("limit", "other/report"),
            0,
            &[("rate_per_s", "1"), ("burst", "1")],
        ),
        desk.set("e5", ("painter", "x"), 0, &[]),
        import(
            &desk,
            "i2",
            &SHEET.replace("blaze-models,engine", "blaze-models,motor"),
            false,
        ),
        import(&desk, "i3", "kind,name,colour\n", false),
        import(
            &desk,
            "i4",
            &SHEET.replace("pool,blaze-models,engine,,,,,,,\n", ""),
            false,
        ),
        desk.post("/ops/edit", &json!({"id": ""})),
    ];
    insta::assert_snapshot!(pretty(&json!(wrong)));
    assert!(!desk.get("/ops/status", "").1.to_string().contains("secret"));
}

#[test]
fn race_shows_both_sides_and_repeat_is_safe() {
    let desk = desk(&[]);
    import(&desk, "i1", SHEET, false);
    let row = desk.get("/ops/row", "kind=model&name=blaze").1;
    let version = row["version"].as_u64().unwrap();
    desk.store.add_write_fault(WriteFault::LoseAnswer);
    let (status, first) = desk.set("e1", ("model", "blaze"), version, &[("version", "v2")]);
    assert_eq!((status, &first["state"]), (200, &json!("accepted")));
    let (_, repeat) = desk.set("e1", ("model", "blaze"), version, &[("version", "v2")]);
    assert_eq!(
        (&repeat["repeated"], &repeat["rows"]),
        (&json!(true), &first["rows"])
    );
    let (status, other) = desk.set("e1", ("model", "blaze"), version, &[("version", "v9")]);
    assert_eq!((status, &other["reason"]), (409, &json!("id_reused")));
    let (status, mut race) = desk.set("e2", ("model", "blaze"), version, &[("version", "v3")]);
    assert_eq!(status, 409);
    race["conflicts"][0]["changed_at_ms"].take();
    insta::assert_snapshot!(pretty(&race));
    let (_, history) = desk.get("/ops/history", "kind=model&name=blaze");
    let entries = history["entries"].as_array().unwrap();
    let changes: Vec<_> = entries.iter().map(|entry| &entry["changes"]).collect();
    insta::assert_snapshot!(pretty(&json!(changes)));
}

#[test]
fn a_key_is_stored_as_its_hash() {
    let desk = desk(&[]);
    let (status, _) = desk.set("e1", ("customer", "crew"), 0, &[("key", "example")]);
    let (_, row) = desk.get("/ops/row", "kind=customer&name=crew");
    assert_eq!(status, 200);
    let hash = "50d858e0985ecc7f60418aaf0cc5ab587f42c2570a884095a9e8ccacd0f6545c";
    assert_eq!(row["cells"][0], json!({"column": "key_hash", "text": hash}));
}

#[test]
fn outage_refuses_edits_and_still_shows_the_copy() {
    let desk = desk(&[]);
    import(&desk, "i1", SHEET, false);
    desk.store.set_outage(true);
    let (status, answer) = desk.set("e1", ("model", "blaze"), 1, &[("version", "v2")]);
    assert_eq!(
        (status, &answer["reason"]),
        (503, &json!("platform_unavailable"))
    );
    let (status, row) = desk.get("/ops/row", "kind=model&name=blaze");
    assert_eq!((status, &row["source"]), (200, &json!("copy")));
    assert_eq!(desk.get("/ops/export", "").1["source"], json!("copy"));
}

#[test]
fn stored_is_not_accepted_until_more_than_half_have_it() {
    let peers = ["a", "b"].map(|name| InstanceName::new(name).unwrap());
    let desk = desk(&peers);
    let (status, answer) = desk.set("e1", ("model", "blaze"), 0, &[("version", "v1")]);
    assert_eq!((status, &answer["state"]), (200, &json!("stored")));
    assert_eq!(answer["force"]["behind"], json!(["a", "b"]));
    let (_, before) = desk.get("/ops/status", "");
    let head = desk.table.known_head();
    let report = PeerReport {
        head,
        joined: true,
        confirmed_age_ms: None,
    };
    desk.table
        .peer_report(&peers[0], report, desk.clock.now_ms());
    let (_, answer) = desk.set("e1", ("model", "blaze"), 0, &[("version", "v1")]);
    assert_eq!(
        (&answer["state"], &answer["repeated"]),
        (&json!("accepted"), &json!(true))
    );
    let (_, after) = desk.get("/ops/status", "");
    let about_table = |status: &Value| {
        let lines = status["lines"].as_array().unwrap().iter();
        lines
            .filter(|line| line["part"] == "table")
            .cloned()
            .collect::<Vec<_>>()
    };
    insta::assert_snapshot!(pretty(&json!([about_table(&before), about_table(&after)])));
}

#[test]
fn bad_input_is_refused() {
    let desk = desk(&[]);
    let bodies: [&[u8]; 5] = [b"", b"{", b"[]", b"\xff\xfe", b"{\"id\":1}"];
    for body in bodies {
        for path in ["/ops/edit", "/ops/import"] {
            assert_eq!(desk.routes.handle("POST", path, "", body).0, 400);
        }
    }
    assert_eq!(desk.get("/ops/row", "").0, 400);
    assert_eq!(desk.get("/ops/row", "kind=model&name=%00").0, 404);
    assert_eq!(import(&desk, "i", "kind,kind\nx", false).0, 422);
    let damaged = shard_key(0);
    desk.store.corrupt(&damaged, b"{}");
    assert_eq!(import(&desk, "i", SHEET, false).0, 500);
    assert_eq!(desk.store.peek(&damaged).unwrap().value, b"{}");
}
