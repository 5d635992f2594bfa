//! Simulates a store that restarts empty while some instances are cut off, stand still or are
//! restarted, and checks that no fetch reads a part that is being written.

#![allow(clippy::unwrap_used)]

use berylmount_policy::{
    prefix_cache::{
        plan_transfers, KeptPart, KeyedPart, PartEvent, PartKey, PromptCosts, StoreCatalogue,
        StoreView,
    },
    save_orders::{
        FleetSaves, OrderId, ReportWriter, SaveOrders, SaveReport, SavedPart, StoreProgress,
        MAX_START_MS, UNTOLD_ORDER_MS,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

const INSTANCES: usize = 6;
/// Number of shared parts; prompts use one each.
const PARTS: u64 = 40;
const PART_TOKENS: u32 = 1000;
const STEP_MS: u64 = 5;
const SIMULATED_MS: u64 = 240_000;
/// What the store's clock is ahead of the instances' clocks, in milliseconds.
const CLOCK_OFFSET_MS: u64 = 1_000_000;
/// Time between two restarts of the store, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 5000..9000;
/// Time for which the store is down, in milliseconds.
const DOWN_MS: u64 = 50;
/// Time before a restart at which instances are cut or stopped, in milliseconds.
const LEAD_MS: std::ops::Range<u64> = 20..400;
/// Longest time of a cut or a standstill, in milliseconds.
const MAX_ABSENCE_MS: u64 = 4500;
/// Longest wait of a call for changes, in milliseconds.
const LONG_POLL_MS: u64 = 1000;
const POLL_INTERVAL_MS: u64 = 120;
/// Delay of the store's events, in milliseconds.
const EVENT_LAG_MS: u64 = 60;
/// Time that the store needs to write a part, in milliseconds.
const WRITE_MS: u64 = 200;
/// Longest wait of most requests at their runners, in milliseconds.
const MAX_QUEUE_MS: u64 = 2500;
/// Time that callers give their requests, in milliseconds.
const REQUEST_LIFE_MS: u64 = 5000;
/// Silence of all others after which an instance orders no saves, in milliseconds.
const ISOLATION_MS: u64 = 1200;
/// Silence after which an instance has no orders left, in milliseconds.
const SILENCE_MS: u64 = ISOLATION_MS + UNTOLD_ORDER_MS;
/// Time between two reports of an instance, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;
/// Longest latency of a report, in milliseconds.
const MAX_REPORT_LATENCY_MS: u64 = 150;
/// Age of a plan above which its request is sent without an order, in milliseconds.
const MAX_PLAN_AGE_MS: u64 = 1000;
/// Key of the store in reports.
const STORE_KEY: u64 = 1;
/// Longest time limit that a request sets its fetches, in milliseconds.
const MAX_LIMIT_MS: u64 = 5000;
const FETCH_MS: u64 = 10;
const PREFILL_MS: u64 = 50;

/// What keeps an instance from the store or the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Absence {
    /// Its path to the store is cut; the runners' paths are not.
    StoreCut,
    /// Its paths to the store and to the other instances are cut.
    Isolated,
    /// Its process stands still. It goes on with what it was doing, and reads what has arrived.
    Stopped,
}

/// A response of the store, as made.
#[derive(Clone, Debug)]
struct StoreResponse {
    epoch: u64,
    made_ms: u64,
    next: u64,
    events: Vec<KeptPart>,
}

#[derive(Debug, Default)]
struct Instance {
    key: u64,
    process: u64,
    started_ms: u64,
    catalogue: StoreCatalogue,
    needs_listing: bool,
    orders: SaveOrders,
    writer: ReportWriter,
    fleet: FleetSaves,
    heard_ms: u64,
    absence: Option<(Absence, u64)>,
    next_poll_ms: u64,
    next_report_ms: u64,
    /// A response that has arrived and isn't read yet.
    unread: Option<StoreResponse>,
    /// A request that was planned and isn't sent yet.
    unsent: Option<Request>,
    /// Reports of others, by when they arrive; `None` stands for a heartbeat without one.
    inbox: Vec<(u64, u64, Option<SaveReport>)>,
    /// First events of requests, by when they arrive: the process that sent the request, and its
    /// order.
    first_events: Vec<(u64, u64, OrderId)>,
}

/// A request at a runner, for one shared part.
#[derive(Clone, Debug)]
struct Request {
    part: u64,
    starts_ms: u64,
    /// When the runner stops its work.
    deadline_ms: u64,
    /// Whether the part is fetched, and until when.
    fetch: Option<Option<u64>>,
    /// The order to save the part, with the index of its instance and the process.
    save: Option<(usize, u64, OrderId)>,
    /// Epoch of the store when it was planned.
    epoch: u64,
    /// Whether the caller stays until the first event.
    is_awaited: bool,
}

/// A part in the store: when its writing began, and when it ended.
#[derive(Debug, Default)]
struct Store {
    epoch: u64,
    parts: BTreeMap<u64, (u64, u64)>,
    /// The parts that it has reported, in order.
    reported: Vec<u64>,
    down_until_ms: u64,
}

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    fetched: u32,
    discarded: u32,
    saved: u32,
    /// Saves that were written in a later epoch than the one they were ordered in.
    late_saves: u32,
    /// Fetches that read a part which was being written.
    unwhole: u32,
}

fn keyed(part: u64, tokens: u32) -> KeyedPart {
    let key = PartKey(part);
    KeyedPart { key, tokens }
}

impl Store {
    /// Reports the parts that have become whole.
    fn report(&mut self, now_ms: u64) {
        let whole = self.parts.iter();
        let whole = whole.filter(|(_, (_, end_ms))| end_ms + EVENT_LAG_MS <= now_ms);
        let mut news: Vec<u64> = whole.map(|(part, _)| *part).collect();
        news.retain(|part| !self.reported.contains(part));
        self.reported.extend(news);
    }

    fn respond(&self, since: u64, now_ms: u64) -> StoreResponse {
        let numbered = self.reported.iter().zip(1..);
        let numbered = numbered.filter(|(_, number)| *number > since);
        let events = numbered.map(|(part, number)| KeptPart {
            key: PartKey(*part),
            number,
            tokens: PART_TOKENS,
            scope: "1.m.shared".into(),
            id: part.to_string(),
        });
        StoreResponse {
            epoch: self.epoch,
            made_ms: now_ms,
            next: self.reported.len() as u64,
            events: events.collect(),
        }
    }
}

impl Instance {
    fn is_away(&self, absences: &[Absence]) -> bool {
        let absence = self.absence.map(|(absence, _)| absence);
        absence.is_some_and(|absence| absences.contains(&absence))
    }

    /// Starts another process, which knows nothing.
    fn restart(&mut self, now_ms: u64) {
        let (key, process) = (self.key, self.process + 1);
        let next_report_ms = now_ms + REPORT_INTERVAL_MS;
        *self = Self {
            key,
            process,
            started_ms: now_ms,
            next_poll_ms: now_ms,
            next_report_ms,
            ..Self::default()
        };
    }

    fn read(&mut self, response: StoreResponse, now_ms: u64) {
        let StoreResponse {
            epoch,
            made_ms,
            next,
            events,
        } = response;
        let events = events.into_iter().map(PartEvent::Added).collect();
        self.needs_listing = self.catalogue.apply(epoch, next, false, events, now_ms);
        let clock_ms = Some(made_ms + CLOCK_OFFSET_MS);
        self.catalogue
            .note_response_time(now_ms - made_ms, clock_ms);
    }

    /// Reads what the others have sent, and settles parts. Returns the report to the others.
    fn report(&mut self, now_ms: u64) -> Option<SaveReport> {
        let progress = self.catalogue.progress();
        let responded_ms = self.catalogue.responded_ms();
        let stores = progress.map(|(epoch, known, settled)| StoreProgress {
            store: STORE_KEY,
            epoch,
            known,
            settled,
            has_forgotten: self.process > 0
                && self.catalogue.responded_ms() < self.started_ms + UNTOLD_ORDER_MS,
        });
        let own = SaveReport {
            instance: self.key,
            process: self.process,
            number: 0,
            stores: stores.into_iter().collect(),
            pending: Some(self.orders.pending(|_| responded_ms)),
            longest_ms: self.orders.longest_ms(now_ms),
            unsettled: Vec::new(),
        };
        let settled = self.fleet.settled(&own, SILENCE_MS, now_ms);
        if let Some(epoch) = self.catalogue.epoch() {
            let is_settled = |part: &_| settled.covers(STORE_KEY, epoch, responded_ms, part);
            self.catalogue.settle(is_settled);
        }
        self.writer.next(&own)
    }

    fn plan(&mut self, index: usize, part: u64, limit_ms: u64, now_ms: u64) -> Request {
        let view = StoreView {
            name: "keep",
            data_centre: "north",
            memory_tokens: 1_000_000,
            link_bits_per_ms: 1e8,
            latency_ms: 0.5,
            catalogue: &self.catalogue,
        };
        let costs = PromptCosts {
            token_bytes: 18_432,
            prefill_per_ms: 100.0,
            link_bits_per_ms: 0.0,
        };
        let parts = [keyed(part, PART_TOKENS), keyed(1 << 40, 50)];
        let plan = plan_transfers(&parts, &[view], "north", costs, now_ms);
        let limit_end_ms = now_ms + CLOCK_OFFSET_MS + limit_ms;
        let until_ms = plan.fetch_until_ms.into_iter().chain([limit_end_ms]).min();
        let may_order = now_ms < self.heard_ms + ISOLATION_MS;
        let is_ordered = self.fleet.has_order(PartKey(part), ISOLATION_MS, now_ms);
        let save = plan.save[0].filter(|_| may_order && !is_ordered).map(|_| {
            self.catalogue
                .note_saving(PartKey(part), PART_TOKENS, now_ms);
            let saved = SavedPart {
                key: PartKey(part),
                store: STORE_KEY,
            };
            (
                index,
                self.process,
                self.orders.begin(vec![saved], now_ms + REQUEST_LIFE_MS),
            )
        });
        Request {
            part,
            starts_ms: now_ms,
            deadline_ms: now_ms + REQUEST_LIFE_MS,
            fetch: plan.fetch[0].map(|_| until_ms),
            save,
            epoch: 0,
            is_awaited: true,
        }
    }

    /// Sends a request to a runner, where it waits for `queue_ms`.
    fn send(
        &mut self,
        mut request: Request,
        queue_ms: u64,
        is_awaited: bool,
        now_ms: u64,
    ) -> Request {
        request.starts_ms = now_ms + queue_ms;
        request.is_awaited = is_awaited;
        if now_ms + REQUEST_LIFE_MS > request.deadline_ms + MAX_PLAN_AGE_MS {
            if let Some((_, _, order)) = request.save.take() {
                self.orders.withdraw(order);
            }
        }
        if let Some((_, _, order)) = request.save.filter(|_| !is_awaited) {
            self.orders.abandon(order);
        }
        request
    }
}

/// How an instance of a simulation starts.
fn start_instances() -> Vec<Instance> {
    let keys = 1..=INSTANCES as u64;
    let listed: Vec<u64> = keys.clone().collect();
    let instances = keys.map(|key| {
        let mut instance = Instance {
            key,
            ..Instance::default()
        };
        let others: Vec<u64> = listed
            .iter()
            .copied()
            .filter(|other| *other != key)
            .collect();
        instance.fleet.note_listed(&others, SILENCE_MS, 0);
        instance
    });
    instances.collect()
}

/// Runs the store and its instances.
fn simulate(seed: u64) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut store = Store {
        epoch: 1,
        ..Store::default()
    };
    let mut instances = start_instances();
    let listed: Vec<u64> = instances.iter().map(|instance| instance.key).collect();
    let mut running: Vec<Request> = Vec::new();
    // Saves by when they reach the store, each with the epoch in which it was ordered.
    let mut saves: Vec<(u64, u64, u64)> = Vec::new();
    let mut restart_ms = rng.random_range(RESTART_MS);
    let mut lead_ms = rng.random_range(LEAD_MS);
    for now_ms in (1..SIMULATED_MS).step_by(STEP_MS as usize) {
        if now_ms + lead_ms >= restart_ms && now_ms + lead_ms < restart_ms + STEP_MS {
            for instance in &mut instances {
                let until_ms = now_ms + rng.random_range(0..MAX_ABSENCE_MS);
                instance.absence = match rng.random_range(0..8) {
                    0 | 1 => Some((Absence::StoreCut, until_ms)),
                    2 => Some((Absence::Isolated, until_ms)),
                    3 | 4 => Some((Absence::Stopped, until_ms)),
                    _ => None,
                };
                if rng.random_bool(0.05) {
                    instance.restart(now_ms);
                    let others = listed.iter().copied().filter(|key| *key != instance.key);
                    let others: Vec<u64> = others.collect();
                    instance.fleet.note_listed(&others, SILENCE_MS, now_ms);
                }
            }
        }
        if now_ms >= restart_ms {
            store.epoch += 1;
            store.parts.clear();
            store.reported.clear();
            store.down_until_ms = now_ms + DOWN_MS;
            restart_ms = now_ms + rng.random_range(RESTART_MS);
            lead_ms = rng.random_range(LEAD_MS);
        }
        store.report(now_ms);
        let is_up = now_ms >= store.down_until_ms;
        let mut sent: Vec<(u64, Option<SaveReport>)> = Vec::new();
        for (index, instance) in instances.iter_mut().enumerate() {
            instance.absence = instance.absence.filter(|(_, until_ms)| now_ms < *until_ms);
            // A call that was open when the process stopped is answered meanwhile.
            let is_cut = instance.is_away(&[Absence::StoreCut, Absence::Isolated]);
            if is_up && !is_cut && instance.unread.is_none() && now_ms >= instance.next_poll_ms {
                instance.unread = Some(store.respond(instance.catalogue.next(), now_ms));
                // Mostly there are changes soon.
                let wait_ms = match rng.random_bool(0.8) {
                    true => POLL_INTERVAL_MS,
                    false => rng.random_range(POLL_INTERVAL_MS..POLL_INTERVAL_MS + LONG_POLL_MS),
                };
                instance.next_poll_ms = now_ms + wait_ms;
            }
            if instance.is_away(&[Absence::Stopped]) {
                continue;
            }
            let is_here = |(at_ms, ..): &mut (u64, u64, Option<SaveReport>)| *at_ms <= now_ms;
            for (_, sender, report) in instance.inbox.extract_if(.., is_here) {
                instance.heard_ms = now_ms;
                instance.fleet.note_heard(sender, now_ms);
                if let Some(report) = report {
                    instance.fleet.note_report(report, now_ms);
                }
            }
            let has_come = |(at_ms, ..): &mut (u64, u64, OrderId)| *at_ms <= now_ms;
            for (_, process, order) in instance.first_events.extract_if(.., has_come) {
                if process == instance.process {
                    instance.orders.end(order, now_ms);
                }
            }
            let queue_ms = match rng.random_bool(0.9) {
                true => rng.random_range(0..MAX_QUEUE_MS),
                false => rng.random_range(0..MAX_START_MS),
            };
            let is_awaited = rng.random_bool(0.95);
            if let Some(request) = instance.unsent.take() {
                running.push(instance.send(request, queue_ms, is_awaited, now_ms));
            }
            // What arrives first is taken first: a request may be planned before the response
            // is read.
            let reads_first = rng.random_bool(0.5);
            if reads_first {
                if let Some(response) = instance.unread.take() {
                    instance.read(response, now_ms);
                }
            }
            if rng.random_bool(0.2) {
                let (part, limit_ms) = (
                    rng.random_range(0..PARTS),
                    rng.random_range(60..MAX_LIMIT_MS),
                );
                let mut request = instance.plan(index, part, limit_ms, now_ms);
                request.epoch = store.epoch;
                match rng.random_bool(0.2) {
                    true => instance.unsent = Some(request),
                    false => running.push(instance.send(request, queue_ms, is_awaited, now_ms)),
                }
            }
            if let Some(response) = instance.unread.take() {
                instance.read(response, now_ms);
            }
            if instance.needs_listing && is_up && !is_cut {
                let listed = store.respond(0, now_ms);
                let parts = listed.events.into_iter();
                let number = listed.next;
                let parts = parts.map(|part| KeptPart { number, ..part }).collect();
                instance
                    .catalogue
                    .replace(listed.epoch, number, parts, now_ms);
                instance.needs_listing = false;
            }
            if now_ms >= instance.next_report_ms {
                instance.next_report_ms = now_ms + REPORT_INTERVAL_MS;
                let report = instance.report(now_ms);
                if !instance.is_away(&[Absence::Isolated]) {
                    sent.push((instance.key, report));
                }
            }
        }
        for (sender, report) in sent {
            for instance in &mut instances {
                let is_reached = instance.key != sender && !instance.is_away(&[Absence::Isolated]);
                if is_reached && rng.random_bool(0.9) {
                    let at_ms = now_ms + rng.random_range(1..MAX_REPORT_LATENCY_MS);
                    instance.inbox.push((at_ms, sender, report.clone()));
                }
            }
        }
        let due = |request: &mut Request| request.starts_ms <= now_ms;
        for request in running.extract_if(.., due) {
            if now_ms + PREFILL_MS > request.deadline_ms {
                continue;
            }
            if let Some(until_ms) = request.fetch {
                let ends_ms = now_ms + CLOCK_OFFSET_MS + FETCH_MS;
                if until_ms.is_some_and(|until_ms| ends_ms > until_ms) {
                    outcome.discarded += 1;
                } else if is_up {
                    outcome.fetched += 1;
                    let written = store.parts.get(&request.part);
                    if written.is_some_and(|(_, end_ms)| now_ms < *end_ms) {
                        outcome.unwhole += 1;
                    }
                }
            }
            if let Some((index, process, order)) = request.save {
                let read_ms = now_ms + PREFILL_MS;
                saves.push((read_ms, request.part, request.epoch));
                if request.is_awaited {
                    let first_events = &mut instances[index].first_events;
                    first_events.push((read_ms + STEP_MS, process, order));
                }
            }
        }
        for (_, part, epoch) in saves.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms) {
            if is_up && !store.parts.contains_key(&part) {
                outcome.saved += 1;
                outcome.late_saves += u32::from(epoch != store.epoch);
                store.parts.insert(part, (now_ms, now_ms + WRITE_MS));
            }
        }
    }
    outcome
}

/// Guards against two failures: instances that were cut from a store fetched the parts of its
/// earlier epoch while others had them saved again, and a save that had waited at its runner since
/// the earlier epoch wrote a part that was being fetched.
#[test]
fn no_fetch_reads_a_part_that_is_saved_again_after_a_restart() {
    let mut totals = Outcome::default();
    for seed in 1..=16 {
        let outcome = simulate(seed);
        totals.fetched += outcome.fetched;
        totals.discarded += outcome.discarded;
        totals.saved += outcome.saved;
        totals.late_saves += outcome.late_saves;
        totals.unwhole += outcome.unwhole;
    }
    // The store is used all the while, and saves of ended epochs reach it.
    assert!(
        totals.fetched > 100_000 && totals.saved > 5000 && totals.late_saves > 1000,
        "{totals:?}"
    );
    assert_eq!(totals.unwhole, 0, "{totals:?}");
}

/// What an instance holds about an ended epoch is not trusted again.
#[test]
fn an_ended_epoch_stays_known_when_the_contents_are_cleared() {
    let mut catalogue = StoreCatalogue::default();
    for epoch in 1..=3 {
        catalogue.apply(epoch, 0, false, Vec::new(), 1000 * epoch);
    }
    let cleared = catalogue.cleared();
    assert!(cleared.has_ended(1) && cleared.has_ended(2) && !cleared.has_ended(3));
}
