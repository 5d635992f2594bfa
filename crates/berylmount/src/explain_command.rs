//! The `berylmount explain` command, which shows where a request would go now, and why.
//!
//! It asks one instance of the gateway over its metrics port; nothing is sent to a runner.
//! Exit codes: 0 if the instance answered, 2 for an invalid command line, 8 if it did not answer.

use crate::{
    explain_command::flags::Explain,
    operator_client::CommandExit,
    table_command::{print_json, show_usage},
};
use berylmount_gateway::{Explanation, RunnerNote};
use std::{ffi::OsString, time::Duration};
use ureq::Agent;

/// Address of the instance's metrics page, if `--instance` is not given.
const DEFAULT_INSTANCE: &str = "127.0.0.1:9464";
/// Time limit of the question; the instance answers or gives up within 2 s.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(5);

mod flags {
    // The macro generates public items without documentation.
    #![allow(missing_docs, unreachable_pub)]

    xflags::xflags! {
        /// Shows where a request would go now, and why, without sending it.
        cmd explain {
            /// Path and query of the request.
            required target: String
            /// Address of the instance's metrics page; 127.0.0.1:9464 unless set.
            optional --instance address: String
            /// Method of the request; POST unless set.
            optional --method method: String
            /// A header of the request as `Name: value`; the route and the prompt are read from
            /// them.
            repeated --header header: String
            /// Prints the answer as JSON.
            optional --json
        }
    }
}

/// Runs `berylmount explain` with the arguments after `explain`.
pub(crate) fn run_explain(arguments: Vec<OsString>) -> CommandExit {
    let flags = match Explain::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) => return show_usage(&error),
    };
    let explanation = match ask_instance(&flags) {
        Ok(explanation) => explanation,
        Err(fault) => {
            eprintln!("{fault}");
            return CommandExit::NoAnswer;
        }
    };
    match flags.json {
        true => print_json(&explanation),
        false => show_explanation(&explanation),
    }
    CommandExit::Done
}

fn ask_instance(flags: &Explain) -> Result<Explanation, String> {
    let address = flags.instance.as_deref().unwrap_or(DEFAULT_INSTANCE);
    let method = flags.method.as_deref().unwrap_or("POST");
    let first = format!("{method} {}", flags.target);
    let lines = [first].into_iter().chain(flags.header.iter().cloned());
    let question = lines.collect::<Vec<String>>().join("\n");
    let config = Agent::config_builder().http_status_as_error(false);
    let agent: Agent = config.timeout_global(Some(QUESTION_TIMEOUT)).build().into();
    let answer = agent
        .post(format!("http://{address}/explain"))
        .send(question);
    let mut answer = answer.map_err(|error| format!("no answer from {address}: {error}"))?;
    let text = answer.body_mut().read_to_string();
    let text = text.map_err(|error| format!("the answer of {address} broke off: {error}"))?;
    if !answer.status().is_success() {
        return Err(format!("{address} gives no answer: {}", text.trim_end()));
    }
    serde_json::from_str(&text).map_err(|error| format!("{address} answers otherwise: {error}"))
}

fn show_explanation(explanation: &Explanation) {
    println!("instance  {}", explanation.instance);
    println!("service   {}", explanation.service);
    println!("outcome   {}", explanation.outcome);
    println!("ahead     {} requests that wait", explanation.ahead);
    if let Some(age_ms) = explanation.peers_age_ms {
        println!("peers     oldest loads of other instances: {age_ms} ms");
    }
    for note in &explanation.runners {
        println!("{}", runner_line(note));
    }
}

fn runner_line(note: &RunnerNote) -> String {
    let state = note.exclusion.as_deref().unwrap_or("candidate");
    let report = match note.report_age_ms {
        Some(age_ms) => format!("report {age_ms} ms old"),
        None => "no report".to_owned(),
    };
    let estimate = match (note.first_ms, note.cost_ms) {
        (Some(first_ms), Some(cost_ms)) => {
            format!(
                ", first event in {first_ms:.0} ms, cost {cost_ms:.0} ms, {}",
                note.inputs
            )
        }
        _ => String::new(),
    };
    format!(
        "{} in {}: {state}, {report}{estimate}",
        note.runner, note.data_centre
    )
}
