//! What processes tell each other of a member.

use berylmount_model::{DataCentre, InstanceName, InstanceRole};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumIter, FromRepr, IntoStaticStr};
use xxhash_rust::xxh3::xxh3_64;

/// Whether a member answers.
///
/// Later variants override earlier ones of the same incarnation and refutation.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum PeerHealth {
    /// It answers.
    Live,
    /// It did not answer and may refute.
    Suspect,
    /// It did not refute in time, or said that it stops.
    Dead,
}

/// State of a member as readers see it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It takes work.
    Live,
    /// It did not answer and may refute.
    Suspect,
    /// It finishes what it has; also when it is suspected meanwhile.
    Leaving,
    /// It is gone.
    Dead,
}

/// How busy a process is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum LoadLevel {
    /// Under a quarter of its bound in flight.
    #[default]
    Idle,
    /// Under a half.
    Normal,
    /// Under nine tenths.
    Busy,
    /// At its bound.
    Full,
}

impl LoadLevel {
    /// The level of `in_flight` requests where `bound` are allowed.
    ///
    /// ```
    /// use berylmount_peers::LoadLevel;
    ///
    /// assert_eq!(LoadLevel::of(0, 512), LoadLevel::Idle);
    /// assert_eq!(LoadLevel::of(512, 512), LoadLevel::Full);
    /// ```
    pub fn of(in_flight: usize, bound: usize) -> Self {
        match in_flight.saturating_mul(20) / bound.max(1) {
            0..5 => Self::Idle,
            5..10 => Self::Normal,
            10..18 => Self::Busy,
            _ => Self::Full,
        }
    }
}

/// One member as a process knows it.
///
/// Of two records with one name the one with the higher precedence holds:
/// incarnation, then refutation, then health. A member raises only its own
/// refutation, so that only it can take a suspicion back.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// Name, unique among processes that run at one time.
    pub name: InstanceName,
    /// Fixed for the life of a process; higher for a later process of the name.
    pub incarnation: u64,
    /// Counts the member's own statements within an incarnation.
    pub refutation: u32,
    /// Whether it answers.
    pub health: PeerHealth,
    /// Whether it finishes what it has and takes nothing new.
    pub leaving: bool,
    /// Entry or dispatch.
    pub role: InstanceRole,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it; only entries have one.
    pub caller_address: Option<SocketAddr>,
}

impl PeerRecord {
    /// Orders records of one name; the highest holds.
    pub fn precedence(&self) -> (u64, u32, PeerHealth) {
        (self.incarnation, self.refutation, self.health)
    }

    /// The state that readers see.
    pub fn state(&self) -> MemberState {
        match (self.health, self.leaving) {
            (PeerHealth::Dead, _) => MemberState::Dead,
            (_, true) => MemberState::Leaving,
            (PeerHealth::Suspect, false) => MemberState::Suspect,
            (PeerHealth::Live, false) => MemberState::Live,
        }
    }
}

/// A record as it travels.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum PeerNote {
    /// All of it, for receivers that may not know the member.
    Whole(PeerRecord),
    /// What changes of it, for receivers that know the member.
    Short {
        /// Hash of the name.
        place: u64,
        /// As in the record.
        incarnation: u64,
        /// As in the record.
        refutation: u32,
        /// As in the record.
        health: PeerHealth,
        /// As in the record.
        leaving: bool,
    },
}

impl PeerNote {
    /// The short form of `record`.
    pub(crate) fn short(record: &PeerRecord) -> Self {
        Self::Short {
            place: place_of(&record.name),
            incarnation: record.incarnation,
            refutation: record.refutation,
            health: record.health,
            leaving: record.leaving,
        }
    }
}

/// The place of a name in the order in which members probe each other.
///
/// A hash, so that members of one data centre don't follow each other.
pub(crate) fn place_of(name: &InstanceName) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}

/// What a process says of its table and its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ProcessReport {
    /// Version of the table head that it applies.
    pub head: u64,
    /// Whether it has a vote on the table, see the `table` crate.
    pub voting: bool,
    /// How long ago the platform confirmed its table, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// How busy it is.
    pub load: LoadLevel,
}

/// What a process says of itself in every message.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its own record.
    pub note: PeerNote,
    /// Its table and its load.
    pub report: ProcessReport,
}
