//! Simulates the lease of a duty, and checks that actions of two holders are always
//! separated by the exclusion time. Instances freeze and restart, responses to writes
//! are lost or writes take effect late, and the store is restored from older copies.
//! Also tests retry shares, shared duties and weights rollouts.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    duty_lease::{DutyLease, LeaseAction, LeaseRecord, LeaseRole, LeaseTimes, LeaseWrite},
    retry_share::{RetryBounds, RetryOwner, RetryShare},
    shared_duties::{rank_among, DutyMember},
    weights_rollout::{next_orders, RolloutPace, RolloutView},
};
use proptest::prelude::*;

const TIMES: LeaseTimes = LeaseTimes {
    valid_ms: 1500,
    exclusion_ms: 3000,
};

/// The lease objects in the store, one for each era with a write: era, revision and
/// record.
#[derive(Clone, Default)]
struct StoredLease {
    era: u64,
    revision: u64,
    objects: Vec<(u64, u64, LeaseRecord)>,
}

impl StoredLease {
    /// The lease object of an era, with its revision.
    fn get(&self, era: u64) -> Option<(u64, LeaseRecord)> {
        let mut objects = self.objects.iter();
        let (_, revision, record) = objects.find(|(object_era, _, _)| *object_era == era)?;
        Some((*revision, record.clone()))
    }

    fn write(&mut self, era: u64, expected: u64, record: &LeaseRecord) -> bool {
        let current = self.get(era).map_or(0, |(revision, _)| revision);
        if current != expected {
            return false;
        }
        self.revision += 1;
        self.objects.retain(|(object_era, _, _)| *object_era != era);
        self.objects.push((era, self.revision, record.clone()));
        true
    }
}

/// The fault in one step of an instance.
#[derive(Clone, Copy, Debug)]
enum StepFault {
    None,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write is executed after this delay in milliseconds, if its precondition still
    /// holds.
    Late(u64),
    /// The instance freezes for this many milliseconds after sending.
    Frozen(u64),
    /// A copy of the store is made.
    Copied,
    /// The store is restored from its copy, in a new era.
    Restored,
    /// The instance restarts.
    Restarted,
}

fn step_fault() -> impl Strategy<Value = StepFault> {
    prop_oneof![
        20 => Just(StepFault::None),
        2 => Just(StepFault::ResponseLost),
        1 => (500u64..6000).prop_map(StepFault::Late),
        1 => (500u64..6000).prop_map(StepFault::Frozen),
        1 => Just(StepFault::Copied),
        1 => Just(StepFault::Restored),
        1 => Just(StepFault::Restarted),
    ]
}

proptest! {
    #[test]
    fn holders_act_at_least_the_exclusion_time_apart(
        faults in prop::collection::vec((0usize..3, step_fault(), any::<bool>()), 400),
    ) {
        let mut store = StoredLease::default();
        let mut copy = store.clone();
        // Delayed writes: time of execution, era, expected revision and record.
        let mut late: Vec<(u64, u64, u64, LeaseRecord)> = Vec::new();
        let names = ["a", "b", "c"];
        let mut leases = names.map(|name| DutyLease::new(name, 1, TIMES));
        let mut frozen_until = [0u64; 3];
        // Actions: time, instance and term.
        let mut acts: Vec<(u64, usize, u64)> = Vec::new();
        for (step, (instance, fault, has_work)) in faults.into_iter().enumerate() {
            let now_ms = 10_000 + step as u64 * 70;
            late.retain(|(at_ms, era, revision, record)| {
                if *at_ms <= now_ms {
                    store.write(*era, *revision, record);
                }
                *at_ms > now_ms
            });
            match fault {
                StepFault::Copied => copy = store.clone(),
                StepFault::Restored => {
                    let era = store.era + 1;
                    store = StoredLease { era, ..copy.clone() };
                }
                StepFault::Restarted => {
                    leases[instance] = DutyLease::new(names[instance], now_ms, TIMES);
                    frozen_until[instance] = now_ms;
                }
                _ => {}
            }
            for (index, lease) in leases.iter().enumerate() {
                if let Some(term) = lease.acting_term(now_ms) {
                    if frozen_until[index] <= now_ms {
                        acts.push((now_ms, index, term));
                    }
                }
            }
            if frozen_until[instance] > now_ms {
                continue;
            }
            let role = LeaseRole { is_candidate: true, has_work };
            let lease = &mut leases[instance];
            let era = lease.era();
            let (expected, record) = match lease.next(now_ms, role) {
                LeaseAction::Wait => continue,
                LeaseAction::Read => {
                    lease.note_era(store.era, now_ms);
                    lease.note_read(store.get(store.era), now_ms);
                    continue;
                }
                LeaseAction::Release(revision, record) => {
                    match fault {
                        StepFault::Late(delay_ms) => {
                            late.push((now_ms + delay_ms, era, revision, record));
                        }
                        _ => drop(store.write(era, revision, &record)),
                    }
                    continue;
                }
                LeaseAction::Create(record) => (0, record),
                LeaseAction::Replace(revision, record) => (revision, record),
            };
            match fault {
                StepFault::Late(delay_ms) => {
                    late.push((now_ms + delay_ms, era, expected, record));
                    lease.note_write(LeaseWrite::Unclear, now_ms, now_ms + 5);
                }
                _ => {
                    let stored = store.write(era, expected, &record);
                    if store.era > era && !matches!(fault, StepFault::ResponseLost) {
                        // The response shows that the era changed before the write.
                        lease.note_era(store.era, now_ms);
                        continue;
                    }
                    let write = match (fault, stored) {
                        (StepFault::ResponseLost, _) => LeaseWrite::Unclear,
                        (_, true) => LeaseWrite::Stored(store.revision),
                        (_, false) => LeaseWrite::Conflict,
                    };
                    let mut responded_ms = now_ms + 5;
                    if let StepFault::Frozen(span_ms) = fault {
                        frozen_until[instance] = now_ms + span_ms;
                        responded_ms = frozen_until[instance];
                    }
                    lease.note_write(write, now_ms, responded_ms);
                }
            }
        }
        for pair in acts.windows(2) {
            let ((early_ms, first, first_term), (late_ms, second, second_term)) = (pair[0], pair[1]);
            if first != second {
                prop_assert!(second_term > first_term, "terms {first_term} then {second_term}");
                prop_assert!(late_ms - early_ms >= TIMES.exclusion_ms, "{early_ms} then {late_ms}");
            }
        }
    }

    /// Seven instances without coordination keep the retry bound together.
    #[test]
    fn retries_keep_the_bound_in_every_window(
        requests in prop::collection::vec((0usize..7, 0u64..200, any::<bool>()), 800),
    ) {
        let bounds = RetryBounds { ratio: 0.2, extra: 54.0, window_ms: 10_000 };
        let owner = |number: u32| RetryOwner {
            started_ms: 0,
            rounding: f64::from(number) / 7.0,
        };
        let mut shares: Vec<RetryShare> =
            (0..7).map(|number| RetryShare::new(bounds, owner(number))).collect();
        let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
        let mut now_ms = 100_000;
        for (instance, pause_ms, fails) in requests {
            now_ms += pause_ms;
            shares[instance].note_first(now_ms);
            first_attempts.push(now_ms);
            if fails && shares[instance].take(now_ms, Some(7)) {
                retries.push(now_ms);
            }
        }
        for end_ms in retries.iter().copied() {
            let within = |at: &&u64| **at <= end_ms && **at + bounds.window_ms > end_ms;
            let first = first_attempts.iter().filter(within).count() as f64;
            let retried = retries.iter().filter(within).count() as f64;
            prop_assert!(retried <= bounds.ratio * first + bounds.extra);
        }
    }
}

/// A holder with work excludes its successor for the exclusion time. A holder without
/// work releases the lease, and its successor acts at once. A candidate without work
/// doesn't take the lease.
#[test]
fn an_idle_holder_does_not_exclude_its_successor() {
    let role = |has_work| LeaseRole {
        is_candidate: true,
        has_work,
    };
    for has_work in [false, true] {
        let mut store = StoredLease::default();
        let mut first = DutyLease::new("a", 1, TIMES);
        assert_eq!(first.next(1000, role(false)), LeaseAction::Wait);
        take(&mut first, &mut store, 1000);
        let mut released_ms = None;
        for now_ms in (1200..9000).step_by(100) {
            match first.next(now_ms, role(has_work)) {
                LeaseAction::Replace(revision, record) => {
                    assert!(store.write(0, revision, &record));
                    first.note_write(LeaseWrite::Stored(store.revision), now_ms, now_ms + 5);
                }
                LeaseAction::Release(revision, record) => {
                    assert!(store.write(0, revision, &record));
                    released_ms = Some(now_ms);
                }
                LeaseAction::Wait => {}
                action => panic!("{action:?}"),
            }
        }
        assert_eq!(released_ms.is_some(), !has_work);
        assert_eq!(first.is_held(9000), has_work);
        // `first` no longer renews, so `second` takes the lease after it lapses.
        let mut second = DutyLease::new("b", 1, TIMES);
        let (_, taken_ms) = take(&mut second, &mut store, 9000);
        assert_eq!(second.acting_term(taken_ms + 10).is_some(), !has_work);
    }
}

/// Takes the lease as soon as possible; returns the record and the time.
fn take(lease: &mut DutyLease, store: &mut StoredLease, from_ms: u64) -> (LeaseRecord, u64) {
    let role = LeaseRole {
        is_candidate: true,
        has_work: true,
    };
    for now_ms in (from_ms..from_ms + 20_000).step_by(50) {
        let (expected, record) = match lease.next(now_ms, role) {
            LeaseAction::Wait => continue,
            LeaseAction::Read => {
                lease.note_era(store.era, now_ms);
                lease.note_read(store.get(store.era), now_ms);
                continue;
            }
            LeaseAction::Create(record) => (0, record),
            LeaseAction::Replace(revision, record) => (revision, record),
            LeaseAction::Release(..) => panic!("released the lease although its holder has work"),
        };
        assert!(store.write(lease.era(), expected, &record));
        lease.note_write(LeaseWrite::Stored(store.revision), now_ms, now_ms + 5);
        return (record, now_ms);
    }
    panic!("the lease was not taken within 20 s");
}

/// Each era has its own lease object and terms. A new holder that can't know who acted
/// before doesn't act at once.
#[test]
fn each_era_has_its_own_lease_and_terms() {
    let mut store = StoredLease {
        era: 1,
        ..StoredLease::default()
    };
    let mut first = DutyLease::new("a", 1, TIMES);
    let (record, taken_ms) = take(&mut first, &mut store, 1000);
    assert_eq!(record.term, 1_000_001);
    // It can't know who acted before the first era that it saw.
    assert_eq!(first.acting_term(taken_ms + 100), None);
    let copy = store.clone();
    store = StoredLease { era: 2, ..copy };
    let mut second = first.clone();
    first.note_era(2, taken_ms + 200);
    assert!(!first.is_held(taken_ms + 200));
    let (record, taken_ms) = take(&mut first, &mut store, taken_ms + 200);
    assert_eq!((record.term, first.era()), (2_000_001, 2));
    // A holder that learns of the era too late can't know who acted in the meantime.
    second.note_era(2, taken_ms + 9000);
    assert_eq!(second.acting_term(taken_ms + 9000), None);
    let (record, taken_ms) = take(&mut second, &mut store, taken_ms + 9000);
    assert_eq!(record.term, 2_000_002);
    assert_eq!(second.acting_term(taken_ms + 100), None);
}

#[test]
fn the_oldest_weights_are_replaced_first() {
    let ready = RolloutView {
        version: Some(2),
        is_ready: true,
        left_ms: 15_000,
        ..RolloutView::default()
    };
    let oldest = RolloutView {
        version: Some(1),
        running: 9,
        ..ready
    };
    let done = RolloutView {
        version: Some(3),
        ..ready
    };
    let pace = RolloutPace {
        load_ms: 1500,
        loading_others: 0,
    };
    let runners = [done, ready, oldest, ready, done];
    assert_eq!(next_orders(&runners, 3, pace, 1000), [2]);
    let ordered = RolloutView {
        ordered: 3,
        ordered_at_ms: 900,
        ..oldest
    };
    assert_eq!(
        next_orders(&[done, ready, ordered, ready, done], 3, pace, 1000),
        [0; 0]
    );
}

/// Guards against a rollout that asks runners with an order in progress again and again, in the
/// place of runners that are free.
#[test]
fn a_runner_that_loads_the_version_before_is_not_ordered() {
    let free = RolloutView {
        version: Some(2),
        is_ready: true,
        left_ms: 15_000,
        ..RolloutView::default()
    };
    let loading = RolloutView {
        version: Some(1),
        ordered: 2,
        ordered_at_ms: 900,
        ..free
    };
    let pace = RolloutPace {
        load_ms: 1500,
        loading_others: 0,
    };
    let mut runners = vec![loading; 2];
    runners.extend([free; 13]);
    assert_eq!(next_orders(&runners, 3, pace, 1000), [2]);
}

/// Guards against a rollout that takes many runners out of service that may still serve, because the
/// time of a few others is over.
#[test]
fn runners_whose_time_is_over_do_not_hurry_those_that_may_serve() {
    let serving = RolloutView {
        version: Some(2),
        is_ready: true,
        left_ms: 15_000,
        ..RolloutView::default()
    };
    let retired = RolloutView {
        version: Some(1),
        left_ms: 0,
        ..serving
    };
    let pace = RolloutPace {
        load_ms: 1500,
        loading_others: 0,
    };
    let mut runners = vec![retired; 4];
    runners.extend([serving; 11]);
    assert_eq!(next_orders(&runners, 3, pace, 1000), [0, 1, 2, 3]);
}

/// Among 63 instances of different strengths, no shared duty is assigned to a weak one,
/// and the duties are spread over the strong ones.
#[test]
fn shared_duties_go_to_strong_instances() {
    let names: Vec<String> = (0..63).map(|number| format!("instance-{number}")).collect();
    let strengths = [120, 160, 200, 250, 320, 400, 500];
    let member = |(index, name): (usize, &'_ String)| (name.clone(), strengths[index % 7]);
    let fleet: Vec<(String, u32)> = names.iter().enumerate().map(member).collect();
    let members: Vec<DutyMember<'_>> = fleet
        .iter()
        .map(|(name, strength)| DutyMember {
            name,
            strength: *strength,
        })
        .collect();
    let mut assigned = Vec::new();
    for duty in ["lease", "runners", "store-1", "store-2", "store-3"] {
        for own in &members {
            let others: Vec<DutyMember<'_>> = members
                .iter()
                .filter(|m| m.name != own.name)
                .copied()
                .collect();
            if rank_among(duty, *own, &others) < 3 {
                assert!(own.strength >= 250, "{duty} is assigned to {own:?}");
                assigned.push(own.name);
            }
        }
    }
    assert_eq!(assigned.len(), 15);
    assigned.sort_unstable();
    assigned.dedup();
    assert!(assigned.len() >= 10, "{assigned:?}");
}
