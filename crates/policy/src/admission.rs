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

use crate::placing::RunnerView;

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
    let rank = f64::from(need.rank.min(MOST_RANK));
    let late = if need.is_late { LATE_PART } else { 0.0 };
    let part = FULL_PART - rank * RANK_PART - late;
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
    if need.waited_ms < need.target_ms * WAIT_PART {
        return NoRoom::Wait;
    }
    NoRoom::Refuse((need.left_ms * RETURN_PART).max(LEAST_RETURN_MS))
}
