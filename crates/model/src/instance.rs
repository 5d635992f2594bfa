//! Instances as listed by the platform.

use crate::{DataCentre, InstanceName, PoolName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString, IntoStaticStr};

/// Role of an instance.
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
    /// Process of this system that serves callers and operators.
    Entry,
    /// Process of this system that sends work to targets.
    Dispatch,
    /// Runner of a model engine.
    Runner,
    /// KV cache store.
    Store,
    /// Instance of a plain service.
    Service,
}

/// Whether an instance accepts new work.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// The instance accepts new work.
    Live,
    /// The instance is draining: it finishes its work and accepts no more.
    Leaving,
}

/// An entry of the platform's list of instances, which may be out of date.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: InstanceName,
    /// Role of the instance.
    pub role: InstanceRole,
    /// Pool of the instance; the processes of this system are in the pools `entry` and
    /// `dispatch`.
    pub pool: PoolName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address that it listens on: the peer address for processes of this system, HTTP
    /// for targets.
    pub address: SocketAddr,
    /// Address for callers; only entry processes have one.
    #[serde(default)]
    pub caller_address: Option<SocketAddr>,
    /// Whether it accepts new work.
    pub state: InstanceState,
}

impl InstanceName {
    /// Returns the name of the process with `role` on `instance`.
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
