//! Whether a request starts now, waits a moment, or is refused.
//!
//! Load: a crest that asks for more memory and slots than the engines have,
//! while some of them are dark. If everything is sent, every prompt waits behind
//! the others, and almost all first events come late or not at all. If only as
//! much is sent as has room, what is sent starts in time, and the others learn
//! at once when to come back.
//!
//! Room is judged by what a runner has booked, not by the size of the request,
//! so that large prompts are not refused more often than small ones. Less urgent
//! requests leave some room to more urgent ones.

use crate::{
    ablation::PolicyMechanism,
    placing::{estimate, PlacingNeed, RunnerView},
};

/// Part of a runner's slots and memory that the most urgent requests may fill.
const FULL_PART: f64 = 1.0;
/// Part of it that each step of less urgency leaves free.
const RANK_PART: f64 = 0.08;
/// Steps of urgency that are told apart.
const MOST_RANK: u8 = 3;
/// Part of it that requests leave free which are late already.
const LATE_PART: f64 = 0.1;
/// Part of the target latency for which a request waits for room. A longer wait
/// would make it late.
const WAIT_PART: f64 = 0.15;
/// Target latencies for which a request may wait behind others at a runner: late
/// answers still serve callers, but some leave after a few of them.
const SOON_FACTOR: f64 = 3.0;
/// Time over which rates of requests are taken, in milliseconds: longer than
/// messages between instances take, shorter than crests.
const RATE_TIME_MS: f64 = 500.0;
/// Part of the time that is left after which a refused caller comes back.
const RETURN_PART: f64 = 0.2;
/// Shortest time to come back, in milliseconds.
const LEAST_RETURN_MS: f64 = 300.0;

/// What a request is to the admission.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionNeed {
    /// The route's rank; 0 is most urgent.
    pub rank: u8,
    /// The time within which its first event is worth most, in milliseconds.
    pub target_ms: f64,
    /// How long it has waited here, in milliseconds.
    pub waited_ms: f64,
    /// How long its caller still waits, in milliseconds.
    pub left_ms: f64,
    /// Whether its first event can't come in time any more.
    pub is_late: bool,
}

/// What to do with a request for which no runner has room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoRoom {
    /// Look again soon.
    Wait,
    /// Refuse it; the caller should come back after this many milliseconds.
    Refuse(f64),
}

/// The part of a runner that a request may fill.
fn room_part(need: &AdmissionNeed) -> f64 {
    let rank = f64::from(need.rank.min(MOST_RANK));
    let late = if need.is_late { LATE_PART } else { 0.0 };
    FULL_PART - rank * RANK_PART - late
}

/// Whether a runner has room for a request.
///
/// ```
/// use berylmount_policy::{admission::{has_room, AdmissionNeed}, placing::RunnerView};
///
/// let runner = RunnerView { slots: 10, running: 9, ..RunnerView::default() };
/// let urgent = AdmissionNeed::default();
/// assert!(has_room(&runner, &urgent));
/// assert!(!has_room(&runner, &AdmissionNeed { rank: 2, ..urgent }));
/// ```
pub fn has_room(runner: &RunnerView, need: &AdmissionNeed) -> bool {
    let part = room_part(need);
    let slots = f64::from(runner.slots) * part;
    let memory = runner.memory_tokens as f64 * part;
    let has_slot = runner.slots == 0 || f64::from(runner.running) < slots;
    let has_memory = runner.memory_tokens == 0 || (runner.booked_tokens as f64) < memory;
    has_slot && has_memory && !runner.is_switching
}

/// What to do while no runner has room.
///
/// ```
/// use berylmount_policy::admission::{without_room, AdmissionNeed, NoRoom};
///
/// let need = AdmissionNeed { target_ms: 400.0, left_ms: 10_000.0, ..AdmissionNeed::default() };
/// assert_eq!(without_room(&need), NoRoom::Wait);
/// let waited = AdmissionNeed { waited_ms: 100.0, ..need };
/// assert_eq!(without_room(&waited), NoRoom::Refuse(2000.0));
/// ```
pub fn without_room(need: &AdmissionNeed) -> NoRoom {
    if PolicyMechanism::RoomWait.is_enabled() && need.waited_ms < need.target_ms * WAIT_PART {
        return NoRoom::Wait;
    }
    NoRoom::Refuse((need.left_ms * RETURN_PART).max(LEAST_RETURN_MS))
}

/// Whether a request would begin soon enough at a runner to be worth sending.
///
/// Load: a runner comes back with new weights and nothing cached, while the
/// others are full. Slots and memory are free there, so all prompts go to it and
/// must be read whole, one after another; the later ones come after their
/// callers have left. What is refused instead can return in a moment.
///
/// ```
/// use berylmount_policy::{
///     admission::{starts_soon, AdmissionNeed}, placing::{PlacingNeed, RunnerView},
/// };
///
/// let need = AdmissionNeed { target_ms: 400.0, ..AdmissionNeed::default() };
/// let asks = PlacingNeed { prefill_per_ms: 100.0, ..PlacingNeed::default() };
/// let runner = RunnerView { slowness: 1.0, unread_tokens: 50_000, ..RunnerView::default() };
/// assert!(starts_soon(&runner, &asks, &need));
/// let behind = RunnerView { unread_tokens: 150_000, ..runner };
/// assert!(!starts_soon(&behind, &asks, &need));
/// // What the request itself takes is no reason to refuse it.
/// let long = PlacingNeed { prompt_tokens: 300_000, ..asks };
/// assert!(starts_soon(&runner, &long, &need));
/// ```
pub fn starts_soon(runner: &RunnerView, asks: &PlacingNeed, need: &AdmissionNeed) -> bool {
    let idle = RunnerView {
        unread_tokens: 0,
        running: 0,
        booked_tokens: 0,
        ..*runner
    };
    let wait_ms = estimate(runner, asks).first_ms - estimate(&idle, asks).first_ms;
    !PolicyMechanism::EarlyRefusal.is_enabled() || wait_ms <= need.target_ms * SOON_FACTOR
}

/// Places that a runner has left for a request.
///
/// Memory counts in units of what it has for each slot, so that places don't
/// depend on the size of the request.
///
/// ```
/// use berylmount_policy::{admission::{free_places, AdmissionNeed}, placing::RunnerView};
///
/// let runner = RunnerView { slots: 10, running: 4, ..RunnerView::default() };
/// assert_eq!(free_places(&runner, &AdmissionNeed::default()), 6.0);
/// ```
pub fn free_places(runner: &RunnerView, need: &AdmissionNeed) -> f64 {
    let part = room_part(need);
    let slots = f64::from(runner.slots);
    let by_slots = slots * part - f64::from(runner.running);
    if runner.memory_tokens == 0 {
        return by_slots.max(0.0);
    }
    let memory = runner.memory_tokens as f64;
    let by_memory = (memory * part - runner.booked_tokens as f64) * slots / memory;
    by_slots.min(by_memory).max(0.0)
}

/// The part of its requests that an instance may place, so that all instances
/// together don't take more than the `places` that they all see free.
///
/// Load: all runners are full but a few. Until its next message, no instance
/// knows what the others send; if each sent all that it has to the few free
/// runners, those would get several times what they have room for.
///
/// ```
/// use berylmount_policy::admission::{placed_part, OthersPace};
///
/// let pace = OthersPace { offered_per_s: 1000.0, ended_per_s: 400.0, unseen_ms: 250.0 };
/// assert_eq!(placed_part(900.0, &pace), 1.0);
/// assert_eq!(placed_part(25.0, &pace), 0.5);
/// ```
pub fn placed_part(places: f64, pace: &OthersPace) -> f64 {
    let unseen_s = pace.unseen_ms / 1000.0;
    let offered = pace.offered_per_s * unseen_s;
    let places = places + pace.ended_per_s * unseen_s;
    if offered <= places {
        return 1.0;
    }
    places / offered
}

/// What the other instances do at a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OthersPace {
    /// Requests a second that they have for it.
    pub offered_per_s: f64,
    /// Requests a second that end at the runners that have room.
    pub ended_per_s: f64,
    /// Time for which what they send is not known, in milliseconds.
    pub unseen_ms: f64,
}

/// A decaying rate of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferRate {
    per_s: f64,
    at_ms: u64,
}

impl OfferRate {
    /// Counts a request.
    pub fn note(&mut self, now_ms: u64) {
        *self = Self {
            per_s: self.per_s(now_ms) + 1000.0 / RATE_TIME_MS,
            at_ms: now_ms,
        };
    }

    /// Requests a second, lately.
    ///
    /// ```
    /// use berylmount_policy::admission::OfferRate;
    ///
    /// let mut rate = OfferRate::default();
    /// (0..5000).step_by(20).for_each(|now_ms| rate.note(now_ms));
    /// assert!((rate.per_s(5000) - 50.0).abs() < 2.0);
    /// ```
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_s * (-age_ms / RATE_TIME_MS).exp()
    }
}
