//! Asynchronous logs on standard output that never block a request.
//!
//! Records pass through a bounded queue to a thread that writes them. When the queue
//! is nearly full, records below the level of a warning are dropped; when it is full,
//! all are. The thread reports how many were dropped. [`BoundedLogs`] owns the thread:
//! dropping it waits until the queued records are written, for a limited time in case
//! nothing reads them.

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

/// Capacity of the queue in records: some seconds of logs from a busy process.
const QUEUE_RECORDS: usize = 4096;
/// Queue length in records from which only warnings and errors are accepted.
const NEARLY_FULL_RECORDS: usize = QUEUE_RECORDS * 3 / 4;
/// Time limit for writing the queued records when the process exits: a small part of
/// the grace period of a planned stop.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between attempts to send the close request to a full queue.
const CLOSE_INTERVAL: Duration = Duration::from_millis(5);

/// Counters of the queue.
#[derive(Debug, Default)]
struct QueueCounts {
    queued: AtomicUsize,
    dropped: AtomicU64,
}

/// Counter of the records dropped since the process started.
#[derive(Clone, Debug)]
pub struct DroppedRecords(Arc<QueueCounts>);

impl DroppedRecords {
    /// Returns the number of dropped records.
    pub fn count(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }
}

/// An item of the queue.
enum QueueItem {
    /// An encoded record with its newline.
    Line(Vec<u8>),
    /// Requests a notification once all earlier items are written.
    Close(SyncSender<()>),
}

/// Owner of the thread that writes records. Dropping it waits, for a limited time,
/// until all earlier records are written.
#[derive(Debug)]
pub struct BoundedLogs {
    queue: SyncSender<QueueItem>,
    counts: Arc<QueueCounts>,
}

impl BoundedLogs {
    /// Returns the counter of dropped records, for the metrics.
    pub fn dropped(&self) -> DroppedRecords {
        DroppedRecords(self.counts.clone())
    }
}

impl Drop for BoundedLogs {
    fn drop(&mut self) {
        let end = Instant::now() + CLOSE_TIMEOUT;
        let (close_sender, close_receiver) = sync_channel(1);
        let mut item = QueueItem::Close(close_sender);
        while let Err(TrySendError::Full(returned)) = self.queue.try_send(item) {
            if Instant::now() >= end {
                return;
            }
            item = returned;
            thread::sleep(CLOSE_INTERVAL);
        }
        // A stalled reader of the logs must not block the exit of the process.
        let _ = close_receiver.recv_timeout(end.saturating_duration_since(Instant::now()));
    }
}

struct QueueWriter {
    queue: SyncSender<QueueItem>,
    counts: Arc<QueueCounts>,
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let counts = &self.counts;
        let is_severe = record.level() <= log::Level::Warn;
        if counts.queued.load(Ordering::Relaxed) >= NEARLY_FULL_RECORDS && !is_severe {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        write_json(&mut line, now, record)?;
        line.push(b'\n');
        counts.queued.fetch_add(1, Ordering::Relaxed);
        if self.queue.try_send(QueueItem::Line(line)).is_err() {
            counts.queued.fetch_sub(1, Ordering::Relaxed);
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts bounded logging on standard output for the whole process. Panics are logged,
/// too.
///
/// # Errors
///
/// Returns a [`LogFault`] when a logger is already running or the thread cannot be
/// started.
///
/// ```
/// use berylmount_telemetry::start_bounded_logging;
///
/// let logs = start_bounded_logging(log::LevelFilter::Info).unwrap();
/// log::info!(target: "process", connections = 3; "serving");
/// assert_eq!(logs.dropped().count(), 0);
/// ```
pub fn start_bounded_logging(level: LevelFilter) -> Result<BoundedLogs, LogFault> {
    let (queue, records) = sync_channel(QUEUE_RECORDS);
    let counts = Arc::new(QueueCounts::default());
    let writer = QueueWriter {
        queue: queue.clone(),
        counts: counts.clone(),
    };
    Logger::with(level)
        .log_to_writer(Box::new(writer))
        .start()?;
    let writer_counts = counts.clone();
    let thread = thread::Builder::new().name("logs".to_owned());
    thread.spawn(move || write_records(&records, &writer_counts))?;
    panic::set_hook(Box::new(log_panic));
    Ok(BoundedLogs { queue, counts })
}

/// Logs a panic, instead of the default message on standard error.
fn log_panic(info: &PanicHookInfo<'_>) {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let fault = text.unwrap_or("the panic payload is not a string");
    let place = info.location().map(ToString::to_string);
    let place = place.unwrap_or_default();
    log::error!(target: "process", fault, place; "panicked");
}

/// Writes records for the lifetime of the process.
fn write_records(records: &Receiver<QueueItem>, counts: &QueueCounts) {
    let mut output = io::stdout();
    let mut reported = 0;
    while let Ok(item) = records.recv() {
        let line = match item {
            QueueItem::Line(line) => line,
            QueueItem::Close(close_sender) => {
                // The receiver may have timed out.
                let _ = output.flush();
                let _ = close_sender.try_send(());
                continue;
            }
        };
        counts.queued.fetch_sub(1, Ordering::Relaxed);
        // Write errors are ignored, so that serving continues without a log reader.
        let _ = output.write_all(&line);
        let dropped = counts.dropped.load(Ordering::Relaxed);
        if dropped > reported && counts.queued.load(Ordering::Relaxed) < NEARLY_FULL_RECORDS / 2 {
            let text = format!("{{\"level\":\"WARN\",\"prefix\":\"logs\",\"message\":\"records dropped\",\"dropped\":{dropped}}}\n");
            let _ = output.write_all(text.as_bytes());
            reported = dropped;
        }
    }
}
