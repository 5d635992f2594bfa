//! Editors that race, lose answers and die; damaged objects; the design size.
#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

use berylmount_model::{
    CustomerName, CustomerRow, LimitRow, ModelName, ModelRow, RowKey, TableRow, VersionName,
    WorkName,
};
use berylmount_objects::{
    InstanceListing, ObjectHead, ObjectStore, StoreError, StoredObject, MAX_VALUE_BYTES,
};
use berylmount_standins::{MemoryStore, WriteFault};
use berylmount_table::{
    shard_index, shard_key, EditError, HeadObject, ReplicaError, RowChange, TableEdit, TableEditor,
    TableReplica, HEAD_KEY, SHARD_PREFIX,
};
use proptest::prelude::*;
use std::{sync::Mutex, time::Duration};

fn model(name: &str, version: &str) -> TableRow {
    TableRow::Model(ModelRow {
        name: ModelName::new(name).unwrap(),
        version: VersionName::new(version).unwrap(),
    })
}

fn key(name: &str) -> RowKey {
    model(name, "v").key()
}

fn edit(id: &str, changes: Vec<(u64, TableRow)>) -> TableEdit {
    let change = |(expected, row): (u64, TableRow)| RowChange {
        key: row.key(),
        expected,
        row: Some(row),
    };
    TableEdit {
        id: id.to_owned(),
        who: "ana".to_owned(),
        at_ms: 1,
        digest: TableEdit::digest(id.as_bytes()),
        changes: changes.into_iter().map(change).collect(),
    }
}

/// Two model names whose rows share a shard, and one in another.
fn names() -> (String, String, String) {
    let index = |name: &String| shard_index(&key(name));
    let all = || (1..).map(|number| format!("m{number}"));
    let first = "m0".to_owned();
    let same = all().find(|name| index(name) == index(&first)).unwrap();
    let other = all().find(|name| index(name) != index(&first)).unwrap();
    (first, same, other)
}

/// Lets another editor in between an editor's reads and its first write.
struct RacingStore {
    store: MemoryStore,
    rival: Mutex<Option<TableEdit>>,
}

impl ObjectStore for RacingStore {
    fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.store.get(key)
    }
    fn put(&self, key: &str, expected: u64, value: &[u8]) -> Result<u64, StoreError> {
        if let Some(rival) = self.rival.lock().unwrap().take() {
            TableEditor::new(&self.store).apply(&rival).unwrap();
        }
        self.store.put(key, expected, value)
    }
    fn delete(&self, key: &str, expected: u64) -> Result<(), StoreError> {
        self.store.delete(key, expected)
    }
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.store.watch(key, after, wait)
    }
    fn list(&self, prefix: &str) -> Result<Vec<ObjectHead>, StoreError> {
        self.store.list(prefix)
    }
    fn instances_after(&self, version: u64) -> Result<Option<InstanceListing>, StoreError> {
        self.store.instances_after(version)
    }
}

#[test]
fn another_row_is_rebased_and_the_same_row_is_refused() {
    let (first, same, _) = names();
    let rival = Mutex::new(Some(edit("rival", vec![(0, model(&same, "v1"))])));
    let store = RacingStore {
        store: MemoryStore::default(),
        rival,
    };
    let editor = TableEditor::new(&store);
    editor
        .apply(&edit("e1", vec![(0, model(&first, "v1"))]))
        .unwrap();
    let document = editor.read(&key(&first)).unwrap();
    assert_eq!(document.rows().len(), 2);
    *store.rival.lock().unwrap() = Some(edit("rival2", vec![(2, model(&first, "v2"))]));
    let refused = editor.apply(&edit("e2", vec![(2, model(&first, "v3"))]));
    let Err(EditError::Conflicts(conflicts)) = refused else {
        panic!("{refused:?}")
    };
    insta::assert_snapshot!(conflicts[0], @"row model:m0 is at version 3, the edit was made for version 2");
    assert_ne!(conflicts[0].yours, conflicts[0].theirs);
}

#[test]
fn an_edit_of_many_rows_is_refused_whole() {
    let (first, _, other) = names();
    let store = MemoryStore::default();
    let editor = TableEditor::new(&store);
    editor
        .apply(&edit("e1", vec![(0, model(&other, "v1"))]))
        .unwrap();
    let both = edit(
        "e2",
        vec![(0, model(&first, "v1")), (0, model(&other, "v2"))],
    );
    assert!(matches!(editor.apply(&both), Err(EditError::Conflicts(_))));
    assert!(editor.read(&key(&first)).unwrap().rows().is_empty());
}

#[test]
fn a_part_stored_is_unclear_and_a_repeat_completes_it() {
    let (first, _, other) = names();
    let store = MemoryStore::default();
    let editor = TableEditor::new(&store);
    let both = edit(
        "e1",
        vec![(0, model(&first, "v1")), (0, model(&other, "v1"))],
    );
    // The head can't be written: 32 tries are lost after the two shards'.
    for _ in 0..2 {
        store.add_write_fault(WriteFault::LoseAnswer);
    }
    for _ in 0..32 {
        store.add_write_fault(WriteFault::LoseRequest);
    }
    assert_eq!(editor.apply(&both), Err(EditError::Unclear));
    assert!(store.peek(HEAD_KEY).is_none());
    store.clear_write_faults();
    let receipt = editor.apply(&both).unwrap();
    assert!(receipt.repeated);
    let replica = TableReplica::new(0);
    replica.poll(&store, 0, Duration::ZERO).unwrap();
    assert_eq!(replica.view().rows().count(), 2);
    assert_eq!(replica.report(0).applied, receipt.head_version);
}

#[test]
fn a_head_left_behind_is_repaired() {
    let (first, _, _) = names();
    let store = MemoryStore::default();
    let editor = TableEditor::new(&store);
    editor
        .apply(&edit("e1", vec![(0, model(&first, "v1"))]))
        .unwrap();
    let head = store.peek(HEAD_KEY).unwrap();
    let shard = shard_key(shard_index(&key(&first)));
    let object = store.peek(&shard).unwrap();
    store.put(&shard, object.version, &object.value).unwrap();
    assert!(editor.repair_head().unwrap() > head.version);
}

#[test]
fn platform_that_went_back_confirms_nothing() {
    let (first, _, _) = names();
    let store = MemoryStore::default();
    let replica = TableReplica::new(0);
    TableEditor::new(&store)
        .apply(&edit("e1", vec![(0, model(&first, "v1"))]))
        .unwrap();
    replica.poll(&store, 0, Duration::ZERO).unwrap();
    let older = MemoryStore::default();
    older.put(HEAD_KEY, 0, b"{}").unwrap();
    let error = replica.poll(&older, 9_000, Duration::ZERO).unwrap_err();
    assert!(matches!(
        error,
        ReplicaError::Store {
            error: StoreError::Conflict { .. },
            ..
        }
    ));
    assert!(replica
        .poll(&MemoryStore::default(), 9_000, Duration::ZERO)
        .is_err());
    assert!(!replica.may_serve(9_000));
    assert_eq!(replica.view().rows().count(), 1);
}

/// 41,000 customers, each with a limit, every row changed often.
#[test]
fn the_design_size_fits() {
    let store = MemoryStore::default();
    let editor = TableEditor::new(&store);
    let customer = |number: u32| {
        let name = CustomerName::new(&format!("customer-of-some-length-{number:05}")).unwrap();
        TableRow::Customer(CustomerRow {
            cache_scope: name.to_string(),
            name,
            key_hash: format!("{number:064x}"),
            weight: 1,
            rate_per_s: 10.5,
            burst: 20,
            in_flight: 8,
            version: Some(VersionName::new("blaze-2026-12").unwrap()),
        })
    };
    let limit = |number: u32| {
        TableRow::Limit(LimitRow {
            customer: CustomerName::new(&format!("customer-of-some-length-{number:05}")).unwrap(),
            work: WorkName::new("blaze-condition-report").unwrap(),
            rate_per_s: 0.5,
            burst: 4,
        })
    };
    let rows = (0..41_000).flat_map(|number| [customer(number), limit(number)]);
    editor
        .apply(&edit("import", rows.map(|row| (0, row)).collect()))
        .unwrap();
    let largest = store
        .list(SHARD_PREFIX)
        .unwrap()
        .iter()
        .map(|head| head.bytes)
        .max();
    assert!(largest.unwrap() < MAX_VALUE_BYTES as u64, "{largest:?}");
    let replica = TableReplica::new(0);
    replica.poll(&store, 0, Duration::ZERO).unwrap();
    let view = replica.view();
    assert_eq!(view.rows().count(), 82_000);
    let name = CustomerName::new("customer-of-some-length-40999").unwrap();
    let work = WorkName::new("blaze-condition-report").unwrap();
    assert_eq!(view.customer(&name).unwrap().name, name);
    assert_eq!(view.limit(&name, &work).unwrap().burst, 4);
}

/// Ways to damage a value: cut it, change a byte, or put something else there.
fn damage() -> impl Strategy<Value = (usize, usize, Vec<u8>)> {
    let other = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..40),
        Just(b"{\"shards\":[1]}".to_vec()),
        Just(b"{\"shards\":[-1]}".to_vec()),
        Just(b"{\"shards\":[1e99]}".to_vec()),
        Just(
            format!(
                "{{\"shards\":[{}]}}",
                vec!["99999999999999999999"; 128].join(",")
            )
            .into_bytes()
        ),
        Just(b"{\"format\":2,\"index\":0,\"edit_count\":0,\"rows\":[]}".to_vec()),
        Just("[".repeat(100_000).into_bytes()),
    ];
    (any::<usize>(), any::<usize>(), other)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Damaged objects never lose or change what a process applied, nor what is stored.
    #[test]
    fn damaged_objects_lose_nothing((way, place, other) in damage(), in_head in any::<bool>()) {
        let (first, same, _) = names();
        let store = MemoryStore::default();
        let editor = TableEditor::new(&store);
        editor.apply(&edit("e1", vec![(0, model(&first, "v1"))])).unwrap();
        let replica = TableReplica::new(0);
        replica.poll(&store, 0, Duration::ZERO).unwrap();
        let before = replica.view().row(&key(&first)).cloned();
        let shard = shard_key(shard_index(&key(&first)));
        let damaged = if in_head { HEAD_KEY.to_owned() } else { shard.clone() };
        let mut value = store.peek(&damaged).unwrap().value;
        let place = place % value.len();
        match way % 3 {
            0 => value.truncate(place),
            1 => value[place] = value[place].wrapping_add(1),
            _ => value = other,
        }
        store.corrupt(&damaged, &value);
        if !in_head {
            let head = store.peek(HEAD_KEY).unwrap();
            let version = store.peek(&shard).unwrap().version;
            let mut named = HeadObject::decode(head.version, &head.value).unwrap();
            named.head.raise(&[(shard_index(&key(&first)), version)]);
            store.put(HEAD_KEY, head.version, &named.encode()).unwrap();
        }
        let polled = replica.poll(&store, 9_000, Duration::ZERO);
        let after = replica.view().row(&key(&first)).cloned();
        if polled.is_err() {
            prop_assert_eq!(&before, &after);
            prop_assert!(!replica.may_serve(9_000));
            let edited = editor.apply(&edit("e2", vec![(0, model(&same, "v1"))]));
            if matches!(edited, Err(EditError::Damaged { .. })) {
                prop_assert_eq!(&store.peek(&damaged).unwrap().value, &value);
            }
        }
        for index in [0, shard_index(&key(&first)), usize::MAX] {
            let _ = replica.accept_shard(index, u64::MAX, &value);
        }
    }

    /// Any bytes as a sheet are read or refused.
    #[test]
    fn any_sheet_is_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200), start in any::<bool>()) {
        let mut sheet = if start { b"kind,name,version\n".to_vec() } else { Vec::new() };
        sheet.extend(bytes);
        if let Err(errors) = berylmount_table::read_sheet(&sheet) {
            prop_assert!(errors.iter().all(|error| !error.allowed.is_empty()));
        }
    }
}
