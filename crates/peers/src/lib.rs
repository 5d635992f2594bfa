//! Membership of the system's own processes.
//!
//! [`PeerBoard`] is a pure state machine: time, randomness and messages are
//! passed in, probes and replies come out. [`PeerMembership`] runs it over the
//! `wire` crate. Readers get a [`MemberView`], a sorted snapshot.
//!
//! Each round a process probes a few random and a few next-in-order members;
//! changes travel on the probes. A member that answers neither directly nor
//! through others is suspected, and dead unless it refutes in time. The
//! platform's lagging list only names addresses to try: it never makes a member
//! live or dead.

mod board;
mod changes;
mod config;
mod list;
mod marks;
mod membership;
mod merge;
mod message;
mod record;
mod sync;
mod table_feed;
mod table_pull;
mod targets;
mod view;

pub use crate::{
    board::PeerBoard,
    config::BoardConfig,
    membership::{MembershipParts, PeerMembership},
    message::{
        HeadSummary, PeerAnswer, PeerProbe, PeerReply, PeerRequest, ProbeId, ProbeReply,
        ProbeRequest, SegmentMarks, SyncCursor,
    },
    record::{LoadLevel, MemberState, PeerHealth, PeerNote, PeerRecord, PeerStatus, ProcessReport},
    table_feed::{feed_table, newer_member, process_report},
    table_pull::{pull_table, serve_table, PullFault, TableReply, TableRequest},
    view::{ConfirmedHead, MajorityHead, MemberInfo, MemberView},
};
