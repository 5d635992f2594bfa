//! Registration and load of runners.

use std::{net::SocketAddr, time::Duration};
use strum::Display;

/// Whether a runner accepts new requests.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunnerState {
    /// The runner accepts new requests.
    Ready,
    /// The runner finishes its requests and then stops.
    Draining,
}

/// A version of a model's weights, such as one that a runner has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsVersion {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
}

/// The version of a model's weights that runners should load.
pub type DesiredVersion = WeightsVersion;

/// Registration of a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerRecord {
    /// Id of the runner; usually new at each start.
    pub id: String,
    /// Service that the runner belongs to.
    pub service: String,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Data centre of the runner.
    pub data_centre: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the runner accepts new requests.
    pub state: RunnerState,
    /// Version of the runner's software, which is not that of its weights; empty if unknown.
    pub software: String,
    /// Loaded weights.
    pub weights: Vec<WeightsVersion>,
    /// Start time in Unix milliseconds; distinguishes two starts under one id.
    pub started_ms: u64,
    /// For how much longer the runner was cold when it wrote this.
    pub cold_left: Duration,
}

impl RunnerRecord {
    /// Returns the loaded version of `model`.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let mut weights = self.weights.iter();
        weights.find(|w| w.model == model).map(|w| w.version)
    }
}

/// Load of a runner, as reported in a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunnerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time that requests currently take, in percent of the normal time; 100 is normal.
    pub slowness_percent: u32,
}
