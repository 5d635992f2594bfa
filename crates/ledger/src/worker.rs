//! The thread of a lane and the handle by which others reach it.

use crate::{
    calls::make_call, CallReply, ChangeReply, ChangeRequest, ChangeTicket, LedgerConfig, LedgerLane,
};
use berylmount_objects::ObjectStore;
use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TryRecvError, TrySendError},
        Arc, Mutex, PoisonError,
    },
    thread::{Builder, JoinHandle},
    time::{Duration, Instant},
};

/// Longest rest of a lane's thread, so that it sees a stop.
const REST: Duration = Duration::from_millis(100);

/// A message to a lane's thread.
enum LaneMessage {
    /// A change, and where its reply goes.
    Change(Box<ChangeRequest>, Option<SyncSender<ChangeReply>>),
    /// Write what is owed until the deadline, then end.
    Stop(Instant),
}

/// What other threads see of a lane.
#[derive(Debug, Default)]
struct LaneStatus {
    down: AtomicBool,
    owed: AtomicUsize,
    stored: AtomicU64,
    conflicts: AtomicU64,
    unclear: AtomicU64,
}

impl LaneStatus {
    /// Counts a conditional write by what came of it.
    fn count_write(&self, reply: &CallReply) {
        let counter = match reply {
            CallReply::Written(_) => &self.stored,
            CallReply::Conflict => &self.conflicts,
            CallReply::Unclear => &self.unclear,
            _ => return,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Conditional writes by what came of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WriteCounts {
    /// Writes that the platform confirmed.
    pub stored: u64,
    /// Writes refused because another writer was faster.
    pub conflicts: u64,
    /// Writes whose answer was lost.
    pub unclear: u64,
}

/// The way to a lane's thread.
pub(crate) struct LaneHandle {
    sender: SyncSender<LaneMessage>,
    status: Arc<LaneStatus>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl LaneHandle {
    /// Starts a lane's thread.
    ///
    /// # Errors
    ///
    /// The system's error if it gives no thread.
    pub(crate) fn start(
        store: Arc<dyn ObjectStore>,
        config: LedgerConfig,
    ) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(config.lane_queue);
        let status = Arc::new(LaneStatus::default());
        let worker = LaneWorker {
            store,
            lane: LedgerLane::new(config),
            receiver,
            status: status.clone(),
            waiting: Vec::new(),
            last_ticket: 0,
            start: Instant::now(),
            stop: None,
        };
        let thread = Builder::new().name("ledger".to_owned());
        let thread = thread.spawn(move || worker.run())?;
        Ok(Self {
            sender,
            status,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Whether the platform did not answer the lane's last call.
    pub(crate) fn is_down(&self) -> bool {
        self.status.down.load(Ordering::Relaxed)
    }

    /// Outcomes and abandons that the platform has not taken yet.
    pub(crate) fn owed(&self) -> usize {
        self.status.owed.load(Ordering::Relaxed)
    }

    /// Adds the lane's conditional writes since the last call to `counts`.
    pub(crate) fn take_writes(&self, counts: &mut WriteCounts) {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        counts.stored += take(&self.status.stored);
        counts.conflicts += take(&self.status.conflicts);
        counts.unclear += take(&self.status.unclear);
    }

    /// Sends a change and waits at most `wait` for its reply.
    ///
    /// `None` says that nothing is known of the change yet.
    pub(crate) fn ask(&self, request: ChangeRequest, wait: Duration) -> Option<ChangeReply> {
        let (sender, receiver) = sync_channel(1);
        let message = LaneMessage::Change(Box::new(request), Some(sender));
        match self.sender.try_send(message) {
            Ok(()) => receiver.recv_timeout(wait).ok(),
            Err(_) => Some(ChangeReply::Unavailable),
        }
    }

    /// Sends a change that nobody waits for.
    pub(crate) fn note(&self, request: ChangeRequest) {
        let message = LaneMessage::Change(Box::new(request), None);
        match self.sender.try_send(message) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                log::error!(target: "ledger", "queue is full; an order stays without outcome");
            }
            Err(TrySendError::Disconnected(_)) => {
                log::error!(target: "ledger", "lane has ended; an order stays without outcome");
            }
        }
    }

    /// Lets the thread write what is owed until `deadline`, and joins it.
    pub(crate) fn stop(&self, deadline: Instant) {
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(thread) = thread.take() else {
            return;
        };
        let sent = self.sender.send(LaneMessage::Stop(deadline));
        if sent.is_err() || thread.join().is_err() {
            log::error!(target: "ledger", "lane ended before it was stopped");
        }
    }
}

/// The thread's state.
struct LaneWorker {
    store: Arc<dyn ObjectStore>,
    lane: LedgerLane,
    receiver: Receiver<LaneMessage>,
    status: Arc<LaneStatus>,
    /// Callers that wait, sorted by ticket.
    waiting: Vec<(ChangeTicket, SyncSender<ChangeReply>)>,
    last_ticket: ChangeTicket,
    start: Instant,
    stop: Option<Instant>,
}

impl LaneWorker {
    /// Takes messages and makes calls until told to stop.
    fn run(mut self) {
        loop {
            if !self.take_messages() || self.is_over() {
                break;
            }
            let now_ms = self.start.elapsed().as_millis() as u64;
            if let Some(call) = self.lane.next_call(now_ms) {
                let reply = make_call(self.store.as_ref(), &call);
                self.status.count_write(&reply);
                let now_ms = self.start.elapsed().as_millis() as u64;
                self.lane.take_reply(reply, now_ms);
            }
            self.deliver();
        }
        let owed = self.lane.owed();
        if owed > 0 {
            log::error!(target: "ledger", "stopped with {owed} outcomes unwritten");
        }
    }

    /// Whether the thread was told to stop and has nothing left to wait for.
    fn is_over(&self) -> bool {
        let idle = self.lane.is_idle();
        self.stop
            .is_some_and(|deadline| idle || Instant::now() >= deadline)
    }

    /// Takes all messages there are; rests first if there is nothing to do.
    ///
    /// Returns whether any sender is left.
    fn take_messages(&mut self) -> bool {
        let resting = self.stop.is_none() && (self.lane.is_idle() || self.lane.is_down());
        let paused = self.lane.is_down() && !self.lane.is_idle();
        if resting || paused {
            match self.receiver.recv_timeout(REST) {
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
        loop {
            match self.receiver.try_recv() {
                Ok(message) => self.take(message),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    /// Takes one message.
    fn take(&mut self, message: LaneMessage) {
        match message {
            LaneMessage::Stop(deadline) => self.stop = Some(deadline),
            LaneMessage::Change(request, None) => self.lane.submit(0, *request),
            LaneMessage::Change(request, Some(sender)) => {
                self.last_ticket += 1;
                self.waiting.push((self.last_ticket, sender));
                self.lane.submit(self.last_ticket, *request);
            }
        }
    }

    /// Hands replies to those who wait, and shows the lane's state.
    fn deliver(&mut self) {
        for (ticket, reply) in self.lane.take_replies() {
            let at = self.waiting.binary_search_by_key(&ticket, |(t, _)| *t);
            if let Ok(at) = at {
                let (_, sender) = self.waiting.remove(at);
                // A caller that no longer waits has dropped its token, which abandons the attempt.
                let _ = sender.try_send(reply);
            }
        }
        let down = self.lane.is_down();
        self.status.down.store(down, Ordering::Relaxed);
        self.status.owed.store(self.lane.owed(), Ordering::Relaxed);
    }
}
