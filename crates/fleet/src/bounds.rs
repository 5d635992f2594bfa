//! Settings of a serving process and the bounds it must keep.

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
    /// For the question whether this process takes requests.
    pub ready: SocketAddr,
    /// For callers that ask which address to use; `None` if it serves none.
    pub locate: Option<SocketAddr>,
}

/// Where the object store is and what it bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreEndpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Write calls a second that all processes together may make.
    pub writes_per_s: f64,
    /// Read calls a second that all processes together may make.
    pub reads_per_s: f64,
}

/// What the machine gives this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineLimits {
    /// Processor time, in thousandths of a core.
    pub millicores: u32,
    /// What its link carries, in Mbit/s.
    pub link_mbps: u32,
    /// Memory in bytes; beyond it the process is killed.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Link that goes with a thousandth of a core where the two are in balance, in
/// Mbit/s: forwarding a megabit takes about five thousandths of a core.
const LINK_PER_MILLICORE: f64 = 0.2;

impl MachineLimits {
    /// What the machine bears, in thousandths of a core: the lesser of its
    /// processor time and of what its link can keep busy.
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
        let by_link = f64::from(self.link_mbps) / LINK_PER_MILLICORE;
        self.millicores.min(by_link as u32)
    }
}

/// Bounds that the operator's rules set, with their meaning.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RuleBounds {
    /// After this a leaving runner gets no new request.
    pub drain: Duration,
    /// From a planned stop's notice to the kill.
    pub grace: Duration,
    /// From the store's acknowledgement of a table until it is in force.
    pub table_apply: Duration,
    /// Repeats that a service may get for each request to it.
    pub retry_ratio: f64,
    /// Repeats that a service may get beyond that in one window.
    pub retry_extra: f64,
    /// The sliding window of the two above.
    pub retry_window: Duration,
    /// How long orders of one holder exclude those of another.
    pub lease: Duration,
    /// From naming new weights until no request begins on older ones.
    pub weights_apply: Duration,
    /// How long a caller keeps the addresses that it was told, at most.
    pub locate_ttl: Duration,
}

/// Everything that a process learns from its settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// The instance's name, unique among those that live.
    pub name: String,
    /// The instance's data centre.
    pub data_centre: String,
    /// Addresses that it listens on.
    pub listen: ListenAddresses,
    /// Instances to ask first; they may be gone.
    pub seed_peers: Vec<IpAddr>,
    /// Ports free for messages between instances.
    pub peer_ports: RangeInclusive<u16>,
    /// Where the object store is.
    pub store: StoreEndpoint,
    /// What the machine gives this process.
    pub machine: MachineLimits,
    /// Bounds to keep.
    pub bounds: RuleBounds,
}

impl ProcessSettings {
    /// The address on which this instance hears other instances.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen.callers.ip(), *self.peer_ports.start())
    }
}
