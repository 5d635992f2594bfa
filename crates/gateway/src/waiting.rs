//! Requests that wait for room at engines, and what the instances know of each other's demand.
//!
//! A request that finds room and no other one waiting never gets here. The others are woken
//! when a request of this instance ends, a runner reports its load, or a heartbeat arrives, and
//! then only those whose turn it is are placed.

use crate::{
    clock::boot_ms, peer_extensions::PeerExtension, peers::name_hash, state::GatewayState,
};
use berylmount_model::unix_ms;
use berylmount_policy::{
    admission::ArrivalRate,
    admission_level::{
        admitted_share, AdmissionClass, ClassDemand, DemandBoard, RefusedCaller, ReturnSchedule,
        SharedRoom, CLASS_COUNT,
    },
    admission_queue::{AdmissionQueue, QueueRefusal, WaitEnd, WaitingRequest},
};
use berylmount_telemetry::CounterMetric;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use strum::IntoStaticStr;
use tokio::{sync::Notify, task::spawn_local, time::sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum time between two wakes of a queue, in milliseconds; a few steps of an engine's batch.
const WAKE_INTERVAL_MS: u64 = 10;
/// Time after which a request that waits checks whether it is its turn, in milliseconds. Room
/// also comes without a wake, for example from a runner that becomes ready.
const RECHECK_MS: u64 = 25;
/// Time after which the order within a class changes, in milliseconds, so that the same request
/// is not refused for ever.
const POSITION_EPOCH_MS: u64 = 8000;
/// Units of a reported rate per slot and second.
const RATE_UNITS: f64 = 100.0;
/// Maximum number of services in a report, and of services whose reports are held.
const MAX_SERVICES: usize = 64;
/// Throughput below which it says nothing of how long a request will wait, in slots per second.
const MIN_KNOWN_RATE: f64 = 2.0;
/// Time for which the level of a decision is shown, in milliseconds.
const LEVEL_SHOWN_MS: u64 = 1000;

/// What arrives at an instance for one service and ends at its runners, as it is sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ReportedDemand {
    /// Key of the service.
    service: u64,
    /// What arrives, by class, in hundredths of a slot per second.
    offered: Vec<u32>,
    /// What ends, in the same unit.
    ended: u32,
}

/// The demand that an instance reports with each of its heartbeats.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct DemandReport {
    /// Key of the instance.
    instance: u64,
    services: Vec<ReportedDemand>,
}

/// The requests that wait for one service, and its demand.
#[derive(Debug, Default)]
struct ServiceWait {
    queue: AdmissionQueue,
    /// Wakes each request that waits. Sorted by ticket.
    wakers: Vec<(u64, Rc<Notify>)>,
    schedule: ReturnSchedule,
    offered: [ArrivalRate; CLASS_COUNT],
    placed: ArrivalRate,
    ended: ArrivalRate,
    board: DemandBoard,
    woken_ms: u64,
    is_wake_due: bool,
}

impl ServiceWait {
    /// Wakes the requests whose turn it is.
    fn wake(&mut self, now_ms: u64) {
        self.woken_ms = now_ms;
        self.is_wake_due = false;
        for ticket in self.queue.turns(now_ms) {
            if let Ok(index) = self
                .wakers
                .binary_search_by_key(&ticket, |(known, _)| *known)
            {
                self.wakers[index].1.notify_one();
            }
        }
    }

    /// Removes a request. Returns whether it still waited.
    fn leave(&mut self, ticket: u64, end: WaitEnd, now_ms: u64) -> bool {
        if let Ok(index) = self
            .wakers
            .binary_search_by_key(&ticket, |(known, _)| *known)
        {
            self.wakers.remove(index);
        }
        let was_waiting = self.queue.leave(ticket, end, now_ms);
        if was_waiting && !self.queue.is_empty() {
            self.wake(now_ms);
        }
        was_waiting
    }
}

/// The requests of this instance that wait, by service.
#[derive(Debug, Default)]
pub(crate) struct WaitingRoom {
    /// Sorted by the key of the service.
    services: RefCell<Vec<(u64, ServiceWait)>>,
    /// The level of the last decision that limited a class, and when that was.
    level: Cell<(f64, u64)>,
}

impl WaitingRoom {
    fn with<R>(&self, service: u64, act: impl FnOnce(&mut ServiceWait) -> R) -> R {
        let mut services = self.services.borrow_mut();
        let found = services.binary_search_by_key(&service, |(known, _)| *known);
        let index = found.unwrap_or_else(|index| {
            services.insert(index, (service, ServiceWait::default()));
            index
        });
        act(&mut services[index].1)
    }

    /// Counts a request that arrives for a service of engines.
    pub(crate) fn note_offered(&self, service: &str, class: AdmissionClass, cost: f64) {
        let now_ms = boot_ms();
        self.with(name_hash(service), |wait| {
            wait.offered[class.index()].note_amount(cost, now_ms);
        });
    }

    /// Counts a request that ended at an engine, and wakes those that wait for its room.
    pub(crate) fn note_ended(self: &Rc<Self>, service: &str, cost: f64) {
        let service = name_hash(service);
        self.with(service, |wait| wait.ended.note_amount(cost, boot_ms()));
        self.note_change(service);
    }

    /// Wakes the requests whose turn it is, because the load of runners may have changed.
    pub(crate) fn note_change(self: &Rc<Self>, service: u64) {
        let now_ms = boot_ms();
        let delay_ms = self.with(service, |wait| {
            if wait.queue.is_empty() || wait.is_wake_due {
                return 0;
            }
            let delay_ms = (wait.woken_ms + WAKE_INTERVAL_MS).saturating_sub(now_ms);
            match delay_ms {
                0 => wait.wake(now_ms),
                _ => wait.is_wake_due = true,
            }
            delay_ms
        });
        if delay_ms > 0 {
            let room = self.clone();
            spawn_local(async move {
                sleep(Duration::from_millis(delay_ms)).await;
                room.with(service, |wait| wait.wake(boot_ms()));
            });
        }
    }

    /// Wakes the requests of all services, because a heartbeat has arrived.
    pub(crate) fn note_heartbeat(self: &Rc<Self>) {
        let services = self.services.borrow();
        let waiting = services.iter().filter(|(_, wait)| !wait.queue.is_empty());
        let waiting: Vec<u64> = waiting.map(|(service, _)| *service).collect();
        drop(services);
        for service in waiting {
            self.note_change(service);
        }
    }

    /// Returns the share of its requests that a class may place; `None` if no other instance
    /// has reported its demand.
    pub(crate) fn admitted_share(
        &self,
        service: &str,
        class: AdmissionClass,
        room: &SharedRoom,
        peers: usize,
    ) -> Option<f64> {
        let now_ms = boot_ms();
        let demand = self.with(name_hash(service), |wait| wait.board.demand(peers, now_ms))?;
        let share = admitted_share(class, &demand, room);
        if share < 1.0 {
            self.level.set((class.index() as f64 + share, now_ms));
        }
        Some(share)
    }

    /// Returns the level as of the last second: the number of classes that are admitted, with
    /// the share of the one at the level.
    pub(crate) fn level(&self) -> f64 {
        let (level, at_ms) = self.level.get();
        let is_recent = at_ms > 0 && boot_ms().saturating_sub(at_ms) <= LEVEL_SHOWN_MS;
        match is_recent {
            true => level,
            false => CLASS_COUNT as f64,
        }
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting_count(&self) -> usize {
        let services = self.services.borrow();
        services.iter().map(|(_, wait)| wait.queue.len()).sum()
    }

    /// Returns how many requests that wait here for a service precede one that does not wait yet.
    pub(crate) fn ahead_count(&self, service: &str, request: &WaitingRequest) -> usize {
        let ahead = |wait: &mut ServiceWait| wait.queue.ahead_count(request, boot_ms());
        match request.is_bound {
            true => 0,
            false => self.with(name_hash(service), ahead),
        }
    }

    /// Returns after which time a refused caller should return.
    pub(crate) fn return_delay(&self, service: &str, caller: &RefusedCaller) -> Duration {
        let now_ms = boot_ms();
        let delay_ms = self.with(name_hash(service), |wait| {
            let ended_per_s = wait.ended.per_s(now_ms);
            wait.schedule.delay_ms(caller, ended_per_s, now_ms)
        });
        Duration::from_secs_f64(delay_ms / 1000.0)
    }

    /// Returns the message that reports the demand at this instance; `None` if there is none.
    pub(crate) fn report(&self, instance: &str) -> Option<PeerExtension> {
        let now_ms = boot_ms();
        let services = self.services.borrow();
        let reported = services.iter().map(|(service, wait)| ReportedDemand {
            service: *service,
            offered: wait
                .offered
                .iter()
                .map(|rate| units(rate, now_ms))
                .collect(),
            ended: units(&wait.ended, now_ms),
        });
        let in_use = |demand: &ReportedDemand| {
            demand.ended > 0 || demand.offered.iter().any(|offered| *offered > 0)
        };
        let services: Vec<ReportedDemand> = reported.filter(in_use).take(MAX_SERVICES).collect();
        let instance = name_hash(instance);
        (!services.is_empty()).then_some(PeerExtension::Demand(DemandReport { instance, services }))
    }

    /// Applies what another instance reports. Returns the number of entries that are invalid.
    pub(crate) fn note_report(&self, report: &DemandReport) -> usize {
        let now_ms = boot_ms();
        let entries = report.services.iter().take(MAX_SERVICES);
        let is_invalid = |entry: &&ReportedDemand| {
            let is_full = self.services.borrow().len() >= MAX_SERVICES;
            if is_full && !self.is_known(entry.service) {
                return true;
            }
            let note =
                |wait: &mut ServiceWait| wait.board.note(report.instance, entry.demand(), now_ms);
            !self.with(entry.service, note)
        };
        entries.filter(is_invalid).count()
    }

    fn is_known(&self, service: u64) -> bool {
        let services = self.services.borrow();
        let found = services.binary_search_by_key(&service, |(known, _)| *known);
        found.is_ok()
    }
}

impl ReportedDemand {
    fn demand(&self) -> ClassDemand {
        let mut demand = ClassDemand::default();
        for (index, offered) in self.offered.iter().enumerate() {
            // Classes that this build does not know count as its last one.
            demand.offered[index.min(CLASS_COUNT - 1)] += f64::from(*offered) / RATE_UNITS;
        }
        demand.ended = f64::from(self.ended) / RATE_UNITS;
        demand
    }
}

fn units(rate: &ArrivalRate, now_ms: u64) -> u32 {
    (rate.per_s(now_ms) * RATE_UNITS).round() as u32
}

/// Returns the position of a request in its class, from 0 to 1, given its key. It is the same at
/// all instances.
pub(crate) fn class_position(request: u64) -> f64 {
    let epoch = unix_ms() / POSITION_EPOCH_MS;
    let hash = xxh3_64_with_seed(&request.to_le_bytes(), epoch);
    hash as f64 / u64::MAX as f64
}

/// The turn of one request among those that wait for the same service. It leaves the queue when
/// it is dropped.
pub(crate) struct WaitTurn {
    state: Rc<GatewayState>,
    service: u64,
    request: WaitingRequest,
    /// The ticket and the waker, once the request waits.
    joined: Option<(u64, Rc<Notify>)>,
}

impl WaitTurn {
    /// Creates the turn of a request that does not wait yet.
    pub(crate) fn new(state: &Rc<GatewayState>, service: &str, request: WaitingRequest) -> Self {
        Self {
            state: state.clone(),
            service: name_hash(service),
            request,
            joined: None,
        }
    }

    /// Whether a request that does not wait yet precedes all that do.
    pub(crate) fn is_first(&self) -> bool {
        let room = &self.state.waiting;
        let precedes = |wait: &mut ServiceWait| wait.queue.precedes(&self.request, boot_ms());
        self.request.is_bound || room.with(self.service, precedes)
    }

    /// Waits until it may be the turn of the request. Returns why it waits no longer otherwise.
    pub(crate) async fn wait(&mut self) -> Result<(), WaitRefusal> {
        let now_ms = boot_ms();
        if now_ms >= self.request.until_ms {
            return Err(WaitRefusal::WaitOver);
        }
        let waker = match &self.joined {
            Some((_, waker)) => waker.clone(),
            None => self.join(now_ms)?,
        };
        let (service, joined) = (self.service, self.joined.as_ref());
        let ticket = joined.map(|(ticket, _)| *ticket).unwrap_or_default();
        loop {
            let now_ms = boot_ms();
            if now_ms >= self.request.until_ms {
                return Err(WaitRefusal::WaitOver);
            }
            let left_ms = (self.request.until_ms - now_ms).min(RECHECK_MS);
            let is_woken = tokio::select! {
                () = waker.notified() => true,
                () = sleep(Duration::from_millis(left_ms)) => false,
            };
            let (is_waiting, has_turn) = self.state.waiting.with(service, |wait| {
                let has_turn = || wait.queue.turns(boot_ms()).contains(&ticket);
                (wait.queue.is_waiting(ticket), is_woken || has_turn())
            });
            match (is_waiting, has_turn) {
                (false, _) => return Err(WaitRefusal::Full),
                (true, true) => return Ok(()),
                (true, false) => {}
            }
        }
    }

    fn join(&mut self, now_ms: u64) -> Result<Rc<Notify>, WaitRefusal> {
        let request = self.request;
        let joined = self.state.waiting.with(self.service, |wait| {
            let placed_per_s = wait.placed.per_s(now_ms);
            let known = (placed_per_s >= MIN_KNOWN_RATE).then_some(placed_per_s);
            let joined = wait.queue.join(request, known, now_ms)?;
            if let Some(displaced) = joined.displaced {
                let found = wait
                    .wakers
                    .binary_search_by_key(&displaced, |(known, _)| *known);
                if let Ok(index) = found {
                    wait.wakers.remove(index).1.notify_one();
                }
            }
            let waker = Rc::new(Notify::new());
            // Tickets increase.
            wait.wakers.push((joined.ticket, waker.clone()));
            Ok((joined.ticket, waker))
        });
        let (ticket, waker) = joined.map_err(|refusal| match refusal {
            QueueRefusal::TooLate => WaitRefusal::TooLate,
            QueueRefusal::Full => WaitRefusal::Full,
        })?;
        self.joined = Some((ticket, waker.clone()));
        Ok(waker)
    }

    /// Records that the request got room.
    pub(crate) fn end_placed(mut self) {
        let now_ms = boot_ms();
        let joined = self.joined.take();
        self.state.waiting.with(self.service, |wait| {
            wait.placed.note_amount(self.request.cost, now_ms);
            match &joined {
                Some((ticket, _)) => {
                    wait.leave(*ticket, WaitEnd::Placed, now_ms);
                }
                None => wait.queue.charge(&self.request, now_ms),
            }
        });
    }
}

impl Drop for WaitTurn {
    fn drop(&mut self) {
        if let Some((ticket, _)) = self.joined.take() {
            let now_ms = boot_ms();
            self.state.waiting.with(self.service, |wait| {
                wait.leave(ticket, WaitEnd::Left, now_ms);
            });
        }
    }
}

/// Why a request that found no room is refused.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum WaitRefusal {
    /// It is below the level of the fleet.
    Level,
    /// Its turn would come too late.
    TooLate,
    /// The queue is full of requests that precede it.
    Full,
    /// It got no room within the longest wait.
    WaitOver,
}

/// Counts a refused request.
pub(crate) fn note_refused(state: &GatewayState, refusal: WaitRefusal) {
    state
        .metrics
        .add(CounterMetric::WaitRefusalsTotal, refusal.into(), 1);
}
