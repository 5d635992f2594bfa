//! Which instances of a large fleet do what only a few must do: ask the store
//! and the stores of kept cache, hold the lease.
//!
//! Load: sixty instances and more, the weakest with a tenth of a core. Taking
//! over a duty means reading everything that some stores hold, at the moment
//! when many runners load weights. A weak instance needs seconds for it, and
//! the requests that it has read stand still.

use crate::assignment::pair_hash;

/// Part of the strongest instance's strength from which on an instance is
/// strong enough for a duty.
const STRONG_PART: f64 = 0.5;

/// An instance as far as shared duties go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutyMember<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its strength, in thousandths of a core.
    pub strength: u32,
}

/// The lot of a member for a duty, from 0 to 1: the same whoever else lives, so that
/// members that have not heard of each other yet can draw it.
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

/// How many of `others` come before `own` for a duty.
///
/// All instances that know the same members find the same order, in which the
/// strong ones come first.
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
    let enough = f64::from(strongest) * STRONG_PART;
    let rank = |member: &DutyMember<'_>| {
        let is_strong = f64::from(member.strength) >= enough;
        (is_strong, pair_hash(duty.as_bytes(), member.name))
    };
    let own_rank = rank(&own);
    others.iter().filter(|other| rank(other) > own_rank).count()
}
