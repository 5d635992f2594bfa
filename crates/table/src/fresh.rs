//! Whether a process may judge new requests by the table that it has applied.
//!
//! # The rule
//!
//! A process may serve new requests while one of two things holds:
//!
//! 1. *Platform.* Within the last [`FRESHNESS_MS`] it, or a peer that has told it
//!    so, sent a call to the platform whose answer showed no head newer than the
//!    one that it has applied.
//! 2. *Peers.* More than half of the members (the entry and dispatch processes
//!    that it knows, itself included) have answered a question that it asked
//!    within the last [`FRESHNESS_MS`] with an applied head that is not newer
//!    than its own. A process that has not *joined* has no vote, its own
//!    included.
//!
//! Otherwise it refuses new requests as not run. An edit is reported accepted
//! only when it is stored and more than half of the members have applied it.
//!
//! # Why an accepted edit binds everybody within the time
//!
//! Let an edit of head version `h` be accepted at time `a`, and a process `p`
//! with an older table serve at `t > a + FRESHNESS_MS`. If it serves by the
//! platform, the call was sent after `a`, when the head was at least `h`, so
//! `p` has applied `h`: a contradiction. If it serves by its peers, more than
//! half of the members answered after `a`; one of them is among those that had
//! applied `h` by `a`. An applied head falls only by a restart, and a restarted
//! process has no vote until it joins: by the platform, which shows it `h`, or
//! by more than half of the members *without itself*, one of which had applied
//! `h`, and so on back to one that never restarted.
//!
//! # What follows from it
//!
//! - *The time of a confirmation is when the call was sent, not when it was
//!   answered.* A paused process or a slow answer must not make an old answer
//!   fresh. A watch that waits longer than [`FRESHNESS_MS`] confirms nothing.
//! - *A head that is known to be newer than the applied one confirms nothing
//!   until its shards are applied.* Until then the process goes on by its last
//!   confirmation, which was made before the newer head was stored, and so ends
//!   in time.
//! - *An answer with an older head than the applied one is a stale read* and
//!   confirms nothing either.
//! - *A confirmation from before the process's start does not let it join*, as
//!   it may have applied and forgotten newer edits since.
//!
//! # What it rests on
//!
//! The two majorities overlap if both are taken over the same members. So the
//! caller passes members only after it has learned all that some peer knows,
//! and keeps a silent member for as long as a partition may last, unless it
//! left in good order. When half of the members or more were replaced while
//! some were cut off from the platform and from all the new ones, or when a cut
//! outlasts the memory of members, the two need not overlap; this is not
//! covered. Clocks need not agree, only run at the same speed over a few seconds.

use berylmount_model::InstanceName;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// How long a confirmation lasts, in milliseconds.
pub const FRESHNESS_MS: u64 = 3_500;

/// What a process tells a peer that asks about its table.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// The head version whose shards it has applied.
    pub head: u64,
    /// Whether it has a vote.
    pub joined: bool,
    /// How long ago it was confirmed with the platform, in milliseconds, rounded up.
    pub confirmed_age_ms: Option<u64>,
}

/// By what a process may serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FreshnessState {
    /// The platform confirmed the table, directly or through a peer.
    Platform,
    /// More than half of the members confirmed it.
    Peers,
    /// Nobody did: new requests are refused as not run.
    Unconfirmed,
}

/// Who has applied a head.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ForceReport {
    /// The members that have, this process included.
    pub applied: usize,
    /// All members, this process included; zero while they are unknown.
    pub members: usize,
    /// The members that have not, or have not said so, in order.
    pub behind: Vec<InstanceName>,
}

impl ForceReport {
    /// Whether more than half of the members have applied it.
    pub fn accepted(&self) -> bool {
        is_majority(self.applied, self.members)
    }
}

/// A confirmation by the platform.
#[derive(Clone, Copy, Debug)]
struct HeadMark {
    sent_ms: u64,
    head: u64,
}

/// The last report of one peer.
#[derive(Clone, Copy, Debug)]
struct PeerMark {
    asked_ms: u64,
    head: u64,
    joined: bool,
}

/// One other member.
#[derive(Clone, Debug)]
struct ClockMember {
    name: InstanceName,
    mark: Option<PeerMark>,
}

/// Decides by the rule above; time is passed in.
///
/// ```
/// use berylmount_table::{FreshnessClock, FreshnessState};
///
/// let mut clock = FreshnessClock::new(0);
/// assert_eq!(clock.state(0), FreshnessState::Unconfirmed);
/// clock.confirmed_by_platform(0, 7);
/// assert_eq!(clock.state(0), FreshnessState::Unconfirmed);
/// clock.applied(7);
/// assert_eq!(clock.state(0), FreshnessState::Platform);
/// ```
#[derive(Clone, Debug)]
pub struct FreshnessClock {
    started_ms: u64,
    applied: u64,
    joined: bool,
    confirmed_ms: Option<u64>,
    pending: Option<HeadMark>,
    peers: Option<Vec<ClockMember>>,
}

impl FreshnessClock {
    /// A clock of a process that started at `started_ms` and has applied nothing.
    pub fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            applied: 0,
            joined: false,
            confirmed_ms: None,
            pending: None,
            peers: None,
        }
    }

    /// Takes the other members; a member that is gone loses its vote.
    ///
    /// Until the first call the members are unknown, and there is no majority.
    pub fn set_peers(&mut self, names: &[InstanceName]) {
        let mut names = names.to_vec();
        names.sort();
        names.dedup();
        let marks = self.peers.take().unwrap_or_default();
        let known = |name: InstanceName| {
            let found = marks.binary_search_by(|member| member.name.cmp(&name));
            let mark = found.ok().and_then(|at| marks[at].mark);
            ClockMember { name, mark }
        };
        self.peers = Some(names.into_iter().map(known).collect());
    }

    /// Takes a call to the platform, sent at `sent_ms`, that showed `head`.
    pub fn confirmed_by_platform(&mut self, sent_ms: u64, head: u64) {
        if head == self.applied {
            self.confirm(sent_ms);
        } else if head > self.applied {
            self.pend(HeadMark { sent_ms, head });
        }
    }

    /// Takes a peer's answer to a question that was asked at `asked_ms`.
    pub fn peer_report(&mut self, name: &InstanceName, report: PeerReport, asked_ms: u64) {
        let peers = self.peers.as_deref_mut().unwrap_or_default();
        let Ok(at) = peers.binary_search_by(|member| member.name.cmp(name)) else {
            return;
        };
        let mark = &mut peers[at].mark;
        let PeerReport { head, joined, .. } = report;
        if mark.is_none_or(|mark| mark.asked_ms <= asked_ms) {
            *mark = Some(PeerMark {
                asked_ms,
                head,
                joined,
            });
        }
        let confirmed = report.confirmed_age_ms;
        if let Some(sent_ms) = confirmed.and_then(|age_ms| asked_ms.checked_sub(age_ms)) {
            self.confirmed_by_peer(sent_ms, head);
        }
    }

    /// Takes a peer's word that a call of its, sent at or after `sent_ms` by
    /// this process's clock, showed no head newer than `head`.
    pub fn confirmed_by_peer(&mut self, sent_ms: u64, head: u64) {
        if sent_ms < self.started_ms {
            return;
        }
        if head <= self.applied {
            self.confirm(sent_ms);
        } else {
            self.pend(HeadMark { sent_ms, head });
        }
    }

    /// Takes the head whose shards are all applied by now.
    pub fn applied(&mut self, head: u64) {
        self.applied = self.applied.max(head);
        if let Some(mark) = self.pending {
            if mark.head <= self.applied {
                self.pending = None;
                self.confirm(mark.sent_ms);
            }
        }
    }

    fn confirm(&mut self, sent_ms: u64) {
        self.joined = true;
        self.confirmed_ms = self.confirmed_ms.max(Some(sent_ms));
    }

    fn pend(&mut self, mark: HeadMark) {
        let older = |pending: HeadMark| pending.sent_ms <= mark.sent_ms;
        if self.pending.is_none_or(older) {
            self.pending = Some(mark);
        }
    }

    /// Peers with a vote that have not applied anything newer than this process.
    fn votes(&self, now_ms: u64) -> usize {
        let marks = self.peers.iter().flatten().filter_map(|member| member.mark);
        let marks = marks.filter(|mark| mark.joined && mark.head <= self.applied);
        marks.filter(|mark| is_fresh(mark.asked_ms, now_ms)).count()
    }

    /// By what the process may serve at `now_ms`.
    pub fn state(&mut self, now_ms: u64) -> FreshnessState {
        let members = self.members();
        let votes = self.votes(now_ms);
        self.joined |= is_majority(votes, members);
        if self
            .confirmed_ms
            .is_some_and(|sent_ms| is_fresh(sent_ms, now_ms))
        {
            return FreshnessState::Platform;
        }
        if self.joined && is_majority(votes + 1, members) {
            return FreshnessState::Peers;
        }
        FreshnessState::Unconfirmed
    }

    /// What to tell a peer that asks at `now_ms`.
    pub fn report(&mut self, now_ms: u64) -> PeerReport {
        self.state(now_ms);
        let age_ms = |sent_ms| now_ms.saturating_sub(sent_ms) + 1;
        PeerReport {
            head: self.applied,
            joined: self.joined,
            confirmed_age_ms: self.confirmed_ms.map(age_ms),
        }
    }

    /// Who has applied `head`.
    pub fn force(&self, head: u64) -> ForceReport {
        let peers = self.peers.iter().flatten();
        let lacks = |member: &&ClockMember| member.mark.is_none_or(|mark| mark.head < head);
        let behind: Vec<_> = peers
            .filter(lacks)
            .map(|member| member.name.clone())
            .collect();
        let members = self.members();
        let others = members.saturating_sub(1 + behind.len());
        ForceReport {
            applied: others + usize::from(self.applied >= head),
            members,
            behind,
        }
    }

    /// All members, this process included; zero while they are unknown.
    fn members(&self) -> usize {
        self.peers.as_ref().map_or(0, |peers| peers.len() + 1)
    }

    /// When the platform last confirmed the table, by this process's clock.
    pub fn confirmed_ms(&self) -> Option<u64> {
        self.confirmed_ms
    }
}

/// Whether `votes` are more than half of `members`; of no members nothing is.
fn is_majority(votes: usize, members: usize) -> bool {
    members > 0 && votes * 2 > members
}

fn is_fresh(then_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(then_ms) < FRESHNESS_MS
}
