//! Small stand-ins for outside systems, and the harness that runs processes in tests.

mod engine;
mod engine_batch;
mod engine_cache;
mod engine_transfer;
mod proxy;
mod serve;
mod service;
mod store;
mod store_slots;

pub use crate::{
    engine::{run_engine, EngineConfig, EngineServer},
    engine_batch::{expected_answer, expected_tokens},
    proxy::{run_proxy, FaultProxy, ProxyFaults},
    service::{run_service, ServiceConfig, ServiceFault, ServiceServer},
    store::{run_store, StoreConfig, StoreFault, StoreServer},
};
