//! Regions of data centres, and the regions that requests are bound to.
//!
//! Invariants:
//!
//! - A request that is bound to regions is never allowed in a data centre of unknown region.

/// The region of each data centre. Sorted by data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegionMap(Vec<(String, String)>);

impl RegionMap {
    /// Creates the map from pairs of a data centre and its region.
    ///
    /// ```
    /// use berylmount_fleet::RegionMap;
    ///
    /// let regions = RegionMap::new([("north".to_owned(), "coast".to_owned())]);
    /// assert_eq!(regions.region_of("north"), Some("coast"));
    /// assert_eq!(regions.region_of("south"), None);
    /// ```
    pub fn new(pairs: impl IntoIterator<Item = (String, String)>) -> Self {
        let mut pairs: Vec<(String, String)> = pairs.into_iter().collect();
        pairs.sort();
        pairs.dedup_by(|next, kept| next.0 == kept.0);
        Self(pairs)
    }

    /// Returns the region of a data centre, if it is known.
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        let found = self
            .0
            .binary_search_by(|(known, _)| known.as_str().cmp(data_centre));
        Some(self.0[found.ok()?].1.as_str())
    }
}

/// The regions that a request is bound to: those that its route and its customer both allow.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HomeRegions(Option<Vec<String>>);

impl HomeRegions {
    /// Returns what two lists allow together. An empty list allows all regions.
    ///
    /// ```
    /// use berylmount_fleet::HomeRegions;
    ///
    /// let (coast, hills) = ("coast".to_owned(), "hills".to_owned());
    /// assert!(HomeRegions::of(&[], &[]).allows(None));
    /// let bound = HomeRegions::of(&[coast.clone(), hills], &[coast.clone()]);
    /// assert!(bound.allows(Some("coast")));
    /// assert!(!bound.allows(Some("hills")) && !bound.allows(None));
    /// assert!(!HomeRegions::of(&[coast], &["plain".to_owned()]).allows(Some("coast")));
    /// ```
    pub fn of(route: &[String], customer: &[String]) -> Self {
        let is_allowed =
            |list: &[String], region: &String| list.is_empty() || list.contains(region);
        if route.is_empty() && customer.is_empty() {
            return Self(None);
        }
        let named = route.iter().chain(customer);
        let both = named.filter(|region| is_allowed(route, region) && is_allowed(customer, region));
        let mut regions: Vec<String> = both.cloned().collect();
        regions.sort();
        regions.dedup();
        Self(Some(regions))
    }

    /// Whether the request may run in a region, which may be unknown.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let Some(regions) = &self.0 else {
            return true;
        };
        let is_listed = |region: &str| {
            regions
                .binary_search_by(|home| home.as_str().cmp(region))
                .is_ok()
        };
        region.is_some_and(is_listed)
    }

    /// Whether the request may run in a data centre.
    ///
    /// ```
    /// use berylmount_fleet::{HomeRegions, RegionMap};
    ///
    /// let regions = RegionMap::new([("north".to_owned(), "coast".to_owned())]);
    /// let bound = HomeRegions::of(&["coast".to_owned()], &[]);
    /// assert!(bound.allows_data_centre(&regions, "north"));
    /// assert!(!bound.allows_data_centre(&regions, "south"));
    /// assert!(HomeRegions::default().allows_data_centre(&regions, "south"));
    /// ```
    pub fn allows_data_centre(&self, regions: &RegionMap, data_centre: &str) -> bool {
        self.0.is_none() || self.allows(regions.region_of(data_centre))
    }

    /// Returns the regions, sorted; `None` if the request is not bound.
    ///
    /// ```
    /// assert_eq!(berylmount_fleet::HomeRegions::default().names(), None);
    /// ```
    pub fn names(&self) -> Option<&[String]> {
        self.0.as_deref()
    }
}
