//! Stateful fuzz of replicas, freshness and edits against a simple oracle.
//!
//! Several processes with a copy each, operators at any of them, one platform.
//! Faults: outages, lost, dropped and late writes, one-sided cuts, restarts that
//! forget, answers that were made long before they are taken. `PROPTEST_CASES`
//! and `PROPTEST_RNG_SEED` make it longer and other.
#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

use berylmount_model::{InstanceName, ModelName, ModelRow, RowKey, TableRow, VersionName};
use berylmount_objects::{InstanceListing, ObjectStore, StoreError, StoredObject};
use berylmount_standins::{MemoryStore, WriteFault};
use berylmount_table::{
    shard_index, shard_key, EditError, PeerReport, RowChange, ShardDocument, TableEdit,
    TableEditor, TableReplica, FRESHNESS_MS, HEAD_KEY, SHARD_COUNT,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::time::Duration;

const ROWS: usize = 4;

/// A step of the world; numbers are taken modulo what they choose from.
#[derive(Clone, Copy, Debug)]
enum Step {
    Advance(u64),
    Outage(bool),
    CutPlatform(usize, bool),
    CutGets(usize, bool),
    CutPeer(usize, usize, bool),
    /// Cuts the processes whose bits are set from the platform and the others.
    Island(usize),
    Fault(WriteFault),
    DeliverLate,
    Watch(usize),
    StartWatch(usize),
    EndWatch(usize),
    Probe(usize, usize),
    ProbeAll(usize),
    WatchAll,
    AskAll(usize),
    MoveFlight(usize),
    Pull(usize, usize),
    Restart(usize),
    /// A restart without the platform, which gets its table from a peer.
    RestartCut(usize, usize),
    /// An edit that goes well wherever nothing is cut.
    Accept(usize, usize),
    ReadRow(usize, usize),
    Edit {
        process: usize,
        row: usize,
        delete: bool,
    },
    Repeat(usize),
    Repair(usize),
    HealAll,
}

/// The generator needs no state but the number of processes.
struct Generator;

impl ReferenceStateMachine for Generator {
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        (3..=5_usize).no_shrink().boxed()
    }

    fn transitions(count: &usize) -> BoxedStrategy<Step> {
        let process = 0..*count;
        let pair = (process.clone(), process.clone());
        let row = 0..ROWS;
        let fault = prop_oneof![
            Just(WriteFault::LoseAnswer),
            Just(WriteFault::LoseRequest),
            Just(WriteFault::Late)
        ];
        prop_oneof![
            6 => (50..2_500_u64).prop_map(Step::Advance),
            1 => any::<bool>().prop_map(Step::Outage),
            3 => (process.clone(), any::<bool>()).prop_map(|(p, cut)| Step::CutPlatform(p, cut)),
            3 => (pair.clone(), any::<bool>()).prop_map(|((p, q), cut)| Step::CutPeer(p, q, cut)),
            2 => (process.clone(), any::<bool>()).prop_map(|(p, cut)| Step::CutGets(p, cut)),
            3 => (0..1_usize << count).prop_map(Step::Island),
            2 => fault.prop_map(Step::Fault),
            1 => Just(Step::DeliverLate),
            6 => process.clone().prop_map(Step::Watch),
            4 => Just(Step::WatchAll),
            5 => process.clone().prop_map(Step::StartWatch),
            3 => process.clone().prop_map(Step::EndWatch),
            3 => pair.clone().prop_map(|(p, q)| Step::Probe(p, q)),
            8 => process.clone().prop_map(Step::ProbeAll),
            4 => process.clone().prop_map(Step::AskAll),
            5 => any::<usize>().prop_map(Step::MoveFlight),
            4 => pair.clone().prop_map(|(p, q)| Step::Pull(p, q)),
            2 => process.clone().prop_map(Step::Restart),
            4 => pair.clone().prop_map(|(p, q)| Step::RestartCut(p, q)),
            6 => (process.clone(), row.clone()).prop_map(|(p, r)| Step::Accept(p, r)),
            3 => (process.clone(), row.clone()).prop_map(|(p, r)| Step::ReadRow(p, r)),
            8 => (process.clone(), row, prop::bool::weighted(0.2))
                .prop_map(|(process, row, delete)| Step::Edit { process, row, delete }),
            3 => process.clone().prop_map(Step::Repeat),
            1 => process.prop_map(Step::Repair),
            1 => Just(Step::HealAll),
        ]
        .boxed()
    }

    fn apply(count: usize, _: &Step) -> usize {
        count
    }
}

/// The platform as one process reaches it.
struct Reach<'a> {
    store: &'a MemoryStore,
    cut: bool,
    cut_gets: bool,
}

impl Reach<'_> {
    fn store(&self) -> Result<&MemoryStore, StoreError> {
        if self.cut {
            Err(StoreError::Unavailable)
        } else {
            Ok(self.store)
        }
    }
}

impl ObjectStore for Reach<'_> {
    fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        if self.cut_gets {
            return Err(StoreError::Unavailable);
        }
        self.store()?.get(key)
    }
    fn put(&self, key: &str, expected: u64, value: &[u8]) -> Result<u64, StoreError> {
        self.store()?.put(key, expected, value)
    }
    fn delete(&self, key: &str, expected: u64) -> Result<(), StoreError> {
        self.store()?.delete(key, expected)
    }
    fn watch(
        &self,
        key: &str,
        after: u64,
        _: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.store()?.watch(key, after, Duration::ZERO)
    }
    fn list(&self, prefix: &str) -> Result<Vec<berylmount_objects::ObjectHead>, StoreError> {
        self.store()?.list(prefix)
    }
    fn instances_after(&self, version: u64) -> Result<Option<InstanceListing>, StoreError> {
        self.store()?.instances_after(version)
    }
}

/// A watch whose answer has been made but not taken.
struct PendingWatch {
    sent_ms: u64,
    known: u64,
    answer: Result<Option<StoredObject>, StoreError>,
}

struct Process {
    replica: TableReplica,
    cut: bool,
    cut_gets: bool,
    watch: Option<PendingWatch>,
    /// What an operator there has read: row version by row.
    read: [u64; ROWS],
    /// The edit whose fate is unclear.
    unclear: Option<TableEdit>,
    /// Stored edits that are not yet accepted.
    stored: Vec<Stored>,
    last_applied: u64,
    last_shards: Vec<u64>,
}

/// A question from one process to another.
struct Flight {
    from: usize,
    to: usize,
    asked_ms: u64,
    report: Option<PeerReport>,
}

/// An edit that is stored: its shard's version, and the head that names it.
struct Stored {
    id: String,
    shard: usize,
    version: u64,
    head: u64,
}

struct World {
    now_ms: u64,
    store: MemoryStore,
    processes: Vec<Process>,
    peer_cuts: Vec<(usize, usize)>,
    flights: Vec<Flight>,
    keys: Vec<RowKey>,
    edit_count: u64,
    /// With the time at which the operator was told.
    accepted: Vec<(Stored, u64)>,
    refused: Vec<(usize, String)>,
}

fn name(process: usize) -> InstanceName {
    InstanceName::new(&format!("p{process}")).unwrap()
}

fn model_key(name: &str) -> RowKey {
    let name = ModelName::new(name).unwrap();
    let version = VersionName::new("v0").unwrap();
    TableRow::Model(ModelRow { name, version }).key()
}

/// Keys of which the first two share a shard.
fn keys() -> Vec<RowKey> {
    let first = model_key("m0");
    let all = (1..).map(|number| model_key(&format!("m{number}")));
    let shared = all
        .clone()
        .find(|key| shard_index(key) == shard_index(&first));
    let others = all
        .filter(|key| shard_index(key) != shard_index(&first))
        .take(ROWS - 2);
    [first.clone()]
        .into_iter()
        .chain(shared)
        .chain(others)
        .collect()
}

fn new_process(index: usize, count: usize, now_ms: u64) -> Process {
    let replica = TableReplica::new(now_ms);
    let peers: Vec<_> = (0..count).filter(|&peer| peer != index).map(name).collect();
    replica.set_peers(&peers);
    Process {
        replica,
        cut: false,
        cut_gets: false,
        watch: None,
        read: [0; ROWS],
        unclear: None,
        stored: Vec::new(),
        last_applied: 0,
        last_shards: vec![0; SHARD_COUNT],
    }
}

impl World {
    fn reach(&self, process: usize) -> Reach<'_> {
        let Process { cut, cut_gets, .. } = self.processes[process];
        Reach {
            store: &self.store,
            cut,
            cut_gets,
        }
    }

    fn joined(&self, from: usize, to: usize) -> bool {
        from != to && !self.peer_cuts.contains(&(from, to))
    }

    /// Polls once, unless the one thread that does so waits for an answer.
    fn watch(&self, process: usize) {
        if self.processes[process].watch.is_some() {
            return;
        }
        let reach = self.reach(process);
        let _ = self.processes[process]
            .replica
            .poll(&reach, self.now_ms, Duration::ZERO);
    }

    fn probe(&self, from: usize, to: usize) {
        if self.joined(from, to) && self.joined(to, from) {
            let report = self.processes[to].replica.report_to_peer(self.now_ms);
            self.processes[from]
                .replica
                .peer_report(&name(to), report, self.now_ms);
        }
    }

    fn ask(&mut self, from: usize, to: usize) {
        let asked_ms = self.now_ms;
        let report = None;
        self.flights.push(Flight {
            from,
            to,
            asked_ms,
            report,
        });
        if self.joined(from, to) {
            self.move_flight(self.flights.len() - 1);
        }
    }

    fn move_flight(&mut self, at: usize) {
        if self.flights.is_empty() {
            return;
        }
        let mut flight = self.flights.swap_remove(at % self.flights.len());
        let Flight {
            from, to, asked_ms, ..
        } = flight;
        match flight.report {
            None if self.joined(from, to) => {
                flight.report = Some(self.processes[to].replica.report_to_peer(self.now_ms));
                self.flights.push(flight);
            }
            Some(report) if self.joined(to, from) => {
                self.processes[from]
                    .replica
                    .peer_report(&name(to), report, asked_ms);
            }
            _ => {}
        }
    }

    fn pull(&self, from: usize, to: usize) {
        if !self.joined(from, to) || !self.joined(to, from) {
            return;
        }
        let (replica, peer) = (&self.processes[from].replica, &self.processes[to].replica);
        replica.accept_head(&peer.offer()).unwrap();
        for index in self.keys.iter().map(shard_index) {
            if let Some((version, bytes)) = peer.export_shard(index) {
                replica.accept_shard(index, version, &bytes).unwrap();
            }
        }
    }

    fn edit(&mut self, process: usize, row: usize, delete: bool) {
        self.edit_count += 1;
        let key = self.keys[row].clone();
        let version = VersionName::new(&format!("v{}", self.edit_count)).unwrap();
        let model = ModelName::new(&key.name).unwrap();
        let after = TableRow::Model(ModelRow {
            name: model,
            version,
        });
        let expected = self.processes[process].read[row];
        let edit = TableEdit {
            id: format!("e{}", self.edit_count),
            who: name(process).to_string(),
            at_ms: self.now_ms,
            digest: self.edit_count,
            changes: vec![RowChange {
                key,
                expected,
                row: (!delete).then_some(after),
            }],
        };
        self.store_edit(process, edit);
    }

    fn store_edit(&mut self, process: usize, edit: TableEdit) {
        let key = edit.changes[0].key.clone();
        let shard = shard_index(&key);
        let before = self.document(shard);
        let current = before.row(&key).map_or(0, |row| row.version);
        let result = TableEditor::new(&self.reach(process)).apply(&edit);
        let operator = &mut self.processes[process];
        let repeat = operator.unclear.as_ref() == Some(&edit);
        match result {
            Ok(receipt) => {
                let fits = edit.changes[0].expected == current || before.holds_edit(&edit.id);
                assert!(fits, "an edit went over another");
                let row = self.keys.iter().position(|known| *known == key).unwrap();
                operator.read[row] = receipt.rows[0].1;
                operator.unclear = None;
                let version = self.store.peek(&shard_key(shard)).unwrap().version;
                let (id, head) = (edit.id, receipt.head_version);
                operator.stored.push(Stored {
                    id,
                    shard,
                    version,
                    head,
                });
            }
            Err(EditError::Unclear) => operator.unclear = Some(edit),
            Err(EditError::Unavailable) if repeat => {}
            Err(error) => {
                if let EditError::Conflicts(conflicts) = &error {
                    assert_eq!(conflicts[0].current, current);
                    assert_ne!(conflicts[0].expected, current, "a conflict without a cause");
                }
                operator.unclear = operator.unclear.take().filter(|_| !repeat);
                self.refused.push((shard, edit.id));
            }
        }
    }

    fn document(&self, shard: usize) -> ShardDocument {
        match self.store.peek(&shard_key(shard)) {
            Some(object) => ShardDocument::decode(shard, &object.value).unwrap(),
            None => ShardDocument::new(shard),
        }
    }

    fn heal(&mut self) {
        self.store.set_outage(false);
        self.store.clear_write_faults();
        self.peer_cuts.clear();
        for process in &mut self.processes {
            process.cut = false;
            process.cut_gets = false;
            process.watch = None;
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => self.now_ms += ms,
            Step::Outage(outage) => self.store.set_outage(outage),
            Step::CutPlatform(process, cut) => self.processes[process].cut = cut,
            Step::CutGets(process, cut) => self.processes[process].cut_gets = cut,
            Step::Island(mask) => self.island(mask),
            Step::CutPeer(from, to, true) => self.peer_cuts.push((from, to)),
            Step::CutPeer(from, to, false) => self.peer_cuts.retain(|cut| *cut != (from, to)),
            Step::Fault(fault) => self.store.add_write_fault(fault),
            Step::DeliverLate => self.store.deliver_late(),
            Step::Watch(process) => self.watch(process),
            Step::StartWatch(process) => {
                let known = self.processes[process].replica.known_head();
                let answer = self.reach(process).watch(HEAD_KEY, known, Duration::ZERO);
                let sent_ms = self.now_ms;
                self.processes[process].watch = Some(PendingWatch {
                    sent_ms,
                    known,
                    answer,
                });
            }
            Step::EndWatch(process) => {
                if let Some(watch) = self.processes[process].watch.take() {
                    let PendingWatch {
                        sent_ms,
                        known,
                        answer,
                    } = watch;
                    let replica = &self.processes[process].replica;
                    let _ = replica.take_watch(&self.reach(process), sent_ms, known, answer);
                }
            }
            Step::Probe(from, to) => self.probe(from, to),
            Step::ProbeAll(from) => (0..self.processes.len()).for_each(|to| self.probe(from, to)),
            Step::WatchAll => (0..self.processes.len()).for_each(|process| self.watch(process)),
            Step::AskAll(from) => (0..self.processes.len()).for_each(|to| self.ask(from, to)),
            Step::MoveFlight(at) => self.move_flight(at),
            Step::Pull(from, to) => self.pull(from, to),
            Step::Restart(process) => self.restart(process),
            Step::RestartCut(process, from) => {
                self.processes[process].cut = true;
                self.restart(process);
                self.pull(process, from);
            }
            Step::Accept(process, row) => {
                self.read_row(process, row);
                self.edit(process, row, false);
                self.take(Step::WatchAll);
                self.take(Step::ProbeAll(process));
            }
            Step::ReadRow(process, row) => self.read_row(process, row),
            Step::Edit {
                process,
                row,
                delete,
            } => self.edit(process, row, delete),
            Step::Repeat(process) => {
                if let Some(edit) = self.processes[process].unclear.clone() {
                    self.store_edit(process, edit);
                }
            }
            Step::Repair(process) => {
                let _ = TableEditor::new(&self.reach(process)).repair_head();
            }
            Step::HealAll => self.heal(),
        }
    }

    fn read_row(&mut self, process: usize, row: usize) {
        if let Ok(document) = TableEditor::new(&self.reach(process)).read(&self.keys[row]) {
            let version = document.row(&self.keys[row]).map_or(0, |row| row.version);
            self.processes[process].read[row] = version;
        }
    }

    fn island(&mut self, mask: usize) {
        let count = self.processes.len();
        let inside = |process: usize| mask >> process & 1 == 1;
        let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        self.peer_cuts = pairs
            .filter(|&(from, to)| inside(from) != inside(to))
            .collect();
        for (index, process) in self.processes.iter_mut().enumerate() {
            process.cut = inside(index);
        }
    }

    fn restart(&mut self, process: usize) {
        let cut = self.processes[process].cut;
        self.processes[process] = new_process(process, self.processes.len(), self.now_ms);
        self.processes[process].cut = cut;
        self.flights.retain(|flight| flight.from != process);
    }

    fn check(&mut self) {
        self.check_rise();
        self.check_rows();
        self.check_accepted();
        self.check_stored();
    }

    /// Per process the applied version never falls.
    fn check_rise(&mut self) {
        for process in &mut self.processes {
            let applied = process.replica.report(self.now_ms).applied;
            let shards: Vec<_> = process.replica.view().shard_versions().collect();
            assert!(applied >= process.last_applied, "an applied head fell");
            let mut pairs = shards.iter().zip(&process.last_shards);
            assert!(pairs.all(|(new, old)| new >= old), "an applied shard fell");
            process.last_applied = applied;
            process.last_shards = shards;
        }
    }

    /// A shard at the stored version has the stored rows, however it came.
    fn check_rows(&self) {
        for index in self.keys.iter().map(shard_index) {
            let stored = self
                .store
                .peek(&shard_key(index))
                .map_or(0, |object| object.version);
            let document = self.document(index);
            for process in &self.processes {
                let view = process.replica.view();
                let version = view.shard(index).unwrap().version();
                assert!(version <= stored, "a version that was never stored");
                if version == stored {
                    let rows = view.rows().filter(|row| shard_index(&row.key()) == index);
                    assert!(rows.eq(document.rows()), "rows differ from the stored ones");
                }
            }
        }
    }

    /// Accepts what is in force, then: past the time nobody serves by older rows.
    fn check_accepted(&mut self) {
        for process in &mut self.processes {
            let replica = &process.replica;
            let stored = std::mem::take(&mut process.stored).into_iter();
            let (accepted, waiting): (Vec<_>, Vec<_>) =
                stored.partition(|edit| replica.force(edit.head).accepted());
            process.stored = waiting;
            let at_ms = self.now_ms;
            self.accepted
                .extend(accepted.into_iter().map(|edit| (edit, at_ms)));
        }
        for (index, process) in self.processes.iter().enumerate() {
            if !process.replica.may_serve(self.now_ms) {
                continue;
            }
            let view = process.replica.view();
            for (edit, at_ms) in &self.accepted {
                let version = view.shard(edit.shard).unwrap().version();
                let late = self.now_ms - at_ms >= FRESHNESS_MS;
                assert!(
                    !late || version >= edit.version,
                    "{} is missing at {index}",
                    edit.id
                );
            }
        }
    }

    /// Accepted edits are stored once and stay, refused ones never appear.
    fn check_stored(&self) {
        for (edit, _) in &self.accepted {
            assert!(
                self.document(edit.shard).holds_edit(&edit.id),
                "{} is lost",
                edit.id
            );
        }
        for key in &self.keys {
            let document = self.document(shard_index(key));
            let mut ids: Vec<_> = document.history(key).map(|entry| &entry.edit).collect();
            ids.sort();
            assert!(
                ids.windows(2).all(|pair| pair[0] != pair[1]),
                "an edit ran twice"
            );
        }
        for (shard, id) in &self.refused {
            assert!(
                !self.document(*shard).holds_edit(id),
                "{id} was refused and is stored"
            );
        }
    }
}

struct TableFuzz;

impl StateMachineTest for TableFuzz {
    type SystemUnderTest = World;
    type Reference = Generator;

    fn init_test(count: &usize) -> World {
        let mut world = World {
            now_ms: 1_000_000,
            store: MemoryStore::default(),
            processes: (0..*count)
                .map(|index| new_process(index, *count, 1_000_000))
                .collect(),
            peer_cuts: Vec::new(),
            flights: Vec::new(),
            keys: keys(),
            edit_count: 0,
            accepted: Vec::new(),
            refused: Vec::new(),
        };
        // Everybody starts with a table, so that an old one is worth a vote.
        (0..ROWS).for_each(|row| world.edit(0, row, false));
        world.take(Step::WatchAll);
        world.take(Step::ProbeAll(0));
        world.check();
        assert_eq!(world.accepted.len(), ROWS);
        world
    }

    fn apply(mut world: World, _: &usize, step: Step) -> World {
        world.take(step);
        world.check();
        world
    }

    /// Once all is healed everybody serves by the stored table.
    fn teardown(mut world: World, count: usize) {
        world.heal();
        TableEditor::new(&world.store).repair_head().unwrap();
        (0..count).for_each(|process| world.watch(process));
        (0..count).for_each(|from| (0..count).for_each(|to| world.probe(from, to)));
        for process in &world.processes {
            assert!(process.replica.may_serve(world.now_ms));
            for key in &world.keys {
                let stored = world.document(shard_index(key)).row(key).cloned();
                assert_eq!(process.replica.view().row(key), stored.as_ref());
            }
        }
        world.check();
        let stored = world.processes.iter().map(|process| process.stored.len());
        assert_eq!(
            stored.sum::<usize>(),
            0,
            "a stored edit is in force and not accepted"
        );
    }
}

/// CI's size and seed, unless the environment says otherwise.
fn config() -> Config {
    let mut config = Config {
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = 400;
    }
    if std::env::var_os("PROPTEST_RNG_SEED").is_none() {
        config.rng_seed = RngSeed::Fixed(1);
    }
    config
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn accepted_edits_hold_everywhere(sequential 1..250 => TableFuzz);
}
