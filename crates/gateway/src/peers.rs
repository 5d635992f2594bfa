//! Heartbeats and the state of other instances that they carry.
//!
//! Each instance periodically sends a small datagram to every other one. It reports
//! liveness, the revisions of the replicas of the store, and the instance's share of the
//! load of each runner. Lost datagrams are not sent again, because each one repeats the
//! whole state.

use crate::{
    crash_parts::AnalystNotice,
    instances::InstanceEntry,
    peer_extensions::{ExtensionFrame, ExtensionKind, KINDS_INTERVAL},
    peer_link::decode,
    store_watch::WatchedKind,
    stream_versions::inquiry::StreamReply,
};
use berylmount_adapter::store_client::EraRevision;
use berylmount_policy::{
    engine_pace::EnginePace,
    misdirection::ExclusionReport,
    part_evidence::EvidenceReport,
    runner_limits::{ColdDecision, ColdReport, LimitReport, PermitDecision},
    runner_rooms::{BrittleReport, HolderLoad, PlaceEnd, PlaceRequest, RunnerKey},
    shared_duties::{first_among, rank_among, DutyMember},
    software_versions::StreamReport,
};
use rand::{rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};
use std::{mem::take, net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Silence after which an instance is considered dead, in heartbeat intervals.
const SILENCE_INTERVALS: u64 = 6;
/// Minimum silence after which an instance is considered dead, in milliseconds.
const MIN_SILENCE_MS: u64 = 1200;
/// Silence after which an instance is forgotten and gets no more heartbeats, in
/// milliseconds.
const FORGET_MS: u64 = 15_000;
/// Time after which an instance that has not stated the kinds of extensions that it knows counts
/// as one without extensions, in milliseconds.
const UNSTATED_MS: u64 = 2 * KINDS_INTERVAL.as_millis() as u64;
/// Heartbeat interval per known instance, in milliseconds. The interval grows with the
/// fleet, so that the number of datagrams that an instance receives per second does not.
const INTERVAL_PER_INSTANCE_MS: u64 = 3;
/// Shortest and longest heartbeat interval, in milliseconds.
const INTERVAL_BOUNDS_MS: (u64, u64) = (100, 1000);
/// Minimum number of other live instances in a large fleet. In a large fleet, only some
/// instances watch the object store and poll the stores of kept cache, and they forward
/// changes to the others. In smaller fleets, polling costs less than late changes do.
const LARGE_FLEET_PEERS: usize = 12;
/// Format of heartbeats. It has stayed the same since instances of two builds run side by side,
/// because what is new travels in extensions. Of a later format only the [`HeartbeatHead`] is
/// read, and heartbeats of an earlier one are ignored.
const HEARTBEAT_FORMAT: u8 = 5;
/// First byte of an encoded heartbeat: the index of [`PeerMessage::Heartbeat`].
const HEARTBEAT_TAG: u8 = 0;
/// Number of watched kinds that have a place in heartbeats: the first ones, by index. It is part
/// of the layout, so later kinds travel in extensions.
pub(crate) const HEARTBEAT_KINDS: usize = 3;

/// Returns the heartbeat interval of a fleet, in milliseconds.
pub(crate) fn heartbeat_interval_ms(instances: usize) -> u64 {
    let (shortest_ms, longest_ms) = INTERVAL_BOUNDS_MS;
    (INTERVAL_PER_INSTANCE_MS * instances as u64).clamp(shortest_ms, longest_ms)
}

/// Returns the key that identifies a runner, store or service in messages between
/// instances.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The part of the load of a runner that one instance causes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct LoadShare {
    /// Requests in flight.
    pub(crate) running: u32,
    /// Prompt tokens that may not be prefilled yet, because their requests have had no first
    /// event.
    pub(crate) unread_tokens: u64,
    /// KV cache memory that the requests need, in tokens.
    #[serde(rename = "booked_tokens")]
    pub(crate) reserved_tokens: u64,
}

impl LoadShare {
    /// Adds another share.
    pub(crate) fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.unread_tokens += other.unread_tokens;
        self.reserved_tokens += other.reserved_tokens;
    }
}

/// The load of runners from other instances, sorted by runner key.
#[derive(Debug)]
pub(crate) struct PeerLoads(Vec<(u64, LoadShare)>);

impl PeerLoads {
    /// Returns the load of one runner.
    pub(crate) fn on(&self, runner_key: u64) -> LoadShare {
        let found = self.0.binary_search_by_key(&runner_key, |(key, _)| *key);
        found.map_or_else(|_| LoadShare::default(), |index| self.0[index].1)
    }
}

/// What the holder of the rollout lease announces in its heartbeats.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HolderNotice {
    /// Term of the lease; also the fencing token of orders.
    pub(crate) term: u64,
    /// For each model, the lowest version of weights whose cached parts may be fetched.
    pub(crate) retired: Vec<(String, u64)>,
    /// Runners that are about to load weights, each with the model whose requests they should
    /// not get, as sorted keys ([`switch_key`]).
    pub(crate) switching: Vec<u64>,
}

/// Whether the build of an instance does not know a kind of extension. It counts as one that
/// does until it would have stated its kinds, even if a statement had been lost.
fn lacks_kind(peer: &KnownPeer, kind: ExtensionKind, now_ms: u64) -> bool {
    match peer.known_kinds.as_slice() {
        [] => now_ms.saturating_sub(peer.heard_since_ms) >= UNSTATED_MS,
        kinds => kinds.binary_search(&(kind as u16)).is_err(),
    }
}

/// Returns an instance as a candidate for shared duties.
fn duty_member(peer: &KnownPeer) -> DutyMember<'_> {
    DutyMember {
        name: &peer.heartbeat.name,
        strength: peer.heartbeat.strength,
    }
}

/// Returns the key of a runner, given by its own key, together with a model.
pub(crate) fn switch_key(runner: u64, model: &str) -> u64 {
    xxh3_64_with_seed(model.as_bytes(), runner)
}

/// What a heartbeat tells about when a version of weights was requested. A heartbeat that was
/// delayed shows too late a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RequestHint {
    pub(crate) version: u64,
    /// The earliest time of the request by the boot clock of this process, in milliseconds.
    pub(crate) at_ms: i64,
}

/// The first fields of [`PeerHeartbeat`], which are the same in all formats from
/// [`HEARTBEAT_FORMAT`] on.
#[derive(Deserialize)]
struct HeartbeatHead {
    _format: u8,
    name: String,
    entry: InstanceEntry,
    started_ms: u64,
    strength: u32,
    is_ready: bool,
}

/// The state that an instance reports to the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PeerHeartbeat {
    format: u8,
    /// Name of the instance.
    pub(crate) name: String,
    /// Addresses and data centre of the instance.
    pub(crate) entry: InstanceEntry,
    /// When the process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// Capacity of the machine, in thousandths of a core.
    pub(crate) strength: u32,
    /// Whether the instance accepts requests of callers.
    pub(crate) is_ready: bool,
    /// For each of the first watched kinds, the revision of the last change in the replica.
    pub(crate) changed_at: [EraRevision; HEARTBEAT_KINDS],
    /// Version of the route table in force; 0 if there is none.
    pub(crate) table_version: u64,
    /// Requested weights: model, version, and milliseconds since the earliest time at which
    /// the version can have been requested; `None` if that is not known.
    #[serde(rename = "goals")]
    pub(crate) desired_weights: Vec<(String, u64, Option<u64>)>,
    /// For each of the first watched kinds, whether the instance watches it and reaches the
    /// store.
    #[serde(rename = "in_contact")]
    pub(crate) is_connected_watcher: [bool; HEARTBEAT_KINDS],
    /// Loads, sorted by runner key, without idle runners.
    pub(crate) loads: Vec<(u64, LoadShare)>,
    /// For each service of engines, its key, and the requests per second that arrive at
    /// this instance for it and that end at its runners.
    #[serde(rename = "paces")]
    pub(crate) request_rates: Vec<(u64, u32, u32)>,
    /// Measured speed of the engines of each service, by the key of the service.
    pub(crate) engine_paces: Vec<(u64, EnginePace)>,
    /// Observed lags of stores: key of the store, and milliseconds.
    pub(crate) lags: Vec<(u64, u32)>,
    /// The entries of [`HolderNotice::retired`] for which the instance has no fetch of
    /// older versions in flight.
    pub(crate) confirmed: Vec<(String, u64)>,
    /// The notice of the lease holder, if the instance is the holder.
    #[serde(rename = "duty")]
    pub(crate) holder_notice: Option<HolderNotice>,
    /// Estimated clock of runners and stores, in milliseconds.
    pub(crate) runner_clock_ms: Option<u64>,
    /// Streams that the instance has begun since the last heartbeats.
    pub(crate) begun_streams: StreamReport,
}

impl PeerHeartbeat {
    /// Creates a heartbeat in the current format without any state.
    pub(crate) fn new(name: &str, entry: InstanceEntry, started_ms: u64) -> Self {
        Self {
            format: HEARTBEAT_FORMAT,
            name: name.to_owned(),
            entry,
            started_ms,
            strength: 0,
            is_ready: false,
            changed_at: [EraRevision::default(); HEARTBEAT_KINDS],
            table_version: 0,
            is_connected_watcher: [false; HEARTBEAT_KINDS],
            desired_weights: Vec::new(),
            loads: Vec::new(),
            lags: Vec::new(),
            request_rates: Vec::new(),
            engine_paces: Vec::new(),
            confirmed: Vec::new(),
            holder_notice: None,
            runner_clock_ms: None,
            begun_streams: StreamReport::default(),
        }
    }

    /// Decodes the head of a heartbeat of a later format, without any further state; `None` if
    /// `bytes` do not start with one.
    pub(crate) fn of_later_format(bytes: &[u8]) -> Option<Self> {
        let (tag, format) = (*bytes.first()?, *bytes.get(1)?);
        if tag != HEARTBEAT_TAG || format <= HEARTBEAT_FORMAT {
            return None;
        }
        let head: HeartbeatHead = decode(&bytes[1..]).ok()?;
        let mut heartbeat = Self::new(&head.name, head.entry, head.started_ms);
        (heartbeat.strength, heartbeat.is_ready) = (head.strength, head.is_ready);
        Some(heartbeat)
    }

    /// Returns the revision of the last change of a kind; `None` if the kind has no place in
    /// heartbeats.
    pub(crate) fn changed_at_of(&self, kind: WatchedKind) -> Option<EraRevision> {
        self.changed_at.get(kind as usize).copied()
    }

    /// Whether the instance watches a kind that has a place in heartbeats, and reaches the store.
    pub(crate) fn is_connected_watcher_of(&self, kind: WatchedKind) -> bool {
        self.is_connected_watcher
            .get(kind as usize)
            .is_some_and(|is_connected| *is_connected)
    }

    /// Returns the hints about requested weights, each with its model, of a heartbeat that
    /// arrived at `now_ms`.
    pub(crate) fn request_hints(&self, now_ms: u64) -> impl Iterator<Item = (&str, RequestHint)> {
        let ages = self.desired_weights.iter();
        ages.filter_map(move |(model, version, age_ms)| {
            let hint = RequestHint {
                version: *version,
                at_ms: now_ms as i64 - (*age_ms)? as i64,
            };
            Some((model.as_str(), hint))
        })
    }

    /// Whether the instance is being stopped. Before its start is complete, it has no table.
    pub(crate) fn is_leaving(&self) -> bool {
        !self.is_ready && self.table_version > 0
    }

    /// Whether the heartbeat has the format of this process.
    pub(crate) fn has_known_format(&self) -> bool {
        self.format == HEARTBEAT_FORMAT
    }
}

/// A change in the contents of a store: key of the part, number of the event, tokens,
/// and whether the part was added.
pub(crate) type CacheChange = (u64, u64, u32, bool);

/// Changes in a store, sent to the other instances by the one that polls the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CacheGossip {
    /// Key of the store.
    pub(crate) store: u64,
    /// Epoch of the contents of the store.
    pub(crate) epoch: u64,
    /// Event number after which the changes start.
    pub(crate) since: u64,
    /// Event number up to which the changes are complete.
    pub(crate) next: u64,
    pub(crate) changes: Vec<CacheChange>,
}

/// A request for a permit for one request to a limited runner.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PermitRequest {
    /// Number that the reply repeats.
    pub(crate) number: u64,
    /// What the sender knows about the limit.
    pub(crate) report: LimitReport,
    /// Whether the receiver is asked as the standby, because the coordinator did not reply.
    pub(crate) is_standby: bool,
}

/// A request for a place at a brittle runner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PlaceMessage {
    pub(crate) request: PlaceRequest,
    /// What the sender knows about the runner.
    pub(crate) report: BrittleReport,
    /// Key of the runner in reports of loads.
    pub(crate) load_key: u64,
    /// Whether the receiver is asked as the standby, because the coordinator did not reply.
    pub(crate) is_standby: bool,
}

/// What an instance knows of evacuations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct EvacuationReport {
    /// Name of the instance.
    pub(crate) name: String,
    /// The revision of the last change in its replica.
    pub(crate) changed_at: EraRevision,
    /// Whether it watches the store for them and reaches it.
    pub(crate) is_connected_watcher: bool,
}

/// A request for a permit for one request to a cold runner.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ColdPermitRequest {
    /// Number that the reply repeats.
    pub(crate) number: u64,
    /// What the sender knows about the runner.
    pub(crate) cold: ColdReport,
}

/// The reply to such a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ColdPermitReply {
    /// Number of the request.
    pub(crate) number: u64,
    pub(crate) decision: ColdDecision,
}

/// The reply to a query for the request times of weights.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct RequestTimesReply {
    /// Number of the query.
    pub(crate) number: u64,
    /// Requested weights: model, version, and an age in milliseconds that the request surely does
    /// not exceed; `None` if there is none.
    pub(crate) ages: Vec<(String, u64, Option<u64>)>,
}

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum PeerMessage {
    /// The state of an instance.
    Heartbeat(Box<PeerHeartbeat>),
    /// Changes in a store, with the name of the instance that polls it.
    #[serde(rename = "Kept")]
    CacheChanges(String, CacheGossip),
    /// A long prompt that an instance has just sent to a runner: name of the instance,
    /// key of the runner, and the load that the prompt adds.
    Placed(String, u64, LoadShare),
    /// Request limits that runners have named.
    LimitReports(Vec<LimitReport>),
    /// A request for a permit for one request to a limited runner.
    PermitRequest(PermitRequest),
    /// The reply to a permit request: its number, and the decision.
    PermitReply(u64, PermitDecision),
    /// Runners whose addresses belong to other servers.
    ExclusionReports(Vec<ExclusionReport>),
    /// What an instance observed about prompt parts and crashes, with the key of its process.
    PartEvidence(u64, EvidenceReport),
    /// What an analyst of that evidence tells all instances.
    AnalystNotice(AnalystNotice),
    /// Sets of parts on probation that are in a prompt which an instance sends to a runner.
    PartProbe(Vec<Vec<u64>>),
    /// Sets of parts that an answer has cleared.
    PartsCleared(Vec<Vec<u64>>),
    /// What a runner has announced in a response through a tunnel of the receiver.
    RunnerNotice(TunnelledNotice),
    /// Keys of the services whose runners the instance with this name does not reach. Follows
    /// each of its heartbeats while there are any.
    ClosedPaths(String, Vec<u64>),
    /// Streams that an instance has just begun, each with its version.
    BegunStreams(Vec<(u64, u64)>),
    /// A question for the versions of streams: its number, and the streams.
    StreamQuery(u64, Vec<u64>),
    /// The reply to such a question.
    StreamReply(StreamReply),
    /// What runners have stated about the rejections that they bear.
    BrittleReports(Vec<BrittleReport>),
    /// A request for a place at a brittle runner. The reply is a [`Self::PermitReply`].
    PlaceRequest(Box<PlaceMessage>),
    /// A request with a place has ended: its runner, the number of the place, and how.
    PlaceEnded(RunnerKey, u64, PlaceEnd),
    /// A message of a kind that was added after the kinds above. No further variant may be
    /// added to this enum, because a build that does not know it cannot find its end.
    Extended(ExtensionFrame),
}

/// What a runner has announced in a response through a tunnel.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct TunnelledNotice {
    /// Key of the start of the runner.
    pub(crate) runner: u64,
    /// Whether it drains.
    pub(crate) is_draining: bool,
    /// For how long it wants no requests.
    pub(crate) backoff: Option<Duration>,
}

/// Another instance, as of its last heartbeat.
#[derive(Clone, Debug)]
struct KnownPeer {
    heartbeat: PeerHeartbeat,
    last_seen_ms: u64,
    /// Number of the next stream of which the instance has not told.
    next_stream: u64,
    /// Keys of the services whose runners the instance does not reach, sorted.
    closed_paths: Vec<u64>,
    /// Numbers of the kinds of extensions that its build knows, sorted; empty until it has
    /// stated them.
    known_kinds: Vec<u16>,
    /// When the first heartbeat of the process arrived.
    heard_since_ms: u64,
    /// What it last told of evacuations, and when.
    evacuations: Option<(EvacuationReport, u64)>,
    /// When it came, or began or ceased to accept requests.
    changed_ms: u64,
}

impl KnownPeer {
    /// Returns the revision of the last change in its replica of a kind.
    fn changed_at(&self, kind: WatchedKind) -> EraRevision {
        let reported = self.evacuations.as_ref();
        let reported = reported.map(|(report, _)| report.changed_at);
        let changed_at = self.heartbeat.changed_at_of(kind).or(reported);
        changed_at.unwrap_or_default()
    }

    /// Whether it watches a kind and reaches the store, by what it has told since `since_ms`.
    fn is_connected_watcher(&self, kind: WatchedKind, since_ms: u64) -> bool {
        let reported = self.evacuations.as_ref();
        match kind {
            WatchedKind::Evacuations => reported.is_some_and(|(report, told_ms)| {
                report.is_connected_watcher && *told_ms >= since_ms
            }),
            _ => self.heartbeat.is_connected_watcher_of(kind),
        }
    }
}

/// Chooses an instance at random, so that instances that lag do not all ask the same one.
fn choose_peer<'a>(peers: impl Iterator<Item = &'a KnownPeer>) -> Option<(String, SocketAddr)> {
    let peer = peers.choose(&mut rng())?;
    Some((peer.heartbeat.name.clone(), peer.heartbeat.entry.peers))
}

/// All other instances with recent heartbeats, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: Vec<KnownPeer>,
    /// Whether this process has listened for as long as silent instances are remembered.
    is_settled: bool,
}

impl PeerTable {
    /// Returns the heartbeat interval, in milliseconds.
    pub(crate) fn interval_ms(&self) -> u64 {
        heartbeat_interval_ms(self.peers.len() + 1)
    }

    /// Returns the silence after which an instance is considered dead, in milliseconds.
    pub(crate) fn silence_ms(&self) -> u64 {
        (self.interval_ms() * SILENCE_INTERVALS).max(MIN_SILENCE_MS)
    }

    /// Stores a heartbeat. Returns whether its sender was not live before, and the streams of
    /// which it tells for the first time.
    pub(crate) fn note_heartbeat(
        &mut self,
        heartbeat: PeerHeartbeat,
        now_ms: u64,
    ) -> (bool, Vec<(u64, u64)>) {
        let silence_ms = self.silence_ms();
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.cmp(&heartbeat.name));
        let (mut next_stream, mut was_silent) = (0, true);
        let (mut evacuations, mut changed_ms) = (None, now_ms);
        let (mut known_kinds, mut heard_since_ms) = (Vec::new(), now_ms);
        if let Ok(index) = found {
            let known = &mut self.peers[index];
            was_silent = now_ms.saturating_sub(known.last_seen_ms) > silence_ms;
            if !was_silent && known.heartbeat.is_ready == heartbeat.is_ready {
                changed_ms = known.changed_ms;
            }
            // Another process of the instance may be of another build.
            if known.heartbeat.started_ms == heartbeat.started_ms {
                next_stream = known.next_stream;
                known_kinds = take(&mut known.known_kinds);
                heard_since_ms = known.heard_since_ms;
                evacuations = known.evacuations.take();
            }
        }
        let (streams, next_stream) = heartbeat.begun_streams.streams_from(next_stream);
        let streams = streams.to_vec();
        let peer = KnownPeer {
            heartbeat,
            last_seen_ms: now_ms,
            next_stream,
            // They follow in the same datagram, if there are any.
            closed_paths: Vec::new(),
            evacuations,
            changed_ms,
            known_kinds,
            heard_since_ms,
        };
        match found {
            Ok(index) => self.peers[index] = peer,
            Err(index) => self.peers.insert(index, peer),
        }
        (was_silent, streams)
    }

    /// Adds to the load of a runner from an instance, until the next heartbeat of that
    /// instance.
    pub(crate) fn note_placed(&mut self, name: &str, runner: u64, share: LoadShare) {
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.as_str().cmp(name));
        if let Ok(index) = found {
            self.peers[index].heartbeat.loads.push((runner, share));
        }
    }

    /// Records the services whose runners an instance does not reach, until its next heartbeat.
    pub(crate) fn note_closed_paths(&mut self, name: &str, mut closed: Vec<u64>) {
        closed.sort_unstable();
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.as_str().cmp(name));
        if let Ok(index) = found {
            self.peers[index].closed_paths = closed;
        }
    }

    /// Records what an instance knows of evacuations.
    pub(crate) fn note_evacuations(&mut self, report: EvacuationReport, now_ms: u64) {
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.cmp(&report.name));
        if let Ok(index) = found {
            self.peers[index].evacuations = Some((report, now_ms));
        }
    }

    /// Records the kinds of extensions that the build of a known instance knows. Returns its
    /// address if it had not stated them yet.
    pub(crate) fn note_known_kinds(
        &mut self,
        name: &str,
        mut kinds: Vec<u16>,
    ) -> Option<SocketAddr> {
        kinds.sort_unstable();
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.as_str().cmp(name));
        let peer = &mut self.peers[found.ok()?];
        let is_first = peer.known_kinds.is_empty();
        peer.known_kinds = kinds;
        is_first.then_some(peer.heartbeat.entry.peers)
    }

    /// Returns `addresses` without those of instances that do not know a kind of extension.
    pub(crate) fn knowing_kind(
        &self,
        addresses: &[SocketAddr],
        kind: ExtensionKind,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let lacking = self.peers.iter().filter(|p| lacks_kind(p, kind, now_ms));
        let mut lacking: Vec<SocketAddr> = lacking.map(|p| p.heartbeat.entry.peers).collect();
        lacking.sort_unstable();
        let knows = |address: &&SocketAddr| lacking.binary_search(address).is_err();
        addresses.iter().filter(knows).copied().collect()
    }

    /// Forgets instances that have been silent for [`FORGET_MS`].
    ///
    /// `listening_since_ms` is when this process started to listen, by the boot clock.
    pub(crate) fn forget_silent(&mut self, listening_since_ms: u64, now_ms: u64) {
        self.is_settled = now_ms.saturating_sub(listening_since_ms) >= FORGET_MS;
        self.peers
            .retain(|peer| now_ms.saturating_sub(peer.last_seen_ms) < FORGET_MS);
    }

    fn live(&self, now_ms: u64) -> impl Iterator<Item = &KnownPeer> {
        let silence_ms = self.silence_ms();
        let is_live =
            move |peer: &&KnownPeer| now_ms.saturating_sub(peer.last_seen_ms) <= silence_ms;
        self.peers.iter().filter(is_live)
    }

    /// Returns the number of live instances, without this one.
    pub(crate) fn live_count(&self, now_ms: u64) -> usize {
        self.live(now_ms).count()
    }

    /// Returns the fraction of live instances among those heard within [`FORGET_MS`], with
    /// this instance in both.
    pub(crate) fn live_share(&self, now_ms: u64) -> f64 {
        (self.live_count(now_ms) + 1) as f64 / (self.peers.len() + 1) as f64
    }

    /// Returns the entries of the live instances that accept requests.
    pub(crate) fn ready_entries(&self, now_ms: u64) -> impl Iterator<Item = &InstanceEntry> {
        let ready = self.live(now_ms).filter(|peer| peer.heartbeat.is_ready);
        ready.map(|peer| &peer.heartbeat.entry)
    }

    /// Returns the data centre of the instance with an address for other instances.
    pub(crate) fn data_centre_at(&self, address: SocketAddr) -> Option<&str> {
        let mut entries = self.peers.iter().map(|peer| &peer.heartbeat.entry);
        let entry = entries.find(|entry| entry.peers == address)?;
        Some(&entry.data_centre)
    }

    /// Returns the live instances that accept requests and reach the runners of a service.
    pub(crate) fn relays(&self, service: u64, now_ms: u64) -> impl Iterator<Item = &InstanceEntry> {
        let reaches = move |peer: &&KnownPeer| {
            peer.heartbeat.is_ready && peer.closed_paths.binary_search(&service).is_err()
        };
        let relays = self.live(now_ms).filter(reaches);
        relays.map(|peer| &peer.heartbeat.entry)
    }

    /// Returns what the last heartbeats of the other instances tell about requests of a model's
    /// weights, each with the address of the instance for other instances.
    pub(crate) fn request_hints<'a>(
        &'a self,
        model: &'a str,
    ) -> impl Iterator<Item = (SocketAddr, RequestHint)> + 'a {
        self.peers.iter().flat_map(move |peer| {
            let hints = peer.heartbeat.request_hints(peer.last_seen_ms);
            let of_model = hints.filter(move |(hinted, _)| *hinted == model);
            of_model.map(|(_, hint)| (peer.heartbeat.entry.peers, hint))
        })
    }

    /// Returns the addresses for other instances of all known instances.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.peers.iter().map(|peer| peer.heartbeat.entry.peers)
    }

    /// Returns the addresses for other instances of `count` random live instances.
    pub(crate) fn choose_live(&self, count: usize, now_ms: u64) -> Vec<SocketAddr> {
        let live = self.live(now_ms).map(|peer| peer.heartbeat.entry.peers);
        live.sample(&mut rng(), count)
    }

    /// Returns the time since the oldest of the last heartbeats of all live instances.
    pub(crate) fn oldest_heartbeat_ms(&self, now_ms: u64) -> Option<u64> {
        let ages = self
            .live(now_ms)
            .map(|peer| now_ms.saturating_sub(peer.last_seen_ms));
        ages.max()
    }

    /// Returns how many other live instances rank before `own` for a shared duty.
    pub(crate) fn rank_of(&self, own: DutyMember<'_>, duty: &str, now_ms: u64) -> usize {
        let others = self.live(now_ms).map(duty_member);
        rank_among(duty, own, &others.collect::<Vec<_>>())
    }

    /// Returns how many other live instances rank before `own` for a shared duty that an
    /// instance gives up when it leaves or does not reach the runners of some `services`.
    pub(crate) fn staying_rank_of(
        &self,
        own: DutyMember<'_>,
        duty: &str,
        services: &[u64],
        now_ms: u64,
    ) -> usize {
        let stays = |peer: &&KnownPeer| {
            let closed = &peer.closed_paths;
            let reaches_all = !services.iter().any(|s| closed.binary_search(s).is_ok());
            reaches_all && !peer.heartbeat.is_leaving()
        };
        let staying = self.live(now_ms).filter(stays);
        rank_among(duty, own, &staying.map(duty_member).collect::<Vec<_>>())
    }

    /// Whether another live instance accepts requests.
    pub(crate) fn has_ready(&self, now_ms: u64) -> bool {
        self.live(now_ms).any(|peer| peer.heartbeat.is_ready)
    }

    /// Returns since when at least half of the other instances have been known without a break;
    /// 0 if there is none. It is recent if this instance was cut off or paused.
    pub(crate) fn majority_since_ms(&self) -> u64 {
        let mut changes: Vec<u64> = self.peers.iter().map(|peer| peer.changed_ms).collect();
        changes.sort_unstable();
        changes.get(changes.len() / 2).copied().unwrap_or(0)
    }

    /// Returns when an instance that ranks before `own` for a shared duty last came or went, or
    /// began or ceased to accept requests; 0 if none has.
    pub(crate) fn preceding_change_ms(&self, own: DutyMember<'_>, duty: &str, now_ms: u64) -> u64 {
        let silence_ms = self.silence_ms();
        let precedes = |peer: &&KnownPeer| first_among(duty, &[own, duty_member(peer)]) == Some(1);
        let changes = self.peers.iter().filter(precedes).map(|peer| {
            let silent_ms = peer.last_seen_ms + silence_ms;
            match silent_ms < now_ms {
                true => silent_ms,
                false => peer.changed_ms,
            }
        });
        changes.max().unwrap_or(0)
    }

    /// Returns the address for other instances of the one that ranks first for a shared
    /// duty among `own`, if given, and the other live instances that accept requests,
    /// except the one at `excluded`. Returns `None` if `own` does, or if there is none.
    pub(crate) fn first_other(
        &self,
        own: Option<DutyMember<'_>>,
        duty: &str,
        excluded: Option<SocketAddr>,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let is_member = |peer: &&KnownPeer| {
            let heartbeat = &peer.heartbeat;
            heartbeat.is_ready && Some(heartbeat.entry.peers) != excluded
        };
        let ready: Vec<&KnownPeer> = self.live(now_ms).filter(is_member).collect();
        let members = ready.iter().map(|peer| DutyMember {
            name: &peer.heartbeat.name,
            strength: peer.heartbeat.strength,
        });
        let members: Vec<DutyMember<'_>> = members.chain(own).collect();
        let first = ready.get(first_among(duty, &members)?)?;
        Some(first.heartbeat.entry.peers)
    }

    /// Returns the addresses for other instances of the live ones among the first `count`
    /// for a shared duty, and whether `own` is one of them.
    pub(crate) fn first_members(
        &self,
        own: DutyMember<'_>,
        duty: &str,
        count: usize,
        now_ms: u64,
    ) -> (Vec<SocketAddr>, bool) {
        let live: Vec<&KnownPeer> = self.live(now_ms).collect();
        let members = live.iter().map(|peer| DutyMember {
            name: &peer.heartbeat.name,
            strength: peer.heartbeat.strength,
        });
        let mut members: Vec<DutyMember<'_>> = members.chain([own]).collect();
        let mut live: Vec<Option<SocketAddr>> = live
            .iter()
            .map(|peer| Some(peer.heartbeat.entry.peers))
            .chain([None])
            .collect();
        let mut first = Vec::new();
        while let Some(index) = first_among(duty, &members).filter(|_| first.len() < count) {
            members.swap_remove(index);
            first.push(live.swap_remove(index));
        }
        let is_own = first.contains(&None);
        (first.into_iter().flatten().collect(), is_own)
    }

    /// Whether the fleet is so large that only some instances poll and forward changes.
    pub(crate) fn is_large(&self, now_ms: u64) -> bool {
        self.live_count(now_ms) >= LARGE_FLEET_PEERS
    }

    /// Returns how many live instances watch a kind and reach the store.
    pub(crate) fn connected_watchers(&self, kind: WatchedKind, now_ms: u64) -> usize {
        let since_ms = now_ms.saturating_sub(self.silence_ms());
        let live = self.live(now_ms);
        live.filter(|peer| peer.is_connected_watcher(kind, since_ms))
            .count()
    }

    /// Chooses an instance whose replica of a kind has changed after `known`, if there is one. An
    /// instance that knows nothing of the kind chooses one that watches it, too: if no object
    /// exists, the replica of that one is complete but has never changed.
    pub(crate) fn choose_later_peer(
        &self,
        kind: WatchedKind,
        known: EraRevision,
        now_ms: u64,
    ) -> Option<(String, SocketAddr)> {
        let since_ms = now_ms.saturating_sub(self.silence_ms());
        let is_unsynced = known == EraRevision::default();
        choose_peer(self.live(now_ms).filter(|peer| {
            peer.changed_at(kind) > known
                || (is_unsynced && peer.is_connected_watcher(kind, since_ms))
        }))
    }

    /// Returns the address of an instance for other instances.
    pub(crate) fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.as_str().cmp(name));
        Some(self.peers[found.ok()?].heartbeat.entry.peers)
    }

    /// Chooses an instance whose heartbeat `is_ahead`, if there is one. The choice is
    /// random, so that instances that lag do not all ask the same one.
    pub(crate) fn choose_peer_ahead(
        &self,
        now_ms: u64,
        is_ahead: impl Fn(&PeerHeartbeat) -> bool,
    ) -> Option<(String, SocketAddr)> {
        choose_peer(self.live(now_ms).filter(|peer| is_ahead(&peer.heartbeat)))
    }

    /// Returns the load of each runner from other instances.
    pub(crate) fn loads(&self, now_ms: u64) -> PeerLoads {
        let reported = self.live(now_ms).flat_map(|peer| &peer.heartbeat.loads);
        let mut loads: Vec<(u64, LoadShare)> = reported.copied().collect();
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

    /// Returns the load that each other live instance reports for one runner.
    pub(crate) fn holder_loads(&self, runner_key: u64, now_ms: u64) -> Vec<HolderLoad> {
        let holders = self.live(now_ms).map(|peer| {
            let loads = peer.heartbeat.loads.iter();
            let mut sum = LoadShare::default();
            let of_runner = loads.filter(|(key, _)| *key == runner_key);
            of_runner.for_each(|(_, load)| sum.add(load));
            HolderLoad {
                holder: name_hash(&peer.heartbeat.name),
                running: sum.running,
                needed_tokens: sum.reserved_tokens,
                at_ms: peer.last_seen_ms,
            }
        });
        holders.collect()
    }

    /// Returns the requests per second that arrive at the other live instances for a
    /// service, and that end at its runners.
    pub(crate) fn request_rates_of(&self, service: u64, now_ms: u64) -> (f64, f64) {
        let request_rates = self
            .live(now_ms)
            .flat_map(|peer| &peer.heartbeat.request_rates);
        let of_service = request_rates.filter(|(key, _, _)| *key == service);
        let sum = of_service.fold((0, 0), |sum, rates| (sum.0 + rates.1, sum.1 + rates.2));
        (f64::from(sum.0), f64::from(sum.1))
    }

    /// Returns the speed of the engines of a service as measured by each live instance.
    pub(crate) fn engine_paces(
        &self,
        service: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = EnginePace> + '_ {
        let reported = self
            .live(now_ms)
            .flat_map(|peer| &peer.heartbeat.engine_paces);
        let of_service = reported.filter(move |(key, _)| *key == service);
        of_service.map(|(_, pace)| *pace)
    }

    /// Returns the lags of stores that each live instance reports.
    pub(crate) fn reported_lags(&self, now_ms: u64) -> Vec<&[(u64, u32)]> {
        let reported = self.live(now_ms).map(|peer| peer.heartbeat.lags.as_slice());
        reported.collect()
    }

    /// Whether any heartbeat arrived within the last `span_ms`.
    pub(crate) fn received_within(&self, span_ms: u64, now_ms: u64) -> bool {
        let mut peers = self.peers.iter();
        peers.any(|peer| now_ms.saturating_sub(peer.last_seen_ms) <= span_ms)
    }

    /// Whether an instance has confirmed that it fetches nothing of retired weights. An
    /// unknown instance counts as
    /// confirmed once this process is settled, because it has been silent for so long
    /// that it fetches nothing.
    pub(crate) fn has_confirmed(&self, name: &str, retired: &(String, u64)) -> bool {
        let found = self
            .peers
            .binary_search_by(|peer| peer.heartbeat.name.as_str().cmp(name));
        found.is_ok_and(|index| self.peers[index].heartbeat.confirmed.contains(retired))
            || (found.is_err() && self.is_settled)
    }

    /// Whether all known instances have confirmed that they fetch nothing of retired
    /// weights.
    pub(crate) fn all_confirmed(&self, retired: &(String, u64)) -> bool {
        self.peers
            .iter()
            .all(|peer| peer.heartbeat.confirmed.contains(retired))
    }

    /// Returns the notice of the lease holder with the highest term.
    pub(crate) fn holder_notice(&self, now_ms: u64) -> Option<&HolderNotice> {
        let notices = self
            .live(now_ms)
            .filter_map(|peer| peer.heartbeat.holder_notice.as_ref());
        notices.max_by_key(|notice| notice.term)
    }
}
