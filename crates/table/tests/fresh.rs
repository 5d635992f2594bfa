//! Single cases of the freshness rule; the fuzz has the rest.
#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

use berylmount_model::InstanceName;
use berylmount_table::{FreshnessClock, FreshnessState, PeerReport, FRESHNESS_MS};

const HEAD: u64 = 7;

/// A clock that knows the members `names` beside itself and has applied the head.
fn clock(names: &[&str]) -> (FreshnessClock, Vec<InstanceName>) {
    let names: Vec<_> = names
        .iter()
        .map(|name| InstanceName::new(name).unwrap())
        .collect();
    let mut clock = FreshnessClock::new(0);
    clock.set_peers(&names);
    clock.applied(HEAD);
    (clock, names)
}

fn report(confirmed_age_ms: Option<u64>) -> PeerReport {
    let joined = true;
    PeerReport {
        head: HEAD,
        joined,
        confirmed_age_ms,
    }
}

#[test]
fn a_confirmation_older_than_the_newest_vote_counts() {
    let (mut clock, names) = clock(&["a", "b", "c"]);
    clock.peer_report(&names[0], report(None), 100);
    clock.peer_report(&names[0], report(Some(0)), 90);
    assert_eq!(clock.state(100), FreshnessState::Platform);
    assert_eq!(clock.state(90 + FRESHNESS_MS), FreshnessState::Unconfirmed);
}

#[test]
fn unknown_members_are_no_majority() {
    let mut clock = FreshnessClock::new(0);
    clock.confirmed_by_platform(0, 0);
    assert_eq!(clock.state(FRESHNESS_MS), FreshnessState::Unconfirmed);
    assert!(!clock.force(0).accepted());
    clock.set_peers(&[]);
    assert_eq!(clock.state(FRESHNESS_MS), FreshnessState::Peers);
    assert!(clock.force(0).accepted());
}

#[test]
fn a_member_that_is_gone_has_no_vote() {
    let (mut clock, names) = clock(&["a", "b", "c", "d"]);
    clock.confirmed_by_platform(0, HEAD);
    let now_ms = 2 * FRESHNESS_MS;
    clock.peer_report(&names[0], report(None), now_ms);
    clock.peer_report(&names[1], report(None), now_ms);
    assert_eq!(clock.state(now_ms), FreshnessState::Peers);
    clock.set_peers(&names[1..]);
    assert_eq!(clock.state(now_ms), FreshnessState::Unconfirmed);
    clock.peer_report(&names[0], report(None), now_ms);
    assert_eq!(clock.state(now_ms), FreshnessState::Unconfirmed);
}
