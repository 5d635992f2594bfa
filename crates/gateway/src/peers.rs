//! What other instances tell of themselves.
//!
//! Each instance sends a small datagram to every other one at a steady pace:
//! that it lives, how far its copies of the store go, and its part of every
//! runner's load. Datagrams may be lost; the next one says it all again.

use crate::{instances::InstanceEntry, store_watch::WatchedKind};
use berylmount_adapter::store_client::EraRevision;
use berylmount_policy::{
    engine_pace::EnginePace,
    shared_duties::{rank_among, DutyMember},
};
use rand::{rng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::EnumCount;
use xxhash_rust::xxh3::xxh3_64;

/// Silence after which an instance is taken as gone, in intervals of its heartbeats.
const SILENT_HEARTBEATS: u64 = 6;
/// Least silence after which an instance is taken as gone, in milliseconds.
const LEAST_SILENCE_MS: u64 = 1200;
/// Time after which a silent instance gets no more heartbeats, in milliseconds.
const FORGET_MS: u64 = 15_000;
/// Pace of heartbeats for each instance, in milliseconds, so that the datagrams that
/// an instance gets in a second don't grow with the fleet.
const PACE_MS: u64 = 3;
/// Shortest and longest interval of heartbeats, in milliseconds.
const INTERVAL_MS: (u64, u64) = (100, 1000);
/// Live instances beyond the own from which on only some ask stores and tell the
/// others. Below it, asking costs less than being told late.
const LARGE_FLEET: usize = 12;
/// Form of a heartbeat; heartbeats of another form are left out.
const HEARTBEAT_FORMAT: u8 = 4;

/// The key under which instances speak of a runner, store or service.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A part of a runner's load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct LoadShare {
    /// Requests that have not ended.
    pub(crate) running: u32,
    /// Their prompt tokens whose first event has not come.
    pub(crate) unread_tokens: u64,
    /// Tokens of memory that they need.
    pub(crate) booked_tokens: u64,
}

impl LoadShare {
    /// Adds another part.
    pub(crate) fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
        self.booked_tokens += other.booked_tokens;
    }
}

/// The load that other instances put on runners, by runner key.
#[derive(Debug)]
pub(crate) struct PeerLoads(Vec<(u64, LoadShare)>);

impl PeerLoads {
    /// The load on one runner.
    pub(crate) fn on(&self, runner_key: u64) -> LoadShare {
        let found = self.0.binary_search_by_key(&runner_key, |(key, _)| *key);
        found.map_or_else(|_| LoadShare::default(), |index| self.0[index].1)
    }
}

/// What the holder of the duty tells.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HolderNotice {
    /// Its term.
    pub(crate) term: u64,
    /// Weights, by model, below which no cached part is fetched.
    pub(crate) retired: Vec<(String, u64)>,
    /// Keys of runners that are about to load weights and should get no work.
    pub(crate) switching: Vec<u64>,
}

/// What an instance tells of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PeerHeartbeat {
    format: u8,
    /// Its name.
    pub(crate) name: String,
    /// Its addresses and data centre.
    pub(crate) entry: InstanceEntry,
    /// When its process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// What its machine bears, in thousandths of a core.
    pub(crate) strength: u32,
    /// Whether it takes callers' requests.
    pub(crate) is_ready: bool,
    /// For each followed kind, the revision of the last change that it knows.
    pub(crate) changed_at: [EraRevision; WatchedKind::COUNT],
    /// The version of the table in force; 0 if none is.
    pub(crate) table_version: u64,
    /// Named weights: model, version, and milliseconds since they were named.
    pub(crate) goals: Vec<(String, u64, u64)>,
    /// For each followed kind, whether it follows the store and has contact.
    pub(crate) in_contact: [bool; WatchedKind::COUNT],
    /// Loads by runner key, without idle runners.
    pub(crate) loads: Vec<(u64, LoadShare)>,
    /// Requests a second that it has for each service of engines, and that end
    /// there, by the service's key.
    pub(crate) paces: Vec<(u64, u32, u32)>,
    /// What it has learned of the engines of services, by the service's key.
    pub(crate) engine_paces: Vec<(u64, EnginePace)>,
    /// Lags of stores that it has seen: key of the store and milliseconds.
    pub(crate) lags: Vec<(u64, u32)>,
    /// Retired weights of which it has no fetch under way.
    pub(crate) confirmed: Vec<(String, u64)>,
    /// What the holder of the duty tells.
    pub(crate) duty: Option<HolderNotice>,
    /// The clock of runners and stores, in milliseconds.
    pub(crate) runner_clock_ms: Option<u64>,
}

impl PeerHeartbeat {
    /// A heartbeat of an instance.
    pub(crate) fn new(name: &str, entry: InstanceEntry, started_ms: u64) -> Self {
        Self {
            format: HEARTBEAT_FORMAT,
            name: name.to_owned(),
            entry,
            started_ms,
            strength: 0,
            is_ready: false,
            changed_at: [EraRevision::default(); WatchedKind::COUNT],
            table_version: 0,
            in_contact: [false; WatchedKind::COUNT],
            goals: Vec::new(),
            loads: Vec::new(),
            lags: Vec::new(),
            paces: Vec::new(),
            engine_paces: Vec::new(),
            confirmed: Vec::new(),
            duty: None,
            runner_clock_ms: None,
        }
    }

    /// Whether this process understands the heartbeat.
    pub(crate) fn is_understood(&self) -> bool {
        self.format == HEARTBEAT_FORMAT
    }
}

/// A change of what a store keeps: key of the part, number of the event, tokens,
/// and whether it was added.
pub(crate) type CacheChange = (u64, u64, u32, bool);

/// What a follower of a store passes on to those that don't follow it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CacheGossip {
    /// The store's key.
    pub(crate) store: u64,
    /// The epoch of its memory.
    pub(crate) epoch: u64,
    /// The number from which the changes go on.
    pub(crate) since: u64,
    /// The number up to which they go.
    pub(crate) next: u64,
    pub(crate) changes: Vec<CacheChange>,
}

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum PeerMessage {
    /// What an instance tells of itself.
    Heartbeat(Box<PeerHeartbeat>),
    /// What a store keeps, with the name of the instance that follows it.
    Kept(String, CacheGossip),
    /// A long prompt that an instance has just sent to a runner: its name, the
    /// runner's key, and the load that it adds.
    Placed(String, u64, LoadShare),
}

/// Another instance.
#[derive(Clone, Debug)]
struct KnownPeer {
    heartbeat: PeerHeartbeat,
    heard_at_ms: u64,
}

/// All other instances that were heard, by name.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: Vec<KnownPeer>,
    /// Whether this process has listened for as long as instances are remembered.
    is_settled: bool,
}

impl PeerTable {
    /// The interval of heartbeats, in milliseconds.
    pub(crate) fn interval_ms(&self) -> u64 {
        let (least, most) = INTERVAL_MS;
        (PACE_MS * (self.peers.len() as u64 + 1)).clamp(least, most)
    }

    fn silence_ms(&self) -> u64 {
        (self.interval_ms() * SILENT_HEARTBEATS).max(LEAST_SILENCE_MS)
    }

    /// Takes a heartbeat; returns whether its sender was not known to live.
    pub(crate) fn note_heartbeat(&mut self, heartbeat: PeerHeartbeat, now_ms: u64) -> bool {
        let heard_at_ms = now_ms;
        let silence_ms = self.silence_ms();
        match self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.cmp(&heartbeat.name))
        {
            Ok(index) => {
                let known = &mut self.peers[index];
                let was_silent = now_ms.saturating_sub(known.heard_at_ms) > silence_ms;
                *known = KnownPeer {
                    heartbeat,
                    heard_at_ms,
                };
                was_silent
            }
            Err(index) => {
                self.peers.insert(
                    index,
                    KnownPeer {
                        heartbeat,
                        heard_at_ms,
                    },
                );
                true
            }
        }
    }

    /// Adds to the load that an instance puts on a runner, until its next heartbeat.
    pub(crate) fn note_placed(&mut self, name: &str, runner: u64, share: LoadShare) {
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.as_str().cmp(name));
        if let Ok(index) = found {
            self.peers[index].heartbeat.loads.push((runner, share));
        }
    }

    /// Forgets instances that have been silent for long.
    ///
    /// `begun_ms` is when this process began to listen.
    pub(crate) fn forget_silent(&mut self, begun_ms: u64, now_ms: u64) {
        self.is_settled = now_ms.saturating_sub(begun_ms) >= FORGET_MS;
        self.peers
            .retain(|peer| now_ms.saturating_sub(peer.heard_at_ms) < FORGET_MS);
    }

    fn live(&self, now_ms: u64) -> impl Iterator<Item = &KnownPeer> {
        let silence_ms = self.silence_ms();
        let is_live =
            move |peer: &&KnownPeer| now_ms.saturating_sub(peer.heard_at_ms) <= silence_ms;
        self.peers.iter().filter(is_live)
    }

    /// How many instances live.
    pub(crate) fn live_count(&self, now_ms: u64) -> usize {
        self.live(now_ms).count()
    }

    /// Addresses for callers of the instances that live and take requests.
    pub(crate) fn ready_callers(&self, now_ms: u64) -> Vec<SocketAddr> {
        let ready = self.live(now_ms).filter(|peer| peer.heartbeat.is_ready);
        ready.map(|peer| peer.heartbeat.entry.callers).collect()
    }

    /// Addresses for other instances of all that are known.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.iter().map(|peer| peer.heartbeat.entry.peers)
    }

    /// How many live instances come before `own` for a duty that few do.
    pub(crate) fn rank_of(&self, own: DutyMember<'_>, duty: &str, now_ms: u64) -> usize {
        let others = self.live(now_ms).map(|peer| DutyMember {
            name: &peer.heartbeat.name,
            strength: peer.heartbeat.strength,
        });
        rank_among(duty, own, &others.collect::<Vec<_>>())
    }

    /// Whether the fleet is so large that only some instances ask and tell the others.
    pub(crate) fn is_large(&self, now_ms: u64) -> bool {
        self.live_count(now_ms) >= LARGE_FLEET
    }

    /// How many live instances follow a kind and have contact with the store.
    pub(crate) fn in_contact(&self, kind: WatchedKind, now_ms: u64) -> usize {
        self.live(now_ms)
            .filter(|peer| peer.heartbeat.in_contact[kind as usize])
            .count()
    }

    /// The address of an instance for other instances.
    pub(crate) fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.as_str().cmp(name));
        Some(self.peers[found.ok()?].heartbeat.entry.peers)
    }

    /// An instance whose heartbeat is ahead of what is known here, if any is; another
    /// one each time, so that those that lag don't all ask the same.
    pub(crate) fn choose_peer_ahead(
        &self,
        now_ms: u64,
        is_ahead: impl Fn(&PeerHeartbeat) -> bool,
    ) -> Option<(String, SocketAddr)> {
        let ahead = self.live(now_ms).filter(|peer| is_ahead(&peer.heartbeat));
        let ahead: Vec<&KnownPeer> = ahead.collect();
        let peer = ahead.choose(&mut rng())?;
        Some((peer.heartbeat.name.clone(), peer.heartbeat.entry.peers))
    }

    /// The load that other instances put on each runner.
    pub(crate) fn loads(&self, now_ms: u64) -> PeerLoads {
        let told = self.live(now_ms).flat_map(|peer| &peer.heartbeat.loads);
        let mut loads: Vec<(u64, LoadShare)> = told.copied().collect();
        loads.sort_unstable_by_key(|(key, _)| *key);
        loads.dedup_by(|next, total| {
            let is_same = next.0 == total.0;
            if is_same {
                total.1.add(&next.1);
            }
            is_same
        });
        PeerLoads(loads)
    }

    /// Requests a second that the live instances have for a service, and that end
    /// there.
    pub(crate) fn pace_of(&self, service: u64, now_ms: u64) -> (f64, f64) {
        let paces = self.live(now_ms).flat_map(|peer| &peer.heartbeat.paces);
        let of_service = paces.filter(|(key, _, _)| *key == service);
        let sum = of_service.fold((0, 0), |sum, pace| (sum.0 + pace.1, sum.1 + pace.2));
        (f64::from(sum.0), f64::from(sum.1))
    }

    /// What the live instances have learned of a service's engines.
    pub(crate) fn engine_paces(
        &self,
        service: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = EnginePace> + '_ {
        let told = self
            .live(now_ms)
            .flat_map(|peer| &peer.heartbeat.engine_paces);
        let of_service = told.filter(move |(key, _)| *key == service);
        of_service.map(|(_, pace)| *pace)
    }

    /// The lags of stores that each live instance tells.
    pub(crate) fn reported_lags(&self, now_ms: u64) -> Vec<&[(u64, u32)]> {
        let told = self.live(now_ms).map(|peer| peer.heartbeat.lags.as_slice());
        told.collect()
    }

    /// Whether any instance was heard within `span_ms`.
    pub(crate) fn was_heard_within(&self, span_ms: u64, now_ms: u64) -> bool {
        let mut peers = self.peers.iter();
        peers.any(|peer| now_ms.saturating_sub(peer.heard_at_ms) <= span_ms)
    }

    /// Whether an instance has confirmed retired weights. One that is not known
    /// has been silent for so long that it fetches nothing.
    pub(crate) fn has_confirmed(&self, name: &str, retired: &(String, u64)) -> bool {
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.as_str().cmp(name));
        found.is_ok_and(|index| self.peers[index].heartbeat.confirmed.contains(retired))
            || (found.is_err() && self.is_settled)
    }

    /// Whether all instances that are known have confirmed retired weights.
    pub(crate) fn all_confirmed(&self, retired: &(String, u64)) -> bool {
        self.peers
            .iter()
            .all(|peer| peer.heartbeat.confirmed.contains(retired))
    }

    /// The notice of the holder with the highest term.
    pub(crate) fn duty(&self, now_ms: u64) -> Option<&HolderNotice> {
        let notices = self
            .live(now_ms)
            .filter_map(|peer| peer.heartbeat.duty.as_ref());
        notices.max_by_key(|notice| notice.term)
    }
}
