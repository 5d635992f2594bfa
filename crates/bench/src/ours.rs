//! The policy crate between the entries and the targets.

use crate::{
    scenarios::Arrival,
    targets::{PREFILL_TOKENS_PER_S, RUNNER_PIECES},
    world::{
        piece_bytes, report, Attempt, Event, World, DATA_CENTRES, DISK_US, ENTRIES, STORE_CENTRES,
        TAKEOVER_US,
    },
};
use berylmount_model::{CustomerName, CustomerRow, RequestVerdict, WorkName, PIECE_TOKENS};
use berylmount_policy::{
    keeping::{KeptPlace, StoreShare},
    retries::FailedAttempt,
    FetchPlan, GroupBoard, GroupId, GroupQuery, KeepBook, LimitBook, LimitShare, LinkBook, LinkId,
    QueueRefusal, RetryBudget, RetryDecision, ReturnPacer, RunnerBoard, RunnerChoice, RunnerId,
    RunnerQuery, RunnerSettings, WorkItem, WorkQueue, WorkTicket,
};
use std::{collections::BTreeMap, ops::Range};

/// Time between two looks at a group for expired and late work.
const TICK_US: u64 = 20_000;
/// Time between two reports of a group to the entries.
const GROUP_REPORT_US: u64 = 1_000_000;

/// One entry process.
struct EntryState {
    groups: GroupBoard,
    limits: LimitBook,
    budget: RetryBudget,
    pacer: ReturnPacer,
}

/// One dispatch process with one group.
struct GroupState {
    queue: WorkQueue,
    board: RunnerBoard,
    links: LinkBook,
    keep: KeepBook,
    budget: RetryBudget,
    /// Attempts without a first token, for hedges.
    open: Vec<usize>,
    down_until_us: u64,
}

/// The policy in every entry and dispatch process.
pub(crate) struct OurPolicy {
    entries: Vec<EntryState>,
    groups: Vec<GroupState>,
    rows: Vec<CustomerRow>,
    work: WorkName,
    /// Runner numbers by group.
    runners: Vec<Vec<usize>>,
    /// Exports in flight: group, link, prompt, where to.
    exports: BTreeMap<u64, (usize, LinkId, u64, KeptPlace)>,
    tickets: u64,
    tried: BTreeMap<usize, Vec<GroupId>>,
    out: Vec<WorkItem>,
    dead_entry: bool,
}

fn customer_row(place: usize) -> CustomerRow {
    CustomerRow {
        name: CustomerName::try_from(format!("customer-{place}"))
            .unwrap_or_else(|_| unreachable!()),
        key_hash: String::new(),
        weight: 1 + (10 - place as u32) / 3,
        rate_per_s: 60.0,
        burst: 120,
        in_flight: 2_000,
        version: None,
        cache_scope: String::new(),
    }
}

impl GroupState {
    fn new(world: &World, group: usize, runners: usize) -> Self {
        let settings = RunnerSettings {
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            cache_pieces: RUNNER_PIECES,
            ..RunnerSettings::default()
        };
        let mut board = RunnerBoard::new(settings);
        for _ in 0..runners {
            board.join();
        }
        let mut links = LinkBook::default();
        for &centre in &STORE_CENTRES {
            let far = world.scenario.far_bytes_per_s as u64;
            links.add_link(if centre == group { 1_000_000_000 } else { far });
        }
        let share = |store: usize| {
            let part = world.scenario.store_bytes * store_thirds(group, store) / 3;
            StoreShare {
                name: format!("store-{store}"),
                memory_bytes: part / 3,
                disk_bytes: part - part / 3,
            }
        };
        Self {
            queue: WorkQueue::default(),
            board,
            links,
            keep: KeepBook::new((0..STORE_CENTRES.len()).map(share).collect(), 65_536),
            budget: RetryBudget::default(),
            open: Vec::new(),
            down_until_us: 0,
        }
    }
}

impl OurPolicy {
    pub(crate) fn new(world: &World) -> Self {
        let runners: Vec<Vec<usize>> = (0..DATA_CENTRES)
            .map(|c| {
                (0..world.runners.len())
                    .filter(|&r| world.runners[r].data_centre == c)
                    .collect()
            })
            .collect();
        let groups = (0..DATA_CENTRES).map(|g| GroupState::new(world, g, runners[g].len()));
        let entry = |entry: usize| {
            let mut board = GroupBoard::default();
            for (group, runners) in runners.iter().enumerate() {
                let near = entry % DATA_CENTRES == group;
                board.add_group(
                    &format!("group-{group}"),
                    if near { 1.0 } else { 8.0 },
                    runners.len() as u32,
                );
            }
            EntryState {
                groups: board,
                limits: LimitBook::new(0),
                budget: RetryBudget::default(),
                pacer: ReturnPacer::default(),
            }
        };
        Self {
            groups: groups.collect(),
            entries: (0..ENTRIES).map(entry).collect(),
            rows: (0..10).map(customer_row).collect(),
            work: WorkName::try_from("work".to_owned()).unwrap_or_else(|_| unreachable!()),
            runners,
            exports: BTreeMap::new(),
            tickets: 0,
            tried: BTreeMap::new(),
            out: Vec::new(),
            dead_entry: false,
        }
    }

    /// The entry that serves an arrival; the next one if its own is dead.
    fn entry(&self, world: &World, arrival: usize) -> usize {
        let entry = world.entry_of(arrival).0;
        if self.dead_entry && entry == 0 {
            1
        } else {
            entry
        }
    }

    pub(crate) fn step(&mut self, world: &mut World, event: Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(world, arrival),
            Event::AtGroup { arrival, group } => self.at_group(world, arrival, group),
            Event::Refused {
                arrival,
                group,
                may_have_run,
                retry_ms,
            } => {
                self.refused(world, arrival, group, may_have_run, retry_ms);
            }
            Event::Fetched(attempt) => self.fetched(world, attempt),
            Event::Exported { ticket } => self.exported(world, ticket),
            Event::ReportSeen {
                runner,
                at_us,
                tokens,
                running,
            } => {
                let group = world.runners[runner].data_centre;
                let id = self.runner_id(group, runner);
                self.groups[group]
                    .board
                    .report(id, &report(at_us, tokens, running));
                self.pump(world, group);
            }
            Event::GroupTick(group) => {
                self.hedge(world, group);
                self.pump(world, group);
                world.after(TICK_US, Event::GroupTick(group));
            }
            Event::GroupReport { group } => {
                self.group_report(world, group, 0..ENTRIES);
                world.after(GROUP_REPORT_US, Event::GroupReport { group });
            }
            _ => {}
        }
    }

    fn runner_id(&self, group: usize, runner: usize) -> RunnerId {
        let place = self.runners[group].iter().position(|&r| r == runner);
        RunnerId(place.unwrap_or(0) as u32)
    }

    fn arrive(&mut self, world: &mut World, arrival: usize) {
        let now_ms = world.now_ms();
        let request = world.arrival(arrival).clone();
        let place = self.entry(world, arrival);
        let entry = &mut self.entries[place];
        if !request.idempotent && world.orders_blocked() {
            let back = entry.pacer.next_return(5_000, 20.0, now_ms, &mut world.rng);
            return world.refuse(arrival, back);
        }
        let row = &self.rows[request.customer];
        if let Err(refusal) = entry
            .limits
            .admit(row, &self.work, None, LimitShare::WHOLE, now_ms)
        {
            return world.refuse(arrival, refusal.retry_after_ms());
        }
        entry.budget.earn();
        self.route(world, arrival);
    }

    /// Sends a request to the best group that did not refuse it before.
    fn route(&mut self, world: &mut World, arrival: usize) {
        let now_ms = world.now_ms();
        let place = self.entry(world, arrival);
        let request = world.arrival(arrival).clone();
        let prefill = prefill_ms(request.prompt_tokens);
        let query = GroupQuery {
            first_piece: request.pieces.first(),
            home_saves_ms: 0.5 * prefill_ms((request.pieces.len() * PIECE_TOKENS) as u32),
            class: request.class,
            avoid: self.tried.get(&arrival).map_or(&[], Vec::as_slice),
        };
        let groups = &mut self.entries[place].groups;
        let Some(choice) = groups.choose(&query, now_ms, &mut world.rng) else {
            return self.give_up(world, arrival, 1_000);
        };
        groups.note_sent(choice.group, request.class, prefill, now_ms);
        let group = choice.group.0 as usize;
        let hop = world.hop_us(place % DATA_CENTRES, group);
        world.after(hop, Event::AtGroup { arrival, group });
    }

    fn give_up(&mut self, world: &mut World, arrival: usize, wait_ms: u64) {
        let now_ms = world.now_ms();
        let place = self.entry(world, arrival);
        let entry = &mut self.entries[place];
        entry
            .limits
            .finish(&self.rows[world.scenario.arrivals[arrival].customer].name);
        let back = entry
            .pacer
            .next_return(wait_ms, 20.0, now_ms, &mut world.rng);
        world.refuse(arrival, back);
    }

    fn at_group(&mut self, world: &mut World, arrival: usize, group: usize) {
        let now_ms = world.now_ms();
        world.outcomes[arrival].tries += 1;
        let back = world.hop_us(group, world.entry_of(arrival).1);
        if world.now < self.groups[group].down_until_us {
            let event = Event::Refused {
                arrival,
                group,
                may_have_run: false,
                retry_ms: 1_000,
            };
            return world.after(back, event);
        }
        let item = self.item(world, arrival, group);
        let state = &mut self.groups[group];
        let capacity = state.board.capacity(now_ms);
        match state.queue.offer(item, &capacity, now_ms) {
            Ok(()) => {
                state.budget.earn();
                self.pump(world, group);
            }
            Err(QueueRefusal { retry_after_ms, .. }) => {
                let retry_ms = retry_after_ms;
                let event = Event::Refused {
                    arrival,
                    group,
                    may_have_run: false,
                    retry_ms,
                };
                world.after(back, event);
            }
        }
    }

    fn item(&mut self, world: &mut World, arrival: usize, group: usize) -> WorkItem {
        let request = world.arrival(arrival).clone();
        let state = &mut self.groups[group];
        let mut held = Vec::new();
        state
            .board
            .prefixes_mut()
            .held_pieces(&request.pieces, &mut held);
        let mut pieces = held.iter().map(|&(_, pieces)| pieces).max().unwrap_or(0);
        if pieces < request.pieces.len() {
            let capacity = state.board.capacity(world.now_ms());
            let wait = capacity.soonest_ms[request.class as usize];
            let fetch = fetch_plan(world, &state.links, &request, pieces, wait);
            pieces = fetch.map_or(pieces, |_| request.pieces.len());
        }
        let tokens = request.prompt_tokens - (pieces * PIECE_TOKENS) as u32;
        WorkItem {
            ticket: WorkTicket(arrival as u64),
            customer: request.customer as u64,
            weight: self.rows[request.customer].weight,
            class: request.class,
            prefill_ms: prefill_ms(tokens),
            due_ms: request.at_us / 1000 + request.limit_ms,
        }
    }

    fn refused(
        &mut self,
        world: &mut World,
        arrival: usize,
        group: usize,
        may_have_run: bool,
        retry_ms: u64,
    ) {
        let now_ms = world.now_ms();
        let place = self.entry(world, arrival);
        let request = world.arrival(arrival).clone();
        let tried = self.tried.entry(arrival).or_default();
        tried.push(GroupId(group as u32));
        let due_ms = request.at_us / 1000 + request.limit_ms;
        let failed = FailedAttempt {
            verdict: if may_have_run {
                RequestVerdict::MayHaveRun
            } else {
                RequestVerdict::NotRun
            },
            idempotent: request.idempotent,
            attempts: tried.len() as u32,
            left_ms: due_ms.saturating_sub(now_ms),
            expected_ms: prefill_ms(request.prompt_tokens) as u64,
        };
        let entry = &mut self.entries[place];
        entry.groups.note_failure(GroupId(group as u32), now_ms);
        match entry.budget.decide(&failed, &mut world.rng) {
            RetryDecision::RetryAfter(_) => self.route(world, arrival),
            RetryDecision::GiveUp => self.give_up(world, arrival, retry_ms),
        }
    }

    /// Sends waiting work while there is room, and refuses what expired.
    fn pump(&mut self, world: &mut World, group: usize) {
        let now_ms = world.now_ms();
        if world.now < self.groups[group].down_until_us {
            return;
        }
        let mut out = std::mem::take(&mut self.out);
        out.clear();
        self.groups[group].queue.expire(now_ms, &mut out);
        for item in &out {
            self.give_up(world, item.ticket.0 as usize, 1_000);
        }
        self.out = out;
        loop {
            let state = &mut self.groups[group];
            let room = state.board.room(now_ms);
            let Some(item) = state.queue.take(room) else {
                return;
            };
            let arrival = item.ticket.0 as usize;
            if !self.start(world, arrival, group, &[]) {
                self.groups[group].queue.restore(item);
                return;
            }
        }
    }

    /// Starts an attempt on the best runner; returns whether there was one.
    fn start(
        &mut self,
        world: &mut World,
        arrival: usize,
        group: usize,
        avoid: &[RunnerId],
    ) -> bool {
        let now_ms = world.now_ms();
        let request = world.arrival(arrival).clone();
        let query = RunnerQuery {
            pieces: &request.pieces,
            prompt_tokens: request.prompt_tokens,
            class: request.class,
            may_probe: request.idempotent && avoid.is_empty(),
            avoid,
        };
        let state = &mut self.groups[group];
        let Some(mut choice) = state.board.choose(&query, now_ms, &mut world.rng) else {
            return false;
        };
        let held = choice.cached_tokens as usize / PIECE_TOKENS;
        let fetch = fetch_plan(
            world,
            &state.links,
            &request,
            held,
            choice.healthy_ms - choice.prefill_ms,
        );
        if let Some((_, fetch_ms)) = fetch {
            shorten(&mut choice, &request, fetch_ms);
        }
        let runner = self.runners[group][choice.runner.0 as usize];
        let attempt = world.add_attempt(Attempt {
            arrival,
            group,
            runner,
            rank: request.class as u8,
            sent_us: world.now,
            expected_ms: choice.expected_ms,
            fetched: if fetch.is_some() {
                request.pieces.len()
            } else {
                0
            },
            first: false,
            ended: false,
            hedged: !avoid.is_empty(),
            held_until_us: 0,
        });
        world.outcomes[arrival].tries -= u32::from(avoid.is_empty());
        let ticket = WorkTicket(attempt as u64);
        state.board.start(ticket, &choice, &query, now_ms);
        state.open.push(attempt);
        match fetch {
            None => world.after(500, Event::Submit(attempt)),
            Some((store, _)) => {
                let bytes = piece_bytes(request.pieces.len() - held);
                state
                    .links
                    .begin(LinkId(store as u32), attempt as u64, bytes, now_ms);
                let now = world.now;
                let at = world.link(group, store).carry(bytes, now);
                world.after(at - now + DISK_US, Event::Fetched(attempt));
            }
        }
        true
    }

    fn fetched(&mut self, world: &mut World, attempt: usize) {
        let state = &world.attempts[attempt];
        let links = &mut self.groups[state.group].links;
        let now_ms = world.now_ms();
        for store in 0..STORE_CENTRES.len() {
            links.finish(LinkId(store as u32), attempt as u64, true, now_ms);
        }
        world.after(0, Event::Submit(attempt));
    }

    pub(crate) fn first_token(&mut self, world: &mut World, attempt: usize) {
        let now_ms = world.now_ms();
        let state = world.attempts[attempt].clone();
        let group = &mut self.groups[state.group];
        let runner = RunnerId(
            self.runners[state.group]
                .iter()
                .position(|&r| r == state.runner)
                .unwrap_or(0) as u32,
        );
        group
            .board
            .first_token(runner, WorkTicket(attempt as u64), now_ms);
        let pieces = world.arrival(state.arrival).pieces.clone();
        group.board.prefixes_mut().note_kept(runner, &pieces);
        group.open.retain(|&open| open != attempt);
        let others: Vec<usize> = group
            .open
            .iter()
            .copied()
            .filter(|&open| world.attempts[open].arrival == state.arrival)
            .collect();
        for other in others {
            let loser = world.attempts[other].runner;
            let id = self.runner_id(state.group, loser);
            world.cancel(other);
            let group = &mut self.groups[state.group];
            group.open.retain(|&open| open != other);
            group.board.finish(id, WorkTicket(other as u64), now_ms);
        }
        world.attempts[attempt].first = true;
        world.note_first(attempt);
        let entry = self.entry(world, state.arrival);
        self.group_report(world, state.group, entry..entry + 1);
        self.pump(world, state.group);
    }

    pub(crate) fn done(&mut self, world: &mut World, attempt: usize) {
        let now_ms = world.now_ms();
        let state = world.attempts[attempt].clone();
        if state.ended {
            return;
        }
        world.attempts[attempt].ended = true;
        let id = self.runner_id(state.group, state.runner);
        let request = world.arrival(state.arrival).clone();
        let entry = self.entry(world, state.arrival);
        self.entries[entry]
            .limits
            .finish(&self.rows[request.customer].name);
        let group = &mut self.groups[state.group];
        group.board.finish(id, WorkTicket(attempt as u64), now_ms);
        if request.prompt != 0 {
            self.keep(world, &state, &request);
        }
        self.pump(world, state.group);
    }

    fn keep(&mut self, world: &mut World, state: &Attempt, request: &Arrival) {
        let now_ms = world.now_ms();
        let bytes = piece_bytes(request.pieces.len());
        let group = &mut self.groups[state.group];
        let plan = group.keep.run_ended(request.prompt, bytes, now_ms);
        for change in &plan.moves {
            if change.to.is_none() {
                let store = change.from.store.0 as usize;
                world.stores[store].free(change.prompt, state.group);
            }
        }
        let Some(place) = plan.place.filter(|_| !plan.present) else {
            return;
        };
        let link = LinkId(place.store.0);
        if !group.links.may_export(link, bytes, now_ms) {
            return group.keep.note_lost(request.prompt);
        }
        self.tickets += 1;
        let ticket = (1 << 40) + self.tickets;
        group.links.begin(link, ticket, bytes, now_ms);
        self.exports
            .insert(ticket, (state.group, link, request.prompt, place));
        let now = world.now;
        let at = world
            .link(state.group, place.store.0 as usize)
            .carry(bytes, now);
        world.after(at - now, Event::Exported { ticket });
    }

    fn exported(&mut self, world: &mut World, ticket: u64) {
        let Some((group, link, prompt, place)) = self.exports.remove(&ticket) else {
            return;
        };
        let state = &mut self.groups[group];
        state.links.finish(link, ticket, true, world.now_ms());
        if state.keep.place(prompt).map(|p| p.store) == Some(place.store) {
            world.stores[place.store.0 as usize].keep(prompt, group);
        }
    }

    /// Sends a second attempt for idempotent work that is late.
    fn hedge(&mut self, world: &mut World, group: usize) {
        let open = self.groups[group].open.clone();
        for attempt in open {
            let state = world.attempts[attempt].clone();
            let request = world.arrival(state.arrival);
            let waited = (world.now - state.sent_us) / 1000;
            let expected = (state.expected_ms as u64).max(100);
            let tries = 1 + u32::from(state.hedged);
            let budget = &mut self.groups[group].budget;
            if state.hedged || !budget.hedge(request.idempotent, tries, waited, expected) {
                continue;
            }
            world.attempts[attempt].hedged = true;
            let id = self.runner_id(group, state.runner);
            self.start(world, state.arrival, group, &[id]);
        }
    }

    fn group_report(&mut self, world: &World, group: usize, entries: Range<usize>) {
        let now_ms = world.now_ms();
        if world.now < self.groups[group].down_until_us {
            return;
        }
        let state = &self.groups[group];
        let capacity = state.board.capacity(now_ms);
        let waits = state.queue.waits_ms(&capacity);
        for entry in &mut self.entries[entries] {
            entry.groups.report(GroupId(group as u32), &waits, now_ms);
        }
    }

    /// Entry 0 and the dispatch of group 0 die; another process takes over.
    pub(crate) fn kill(&mut self, world: &mut World) {
        let until = world.now + TAKEOVER_US;
        self.dead_entry = true;
        let fresh = GroupState::new(world, 0, self.runners[0].len());
        let mut dead = std::mem::replace(&mut self.groups[0], fresh);
        dead.queue.expire(u64::MAX, &mut self.out);
        for item in std::mem::take(&mut self.out) {
            let arrival = item.ticket.0 as usize;
            let event = Event::Refused {
                arrival,
                group: 0,
                may_have_run: true,
                retry_ms: 1_000,
            };
            world.after(1_000, event);
        }
        for attempt in &mut world.attempts {
            if attempt.group == 0 && !attempt.first {
                attempt.held_until_us = until;
            }
        }
        self.groups[0].down_until_us = until;
        for entry in &mut self.entries {
            entry.groups.note_failure(GroupId(0), world.now / 1000);
            entry
                .limits
                .members_changed(world.now / 1000, |_| Some(LimitShare::WHOLE));
        }
    }
}

/// Thirds of a store that a group may use: two of the near one, none of the far
/// one, and one of each for a group without a near store.
fn store_thirds(group: usize, store: usize) -> u64 {
    match STORE_CENTRES.iter().position(|&centre| centre == group) {
        Some(near) if near == store => 2,
        Some(_) => 0,
        None => 1,
    }
}

/// Expected prefill time of `tokens` on a healthy runner.
fn prefill_ms(tokens: u32) -> f64 {
    f64::from(tokens) * 1000.0 / PREFILL_TOKENS_PER_S
}

/// The store to fetch from and the expected time, if it pays.
///
/// A fetch may take the time that the request would wait for a runner anyway.
fn fetch_plan(
    world: &World,
    links: &LinkBook,
    request: &Arrival,
    held: usize,
    wait_ms: f64,
) -> Option<(usize, f64)> {
    let missing = request.pieces.len() - held;
    let saved = wait_ms + prefill_ms((missing * PIECE_TOKENS) as u32);
    let stores = (0..STORE_CENTRES.len()).filter(|&s| world.stores[s].holds(request.prompt));
    let plans = stores.filter_map(|store| {
        let plan = links.plan(
            LinkId(store as u32),
            piece_bytes(missing),
            saved,
            world.now_ms(),
        );
        match plan {
            FetchPlan::Fetch { expected_ms } => Some((store, expected_ms)),
            FetchPlan::Recompute(_) => None,
        }
    });
    plans.min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Adapts a choice to a fetch that takes the place of most of the prefill.
fn shorten(choice: &mut RunnerChoice, request: &Arrival, fetch_ms: f64) {
    let rest = request.prompt_tokens - (request.pieces.len() * PIECE_TOKENS) as u32;
    let ahead = choice.healthy_ms - choice.prefill_ms;
    let slowness = choice.expected_ms / choice.healthy_ms.max(1.0);
    choice.prefill_ms = prefill_ms(rest).max(1.0);
    choice.healthy_ms = ahead.max(fetch_ms) + choice.prefill_ms;
    choice.expected_ms = choice.healthy_ms * slowness;
}
