//! Reports of a pool most of whose runners are silent.

#![allow(clippy::unwrap_used)]

use berylmount_model::InstanceName;
use berylmount_standins::{EngineConfig, EngineServer};
use berylmount_targets::{ReportPoll, TargetTimeouts};
use std::{cell::Cell, net::TcpListener, sync::atomic::AtomicU64, time::Duration};

#[test]
fn silent_runners_hold_up_nobody() {
    let timeouts = TargetTimeouts {
        call: Duration::from_millis(500),
        ..TargetTimeouts::default()
    };
    let silent: Vec<_> = (0..24)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let engines: Vec<_> = (0..2)
        .map(|_| EngineServer::start(EngineConfig::default()).unwrap())
        .collect();
    let addresses = silent.iter().map(|listener| listener.local_addr().unwrap());
    let addresses = addresses.chain(engines.iter().map(EngineServer::address));
    let runners: Vec<_> = addresses
        .enumerate()
        .map(|(i, address)| {
            (
                InstanceName::new(&format!("runner-{i:02}")).unwrap(),
                address,
            )
        })
        .collect();
    let round = AtomicU64::new(0);
    let clock = || round.load(std::sync::atomic::Ordering::Relaxed);
    let mut poll = ReportPoll::default();
    let rounds = Cell::new(0);
    let mut look = || {
        rounds.set(rounds.get() + 1);
        round.store(rounds.get(), std::sync::atomic::Ordering::Relaxed);
        let views = poll.poll(&runners, timeouts, &clock, Duration::ZERO);
        views
            .iter()
            .filter(|v| v.received_ms == rounds.get())
            .count()
    };
    assert_eq!(look(), 0, "the first round outlasted its budget");
    // Each round asks some that were not asked before, so all are reached.
    while look() < 2 {
        assert!(
            rounds.get() < 60,
            "the runners that answer are never reached"
        );
    }
    for _ in 0..2 {
        assert_eq!(look(), 2, "a runner that answers was left out");
    }
}
