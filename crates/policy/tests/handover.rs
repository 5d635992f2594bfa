//! Simulates the handover of the rollout lease: orders of two holders to one runner are
//! separated by the exclusion time, and a rollout ends in time while all instances are
//! restarted in turn.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    duty_lease::{DutyLease, LeaseAction, LeaseRecord, LeaseRole, LeaseTimes, LeaseWrite},
    sent_orders::{OrderRecord, SentOrder},
    shared_duties::{rank_among, DutyMember},
    weights_rollout::{next_orders, RolloutPace, RolloutView},
};
use proptest::prelude::*;
use std::mem::take;

const TIMES: LeaseTimes = LeaseTimes {
    valid_ms: 1500,
    exclusion_ms: 3000,
};
const RUNNERS: [&str; 4] = ["r0", "r1", "r2", "r3"];

/// What becomes of a write to the lease.
#[derive(Clone, Copy, Debug)]
enum WriteFate {
    Answered,
    ResponseLost,
    /// It is executed after this delay in milliseconds.
    Late(u64),
    /// It is executed at once, and the response arrives in a later step.
    InFlight,
}

/// A write that is executed late if its precondition still holds.
#[derive(Clone, Debug)]
struct LateWrite {
    era: u64,
    at_ms: u64,
    expected: u64,
    record: LeaseRecord,
}

/// The lease object of the current era, with its revision; 0 without one.
#[derive(Clone, Default)]
struct StoredLease {
    era: u64,
    revision: u64,
    record: Option<LeaseRecord>,
    late: Vec<LateWrite>,
}

impl StoredLease {
    fn read(&self) -> Option<(u64, LeaseRecord)> {
        let record = self.record.clone()?;
        Some((self.revision, record))
    }

    fn write(&mut self, expected: u64, record: &LeaseRecord) -> LeaseWrite {
        let current = self.record.as_ref().map_or(0, |_| self.revision);
        if current != expected {
            return LeaseWrite::Conflict;
        }
        self.revision += 1;
        self.record = Some(record.clone());
        LeaseWrite::Stored(self.revision)
    }

    fn release(&mut self, era: u64, revision: u64, record: &LeaseRecord) {
        if era == self.era {
            self.write(revision, record);
        }
    }

    /// Carries out the next action of an instance, and writes that are late.
    /// Returns the response to a write if it hasn't arrived yet.
    fn step(
        &mut self,
        lease: &mut DutyLease,
        role: LeaseRole,
        fate: WriteFate,
        now_ms: u64,
    ) -> Option<LeaseWrite> {
        let (due, late) = take(&mut self.late)
            .into_iter()
            .partition(|write: &LateWrite| write.at_ms <= now_ms);
        self.late = late;
        let due: Vec<LateWrite> = due;
        for write in due {
            if write.era == self.era {
                self.write(write.expected, &write.record);
            }
        }
        let (expected, record) = match lease.next(now_ms, role) {
            LeaseAction::Wait => return None,
            LeaseAction::Read => {
                lease.note_era(self.era, now_ms);
                lease.note_read(self.read(), now_ms);
                return None;
            }
            LeaseAction::Release(revision, record) => {
                self.release(lease.era(), revision, &record);
                return None;
            }
            LeaseAction::Create(record) => (0, record),
            LeaseAction::Replace(revision, record) => (revision, record),
        };
        if lease.era() != self.era {
            // The write went to the object of the earlier era.
            lease.note_era(self.era, now_ms);
            return None;
        }
        let seen = match fate {
            WriteFate::Answered => self.write(expected, &record),
            WriteFate::InFlight => return Some(self.write(expected, &record)),
            WriteFate::ResponseLost => {
                self.write(expected, &record);
                LeaseWrite::Unclear
            }
            WriteFate::Late(delay_ms) => {
                let (era, at_ms) = (self.era, now_ms + delay_ms);
                self.late.push(LateWrite {
                    era,
                    at_ms,
                    expected,
                    record,
                });
                LeaseWrite::Unclear
            }
        };
        lease.note_write(seen, now_ms, now_ms + 5);
        None
    }
}

/// What happens in one step of an instance.
#[derive(Clone, Copy, Debug)]
enum StepEvent {
    None,
    /// It plans an order to a runner.
    Plan(usize),
    /// It drops its plans for a runner.
    DropPlan(usize),
    /// It sends an order to a runner if it may.
    Order(usize),
    /// The response to its write is lost.
    ResponseLost,
    /// Its write is executed after this delay in milliseconds, if its precondition still holds,
    /// and the response is lost.
    Late(u64),
    /// The response to its write arrives with its next step of this kind or without a fault.
    InFlight,
    /// It stops as planned, and a new process starts.
    Stopped,
    /// It is killed, and a new process starts.
    Killed,
    /// The store is restored, without the lease, in a new era.
    Restored,
}

fn step_event() -> impl Strategy<Value = StepEvent> {
    prop_oneof![
        12 => Just(StepEvent::None),
        6 => (0..RUNNERS.len()).prop_map(StepEvent::Plan),
        2 => (0..RUNNERS.len()).prop_map(StepEvent::DropPlan),
        24 => (0..RUNNERS.len()).prop_map(StepEvent::Order),
        1 => Just(StepEvent::ResponseLost),
        1 => (100u64..3000).prop_map(StepEvent::Late),
        6 => Just(StepEvent::InFlight),
        3 => Just(StepEvent::Stopped),
        1 => Just(StepEvent::Killed),
        1 => Just(StepEvent::Restored),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn orders_of_two_holders_to_one_runner_are_the_exclusion_time_apart(
        events in prop::collection::vec((0usize..3, step_event()), 400),
    ) {
        let mut store = StoredLease::default();
        let names = ["a", "b", "c"];
        let mut leases = names.map(|name| DutyLease::new(name, 1, TIMES));
        // The last order to each runner: time, instance and term.
        let mut last: [Option<(u64, usize, u64)>; RUNNERS.len()] = [None; RUNNERS.len()];
        // The write of each instance that is in flight: response, era and time.
        let mut in_flight: [Option<(LeaseWrite, u64, u64)>; 3] = [None; 3];
        for (step, (instance, event)) in events.into_iter().enumerate() {
            let now_ms = 10_000 + step as u64 * 70;
            let lease = &mut leases[instance];
            match event {
                StepEvent::Stopped => {
                    if let Some((revision, record)) = lease.release(now_ms) {
                        store.release(lease.era(), revision, &record);
                    }
                    in_flight[instance] = None;
                    *lease = DutyLease::new(names[instance], now_ms, TIMES);
                }
                StepEvent::Killed => {
                    in_flight[instance] = None;
                    *lease = DutyLease::new(names[instance], now_ms, TIMES);
                }
                StepEvent::Restored => {
                    store = StoredLease {
                        era: store.era + 1,
                        late: take(&mut store.late),
                        ..StoredLease::default()
                    };
                }
                StepEvent::Plan(runner) => lease.plan_order(RUNNERS[runner], "m", 2),
                StepEvent::DropPlan(runner) => lease.drop_plan(RUNNERS[runner]),
                StepEvent::Order(runner) => {
                    let Some(term) = lease.order_term(RUNNERS[runner], now_ms) else {
                        continue;
                    };
                    let order = SentOrder { version: 2, at_ms: now_ms };
                    lease.orders_mut().set(RUNNERS[runner], "m", order);
                    lease.orders_mut().note_sent(RUNNERS[runner], "m", now_ms);
                    if let Some((at_ms, holder, earlier_term)) = last[runner] {
                        prop_assert!(term >= earlier_term);
                        prop_assert!(holder == instance || now_ms >= at_ms + TIMES.exclusion_ms);
                        prop_assert!(holder == instance || term > earlier_term);
                    }
                    last[runner] = Some((now_ms, instance, term));
                }
                StepEvent::None
                | StepEvent::ResponseLost
                | StepEvent::Late(_)
                | StepEvent::InFlight => {
                    if let Some((response, era, sent_ms)) = in_flight[instance].take() {
                        match era == store.era {
                            true => lease.note_write(response, sent_ms, now_ms),
                            false => lease.note_era(store.era, now_ms),
                        }
                        continue;
                    }
                    let role = LeaseRole { is_candidate: true, has_work: true };
                    let fate = match event {
                        StepEvent::ResponseLost => WriteFate::ResponseLost,
                        StepEvent::Late(delay_ms) => WriteFate::Late(delay_ms),
                        StepEvent::InFlight => WriteFate::InFlight,
                        _ => WriteFate::Answered,
                    };
                    let response = store.step(lease, role, fate, now_ms);
                    in_flight[instance] = response.map(|response| (response, store.era, now_ms));
                }
            }
        }
    }
}

/// An instance in a restart in turn.
struct TurnInstance {
    lease: DutyLease,
    /// When the drain of its first process starts.
    stops_ms: u64,
    /// Whether its first process has ended or released the lease.
    has_left: bool,
}

/// Duration of a drain, and the time until the next process is ready.
const DRAIN_MS: u64 = 7000;
const START_MS: u64 = 1000;
/// Time until a runner has finished its requests, and duration of a load at the full rate.
const FINISH_MS: u64 = 3000;
const LOAD_MS: f64 = 1800.0;

impl TurnInstance {
    fn is_leaving(&self, now_ms: u64) -> bool {
        (self.stops_ms..self.stops_ms + DRAIN_MS).contains(&now_ms)
    }

    fn is_ready(&self, now_ms: u64) -> bool {
        now_ms < self.stops_ms || now_ms >= self.stops_ms + DRAIN_MS + START_MS
    }
}

/// A runner that finishes its running requests after an order and then loads the weights.
#[derive(Clone, Default)]
struct TurnRunner {
    name: String,
    /// When it has finished its requests; 0 without an order.
    free_ms: u64,
    /// Time that it has loaded at the full rate.
    loaded_ms: f64,
    /// Time and holder of the last order.
    last: Option<(u64, usize)>,
}

impl TurnRunner {
    fn is_new(&self) -> bool {
        self.loaded_ms >= LOAD_MS
    }

    fn is_loading(&self, now_ms: u64) -> bool {
        self.free_ms > 0 && now_ms >= self.free_ms && !self.is_new()
    }
}

/// Lets `step_ms` pass at runners. More than a fifth of them slow each other down.
fn load(runners: &mut [TurnRunner], step_ms: f64, now_ms: u64) {
    let loading = runners.iter().filter(|runner| runner.is_loading(now_ms));
    let rate = (runners.len() as f64 * 0.2 / loading.count().max(1) as f64).min(1.0);
    for runner in runners {
        if runner.is_loading(now_ms) {
            runner.loaded_ms += step_ms * rate;
        }
    }
}

/// When weights are requested, and the time limit of their rollout.
const NAMED_MS: u64 = 10_000;
const APPLY_MS: u64 = 15_000;

fn turn_runners(count: usize) -> Vec<TurnRunner> {
    let turn_runner = |number: usize| TurnRunner {
        name: format!("r{number}"),
        ..TurnRunner::default()
    };
    (0..count).map(turn_runner).collect()
}

/// Plans the orders that are due, and sends those that the holder with this index has recorded.
fn order_due(lease: &mut DutyLease, holder: usize, runners: &mut [TurnRunner], now_ms: u64) {
    for runner in runners.iter_mut() {
        let order = lease.orders().get(&runner.name, "m");
        let is_sent = |(at_ms, by): (u64, usize)| by == holder && at_ms >= order.at_ms;
        let is_planned = order.version == 2 && !runner.last.is_some_and(is_sent);
        if !is_planned || lease.order_term(&runner.name, now_ms).is_none() {
            continue;
        }
        if let Some((at_ms, earlier)) = runner.last {
            assert!(earlier == holder || now_ms >= at_ms + TIMES.exclusion_ms);
        }
        runner.last = Some((now_ms, holder));
        if runner.free_ms == 0 {
            runner.free_ms = now_ms + FINISH_MS;
        }
        lease.orders_mut().note_sent(&runner.name, "m", now_ms);
        lease.drop_plan(&runner.name);
    }
    let view = |runner: &TurnRunner| {
        let order = lease.orders().get(&runner.name, "m");
        RolloutView {
            version: Some(if runner.is_new() { 2 } else { 1 }),
            ordered: order.version,
            ordered_at_ms: order.at_ms,
            is_ready: true,
            is_excluded: lease.excludes_orders(&runner.name, now_ms),
            left_ms: (NAMED_MS + APPLY_MS).saturating_sub(now_ms),
            ..RolloutView::default()
        }
    };
    let views: Vec<RolloutView> = runners.iter().map(view).collect();
    let pace = RolloutPace {
        load_ms: APPLY_MS / 9,
        loading_others: 0,
    };
    for due in next_orders(&views, 2, pace, now_ms) {
        let order = SentOrder {
            version: 2,
            at_ms: now_ms,
        };
        lease.orders_mut().set(&runners[due].name, "m", order);
        lease.plan_order(&runners[due].name, "m", 2);
    }
}

/// Names weights at `NAMED_MS` and restarts `count` instances `gap_ms` apart; returns how many
/// of `runners` have the older version when 1.5 times the time limit has passed.
fn restart_in_turn(count: usize, gap_ms: u64, runners: usize) -> usize {
    let names: Vec<String> = (0..count).map(|n| format!("instance-{n}")).collect();
    let member = |index: usize| DutyMember {
        name: &names[index],
        strength: 250,
    };
    let turn_instance = |number: usize| TurnInstance {
        lease: DutyLease::new(&names[number], 1, TIMES),
        stops_ms: NAMED_MS + 1000 + number as u64 * gap_ms,
        has_left: false,
    };
    let mut instances: Vec<TurnInstance> = (0..count).map(turn_instance).collect();
    let mut runners = turn_runners(runners);
    let mut store = StoredLease::default();
    for now_ms in (NAMED_MS..NAMED_MS + APPLY_MS * 3 / 2).step_by(100) {
        load(&mut runners, 100.0, now_ms);
        let has_work = runners.iter().any(|runner| !runner.is_new());
        for index in 0..count {
            let others = (0..count).filter(|other| *other != index);
            let staying = others.filter(|other| instances[*other].is_ready(now_ms));
            let staying: Vec<DutyMember<'_>> = staying.map(member).collect();
            let rank = rank_among("weights", member(index), &staying);
            let instance = &mut instances[index];
            let is_ready = instance.is_ready(now_ms);
            if instance.is_leaving(now_ms) {
                let must_leave = now_ms >= instance.stops_ms + DRAIN_MS - 500;
                if !instance.has_left && (must_leave || !staying.is_empty()) {
                    instance.has_left = true;
                    if let Some((revision, record)) = instance.lease.release(now_ms) {
                        store.release(0, revision, &record);
                    }
                }
            } else if instance.has_left && is_ready {
                instance.has_left = false;
                instance.stops_ms = u64::MAX / 2;
                instance.lease = DutyLease::new(&names[index], now_ms, TIMES);
            }
            if instance.has_left {
                continue;
            }
            let is_candidate = is_ready && rank < 3;
            let role = LeaseRole {
                is_candidate,
                has_work,
            };
            store.step(&mut instance.lease, role, WriteFate::Answered, now_ms);
            if instance.lease.ordering_term(now_ms).is_none() {
                continue;
            }
            order_due(&mut instance.lease, index, &mut runners, now_ms);
        }
    }
    runners.iter().filter(|runner| !runner.is_new()).count()
}

/// Guards against a rollout that stands still for the exclusion time, or longer, at each
/// restart of the lease holder.
#[test]
fn a_rollout_ends_in_time_while_all_instances_are_restarted_in_turn() {
    for (count, runners) in [(2, 12), (7, 12), (7, 30), (76, 120)] {
        for gap_ms in [100, 300, 1000, 2000] {
            let old = restart_in_turn(count, gap_ms, runners);
            assert_eq!(old, 0, "{count} instances, {gap_ms} ms, {runners} runners");
        }
    }
}

/// How an instance that holds the lease is lost.
#[derive(Clone, Copy, Debug)]
enum HolderLoss {
    /// It is killed, and its next process starts some seconds later.
    Killed,
    /// It stands still for some seconds.
    Frozen,
}

/// Time for which an instance that is lost is away.
const AWAY_MS: u64 = 5000;

/// Names weights and takes the holder of the lease away `every_ms`; returns how many of `runners`
/// have the older version when 1.5 times the time limit has passed.
fn lose_holders(loss: HolderLoss, every_ms: u64, runners: usize) -> usize {
    let names = ["a", "b", "c"];
    let mut leases = names.map(|name| DutyLease::new(name, 1, TIMES));
    let mut away_until_ms = [0; 3];
    let mut runners = turn_runners(runners);
    let mut store = StoredLease::default();
    let mut next_loss_ms = NAMED_MS + every_ms;
    for now_ms in (NAMED_MS..NAMED_MS + APPLY_MS * 3 / 2).step_by(100) {
        load(&mut runners, 100.0, now_ms);
        let has_work = runners.iter().any(|runner| !runner.is_new());
        let holder = leases.iter().position(|lease| lease.is_held(now_ms));
        if let Some(holder) = holder.filter(|_| now_ms >= next_loss_ms) {
            next_loss_ms = now_ms + every_ms;
            away_until_ms[holder] = now_ms + AWAY_MS;
            if matches!(loss, HolderLoss::Killed) {
                leases[holder] = DutyLease::new(names[holder], now_ms, TIMES);
            }
        }
        for (index, lease) in leases.iter_mut().enumerate() {
            if away_until_ms[index] > now_ms {
                continue;
            }
            let role = LeaseRole {
                is_candidate: true,
                has_work,
            };
            store.step(lease, role, WriteFate::Answered, now_ms);
            if lease.ordering_term(now_ms).is_some() {
                order_due(lease, index, &mut runners, now_ms);
            }
        }
    }
    runners.iter().filter(|runner| !runner.is_new()).count()
}

/// Guards against a rollout that stands still because each holder of the lease is lost before
/// the exclusion time after the one before it has passed.
#[test]
fn a_rollout_ends_in_time_while_one_holder_after_the_other_is_lost() {
    for loss in [HolderLoss::Killed, HolderLoss::Frozen] {
        for (every_ms, runners) in [(4000, 12), (3000, 18), (3000, 120)] {
            let old = lose_holders(loss, every_ms, runners);
            assert_eq!(old, 0, "{loss:?} each {every_ms} ms, {runners} runners");
        }
    }
}

const HOLDER_ROLE: LeaseRole = LeaseRole {
    is_candidate: true,
    has_work: true,
};

/// A lease whose holder may send an order to `r0` from 1030 ms on.
fn lease_with_plan() -> (StoredLease, DutyLease) {
    let (mut store, mut lease) = (StoredLease::default(), DutyLease::new("a", 1, TIMES));
    for now_ms in [1000, 1010] {
        store.step(&mut lease, HOLDER_ROLE, WriteFate::Answered, now_ms);
    }
    lease.plan_order("r0", "m", 2);
    store.step(&mut lease, HOLDER_ROLE, WriteFate::Answered, 1020);
    assert_eq!(lease.order_term("r0", 1030), Some(1));
    (store, lease)
}

/// Guards against an order to a runner that the stored lease lists, but a write in progress or of
/// unknown outcome doesn't.
#[test]
fn an_order_is_sent_only_if_each_write_in_doubt_lists_it() {
    for is_unclear in [false, true] {
        let (mut store, mut lease) = lease_with_plan();
        lease.drop_plan("r0");
        let late = WriteFate::Late(400);
        let fate = if is_unclear {
            late
        } else {
            WriteFate::InFlight
        };
        store.step(&mut lease, HOLDER_ROLE, fate, 1600);
        lease.plan_order("r0", "m", 2);
        if is_unclear {
            store.step(&mut lease, HOLDER_ROLE, WriteFate::Answered, 1700);
        }
        assert!(lease.is_held(1800));
        assert_eq!(lease.order_term("r0", 1800), None);
    }
}

/// A lease whose holder has sent an order to `r0` and not heard of it yet.
fn lease_with_order_in_flight() -> (StoredLease, DutyLease) {
    let (store, mut lease) = lease_with_plan();
    let order = SentOrder {
        version: 2,
        at_ms: 1030,
    };
    lease.orders_mut().set("r0", "m", order);
    lease.orders_mut().note_sent("r0", "m", 1030);
    (store, lease)
}

/// Guards against an order that leaves the machine after the lease was released, and of which the
/// successor knows only when it was handed to the kernel.
#[test]
fn a_released_lease_lists_an_unanswered_order_as_planned() {
    let (_, mut lease) = lease_with_order_in_flight();
    let (_, record) = lease.release(1500).unwrap();
    let is_planned = |order: &&OrderRecord| order.is_planned && order.runner == "r0";
    assert_eq!(record.orders.iter().flatten().filter(is_planned).count(), 1);
}

/// Guards against a successor that takes a runner for free whose order is in progress.
#[test]
fn a_planned_order_does_not_hide_one_in_progress() {
    let (mut store, mut lease) = lease_with_order_in_flight();
    let (revision, record) = lease.release(1500).unwrap();
    store.write(revision, &record);
    let mut successor = DutyLease::new("b", 1, TIMES);
    for now_ms in [1600, 1610] {
        store.step(&mut successor, HOLDER_ROLE, WriteFate::Answered, now_ms);
    }
    assert_eq!(successor.orders().get("r0", "m").version, 2);
    assert!(successor.excludes_orders("r0", 1600 + TIMES.valid_ms + TIMES.exclusion_ms));
}

/// Guards against a process whose predecessor of the same name still sends an order: its own
/// successor must wait for that order too.
#[test]
fn an_order_that_an_earlier_process_may_still_send_stays_planned() {
    let (mut store, _earlier) = lease_with_order_in_flight();
    let mut process = DutyLease::new("a", 2, TIMES);
    for now_ms in [1040, 1050] {
        store.step(&mut process, HOLDER_ROLE, WriteFate::Answered, now_ms);
    }
    let (_, record) = process.release(1100).unwrap();
    let planned = record.orders.iter().flatten().filter(|o| o.is_planned);
    assert_eq!(planned.count(), 1);
}
