//! A scripted KV cache store: what it holds, its events and its listing.

use super::{response_to, AfterResponse, StandinRunner};
use serde_json::{json, Value};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time for which a call for events without any is kept waiting.
const POLL_TIME: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Contents {
    /// Scope, id and tokens of each part, in the order of their events.
    parts: Vec<(String, String, u32)>,
    /// Numbers of events that never arrive.
    lost: Vec<usize>,
    /// Whether events are missing in its next responses.
    has_gap: bool,
    /// Whether it fails to list its parts.
    fails_to_list: bool,
}

/// The store.
#[derive(Clone)]
pub(crate) struct StandinCacheStore {
    pub(crate) address: SocketAddr,
    contents: Arc<Mutex<Contents>>,
}

impl StandinCacheStore {
    /// Starts an empty store.
    pub(crate) fn start() -> Self {
        let contents = Arc::new(Mutex::new(Contents::default()));
        let (served, started) = (contents.clone(), Instant::now());
        let server = StandinRunner::start(move |request, _| {
            thread::sleep(POLL_TIME);
            let clock_ms = started.elapsed().as_millis() as u64 + 1_000_000;
            let response = served.lock().unwrap().respond(request, clock_ms);
            (response, AfterResponse::Keep)
        });
        Self {
            address: server.address,
            contents,
        }
    }

    /// Returns its entry in the table.
    pub(crate) fn service(&self) -> Value {
        json!({
            "Name": "keep", "KvStoreAddr": self.address.to_string(), "Zone": "north",
            "KvCapacityTokens": 5_000_000, "LinkMbps": 180_000.0, "MaxInflight": 12,
            "Managed": true, "first_ms": 0.5,
        })
    }

    /// Holds a part from now on and reports it.
    pub(crate) fn hold(&self, scope: &str, id: &str, tokens: u32) {
        let part = (scope.to_owned(), id.to_owned(), tokens);
        self.contents.lock().unwrap().parts.push(part);
    }

    /// Holds a part from now on, but the event that reports it is lost.
    pub(crate) fn hold_unreported(&self, scope: &str, id: &str, tokens: u32) {
        let mut contents = self.contents.lock().unwrap();
        contents
            .parts
            .push((scope.to_owned(), id.to_owned(), tokens));
        let number = contents.parts.len();
        contents.lost.push(number);
    }

    /// Sets whether events are missing and the store fails to list its parts.
    pub(crate) fn set_failing(&self, is_failing: bool) {
        let mut contents = self.contents.lock().unwrap();
        contents.has_gap = is_failing;
        contents.fails_to_list = is_failing;
    }
}

impl Contents {
    fn respond(&self, request: &str, clock_ms: u64) -> Vec<u8> {
        let next = self.parts.len();
        let mut body = json!({"BootEpoch": 77120, "NextToken": next, "clock_ms": clock_ms});
        let is_listing = request.contains("/kv-list");
        if is_listing && self.fails_to_list {
            return response_to(request, "500 Internal Server Error", "");
        }
        if is_listing {
            let listed = self.parts.iter();
            let listed = listed.map(|(scope, id, tokens)| json!([scope, id, tokens, "m"]));
            body["Retained"] = listed.collect();
            return response_to(request, "200 OK", &body.to_string());
        }
        let since = request
            .split_once("SinceRev=")
            .map_or("0", |(_, rest)| rest);
        let since = since.split_whitespace().next().unwrap_or("0");
        let since: usize = since.parse().unwrap();
        let events = self.parts.iter().zip(1..).skip(since);
        let events = events.filter(|(_, number)| !self.lost.contains(number));
        let events = events
            .map(|((scope, id, tokens), number)| json!([number, "+", scope, id, tokens, "m"]));
        body["Events"] = events.collect();
        body["GapDetected"] = json!(self.has_gap);
        response_to(request, "200 OK", &body.to_string())
    }
}
