//! Admission control: whether a request starts now, waits briefly or is refused.
//!
//! Admission control matters at a load peak that needs more memory and slots
//! than the engines have, while some engines are down. If every request is sent,
//! prompts queue behind each other and almost all first events are late or
//! missing. If only as many are sent as there is room for, these start in time,
//! and the others are told at once when to retry.
//!
//! Room depends on the slots and the memory that a runner's requests have reserved,
//! not on the size of the new request, so large prompts are not refused more often
//! than small ones. Less urgent requests leave some capacity free for more urgent
//! ones.

use crate::{
    ablation::PolicyMechanism,
    runner_placement::{estimate, PlacementDemand, RunnerView},
};

/// Fraction of a runner's slots and memory that the most urgent requests may fill.
const FULL_FRACTION: f64 = 1.0;
/// Fraction that a stream which goes on may fill. Few runners can continue it, and engines
/// preempt less urgent requests for it.
const RESUMED_FRACTION: f64 = 1.5;
/// Fraction left free for each rank below the most urgent one.
const RANK_RESERVE_FRACTION: f64 = 0.08;
/// Highest rank that is distinguished; higher ranks count as this one.
pub(crate) const MAX_RANK: u8 = 3;
/// Fraction that a request of a caller that returns after a refusal leaves free.
const RETURN_RESERVE_FRACTION: f64 = 0.05;
/// Longest wait for room, as a fraction of the target latency. A longer wait would make the
/// request late, and a refusal after it would come too late for the caller.
const MAX_WAIT_FRACTION: f64 = 0.1;
/// Longest wait behind other requests at a runner, in target latencies. Late
/// answers are still useful, but some callers give up after a few target latencies.
const MAX_START_TARGETS: f64 = 3.0;
/// The same for a stream that goes on. Its callers bear a pause of seconds, and may not take it
/// up again.
const MAX_RESUMED_START_TARGETS: f64 = 6.0;
/// Time constant of request rates, in milliseconds. It is longer than messages
/// between instances take and shorter than load peaks.
const RATE_WINDOW_MS: f64 = 500.0;
/// Retry delay of a refused caller, as a fraction of the time it still waits.
const RETRY_AFTER_FRACTION: f64 = 0.2;
/// Shortest retry delay, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 300.0;

/// The properties of a request that admission depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionRequest {
    /// The rank of its route; 0 is the most urgent.
    pub rank: u8,
    /// The target latency of its first event, in milliseconds.
    pub target_ms: f64,
    /// How long it has waited here, in milliseconds.
    pub waited_ms: f64,
    /// How much longer its caller waits, in milliseconds.
    pub left_ms: f64,
    /// Whether its caller returns after a refusal.
    pub is_returning: bool,
    /// Whether it is a stream that goes on after a break.
    pub is_resumed: bool,
}

/// Returns the fraction of a runner's slots and memory that a request may fill. It is above 1
/// for a stream that goes on.
///
/// ```
/// use berylmount_policy::admission::{usable_fraction, AdmissionRequest};
///
/// assert_eq!(usable_fraction(&AdmissionRequest::default()), 1.0);
/// assert!(usable_fraction(&AdmissionRequest { rank: 1, ..AdmissionRequest::default() }) < 1.0);
/// ```
pub fn usable_fraction(request: &AdmissionRequest) -> f64 {
    if request.is_resumed {
        return RESUMED_FRACTION;
    }
    let rank = f64::from(request.rank.min(MAX_RANK));
    let returning = match request.is_returning {
        true => RETURN_RESERVE_FRACTION,
        false => 0.0,
    };
    FULL_FRACTION - rank * RANK_RESERVE_FRACTION - returning
}

/// Returns whether a runner has room for a request.
///
/// ```
/// use berylmount_policy::{admission::{has_room, AdmissionRequest}, runner_placement::RunnerView};
///
/// let runner = RunnerView { slots: 10, running: 9, ..RunnerView::default() };
/// let urgent = AdmissionRequest::default();
/// assert!(has_room(&runner, &urgent));
/// assert!(!has_room(&runner, &AdmissionRequest { rank: 2, ..urgent }));
/// let full = RunnerView { running: 10, ..runner };
/// assert!(has_room(&full, &AdmissionRequest { is_resumed: true, ..urgent }));
/// ```
pub fn has_room(runner: &RunnerView, request: &AdmissionRequest) -> bool {
    let fraction = usable_fraction(request);
    let slots = f64::from(runner.slots) * fraction;
    let memory = runner.memory_tokens as f64 * fraction;
    let has_slot = runner.slots == 0 || f64::from(runner.running) < slots;
    let has_memory = runner.memory_tokens == 0 || (runner.reserved_tokens as f64) < memory;
    has_slot && has_memory && !runner.is_switching
}

/// Returns how long a request may wait for room in all, in milliseconds.
///
/// ```
/// use berylmount_policy::admission::{max_wait_ms, AdmissionRequest};
///
/// let request = AdmissionRequest { target_ms: 400.0, ..AdmissionRequest::default() };
/// assert_eq!(max_wait_ms(&request), 40.0);
/// ```
pub fn max_wait_ms(request: &AdmissionRequest) -> f64 {
    match PolicyMechanism::RoomWait.is_enabled() {
        true => request.target_ms * MAX_WAIT_FRACTION,
        false => 0.0,
    }
}

/// Returns after how many milliseconds the caller of a refused request should retry.
///
/// ```
/// use berylmount_policy::admission::{refusal_delay_ms, AdmissionRequest};
///
/// let request = AdmissionRequest { left_ms: 10_000.0, ..AdmissionRequest::default() };
/// assert_eq!(refusal_delay_ms(&request), 2000.0);
/// ```
pub fn refusal_delay_ms(request: &AdmissionRequest) -> f64 {
    (request.left_ms * RETRY_AFTER_FRACTION).max(MIN_RETRY_AFTER_MS)
}

/// Returns whether the queueing delay at a runner is short enough to send a request.
///
/// The bound matters when a runner comes back with new weights and an empty
/// cache while the others are full. It has free slots and memory, so all prompts
/// go to it and are prefilled in full, one after another. The last ones would
/// start after their callers have given up. A request that is refused instead
/// can be retried after a short delay.
///
/// ```
/// use berylmount_policy::{
///     admission::{starts_soon, AdmissionRequest}, runner_placement::{PlacementDemand, RunnerView},
/// };
///
/// let request = AdmissionRequest { target_ms: 400.0, ..AdmissionRequest::default() };
/// let demand = PlacementDemand { prefill_per_ms: 100.0, ..PlacementDemand::default() };
/// let runner = RunnerView { slowness: 1.0, unread_tokens: 50_000, ..RunnerView::default() };
/// assert!(starts_soon(&runner, &demand, &request));
/// let behind = RunnerView { unread_tokens: 150_000, ..runner };
/// assert!(!starts_soon(&behind, &demand, &request));
/// // The request's own prefill time does not count.
/// let long = PlacementDemand { prompt_tokens: 300_000, ..demand };
/// assert!(starts_soon(&runner, &long, &request));
/// ```
pub fn starts_soon(
    runner: &RunnerView,
    demand: &PlacementDemand,
    request: &AdmissionRequest,
) -> bool {
    let idle = RunnerView {
        unread_tokens: 0,
        running: 0,
        reserved_tokens: 0,
        ..*runner
    };
    let wait_ms = estimate(runner, demand).first_ms - estimate(&idle, demand).first_ms;
    let max_targets = match request.is_resumed {
        true => MAX_RESUMED_START_TARGETS,
        false => MAX_START_TARGETS,
    };
    !PolicyMechanism::EarlyRefusal.is_enabled() || wait_ms <= request.target_ms * max_targets
}

/// Returns the number of slots that a runner has left for a request.
///
/// Free memory is converted to slots by the runner's memory per slot, so the
/// result does not depend on the size of the request.
///
/// ```
/// use berylmount_policy::{admission::{free_slots, AdmissionRequest}, runner_placement::RunnerView};
///
/// let runner = RunnerView { slots: 10, running: 4, ..RunnerView::default() };
/// assert_eq!(free_slots(&runner, &AdmissionRequest::default()), 6.0);
/// ```
pub fn free_slots(runner: &RunnerView, request: &AdmissionRequest) -> f64 {
    let fraction = usable_fraction(request);
    let slots = f64::from(runner.slots);
    let by_slots = slots * fraction - f64::from(runner.running);
    if runner.memory_tokens == 0 {
        return by_slots.max(0.0);
    }
    let memory = runner.memory_tokens as f64;
    let by_memory = (memory * fraction - runner.reserved_tokens as f64) * slots / memory;
    by_slots.min(by_memory).max(0.0)
}

/// Returns the fraction of its requests that an instance may place.
///
/// It keeps all instances together from taking more than the `slots` that they
/// all see free. Between two messages an instance does not know what the others
/// send. If all but a few runners are full and every instance sent all its
/// requests to those few, they would get several times as many as they can take.
///
/// ```
/// use berylmount_policy::admission::{admitted_fraction, PeerLoad};
///
/// let load = PeerLoad { offered_per_s: 1000.0, ended_per_s: 400.0, staleness_ms: 250.0 };
/// assert_eq!(admitted_fraction(900.0, &load), 1.0);
/// assert_eq!(admitted_fraction(25.0, &load), 0.5);
/// ```
pub fn admitted_fraction(slots: f64, load: &PeerLoad) -> f64 {
    let staleness_s = load.staleness_ms / 1000.0;
    let offered = load.offered_per_s * staleness_s;
    let slots = slots + load.ended_per_s * staleness_s;
    if offered <= slots {
        return 1.0;
    }
    slots / offered
}

/// The load that the other instances put on a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests per second that they have for it.
    pub offered_per_s: f64,
    /// Requests per second that end at the runners with room.
    pub ended_per_s: f64,
    /// Time for which their recent sends are unknown, in milliseconds.
    pub staleness_ms: f64,
}

/// An exponentially decaying rate of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    per_s: f64,
    at_ms: u64,
}

impl ArrivalRate {
    /// Counts a request.
    pub fn note(&mut self, now_ms: u64) {
        self.note_amount(1.0, now_ms);
    }

    /// Counts an amount other than 1.
    ///
    /// ```
    /// use berylmount_policy::admission::ArrivalRate;
    ///
    /// let (mut rate, mut twice) = (ArrivalRate::default(), ArrivalRate::default());
    /// (0..2).for_each(|_| rate.note(1000));
    /// twice.note_amount(2.0, 1000);
    /// assert_eq!(rate, twice);
    /// ```
    pub fn note_amount(&mut self, amount: f64, now_ms: u64) {
        *self = Self {
            per_s: self.per_s(now_ms) + amount * 1000.0 / RATE_WINDOW_MS,
            at_ms: now_ms,
        };
    }

    /// Returns the recent rate, in requests per second.
    ///
    /// ```
    /// use berylmount_policy::admission::ArrivalRate;
    ///
    /// let mut rate = ArrivalRate::default();
    /// (0..5000).step_by(20).for_each(|now_ms| rate.note(now_ms));
    /// assert!((rate.per_s(5000) - 50.0).abs() < 2.0);
    /// ```
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_s * (-age_ms / RATE_WINDOW_MS).exp()
    }
}
