//! Which requests the instances of a fleet admit together while room is scarce.
//!
//! The load that it answers is a peak of a less urgent kind of request that needs more slots and
//! memory than the runners have left beside the urgent kinds. Each instance knows the load of
//! the runners as of the last heartbeats and, from the same heartbeats, what arrives at the
//! others by class. From these it derives a level, as DAGOR does: classes above the level are
//! admitted, classes below are not, and in the class at the level a share is. The position of a
//! request in its class is a hash of the request, so it does not depend on the instance.
//!
//! Invariants:
//!
//! - A class is limited only by the demand of itself and of more urgent classes.
//! - New callers precede those of their rank that return after a refusal, because only new ones
//!   can still be in time. Those that return keep half of their requests, so that most of them
//!   are not refused again. Any instance recognises them by their shorter time limit.
//! - Each class keeps a share, so none is starved.
//! - Without reports of other instances the level limits nothing.

use crate::admission::MAX_RANK;

/// Number of classes: new and returning callers of each rank.
pub const CLASS_COUNT: usize = 2 * (MAX_RANK as usize + 1);
/// Share that a class keeps while more urgent ones fill the runners.
const MIN_SHARE: f64 = 0.1;
/// The same for callers that return. New callers of their rank are refused for it.
const MIN_RETURN_SHARE: f64 = 0.5;
/// Shares by which a request may be below the level and still wait for it to rise.
const WAIT_SHARES: f64 = 2.0;
/// Fraction of the throughput of an instance that refused callers are told to return to. New
/// requests of more urgent ranks need the rest.
const RETURN_FRACTION: f64 = 0.25;
/// Shortest retry delay, in milliseconds.
const MIN_RETURN_MS: f64 = 300.0;
/// Longest retry delay, as a fraction of the time that the caller still waits. Callers ignore
/// longer ones.
const MAX_RETURN_FRACTION: f64 = 0.33;
/// Fraction of its time limit that a caller must have used before it returns, so that it is
/// recognised.
const RETURN_SHOWN_FRACTION: f64 = 1.0 - FIRST_ATTEMPT_FRACTION;
/// A caller with less than this fraction of the time limit of its route left returns.
const FIRST_ATTEMPT_FRACTION: f64 = 0.8;
/// Age up to which a report of an instance counts, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 1500;
/// Maximum number of instances whose reports are held.
const MAX_REPORTS: usize = 4096;
/// Largest demand of a class that a report may state, in slots per second.
const MAX_DEMAND: f64 = 1e6;

/// The class of a request: its rank, and whether its caller returns after a refusal.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct AdmissionClass(u8);

impl AdmissionClass {
    /// Returns the class of a request.
    ///
    /// ```
    /// use berylmount_policy::admission_level::AdmissionClass;
    ///
    /// assert!(AdmissionClass::new(2, false) < AdmissionClass::new(2, true));
    /// assert!(AdmissionClass::new(1, true) < AdmissionClass::new(2, false));
    /// ```
    pub fn new(rank: u8, is_returning: bool) -> Self {
        Self(2 * rank.min(MAX_RANK) + u8::from(is_returning))
    }

    fn is_returning(self) -> bool {
        self.0 % 2 == 1
    }

    /// Returns its index among [`CLASS_COUNT`]; 0 is the most urgent.
    ///
    /// ```
    /// use berylmount_policy::admission_level::AdmissionClass;
    ///
    /// assert_eq!(AdmissionClass::new(0, false).index(), 0);
    /// ```
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Returns whether a caller that waits for `timeout_ms` comes back after a refusal on a route
/// with a time limit of `limit_ms`.
///
/// ```
/// use berylmount_policy::admission_level::is_returning;
///
/// assert!(!is_returning(12_000.0, 12_000.0));
/// assert!(is_returning(9000.0, 12_000.0));
/// ```
pub fn is_returning(timeout_ms: f64, limit_ms: f64) -> bool {
    timeout_ms < limit_ms * FIRST_ATTEMPT_FRACTION
}

/// Returns the cost of a request in slots, by the resource of which it needs the larger part.
///
/// ```
/// use berylmount_policy::admission_level::slot_cost;
///
/// assert_eq!(slot_cost(500, 16, 96_000), 1.0);
/// assert_eq!(slot_cost(12_000, 16, 96_000), 2.0);
/// assert_eq!(slot_cost(12_000, 0, 0), 1.0);
/// ```
pub fn slot_cost(memory_tokens: u64, slots: u32, capacity_tokens: u64) -> f64 {
    if capacity_tokens == 0 {
        return 1.0;
    }
    let by_memory = memory_tokens as f64 * f64::from(slots) / capacity_tokens as f64;
    by_memory.max(1.0)
}

/// What arrives at an instance for a service and ends at its runners, in slots per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassDemand {
    /// What arrives, by class.
    pub offered: [f64; CLASS_COUNT],
    /// What ends.
    pub ended: f64,
}

impl ClassDemand {
    fn add(&mut self, other: &Self) {
        let pairs = self.offered.iter_mut().zip(other.offered);
        pairs.for_each(|(sum, offered)| *sum += offered);
        self.ended += other.ended;
    }

    fn scaled(mut self, factor: f64) -> Self {
        self.offered
            .iter_mut()
            .for_each(|offered| *offered *= factor);
        self.ended *= factor;
        self
    }

    fn is_valid(&self) -> bool {
        let mut values = self.offered.iter().chain([&self.ended]);
        values.all(|value| (0.0..=MAX_DEMAND).contains(value))
    }
}

/// The room that an instance sees for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SharedRoom {
    /// Free slots of the runners that may take a request of this class.
    pub free_slots: f64,
    /// Fraction of the runners of the service that these are.
    pub open_fraction: f64,
    /// Time for which the recent sends of other instances are unknown, in milliseconds.
    pub staleness_ms: f64,
}

/// Returns the share of its requests that a class may place in the room that all instances see.
///
/// ```
/// use berylmount_policy::admission_level::{
///     admitted_share, AdmissionClass, ClassDemand, SharedRoom,
/// };
///
/// let (urgent, other) = (AdmissionClass::new(0, false), AdmissionClass::new(2, false));
/// let mut demand = ClassDemand::default();
/// demand.offered[urgent.index()] = 300.0;
/// demand.offered[other.index()] = 400.0;
/// let room = SharedRoom { free_slots: 100.0, open_fraction: 1.0, staleness_ms: 200.0 };
/// assert_eq!(admitted_share(urgent, &demand, &room), 1.0);
/// assert_eq!(admitted_share(other, &demand, &room), 0.5);
/// ```
pub fn admitted_share(class: AdmissionClass, demand: &ClassDemand, room: &SharedRoom) -> f64 {
    let staleness_s = room.staleness_ms / 1000.0;
    let index = class.index();
    let ahead: f64 = demand.offered[..index].iter().sum();
    let offered = demand.offered[index] * staleness_s;
    let freed = demand.ended * room.open_fraction * staleness_s;
    let left = room.free_slots + freed - ahead * staleness_s;
    if offered <= left {
        return 1.0;
    }
    let min_share = match class.is_returning() {
        true => MIN_RETURN_SHARE,
        false => MIN_SHARE,
    };
    (left / offered).clamp(min_share, 1.0)
}

/// What the level says about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LevelDecision {
    /// Any runner with room may take it.
    Open,
    /// It is among the share that is admitted. A runner is drawn at random.
    Admitted,
    /// It is close below the level and waits.
    Waits,
    /// It is refused at once.
    Refused,
}

/// Decides on a request at a `position` from 0 to 1 in its class.
///
/// ```
/// use berylmount_policy::admission_level::{level_decision, LevelDecision};
///
/// assert_eq!(level_decision(0.9, 1.0), LevelDecision::Open);
/// assert_eq!(level_decision(0.3, 0.4), LevelDecision::Admitted);
/// assert_eq!(level_decision(0.5, 0.4), LevelDecision::Waits);
/// assert_eq!(level_decision(0.9, 0.4), LevelDecision::Refused);
/// ```
pub fn level_decision(position: f64, share: f64) -> LevelDecision {
    if share >= 1.0 {
        return LevelDecision::Open;
    }
    match position {
        position if position <= share => LevelDecision::Admitted,
        position if position <= share * WAIT_SHARES => LevelDecision::Waits,
        _ => LevelDecision::Refused,
    }
}

/// The reports of the other instances on one service, sorted by instance.
#[derive(Clone, Debug, Default)]
pub struct DemandBoard {
    reports: Vec<(u64, u64, ClassDemand)>,
}

impl DemandBoard {
    /// Stores the report of an instance. Returns whether it is valid; an invalid one changes
    /// nothing.
    ///
    /// ```
    /// use berylmount_policy::admission_level::{ClassDemand, DemandBoard};
    ///
    /// let mut board = DemandBoard::default();
    /// assert!(board.note(1, ClassDemand::default(), 1000));
    /// assert!(!board.note(2, ClassDemand { ended: f64::NAN, ..ClassDemand::default() }, 1000));
    /// ```
    pub fn note(&mut self, instance: u64, demand: ClassDemand, now_ms: u64) -> bool {
        if !demand.is_valid() {
            return false;
        }
        let found = self
            .reports
            .binary_search_by_key(&instance, |report| report.0);
        match found {
            Ok(index) => self.reports[index] = (instance, now_ms, demand),
            Err(index) => {
                self.reports.insert(index, (instance, now_ms, demand));
                self.reports.retain(|report| is_fresh(report.1, now_ms));
                self.reports.truncate(MAX_REPORTS);
            }
        }
        true
    }

    /// Returns the demand at the `peers` other live instances. Those without a report, for
    /// example of an older build, count as the mean of the others; `None` if there is no report.
    ///
    /// ```
    /// use berylmount_policy::admission_level::{ClassDemand, DemandBoard};
    ///
    /// let mut board = DemandBoard::default();
    /// assert_eq!(board.demand(3, 1000), None);
    /// board.note(1, ClassDemand { ended: 2.0, ..ClassDemand::default() }, 1000);
    /// assert_eq!(board.demand(3, 1000).unwrap().ended, 6.0);
    /// assert_eq!(board.demand(3, 9000), None);
    /// ```
    pub fn demand(&self, peers: usize, now_ms: u64) -> Option<ClassDemand> {
        let fresh = self
            .reports
            .iter()
            .filter(|report| is_fresh(report.1, now_ms));
        let (mut sum, mut count) = (ClassDemand::default(), 0);
        for (_, _, demand) in fresh {
            sum.add(demand);
            count += 1;
        }
        let factor = peers.max(count) as f64 / count as f64;
        (count > 0).then(|| sum.scaled(factor))
    }
}

fn is_fresh(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) <= MAX_REPORT_AGE_MS
}

/// When the refused callers of one instance return: one after the other, at a rate that the
/// instance can serve. Bounds how many return together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReturnSchedule {
    next_ms: f64,
}

/// A refused caller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RefusedCaller {
    /// How long it still waits, in milliseconds.
    pub left_ms: f64,
    /// The time limit of its route, in milliseconds.
    pub limit_ms: f64,
    /// The cost of its request, in slots.
    pub cost: f64,
}

impl ReturnSchedule {
    /// Returns after how many milliseconds a refused caller should return. `ended_per_s` is the
    /// throughput of this instance, in slots per second.
    ///
    /// ```
    /// use berylmount_policy::admission_level::{RefusedCaller, ReturnSchedule};
    ///
    /// let mut schedule = ReturnSchedule::default();
    /// let caller = RefusedCaller { left_ms: 12_000.0, limit_ms: 12_000.0, cost: 2.0 };
    /// assert_eq!(schedule.delay_ms(&caller, 20.0, 1000), 2400.0);
    /// assert_eq!(schedule.delay_ms(&caller, 20.0, 1000), 2800.0);
    /// ```
    pub fn delay_ms(&mut self, caller: &RefusedCaller, ended_per_s: f64, now_ms: u64) -> f64 {
        let now_ms = now_ms as f64;
        let shown_ms = caller.left_ms - caller.limit_ms * (1.0 - RETURN_SHOWN_FRACTION);
        let min_ms = shown_ms.max(MIN_RETURN_MS);
        let max_ms = (caller.left_ms * MAX_RETURN_FRACTION).max(min_ms);
        let at_ms = self.next_ms.clamp(now_ms + min_ms, now_ms + max_ms);
        let rate = (ended_per_s * RETURN_FRACTION).max(1.0);
        self.next_ms = at_ms + caller.cost * 1000.0 / rate;
        at_ms - now_ms
    }
}
