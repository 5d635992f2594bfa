//! Where a request may go whose route or customer is bound to regions.
//!
//! Bound requests reach runners in their regions alone, pass only through instances there, and
//! their cached prompts stay there. All of it follows from the table and from the region of each
//! data centre in the settings, so nothing is agreed between instances.

use crate::peers::PeerTable;
use berylmount_adapter::locate::{caller_region, requested_host};
use berylmount_fleet::{HomeRegions, RegionMap, RouteTable};
use std::net::SocketAddr;

/// Whether a request may pass through the instance with this address for other instances.
pub(crate) fn may_pass(
    homes: &HomeRegions,
    regions: &RegionMap,
    peers: &PeerTable,
    instance: SocketAddr,
) -> bool {
    let is_home = |data_centre| homes.allows_data_centre(regions, data_centre);
    homes.names().is_none() || peers.data_centre_at(instance).is_some_and(is_home)
}

/// Which instances a lookup may name: those in the region of the caller, and those to which all
/// routes of the host may send requests.
pub(crate) struct LookupScope<'a> {
    regions: &'a RegionMap,
    /// The region of the caller, if it tells one.
    caller: Option<&'a str>,
    /// What the bound routes of the host allow.
    bound: Vec<HomeRegions>,
}

impl<'a> LookupScope<'a> {
    /// Reads the scope from the query of a lookup.
    pub(crate) fn new(query: &'a str, table: Option<&RouteTable>, regions: &'a RegionMap) -> Self {
        let host = requested_host(query).unwrap_or_default();
        let host = host.to_ascii_lowercase();
        let routes = table.into_iter().flat_map(|table| table.routes_of(&host));
        let bound = routes.filter(|route| !route.home_regions.is_empty());
        Self {
            regions,
            caller: caller_region(query),
            bound: bound
                .map(|route| HomeRegions::of(&route.home_regions, &[]))
                .collect(),
        }
    }

    /// Whether an instance in a data centre may be named.
    pub(crate) fn contains(&self, data_centre: &str) -> bool {
        let region = self.regions.region_of(data_centre);
        let is_near = region.is_some() && region == self.caller;
        is_near || self.bound.iter().all(|homes| homes.allows(region))
    }
}
