//! Routes, keys, runners and requests as the gateway knows them.
//!
//! Plain data without I/O, in the project's own terms. An adapter at the edge
//! of the process fills these types; nothing here knows how an outside system
//! spells them.
//!
//! Invariants:
//!
//! - A [`RouteTable`] never changes once built. A newer one replaces it whole.
//! - Text that names a customer, service or runner is opaque.

mod bounds;
mod request;
mod routes;
mod runners;

pub use crate::{
    bounds::{ListenAddresses, MachineLimits, ProcessSettings, RuleBounds, StoreEndpoint},
    request::{CallerRequest, PromptPart, PromptShape},
    routes::{
        CacheStore, CallerLimits, EngineSpec, RouteKind, RouteRule, RouteTable, ServiceKind,
        ServiceShare, ServingCustomer, TargetService,
    },
    runners::{DesiredVersion, RunnerLoad, RunnerRecord, RunnerState, WeightsVersion},
};
