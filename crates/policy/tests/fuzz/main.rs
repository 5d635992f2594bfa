//! Stateful fuzzing of the policy's state against simple oracles.
//!
//! `PROPTEST_CASES` sets how many sequences are tried.

mod budgets;
mod limits;
mod queue;
mod runners;

use berylmount_model::WorkClass;
use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

const CLASSES: [WorkClass; 4] = [
    WorkClass::Critical,
    WorkClass::Interactive,
    WorkClass::Standard,
    WorkClass::Bulk,
];

/// The same sequences in every run.
fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
