//! Rendezvous hashing over the live members.
//!
//! Every process computes the same assignment from the same members, so no
//! consensus is needed. When a member leaves, only the keys assigned to it move.

use berylmount_model::{CustomerRow, DataCentre, InstanceName, PoolName};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of every rendezvous hash; it must be the same in all processes.
const HASH_SEED: u64 = 0x6265_7279_6c6d_6f75;
/// Largest number of runners in one group.
pub const GROUP_RUNNERS: usize = 16;
/// Mean number of runners per group after a split; leaves room for more to join.
const MEAN_GROUP_RUNNERS: usize = 12;
/// Request rate per second of one customer that one entry takes.
const RATE_PER_ENTRY: f64 = 20.0;
/// Burst that each entry must keep when a customer is spread over several, in requests.
const BURST_PER_ENTRY: u32 = 8;

/// One member with its relative weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberWeight<'a> {
    /// The member's name.
    pub name: &'a str,
    /// Its share relative to the others; zero gets nothing.
    pub weight: u32,
}

impl<'a> MemberWeight<'a> {
    /// Returns a member of weight one.
    ///
    /// ```
    /// use berylmount_policy::MemberWeight;
    ///
    /// assert_eq!(MemberWeight::equal("entry-1").weight, 1);
    /// ```
    pub fn equal(name: &'a str) -> Self {
        Self { name, weight: 1 }
    }
}

/// Returns the hash of `key` with `member` on which every assignment is based.
///
/// ```
/// use berylmount_policy::assignment::pair_hash;
///
/// assert_ne!(pair_hash(b"a", "entry-1"), pair_hash(b"a", "entry-2"));
/// ```
pub fn pair_hash(key: &[u8], member: &str) -> u64 {
    let seed = xxh3_64_with_seed(member.as_bytes(), HASH_SEED);
    xxh3_64_with_seed(key, seed)
}

/// Returns the weighted rendezvous score; the highest wins.
pub(crate) fn score(key: &[u8], member: MemberWeight) -> f64 {
    let hash = pair_hash(key, member.name);
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(member.weight) / unit.ln()
}

/// Returns the indexes of the `count` best members for `key`, best first.
///
/// Members of weight zero are left out.
///
/// ```
/// use berylmount_policy::{assignment::rank_members, MemberWeight};
///
/// let members: Vec<_> = ["a", "b", "c"].map(MemberWeight::equal).into();
/// let first = rank_members(b"customer", &members, 1)[0];
/// assert_eq!(rank_members(b"customer", &members, 3)[0], first);
/// ```
pub fn rank_members(key: &[u8], members: &[MemberWeight], count: usize) -> Vec<usize> {
    let mut ranked: Vec<(f64, usize)> = members
        .iter()
        .enumerate()
        .filter(|(_, member)| member.weight > 0)
        .map(|(index, &member)| (score(key, member), index))
        .collect();
    ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Returns the index of the best member for `key`, without allocation.
///
/// ```
/// use berylmount_policy::{assignment::best_member, MemberWeight};
///
/// assert_eq!(best_member(b"k", &[]), None);
/// assert_eq!(best_member(b"k", &[MemberWeight::equal("a")]), Some(0));
/// ```
pub fn best_member(key: &[u8], members: &[MemberWeight]) -> Option<usize> {
    members
        .iter()
        .enumerate()
        .filter(|(_, member)| member.weight > 0)
        .max_by(|a, b| score(key, *a.1).total_cmp(&score(key, *b.1)))
        .map(|(index, _)| index)
}

/// Returns how many of the `live` entries share the limits of the customer in `row`.
///
/// A small customer has one entry, which then enforces its whole limit. A large
/// one has more, but each must keep a useful part of the burst.
///
/// ```
/// use berylmount_model::{CustomerName, CustomerRow};
/// use berylmount_policy::assignment::entry_count;
///
/// let mut row = CustomerRow {
///     name: CustomerName::new("crew").unwrap(),
///     key_hash: String::new(),
///     weight: 1,
///     rate_per_s: 5.0,
///     burst: 10,
///     in_flight: 20,
///     version: None,
///     cache_scope: "crew".to_owned(),
/// };
/// assert_eq!(entry_count(&row, 7), 1);
/// (row.rate_per_s, row.burst, row.in_flight) = (60.0, 100, 200);
/// assert_eq!(entry_count(&row, 7), 3);
/// ```
pub fn entry_count(row: &CustomerRow, live: usize) -> usize {
    let by_rate = (row.rate_per_s / RATE_PER_ENTRY).ceil().max(1.0) as usize;
    let by_burst = (row.burst.min(row.in_flight) / BURST_PER_ENTRY).max(1) as usize;
    by_rate.min(by_burst).min(live.max(1))
}

/// Up to [`GROUP_RUNNERS`] runners of one pool in one data centre.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetGroup {
    /// The pool.
    pub pool: PoolName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Its index among the groups of the pool in the data centre, from zero.
    pub index: u32,
}

impl fmt::Display for TargetGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.pool, self.data_centre, self.index)
    }
}

/// Returns the group index of each of `runners`, in the same order.
///
/// All runners belong to one pool in one data centre. The result depends on
/// their names and not on their order. No group has more than [`GROUP_RUNNERS`]
/// runners.
///
/// ```
/// use berylmount_model::InstanceName;
/// use berylmount_policy::assignment::split_groups;
///
/// let names: Vec<_> = (0..4).map(|n| InstanceName::new(&format!("r{n}")).unwrap()).collect();
/// assert_eq!(split_groups(&names), [0, 0, 0, 0]);
/// ```
pub fn split_groups(runners: &[InstanceName]) -> Vec<u32> {
    let mut indexes = vec![0; runners.len()];
    if runners.len() <= GROUP_RUNNERS {
        return indexes;
    }
    let groups = runners.len().div_ceil(MEAN_GROUP_RUNNERS);
    let names: Vec<String> = (0..groups).map(|n| n.to_string()).collect();
    let members: Vec<MemberWeight> = names.iter().map(|n| MemberWeight::equal(n)).collect();
    let mut sizes = vec![0; groups];
    let mut order: Vec<usize> = (0..runners.len()).collect();
    order.sort_unstable_by_key(|&runner| &runners[runner]);
    for runner in order {
        let ranked = rank_members(runners[runner].as_str().as_bytes(), &members, groups);
        let open = ranked.into_iter().find(|&g| sizes[g] < GROUP_RUNNERS);
        let group = open.unwrap_or_default();
        sizes[group] += 1;
        indexes[runner] = group as u32;
    }
    indexes
}

/// Returns the index of the dispatch process that owns `group`.
///
/// Processes in the group's data centre take precedence over all others.
///
/// ```
/// use berylmount_model::{DataCentre, PoolName};
/// use berylmount_policy::{assignment::group_owner, TargetGroup};
///
/// let (north, south) = (DataCentre::new("north").unwrap(), DataCentre::new("south").unwrap());
/// let group = TargetGroup {
///     pool: PoolName::new("models").unwrap(),
///     data_centre: south.clone(),
///     index: 0,
/// };
/// assert_eq!(group_owner(&group, &[("d1", &north), ("d2", &south)]), Some(1));
/// assert_eq!(group_owner(&group, &[("d1", &north)]), Some(0));
/// ```
pub fn group_owner(group: &TargetGroup, members: &[(&str, &DataCentre)]) -> Option<usize> {
    let key = group.to_string();
    let local = members.iter().any(|(_, dc)| **dc == group.data_centre);
    let weighted: Vec<MemberWeight> = members
        .iter()
        .map(|(name, dc)| MemberWeight {
            name,
            weight: u32::from(!local || **dc == group.data_centre),
        })
        .collect();
    best_member(key.as_bytes(), &weighted)
}
