//! Orders of old and new holders at engine stand-ins that check and that do not.

#![allow(clippy::unwrap_used)]

use berylmount_model::{InstanceName, ModelName, VersionName};
use berylmount_standins::{EngineConfig, EngineServer};
use berylmount_targets::{
    send_order, EngineClient, FaultKind, FenceCheck, FenceRefusal, LeaseGrant, OrderFault,
    OrderFence, RejectReason, RolloutPlanner, RolloutSettings, RunnerView, TargetOrder,
    TargetTimeouts, WantedVersion,
};
use std::time::{Duration, Instant};

const LEASE_MS: u64 = 1_000;
const FLIGHT_MS: u64 = 200;

fn engine(checks_fencing: bool) -> (EngineServer, EngineClient) {
    let engine = EngineServer::start(EngineConfig {
        checks_fencing,
        load_ms: 0,
        ..EngineConfig::default()
    });
    let engine = engine.unwrap();
    let client = EngineClient::new(engine.address(), TargetTimeouts::default());
    (engine, client)
}

fn fence(number: u64, granted_ms: u64) -> OrderFence {
    let grant = LeaseGrant {
        fence: number,
        asked_ms: granted_ms,
        granted_ms,
        length_ms: LEASE_MS,
    };
    OrderFence::new(grant, FLIGHT_MS)
}

fn load(version: &str) -> TargetOrder {
    TargetOrder::Load {
        model: ModelName::new("blaze").unwrap(),
        version: VersionName::new(version).unwrap(),
    }
}

fn wait_for(client: &EngineClient, version: &str) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while client.load().unwrap().version.as_str() != version {
        assert!(Instant::now() < deadline, "{version} never came");
    }
}

#[test]
fn a_checking_engine_refuses_a_holder_that_slept_past_its_lease() {
    let (engine, client) = engine(true);
    let (old, new) = (fence(1, 0), fence(2, 2_000));
    let checked = FenceCheck::Checked;
    send_order(&client, &new, checked, &|| 2_010, &load("v3")).unwrap();
    wait_for(&client, "v3");
    // The old holder read its clock before it was paused.
    let late = send_order(&client, &old, checked, &|| 500, &load("v2"));
    assert!(late.as_ref().unwrap_err().is_not_run());
    let Err(OrderFault::Target(fault)) = late else {
        panic!("the old order was taken");
    };
    assert_eq!(fault.kind, FaultKind::Rejected(RejectReason::StaleFence));
    assert_eq!(engine.report()["stale_orders"], 0);
    assert_eq!(client.load().unwrap().version.as_str(), "v3");
}

#[test]
fn an_engine_that_does_not_check_gets_nothing_outside_the_lease() {
    let (engine, client) = engine(false);
    let unchecked = FenceCheck::Unchecked;
    let send = |fence: &OrderFence, now_ms: u64| {
        send_order(&client, fence, unchecked, &|| now_ms, &load("v2"))
    };
    let old = fence(1, 0);
    assert_eq!(
        send(&old, 1_000),
        Err(OrderFault::Fenced(FenceRefusal::LeaseOver))
    );
    let mut new = fence(2, 2_000);
    let early = FenceRefusal::OldOrders { wait_ms: 1_110 };
    assert_eq!(send(&new, 2_100), Err(OrderFault::Fenced(early)));
    assert_eq!(engine.report()["orders"].as_array().unwrap().len(), 0);
    new.renew(2_900);
    send(&new, 3_210).unwrap();
    assert_eq!(engine.report()["orders"].as_array().unwrap().len(), 1);
}

#[test]
fn an_order_that_took_too_long_is_told() {
    let (_engine, client) = engine(false);
    let mut held = fence(1, 0);
    held.renew(1_000);
    let clock = std::cell::Cell::new(1_300);
    let slow = || clock.replace(clock.get() + FLIGHT_MS + 1);
    let sent = send_order(&client, &held, FenceCheck::Unchecked, &slow, &load("v2"));
    assert_eq!(sent, Err(OrderFault::Late(FLIGHT_MS + 1)));
    assert!(!sent.unwrap_err().is_not_run());
}

#[test]
fn a_stale_order_that_got_through_is_corrected() {
    let (engine, client) = engine(false);
    client.order(2, &load("v3")).unwrap();
    // Sent by the old holder before it was paused, delivered long after.
    client.order(1, &load("v2")).unwrap();
    assert_eq!(engine.report()["stale_orders"], 1);
    wait_for(&client, "v2");
    let settings = RolloutSettings {
        parallel_loads: 2,
        load_limit_ms: 1_000,
        report_lag_ms: 0,
        flight_ms: 0,
        silent_ms: 1_000,
    };
    let mut planner = RolloutPlanner::new(settings, 0);
    let instance = InstanceName::new("runner-1").unwrap();
    let wanted = [WantedVersion {
        instance: instance.clone(),
        model: ModelName::new("blaze").unwrap(),
        version: VersionName::new("v3").unwrap(),
    }];
    let view = RunnerView {
        instance,
        received_ms: 1,
        report: client.load().unwrap(),
    };
    let planned = planner.plan(&wanted, &[view], 1);
    client.order(2, &planned[0].order).unwrap();
    wait_for(&client, "v3");
}
