//! Settings of a gateway process and the limits that it must observe.

use crate::regions::RegionMap;
use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    time::Duration,
};

/// Addresses that a process listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For address lookups by callers; `None` if the process serves none.
    pub locate: Option<SocketAddr>,
}

/// Address and rate limits of the object store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreEndpoint {
    /// Address of the store.
    pub address: SocketAddr,
    /// Write calls per second that all processes together may make.
    pub writes_per_s: f64,
    /// Read calls per second that all processes together may make.
    pub reads_per_s: f64,
}

/// Resources that the machine gives this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineLimits {
    /// Processor time, in millicores.
    pub millicores: u32,
    /// Bandwidth of the network link, in Mbit/s.
    pub link_mbps: u32,
    /// Memory limit in bytes; a process that exceeds it is killed.
    pub memory_bytes: u64,
    /// Maximum number of open file descriptors.
    pub descriptors: u64,
}

/// Link bandwidth that one millicore can keep busy, in Mbit/s. Forwarding 1 Mbit/s
/// takes about five millicores.
const LINK_MBPS_PER_MILLICORE: f64 = 0.2;

impl MachineLimits {
    /// Returns the forwarding capacity in millicores: the minimum of the processor
    /// time and of the processor time that the link can keep busy.
    ///
    /// ```
    /// use berylmount_fleet::MachineLimits;
    ///
    /// let link_bound = MachineLimits {
    ///     millicores: 500, link_mbps: 10, memory_bytes: 1 << 28, descriptors: 4100,
    /// };
    /// assert_eq!(link_bound.capacity_millicores(), 50);
    /// ```
    pub fn capacity_millicores(&self) -> u32 {
        let by_link = f64::from(self.link_mbps) / LINK_MBPS_PER_MILLICORE;
        self.millicores.min(by_link as u32)
    }
}

/// Tolerance of the bound on requests to a cold runner, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the rate that the runner bears.
    pub factor: f64,
    /// Requests in any second beyond that.
    pub extra: f64,
}

/// Limits set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperatorBounds {
    /// Time from the start of a runner's drain until it must get no new requests.
    pub drain: Duration,
    /// Time from the notice of a planned stop until the process is killed.
    pub grace: Duration,
    /// Time from the store's acknowledgement of a table until it must be in effect.
    pub table_apply: Duration,
    /// Retry budget of a service: retries allowed per request to it.
    pub retry_ratio: f64,
    /// Retries allowed per service and window in addition to those that `retry_ratio`
    /// allows.
    pub retry_extra: f64,
    /// Length of the sliding window of the retry budget.
    pub retry_window: Duration,
    /// Time to live of a lease.
    pub lease: Duration,
    /// Time from setting new weights until no request may start on older ones.
    pub weights_apply: Duration,
    /// Maximum time that a caller caches the addresses from a lookup.
    pub locate_ttl: Duration,
    /// Tolerance of the bound on requests to cold runners; `None` if there is no such bound.
    pub cold: Option<ColdTolerance>,
    /// Time from the request of an evacuation until runners of the data centre must get no
    /// more requests; `None` if data centres are not evacuated here.
    pub evacuate: Option<Duration>,
}

/// Settings of a process, from its settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of the instance, unique among live instances.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// The region of each data centre of the deployment.
    pub regions: RegionMap,
    /// Addresses that the process listens on.
    pub listen: ListenAddresses,
    /// Addresses of instances to contact first; the instances may no longer exist.
    pub seed_peers: Vec<IpAddr>,
    /// Ports available for messages between instances.
    pub peer_ports: RangeInclusive<u16>,
    /// Address and rate limits of the object store.
    pub store: StoreEndpoint,
    /// Resources that the machine gives this process.
    pub machine: MachineLimits,
    /// Limits set by the operator.
    pub bounds: OperatorBounds,
}

impl ProcessSettings {
    /// Returns the address on which this instance receives messages of other instances.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen.callers.ip(), *self.peer_ports.start())
    }
}
