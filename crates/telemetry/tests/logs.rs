//! Tests of the log records and traces that a process writes.
//!
//! Each test runs this test binary again as a child process with `LOG_FORMAT` set,
//! because a process can have only one logger.

#![allow(clippy::unwrap_used)]

use berylmount_settings::{LogFormat, LogSettings};
use berylmount_telemetry::{
    flush_traces, next_traceparent, root_span, start_logging, start_traces,
};
use std::process::Command;

const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

fn write_records(format: LogFormat) {
    let settings = LogSettings {
        level: log::LevelFilter::Info,
        format,
    };
    let _guard = start_logging(&settings).unwrap();
    start_traces();
    log::debug!(target: "entry", "below the level");
    log::warn!(target: "ledger", shard = 3, why = "two words"; "write refused\n2026 forged");
    drop(root_span("entry", Some(TRACEPARENT), 0.0).with_property(|| ("work", "blaze-report")));
    drop(root_span("unsampled", Some("nonsense"), 0.0));
    flush_traces();
}

/// Returns the standard error of a child process that writes records.
fn records(format: &str) -> String {
    let mut command = Command::new(std::env::current_exe().unwrap());
    let command = command.args(["--exact", "child", "--nocapture", "--test-threads=1"]);
    let output = command.env("LOG_FORMAT", format).output().unwrap();
    String::from_utf8(output.stderr).unwrap()
}

/// Removes the time from a record, and masks the values that change between runs.
fn mask_record(line: &str) -> String {
    let keys = ["span=", "begin_us=", "duration_us="];
    let words = line.split(' ').skip(1).map(|word| {
        let key = keys.iter().find(|key| word.starts_with(**key));
        key.map_or(word.to_owned(), |key| format!("{key}_"))
    });
    words.collect::<Vec<_>>().join(" ")
}

#[test]
fn child() {
    match std::env::var("LOG_FORMAT").as_deref() {
        Ok("text") => write_records(LogFormat::Text),
        Ok("json") => write_records(LogFormat::Json),
        _ => {}
    }
}

#[test]
fn text_records_take_one_line_each() {
    let lines: Vec<_> = records("text").lines().map(mask_record).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    WARN  ledger: write refused\n2026 forged shard=3 why="two words"
    INFO  trace: entry work="blaze-report" trace=0af7651916cd43dd8448eb211c80319c span=_ parent=b7ad6b7169203331 begin_us=_ duration_us=_
    "#);
}

#[test]
fn json_records_are_objects_with_fields() {
    let text = records("json");
    let found: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(found.len(), 2, "{text}");
    assert_eq!(
        (&found[0]["shard"], &found[0]["prefix"]),
        (&3.into(), &"ledger".into())
    );
    assert_eq!(found[0]["message"], "write refused\n2026 forged");
    assert_eq!(found[1]["trace"], "0af7651916cd43dd8448eb211c80319c");
}

#[test]
fn malformed_traceparent_starts_a_new_trace() {
    let trace = |header: &str| next_traceparent(&root_span("hop", Some(header), 1.0)).unwrap();
    let same = |header: &str| trace(header)[3..35] == TRACEPARENT[3..35];
    assert!(same(TRACEPARENT) && same(&format!("  {TRACEPARENT} ")));
    assert!(same(&format!("01{}-more", &TRACEPARENT[2..])));
    assert!(
        trace(&TRACEPARENT.replace("-01", "-00")).ends_with("-00"),
        "the caller's sampling decision is kept"
    );
    let broken = [
        "",
        "00",
        &TRACEPARENT[..54],
        &format!("{TRACEPARENT}-more"),
        &format!("ff{}", &TRACEPARENT[2..]),
        &TRACEPARENT.to_uppercase(),
        &TRACEPARENT.replace("0a", "+a"),
        &TRACEPARENT.replace('-', "_"),
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "\u{e9}".repeat(40).as_str(),
    ]
    .map(str::to_owned);
    for header in broken {
        assert!(!same(&header), "{header}");
    }
}
