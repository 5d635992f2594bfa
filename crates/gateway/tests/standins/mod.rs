//! Test doubles for the platform's store, runners and callers.

// Each test binary uses only some of the items.
#![allow(dead_code, unused_imports, clippy::unwrap_used)]

mod brittle_runner;
mod cache_store;
mod crashing_fleet;
mod datagrams;
mod limited_runner;
mod link;
mod runner;
mod store;
mod test_gateway;

pub(crate) use brittle_runner::{BrittleCount, BrittleRunner};
pub(crate) use cache_store::StandinCacheStore;
pub(crate) use crashing_fleet::{CrashingCall, FleetRecord};
pub(crate) use datagrams::{encode_heartbeat, encode_messages};
pub(crate) use limited_runner::{Arrival, LimitedRunner, LIMIT_CONTACT};
pub(crate) use link::{CuttableLink, LinkCut};
pub(crate) use runner::{
    event_stream_to, header, healthy_runner, read_head, read_message, received_requests,
    response_to, response_with_id, scripted_runner, AfterResponse, StandinRunner,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};
pub(crate) use store::{StandinStore, StoreBackup};
pub(crate) use test_gateway::{
    all_routes, read_response, route, send_request, settings, table, KeptConnection, TestGateway,
};

/// Time limit of a wait for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `holds` returns true; panics with `what` after the time limit.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
