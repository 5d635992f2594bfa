//! A fleet whose runners crash when they get certain requests, with callers that send them
//! among sound ones.

use super::{
    all_routes, event_stream_to, header, response_to, scripted_runner, table, AfterResponse,
    StandinRunner, StandinStore, TestGateway,
};
use std::{
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

const INSTANCES: usize = 3;
const RUNNERS: usize = 8;
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(30);
/// One of this many requests crashes its runner.
const CRASHING_EVERY: usize = 5;
/// Time after the last crash that the platform's rule allows, from which it holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests that the rule allows from then on.
const MAX_LATER: usize = 3;
/// Time for which requests come after the rule holds.
const WATCHED: Duration = Duration::from_secs(3);

/// A kind of request, and what is common to those that crash their runners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CrashingCall {
    /// Prompts that share one part; everything else differs.
    PromptPart,
    /// The same prompt, with parts that sound prompts share.
    Prompt,
    /// The same idempotent request.
    Safe,
    /// The same request that is not idempotent.
    Unsafe,
    /// The same request for a stream that may not be resumed.
    Stream,
    /// The same request for a stream that may be resumed.
    ResumableStream,
}

impl CrashingCall {
    /// Crashes after which the platform's rule counts.
    fn rule_crashes(self) -> usize {
        match self {
            Self::PromptPart => 5,
            _ => 3,
        }
    }

    /// Returns the first line, the headers and the body of a request.
    fn encode(self, number: usize, is_crashing: bool) -> (String, String, String) {
        let prompt = |parts: &str| {
            format!(
                "Berylmount-Model: m\r\nBerylmount-Token-Usage: 100,10\r\n\
                 Berylmount-Prompt-Prefix: {parts}\r\n"
            )
        };
        let body = match is_crashing {
            true => "dead".to_owned(),
            false => format!("body {number}"),
        };
        let line = match self {
            Self::PromptPart | Self::Prompt | Self::Unsafe => "POST /unsafe/x",
            Self::Safe => "POST /safe/x",
            Self::Stream => "POST /stream/x",
            Self::ResumableStream => "POST /resume/x",
        };
        let headers = match (self, is_crashing) {
            (Self::PromptPart, true) => prompt(&format!("aaaa:40,dead:30,bbbb:20,{number:x}:10")),
            (Self::PromptPart, false) => prompt(&format!("aaaa:40,bbbb:20,{number:x}:10")),
            (Self::Prompt, true) => prompt("aaaa:40,bbbb:20,cccc:10"),
            (Self::Prompt, false) => prompt(&format!("aaaa:40,bbbb:20,{number:x}:10")),
            _ => String::new(),
        };
        let body = match self {
            Self::PromptPart => format!("body {number}"),
            _ => body,
        };
        (line.to_owned(), headers, body)
    }
}

/// What runners received and callers got.
#[derive(Clone, Default)]
pub(crate) struct FleetRecord {
    /// Times of crashing requests at runners.
    pub(crate) crashes: Arc<Mutex<Vec<Instant>>>,
    pub(crate) sound_sent: Arc<AtomicUsize>,
    pub(crate) sound_served: Arc<AtomicUsize>,
    /// Statuses of crashing requests, with the time.
    pub(crate) refusals: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl FleetRecord {
    /// Starts instances and runners with a common store.
    pub(crate) fn start_fleet(&self) -> Vec<TestGateway> {
        let store = StandinStore::start();
        store.put("config", "main", Some(table(1, all_routes())));
        for number in 0..RUNNERS {
            let entry = self.crashing_runner().entry("svc", "ready");
            store.put("servers", &format!("r{number}"), Some(entry));
        }
        let start = |number| TestGateway::start_with(store.clone(), &format!("i{number}"));
        let gateways: Vec<TestGateway> = (0..INSTANCES).map(start).collect();
        for gateway in &gateways {
            gateway.wait_ready();
            gateway.wait_for_status("GET /safe/warm", "200", false);
        }
        gateways
    }

    /// A runner whose connection breaks when it gets a crashing request.
    fn crashing_runner(&self) -> StandinRunner {
        let crashes = self.crashes.clone();
        scripted_runner(move |request| {
            let prompt = header(request, "berylmount-prompt-prefix").unwrap_or_default();
            if prompt.contains("dead") || request.ends_with("dead") {
                crashes.lock().unwrap().push(Instant::now());
                return (Vec::new(), AfterResponse::Close);
            }
            let response = match request.contains("/stream/") || request.contains("/resume/") {
                true => event_stream_to(request, &["id: 1\ndata: a\n\n"], true),
                false => response_to(request, "200 OK", "fine"),
            };
            (response, AfterResponse::Keep)
        })
    }

    /// Sends requests until `is_over`.
    pub(crate) fn run_caller(
        &self,
        gateway: &TestGateway,
        call: CrashingCall,
        is_over: &AtomicBool,
    ) {
        let name = &gateway.settings.name;
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            thread::sleep(CALLER_PAUSE);
            number += 1;
            let is_crashing = number % CRASHING_EVERY == 0;
            let (line, headers, body) = call.encode(number, is_crashing);
            let id = format!("{name}-{number}");
            let response = gateway.call(&line, &id, &headers, &body);
            let status = response.unwrap()[9..12].to_owned();
            if is_crashing {
                let mut refusals = self.refusals.lock().unwrap();
                refusals.push((Instant::now(), status));
                continue;
            }
            self.sound_sent.fetch_add(1, Ordering::Relaxed);
            let is_served = status == "200";
            self.sound_served
                .fetch_add(usize::from(is_served), Ordering::Relaxed);
        }
    }

    /// Waits for the crash from which the rule counts; returns when it holds.
    fn wait_for_rule(&self, call: CrashingCall) -> Instant {
        loop {
            thread::sleep(Duration::from_millis(20));
            let crashes = self.crashes.lock().unwrap();
            if let Some(last) = crashes.get(call.rule_crashes() - 1) {
                return *last + CONTACT;
            }
        }
    }

    /// Sends requests to all instances until the rule has held for some time. Crashing ones
    /// must have stopped by then, and sound ones must be served throughout.
    pub(crate) fn check_rule(&self, gateways: &[TestGateway], call: CrashingCall) {
        let is_over = AtomicBool::new(false);
        let holds_at = thread::scope(|scope| {
            for gateway in gateways {
                let is_over = &is_over;
                scope.spawn(move || self.run_caller(gateway, call, is_over));
            }
            let holds_at = self.wait_for_rule(call);
            let end = holds_at + WATCHED;
            thread::sleep(end.saturating_duration_since(Instant::now()));
            is_over.store(true, Ordering::Relaxed);
            holds_at
        });
        let crashes = self.crashes.lock().unwrap();
        let later = crashes.iter().filter(|at| **at > holds_at).count();
        assert!(later <= MAX_LATER, "{call:?}: {later} requests came late");
        let sent = self.sound_sent.load(Ordering::Relaxed);
        let served = self.sound_served.load(Ordering::Relaxed);
        assert!(
            served * 10 >= sent * 9,
            "{call:?}: {served} of {sent} sound requests served"
        );
        let refusals = self.refusals.lock().unwrap();
        let late = refusals.iter().filter(|(at, _)| *at > holds_at);
        let mut statuses: Vec<&str> = late.map(|(_, status)| status.as_str()).collect();
        statuses.dedup();
        assert_eq!(statuses, ["503"], "{call:?}");
    }
}
