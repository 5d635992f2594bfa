//! Fuzz tests: the requests in flight at a brittle runner never exceed its slots.

use crate::config;
use berylmount_policy::{
    runner_limits::PermitDecision,
    runner_rooms::{BrittleRunners, HolderLoad, PlaceEnd, PlaceRequest, RunnerKey},
};
use proptest::{collection::vec, prelude::*};
use rand::SeedableRng;
use rand_pcg::Pcg32;

const RUNNER: RunnerKey = RunnerKey {
    start: 7,
    service: 1,
};
const HOLDERS: u64 = 4;
const SLOTS: u32 = 5;
const LIFETIME_MS: u64 = 3000;
/// Longest age of a report.
const REPORT_MS: u64 = 200;

#[derive(Clone, Debug)]
enum RoomStep {
    /// A request for a place by a holder.
    Ask(u64),
    /// The end of one of the requests in flight, and whether the coordinator learns of it.
    End(usize, PlaceEnd, bool),
    /// A response: whether its runner is brittle, and how long ago its request was sent.
    Response(bool, u64),
    /// A report of another instance.
    Report(bool, u64, Vec<u64>),
    /// A request of this instance and the decision that it gets.
    Own(u64),
    /// Reports to other instances.
    Send,
    Pass(u64),
}

fn room_step() -> impl Strategy<Value = RoomStep> {
    let end = prop_oneof![
        6 => Just(PlaceEnd::Ended),
        1 => Just(PlaceEnd::Abandoned),
        1 => Just(PlaceEnd::Rejected),
    ];
    let ages = vec(0u64..12_000, 0..5);
    prop_oneof![
        8 => (0..HOLDERS).prop_map(RoomStep::Ask),
        6 => (any::<usize>(), end, prop::bool::weighted(0.9))
            .prop_map(|(index, end, is_heard)| RoomStep::End(index, end, is_heard)),
        1 => (prop::bool::weighted(0.95), 0u64..500).prop_map(|(b, a)| RoomStep::Response(b, a)),
        1 => (any::<bool>(), 0u64..5000, ages).prop_map(|(b, a, r)| RoomStep::Report(b, a, r)),
        1 => (0u64..3000).prop_map(RoomStep::Own),
        1 => Just(RoomStep::Send),
        4 => (0u64..300).prop_map(RoomStep::Pass),
    ]
}

/// A request in flight: its place, its holder, when it was granted and when it ends at the
/// runner.
type Flight = (u64, u64, u64, u64);

/// The reports of all holders as of now.
fn loads(flights: &[Flight], now_ms: u64) -> Vec<HolderLoad> {
    let load = |holder| HolderLoad {
        holder,
        running: flights.iter().filter(|flight| flight.1 == holder).count() as u32,
        needed_tokens: 0,
        at_ms: now_ms,
    };
    (0..HOLDERS).map(load).collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn requests_in_flight_stay_within_the_slots(steps in vec(room_step(), 1..400)) {
        let mut rng = Pcg32::seed_from_u64(1);
        let mut runners = BrittleRunners::default();
        let (mut now_ms, mut number) = (10_000u64, 0u64);
        let mut flights: Vec<Flight> = Vec::new();
        let mut reported = loads(&flights, now_ms);
        runners.note(RUNNER, Some(2.0), now_ms, now_ms);
        for step in steps {
            flights.retain(|flight| now_ms < flight.3);
            match step {
                RoomStep::Ask(holder) => {
                    number += 1;
                    let request = PlaceRequest {
                        runner: RUNNER, number, holder, slots: SLOTS, memory_tokens: 0,
                        needed_tokens: 0, fraction: 1.0, lifetime_ms: LIFETIME_MS, observed: None,
                    };
                    let needs_place = runners.report_of(RUNNER, now_ms).is_some();
                    let decision = runners.grant(&request, 1.0, &reported, REPORT_MS, now_ms);
                    if !needs_place {
                        prop_assert_eq!(decision, PermitDecision::Granted);
                        continue;
                    }
                    if decision == PermitDecision::Granted {
                        flights.push((number, holder, now_ms, now_ms + LIFETIME_MS));
                        prop_assert!(flights.len() <= SLOTS as usize, "{flights:?}");
                    }
                }
                RoomStep::End(index, end, is_heard) if !flights.is_empty() => {
                    let flight = flights.remove(index % flights.len());
                    if is_heard {
                        runners.give_back(RUNNER, flight.0, end, now_ms);
                    }
                    if end == PlaceEnd::Abandoned {
                        // The runner is at work for a little longer, and its holder does not
                        // count it.
                        let late = (flight.0, u64::MAX, flight.2, flight.3.min(now_ms + 400));
                        if is_heard {
                            flights.push(late);
                        }
                    }
                }
                RoomStep::End(..) => {}
                RoomStep::Response(is_brittle, age_ms) => {
                    runners.note(RUNNER, is_brittle.then_some(2.0), now_ms - age_ms, now_ms);
                }
                RoomStep::Report(is_brittle, age_ms, rejection_ages_ms) => {
                    let report = berylmount_policy::runner_rooms::BrittleReport {
                        runner: RUNNER, rejection_limit: is_brittle.then_some(1.0), age_ms,
                        brittle_for_ms: age_ms, rejection_ages_ms,
                    };
                    runners.merge(&report, now_ms);
                }
                RoomStep::Own(delay_ms) => {
                    let decision = PermitDecision::Denied(delay_ms);
                    runners.begin_request(RUNNER, now_ms);
                    runners.end_request(RUNNER, decision, now_ms, &mut rng);
                    let delay_ms = runners.delay_ms(RUNNER, now_ms);
                    prop_assert!(delay_ms.is_none_or(|ms| ms <= 4500), "{delay_ms:?}");
                }
                RoomStep::Send => {
                    let reports = runners.reports(now_ms, &mut rng);
                    prop_assert!(reports.len() <= 1);
                    for report in reports {
                        prop_assert!(report.rejection_ages_ms.len() <= 4);
                    }
                }
                RoomStep::Pass(span_ms) => {
                    now_ms += span_ms;
                    flights.retain(|flight| now_ms < flight.3);
                    if now_ms - reported[0].at_ms >= REPORT_MS {
                        reported = loads(&flights, now_ms);
                    }
                }
            }
        }
    }
}
