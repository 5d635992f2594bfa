//! Small stand-ins: the platform's store, runners, and callers.

// Each test program uses a part of them.
#![allow(dead_code, unused_imports, clippy::unwrap_used)]

mod runner;
mod served;
mod store;

pub(crate) use runner::{
    answer_to, answer_with_id, arrivals, header, read_message, scripted, sound, stream_to,
    AfterAnswer, StandinRunner,
};
pub(crate) use served::{all_routes, ask, read_answer, route, settings, table, Served};
use std::{
    net::{Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};
pub(crate) use store::{StandinStore, StoreBackup};

/// Longest wait for a condition.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until `holds`.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "waited for: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
