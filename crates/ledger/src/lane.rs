//! A lane: the writers of some segments, one platform call at a time.
//!
//! A lane makes no call itself either. While the platform does not answer, it
//! refuses new attempts at once and probes now and then; what is owed waits.

use crate::{
    writer::{QueuedChange, SegmentWriter, StepOutput},
    CallReply, ChangeReply, ChangeRequest, ChangeTicket, LedgerChange, LedgerConfig, SegmentCall,
    SegmentName,
};

/// Object that is read to see whether the platform answers.
pub const PROBE_OBJECT: &str = "ledger/probe";

/// A call that a lane needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LaneCall {
    /// A call on a segment.
    Segment(SegmentName, SegmentCall),
    /// A read of [`PROBE_OBJECT`]; any answer of the platform will do.
    Probe,
}

/// Whether the platform answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PlatformHealth {
    /// The last call was answered.
    Up,
    /// The last call failed; the next may go out at this monotonic time.
    Down { probe_at_ms: u64 },
}

/// A cached writer.
#[derive(Debug)]
struct LaneSlot {
    name: SegmentName,
    writer: SegmentWriter,
    /// The lane's step count when the writer was last used.
    used: u64,
}

/// The writers of some segments.
#[derive(Debug)]
pub struct LedgerLane {
    config: LedgerConfig,
    /// Sorted by name.
    slots: Vec<LaneSlot>,
    health: PlatformHealth,
    /// The call without reply yet.
    current: Option<LaneCall>,
    output: StepOutput,
    steps: u64,
    owed: usize,
}

impl LedgerLane {
    /// A lane that knows no segment.
    ///
    /// ```
    /// use berylmount_ledger::{LedgerConfig, LedgerLane};
    ///
    /// let mut lane = LedgerLane::new(LedgerConfig::new(1));
    /// assert_eq!(lane.next_call(0), None);
    /// assert!(!lane.is_down());
    /// ```
    pub fn new(config: LedgerConfig) -> Self {
        Self {
            config,
            slots: Vec::new(),
            health: PlatformHealth::Up,
            current: None,
            output: StepOutput::default(),
            steps: 0,
            owed: 0,
        }
    }

    /// Whether the platform did not answer the last call.
    pub fn is_down(&self) -> bool {
        self.health != PlatformHealth::Up
    }

    /// Whether no change waits and no call is out.
    pub fn is_idle(&self) -> bool {
        self.current.is_none() && self.slots.iter().all(|slot| slot.writer.is_idle())
    }

    /// Takes a change; its reply comes from [`LedgerLane::take_replies`].
    pub fn submit(&mut self, ticket: ChangeTicket, request: ChangeRequest) {
        let begins = matches!(request.change, LedgerChange::Begin(_));
        if begins && (self.is_down() || self.owed >= self.config.max_owed) {
            self.output.replies.push((ticket, ChangeReply::Unavailable));
            return;
        }
        let root = request.place.root();
        self.push(root, QueuedChange::new(ticket, request));
    }

    /// Queues a change at a segment.
    fn push(&mut self, name: SegmentName, change: QueuedChange) {
        self.steps += 1;
        let at = match self.slots.binary_search_by_key(&name, |slot| slot.name) {
            Ok(at) => at,
            Err(at) => {
                self.slots.insert(at, self.new_slot(name));
                at
            }
        };
        let slot = &mut self.slots[at];
        slot.used = self.steps;
        slot.writer.push(change);
    }

    /// An empty slot.
    fn new_slot(&self, name: SegmentName) -> LaneSlot {
        LaneSlot {
            name,
            writer: SegmentWriter::new(name, self.config.segment_entries),
            used: self.steps,
        }
    }

    /// The next call; none while nothing is to do or the platform rests.
    ///
    /// The caller makes the call and hands its result to
    /// [`LedgerLane::take_reply`] before it asks again.
    pub fn next_call(&mut self, now_ms: u64) -> Option<LaneCall> {
        if self.current.is_some() {
            return None;
        }
        self.current = match self.health {
            PlatformHealth::Down { probe_at_ms } if now_ms < probe_at_ms => None,
            PlatformHealth::Down { .. } => Some(LaneCall::Probe),
            PlatformHealth::Up => self.next_segment_call(),
        };
        self.current.clone()
    }

    /// The first call that any writer needs, the longest waiting first.
    fn next_segment_call(&mut self) -> Option<LaneCall> {
        loop {
            let busy = self.slots.iter_mut().filter(|slot| !slot.writer.is_idle());
            let slot = busy.min_by_key(|slot| slot.used)?;
            let call = slot.writer.next_call(&mut self.output);
            self.steps += 1;
            slot.used = self.steps;
            let name = slot.name;
            self.forward();
            if let Some(call) = call {
                return Some(LaneCall::Segment(name, call));
            }
        }
    }

    /// Queues forwarded changes at their children.
    fn forward(&mut self) {
        for (name, change) in std::mem::take(&mut self.output.forwards) {
            self.push(name, change);
        }
    }

    /// Takes the result of the call that [`LedgerLane::next_call`] gave.
    pub fn take_reply(&mut self, reply: CallReply, now_ms: u64) {
        let Some(call) = self.current.take() else {
            return;
        };
        let failed = matches!(reply, CallReply::Unavailable);
        match call {
            LaneCall::Probe => self.note_health(failed || reply == CallReply::Unclear, now_ms),
            LaneCall::Segment(name, _) => {
                if let Ok(at) = self.slots.binary_search_by_key(&name, |slot| slot.name) {
                    let slot = &mut self.slots[at];
                    slot.writer.take_reply(reply, &mut self.output);
                }
                self.note_health(failed, now_ms);
            }
        }
        self.forward();
        self.count_owed();
        self.evict();
    }

    /// Notes whether the platform answered; refuses all waiting attempts if not.
    fn note_health(&mut self, failed: bool, now_ms: u64) {
        if !failed {
            self.health = PlatformHealth::Up;
            return;
        }
        if !self.is_down() {
            log::warn!(target: "ledger", "the platform does not answer; new orders are refused");
        }
        let probe_at_ms = now_ms + self.config.probe_ms;
        self.health = PlatformHealth::Down { probe_at_ms };
        for slot in &mut self.slots {
            slot.writer.refuse_waiting(&mut self.output);
        }
    }

    /// Counts outcomes and abandons that wait.
    fn count_owed(&mut self) {
        self.owed = self.slots.iter().map(|slot| slot.writer.owed()).sum();
    }

    /// Outcomes and abandons that the platform has not taken yet.
    pub fn owed(&self) -> usize {
        self.owed
    }

    /// Forgets the least recently used idle segments beyond the bound.
    fn evict(&mut self) {
        let mut weight: usize = self.slots.iter().map(|slot| slot.writer.weight()).sum();
        while weight > self.config.cached_entries {
            let idle = self.slots.iter().enumerate();
            let idle = idle.filter(|(_, slot)| slot.writer.is_idle());
            let Some((at, _)) = idle.min_by_key(|(_, slot)| slot.used) else {
                return;
            };
            weight -= self.slots.remove(at).writer.weight();
        }
    }

    /// The replies that came since the last call.
    pub fn take_replies(&mut self) -> Vec<(ChangeTicket, ChangeReply)> {
        std::mem::take(&mut self.output.replies)
    }
}
