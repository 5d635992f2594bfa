//! Stateful fuzzing of the ledger against the service's own count of runs.
//!
//! Three dispatch processes, callers that come back elsewhere with the same or
//! another body, and an operator work on four keys through one store. Each step
//! of a dispatch (choosing a call, the platform taking it, the reply coming
//! back, the send, the service's run, the answer) is a transition of its own, so
//! any process can be paused or killed between any two of them.
//!
//! `PROPTEST_CASES` makes it longer, `PROPTEST_RNG_SEED` sets the seed.

use berylmount_ledger::{
    make_call, read_entry, settle_entry, unsettled_orders, visit_day, BodyDigest, CallReply,
    ChangeReply, ChangeRequest, LaneCall, LedgerChange, LedgerConfig, LedgerDay, LedgerLane,
    OrderIntent, OrderOutcome, OrderState, OutcomeSource, RecordedAnswer, WriterNonce,
};
use berylmount_model::{
    CustomerName, OrderKey, PoolName,
    RequestVerdict::{self, MayHaveRun, NotRun, Ran},
    WorkName,
};
use berylmount_standins::{MemoryStore, WriteFault};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeMap;

const KEYS: usize = 4;
const DISPATCHES: usize = 3;
const START_MS: u64 = 1_796_342_400_000;
const CI_SEED: u64 = 20_261_204;

#[derive(Clone, Debug)]
enum Step {
    /// A caller brings key and body to a dispatch.
    Call(usize, usize, usize),
    /// The dispatch's lane goes this many phases on.
    Lane(usize, usize),
    /// The dispatch goes on with one of its attempts.
    Attempt(usize, usize, Fate),
    /// The service takes one of the calls on their way.
    Serve(usize),
    /// One of the calls on their way is lost.
    Lose(usize),
    Kill(usize),
    Outage(bool),
    Fault(WriteFault),
    DeliverLate,
    Advance(u64),
    /// An operator settles a key by what the service says.
    Settle(usize),
}

/// What befalls an attempt's next step.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Well,
    /// The caller stops waiting, the connection is refused, or the answer is late.
    Badly,
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let fault = prop_oneof![
            Just(WriteFault::LoseAnswer),
            Just(WriteFault::LoseRequest),
            Just(WriteFault::Late)
        ];
        let fate = prop_oneof![4 => Just(Fate::Well), 1 => Just(Fate::Badly)];
        prop_oneof![
            8 => (0..DISPATCHES, 0..KEYS, prop_oneof![4 => Just(0usize), 1 => Just(1)])
                .prop_map(|(d, k, b)| Step::Call(d, k, b)),
            20 => (0..DISPATCHES, 1..4usize).prop_map(|(d, n)| Step::Lane(d, n)),
            8 => (0..DISPATCHES).prop_map(|d| Step::Lane(d, 24)),
            16 => (0..DISPATCHES, 0..8usize, fate).prop_map(|(d, i, f)| Step::Attempt(d, i, f)),
            8 => (0..8usize).prop_map(Step::Serve),
            1 => (0..8usize).prop_map(Step::Lose),
            1 => (0..DISPATCHES).prop_map(Step::Kill),
            2 => prop_oneof![1 => Just(true), 5 => Just(false)].prop_map(Step::Outage),
            2 => fault.prop_map(Step::Fault),
            2 => Just(Step::DeliverLate),
            3 => prop_oneof![5 => Just(1_100), 2 => Just(6_000), 1 => Just(700_000)]
                .prop_map(Step::Advance),
            4 => (0..KEYS).prop_map(Step::Settle),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Where an attempt stands in its dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The begin has no reply yet.
    Asked,
    /// The dispatch holds the permission to send.
    Holding,
    /// The service has been called.
    Sent,
    /// An earlier attempt has no outcome.
    Blocked(WriterNonce),
    Over,
}

#[derive(Debug)]
struct Attempt {
    order: OrderIntent,
    key: usize,
    nonce: WriterNonce,
    send_before_ms: u64,
    phase: Phase,
    told: Option<RequestVerdict>,
    ran: bool,
    /// Whether its dispatch was killed, with what it still owed the ledger.
    orphaned: bool,
}

/// One dispatch process.
struct Dispatch {
    lane: LedgerLane,
    /// A call not made yet, or its reply not taken yet.
    call: Option<Result<LaneCall, CallReply>>,
    /// Attempts by ticket less one.
    attempts: Vec<usize>,
}

struct World {
    store: MemoryStore,
    now_ms: u64,
    incarnations: u64,
    dispatches: Vec<Dispatch>,
    attempts: Vec<Attempt>,
    /// Calls on their way to the service.
    flying: Vec<usize>,
    /// The service's own count, by key.
    runs: [u32; KEYS],
    /// The body of the first intent that stood, by key.
    bodies: [Option<BodyDigest>; KEYS],
    tally: BTreeMap<&'static str, u64>,
}

/// Processes disagree on a segment's size, so that only the seal counts.
fn config(origin: u64) -> LedgerConfig {
    LedgerConfig {
        segment_entries: 1 + origin as usize % 3,
        cached_entries: 2,
        ..LedgerConfig::new(origin)
    }
}

/// Two customers with the same key; three keys share a top segment, two its child.
fn order(key: usize, body: usize) -> OrderIntent {
    let (customer, key) = [
        ("north", "20261204-19"),
        ("south", "20261204-19"),
        ("north", "20261204-22"),
        ("north", "20261204-34"),
    ][key];
    OrderIntent {
        customer: CustomerName::new(customer).unwrap(),
        key: OrderKey::new(key).unwrap(),
        work: WorkName::new("certify").unwrap(),
        pool: PoolName::new("records").unwrap(),
        body: BodyDigest::of(&[body as u8]),
    }
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            store: MemoryStore::default(),
            now_ms: 0,
            incarnations: 0,
            dispatches: Vec::new(),
            attempts: Vec::new(),
            flying: Vec::new(),
            runs: [0; KEYS],
            bodies: [None; KEYS],
            tally: BTreeMap::new(),
        };
        for _ in 0..DISPATCHES {
            let dispatch = world.start();
            world.dispatches.push(dispatch);
        }
        world
    }

    fn count(&mut self, what: &'static str) {
        *self.tally.entry(what).or_default() += 1;
    }

    fn start(&mut self) -> Dispatch {
        self.incarnations += 1;
        Dispatch {
            lane: LedgerLane::new(config(self.incarnations)),
            call: None,
            attempts: Vec::new(),
        }
    }

    fn tell(&mut self, attempt: usize, verdict: RequestVerdict) {
        let attempt = &mut self.attempts[attempt];
        assert_eq!(attempt.told.replace(verdict), None, "told twice");
        assert!(!(verdict == NotRun && attempt.ran), "told not run, but ran");
        assert!(
            verdict != Ran || self.runs[attempt.key] == 1,
            "told ran, but did not"
        );
        self.count(verdict.into());
    }

    fn change(&mut self, dispatch: usize, at: usize, nonce: WriterNonce, change: LedgerChange) {
        let begins = matches!(change, LedgerChange::Begin(_));
        let attempt = &self.attempts[at];
        let request = ChangeRequest {
            place: attempt.order.place().unwrap(),
            customer: attempt.order.customer.clone(),
            key: attempt.order.key.clone(),
            nonce,
            unix_ms: START_MS + self.now_ms,
            change,
        };
        let dispatch = &mut self.dispatches[dispatch];
        let ticket = if begins {
            dispatch.attempts.len() as u64
        } else {
            0
        };
        dispatch.lane.submit(ticket, request);
    }

    fn call(&mut self, d: usize, key: usize, body: usize) {
        let nonce = WriterNonce {
            origin: self.incarnations * 8 + d as u64,
            count: self.attempts.len() as u64,
        };
        let order = order(key, body);
        self.attempts.push(Attempt {
            order: order.clone(),
            key,
            nonce,
            send_before_ms: self.now_ms + config(0).send_within_ms,
            phase: Phase::Asked,
            told: None,
            ran: false,
            orphaned: false,
        });
        let at = self.attempts.len() - 1;
        self.dispatches[d].attempts.push(at);
        self.change(d, at, nonce, LedgerChange::Begin(order));
        self.take_replies(d);
    }

    /// Chooses a platform call, makes it, or takes its reply.
    fn lane(&mut self, d: usize) {
        let dispatch = &mut self.dispatches[d];
        dispatch.call = match dispatch.call.take() {
            None => dispatch.lane.next_call(self.now_ms).map(Ok),
            Some(Ok(call)) => Some(Err(make_call(&self.store, &call))),
            Some(Err(reply)) => {
                dispatch.lane.take_reply(reply, self.now_ms);
                None
            }
        };
        self.take_replies(d);
    }

    fn take_replies(&mut self, d: usize) {
        for (ticket, reply) in self.dispatches[d].lane.take_replies() {
            if ticket == 0 {
                continue;
            }
            let at = self.dispatches[d].attempts[ticket as usize - 1];
            if self.attempts[at].phase == Phase::Asked {
                self.begun(at, reply);
            }
        }
    }

    fn begun(&mut self, at: usize, reply: ChangeReply) {
        self.count((&reply).into());
        let (key, body) = (self.attempts[at].key, self.attempts[at].order.body);
        self.attempts[at].phase = match reply {
            ChangeReply::Recorded => {
                let first = *self.bodies[key].get_or_insert(body);
                assert_eq!(first, body, "another body got permission");
                Phase::Holding
            }
            ChangeReply::Unknown { nonce, .. } => Phase::Blocked(nonce),
            _ => Phase::Over,
        };
        match reply {
            ChangeReply::Recorded | ChangeReply::Unknown { .. } => {}
            ChangeReply::Finished(_) => {
                assert_eq!(self.bodies[key], Some(body), "another body got the answer");
                self.tell(at, Ran);
            }
            _ => self.tell(at, NotRun),
        }
    }

    /// Drops a permission that was not used.
    fn abandon(&mut self, d: usize, at: usize) {
        let attempt = &mut self.attempts[at];
        attempt.phase = Phase::Over;
        let (nonce, order) = (attempt.nonce, attempt.order.clone());
        self.change(d, at, nonce, LedgerChange::Abandon(order));
        self.tell(at, NotRun);
    }

    fn attempt(&mut self, d: usize, pick: usize, fate: Fate) {
        let open = self.dispatches[d].attempts.iter().copied();
        let open: Vec<usize> = open
            .filter(|&at| self.attempts[at].phase != Phase::Over)
            .collect();
        if open.is_empty() {
            return;
        }
        let at = open[pick % open.len()];
        let attempt = &mut self.attempts[at];
        match (attempt.phase, fate) {
            (Phase::Asked, Fate::Badly) => self.abandon(d, at),
            (Phase::Holding, Fate::Badly) => self.abandon(d, at),
            (Phase::Holding, Fate::Well) if self.now_ms >= attempt.send_before_ms => {
                self.count("holder woke too late");
                self.abandon(d, at);
            }
            (Phase::Holding, Fate::Well) => {
                attempt.phase = Phase::Sent;
                self.flying.push(at);
            }
            (Phase::Sent, Fate::Well) if attempt.ran => {
                attempt.phase = Phase::Over;
                let nonce = attempt.nonce;
                let outcome = OrderOutcome::Ran(Some(RecordedAnswer::of("done")));
                self.change(d, at, nonce, LedgerChange::Finish(outcome));
                self.tell(at, Ran);
            }
            (Phase::Sent, Fate::Badly) => {
                attempt.phase = Phase::Over;
                self.tell(at, MayHaveRun);
            }
            (Phase::Blocked(nonce), _) => {
                attempt.phase = Phase::Over;
                let found = self.runs[attempt.key] > 0;
                if found {
                    let change = LedgerChange::Settle {
                        outcome: OrderOutcome::Ran(Some(RecordedAnswer::of("done"))),
                        source: OutcomeSource::LookUp,
                        min_age_ms: 0,
                    };
                    self.change(d, at, nonce, change);
                }
                self.tell(at, if found { Ran } else { MayHaveRun });
            }
            (Phase::Asked | Phase::Sent | Phase::Over, _) => {}
        }
    }

    fn serve(&mut self, pick: usize) {
        if self.flying.is_empty() {
            return;
        }
        let at = self.flying.swap_remove(pick % self.flying.len());
        let attempt = &mut self.attempts[at];
        attempt.ran = true;
        assert_ne!(attempt.told, Some(NotRun), "ran after it was told not run");
        self.runs[attempt.key] += 1;
        assert_eq!(self.runs[attempt.key], 1, "key {} ran again", attempt.key);
    }

    fn kill(&mut self, d: usize) {
        let fresh = self.start();
        let dead = std::mem::replace(&mut self.dispatches[d], fresh);
        for at in dead.attempts {
            self.attempts[at].orphaned = true;
            if self.attempts[at].phase != Phase::Over {
                self.attempts[at].phase = Phase::Over;
                self.tell(at, MayHaveRun);
            }
        }
    }

    /// An operator asks the service, which also knows of calls on their way.
    fn settle(&mut self, key: usize) {
        let order = order(key, 0);
        let Ok(Some(entry)) = read_entry(&self.store, &order.customer, &order.key) else {
            return;
        };
        if self.flying.iter().any(|&at| self.attempts[at].key == key) {
            return;
        }
        let outcome = match self.runs[key] {
            0 => OrderOutcome::NotRun,
            _ => OrderOutcome::Ran(None),
        };
        let source = OutcomeSource::operator("asked the service");
        let unix_ms = START_MS + self.now_ms;
        let reply = settle_entry(&self.store, config(99), &entry, outcome, source, unix_ms);
        if reply.unwrap() == ChangeReply::Recorded {
            self.count("settled by operator");
        }
    }

    /// Heals everything, lets it come to rest, and compares the ledger with the service.
    fn check_end(mut self) {
        self.store.set_outage(false);
        self.store.clear_write_faults();
        self.store.deliver_late();
        for d in 0..DISPATCHES {
            for _ in 0..600 {
                self.now_ms += 500;
                self.lane(d);
            }
            assert!(
                self.dispatches[d].lane.is_idle(),
                "a change never came to rest"
            );
        }
        let day = LedgerDay::of_unix_ms(START_MS);
        visit_day(&self.store, day, &mut |_, _| {}).expect("segments are well formed");
        let unsettled = unsettled_orders(&self.store, day, u64::MAX).unwrap();
        for key in 0..KEYS {
            let order = order(key, 0);
            let entry = read_entry(&self.store, &order.customer, &order.key).unwrap();
            let Some(entry) = entry else {
                assert_eq!(self.runs[key], 0, "ran without an entry");
                continue;
            };
            match entry.state {
                OrderState::Ran { .. } => assert_eq!(self.runs[key], 1, "recorded, but not run"),
                OrderState::NotRun { .. } => assert_eq!(self.runs[key], 0, "ran, but not recorded"),
                OrderState::Intent => {
                    assert!(unsettled.contains(&entry), "no operator can see the order");
                    let writer = self
                        .attempts
                        .iter()
                        .find(|a| a.nonce == entry.nonce)
                        .unwrap();
                    let open = matches!(writer.told, None | Some(MayHaveRun));
                    assert!(
                        open || writer.orphaned,
                        "blocked, but told {:?}",
                        writer.told
                    );
                }
            }
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        match step {
            Step::Call(d, key, body) => world.call(d, key, body),
            Step::Lane(d, phases) => (0..phases).for_each(|_| world.lane(d)),
            Step::Attempt(d, pick, fate) => world.attempt(d, pick, fate),
            Step::Serve(pick) => world.serve(pick),
            Step::Lose(pick) if !world.flying.is_empty() => {
                let at = pick % world.flying.len();
                world.flying.swap_remove(at);
                world.count("lost call");
            }
            Step::Lose(_) => {}
            Step::Kill(d) => {
                world.count("kill");
                world.kill(d);
            }
            Step::Outage(outage) => {
                world.count("outage switch");
                world.store.set_outage(outage);
            }
            Step::Fault(fault) => {
                world.count("write fault");
                world.store.add_write_fault(fault);
            }
            Step::DeliverLate => world.store.deliver_late(),
            Step::Advance(ms) => world.now_ms += ms,
            Step::Settle(key) => world.settle(key),
        }
        world
    }

    fn teardown(world: World, (): ()) {
        let mut totals = TALLY.lock().unwrap();
        for (what, count) in &world.tally {
            *totals.entry(what).or_default() += count;
        }
        drop(totals);
        world.check_end();
    }
}

static TALLY: std::sync::Mutex<BTreeMap<&str, u64>> = std::sync::Mutex::new(BTreeMap::new());

#[test]
fn orders_run_at_most_once() {
    let mut config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(CI_SEED);
    }
    let cases = config.cases;
    let mut runner = TestRunner::new(config.clone());
    let result = runner.run(
        &Model::sequential_strategy(1..250),
        |(state, steps, seen)| {
            World::test_sequential(config.clone(), state, steps, seen);
            Ok(())
        },
    );
    println!("{cases} rounds: {:?}", TALLY.lock().unwrap());
    result.unwrap();
}
