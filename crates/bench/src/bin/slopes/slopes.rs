//! The slopes that can be measured.

use crate::usage::ProcessUsage;
use berylmount_objects::CallKind;
use berylmount_standins::{
    wait_until, EngineConfig, FleetConfig, TestFleet, TestProcess, CUSTOMER_KEY, CUSTOMER_KEY_HASH,
};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::{
    fmt::Write,
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};
use strum::{EnumString, IntoEnumIterator, VariantNames};
use ureq::Agent;

/// How long idle processes are watched.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Different prompts in the slope over prompts, one after the other.
const PROMPTS: [usize; 4] = [0, 1_000, 5_000, 20_000];

/// Words of a prompt that has one whole piece.
const PIECE_WORDS: usize = 1_030;

/// Instances in the slope over processes; each runs two.
const INSTANCES: [usize; 4] = [2, 4, 8, 16];

/// Customers in the slope over customers.
const CUSTOMERS: [usize; 4] = [100, 1_000, 10_000, 41_000];

/// Requests in the comparison of one hop.
const HOP_REQUESTS: usize = 400;

/// Requests in the measure of processor time.
const LOAD_REQUESTS: usize = 1_500;

/// Threads that send them.
const LOAD_THREADS: usize = 8;

/// Tokens of each answer in the measure of processor time.
const LOAD_TOKENS: usize = 100;

/// Edits whose way to every process is timed.
const EDITS: usize = 20;

/// A slope.
#[derive(Clone, Copy, Debug, Eq, PartialEq, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum SlopeName {
    /// Idle cost over the number of processes.
    Processes,
    /// Memory and time of changes over the number of customers.
    Customers,
    /// Time to the first token through us and past us.
    Hop,
    /// Processor time for each request and token.
    Load,
    /// Memory over the number of different prompts of one piece.
    Prompts,
}

/// Measures `slope` with processes of `binary`.
///
/// # Errors
///
/// Fails when a process does not start or goes away.
pub(crate) fn measure(binary: &Path, slope: SlopeName) -> io::Result<()> {
    match slope {
        SlopeName::Processes => INSTANCES.iter().try_for_each(|&n| idle_cost(binary, n)),
        SlopeName::Customers => CUSTOMERS.iter().try_for_each(|&n| customer_cost(binary, n)),
        SlopeName::Hop => hop_cost(binary),
        SlopeName::Load => load_cost(binary),
        SlopeName::Prompts => prompt_cost(binary),
    }
}

/// Prints one figure line.
fn print_line(line: &Value) {
    println!("{line}");
}

/// A table of `customers` customers and the works that the slopes use.
fn sheet(customers: usize) -> String {
    let mut sheet = String::from(
        "kind,name,key_hash,weight,rate_per_s,burst,in_flight,role,model,version,class,pool,\
         idempotent,first_token_ms,total_ms,max_tokens,max_prompt_tokens,checks_fencing\n\
         pool,blaze-models,,,,,,engine,,,,,,,,,,yes\n\
         model,blaze,,,,,,,,v1,,,,,,,,\n\
         work,crew-question,,10,,,,,blaze,,interactive,blaze-models,yes,5000,60000,2000,20000,\n",
    );
    for number in 0..customers {
        let name = match number {
            0 => "north-crew".to_owned(),
            n => format!("customer-{n}"),
        };
        // Writing to a String can't fail.
        let _ = writeln!(
            sheet,
            "customer,{name},{CUSTOMER_KEY_HASH},10,10000,10000,10000,,,,,,,,,,,"
        );
    }
    sheet
}

/// A fleet of `instances` instances with fast targets.
fn start_fleet(binary: &Path, instances: usize, customers: usize) -> io::Result<TestFleet> {
    let config = FleetConfig {
        instances,
        runners: instances.min(4),
        engine: EngineConfig {
            decode_ms: 0.5,
            max_batch: 256,
            ..EngineConfig::default()
        },
        ..FleetConfig::default()
    };
    TestFleet::start(binary, config, &sheet(customers))
}

/// The usage of each process, summed over `processes`.
fn usages(processes: &[TestProcess]) -> io::Result<Vec<ProcessUsage>> {
    processes
        .iter()
        .map(|p| ProcessUsage::read(p.id()))
        .collect()
}

/// The value of a metric without a label, or the sum over its labels.
fn metric(address: SocketAddr, name: &str) -> f64 {
    let page = ureq::get(format!("http://{address}/metrics")).call();
    let page = page.and_then(|mut page| page.body_mut().read_to_string());
    let page = page.unwrap_or_default();
    let values = page.lines().filter_map(|line| {
        let (key, value) = line.rsplit_once(' ')?;
        let found = key == name || key.starts_with(&format!("{name}{{"));
        found.then(|| value.parse::<f64>().ok()).flatten()
    });
    values.sum()
}

/// Prints what idle processes cost, each.
fn idle_cost(binary: &Path, instances: usize) -> io::Result<()> {
    let fleet = start_fleet(binary, instances, 10)?;
    // Membership settles before the watch begins.
    thread::sleep(IDLE_TIME / 2);
    let roles = [("entry", &fleet.entries), ("dispatch", &fleet.dispatches)];
    let calls = |kind| fleet.platform.store().counts().calls(kind);
    let calls_before: Vec<u64> = CallKind::iter().map(calls).collect();
    let bytes = |processes: &[TestProcess]| -> f64 {
        let sent = processes
            .iter()
            .map(|p| metric(p.addresses.metrics, "berylmount_peer_bytes_total"));
        sent.sum()
    };
    let before: Vec<_> = roles
        .iter()
        .map(|(_, processes)| Ok((usages(processes)?, bytes(processes))))
        .collect::<io::Result<_>>()?;
    thread::sleep(IDLE_TIME);
    let seconds = IDLE_TIME.as_secs_f64();
    let processes = (2 * instances) as f64;
    for ((role, running), (usage_before, bytes_before)) in roles.iter().zip(before) {
        let usage = usages(running)?;
        let cpu: f64 = usage
            .iter()
            .zip(&usage_before)
            .map(|(a, b)| a.cpu_s - b.cpu_s)
            .sum();
        let memory = usage.iter().map(|u| u.memory_bytes).max().unwrap_or(0);
        let threads = usage.iter().map(|u| u.threads).max().unwrap_or(0);
        print_line(&json!({
            "slope": "processes", "processes": processes, "role": role,
            "cpu_percent_each": 100.0 * cpu / seconds / instances as f64,
            "memory_mib_most": memory as f64 / (1 << 20) as f64,
            "threads_most": threads,
            "peer_bytes_per_s_each": (bytes(running) - bytes_before) / seconds / instances as f64,
        }));
    }
    let calls_after = CallKind::iter().map(calls);
    let rates = CallKind::iter()
        .zip(calls_after.zip(calls_before))
        .map(|(kind, (a, b))| {
            let rate = (a - b) as f64 / seconds / processes;
            (kind.to_string(), json!(rate))
        });
    print_line(&json!({
        "slope": "processes", "processes": processes,
        "platform_calls_per_s_each": rates.collect::<serde_json::Map<_, _>>(),
    }));
    Ok(())
}

/// Prints what a table of `customers` costs, and how long changes take.
fn customer_cost(binary: &Path, customers: usize) -> io::Result<()> {
    let begun = Instant::now();
    let fleet = start_fleet(binary, 3, customers)?;
    let import_s = begun.elapsed().as_secs_f64();
    let mut times = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    for number in 0..EDITS {
        let took = time_edit(&fleet, number)?;
        times
            .record(took.as_millis() as u64)
            .map_err(io::Error::other)?;
    }
    for (role, processes) in [("entry", &fleet.entries), ("dispatch", &fleet.dispatches)] {
        let usage = usages(processes)?;
        let memory = usage.iter().map(|u| u.memory_bytes).max().unwrap_or(0);
        print_line(&json!({
            "slope": "customers", "customers": customers, "role": role,
            "memory_mib_most": memory as f64 / (1 << 20) as f64,
        }));
    }
    print_line(&json!({
        "slope": "customers", "customers": customers,
        "start_and_import_s": import_s,
        "edit_in_force_ms": {"p50": times.value_at_quantile(0.5), "max": times.max()},
    }));
    Ok(())
}

/// Edits a row and returns the time until every process has applied it.
fn time_edit(fleet: &TestFleet, number: usize) -> io::Result<Duration> {
    let applied = |process: &TestProcess| {
        metric(process.addresses.metrics, "berylmount_table_version") as u64
    };
    let processes = || fleet.entries.iter().chain(&fleet.dispatches);
    let before = processes().map(applied).max().unwrap_or(0);
    let begun = Instant::now();
    let rate = format!("rate_per_s={}", 10_001 + number);
    let (done, printed) = fleet.operate(&["table", "set", "customer", "north-crew", &rate]);
    if !done {
        return Err(io::Error::other(printed));
    }
    wait_until("the edit is in force on all", || {
        processes().all(|process| applied(process) > before)
    });
    Ok(begun.elapsed())
}

/// An HTTP client that keeps its connections.
fn agent() -> Agent {
    let config = Agent::config_builder().timeout_global(Some(Duration::from_secs(60)));
    config.build().into()
}

/// Sends a short streamed prompt through an entry.
fn ask_entry(agent: &Agent, entry: SocketAddr, tokens: usize) -> io::Result<Duration> {
    ask_prompt(agent, entry, "which colour", tokens)
}

/// Sends a streamed prompt through an entry; returns the time to the first token.
fn ask_prompt(
    agent: &Agent,
    entry: SocketAddr,
    prompt: &str,
    tokens: usize,
) -> io::Result<Duration> {
    let body = json!({
        "work": "crew-question", "prompt": prompt, "max_tokens": tokens, "stream": true
    });
    let begun = Instant::now();
    let answer = agent
        .post(format!("http://{entry}/v1/prompts"))
        .header("authorization", format!("Bearer north-crew:{CUSTOMER_KEY}"))
        .send_json(body)
        .map_err(io::Error::other)?;
    first_token(begun, BufReader::new(answer.into_body().into_reader()))
}

/// Sends the same prompt to a runner itself.
fn ask_runner(agent: &Agent, runner: SocketAddr, number: usize) -> io::Result<Duration> {
    let body = json!({
        "stream": format!("direct-{number}"), "prompt": "which colour", "scope": "north-crew",
        "model": "blaze", "version": "v1", "adapter": "", "pieces": [], "max_tokens": 5,
        "priority": 1
    });
    let begun = Instant::now();
    let answer = agent
        .post(format!("http://{runner}/v1/streams"))
        .send_json(body)
        .map_err(io::Error::other)?;
    first_token(begun, BufReader::new(answer.into_body().into_reader()))
}

/// Reads an answer to its end; returns when its first token came.
fn first_token(begun: Instant, lines: impl BufRead) -> io::Result<Duration> {
    let mut first = None;
    let mut ended = false;
    for line in lines.lines() {
        let line = line?;
        if line.contains("\"token\"") {
            first = first.or(Some(begun.elapsed()));
        }
        ended |= line.contains("\"end\"");
    }
    first
        .filter(|_| ended)
        .ok_or_else(|| io::Error::other("an answer was not whole"))
}

/// Prints the time to the first token through us and past us, in turns.
fn hop_cost(binary: &Path) -> io::Result<()> {
    let fleet = start_fleet(binary, 1, 1)?;
    let agent = agent();
    let (entry, runner) = (fleet.callers(0), fleet.engines[0].address());
    let new = || Histogram::<u64>::new(3).map_err(io::Error::other);
    let (mut through, mut past) = (new()?, new()?);
    for number in 0..HOP_REQUESTS {
        let record = |histogram: &mut Histogram<u64>, took: Duration| {
            histogram
                .record(took.as_micros() as u64)
                .map_err(io::Error::other)
        };
        record(&mut past, ask_runner(&agent, runner, number)?)?;
        record(&mut through, ask_entry(&agent, entry, 5)?)?;
    }
    let ms = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1e3;
    print_line(&json!({
        "slope": "hop", "requests": HOP_REQUESTS,
        "through_ms": {"p50": ms(&through, 0.5), "p99": ms(&through, 0.99)},
        "past_ms": {"p50": ms(&past, 0.5), "p99": ms(&past, 0.99)},
        "ratio_p50": ms(&through, 0.5) / ms(&past, 0.5),
    }));
    Ok(())
}

/// Sends the prompts numbered `from` to `to`, all different, from a few threads.
fn send_prompts(entry: SocketAddr, from: usize, to: usize) -> io::Result<()> {
    thread::scope(|scope| {
        let send = move |first: usize| {
            let agent = agent();
            (first..to).step_by(LOAD_THREADS).try_for_each(|number| {
                let prompt = format!("n{number} ").repeat(PIECE_WORDS);
                ask_prompt(&agent, entry, &prompt, 1).map(drop)
            })
        };
        let senders: Vec<_> = (from..from + LOAD_THREADS)
            .map(|first| scope.spawn(move || send(first)))
            .collect();
        senders
            .into_iter()
            .try_for_each(|sender| sender.join().unwrap_or(Err(io::ErrorKind::Other.into())))
    })
}

/// Prints the memory after ever more different prompts.
fn prompt_cost(binary: &Path) -> io::Result<()> {
    let fleet = start_fleet(binary, 1, 1)?;
    let entry = fleet.callers(0);
    let mut sent = 0;
    for prompts in PROMPTS {
        send_prompts(entry, sent, prompts)?;
        sent = prompts;
        let usage = [usages(&fleet.entries)?, usages(&fleet.dispatches)?];
        print_line(&json!({
            "slope": "prompts", "prompts": prompts,
            "memory_mib": usage.map(|usage| usage[0].memory_bytes as f64 / (1 << 20) as f64),
        }));
    }
    Ok(())
}

/// Prints the processor time for each request and each token.
fn load_cost(binary: &Path) -> io::Result<()> {
    let fleet = start_fleet(binary, 1, 1)?;
    let entry = fleet.callers(0);
    for tokens in [1, LOAD_TOKENS] {
        let before = [usages(&fleet.entries)?, usages(&fleet.dispatches)?];
        let begun = Instant::now();
        let sent: io::Result<()> = thread::scope(|scope| {
            let senders: Vec<_> = (0..LOAD_THREADS)
                .map(|_| {
                    scope.spawn(|| {
                        let agent = agent();
                        (0..LOAD_REQUESTS / LOAD_THREADS)
                            .try_for_each(|_| ask_entry(&agent, entry, tokens).map(drop))
                    })
                })
                .collect();
            senders
                .into_iter()
                .try_for_each(|sender| sender.join().unwrap_or(Err(io::ErrorKind::Other.into())))
        });
        sent?;
        let seconds = begun.elapsed().as_secs_f64();
        let after = [usages(&fleet.entries)?, usages(&fleet.dispatches)?];
        let cpu = |role: usize| after[role][0].cpu_s - before[role][0].cpu_s;
        let requests = (LOAD_REQUESTS / LOAD_THREADS * LOAD_THREADS) as f64;
        print_line(&json!({
            "slope": "load", "tokens": tokens, "requests_per_s": requests / seconds,
            "entry_cpu_ms_each": 1e3 * cpu(0) / requests,
            "dispatch_cpu_ms_each": 1e3 * cpu(1) / requests,
            "memory_mib": after.map(|usage| usage[0].memory_bytes as f64 / (1 << 20) as f64),
        }));
    }
    Ok(())
}
