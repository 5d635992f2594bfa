//! Messages of membership.
//!
//! They travel on `probe` calls of the `wire` crate, whose path carries the
//! protocol version. [`PeerRequest::is_bounded`] and [`PeerReply::is_bounded`]
//! refuse what no correct process sends.

use crate::record::{PeerNote, PeerRecord, PeerStatus};
use berylmount_model::InstanceName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Changes on one message.
pub(crate) const MAX_CHANGES: usize = 4;

/// Room for changes on one message; a short note takes one.
pub(crate) const CHANGE_ROOM: usize = 4;

/// Room that a whole note takes.
pub(crate) const WHOLE_ROOM: usize = 3;

/// Records on one page of a synchronisation.
pub(crate) const MAX_PAGE: usize = 24;

/// Marks on one message, in bytes.
pub(crate) const MAX_MARKS: usize = 512;

/// Groups that members are divided into by a hash of their name.
pub(crate) const SEGMENTS: u8 = 8;

/// Distinct table heads on one message.
pub(crate) const MAX_HEADS: usize = 3;

/// Identifies an outstanding probe of one process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProbeId(pub u64);

/// A request to send.
#[derive(Clone, Debug)]
pub struct PeerProbe {
    /// Names it when its outcome is known.
    pub id: ProbeId,
    /// Where to send it.
    pub address: SocketAddr,
    /// Time limit for the reply, in milliseconds.
    pub timeout_ms: u64,
    /// What to send.
    pub request: PeerRequest,
}

/// A request between processes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks whether the receiver lives.
    Probe(ProbeRequest),
    /// Asks the receiver to probe another member for the sender.
    Relay {
        /// The member to probe.
        target: InstanceName,
        /// The sender's probe, passed on as it is.
        probe: ProbeRequest,
    },
}

/// A probe.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// The sender.
    pub from: PeerStatus,
    /// Changes of membership.
    pub changes: Vec<PeerNote>,
    /// Asks for a page of the receiver's members.
    pub sync: Option<SyncCursor>,
}

/// A place in the list of members.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SyncCursor {
    /// The segment asked for, none for all.
    pub segment: Option<u8>,
    /// The last name received before, none for the start.
    pub after: Option<InstanceName>,
}

/// A reply between processes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The probed process lives.
    Probe(Box<ProbeReply>),
    /// A relay got no answer.
    Unreached,
}

/// The reply to a probe.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// The replying process.
    pub from: PeerStatus,
    /// Changes of membership.
    pub changes: Vec<PeerNote>,
    /// Table heads of other members, without marks when a page is sent.
    pub summary: HeadSummary,
    /// The page that was asked for.
    pub page: Vec<PeerRecord>,
}

/// Table heads and loads of members, one byte a member.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HeadSummary {
    /// Hash over every record of a member that is not dead.
    pub digest: u32,
    /// The newest distinct heads, newest first.
    pub heads: Vec<u64>,
    /// Marks of some or all segments.
    pub segments: Vec<SegmentMarks>,
}

/// Marks of one segment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SegmentMarks {
    /// The segment.
    pub segment: u8,
    /// Hash over the segment's names; marks count only where it agrees.
    pub order: u32,
    /// One mark for each name in order.
    pub marks: Vec<u8>,
}

/// What a process does with a request.
#[derive(Clone, Debug)]
pub enum PeerAnswer {
    /// Send this reply.
    Reply(PeerReply),
    /// Send `probe` to `address`, and its reply or
    /// [`PeerReply::Unreached`] back.
    Forward {
        /// Where to send it.
        address: SocketAddr,
        /// What to send.
        probe: Box<ProbeRequest>,
    },
}

impl PeerRequest {
    /// Whether every length is within its bound.
    pub fn is_bounded(&self) -> bool {
        let (Self::Probe(probe) | Self::Relay { probe, .. }) = self;
        probe.changes.len() <= MAX_CHANGES
    }
}

impl PeerReply {
    /// Whether every length is within its bound.
    pub fn is_bounded(&self) -> bool {
        match self {
            Self::Probe(reply) => {
                let summary = &reply.summary;
                let marks: usize = summary.segments.iter().map(|marks| marks.marks.len()).sum();
                reply.changes.len() <= MAX_CHANGES
                    && reply.page.len() <= MAX_PAGE
                    && summary.heads.len() <= MAX_HEADS
                    && summary.segments.len() <= usize::from(SEGMENTS)
                    && marks <= MAX_MARKS
            }
            Self::Unreached => true,
        }
    }
}
