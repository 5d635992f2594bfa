//! Prints what a table of a given size costs: bytes of shards, times, memory.
//!
//! `cargo run --release -p berylmount-table --example table_size -- CUSTOMERS`

use berylmount_model::{CustomerName, CustomerRow, LimitRow, RowKind, TableRow, WorkName};
use berylmount_objects::ObjectStore;
use berylmount_standins::MemoryStore;
use berylmount_table::{
    parse_row, ColumnName, RowCells, RowChange, TableEdit, TableEditor, TableReplica, HEAD_KEY,
    SHARD_COUNT, SHARD_PREFIX,
};
use std::{
    error::Error,
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

/// Copies of the table that are loaded to tell the memory of one.
const COPIES: usize = 6;
/// Look-ups that are timed.
const LOOKUPS: u32 = 1_000_000;

fn rows(number: u32) -> Result<[TableRow; 2], Box<dyn Error>> {
    let name = CustomerName::new(&format!("customer-{number:05}"))?;
    let customer = TableRow::Customer(CustomerRow {
        name: name.clone(),
        key_hash: format!("{number:064x}"),
        weight: 1,
        rate_per_s: 10.5,
        burst: 20,
        in_flight: 8,
        version: None,
        cache_scope: name.to_string(),
    });
    let limit = TableRow::Limit(LimitRow {
        customer: name,
        work: WorkName::new("condition-report")?,
        rate_per_s: 0.5,
        burst: 4,
    });
    Ok([customer, limit])
}

fn edit(id: &str, rows: &[TableRow], expected: u64) -> TableEdit {
    let change = |row: &TableRow| RowChange {
        key: row.key(),
        expected,
        row: Some(row.clone()),
    };
    TableEdit {
        id: id.to_owned(),
        who: "size".to_owned(),
        at_ms: 0,
        digest: 0,
        changes: rows.iter().map(change).collect(),
    }
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let mut lines = status
        .lines()
        .filter_map(|line| line.strip_prefix("VmRSS:"));
    let value = lines.next().and_then(|text| text.split_whitespace().next());
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn load_copies(store: &MemoryStore) -> Result<Vec<TableReplica>, Box<dyn Error>> {
    let copies: Vec<_> = (0..COPIES).map(|_| TableReplica::new(0)).collect();
    for copy in &copies {
        copy.poll(store, 0, Duration::ZERO)?;
    }
    Ok(copies)
}

fn main() -> Result<(), Box<dyn Error>> {
    let argument = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "41000".to_owned());
    let customers: u32 = argument.parse()?;
    let store = MemoryStore::default();
    let editor = TableEditor::new(&store);
    let mut cells = RowCells::default();
    cells.set(ColumnName::Role, "service");
    let pool = parse_row(RowKind::Pool, "field-ledger", &cells);
    let mut cells = RowCells::default();
    cells.set(ColumnName::Pool, "field-ledger");
    let work = parse_row(RowKind::Work, "condition-report", &cells);
    let mut table: Vec<_> = [pool, work].into_iter().flatten().collect();
    for number in 0..customers {
        table.extend(rows(number)?);
    }
    editor.apply(&edit("import", &table, 0))?;
    let heads = store.list(SHARD_PREFIX)?;
    let sizes: Vec<u64> = heads.iter().map(|head| head.bytes).collect();
    let head_bytes = store.get(HEAD_KEY)?.map_or(0, |head| head.value.len());
    println!(
        "customers {customers}, rows {}, shards {SHARD_COUNT}",
        table.len()
    );
    println!(
        "bytes: all shards {}, largest {}, head {head_bytes}",
        sizes.iter().sum::<u64>(),
        sizes.iter().max().copied().unwrap_or(0),
    );

    let replica = TableReplica::new(0);
    let start = Instant::now();
    replica.poll(&store, 0, Duration::ZERO)?;
    println!("load of all shards: {:?}", start.elapsed());

    // The first copies fill what the import had freed.
    let filling = load_copies(&store)?;
    let before_kib = resident_kib();
    let copies = load_copies(&store)?;
    let grown_kib = resident_kib().saturating_sub(before_kib);
    println!("memory of one copy: {} KiB", grown_kib / COPIES as u64);
    drop((filling, copies));

    let start = Instant::now();
    editor.apply(&edit("one", &table[2..3], 1))?;
    let edited = start.elapsed();
    let start = Instant::now();
    replica.poll(&store, 0, Duration::ZERO)?;
    println!("one edit: {edited:?}, its load: {:?}", start.elapsed());
    let edited_bytes = store.get(HEAD_KEY)?.map_or(0, |head| head.value.len());
    println!("bytes that a process reads for it: {edited_bytes}");

    let start = Instant::now();
    let errors = replica.rule_errors().len();
    println!("rules of all rows: {:?}, {errors} errors", start.elapsed());

    let view = replica.view();
    let names: Vec<_> = (0..customers)
        .map(|n| CustomerName::new(&format!("customer-{n:05}")))
        .collect();
    let names: Vec<_> = names.into_iter().collect::<Result<_, _>>()?;
    let start = Instant::now();
    for at in 0..LOOKUPS as usize {
        black_box(view.customer(&names[at * 7919 % names.len()]));
    }
    println!("look-up of a customer: {:?}", start.elapsed() / LOOKUPS);
    Ok(())
}
