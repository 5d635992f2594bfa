//! What runners say of themselves.

use std::net::SocketAddr;
use strum::Display;

/// Whether a runner takes new requests.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum RunnerState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// The version of a model's weights that a runner has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightsVersion {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: u64,
}

/// The version of a model's weights that runners should have.
pub type DesiredVersion = WeightsVersion;

/// A runner's entry in the list of runners.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerRecord {
    /// Its id, mostly new at each start.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: RunnerState,
    /// Weights that it has loaded.
    pub weights: Vec<WeightsVersion>,
    /// When it started, in Unix milliseconds; tells two starts under one id apart.
    pub started_ms: u64,
}

impl RunnerRecord {
    /// The loaded version of `model`.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let mut weights = self.weights.iter();
        weights.find(|w| w.model == model).map(|w| w.version)
    }
}

/// A runner's load, as an answer reported it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunnerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual.
    pub slowness_percent: u32,
}
