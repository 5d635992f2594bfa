//! Measures orders through the ledger against the platform stand-in.
//!
//! `cargo run --release -p berylmount-ledger --example ledger_rate -- [SLOW_MS [ORDERS [CALLERS PROCESSES]]]`
//! prints one line for each number of callers and processes: orders a second,
//! platform calls and stored bytes for an order, the time to the permission, and
//! processor time, of which the stand-in takes its part.

use berylmount_ledger::{
    BeginOutcome, BodyDigest, LedgerConfig, LedgerTime, OrderIntent, OrderLedger, OrderOutcome,
    RecordedAnswer,
};
use berylmount_model::{unix_ms, CustomerName, OrderKey, PoolName, WorkName};
use berylmount_objects::{CallKind, ObjectStore, PlatformClient};
use berylmount_standins::{PlatformFaults, PlatformServer};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Clock ticks in a second, in which the kernel counts processor time.
const TICKS_PER_S: f64 = 100.0;

/// Processor time of this process so far, in seconds.
fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    (ticks(13).unwrap_or(0.0) + ticks(14).unwrap_or(0.0)) / TICKS_PER_S
}

/// Runs one order and returns how long its permission took.
fn run_one(ledger: &OrderLedger, key: &str) -> Option<Duration> {
    let order = OrderIntent {
        customer: CustomerName::new("north-crew").ok()?,
        key: OrderKey::new(key).ok()?,
        work: WorkName::new("work-order").ok()?,
        pool: PoolName::new("field-ledger").ok()?,
        body: BodyDigest::of(key.as_bytes()),
    };
    let time = LedgerTime {
        now_ms: 0,
        unix_ms: unix_ms(),
    };
    let start = Instant::now();
    let outcome = ledger.begin(&order, time).ok()?;
    let wait = start.elapsed();
    let BeginOutcome::Fresh(token) = outcome else {
        return None;
    };
    let answer = RecordedAnswer::of(&"a".repeat(200));
    token.permit(1)?.finish(OrderOutcome::Ran(Some(answer)));
    Some(wait)
}

/// Runs `orders` orders by `callers` threads over `processes` ledgers.
fn measure(slow_ms: u64, orders: usize, callers: usize, processes: usize) -> std::io::Result<()> {
    let server = PlatformServer::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
    server.set_faults(PlatformFaults {
        slow_ms,
        ..PlatformFaults::default()
    });
    let ledgers = (0..processes).map(|_| {
        let store: Arc<dyn ObjectStore> = Arc::new(PlatformClient::new(server.address()));
        OrderLedger::new(store, LedgerConfig::for_process(unix_ms()))
    });
    let ledgers = ledgers.collect::<std::io::Result<Vec<_>>>()?;
    let day = berylmount_ledger::LedgerDay::of_unix_ms(unix_ms());
    let processor = processor_seconds();
    let start = Instant::now();
    let mut waits: Vec<Duration> = thread::scope(|scope| {
        let threads = (0..callers).map(|caller| {
            let ledger = &ledgers[caller % processes];
            let numbers = (0..orders / callers).map(move |n| format!("{day}-{caller}-{n}"));
            scope.spawn(move || numbers.filter_map(|key| run_one(ledger, &key)).collect())
        });
        let threads: Vec<_> = threads.collect();
        let joined = threads.into_iter().filter_map(|thread| thread.join().ok());
        joined.collect::<Vec<Vec<_>>>().concat()
    });
    let seconds = start.elapsed().as_secs_f64();
    for ledger in &ledgers {
        ledger.stop(Duration::from_secs(30));
    }
    let processor_ms = (processor_seconds() - processor) * 1_000.0;
    waits.sort();
    let done = waits.len();
    let counts = server.store().counts();
    let heads = server.store().list("ledger/").unwrap_or_default();
    let stored: u64 = heads.iter().map(|head| head.bytes).sum();
    let share = |kind| counts.calls(kind) as f64 / done.max(1) as f64;
    let wait = |part: usize| waits.get(done * part / 100).map_or(0, Duration::as_millis);
    println!(
        "{callers:4} callers {processes} processes: {done} orders, {:.0}/s, {:.2} puts and {:.2} \
         gets an order, permission p50 {} p99 {} ms, {} segments, {} bytes and {:.2} ms \
         of processor an order",
        done as f64 / seconds,
        share(CallKind::Put),
        share(CallKind::Get),
        wait(50),
        wait(99),
        heads.len(),
        stored / done.max(1) as u64,
        processor_ms / done.max(1) as f64,
    );
    Ok(())
}

fn main() -> std::io::Result<()> {
    let argument = |at| std::env::args().nth(at).and_then(|text| text.parse().ok());
    let slow_ms = argument(1).unwrap_or(5);
    let orders = argument(2).unwrap_or(3_000) as usize;
    println!("platform answers after {slow_ms} ms");
    if let (Some(callers), Some(processes)) = (argument(3), argument(4)) {
        return measure(slow_ms, orders, callers as usize, processes as usize);
    }
    for (callers, processes) in [(1, 1), (16, 1), (64, 1), (256, 1), (64, 2), (64, 4)] {
        measure(slow_ms, orders, callers, processes)?;
    }
    Ok(())
}
