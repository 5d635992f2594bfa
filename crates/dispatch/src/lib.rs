//! The dispatch role: targets.
//!
//! A dispatch process takes requests from entry processes, queues them by
//! runner group, runs them on targets and holds their answers until they are
//! read. All decisions are the `policy` crate's.

mod adopt;
mod answers;
mod calls;
mod groups;
mod kept;
mod order_sweep;
mod orders;
mod process;
mod roster;
mod run;
mod services;
mod shared;
mod versions;
mod watch;
mod weights;

pub use crate::{
    answers::{AnswerBook, AnswerEnd, AnswerPart, AnswerReader, HeldAnswer},
    groups::{RunGrant, RunnerGroup, WorkOffer},
    kept::{KeepWish, KeptDesk},
    order_sweep::{sweep_share, SweepReport},
    orders::{run_order, OrderTargets},
    process::DispatchProcess,
    roster::TargetRoster,
    shared::{DispatchParts, DispatchShared},
    versions::{runner_counts, version_shares, wanted_versions, VersionShare},
};
