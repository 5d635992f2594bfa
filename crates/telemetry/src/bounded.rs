//! Logs on standard output that never make a request wait.
//!
//! Records go through a bounded ring to a thread that writes them. When the
//! ring is full, records of less weight than a warning are dropped first, and
//! the thread writes how many were. [`BoundedLogs`] owns the thread: what waits
//! in the ring is written before the process ends, unless nobody reads it.

use crate::logging::{write_json, LogFault};
use flexi_logger::{writers::LogWriter, DeferredNow, Logger};
use log::{LevelFilter, Record};
use std::{
    io::{self, Write},
    panic::{self, PanicHookInfo},
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender, TrySendError},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Records that wait to be written: some seconds of a busy process.
const RING_RECORDS: usize = 4096;
/// Records from which on only warnings and errors are taken.
const FULL_RECORDS: usize = RING_RECORDS * 3 / 4;
/// Longest wait for the ring to be written at the end of the process: a small
/// part of the time that a planned stop has.
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// Time between two tries to close a ring that is full.
const CLOSE_INTERVAL: Duration = Duration::from_millis(5);

/// Counts of the ring.
#[derive(Debug, Default)]
struct RingCounts {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

/// How many records were dropped since the process started.
#[derive(Clone, Debug)]
pub struct DroppedRecords(Arc<RingCounts>);

impl DroppedRecords {
    /// Records dropped.
    pub fn count(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }
}

/// What goes through the ring.
enum RingItem {
    /// One record, with its line end.
    Line(Vec<u8>),
    /// Asks for a word once all before it has been written.
    Close(SyncSender<()>),
}

/// Owns the thread that writes records; dropping it waits for a bounded time
/// until all records before are written.
#[derive(Debug)]
pub struct BoundedLogs {
    ring: SyncSender<RingItem>,
    counts: Arc<RingCounts>,
}

impl BoundedLogs {
    /// How many records were dropped, for the metrics page.
    pub fn dropped(&self) -> DroppedRecords {
        DroppedRecords(self.counts.clone())
    }
}

impl Drop for BoundedLogs {
    fn drop(&mut self) {
        let end = Instant::now() + CLOSE_TIME;
        let (closed, wait_closed) = sync_channel(1);
        let mut item = RingItem::Close(closed);
        while let Err(TrySendError::Full(back)) = self.ring.try_send(item) {
            if Instant::now() >= end {
                return;
            }
            item = back;
            thread::sleep(CLOSE_INTERVAL);
        }
        // A reader of the logs that stands still must not hold up the end.
        let _ = wait_closed.recv_timeout(end.saturating_duration_since(Instant::now()));
    }
}

struct RingWriter {
    ring: SyncSender<RingItem>,
    counts: Arc<RingCounts>,
}

impl LogWriter for RingWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let counts = &self.counts;
        let is_grave = record.level() <= log::Level::Warn;
        if counts.waiting.load(Ordering::Relaxed) >= FULL_RECORDS && !is_grave {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        write_json(&mut line, now, record)?;
        line.push(b'\n');
        counts.waiting.fetch_add(1, Ordering::Relaxed);
        if self.ring.try_send(RingItem::Line(line)).is_err() {
            counts.waiting.fetch_sub(1, Ordering::Relaxed);
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts bounded logging on standard output for the whole process. A panic
/// leaves a record, too.
///
/// # Errors
///
/// Returns a [`LogFault`] when a logger was started before or the thread can't
/// be had.
///
/// ```
/// use berylmount_telemetry::start_bounded_logging;
///
/// let logs = start_bounded_logging(log::LevelFilter::Info).unwrap();
/// log::info!(target: "process", connections = 3; "serving");
/// assert_eq!(logs.dropped().count(), 0);
/// ```
pub fn start_bounded_logging(level: LevelFilter) -> Result<BoundedLogs, LogFault> {
    let (ring, records) = sync_channel(RING_RECORDS);
    let counts = Arc::new(RingCounts::default());
    let writer = RingWriter {
        ring: ring.clone(),
        counts: counts.clone(),
    };
    Logger::with(level)
        .log_to_writer(Box::new(writer))
        .start()?;
    let writer_counts = counts.clone();
    let thread = thread::Builder::new().name("logs".to_owned());
    thread.spawn(move || write_records(&records, &writer_counts))?;
    panic::set_hook(Box::new(log_panic));
    Ok(BoundedLogs { ring, counts })
}

/// Leaves a record of a panic, in place of the text on standard error.
fn log_panic(info: &PanicHookInfo<'_>) {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let fault = text.unwrap_or("no text");
    let place = info.location().map(ToString::to_string);
    let place = place.unwrap_or_default();
    log::error!(target: "process", fault, place; "panicked");
}

/// Writes records as long as the process lasts.
fn write_records(records: &Receiver<RingItem>, counts: &RingCounts) {
    let mut output = io::stdout();
    let mut reported = 0;
    while let Ok(item) = records.recv() {
        let line = match item {
            RingItem::Line(line) => line,
            RingItem::Close(closed) => {
                // Whoever asked may have stopped waiting.
                let _ = output.flush();
                let _ = closed.try_send(());
                continue;
            }
        };
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
        // Without a reader of the logs, serving goes on.
        let _ = output.write_all(&line);
        let dropped = counts.dropped.load(Ordering::Relaxed);
        if dropped > reported && counts.waiting.load(Ordering::Relaxed) < FULL_RECORDS / 2 {
            let text = format!("{{\"level\":\"WARN\",\"prefix\":\"logs\",\"message\":\"records dropped\",\"dropped\":{dropped}}}\n");
            let _ = output.write_all(text.as_bytes());
            reported = dropped;
        }
    }
}
