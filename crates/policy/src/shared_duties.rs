//! Selects the instances of a large fleet for duties that only a few instances
//! perform: watching the object store, polling the stores of kept cache, and holding
//! the lease.
//!
//! A fleet may have sixty instances and more, the weakest with a tenth of a core. To
//! take over a duty, an instance reads the full contents of some stores, at a moment
//! when many runners load weights. A weak instance needs seconds for this, during which
//! the requests that it has accepted make no progress.

use crate::assignment::pair_hash;

/// Fraction of the strongest instance's strength from which an instance is strong
/// enough for a duty.
const STRONG_FRACTION: f64 = 0.5;

/// An instance as a candidate for shared duties.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutyMember<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// CPU capacity, in thousandths of a core.
    pub strength: u32,
}

/// The rendezvous hash score of a member for a duty, from 0 to 1.
///
/// It doesn't depend on the other members, so members that don't know each other yet
/// can compute it.
///
/// ```
/// use berylmount_policy::shared_duties::duty_score;
///
/// assert_eq!(duty_score("a", "lease"), duty_score("a", "lease"));
/// assert!((0.0..=1.0).contains(&duty_score("b", "lease")));
/// ```
pub fn duty_score(member: &str, duty: &str) -> f64 {
    pair_hash(duty.as_bytes(), member) as f64 / u64::MAX as f64
}

/// Returns the index of the member that ranks first for a duty, in the order of
/// [`rank_among`]; `None` without members.
///
/// ```
/// use berylmount_policy::shared_duties::{first_among, DutyMember};
///
/// let weak = DutyMember { name: "a", strength: 120 };
/// let strong = DutyMember { name: "b", strength: 500 };
/// assert_eq!(first_among("limit", &[weak, strong]), Some(1));
/// ```
pub fn first_among(duty: &str, members: &[DutyMember<'_>]) -> Option<usize> {
    let strongest = members.iter().map(|member| member.strength).max()?;
    let rank = |index: &usize| duty_rank(duty, &members[*index], strongest);
    (0..members.len()).max_by_key(rank)
}

/// Returns the rank of a member for a duty, higher first, if the strongest member has the
/// strength `strongest`.
fn duty_rank(duty: &str, member: &DutyMember<'_>, strongest: u32) -> (bool, u64) {
    let min_strength = f64::from(strongest) * STRONG_FRACTION;
    let is_strong = f64::from(member.strength) >= min_strength;
    (is_strong, pair_hash(duty.as_bytes(), member.name))
}

/// Counts the `others` that rank before `own` for a duty.
///
/// All instances that know the same members compute the same order, in which strong
/// instances come first.
///
/// ```
/// use berylmount_policy::shared_duties::{rank_among, DutyMember};
///
/// let weak = DutyMember { name: "a", strength: 120 };
/// let strong = DutyMember { name: "b", strength: 500 };
/// assert_eq!(rank_among("lease", weak, &[strong]), 1);
/// assert_eq!(rank_among("lease", strong, &[weak]), 0);
/// ```
pub fn rank_among(duty: &str, own: DutyMember<'_>, others: &[DutyMember<'_>]) -> usize {
    let strengths = others.iter().map(|member| member.strength);
    let strongest = strengths.fold(own.strength, u32::max);
    let own_rank = duty_rank(duty, &own, strongest);
    let ranks = others.iter().map(|other| duty_rank(duty, other, strongest));
    ranks.filter(|rank| *rank > own_rank).count()
}
