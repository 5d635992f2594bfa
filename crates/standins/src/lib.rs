//! Small stand-ins for outside systems, and the harness that runs processes in tests.

mod engine;
mod engine_batch;
mod engine_cache;
mod engine_transfer;
mod memory;
mod platform;
mod serve;
mod service;

pub use crate::{
    engine::{run_engine, EngineConfig, EngineServer},
    engine_batch::{expected_answer, expected_tokens},
    memory::{MemoryStore, WriteFault},
    platform::{run_platform, PlatformFaults, PlatformServer},
    service::{run_service, ServiceConfig, ServiceFault, ServiceServer},
};
