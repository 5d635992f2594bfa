//! Routes, customer keys, runners and requests as the gateway sees them.
//!
//! The types are plain data without I/O and independent of external formats. An
//! adapter crate converts external formats to them.
//!
//! Invariants:
//!
//! - A [`RouteTable`] is immutable. A newer table replaces it as a whole.
//! - Names of customers, services and runners are opaque strings.

mod bounds;
mod regions;
mod request;
mod routes;
mod runners;

pub use crate::{
    bounds::{
        ColdTolerance, ListenAddresses, MachineLimits, OperatorBounds, ProcessSettings,
        StoreEndpoint,
    },
    regions::{HomeRegions, RegionMap},
    request::{CallerRequest, PromptPart, PromptShape},
    routes::{
        CacheStore, CallerLimits, ColdStart, CustomerRecord, EngineSpec, RouteKind, RouteRule,
        RouteTable, ServiceKind, ServiceShare, TargetService,
    },
    runners::{DesiredVersion, RunnerLoad, RunnerRecord, RunnerState, WeightsVersion},
};
