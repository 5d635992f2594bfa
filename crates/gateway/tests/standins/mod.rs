//! Small stand-ins: the platform's store, runners, and callers.

// Each test program uses a part of them.
#![allow(dead_code, unused_imports, clippy::unwrap_used)]

mod runner;
mod served;
mod store;

pub(crate) use runner::{
    event_stream_to, header, healthy_runner, read_message, received_requests, response_to,
    response_with_id, scripted_runner, AfterResponse, StandinRunner,
};
pub(crate) use served::{
    all_routes, read_response, route, send_request, settings, table, TestGateway,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};
pub(crate) use store::{StandinStore, StoreCopy};

/// Longest wait for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `holds`.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "waited for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
