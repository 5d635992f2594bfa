//! Small stand-ins for outside systems, and the harness that runs processes in tests.

mod engine;
mod engine_batch;
mod engine_cache;
mod engine_transfer;
mod fleet;
mod memory;
mod platform;
mod process;
mod proxy;
mod serve;
mod service;
mod store;
mod store_slots;

pub use crate::{
    engine::{run_engine, EngineConfig, EngineServer},
    engine_batch::{expected_answer, expected_tokens},
    fleet::{FleetConfig, TestFleet, CUSTOMER_KEY, CUSTOMER_KEY_HASH, OPERATOR_KEY},
    memory::{MemoryStore, WriteFault},
    platform::{run_platform, PlatformFaults, PlatformServer},
    process::{wait_until, ProcessAddresses, TestProcess},
    proxy::{run_proxy, FaultProxy, ProxyFaults},
    service::{run_service, ServiceConfig, ServiceFault, ServiceServer},
    store::{run_store, StoreConfig, StoreFault, StoreServer},
};
