//! What a process that ends leaves of its bounded logs.
//!
//! Each test starts itself again with `LOG_CASE` set, because a process has one
//! logger.

#![allow(clippy::unwrap_used)]

use berylmount_telemetry::start_bounded_logging;
use std::{
    io::Read,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Records of a burst before the end; fewer than the ring takes.
const BURST: usize = 2500;
/// Longest wait for a child process.
const PATIENCE: Duration = Duration::from_secs(20);

fn start_child(case: &str) -> Child {
    let mut command = Command::new(std::env::current_exe().unwrap());
    let command = command.args(["--exact", "child", "--nocapture", "--test-threads=1"]);
    let command = command.env("LOG_CASE", case).stdout(Stdio::piped());
    command.stderr(Stdio::null()).spawn().unwrap()
}

/// Records on standard output, without the lines of the test's own runner.
fn records(mut child: Child) -> Vec<serde_json::Value> {
    let mut text = String::new();
    let mut output = child.stdout.take().unwrap();
    output.read_to_string(&mut text).unwrap();
    child.wait().unwrap();
    let lines = text
        .lines()
        .filter_map(|line| line.find('{').map(|at| &line[at..]));
    lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}

#[test]
fn child() {
    let Ok(case) = std::env::var("LOG_CASE") else {
        return;
    };
    let logs = start_bounded_logging(log::LevelFilter::Info).unwrap();
    match case.as_str() {
        "burst" => {
            for number in 0..BURST {
                log::info!(target: "process", number; "a record before the end");
            }
            log::info!(target: "process", in_flight = 0; "stopped");
        }
        "stalled" => {
            for _ in 0..BURST {
                log::info!(target: "process", text = "x".repeat(400); "a long record");
            }
        }
        "panic" => {
            let panicked = thread::spawn(|| panic!("the state is inconsistent")).join();
            assert!(panicked.is_err());
        }
        _ => unreachable!("{case}"),
    }
    drop(logs);
    // The harness would write more before the process ends.
    std::process::exit(0);
}

#[test]
fn every_record_is_written_before_the_process_ends() {
    let records = records(start_child("burst"));
    assert_eq!(records.len(), BURST + 1);
    assert_eq!(records[BURST]["message"], "stopped");
}

#[test]
fn a_panic_leaves_a_record() {
    let records = records(start_child("panic"));
    let record = &records[0];
    assert_eq!(
        (&record["level"], &record["message"], &record["fault"]),
        (
            &"ERROR".into(),
            &"panicked".into(),
            &"the state is inconsistent".into()
        )
    );
    assert!(record["place"]
        .as_str()
        .unwrap()
        .contains("bounded_logs.rs"));
}

#[test]
fn a_reader_that_stands_still_does_not_hold_up_the_end() {
    let mut child = start_child("stalled");
    let end = Instant::now() + PATIENCE;
    while child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < end, "the process did not end");
        thread::sleep(Duration::from_millis(20));
    }
}
