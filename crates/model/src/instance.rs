//! Instances as the platform's list shows them.

use crate::{DataCentre, InstanceName, PoolName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString, IntoStaticStr};

/// What an instance does.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceRole {
    /// Our process that speaks to callers and operators.
    Entry,
    /// Our process that speaks to targets.
    Dispatch,
    /// A model engine's runner.
    Runner,
    /// A kept-cache store.
    Store,
    /// An instance of a plain service.
    Service,
}

/// Whether an instance takes new work.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// It takes work.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// One line of the platform's list of instances; the list lags.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance.
    pub name: InstanceName,
    /// What it does.
    pub role: InstanceRole,
    /// Its pool; our own processes are in the pools `entry` and `dispatch`.
    pub pool: PoolName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it listens: for our own processes the peer address, for targets HTTP.
    pub address: SocketAddr,
    /// Where callers reach it; only entries have one.
    #[serde(default)]
    pub caller_address: Option<SocketAddr>,
    /// Whether it takes new work.
    pub state: InstanceState,
}

impl InstanceName {
    /// The name of the process of `role` on `instance`.
    ///
    /// ```
    /// use berylmount_model::{InstanceName, InstanceRole};
    ///
    /// let instance = InstanceName::new("ridge-1").unwrap();
    /// let process = InstanceName::of_process(&instance, InstanceRole::Entry);
    /// assert_eq!(process.as_str(), "ridge-1-entry");
    /// ```
    pub fn of_process(instance: &Self, role: InstanceRole) -> Self {
        instance.with_suffix(role.into())
    }
}
