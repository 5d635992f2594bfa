//! Clients of model engines, kept-cache stores and plain services.
//!
//! Everything here blocks its thread, bounds what it reads, and answers with a
//! [`TargetFault`] that says whether the request may have run. docs/TARGETS.md
//! has the protocols.

mod engine;
mod fault;
mod fence;
mod http;
pub mod kept;
mod poll;
mod rollout;
mod service;
mod stream;

pub use crate::{
    engine::{CacheEvent, EngineClient, EngineRole, LoadReport, StreamOrder, TargetOrder},
    fault::{FaultKind, RejectReason, TargetFault},
    fence::{
        send_order, FenceCheck, FenceRefusal, LeaseGrant, OrderFault, OrderFence,
        MAX_DRIFT_PER_MILLE,
    },
    http::TargetTimeouts,
    poll::ReportPoll,
    rollout::{PlannedOrder, RolloutPlanner, RolloutSettings, RunnerView, WantedVersion},
    service::{KeyOutcome, ServiceClient},
    stream::{EngineStream, StreamEvent},
};
