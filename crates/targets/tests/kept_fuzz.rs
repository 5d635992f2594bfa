//! Fuzzes the read safety of kept cache against a careless store.
//!
//! Two processes write, import, retire and free over two slots, while the
//! store frees pieces by itself, restarts, and lets readers and writers go on in
//! slots that belong to somebody else by now. The oracle: what is committed is
//! exactly the content of its key.
//!
//! With a *lazy* reader the engine repeats the checksum it was told, so only
//! the names protect; its writers keep to the transfer limit. Otherwise the
//! checksum is true, and writers and restarts keep to nothing. A *forgetful*
//! store has the same incarnation after a restart.

#![allow(clippy::unwrap_used)]

mod common;

use berylmount_model::{piece_chain, PieceKey, PIECE_TOKENS};
use berylmount_targets::kept::{
    ImportTicket, PieceRegistry, PieceSeal, RecomputeReason, SealedPiece, StoreConfirmation,
    StoredName,
};
use common::{fuzz_config, scope};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::net::SocketAddr;

const LIMIT_MS: u64 = 100;
const KEYS: u8 = 2;
const SLOTS: usize = 2;
/// Writers that go on at once; more would use up the steps of a run.
const WRITERS: usize = 3;

type Content = [u8; 2];

#[derive(Clone, Copy, Debug)]
struct Mode {
    lazy: bool,
    forgetful: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Reserve(usize, u8),
    Write(usize),
    Seal(usize),
    GiveUpWrite(usize),
    Import(usize, u8),
    Read(usize),
    Finish(usize),
    GiveUpImport(usize),
    Retire(usize, u8),
    Free(usize),
    Evict(usize),
    Restart,
    Wait(u64),
}

struct StepPlan;

impl ReferenceStateMachine for StepPlan {
    type State = Mode;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Mode> {
        let modes = (any::<bool>(), any::<bool>());
        modes
            .prop_map(|(lazy, forgetful)| Mode { lazy, forgetful })
            .boxed()
    }

    fn transitions(_: &Mode) -> BoxedStrategy<Step> {
        let process = 0..2_usize;
        let item = 0..3_usize;
        prop_oneof![
            3 => (process.clone(), 0..KEYS).prop_map(|(p, k)| Step::Reserve(p, k)),
            8 => item.clone().prop_map(Step::Write),
            4 => item.clone().prop_map(Step::Seal),
            4 => item.clone().prop_map(Step::GiveUpWrite),
            4 => (process.clone(), 0..KEYS).prop_map(|(p, k)| Step::Import(p, k)),
            8 => item.clone().prop_map(Step::Read),
            4 => item.clone().prop_map(Step::Finish),
            1 => item.clone().prop_map(Step::GiveUpImport),
            1 => (process.clone(), 0..KEYS).prop_map(|(p, k)| Step::Retire(p, k)),
            4 => process.prop_map(Step::Free),
            2 => item.prop_map(Step::Evict),
            1 => Just(Step::Restart),
            2 => (1..LIMIT_MS).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply(state: Mode, _: &Step) -> Mode {
        state
    }
}

struct Entry {
    name: StoredName,
    slot: usize,
    sealed: bool,
    retired: bool,
}

struct Writer {
    process: usize,
    name: StoredName,
    slot: usize,
    done: usize,
    started_ms: u64,
}

struct Reader {
    process: usize,
    ticket: ImportTicket,
    slot: usize,
    copy: Vec<u8>,
}

struct World {
    mode: Mode,
    now_ms: u64,
    processes: Vec<PieceRegistry>,
    slots: [Content; SLOTS],
    entries: Vec<Entry>,
    generation: u64,
    incarnation: u64,
    writers: Vec<Writer>,
    readers: Vec<Reader>,
    commits: u64,
}

fn keys() -> Vec<PieceKey> {
    piece_chain(
        &scope("a", "v1"),
        &"t ".repeat(PIECE_TOKENS * usize::from(KEYS)),
    )
}

thread_local! {
    static ALL_KEYS: Vec<PieceKey> = keys();
}

fn key(k: u8) -> PieceKey {
    ALL_KEYS.with(|keys| keys[usize::from(k)])
}

/// The one right content of a key.
fn content(key: PieceKey) -> Content {
    let place = ALL_KEYS.with(|keys| keys.iter().position(|k| *k == key).unwrap());
    [place as u8 + 1; 2]
}

fn seal(bytes: &[u8]) -> PieceSeal {
    PieceSeal {
        length: bytes.len() as u64,
        checksum: format!("{bytes:?}"),
    }
}

fn store() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

impl World {
    fn new(mode: Mode) -> Self {
        Self {
            mode,
            now_ms: 0,
            processes: (0..2).map(|p| PieceRegistry::new(p, LIMIT_MS)).collect(),
            slots: [[0; 2]; SLOTS],
            entries: Vec::new(),
            generation: 0,
            incarnation: 1,
            writers: Vec::new(),
            readers: Vec::new(),
            commits: 0,
        }
    }

    fn sealed(&self, key: PieceKey) -> Option<&Entry> {
        let mut entries = self.entries.iter();
        entries.find(|e| e.name.key == key && e.sealed && !e.retired)
    }

    fn reserve(&mut self, process: usize, key: PieceKey) {
        let used = |slot: &usize| self.entries.iter().any(|e| e.slot == *slot);
        let free = (0..SLOTS).find(|slot| !used(slot));
        let (None, Some(slot)) = (self.sealed(key), free) else {
            return;
        };
        if self.writers.len() == WRITERS {
            self.writers.remove(0);
        }
        self.generation += 1;
        let name = StoredName {
            key,
            nonce: self.processes[process].next_nonce(),
            generation: self.generation,
        };
        self.entries.push(Entry {
            name,
            slot,
            sealed: false,
            retired: false,
        });
        self.writers.push(Writer {
            process,
            name,
            slot,
            done: 0,
            started_ms: self.now_ms,
        });
    }

    fn write(&mut self, i: usize) {
        let Some(writer) = self.writers.get_mut(i) else {
            return;
        };
        let in_time = self.now_ms < writer.started_ms + LIMIT_MS;
        if writer.done < 2 && (in_time || !self.mode.lazy) {
            let half = writer.done;
            self.slots[writer.slot][half] = content(writer.name.key)[half];
            writer.done += 1;
        }
    }

    fn seal(&mut self, i: usize) {
        // A writer that claims to be done after one half is caught by the store.
        if self.writers.get(i).is_none_or(|writer| writer.done == 0) {
            return;
        }
        let writer = self.writers.remove(i);
        let mut entries = self.entries.iter_mut();
        let entry = entries.find(|e| e.name == writer.name && !e.retired);
        let own = seal(&self.slots[writer.slot]);
        let engine = seal(&content(writer.name.key));
        match entry {
            Some(entry) if PieceRegistry::seals_agree(&engine, &own) => entry.sealed = true,
            _ => self.processes[writer.process].retire(store(), writer.name, self.now_ms),
        }
    }

    /// The process gives up; the engine goes on writing.
    fn give_up_write(&mut self, i: usize) {
        if let Some(writer) = self.writers.get(i) {
            self.processes[writer.process].retire(store(), writer.name, self.now_ms);
        }
    }

    fn import(&mut self, process: usize, key: PieceKey) {
        let Some(entry) = self.sealed(key) else {
            return;
        };
        let piece = SealedPiece {
            name: entry.name,
            seal: seal(&content(key)),
        };
        let slot = entry.slot;
        let registry = &mut self.processes[process];
        let ticket = registry.begin_import(&[piece], self.incarnation, self.now_ms);
        self.readers.push(Reader {
            process,
            ticket,
            slot,
            copy: Vec::new(),
        });
    }

    fn read(&mut self, i: usize) {
        if let Some(reader) = self.readers.get_mut(i) {
            if reader.copy.len() < 2 {
                reader.copy.push(self.slots[reader.slot][reader.copy.len()]);
            }
        }
    }

    fn finish(&mut self, i: usize) {
        if self.readers.get(i).is_none_or(|r| r.copy.len() < 2) {
            return;
        }
        let reader = self.readers.remove(i);
        let told = reader.ticket.pieces().to_vec();
        let read: Vec<_> = told
            .iter()
            .map(|piece| match self.mode.lazy {
                true => (piece.name.key, piece.seal.clone()),
                false => (piece.name.key, seal(&reader.copy)),
            })
            .collect();
        let still = |piece: &&SealedPiece| {
            let mut entries = self.entries.iter();
            entries.any(|e| e.sealed && e.name == piece.name)
        };
        let confirmation = StoreConfirmation {
            incarnation: self.incarnation,
            pieces: told.iter().filter(still).cloned().collect(),
        };
        let registry = &mut self.processes[reader.process];
        for (key, verdict) in registry.finish_import(reader.ticket, &read, &confirmation) {
            if verdict.is_ok() {
                assert_eq!(reader.copy, content(key), "a wrong block was committed");
                self.commits += 1;
            }
        }
    }

    fn retire(&mut self, process: usize, key: PieceKey) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|e| e.name.key == key && e.sealed) {
            entry.retired = true;
            self.processes[process].retire(store(), entry.name, self.now_ms);
        }
    }

    fn free(&mut self, process: usize) {
        for (_, name) in self.processes[process].free_due(self.now_ms) {
            self.entries.retain(|e| e.name != name);
            self.processes[process].freed(&name);
        }
    }

    /// The store drops a piece of its own accord.
    fn evict(&mut self, i: usize) {
        let allowed = |entry: &Entry| entry.sealed || !self.mode.lazy;
        if self.entries.get(i).is_some_and(allowed) {
            self.entries.remove(i);
        }
    }

    fn restart(&mut self) {
        self.entries.retain(|e| e.sealed && e.slot == 0);
        self.generation = 0;
        if !self.mode.forgetful {
            self.incarnation += 1;
        }
        if self.mode.lazy {
            self.writers.clear();
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Reserve(process, k) => self.reserve(process, key(k)),
            Step::Write(i) => self.write(i),
            Step::Seal(i) => self.seal(i),
            Step::GiveUpWrite(i) => self.give_up_write(i),
            Step::Import(process, k) => self.import(process, key(k)),
            Step::Read(i) => self.read(i),
            Step::Finish(i) => self.finish(i),
            Step::GiveUpImport(i) if i < self.readers.len() => drop(self.readers.remove(i)),
            Step::GiveUpImport(_) => {}
            Step::Retire(process, k) => self.retire(process, key(k)),
            Step::Free(process) => self.free(process),
            Step::Evict(i) => self.evict(i),
            Step::Restart => self.restart(),
            Step::Wait(ms) => self.now_ms += ms,
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = World;
    type Reference = StepPlan;

    fn init_test(mode: &Mode) -> World {
        World::new(*mode)
    }

    fn apply(mut world: World, _: &Mode, step: Step) -> World {
        world.apply(&step);
        world
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn a_freed_or_half_written_block_is_never_committed(sequential 1..400 => World);
}

/// The commits after `steps`, each checked against the oracle.
fn commits(lazy: bool, forgetful: bool, steps: &[Step]) -> u64 {
    let mut world = World::new(Mode { lazy, forgetful });
    steps.iter().for_each(|step| world.apply(step));
    world.commits
}

#[test]
fn an_undisturbed_import_is_committed() {
    let steps = [
        Step::Reserve(0, 1),
        Step::Write(0),
        Step::Write(0),
        Step::Seal(0),
        Step::Import(1, 1),
        Step::Read(0),
        Step::Read(0),
        Step::Finish(0),
    ];
    for (lazy, forgetful) in [(false, false), (true, false), (false, true), (true, true)] {
        assert_eq!(commits(lazy, forgetful, &steps), 1);
    }
}

#[test]
fn a_slow_writer_meets_no_reused_slot() {
    let steps = [
        Step::Reserve(0, 0),
        Step::Write(0),
        Step::GiveUpWrite(0),
        Step::Free(0),
        Step::Reserve(1, 1),
        Step::Write(1),
        Step::Write(1),
        Step::Seal(1),
        Step::Write(0),
        Step::Import(1, 1),
        Step::Read(0),
        Step::Read(0),
        Step::Finish(0),
    ];
    assert_eq!(commits(true, true, &steps), 1);
}

#[test]
fn a_retired_name_waits_for_imports_in_flight() {
    let mut registry = PieceRegistry::new(1, LIMIT_MS);
    let name = StoredName {
        key: key(0),
        nonce: registry.next_nonce(),
        generation: 1,
    };
    let piece = SealedPiece {
        name,
        seal: seal(&content(key(0))),
    };
    registry.retire(store(), name, 0);
    let refused = registry.begin_import(std::slice::from_ref(&piece), 1, 0);
    assert!(refused.pieces().is_empty());
    registry.freed(&name);
    let ticket = registry.begin_import(std::slice::from_ref(&piece), 1, 50);
    registry.retire(store(), name, 20);
    assert!(registry.free_due(LIMIT_MS + 20).is_empty());
    let nothing = StoreConfirmation {
        incarnation: 1,
        pieces: Vec::new(),
    };
    let judged = registry.finish_import(ticket, &[], &nothing);
    assert_eq!(judged, [(key(0), Err(RecomputeReason::NotRead))]);
    assert_eq!(registry.free_due(LIMIT_MS + 20), [(store(), name)]);
}
