//! The status in plain words.

use crate::operator_messages::{StatusAnswer, StatusLevel, StatusLine, TableStatus};
use berylmount_table::{FreshnessState, ReplicaReport, RowError};

/// Rule errors that the status shows.
const SHOWN_ERRORS: usize = 10;
/// Processes that one line names.
const SHOWN_NAMES: usize = 5;

impl StatusLine {
    /// A line about `part`.
    pub fn new(level: StatusLevel, part: &str, text: &str, action: &str) -> Self {
        Self {
            level,
            part: part.to_owned(),
            text: text.to_owned(),
            action: action.to_owned(),
        }
    }
}

/// Puts the table's lines before `others`, the most important lines first.
pub(crate) fn status_answer(
    report: &ReplicaReport,
    errors: &[RowError],
    others: Vec<StatusLine>,
) -> StatusAnswer {
    let mut lines = vec![force_line(report), freshness_line(report)];
    lines.extend(problem_line(report));
    lines.extend(errors.iter().take(SHOWN_ERRORS).map(rule_line));
    lines.extend(others);
    lines.sort_by_key(|line| std::cmp::Reverse(line.level));
    StatusAnswer {
        lines,
        table: TableStatus {
            applied: report.applied,
            known: report.known,
            freshness: report.state,
            confirmed_age_ms: report.confirmed_age_ms,
            force: report.force.clone(),
        },
    }
}

/// Says where the newest table is in force.
fn force_line(report: &ReplicaReport) -> StatusLine {
    let force = &report.force;
    if force.members == 0 {
        let text = "this entry does not know the other processes yet";
        let action = "it is asking the platform and its peers for them";
        return StatusLine::new(StatusLevel::Notice, "table", text, action);
    }
    let counts = format!("{} of {} processes", force.applied, force.members);
    if force.applied == force.members {
        let text = format!(
            "the newest table (head {}) is in force on all {counts}",
            report.known
        );
        return StatusLine::new(StatusLevel::Well, "table", &text, "");
    }
    let names: Vec<_> = force.behind.iter().map(ToString::to_string).collect();
    let shown = names[..names.len().min(SHOWN_NAMES)].join(", ");
    let more = match names.len().saturating_sub(SHOWN_NAMES) {
        0 => String::new(),
        more => format!(" and {more} more"),
    };
    let behind = if shown.is_empty() {
        "this entry"
    } else {
        &shown
    };
    let text = format!(
        "the newest table (head {}) is in force on {counts}; behind: {behind}{more}",
        report.known
    );
    let action = "those that are behind load it, or refuse new requests within 4 s";
    StatusLine::new(StatusLevel::Notice, "table", &text, action)
}

/// Says by what this entry judges requests.
fn freshness_line(report: &ReplicaReport) -> StatusLine {
    match report.state {
        FreshnessState::Platform => {
            let text = "the platform confirms this entry's table";
            StatusLine::new(StatusLevel::Well, "freshness", text, "")
        }
        FreshnessState::Peers => {
            let text =
                "the platform does not answer; more than half of the processes confirm the table";
            let action = "requests are served; edits and new orders wait for the platform";
            StatusLine::new(StatusLevel::Notice, "freshness", text, action)
        }
        FreshnessState::Unconfirmed => {
            let text = "neither the platform nor more than half of the processes confirm the table";
            let action =
                "new requests are refused as not run here; look at the platform and the network";
            StatusLine::new(StatusLevel::Alarm, "freshness", text, action)
        }
    }
}

/// Says why the last try to follow the table failed.
fn problem_line(report: &ReplicaReport) -> Option<StatusLine> {
    let problem = report.problem.as_ref()?;
    let text = format!("following the table failed: {problem}");
    let action = "the copy stays as it is, and the entry tries again";
    Some(StatusLine::new(StatusLevel::Notice, "table", &text, action))
}

/// Shows a rule that two racing edits broke together.
fn rule_line(error: &RowError) -> StatusLine {
    let text = format!("the table does not fit together: {error}");
    let action = "requests that need this row are refused; edit the row";
    StatusLine::new(StatusLevel::Alarm, "table", &text, action)
}
