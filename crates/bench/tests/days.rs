//! Tables of played days, from a journal entry to what changed.

use berylmount_bench::days::{changes, days_of, DayFault, DayLine};
use serde_json::json;

fn entry(worth: f64, rules: serde_json::Value) -> serde_json::Value {
    json!({
        "argv": [".../further/kerta-beacon.toml", "--jobs", "3"],
        "days": [{
            "name": "scale-1", "score": 1.0, "rules": rules,
            "parts": [["whole day", 0.5, worth + 0.1], ["worst windows", 0.5, worth + 0.1]],
            "prices": [["loads", 1.0, 0.02], ["parts | read again", 2.0, 0.08]],
        }],
    })
}

#[test]
fn a_table_is_read_back_as_it_was_written() {
    let days = days_of(&entry(0.6, json!({"MIXED": 1}))).expect("days");
    let text = days[0].to_string();
    assert_eq!(
        text,
        "| kerta-beacon | scale-1 | 0.600 | 1.00 | MIXED | 0.080 parts / read again |"
    );
    let read: DayLine = text.parse().expect("a line");
    assert_eq!(read.to_string(), text);
}

#[test]
fn only_changes_beyond_the_noise_and_broken_rules_are_told() {
    let before = days_of(&entry(0.6, json!({}))).expect("days");
    let near = days_of(&entry(0.62, json!({}))).expect("days");
    assert_eq!(changes(&before, &near), Vec::<String>::new());
    let broken = days_of(&entry(0.5, json!({"TWICE": 2}))).expect("days");
    assert_eq!(
        changes(&before, &broken),
        [
            "kerta-beacon scale-1: broken rules TWICE",
            "kerta-beacon scale-1: worth 0.600 -> 0.500"
        ]
    );
    // A day that the old table lacks is no change unless it breaks a rule.
    assert_eq!(changes(&[], &near), Vec::<String>::new());
}

#[test]
fn runs_that_did_not_finish_and_foreign_lines_are_refused() {
    let unfinished = json!({"argv": ["a.toml"], "days": []});
    assert_eq!(days_of(&unfinished), Err(DayFault::Unfinished));
    assert_eq!(days_of(&json!({"argv": ["--jobs"]})), Err(DayFault::NoSite));
    for line in [
        "",
        "| --- | --- | --- | --- | --- | --- |",
        "| a | b | x | 1 | - | 0.1 c |",
    ] {
        assert!(line.parse::<DayLine>().is_err(), "{line}");
    }
}
