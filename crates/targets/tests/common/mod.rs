//! What the tests of this crate share.

#![allow(dead_code, clippy::unwrap_used)]

use berylmount_model::{AttemptId, ModelName, PieceScope, RequestId, VersionName};
use proptest::test_runner::{Config, RngSeed};

/// A scope of `customer` and `version`.
pub(crate) fn scope(customer: &str, version: &str) -> PieceScope {
    PieceScope {
        deployment: "test".to_owned(),
        customer_scope: customer.to_owned(),
        model: ModelName::new("blaze").unwrap(),
        version: VersionName::new(version).unwrap(),
        adapter: String::new(),
    }
}

/// The first attempt at request `count`.
pub(crate) fn attempt(count: u64) -> AttemptId {
    AttemptId {
        request: RequestId::new(1, count),
        attempt: 0,
    }
}

/// A fixed seed unless the environment names one; PROPTEST_CASES sets the size.
pub(crate) fn fuzz_config() -> Config {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    match config.rng_seed {
        RngSeed::Random => Config {
            rng_seed: RngSeed::Fixed(20_261_204),
            ..config
        },
        RngSeed::Fixed(_) => config,
    }
}
