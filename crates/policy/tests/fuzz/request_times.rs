//! Fuzz test: no process believes that weights were requested later than they were, however long
//! messages are on their way.

use crate::config;
use berylmount_policy::request_times::{RequestTimes, HINT_VALIDITY_MS};
use proptest::{collection::vec, prelude::*, sample::Index};

/// How far the clock of each process is ahead, in microseconds.
const CLOCKS_US: [i64; 4] = [0, 300, 999_500, 7_000_700];
/// Time after a request until which older weights may serve, in milliseconds.
const APPLY_MS: u64 = 5000;

/// An event among processes that follow the requests of one model's weights.
#[derive(Clone, Debug)]
enum RequestStep {
    /// The next version is requested.
    Request,
    /// A process reads the store with a call of some microseconds.
    Read { process: Index, call_us: i64 },
    /// A process sends a heartbeat to another one.
    Hint { from: Index, to: Index },
    /// A process asks another one.
    Query { from: Index, to: Index },
    /// A message arrives, in any order and after any time.
    Deliver(Index),
    /// A process restarts and loses what it knows.
    Restart(Index),
    /// All processes restart; one may have stored what it knew.
    RestartAll { stored: Option<Index> },
    /// Microseconds pass.
    Advance(i64),
}

fn step() -> impl Strategy<Value = RequestStep> {
    prop_oneof![
        1 => Just(RequestStep::Request),
        6 => (any::<Index>(), prop_oneof![0..50i64, 0..300_000i64])
            .prop_map(|(process, call_us)| RequestStep::Read { process, call_us }),
        6 => (any::<Index>(), any::<Index>()).prop_map(|(from, to)| RequestStep::Hint { from, to }),
        6 => (any::<Index>(), any::<Index>()).prop_map(|(from, to)| RequestStep::Query { from, to }),
        12 => any::<Index>().prop_map(RequestStep::Deliver),
        1 => any::<Index>().prop_map(RequestStep::Restart),
        1 => any::<Option<Index>>().prop_map(|stored| RequestStep::RestartAll { stored }),
        2 => (1..2000i64).prop_map(RequestStep::Advance),
        4 => (1..2_000_000i64).prop_map(RequestStep::Advance),
    ]
}

/// What a message contains.
#[derive(Clone, Debug)]
enum MessageContent {
    /// The ages in a heartbeat.
    Hint(Vec<(u64, Option<u64>)>),
    /// A query of the process with this index and key, and when it was sent by its clock.
    Query { from: usize, key: u64, sent_ms: u64 },
    /// The ages in the reply to a query that was sent at that time.
    Reply {
        ages: Vec<(u64, Option<u64>)>,
        sent_ms: u64,
    },
}

/// A message to the process with this index and key.
#[derive(Clone, Debug)]
struct SentMessage {
    to: usize,
    key: u64,
    content: MessageContent,
}

/// A process, and when it sent the last call whose response it has.
#[derive(Clone, Debug, Default)]
struct FollowingProcess {
    key: u64,
    clock_us: i64,
    times: RequestTimes,
    newest: u64,
    synced_ms: Option<u64>,
    /// The versions that it has learned of, and when.
    learned_ms: Vec<(u64, u64)>,
}

impl FollowingProcess {
    fn clock_ms(&self, now_us: i64) -> u64 {
        ((now_us + self.clock_us) / 1000) as u64
    }

    /// Restarts the process on the same machine.
    fn restart(&mut self, key: u64) {
        *self = Self {
            key,
            clock_us: self.clock_us,
            ..Self::default()
        };
    }

    fn read(&mut self, newest: u64, sent_ms: u64, now_us: i64) {
        let now_ms = self.clock_ms(now_us);
        if newest > self.newest {
            self.times.learn(newest, self.synced_ms, now_ms);
            self.newest = newest;
            self.learned_ms.push((newest, now_ms));
        }
        self.synced_ms = Some(sent_ms);
    }

    /// Reads what the process `stored` had stored.
    fn restore(&mut self, stored: &Self, now_us: i64) {
        let now_ms = self.clock_ms(now_us);
        for (version, at_ms) in stored.times.bounds() {
            let at_us = at_ms.map(|at_ms| at_ms * 1000 - stored.clock_us + self.clock_us);
            let at_ms = at_us.map(|at_us| at_us.div_euclid(1000));
            self.times.note_stored(version, at_ms, now_ms);
        }
        self.newest = stored.newest;
        self.learned_ms.push((stored.newest, now_ms));
    }

    /// Takes a message; returns the reply.
    fn receive(&mut self, content: MessageContent, now_us: i64) -> Option<SentMessage> {
        let now_ms = self.clock_ms(now_us);
        let newest = self.newest;
        let is_known = |(version, _): &(u64, Option<u64>)| *version <= newest;
        match content {
            MessageContent::Hint(ages) => {
                for (version, age_ms) in ages.into_iter().filter(is_known) {
                    if let Some(age_ms) = age_ms {
                        let at_ms = now_ms as i64 - age_ms as i64;
                        self.times.note_hint(version, at_ms, now_ms);
                    }
                }
                None
            }
            MessageContent::Query { from, key, sent_ms } => {
                let ages = self.times.ages(now_ms).collect();
                let content = MessageContent::Reply { ages, sent_ms };
                Some(SentMessage {
                    to: from,
                    key,
                    content,
                })
            }
            MessageContent::Reply { ages, sent_ms } => {
                for (version, age_ms) in ages.into_iter().filter(is_known) {
                    self.times.note_reply(version, age_ms, sent_ms, now_ms);
                }
                None
            }
        }
    }

    /// Returns the newest version of which the process has known for so long that no hints count.
    fn settled_version(&self, now_us: i64) -> u64 {
        let now_ms = self.clock_ms(now_us);
        let learned_ms = self.learned_ms.iter().rev();
        let mut settled = learned_ms.filter(|(_, at_ms)| at_ms + HINT_VALIDITY_MS <= now_ms);
        settled.next().map_or(0, |(version, _)| *version)
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_bound_is_never_later_than_the_request(steps in vec(step(), 1..200)) {
        let mut now_us = 100_000_000i64;
        // The version at index 0 was there before.
        let mut requested_us = vec![0i64];
        let count = CLOCKS_US.len();
        let mut next_key = count as u64;
        let started = CLOCKS_US.iter().zip(0..);
        let mut processes: Vec<FollowingProcess> = started
            .map(|(clock_us, key)| FollowingProcess {
                key,
                clock_us: *clock_us,
                ..FollowingProcess::default()
            })
            .collect();
        let mut sent: Vec<SentMessage> = Vec::new();
        for step in steps {
            match step {
                RequestStep::Request => requested_us.push(now_us),
                RequestStep::Advance(us) => now_us += us,
                RequestStep::Read { process, call_us } => {
                    let process = &mut processes[process.index(count)];
                    let sent_ms = process.clock_ms(now_us);
                    now_us += call_us;
                    process.read(requested_us.len() as u64, sent_ms, now_us);
                }
                RequestStep::Hint { from, to } => {
                    let (from, to) = (&processes[from.index(count)], to.index(count));
                    let ages = from.times.ages(from.clock_ms(now_us)).collect();
                    let (key, content) = (processes[to].key, MessageContent::Hint(ages));
                    sent.push(SentMessage { to, key, content });
                }
                RequestStep::Query { from, to } => {
                    let (from, to) = (from.index(count), to.index(count));
                    let (key, sent_ms) = (processes[from].key, processes[from].clock_ms(now_us));
                    let content = MessageContent::Query { from, key, sent_ms };
                    sent.push(SentMessage { to, key: processes[to].key, content });
                }
                RequestStep::Deliver(index) => {
                    if sent.is_empty() {
                        continue;
                    }
                    let message = sent.swap_remove(index.index(sent.len()));
                    let receiver = &mut processes[message.to];
                    if receiver.key == message.key {
                        sent.extend(receiver.receive(message.content, now_us));
                    }
                }
                RequestStep::Restart(index) => {
                    next_key += 1;
                    processes[index.index(count)].restart(next_key);
                }
                RequestStep::RestartAll { stored } => {
                    let stored = stored.map(|index| processes[index.index(count)].clone());
                    for process in &mut processes {
                        next_key += 1;
                        process.restart(next_key);
                        if let Some(stored) = &stored {
                            process.restore(stored, now_us);
                        }
                    }
                }
            }
            for process in &processes {
                for (version, at_ms) in process.times.bounds() {
                    let true_us = requested_us[version as usize - 1] + process.clock_us;
                    let is_sound = at_ms.is_none_or(|at_ms| at_ms * 1000 <= true_us);
                    prop_assert!(is_sound, "version {version} at {at_ms:?} ms, not {true_us} us");
                }
                // Also versions that the process has never seen, because newer ones followed.
                let settled = process.settled_version(now_us);
                let known_us = requested_us.iter().take(settled as usize);
                let is_late = |at_us: &&i64| **at_us + APPLY_MS as i64 * 1000 <= now_us;
                let min_version = known_us.take_while(is_late).count() as u64;
                let now_ms = process.clock_ms(now_us);
                let newest_due = process.times.newest_due(now_ms, APPLY_MS).unwrap_or(0);
                prop_assert!(newest_due >= min_version, "{newest_due} for {min_version}");
            }
        }
    }
}
