//! Small stand-ins for outside systems, and the harness that runs processes in tests.

mod memory;
mod platform;

pub use crate::{
    memory::{MemoryStore, WriteFault},
    platform::{run_platform, PlatformFaults, PlatformServer},
};
