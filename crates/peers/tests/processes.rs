//! Membership between real processes over loopback.

#![allow(clippy::unwrap_used)]

mod node;

use berylmount_peers::{BoardConfig, MemberInfo, MemberState};
use node::{node_name, run_child, start_node, ChildNode, LocalNode, NODE_VARIABLE};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Longer than any wait that a passing test needs.
const LONG: Duration = Duration::from_secs(60);

fn config() -> BoardConfig {
    BoardConfig {
        interval_ms: 50,
        probe_ms: 400,
        refute_ms: 1_000,
        ..BoardConfig::default()
    }
}

/// A child runs a node in this test, which does nothing otherwise.
#[test]
fn child() {
    if let Ok(text) = std::env::var(NODE_VARIABLE) {
        run_child(&text, config());
    }
}

fn start_child(number: usize, viewer: &LocalNode) -> ChildNode {
    let arguments = ["--exact", "child", "--nocapture", "--test-threads=1"];
    ChildNode::start(number, &[viewer.address], &arguments)
}

/// Waits until `viewer` sees node `number` as `wanted` says.
fn wait_for(viewer: &LocalNode, number: usize, wanted: impl Fn(&MemberInfo) -> bool) -> MemberInfo {
    let end = Instant::now() + LONG;
    loop {
        let view = viewer.membership.view();
        let member = view.find(&node_name(number));
        if let Some(member) = member.filter(|member| wanted(member)) {
            return member.clone();
        }
        assert!(Instant::now() < end, "{member:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn is(state: MemberState) -> impl Fn(&MemberInfo) -> bool {
    move |member| member.state == state
}

#[test]
fn kills_pauses_and_restarts_are_seen() {
    let viewer = start_node(0, Vec::new(), config());
    let mut children: Vec<_> = (1..5).map(|number| start_child(number, &viewer)).collect();
    let before = wait_for(&viewer, 2, is(MemberState::Live));
    (1..5).for_each(|number| drop(wait_for(&viewer, number, is(MemberState::Live))));

    children[1].child.kill().unwrap();
    wait_for(&viewer, 2, is(MemberState::Dead));
    children[1] = start_child(2, &viewer);
    let after = wait_for(&viewer, 2, is(MemberState::Live));
    assert!(after.incarnation > before.incarnation);

    children[2].signal("-STOP");
    let paused = wait_for(&viewer, 3, is(MemberState::Dead));
    children[2].signal("-CONT");
    let woken = wait_for(&viewer, 3, is(MemberState::Live));
    assert_eq!(woken.incarnation, paused.incarnation);
    let others = [1, 2, 4];
    others
        .iter()
        .for_each(|number| drop(wait_for(&viewer, *number, is(MemberState::Live))));
}

#[test]
fn a_stop_in_good_order_is_told() {
    let first = start_node(0, Vec::new(), config());
    let second = start_node(1, vec![first.address], config());
    wait_for(&first, 1, is(MemberState::Live));
    second.membership.leave();
    wait_for(&first, 1, is(MemberState::Leaving));
    second.membership.stop();
    let gone = wait_for(&first, 1, is(MemberState::Dead));
    assert!(gone.left);
}
