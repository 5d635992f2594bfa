//! Which dispatch group an entry sends a request to.
//!
//! The hash of a prompt's first piece gives its home group, which probably holds
//! its cache. The prompt goes to another group if the wait, the distance or
//! failures at the home cost more than the prefill time that the home would save.

use crate::{
    assignment::{score, MemberWeight},
    decay::decayed,
    queue::CLASSES,
};
use berylmount_model::{PieceKey, WorkClass};
use rand::{Rng, RngExt};

/// Penalty added to the score for each recent failure, in milliseconds.
const FAILURE_MS: f64 = 400.0;
/// Half-life of a failure's weight, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// Scores that differ less than this from the best one count as equal, in
/// milliseconds; one of them is drawn at random.
const TIE_MS: f64 = 2.0;

/// A dense id of a dispatch group.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct GroupId(pub u32);

/// A request that needs a group.
#[derive(Clone, Copy, Debug)]
pub struct GroupQuery<'a> {
    /// The prompt's first piece, if it has one.
    pub first_piece: Option<&'a PieceKey>,
    /// Prefill time that the prompt's home group would save, in milliseconds.
    pub home_saves_ms: f64,
    /// The class of work.
    pub class: WorkClass,
    /// Groups that have refused it.
    pub avoid: &'a [GroupId],
}

/// A chosen group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupChoice {
    /// The group.
    pub group: GroupId,
    /// The expected wait there including the network delay, in milliseconds.
    pub expected_ms: f64,
    /// Whether it is the prompt's home group.
    pub home: bool,
}

/// The state of one group.
#[derive(Clone, Debug)]
struct GroupState {
    name: String,
    distance_ms: f64,
    runners: f64,
    home_weight: u32,
    reachable: bool,
    reported_ms: [f64; CLASSES],
    report_at_ms: u64,
    /// Time, class and prefill milliseconds of work sent after the last report.
    sent: Vec<(u64, WorkClass, f64)>,
    failures: f64,
    failed_ms: u64,
}

impl GroupState {
    fn failures_at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.failed_ms);
        decayed(self.failures, passed_ms, FAILURE_HALF_LIFE_MS)
    }

    fn wait_ms(&self, class: WorkClass, now_ms: u64) -> f64 {
        let passed = now_ms.saturating_sub(self.report_at_ms) as f64;
        let ahead = self.sent.iter().filter(|&&(_, sent, _)| sent <= class);
        let sent: f64 = ahead.map(|&(_, _, ms)| ms).sum();
        (self.reported_ms[class as usize] + sent / self.runners.max(1.0) - passed).max(0.0)
    }

    fn score_ms(&self, class: WorkClass, now_ms: u64) -> f64 {
        self.distance_ms + self.wait_ms(class, now_ms) + FAILURE_MS * self.failures_at(now_ms)
    }
}

/// The groups of one pool, as one entry process sees them.
///
/// ```
/// use berylmount_model::WorkClass;
/// use berylmount_policy::{GroupBalancer, GroupQuery};
/// use rand::SeedableRng;
///
/// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
/// let mut balancer = GroupBalancer::default();
/// let near = balancer.add_group("models/north/0", 1.0, 4);
/// let far = balancer.add_group("models/south/0", 5.0, 4);
/// let query = GroupQuery {
///     first_piece: None,
///     home_saves_ms: 0.0,
///     class: WorkClass::Interactive,
///     avoid: &[],
/// };
/// assert_eq!(balancer.choose(&query, 0, &mut rng).unwrap().group, near);
/// balancer.report(near, &[300.0; 4], 0);
/// assert_eq!(balancer.choose(&query, 0, &mut rng).unwrap().group, far);
/// ```
#[derive(Clone, Debug, Default)]
pub struct GroupBalancer {
    groups: Vec<GroupState>,
}

impl GroupBalancer {
    /// Adds a group of `runners` at a network delay of `distance_ms`.
    ///
    /// ```
    /// use berylmount_policy::{GroupBalancer, GroupId};
    ///
    /// let mut balancer = GroupBalancer::default();
    /// let group = balancer.add_group("models/north/0", 1.0, 4);
    /// assert_eq!(group, GroupId(0));
    /// ```
    pub fn add_group(&mut self, name: &str, distance_ms: f64, runners: u32) -> GroupId {
        self.groups.push(GroupState {
            name: name.to_owned(),
            distance_ms,
            runners: f64::from(runners),
            home_weight: runners,
            reachable: true,
            reported_ms: [0.0; CLASSES],
            report_at_ms: 0,
            sent: Vec::new(),
            failures: 0.0,
            failed_ms: 0,
        });
        GroupId(self.groups.len() as u32 - 1)
    }

    /// Sets the share of prompts whose home is `group`, relative to the others.
    ///
    /// The default is the number of runners. A group near a store should get
    /// more. All entries must use the same weights, or they will disagree about
    /// the home of a prompt.
    ///
    /// ```
    /// use berylmount_policy::GroupBalancer;
    ///
    /// let mut balancer = GroupBalancer::default();
    /// let group = balancer.add_group("models/north/0", 1.0, 4);
    /// balancer.set_home_weight(group, 16);
    /// ```
    pub fn set_home_weight(&mut self, group: GroupId, weight: u32) {
        if let Some(state) = self.groups.get_mut(group.0 as usize) {
            state.home_weight = weight;
        }
    }

    /// Sets whether a group has an owner that can be reached.
    ///
    /// ```
    /// use berylmount_policy::GroupBalancer;
    ///
    /// let mut balancer = GroupBalancer::default();
    /// let group = balancer.add_group("models/north/0", 1.0, 4);
    /// balancer.set_reachable(group, false);
    /// ```
    pub fn set_reachable(&mut self, group: GroupId, reachable: bool) {
        if let Some(state) = self.groups.get_mut(group.0 as usize) {
            state.reachable = reachable;
        }
    }

    /// Records the waits by class that a group reported at `at_ms`.
    ///
    /// Work sent by this entry after that time is still added to them.
    ///
    /// ```
    /// use berylmount_policy::GroupBalancer;
    ///
    /// let mut balancer = GroupBalancer::default();
    /// let group = balancer.add_group("models/north/0", 1.0, 4);
    /// balancer.report(group, &[0.0, 10.0, 20.0, 400.0], 1_000);
    /// ```
    pub fn report(&mut self, group: GroupId, waits_ms: &[f64; CLASSES], at_ms: u64) {
        if let Some(state) = self.groups.get_mut(group.0 as usize) {
            if at_ms >= state.report_at_ms {
                state.reported_ms = *waits_ms;
                state.report_at_ms = at_ms;
                state.sent.retain(|&(sent_ms, ..)| sent_ms > at_ms);
            }
        }
    }

    /// Records work of `prefill_ms` that was sent to `group`.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::GroupBalancer;
    ///
    /// let mut balancer = GroupBalancer::default();
    /// let group = balancer.add_group("models/north/0", 1.0, 4);
    /// balancer.note_sent(group, WorkClass::Standard, 120.0, 1_000);
    /// ```
    pub fn note_sent(&mut self, group: GroupId, class: WorkClass, prefill_ms: f64, now_ms: u64) {
        if let Some(state) = self.groups.get_mut(group.0 as usize) {
            if state.sent.len() >= 1024 {
                state.sent.drain(..512);
            }
            state.sent.push((now_ms, class, prefill_ms));
        }
    }

    /// Records that a call to `group` failed or was refused.
    ///
    /// ```
    /// use berylmount_policy::GroupBalancer;
    ///
    /// let mut balancer = GroupBalancer::default();
    /// let group = balancer.add_group("models/north/0", 1.0, 4);
    /// balancer.note_failure(group, 1_000);
    /// ```
    pub fn note_failure(&mut self, group: GroupId, now_ms: u64) {
        if let Some(state) = self.groups.get_mut(group.0 as usize) {
            state.failures = state.failures_at(now_ms) + 1.0;
            state.failed_ms = now_ms;
        }
    }

    /// Returns the group with the earliest expected first token.
    ///
    /// Groups in `query.avoid` are skipped.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use rand::SeedableRng;
    /// use berylmount_policy::{GroupBalancer, GroupQuery};
    ///
    /// let mut balancer = GroupBalancer::default();
    /// let group = balancer.add_group("models/north/0", 1.0, 4);
    /// let query = GroupQuery {
    ///     first_piece: None,
    ///     home_saves_ms: 0.0,
    ///     class: WorkClass::Standard,
    ///     avoid: &[group],
    /// };
    /// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
    /// assert_eq!(balancer.choose(&query, 0, &mut rng), None);
    /// ```
    pub fn choose(
        &self,
        query: &GroupQuery,
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<GroupChoice> {
        let home = query.first_piece.and_then(|key| self.home(key));
        let mut best: Option<(f64, GroupChoice)> = None;
        let mut ties = 0;
        for (position, state) in self.groups.iter().enumerate() {
            let group = GroupId(position as u32);
            if !state.reachable || query.avoid.contains(&group) {
                continue;
            }
            let at_home = home == Some(group);
            let score = state.score_ms(query.class, now_ms)
                + if at_home { 0.0 } else { query.home_saves_ms };
            let choice = GroupChoice {
                group,
                expected_ms: state.distance_ms + state.wait_ms(query.class, now_ms),
                home: at_home,
            };
            let limit = best.map_or(f64::INFINITY, |(score, _)| score);
            if score < limit - TIE_MS {
                (best, ties) = (Some((score, choice)), 1);
            } else if score <= limit + TIE_MS {
                ties += 1;
                if rng.random_range(0..ties) == 0 {
                    best = Some((score, choice));
                }
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns the home group of a prompt whose first piece is `key`.
    ///
    /// ```
    /// use berylmount_model::PieceKey;
    /// use berylmount_policy::GroupBalancer;
    ///
    /// let mut balancer = GroupBalancer::default();
    /// let group = balancer.add_group("models/north/0", 1.0, 4);
    /// let key = PieceKey::try_from("11".repeat(32)).unwrap();
    /// assert_eq!(balancer.home(&key), Some(group));
    /// ```
    pub fn home(&self, key: &PieceKey) -> Option<GroupId> {
        let reachable = self.groups.iter().enumerate().filter(|(_, g)| g.reachable);
        let scored = reachable.map(|(position, state)| {
            let member = MemberWeight {
                name: &state.name,
                weight: state.home_weight,
            };
            (position, score(key.as_bytes(), member))
        });
        let best = scored.max_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(position, _)| GroupId(position as u32))
    }
}
