//! Stateful fuzz tests of the policy crate against simple oracles.
//!
//! `PROPTEST_CASES` sets the number of sequences.

mod budgets;
mod crash_parts;
mod idle_limits;
mod limits;
mod misdirection;
mod queue;
mod request_limits;
mod request_times;
mod runner_rooms;
mod runners;

use berylmount_model::WorkClass;
use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

const CLASSES: [WorkClass; 4] = [
    WorkClass::Critical,
    WorkClass::Interactive,
    WorkClass::Standard,
    WorkClass::Bulk,
];

/// Returns a configuration with a fixed seed, so every run tries the same sequences.
fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
