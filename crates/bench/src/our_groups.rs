//! The dispatch side of our policy: queues, runners, links and kept prompts.

use crate::{
    ours::{prefill_ms, OurPolicy},
    scenarios::Arrival,
    targets::{PREFILL_TOKENS_PER_S, RUNNER_PIECES, RUNNER_SLOTS},
    world::{piece_bytes, Attempt, Event, World, DISK_US, STORE_CENTRES},
};
use berylmount_model::PIECE_TOKENS;
use berylmount_policy::{
    cache_retention::StoreQuota, FetchPlan, LinkId, LinkTracker, QueueRefusal, RetentionPlanner,
    RetryBudget, RunnerBalancer, RunnerId, RunnerQuery, RunnerSettings, WorkItem, WorkQueue,
    WorkTicket,
};

/// One dispatch process with one group.
pub(crate) struct GroupState {
    pub(crate) queue: WorkQueue,
    pub(crate) board: RunnerBalancer,
    pub(crate) links: LinkTracker,
    pub(crate) keep: RetentionPlanner,
    pub(crate) budget: RetryBudget,
    /// Attempts without a first token, for hedges.
    pub(crate) open: Vec<usize>,
    pub(crate) down_until_us: u64,
}

impl GroupState {
    pub(crate) fn new(world: &World, group: usize, runners: usize) -> Self {
        let settings = RunnerSettings {
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            slots: RUNNER_SLOTS,
            cache_pieces: RUNNER_PIECES,
            ..RunnerSettings::default()
        };
        let mut board = RunnerBalancer::new(settings);
        for _ in 0..runners {
            board.join();
        }
        let mut links = LinkTracker::default();
        for &centre in &STORE_CENTRES {
            let far = world.scenario.far_bytes_per_s as u64;
            links.add_link(if centre == group { 1_000_000_000 } else { far });
        }
        let share = |store: usize| {
            let part = world.scenario.store_bytes * store_thirds(group, store) / 3;
            StoreQuota {
                name: format!("store-{store}"),
                memory_bytes: part / 3,
                disk_bytes: part - part / 3,
            }
        };
        Self {
            queue: WorkQueue::default(),
            board,
            links,
            keep: RetentionPlanner::new((0..STORE_CENTRES.len()).map(share).collect(), 65_536),
            budget: RetryBudget::default(),
            open: Vec::new(),
            down_until_us: 0,
        }
    }
}

impl OurPolicy {
    pub(crate) fn at_group(&mut self, world: &mut World, arrival: usize, group: usize) {
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

    pub(crate) fn item(&mut self, world: &mut World, arrival: usize, group: usize) -> WorkItem {
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
            let wait = capacity.earliest_start_ms[request.class as usize];
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
            due_ms: world.due_ms(arrival),
        }
    }

    /// Sends waiting work while there is room, and refuses what expired.
    pub(crate) fn pump(&mut self, world: &mut World, group: usize) {
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
    pub(crate) fn start(
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
            let rest = request.prompt_tokens - (request.pieces.len() * PIECE_TOKENS) as u32;
            choice = choice.with_fetch(fetch_ms, prefill_ms(rest));
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

    pub(crate) fn fetched(&mut self, world: &mut World, attempt: usize) {
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

    pub(crate) fn keep(&mut self, world: &mut World, state: &Attempt, request: &Arrival) {
        let now_ms = world.now_ms();
        let bytes = piece_bytes(request.pieces.len());
        let group = &mut self.groups[state.group];
        let elsewhere = world.stores.iter().any(|store| store.holds(request.prompt));
        if elsewhere && group.keep.place(request.prompt).is_none() {
            return;
        }
        let plan = group.keep.plan_retention(request.prompt, bytes, now_ms);
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

    pub(crate) fn exported(&mut self, world: &mut World, ticket: u64) {
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
    pub(crate) fn hedge(&mut self, world: &mut World, group: usize) {
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

/// The store to fetch from and the expected time, if it pays.
///
/// A fetch may take the time that the request would wait for a runner anyway.
fn fetch_plan(
    world: &World,
    links: &LinkTracker,
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
