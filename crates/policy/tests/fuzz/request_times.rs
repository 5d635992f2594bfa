//! Fuzz test: no process believes that weights were requested later than they were.

use crate::config;
use berylmount_policy::request_times::RequestTimes;
use proptest::{collection::vec, prelude::*, sample::Index};

const PROCESSES: usize = 4;
/// Time after a request until which older weights may serve, in milliseconds.
const APPLY_MS: u64 = 5000;
/// Longest delay of a report, in milliseconds.
const MAX_DELAY_MS: u64 = 40;

/// An event among processes that follow the requests of one model's weights.
#[derive(Clone, Debug)]
enum RequestStep {
    /// The next version is requested.
    Request,
    /// A process reads the store with a call of some milliseconds.
    Read {
        process: Index,
        call_ms: u64,
    },
    /// A process reports to another one.
    Report {
        from: Index,
        to: Index,
        delay_ms: u64,
    },
    /// A process restarts and loses what it knows.
    Restart(Index),
    /// All processes restart; one may have stored what it knew.
    RestartAll {
        stored: Option<Index>,
    },
    Advance(u64),
}

fn step() -> impl Strategy<Value = RequestStep> {
    prop_oneof![
        1 => Just(RequestStep::Request),
        6 => (any::<Index>(), 1..300u64)
            .prop_map(|(process, call_ms)| RequestStep::Read { process, call_ms }),
        6 => (any::<Index>(), any::<Index>(), 0..MAX_DELAY_MS)
            .prop_map(|(from, to, delay_ms)| RequestStep::Report { from, to, delay_ms }),
        2 => any::<Index>().prop_map(RequestStep::Restart),
        1 => any::<Option<Index>>().prop_map(|stored| RequestStep::RestartAll { stored }),
        4 => (1..2000u64).prop_map(RequestStep::Advance),
    ]
}

/// A process, and when it sent the last call whose response it has.
#[derive(Clone, Debug, Default)]
struct FollowingProcess {
    key: u64,
    times: RequestTimes,
    newest: u64,
    synced_ms: Option<u64>,
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_bound_is_never_later_than_the_request(steps in vec(step(), 1..120)) {
        let mut now_ms = 100_000u64;
        // The version at index 0 was there before.
        let mut requested_ms = vec![0u64];
        let mut next_key = PROCESSES as u64;
        let mut processes: Vec<FollowingProcess> = (0..PROCESSES as u64)
            .map(|key| FollowingProcess { key, ..FollowingProcess::default() })
            .collect();
        let mut delays_ms = 0;
        for step in steps {
            match step {
                RequestStep::Request => requested_ms.push(now_ms),
                RequestStep::Advance(ms) => now_ms += ms,
                RequestStep::Read { process, call_ms } => {
                    let process = &mut processes[process.index(PROCESSES)];
                    let sent_ms = now_ms;
                    now_ms += call_ms;
                    let newest = requested_ms.len() as u64;
                    if newest > process.newest {
                        process.times.learn(newest, process.synced_ms, now_ms);
                        process.newest = newest;
                    }
                    process.synced_ms = Some(sent_ms);
                }
                RequestStep::Report { from, to, delay_ms } => {
                    let (from, to) = (from.index(PROCESSES), to.index(PROCESSES));
                    let reporter = processes[from].clone();
                    now_ms += delay_ms;
                    delays_ms += delay_ms as i64;
                    let receiver = &mut processes[to];
                    for (version, at_ms) in reporter.times.bounds() {
                        if from != to && version <= receiver.newest {
                            // The age is older by the delay when it arrives.
                            let seen_ms = at_ms.map(|at_ms| at_ms + delay_ms as i64);
                            receiver.times.note_report(reporter.key, version, seen_ms, now_ms);
                        }
                    }
                }
                RequestStep::Restart(index) => {
                    next_key += 1;
                    let process = &mut processes[index.index(PROCESSES)];
                    *process = FollowingProcess { key: next_key, ..FollowingProcess::default() };
                }
                RequestStep::RestartAll { stored } => {
                    let stored = stored.map(|index| processes[index.index(PROCESSES)].clone());
                    for process in &mut processes {
                        next_key += 1;
                        *process = FollowingProcess { key: next_key, ..Default::default() };
                        let Some(stored) = &stored else { continue };
                        for (version, at_ms) in stored.times.bounds() {
                            process.times.note_stored(version, at_ms, now_ms);
                        }
                        process.newest = stored.newest;
                    }
                }
            }
            for process in &processes {
                for (version, at_ms) in process.times.bounds() {
                    let true_ms = requested_ms[version as usize - 1] as i64;
                    let is_sound = at_ms.is_none_or(|at_ms| at_ms <= true_ms + delays_ms);
                    prop_assert!(is_sound, "version {version} at {at_ms:?}, not {true_ms}");
                }
                // Also versions that the process has never seen, because newer ones followed.
                let known_ms = requested_ms.iter().take(process.newest as usize);
                let is_late = |at_ms: &&u64| **at_ms + APPLY_MS + delays_ms as u64 <= now_ms;
                let min_version = known_ms.take_while(is_late).count() as u64;
                let newest_due = process.times.newest_due(now_ms, APPLY_MS).unwrap_or(0);
                prop_assert!(newest_due >= min_version, "{newest_due} for {min_version}");
            }
        }
    }
}
