//! Tests of bounded logs at the exit of a process.
//!
//! Each test runs this test binary again as a child process with `LOG_CASE` set, because
//! a process can have only one logger.

#![allow(clippy::unwrap_used)]

use berylmount_telemetry::start_bounded_logging;
use std::{
    io::Read,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Number of records in a burst before the exit; fewer than the queue holds.
const BURST: usize = 2500;
/// Time limit for a child process to exit.
const CHILD_TIMEOUT: Duration = Duration::from_secs(20);

fn start_child(case: &str) -> Child {
    let mut command = Command::new(std::env::current_exe().unwrap());
    let command = command.args(["--exact", "child", "--nocapture", "--test-threads=1"]);
    let command = command.env("LOG_CASE", case).stdout(Stdio::piped());
    command.stderr(Stdio::null()).spawn().unwrap()
}

/// Returns the log records on standard output, without the lines of the test harness.
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
                log::info!(target: "process", number; "a record before the exit");
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
    // Exit here, because the test harness would write further output.
    std::process::exit(0);
}

#[test]
fn all_records_are_written_before_the_process_exits() {
    let records = records(start_child("burst"));
    assert_eq!(records.len(), BURST + 1);
    assert_eq!(records[BURST]["message"], "stopped");
}

#[test]
fn a_panic_is_logged() {
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
fn a_stalled_reader_does_not_block_the_exit() {
    let mut child = start_child("stalled");
    let end = Instant::now() + CHILD_TIMEOUT;
    while child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < end, "the process did not exit in time");
        thread::sleep(Duration::from_millis(20));
    }
}
