//! The `berylmount status` command, which shows what is in force, what is not,
//! and what an operator has to do.
//!
//! Exit codes: 0 if there is nothing to do; 9 if an operator has to act; 1, 2, 7
//! and 8 as for `berylmount table`.

use crate::{
    operator_client::{CommandExit, OperatorClient},
    status_command::flags::Status,
    table_command::{print_json, show_fault, show_usage},
};
use berylmount_entry::{StatusAnswer, StatusLevel, StatusLine};
use std::ffi::OsString;

mod flags {
    // The macro generates public items without documentation.
    #![allow(missing_docs, unreachable_pub)]

    xflags::xflags! {
        /// Shows the state of the system.
        cmd status {
            /// Addresses of entries for operators, separated by commas; the
            /// first that answers is used. $BERYLMOUNT_ENTRY unless set.
            optional --entry addresses: String
            /// Prints the answer as JSON.
            optional --json
        }
    }
}

/// Runs `berylmount status` with the arguments after `status`.
pub(crate) fn run_status(arguments: Vec<OsString>) -> CommandExit {
    let flags = match Status::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) => return show_usage(&error),
    };
    let client = OperatorClient::new(flags.entry.as_deref());
    let status = client.and_then(|client| client.get::<StatusAnswer>("/ops/status"));
    let status = match status {
        Ok(status) => status,
        Err(fault) => {
            show_fault(&fault, flags.json);
            return fault.exit();
        }
    };
    match flags.json {
        true => print_json(&status),
        false => status.lines.iter().for_each(show_line),
    }
    let alarm = |line: &StatusLine| line.level == StatusLevel::Alarm;
    match status.lines.iter().any(alarm) {
        true => CommandExit::Attention,
        false => CommandExit::Done,
    }
}

fn show_line(line: &StatusLine) {
    let level = match line.level {
        StatusLevel::Well => "ok     ",
        StatusLevel::Notice => "notice ",
        StatusLevel::Alarm => "ALARM  ",
    };
    println!("{level}{}: {}", line.part, line.text);
    if !line.action.is_empty() {
        println!("       {}", line.action);
    }
}
