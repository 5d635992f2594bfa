//! Stateful fuzzing of the policy's state against simple oracles.
//!
//! `PROPTEST_CASES` sets how many sequences are tried.

use berylmount_model::{CustomerName, CustomerRow, RequestVerdict, WorkClass, WorkName};
use berylmount_policy::{
    assignment::entry_count,
    keeping::{KeptPlace, StoreShare},
    retries::FailedAttempt,
    KeepBook, LimitBook, LimitShare, QueueCapacity, QueueRoom, RetryBudget, RetryDecision,
    RunnerBoard, RunnerChoice, RunnerId, RunnerQuery, RunnerReport, RunnerSettings, StoreId,
    StoreTier, WorkItem, WorkQueue, WorkTicket,
};
use proptest::{collection::vec, prelude::*, sample::select, test_runner::RngSeed};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

const CLASSES: [WorkClass; 4] = [
    WorkClass::Critical,
    WorkClass::Interactive,
    WorkClass::Standard,
    WorkClass::Bulk,
];
const ENTRIES: usize = 3;

/// What happens to a customer's limits at three entries.
#[derive(Clone, Debug)]
enum LimitStep {
    Admit { entry: usize, count: u32 },
    Finish(usize),
    Advance(u64),
    Move { first: usize, owners: usize },
    Restart(usize),
    DropIdle(usize),
}

/// Who owns the customer: `owners` entries from `first` on.
#[derive(Clone, Debug)]
struct LimitModel {
    row: CustomerRow,
    now_ms: u64,
    first: usize,
    owners: usize,
}

impl LimitModel {
    fn share(&self, entry: usize) -> Option<LimitShare> {
        let rank = (entry + ENTRIES - self.first) % ENTRIES;
        (rank < self.owners).then_some(LimitShare {
            rank: rank as u32,
            entries: self.owners as u32,
        })
    }

    /// What a part that is new to an entry may give at once, at most.
    fn start(&self) -> f64 {
        (f64::from(self.row.burst) / 8.0).max(1.0)
    }
}

impl ReferenceStateMachine for LimitModel {
    type State = Self;
    type Transition = LimitStep;

    fn init_state() -> BoxedStrategy<Self> {
        (1u32..90, 1u32..60, 3u32..90)
            .prop_map(|(rate, burst, in_flight)| Self {
                row: CustomerRow {
                    name: CustomerName::new("crew").unwrap_or_else(|_| unreachable!()),
                    key_hash: String::new(),
                    weight: 1,
                    rate_per_s: f64::from(rate),
                    burst,
                    in_flight,
                    version: None,
                    cache_scope: String::new(),
                },
                now_ms: 0,
                first: 0,
                owners: 1,
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<LimitStep> {
        prop_oneof![
            20 => (0..ENTRIES, select(vec![1u32, 40]))
                .prop_map(|(entry, count)| LimitStep::Admit { entry, count }),
            10 => (0..ENTRIES).prop_map(LimitStep::Finish),
            4 => select(vec![1u64, 50, 1_000, 30_000]).prop_map(LimitStep::Advance),
            2 => (0..ENTRIES, 1..=ENTRIES).prop_map(|(first, owners)| LimitStep::Move { first, owners }),
            1 => (0..ENTRIES).prop_map(LimitStep::Restart),
            2 => (0..ENTRIES).prop_map(LimitStep::DropIdle),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &LimitStep) -> Self {
        match *step {
            LimitStep::Advance(ms) => state.now_ms += ms,
            LimitStep::Move { first, owners } => {
                let most = entry_count(&state.row, owners);
                (state.first, state.owners) = (first, most);
            }
            _ => {}
        }
        state
    }
}

/// Three entries' books against one bucket that knows all of them.
struct LimitFuzz {
    books: Vec<LimitBook>,
    owned: Vec<bool>,
    in_flight: Vec<u32>,
    /// Tokens of the one bucket; each new part adds its start.
    tokens: f64,
}

impl LimitFuzz {
    fn add(&mut self, tokens: f64, model: &LimitModel) {
        self.tokens = (self.tokens + tokens).min(f64::from(model.row.burst));
    }

    fn admit(&mut self, model: &LimitModel, entry: usize) {
        let Some(share) = model.share(entry) else {
            return;
        };
        let work = WorkName::new("question").unwrap_or_else(|_| unreachable!());
        match self.books[entry].admit(&model.row, &work, None, share, model.now_ms) {
            Ok(()) => {
                self.tokens -= 1.0;
                self.in_flight[entry] += 1;
                assert!(self.in_flight[entry] <= share.of_count(model.row.in_flight));
            }
            Err(refusal) => assert!(refusal.retry_after_ms() > 0),
        }
    }

    fn tell_members(&mut self, model: &LimitModel) {
        for entry in 0..ENTRIES {
            let share = model.share(entry);
            let owns = share.is_some();
            self.books[entry].members_changed(model.now_ms, |_| share);
            if owns && !self.owned[entry] {
                self.add(model.start(), model);
            }
            self.owned[entry] = owns;
        }
    }
}

impl StateMachineTest for LimitFuzz {
    type SystemUnderTest = Self;
    type Reference = LimitModel;

    fn init_test(model: &LimitModel) -> Self {
        Self {
            books: vec![LimitBook::new(0); ENTRIES],
            owned: vec![true, false, false],
            in_flight: vec![0; ENTRIES],
            tokens: model.start(),
        }
    }

    fn apply(mut test: Self, model: &LimitModel, step: LimitStep) -> Self {
        let now_ms = model.now_ms;
        match step {
            LimitStep::Admit { entry, count } => {
                for _ in 0..count {
                    test.admit(model, entry);
                }
            }
            LimitStep::Finish(entry) if test.in_flight[entry] > 0 => {
                test.in_flight[entry] -= 1;
                test.books[entry].finish(&model.row.name);
            }
            LimitStep::Advance(ms) => test.add(model.row.rate_per_s * ms as f64 / 1000.0, model),
            LimitStep::Move { .. } => test.tell_members(model),
            LimitStep::Restart(entry) => {
                test.books[entry] = LimitBook::new(now_ms);
                test.in_flight[entry] = 0;
                if model.share(entry).is_some() {
                    test.add(model.start(), model);
                }
            }
            LimitStep::DropIdle(entry) => drop(test.books[entry].drop_idle(now_ms)),
            LimitStep::Finish(_) => {}
        }
        test
    }

    fn check_invariants(test: &Self, _: &LimitModel) {
        assert!(test.tokens >= -1e-6);
    }
}

/// What happens to a queue.
#[derive(Clone, Debug)]
enum QueueStep {
    Offer(WorkItem),
    Take { short: bool, long: bool },
    Expire(u64),
    Remove(u64),
    Restore,
}

/// The items that wait, and the last one taken.
#[derive(Clone, Debug, Default)]
struct QueueModel {
    next: u64,
    now_ms: u64,
}

impl ReferenceStateMachine for QueueModel {
    type State = Self;
    type Transition = QueueStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(model: &Self) -> BoxedStrategy<QueueStep> {
        let (ticket, now_ms) = (model.next, model.now_ms);
        let cost = select(vec![0.0, 20.0, 300.0, 2_500.0]);
        let item = (
            select(CLASSES.to_vec()),
            0u64..5,
            1u32..4,
            cost,
            1u64..20_000,
        );
        let offer =
            item.prop_map(
                move |(class, customer, weight, prefill_ms, limit_ms)| WorkItem {
                    ticket: WorkTicket(ticket),
                    customer,
                    weight,
                    class,
                    prefill_ms,
                    due_ms: now_ms + limit_ms,
                },
            );
        prop_oneof![
            8 => offer.prop_map(QueueStep::Offer),
            4 => any::<(bool, bool)>().prop_map(|(short, long)| QueueStep::Take { short, long }),
            2 => (0u64..3_000).prop_map(QueueStep::Expire),
            1 => (0..ticket.max(1)).prop_map(QueueStep::Remove),
            1 => Just(QueueStep::Restore),
        ]
        .boxed()
    }

    fn apply(mut model: Self, step: &QueueStep) -> Self {
        match step {
            QueueStep::Offer(_) => model.next += 1,
            QueueStep::Expire(ms) => model.now_ms += ms,
            _ => {}
        }
        model
    }
}

#[derive(Default)]
struct QueueFuzz {
    queue: WorkQueue,
    waiting: BTreeMap<WorkTicket, WorkItem>,
    taken: Option<WorkItem>,
}

impl StateMachineTest for QueueFuzz {
    type SystemUnderTest = Self;
    type Reference = QueueModel;

    fn init_test(_: &QueueModel) -> Self {
        Self::default()
    }

    fn apply(mut test: Self, model: &QueueModel, step: QueueStep) -> Self {
        match step {
            QueueStep::Offer(item) => {
                let left = item.due_ms - model.now_ms;
                match test
                    .queue
                    .offer(item, &QueueCapacity::idle(4.0), model.now_ms)
                {
                    Ok(()) => drop(test.waiting.insert(item.ticket, item)),
                    Err(refusal) => {
                        assert!(refusal.expected_ms > left && refusal.retry_after_ms > 0)
                    }
                }
            }
            QueueStep::Take { short, long } => {
                let fits = |item: &WorkItem| if item.is_long() { long } else { short };
                test.taken = test.queue.take(QueueRoom::same(short, long));
                match test.taken {
                    Some(item) => {
                        assert!(fits(&item));
                        assert_eq!(test.waiting.remove(&item.ticket), Some(item));
                    }
                    None => assert!(!test.waiting.values().any(fits)),
                }
            }
            QueueStep::Expire(_) => {
                let mut out = Vec::new();
                test.queue.expire(model.now_ms, &mut out);
                for item in out {
                    assert_eq!(test.waiting.remove(&item.ticket), Some(item));
                }
                assert!(test.waiting.values().all(|item| item.due_ms > model.now_ms));
            }
            QueueStep::Remove(ticket) => {
                let ticket = WorkTicket(ticket);
                assert_eq!(test.queue.remove(ticket), test.waiting.remove(&ticket));
            }
            QueueStep::Restore => {
                if let Some(item) = test.taken.take() {
                    test.queue.restore(item);
                    test.waiting.insert(item.ticket, item);
                }
            }
        }
        test
    }

    fn check_invariants(test: &Self, _: &QueueModel) {
        assert_eq!(test.queue.len(), test.waiting.len());
        let backlog: f64 = test.waiting.values().map(|item| item.prefill_ms).sum();
        assert!((test.queue.backlog_ms() - backlog).abs() < 1e-3);
    }
}

/// What happens to a board.
#[derive(Clone, Debug)]
enum BoardStep {
    Join,
    Remove(usize),
    Leaving(usize, bool),
    Send {
        tokens: u32,
        class: WorkClass,
        avoid: u32,
    },
    First(usize),
    Finish(usize),
    Fail(usize),
    Report {
        runner: u32,
        age_ms: u64,
        tokens: u64,
        running: u32,
    },
    Advance(u64),
}

#[derive(Clone, Debug)]
struct BoardModel;

impl ReferenceStateMachine for BoardModel {
    type State = Self;
    type Transition = BoardStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<BoardStep> {
        let place = 0usize..12;
        let send = (0u32..20_000, select(CLASSES.to_vec()), 0u32..6);
        prop_oneof![
            2 => Just(BoardStep::Join),
            1 => place.clone().prop_map(BoardStep::Remove),
            2 => (place.clone(), any::<bool>()).prop_map(|(n, on)| BoardStep::Leaving(n, on)),
            12 => send.prop_map(|(tokens, class, avoid)| BoardStep::Send { tokens, class, avoid }),
            6 => place.clone().prop_map(BoardStep::First),
            4 => place.clone().prop_map(BoardStep::Finish),
            1 => place.prop_map(BoardStep::Fail),
            3 => (0u32..6, 0u64..5_000, 0u64..90_000, 0u32..9).prop_map(
                |(runner, age_ms, tokens, running)| BoardStep::Report { runner, age_ms, tokens, running }
            ),
            4 => (0u64..2_000).prop_map(BoardStep::Advance),
        ]
        .boxed()
    }

    fn apply(model: Self, _: &BoardStep) -> Self {
        model
    }
}

struct BoardFuzz {
    board: RunnerBoard,
    /// Runners and whether they leave.
    live: BTreeMap<RunnerId, bool>,
    sent: Vec<(RunnerId, WorkTicket)>,
    count: u64,
    now_ms: u64,
    rng: Pcg32,
}

fn query(prompt_tokens: u32, class: WorkClass, avoid: &[RunnerId]) -> RunnerQuery<'_> {
    RunnerQuery {
        pieces: &[],
        prompt_tokens,
        class,
        may_probe: true,
        avoid,
    }
}

impl BoardFuzz {
    fn nth(&self, place: usize) -> Option<RunnerId> {
        self.live.keys().nth(place).copied()
    }

    fn send(&mut self, tokens: u32, class: WorkClass, avoid: &[RunnerId]) -> Option<RunnerChoice> {
        let query = query(tokens, class, avoid);
        let choice = self.board.choose(&query, self.now_ms, &mut self.rng)?;
        self.count += 1;
        self.board
            .start(WorkTicket(self.count), &choice, &query, self.now_ms);
        self.sent.push((choice.runner, WorkTicket(self.count)));
        Some(choice)
    }
}

impl StateMachineTest for BoardFuzz {
    type SystemUnderTest = Self;
    type Reference = BoardModel;

    fn init_test(_: &BoardModel) -> Self {
        Self {
            board: RunnerBoard::new(RunnerSettings::default()),
            live: BTreeMap::new(),
            sent: Vec::new(),
            count: 0,
            now_ms: 0,
            rng: Pcg32::seed_from_u64(1),
        }
    }

    fn apply(mut test: Self, _: &BoardModel, step: BoardStep) -> Self {
        let now_ms = test.now_ms;
        match step {
            BoardStep::Join => {
                let runner = test.board.join();
                assert_eq!(test.live.insert(runner, false), None);
            }
            BoardStep::Remove(place) => {
                if let Some(runner) = test.nth(place) {
                    test.board.remove(runner);
                    test.live.remove(&runner);
                    test.sent.retain(|&(r, _)| r != runner);
                }
            }
            BoardStep::Leaving(place, leaving) => {
                if let Some(runner) = test.nth(place) {
                    test.board.set_leaving(runner, leaving);
                    test.live.insert(runner, leaving);
                }
            }
            BoardStep::Send {
                tokens,
                class,
                avoid,
            } => {
                let avoid = RunnerId(avoid);
                if let Some(choice) = test.send(tokens, class, &[avoid]) {
                    assert_eq!(test.live.get(&choice.runner), Some(&false));
                    assert!(choice.runner != avoid && choice.expected_ms > 0.0);
                }
            }
            BoardStep::First(place) => {
                if let Some(&(runner, ticket)) = test.sent.get(place) {
                    test.board.first_token(runner, ticket, now_ms);
                }
            }
            BoardStep::Finish(place) if place < test.sent.len() => {
                let (runner, ticket) = test.sent.remove(place);
                test.board.finish(runner, ticket, now_ms);
            }
            BoardStep::Fail(place) if place < test.sent.len() => {
                let (runner, ticket) = test.sent.remove(place);
                test.board.fail(runner, ticket, now_ms);
            }
            BoardStep::Report {
                runner,
                age_ms,
                tokens,
                running,
            } => {
                let report = RunnerReport {
                    at_ms: now_ms.saturating_sub(age_ms),
                    waiting_tokens: tokens,
                    running,
                };
                test.board.report(RunnerId(runner), &report);
            }
            BoardStep::Advance(ms) => test.now_ms += ms,
            BoardStep::Finish(_) | BoardStep::Fail(_) => {}
        }
        test
    }

    fn check_invariants(test: &Self, _: &BoardModel) {
        for &runner in test.live.keys() {
            let sent = test.sent.iter().filter(|(r, _)| *r == runner).count();
            assert_eq!(test.board.in_flight(runner), sent);
        }
        let capacity = test.board.capacity(test.now_ms);
        let open = test.live.values().any(|&leaving| !leaving);
        assert_eq!(capacity.runners > 0.0, open);
        assert!(capacity
            .in_flight_ms
            .iter()
            .all(|ms| ms.is_finite() && *ms >= 0.0));
    }

    /// Once all is done and runners answer as expected, every one is used again.
    fn teardown(mut test: Self, _: BoardModel) {
        for (runner, ticket) in std::mem::take(&mut test.sent) {
            test.board.finish(runner, ticket, test.now_ms);
        }
        test.now_ms += 200_000;
        for _ in 0..60 {
            for _ in 0..test.live.len() {
                test.send(1_000, WorkClass::Standard, &[]);
            }
            test.now_ms += 100;
            for (runner, ticket) in std::mem::take(&mut test.sent) {
                test.board.first_token(runner, ticket, test.now_ms);
                test.board.finish(runner, ticket, test.now_ms);
            }
            test.now_ms += 2_000;
        }
        for (&runner, &leaving) in &test.live {
            assert!(leaving || test.board.slowness(runner, test.now_ms) < 2.0);
        }
    }
}

/// The same sequences in every run.
fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn limits_hold_over_entries_and_moves(sequential 1..120 => LimitFuzz);

    #[test]
    fn every_item_leaves_the_queue_once(sequential 1..120 => QueueFuzz);

    #[test]
    fn leaving_runners_get_nothing_and_the_board_converges(sequential 1..120 => BoardFuzz);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn retries_stay_within_a_tenth(steps in vec((0u8..3, 0u32..4, any::<bool>()), 1..600)) {
        let mut rng = Pcg32::seed_from_u64(1);
        let mut budget = RetryBudget::default();
        let (mut first, mut again) = (0u32, 0u32);
        for (kind, attempts, idempotent) in steps {
            let failed = FailedAttempt {
                verdict: RequestVerdict::MayHaveRun,
                idempotent,
                attempts,
                left_ms: 1_000,
                expected_ms: 100,
            };
            let taken = match kind {
                0 => {
                    first += 1;
                    budget.earn();
                    false
                }
                1 => budget.decide(&failed, &mut rng) != RetryDecision::GiveUp,
                _ => budget.hedge(idempotent, attempts, 900, 100),
            };
            prop_assert!(!taken || (idempotent && attempts < 3));
            again += u32::from(taken);
            prop_assert!(f64::from(again) <= 0.1 * f64::from(first) + 2.0);
        }
    }

    #[test]
    fn a_keep_plan_fits_the_stores(steps in vec((0u64..12, 1u64..70, 0u64..90), 1..200)) {
        let share = |name: &str| StoreShare {
            name: name.to_owned(),
            memory_bytes: 100,
            disk_bytes: 160,
        };
        let mut book = KeepBook::new(vec![share("a"), share("b")], 8);
        let (mut kept, mut now_ms) = (BTreeMap::new(), 0);
        for (prompt, bytes, passed) in steps {
            now_ms += passed;
            kept.remove(&prompt);
            let plan = book.run_ended(prompt, bytes, now_ms);
            for change in plan.moves {
                let (place, bytes) = kept.remove(&change.prompt).unwrap();
                prop_assert_eq!(place, change.from);
                if let Some(tier) = change.to {
                    kept.insert(change.prompt, (KeptPlace { tier, ..place }, bytes));
                }
            }
            if let Some(place) = plan.place {
                kept.insert(prompt, (place, bytes));
            }
            for prompt in 0..12 {
                prop_assert_eq!(book.place(prompt), kept.get(&prompt).map(|&(place, _)| place));
            }
            for (store, tier, room) in [(0, StoreTier::Memory, 100), (1, StoreTier::Disk, 160)] {
                let here = KeptPlace { store: StoreId(store), tier };
                let used: u64 = kept.values().filter(|k| k.0 == here).map(|k| k.1).sum();
                prop_assert!(used <= room);
            }
        }
        prop_assert!(book.len() <= 12);
    }

    #[test]
    fn no_class_and_no_customer_starves(flood in select(CLASSES.to_vec()), class in select(CLASSES.to_vec())) {
        let mut queue = WorkQueue::default();
        let item = |ticket, customer, class| WorkItem {
            ticket: WorkTicket(ticket), customer, weight: 1, class, prefill_ms: 50.0, due_ms: 90_000,
        };
        for ticket in 1..100 {
            queue.restore(item(ticket, 1, flood));
        }
        queue.restore(item(0, 2, class));
        for ticket in 100.. {
            queue.restore(item(ticket, 1, flood));
            let taken = queue.take(QueueRoom::same(true, false)).unwrap();
            if taken.ticket == WorkTicket(0) {
                break;
            }
            prop_assert!(ticket < 200);
        }
    }
}
