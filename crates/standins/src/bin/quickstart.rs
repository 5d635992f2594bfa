//! Shows the whole system at work on this machine: `scripts/quickstart`.
//!
//! Starts the stand-ins and the processes of three instances on free loopback
//! ports, uses them as callers and operators do, prints what it saw and ends
//! what it started. Exits non-zero when any step failed.

use berylmount_standins::{
    expected_answer, wait_until, EngineConfig, FleetConfig, TestFleet, CUSTOMER_KEY,
};
use serde_json::{json, Value};
use std::{
    io::{self, BufRead, BufReader},
    path::PathBuf,
    time::{Duration, Instant},
};
use ureq::{http::Response, Agent, Body};

/// Whole pieces in the long prompt.
const LONG_PIECES: usize = 3;

/// What a step comes to.
type StepResult<T> = Result<T, Box<dyn std::error::Error>>;

/// The customer's side of the demonstration.
struct DemoCaller {
    agent: Agent,
    url: String,
}

impl DemoCaller {
    /// Asks an entry which entry to use, and uses the first.
    fn locate(fleet: &TestFleet) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(30)));
        let address = fleet.locate("north-crew");
        Self {
            agent: config.build().into(),
            url: format!("http://{address}"),
        }
    }

    /// Sends a POST with the customer's key.
    fn post(&self, path: &str, body: &Value) -> StepResult<Response<Body>> {
        let key = format!("Bearer north-crew:{CUSTOMER_KEY}");
        let request = self.agent.post(format!("{}{path}", self.url));
        let mut answer = request.header("authorization", key).send_json(body)?;
        if answer.status() != 200 {
            return Err(answer.body_mut().read_to_string()?.into());
        }
        Ok(answer)
    }

    /// Sends a streamed prompt and reads its lines.
    fn stream(
        &self,
        prompt: &str,
        max_tokens: u32,
    ) -> StepResult<impl Iterator<Item = io::Result<Value>>> {
        let body = json!({
            "work": "blaze-report", "prompt": prompt, "max_tokens": max_tokens, "stream": true
        });
        let answer = self.post("/v1/prompts", &body)?;
        let lines = BufReader::new(answer.into_body().into_reader()).lines();
        Ok(lines.map(|line| line.and_then(|l| serde_json::from_str(&l).map_err(Into::into))))
    }

    /// Sends a prompt and returns the start line and the time to the first token.
    fn ask(&self, prompt: &str) -> StepResult<(Value, Duration)> {
        let begun = Instant::now();
        let mut start = Value::Null;
        let mut first = None;
        for line in self.stream(prompt, 3)? {
            let line = line?;
            match line["event"].as_str() {
                Some("started") => start = line,
                Some("token") => first = first.or(Some(begun.elapsed())),
                Some("end") => return Ok((start, first.unwrap_or_default())),
                _ => return Err(line.to_string().into()),
            }
        }
        Err("the answer has no end".into())
    }
}

/// Runs an operators' command and prints its last line.
fn operate(fleet: &TestFleet, arguments: &[&str]) -> StepResult<String> {
    println!("$ berylmount {}", arguments.join(" "));
    let (done, printed) = fleet.operate(arguments);
    for line in printed.lines().take(4) {
        println!("    {line}");
    }
    match done {
        true => Ok(printed),
        false => Err(printed.into()),
    }
}

/// Makes customers, kinds of work and limits by the operators' own command.
fn make_rows(fleet: &TestFleet) -> StepResult<()> {
    let key = format!("key={CUSTOMER_KEY}");
    let rows: [&[&str]; 6] = [
        &["pool", "blaze-models", "role=engine", "checks_fencing=yes"],
        &["pool", "field-ledger", "role=service", "checks_fencing=no"],
        &["model", "blaze", "version=v1"],
        &[
            "work",
            "blaze-report",
            "class=standard",
            "pool=blaze-models",
            "model=blaze",
            "idempotent=yes",
            "first_token_ms=20000",
            "total_ms=60000",
            "max_tokens=2000",
            "max_prompt_tokens=20000",
            "weight=1",
        ],
        &[
            "work",
            "work-order",
            "class=critical",
            "pool=field-ledger",
            "idempotent=no",
            "first_token_ms=5000",
            "total_ms=10000",
            "max_tokens=1",
            "max_prompt_tokens=1",
            "weight=1",
        ],
        &[
            "customer",
            "north-crew",
            &key,
            "weight=10",
            "rate_per_s=50",
            "burst=50",
            "in_flight=50",
        ],
    ];
    for row in rows {
        let arguments: Vec<&str> = ["table", "set"].iter().chain(row).copied().collect();
        operate(fleet, &arguments)?;
    }
    Ok(())
}

/// A prompt that returns after it was evicted.
fn show_kept_cache(fleet: &TestFleet, caller: &DemoCaller) -> StepResult<()> {
    let prompt = "blaze ".repeat(LONG_PIECES * 1024 + 20);
    let (first, first_time) = caller.ask(&prompt)?;
    let mut again = (Value::Null, Duration::ZERO);
    wait_until("the evicted prompt is fetched", || {
        fleet.engines.iter().for_each(|engine| engine.evict());
        again = caller.ask(&prompt).unwrap_or_default();
        again.0["fetched_tokens"].as_u64() > Some(0)
    });
    let line = |start: &Value, time: Duration| {
        format!(
            "{} prompt tokens: {} fetched, {} recomputed, first token after {:.0} ms",
            start["prompt_tokens"],
            start["fetched_tokens"],
            start["recomputed_tokens"],
            time.as_secs_f64() * 1e3
        )
    };
    println!("long prompt, new:      {}", line(&first, first_time));
    println!("long prompt, evicted:  {}", line(&again.0, again.1));
    Ok(())
}

/// One work order, sent twice.
fn show_order(fleet: &TestFleet, caller: &DemoCaller) -> StepResult<()> {
    let mut answer = caller.post("/v1/order-keys", &json!({}))?;
    let key: Value = answer.body_mut().read_json()?;
    let key = key["key"].as_str().ok_or("no order key")?;
    let body = json!({"work": "work-order", "body": {"trail": 7, "blaze": "blue"}});
    let path = format!("/v1/orders/{key}");
    let mut recorded = Vec::new();
    for _ in 0..2 {
        let answer = caller.post(&path, &body)?;
        let header = answer.headers().get("berylmount-recorded");
        recorded.push(
            header
                .and_then(|h| h.to_str().ok())
                .unwrap_or("")
                .to_owned(),
        );
    }
    let runs: u64 = fleet
        .services
        .iter()
        .map(|service| service.total_runs())
        .sum();
    println!(
        "work order sent twice: recorded {recorded:?}, runs in the service's own count: {runs}"
    );
    match runs {
        1 => Ok(()),
        runs => Err(format!("the order ran {runs} times").into()),
    }
}

/// A row edit that is read back until it is in force everywhere.
fn show_edit(fleet: &TestFleet) -> StepResult<()> {
    operate(
        fleet,
        &["table", "set", "customer", "north-crew", "rate_per_s=80"],
    )?;
    let mut status = String::new();
    wait_until("the edit is in force on all", || {
        let (_, printed) = fleet.operate(&["status"]);
        status = printed;
        status.contains("in force on all")
    });
    println!("$ berylmount status");
    status.lines().for_each(|line| println!("    {line}"));
    Ok(())
}

/// A planned stop of one instance while it serves a stream.
fn show_drain(fleet: &mut TestFleet, caller: &DemoCaller) -> StepResult<()> {
    let prompt = "drain while it runs";
    let mut lines = caller.stream(prompt, 300)?;
    let first = lines.next().ok_or("no answer")??;
    let place = (0..fleet.entries.len())
        .find(|&place| caller.url.ends_with(&fleet.callers(place).to_string()))
        .ok_or("the entry is not known")?;
    for process in [&fleet.entries[place], &fleet.dispatches[place]] {
        process.signal("TERM")?;
    }
    let mut text = String::new();
    let mut last = first;
    for line in lines {
        last = line?;
        text.push_str(last["text"].as_str().unwrap_or_default());
    }
    if last["event"] != "end" || text != expected_answer(prompt, 300) {
        return Err(format!("the answer was cut: {last}").into());
    }
    for process in [&mut fleet.entries[place], &mut fleet.dispatches[place]] {
        let status = process.wait()?;
        if !status.success() {
            return Err(format!("the stop was not clean: {status}").into());
        }
    }
    println!("planned stop of one instance: the stream of 300 tokens came whole, exit codes 0");
    Ok(())
}

fn main() -> StepResult<()> {
    let binary = std::env::args_os().nth(1).map(PathBuf::from);
    let binary = binary.ok_or("usage: quickstart PATH-OF-BERYLMOUNT")?;
    let begun = Instant::now();
    let config = FleetConfig {
        instances: 3,
        data_centres: vec!["ridge-north", "ridge-central", "ridge-south"],
        runners: 3,
        stores: 1,
        engine: EngineConfig {
            prefill_tokens_per_s: 8_000.0,
            ..EngineConfig::default()
        },
        ..FleetConfig::default()
    };
    let mut fleet = TestFleet::launch(&binary, config)?;
    println!("three instances run, each with an entry and a dispatch process");
    make_rows(&fleet)?;
    fleet.wait_ready();
    let caller = DemoCaller::locate(&fleet);
    println!("the entries say: use {}", caller.url);
    show_kept_cache(&fleet, &caller)?;
    show_order(&fleet, &caller)?;
    show_edit(&fleet)?;
    show_drain(&mut fleet, &caller)?;
    println!("all steps passed in {:.1} s", begun.elapsed().as_secs_f64());
    Ok(())
}
