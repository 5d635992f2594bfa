//! Plain policies to compare with: one choice of runner, nothing else.
//!
//! They send every request at once, fetch whatever a store has, keep every
//! prompt with the least recently used out first, and never refuse or retry.

use crate::world::{
    piece_bytes, Attempt, Event, World, DISK_US, ENTRIES, STORE_CENTRES, TAKEOVER_US,
};
use berylmount_policy::assignment::pair_hash;

/// How a plain policy chooses.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PlainChoice {
    RoundRobin,
    LeastLoad,
    PrefixAffinity,
}

/// A plain policy in every entry.
pub(crate) struct PlainPolicy {
    choice: PlainChoice,
    /// Whether the engine is told the class as a priority.
    classes: bool,
    turns: [usize; ENTRIES],
    /// Waiting tokens and requests that each runner last reported.
    loads: Vec<(u64, u32)>,
    names: Vec<String>,
    dead_until_us: u64,
    down: bool,
}

impl PlainPolicy {
    pub(crate) fn new(choice: PlainChoice, classes: bool, world: &World) -> Self {
        let count = world.runners.len();
        Self {
            choice,
            classes,
            turns: std::array::from_fn(|entry| entry * count / ENTRIES),
            loads: vec![(0, 0); count],
            names: (0..count).map(|n| format!("runner-{n}")).collect(),
            dead_until_us: 0,
            down: false,
        }
    }

    pub(crate) fn step(&mut self, world: &mut World, event: Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(world, arrival),
            Event::ReportSeen {
                runner,
                tokens,
                running,
                ..
            } => {
                self.loads[runner] = (tokens, running);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, world: &mut World, arrival: usize) {
        let request = world.arrival(arrival).clone();
        world.outcomes[arrival].asked_us = request.at_us;
        if !request.idempotent && world.orders_blocked() {
            // The order waits for the platform and is late.
            let wait = world.scenario.outage_us.1 - world.now;
            return world.after(wait, Event::Arrive(arrival));
        }
        let (entry, centre) = world.entry_of(arrival);
        if self.down && entry == 0 && world.now < self.dead_until_us {
            let wait = self.dead_until_us - world.now;
            return world.after(wait, Event::Arrive(arrival));
        }
        let count = world.runners.len();
        let runner = match self.choice {
            PlainChoice::RoundRobin => self.next_turn(entry, count),
            PlainChoice::LeastLoad => {
                let start = self.next_turn(entry, count);
                let order = (0..count).map(|n| (start + n) % count);
                order.min_by_key(|&n| self.loads[n]).unwrap_or(0)
            }
            PlainChoice::PrefixAffinity => match request.pieces.first() {
                Some(key) => {
                    let score = |&n: &usize| pair_hash(key.as_bytes(), &self.names[n]);
                    (0..count).max_by_key(score).unwrap_or(0)
                }
                None => self.next_turn(entry, count),
            },
        };
        let to = world.runners[runner].data_centre;
        let hop = world.hop_us(centre, to);
        let held = world.runners[runner].cache.prefix(&request.pieces);
        let all = request.pieces.len();
        let store = (request.prompt % STORE_CENTRES.len() as u64) as usize;
        let fetch = held < all && world.stores[store].holds(request.prompt);
        world.outcomes[arrival].firsts += 1;
        let attempt = world.add_attempt(Attempt {
            arrival,
            group: to,
            runner,
            rank: if self.classes { request.class as u8 } else { 0 },
            sent_us: world.now,
            expected_ms: 0.0,
            fetched: if fetch { all } else { 0 },
            first: false,
            ended: false,
            hedged: false,
            held_until_us: 0,
        });
        let mut delay = hop;
        if fetch {
            let now = world.now + hop;
            delay = world.link(to, store).carry(piece_bytes(all - held), now) - world.now;
            delay += DISK_US;
        }
        world.after(delay, Event::Submit(attempt));
    }

    fn next_turn(&mut self, entry: usize, count: usize) -> usize {
        self.turns[entry] = (self.turns[entry] + 1) % count;
        self.turns[entry]
    }

    pub(crate) fn done(&mut self, world: &mut World, attempt: usize) {
        let state = world.attempts[attempt].clone();
        let request = world.arrival(state.arrival).clone();
        if state.ended || request.prompt == 0 {
            return;
        }
        let store = (request.prompt % STORE_CENTRES.len() as u64) as usize;
        let (bytes, room) = (
            piece_bytes(request.pieces.len()),
            world.scenario.store_bytes,
        );
        let now = world.now;
        if world.stores[store].keep_recent(request.prompt, bytes, room, now) {
            world.link(state.group, store).carry(bytes, now);
        }
    }

    /// Entry 0 dies: what it had in flight is lost, and its callers wait.
    pub(crate) fn kill(&mut self, world: &mut World) {
        self.down = true;
        self.dead_until_us = world.now + TAKEOVER_US;
        for attempt in 0..world.attempts.len() {
            let state = &world.attempts[attempt];
            if !state.first && world.entry_of(state.arrival).0 == 0 {
                let arrival = state.arrival;
                world.cancel(attempt);
                world.refuse(arrival, 0);
            }
        }
    }
}
