//! Transport of messages between instances.
//!
//! Heartbeats are UDP datagrams and copies of objects use TCP. Both are encoded with
//! `bincode`. A datagram holds one or more messages. A heartbeat is one datagram to avoid head-of-line blocking after a loss, and
//! because a connection can stall without an error. Each copy uses a connection of its
//! own, on which a message follows its length in four bytes.

use crate::{
    accept::accept_next,
    cache_stores::{apply_gossip, StoreSnapshot},
    caller_memory::{CallerAccount, CallerAccounts},
    clock::boot_ms,
    copies::CopyVersion,
    crash_parts::{apply_notice, clear_parts, merge_evidence, note_probe},
    evacuations,
    exclusions::merge_exclusions,
    instances::InstanceEntry,
    peer_extensions::{
        receive_extension, send_with_extensions, state_kinds, PeerExtension, KINDS_INTERVAL,
    },
    peer_skips::{note_skipped, SkipReason},
    peers::{name_hash, LoadShare, PeerHeartbeat, PeerMessage},
    permits::{decide_permit, deliver_reply, merge_limit},
    places::{decide_place, end_place, merge_brittle},
    replica::ReplicaDelta,
    request_queries::{ask_for_times, send_times_query},
    saves::settle_parts,
    state::GatewayState,
    store_watch::{is_connected_watcher, WatchedKind},
    stream_versions::{
        history_copy,
        inquiry::{note_reply, reply_to_query},
        note_heard,
    },
    tunnels::{note_tunnelled, serve_tunnel},
};
use berylmount_adapter::store_client::{EraRevision, StoredObject};
use berylmount_policy::{caller_memory::CallerPhase, software_versions::VersionHistory};
use bincode::{config, serde as codec};
use bytes::Bytes;
use rand::rng;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::{future::Future, io, net::SocketAddr, rc::Rc, slice, time::Duration};
use strum::Display;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    task::spawn_local,
    time::{interval, sleep, timeout, MissedTickBehavior},
};

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Maximum size of a message with a copy, in bytes. A table of a thousand routes takes
/// some hundred kilobytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Maximum size of a request for a copy, in bytes. Those of other builds may be longer than those
/// of this one, which take a few bytes.
const MAX_REQUEST_BYTES: usize = 4 * 1024;
/// Time between two checks whether a message is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two reports of unchanged request limits and exclusions.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// That time in heartbeat intervals, which are longer in a large fleet.
const REPORT_HEARTBEATS: u32 = 4;
/// Number of instances that are told of a stream at once while several software versions
/// serve. Some of them may be lost together with this one.
const TOLD_INSTANCES: usize = 3;
/// Maximum number of streams in one datagram.
const MAX_TOLD_STREAMS: usize = 512;
/// Maximum number of exclusions in one datagram.
const MAX_EXCLUSION_REPORTS: usize = 128;
/// Time limit for the start of the reply to a request for a copy, and for each further
/// block of it.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for the other instance to receive what was written of a copy.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the blocks in which a copy is sent and received, in bytes.
const COPY_BLOCK_BYTES: usize = 64 * 1024;

/// A request to another instance for a copy of its state.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum PullRequest {
    /// Objects of a kind that changed after a revision. Answered by a [`PullReply`].
    Changes(WatchedKind, EraRevision),
    /// Contents of the store with this key. Answered by a [`StoreSnapshot`].
    Store(u64),
    /// The history of software versions. Answered by its revision and the history.
    Software,
    /// A tunnel to the runner with this key of its start. Answered by a [`TunnelReply`], and then
    /// by what the runner sends.
    Tunnel(u64),
}

/// Reply to [`PullRequest::Tunnel`].
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum TunnelReply {
    /// The runner has accepted a connection.
    Open,
    /// There is no connection to the runner.
    Refused(TunnelRefusal),
}

/// Why an instance opens no tunnel.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum TunnelRefusal {
    /// It serves too many tunnels.
    Busy,
    /// It is draining.
    Draining,
    /// It knows the runner as one that takes no requests, or does not know it.
    RunnerRefused,
    /// The runner does not accept a connection.
    RunnerUnreachable,
}

/// Reply to [`PullRequest::Changes`]. Objects are given by name, revision, and spec as
/// JSON text.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct PullReply {
    revision: EraRevision,
    names: Vec<String>,
    objects: Vec<(String, EraRevision, String)>,
}

/// Why a copy could not be pulled from another instance.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PullFault {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The request timed out.
    #[error("the request timed out")]
    TimedOut,
    /// The other instance sends too many copies at this moment.
    #[error("the instance is busy")]
    Busy,
    /// A message does not decode.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Sends heartbeats to the other instances, and starts the task that receives theirs.
pub(crate) async fn exchange_heartbeats(state: Rc<GatewayState>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let socket = state.peer_socket.get_or_init(|| socket).clone();
    spawn_local(receive_messages(state.clone(), socket.clone()));
    let (mut waited, mut report_waited) = (Duration::ZERO, Duration::ZERO);
    let mut kinds_waited = KINDS_INTERVAL;
    // Created outside of the loop, so that frequent placements do not delay the ticks.
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            _ = ticks.tick() => {
                waited += TICK_INTERVAL;
                report_waited += TICK_INTERVAL;
                kinds_waited += TICK_INTERVAL;
            }
            () = state.placements_ready.notified() => {
                send_placements(&state, &socket).await;
                continue;
            }
            streams = state.stream_versions.urgent_streams() => {
                send_begun(&state, &socket, &streams).await;
                continue;
            }
            address = state.request_queries.next_target() => {
                send_times_query(&state, &socket, address).await;
                continue;
            }
        }
        let interval = Duration::from_millis(state.peers.borrow().interval_ms());
        let is_report_due = report_waited >= REPORT_INTERVAL.max(interval * REPORT_HEARTBEATS);
        if is_report_due {
            report_waited = Duration::ZERO;
        }
        if state.is_limit_report_due.replace(false) || is_report_due {
            send_limits(&state, &socket).await;
        }
        if state.is_brittle_report_due.replace(false) || is_report_due {
            send_brittle(&state, &socket).await;
        }
        if state.is_exclusion_report_due.replace(false) || is_report_due {
            send_exclusions(&state, &socket).await;
        }
        let gossip = state.gossip.take();
        let is_due = || waited >= interval || state.is_heartbeat_due.get();
        if gossip.is_empty() && !is_due() {
            continue;
        }
        let addresses = peer_addresses(&state);
        for message in gossip {
            let name = state.settings().name.clone();
            send_message(
                &socket,
                &addresses,
                &PeerMessage::CacheChanges(name, message),
            )
            .await;
        }
        if !is_due() {
            continue;
        }
        waited = Duration::ZERO;
        state.is_heartbeat_due.set(false);
        let mut messages = vec![PeerMessage::Heartbeat(Box::new(build_heartbeat(&state)))];
        if !state.brittle_runners.borrow().is_empty() {
            // A process that has just started learns of them before it sends requests.
            let reports = state.brittle_runners.borrow().service_reports(boot_ms());
            messages.push(PeerMessage::BrittleReports(reports));
        }
        let closed = state.service_paths.closed();
        if !closed.is_empty() {
            let name = state.settings().name.clone();
            messages.push(PeerMessage::ClosedPaths(name, closed));
        }
        let report = evacuations::own_report(&state).map(PeerExtension::Evacuations);
        let demand = state.waiting.report(&state.settings().name);
        let saves = settle_parts(&state);
        let (saves, recipients) = saves.unzip();
        let saves = saves.map(PeerExtension::Saves);
        let mut extensions: Vec<PeerExtension> = report.into_iter().chain(demand).collect();
        match recipients.flatten() {
            Some(recipients) => {
                let saves: Vec<PeerExtension> = saves.into_iter().collect();
                send_with_extensions(&state, &socket, &recipients, &[], &saves).await;
            }
            None => extensions.extend(saves),
        }
        send_with_extensions(&state, &socket, &addresses, &messages, &extensions).await;
        if kinds_waited >= KINDS_INTERVAL {
            kinds_waited = Duration::ZERO;
            state_kinds(&state, &socket, &addresses).await;
        }
        let now_ms = boot_ms();
        state
            .peers
            .borrow_mut()
            .forget_silent(state.started_boot_ms, now_ms);
    }
}

/// Announces long prompts that were just sent to runners. Without this, the instances
/// of a small fleet all send their next prompt to the same idle runner before they
/// learn of each other's placements.
async fn send_placements(state: &GatewayState, socket: &UdpSocket) {
    let placed = state.pending_placements.take();
    let addresses = peer_addresses(state);
    let name = &state.settings().name;
    for (runner, share) in placed {
        let message = PeerMessage::Placed(name.clone(), runner, share);
        send_message(socket, &addresses, &message).await;
    }
}

/// Tells some instances of streams that have just begun.
async fn send_begun(state: &GatewayState, socket: &UdpSocket, streams: &[(u64, u64)]) {
    let addresses = state.peers.borrow().choose_live(TOLD_INSTANCES, boot_ms());
    for streams in streams.chunks(MAX_TOLD_STREAMS) {
        let message = PeerMessage::BegunStreams(streams.to_vec());
        send_message(socket, &addresses, &message).await;
    }
}

/// Reports request limits of runners, if there are any.
async fn send_limits(state: &GatewayState, socket: &UdpSocket) {
    let reports = state
        .runner_limits
        .borrow_mut()
        .reports(boot_ms(), &mut rng());
    if !reports.is_empty() {
        let message = PeerMessage::LimitReports(reports);
        send_message(socket, &peer_addresses(state), &message).await;
    }
}

/// Reports what brittle runners have stated, if there are any.
async fn send_brittle(state: &GatewayState, socket: &UdpSocket) {
    if state.brittle_runners.borrow().is_empty() {
        return;
    }
    let reports = state
        .brittle_runners
        .borrow_mut()
        .reports(boot_ms(), &mut rng());
    if !reports.is_empty() {
        let message = PeerMessage::BrittleReports(reports);
        send_message(socket, &peer_addresses(state), &message).await;
    }
}

/// Reports runners whose addresses belong to other servers, if there are any.
async fn send_exclusions(state: &GatewayState, socket: &UdpSocket) {
    let reports = state.misdirected.borrow().reports(boot_ms());
    for reports in reports.chunks(MAX_EXCLUSION_REPORTS) {
        let message = PeerMessage::ExclusionReports(reports.to_vec());
        send_message(socket, &peer_addresses(state), &message).await;
    }
}

async fn receive_messages(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0u8; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(target: "peers", error:% ; "could not receive from the socket");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let mut rest = &buffer[..length];
        while !rest.is_empty() {
            if let Some(heartbeat) = PeerHeartbeat::of_later_format(rest) {
                note_skipped(&state, SkipReason::OtherFormat, sender, &heartbeat.name);
                note_heartbeat(&state, heartbeat);
                // Where it ends is not known.
                break;
            }
            match decode_first::<PeerMessage>(rest) {
                Ok((message, length)) => {
                    receive_message(&state, &socket, sender, message).await;
                    rest = &rest[length..];
                }
                Err(fault) => {
                    note_skipped(&state, SkipReason::Malformed, sender, &fault.to_string());
                    break;
                }
            }
        }
    }
}

/// Applies a message of the instance at `sender`, and replies if it asks for something.
async fn receive_message(
    state: &Rc<GatewayState>,
    socket: &UdpSocket,
    sender: SocketAddr,
    message: PeerMessage,
) {
    match message {
        PeerMessage::Heartbeat(heartbeat) if heartbeat.has_known_format() => {
            note_heartbeat(state, *heartbeat)
        }
        PeerMessage::Heartbeat(heartbeat) => {
            note_skipped(state, SkipReason::OtherFormat, sender, &heartbeat.name);
        }
        PeerMessage::CacheChanges(peer, gossip) => apply_gossip(state, &peer, &gossip),
        PeerMessage::Placed(peer, runner, share) => {
            state.peers.borrow_mut().note_placed(&peer, runner, share);
        }
        PeerMessage::LimitReports(reports) => {
            reports.iter().for_each(|report| merge_limit(state, report));
        }
        PeerMessage::BrittleReports(reports) => {
            reports
                .iter()
                .for_each(|report| merge_brittle(state, report));
        }
        PeerMessage::PlaceRequest(message) => {
            let decision = decide_place(state, &message);
            let reply = PeerMessage::PermitReply(message.request.number, decision);
            send_message(socket, &[sender], &reply).await;
        }
        PeerMessage::PlaceEnded(runner, number, end) => {
            end_place(state, runner, number, end);
        }
        PeerMessage::ExclusionReports(reports) => merge_exclusions(state, &reports),
        PeerMessage::PartEvidence(process, report) => {
            merge_evidence(state, process, report);
        }
        PeerMessage::PartProbe(probed) => note_probe(state, &probed),
        PeerMessage::PartsCleared(sets) => clear_parts(state, &sets),
        PeerMessage::AnalystNotice(notice) => apply_notice(state, notice),
        PeerMessage::PermitRequest(request) => {
            let decision = decide_permit(state, &request);
            let reply = PeerMessage::PermitReply(request.number, decision);
            send_message(socket, &[sender], &reply).await;
        }
        PeerMessage::PermitReply(number, decision) => {
            deliver_reply(state, number, decision);
        }
        PeerMessage::RunnerNotice(notice) => note_tunnelled(state, &notice),
        PeerMessage::BegunStreams(streams) => note_heard(state, &streams),
        PeerMessage::StreamQuery(number, streams) => {
            let reply = reply_to_query(state, number, &streams);
            send_message(socket, &[sender], &PeerMessage::StreamReply(reply)).await;
        }
        PeerMessage::StreamReply(reply) => note_reply(state, sender, reply),
        PeerMessage::ClosedPaths(peer, closed) => {
            state.peers.borrow_mut().note_closed_paths(&peer, closed);
        }
        PeerMessage::Extended(frame) => receive_extension(state, socket, sender, &frame).await,
    }
}

/// Applies the heartbeat of another instance.
fn note_heartbeat(state: &GatewayState, heartbeat: PeerHeartbeat) {
    let peer = heartbeat.name.clone();
    if let Some(notice) = &heartbeat.holder_notice {
        state.retire(&notice.retired);
    }
    let address = heartbeat.entry.peers;
    let mut is_worth_asking = false;
    for (model, hint) in heartbeat.request_hints(boot_ms()) {
        is_worth_asking |= state.apply_request_hint(model, &hint);
    }
    if let Some(clock_ms) = heartbeat.runner_clock_ms {
        state.note_runner_clock(clock_ms, boot_ms());
    }
    let mut fleet_saves = state.fleet_saves.borrow_mut();
    fleet_saves.note_heard(name_hash(&peer), boot_ms());
    drop(fleet_saves);
    let mut peers = state.peers.borrow_mut();
    let (was_silent, streams) = peers.note_heartbeat(heartbeat, boot_ms());
    note_heard(state, &streams);
    state.waiting.note_heartbeat();
    if was_silent {
        let known = peers.addresses().count() + 1;
        state.instances.borrow_mut().note_live(known);
        log::info!(target: "peers", peer; "instance is live");
    }
    drop(peers);
    if is_worth_asking {
        ask_for_times(state, address);
    }
}

/// Sends one datagram to each address.
pub(crate) async fn send_message(
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    message: &PeerMessage,
) {
    send_messages(socket, addresses, slice::from_ref(message)).await;
}

/// Sends one datagram with some messages to each address.
pub(crate) async fn send_messages(
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    messages: &[PeerMessage],
) {
    let encoded: Result<Vec<Vec<u8>>, PullFault> = messages.iter().map(encode).collect();
    let bytes = match encoded {
        Ok(encoded) => encoded.concat(),
        Err(fault) => return log::error!(target: "peers", fault:% ; "could not encode a message"),
    };
    for address in addresses {
        // Errors are ignored, because the next heartbeat repeats the state.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Returns the addresses to which heartbeats are sent.
///
/// These are listed instances and those with recent heartbeats. If there is at most one
/// address, which may be that of this instance, the first contact and the addresses in
/// the settings are added.
pub(crate) fn peer_addresses(state: &GatewayState) -> Vec<SocketAddr> {
    let settings = state.settings();
    let instances = state.instances.borrow();
    let peers = state.peers.borrow();
    let listed = instances.entries().iter().map(|(_, entry)| entry.peers);
    let mut addresses: Vec<SocketAddr> = listed.chain(peers.addresses()).collect();
    if addresses.len() <= 1 {
        let port = *settings.peer_ports.start();
        addresses.extend(state.first_contact);
        addresses.extend(
            settings
                .seed_peers
                .iter()
                .map(|ip| SocketAddr::new(*ip, port)),
        );
    }
    addresses.sort_unstable();
    addresses.dedup();
    let own = settings.peer_address();
    addresses.retain(|address| *address != own);
    addresses
}

fn build_heartbeat(state: &GatewayState) -> PeerHeartbeat {
    let settings = state.settings();
    let entry = InstanceEntry::of(&settings);
    let mut heartbeat = PeerHeartbeat::new(&settings.name, entry, state.started_ms);
    heartbeat.strength = settings.machine.capacity_millicores();
    heartbeat.is_ready = !state.is_draining() && state.table().is_some();
    let replicas = state.replicas.borrow();
    for (revision, replica) in heartbeat.changed_at.iter_mut().zip(replicas.iter()) {
        *revision = replica.changed_at();
    }
    heartbeat.table_version = state.table().map_or(0, |table| table.version);
    let now_ms = boot_ms();
    heartbeat.desired_weights = state.request_ages(now_ms);
    let watched = heartbeat.is_connected_watcher.iter_mut();
    for (is_connected, kind) in watched.zip(WatchedKind::ALL) {
        *is_connected = is_connected_watcher(state, kind);
    }
    heartbeat.request_rates = state.own_request_rates(now_ms);
    heartbeat.engine_paces = state.own_engine_paces();
    heartbeat.runner_clock_ms = state.runner_clock.get().at(now_ms);
    heartbeat.lags = state.lags.borrow().lags(now_ms);
    let runners = state.runners.borrow();
    let loads = runners
        .all()
        .iter()
        .map(|runner| (runner.key(), runner.local_load()));
    heartbeat.loads = loads
        .filter(|(_, load)| *load != LoadShare::default())
        .collect();
    heartbeat.loads.sort_unstable_by_key(|(key, _)| *key);
    heartbeat.confirmed = state.fetches.borrow().confirmed(&state.retired.borrow());
    heartbeat.holder_notice = state.holder_notice.borrow().clone();
    heartbeat.begun_streams = state.stream_versions.next_report();
    heartbeat
}

/// Serves requests of other instances for copies. What anybody may hold through this port is
/// bounded, because parties that are no instances may reach it.
pub(crate) async fn serve_pulls(state: Rc<GatewayState>, listener: TcpListener) {
    let accounts = Rc::new(CallerAccounts::new(state.metrics.clone()));
    loop {
        let socket = accept_next(&listener, "peers").await;
        let Some(account) = accounts.admit(&state.settings().machine, "peers") else {
            continue;
        };
        let state = state.clone();
        spawn_local(async move {
            let replied = tokio::select! {
                biased;
                () = account.evicted() => return,
                replied = reply_to_pull(&state, socket, &account) => replied,
            };
            if let Err(fault) = replied {
                log::warn!(target: "peers", fault:% ; "could not send a copy to another instance");
            }
        });
    }
}

async fn reply_to_pull(
    state: &GatewayState,
    mut socket: TcpStream,
    account: &CallerAccount,
) -> Result<(), PullFault> {
    account.enter(CallerPhase::Receiving);
    let request = match read_bounded(&mut socket, MAX_REQUEST_BYTES).await {
        Err(PullFault::Malformed(fault)) => {
            let sender = socket.peer_addr()?;
            note_skipped(state, SkipReason::Malformed, sender, &fault);
            // The other build takes this for a busy instance, and asks another one.
            return write_message(&mut socket, &[]).await;
        }
        request => request?,
    };
    let (kind, since) = match request {
        PullRequest::Changes(kind, since) => (kind, since),
        PullRequest::Store(store) => {
            let snapshot = state.stores.borrow().snapshot(store, boot_ms());
            return write_reply(&mut socket, account, &encode(&snapshot)?).await;
        }
        PullRequest::Software => {
            let history = history_copy(state);
            return write_reply(&mut socket, account, &encode(&history)?).await;
        }
        PullRequest::Tunnel(runner) => {
            // Tunnels have a limit of their own, and are as long as their requests.
            account.enter(CallerPhase::Serving);
            return serve_tunnel(state, socket, runner).await;
        }
    };
    let delta = || state.replicas.borrow()[kind as usize].delta(since);
    let version = CopyVersion {
        since,
        revision: state.replicas.borrow()[kind as usize].revision(),
        table: state.table().map_or(0, |table| table.version),
    };
    let bytes = state.copies.encoded(kind, version, delta, encode_reply)?;
    let link_mbps = state.settings().machine.link_mbps;
    let Some(_slot) = state.copies.take_slot(bytes.len(), link_mbps) else {
        // An empty message tells that this instance is busy.
        return write_message(&mut socket, &[]).await;
    };
    write_reply(&mut socket, account, &bytes).await?;
    // The other instance closes the connection once it has the copy. Until then it is still
    // being sent from the buffers of the kernel.
    let closed = socket.read_u8();
    // At the time limit the connection is closed, and the other instance asks again.
    let _ = timeout(DELIVERY_TIMEOUT, closed).await;
    Ok(())
}

/// Writes a reply, if there is memory to hold it until the other instance has received it.
async fn write_reply(
    socket: &mut TcpStream,
    account: &CallerAccount,
    bytes: &[u8],
) -> Result<(), PullFault> {
    account.enter(CallerPhase::Delivering);
    match account.grow(bytes.len() as u64) {
        true => write_message(socket, bytes).await,
        // An empty message tells that this instance is busy.
        false => write_message(socket, &[]).await,
    }
}

fn encode_reply(delta: ReplicaDelta) -> Result<Bytes, PullFault> {
    let objects = delta.objects.into_iter();
    let reply = PullReply {
        revision: delta.revision,
        names: delta.names,
        objects: objects
            .map(|o| (o.name, o.revision, o.spec.to_string()))
            .collect(),
    };
    Ok(encode(&reply)?.into())
}

/// Pulls the objects of a kind that changed after `since` from the instance at `address`.
pub(crate) async fn pull_replica(
    address: SocketAddr,
    kind: WatchedKind,
    since: EraRevision,
) -> Result<ReplicaDelta, PullFault> {
    let reply: PullReply = request_reply(address, &PullRequest::Changes(kind, since)).await?;
    let objects = reply.objects.into_iter().map(|(name, revision, text)| {
        let spec = serde_json::from_str(&text);
        let spec = spec.map_err(|error| PullFault::Malformed(error.to_string()))?;
        Ok(StoredObject {
            name,
            revision,
            spec,
        })
    });
    Ok(ReplicaDelta {
        revision: reply.revision,
        names: reply.names,
        objects: objects.collect::<Result<_, PullFault>>()?,
    })
}

/// Pulls the contents of a store from the instance at `address`; `None` if that instance
/// does not know them.
pub(crate) async fn pull_store(
    address: SocketAddr,
    store: u64,
) -> Result<Option<StoreSnapshot>, PullFault> {
    request_reply(address, &PullRequest::Store(store)).await
}

/// Pulls the history of software versions, with its revision, from the instance at `address`;
/// `None` if that instance does not know it.
pub(crate) async fn pull_history(
    address: SocketAddr,
) -> Result<Option<(u64, VersionHistory)>, PullFault> {
    request_reply(address, &PullRequest::Software).await
}

/// Sends one request over a new connection and reads the reply.
async fn request_reply<R: DeserializeOwned>(
    address: SocketAddr,
    request: &PullRequest,
) -> Result<R, PullFault> {
    let mut socket = within_limit(TcpStream::connect(address)).await?;
    write_message(&mut socket, &encode(request)?).await?;
    read_message::<R>(&mut socket).await
}

/// Applies the time limit of one step of a copy.
async fn within_limit<T>(step: impl Future<Output = io::Result<T>>) -> Result<T, PullFault> {
    let result = timeout(PULL_TIMEOUT, step).await;
    Ok(result.map_err(|_| PullFault::TimedOut)??)
}

/// Reads one message. The time limit holds for its start and for each block, so that a slow
/// link is no fault as long as bytes arrive.
pub(crate) async fn read_message<M: DeserializeOwned>(
    socket: &mut TcpStream,
) -> Result<M, PullFault> {
    read_bounded(socket, MAX_MESSAGE_BYTES).await
}

/// Reads one message of at most `max_bytes`.
async fn read_bounded<M: DeserializeOwned>(
    socket: &mut TcpStream,
    max_bytes: usize,
) -> Result<M, PullFault> {
    let length = within_limit(socket.read_u32()).await? as usize;
    if length == 0 {
        return Err(PullFault::Busy);
    }
    if length > max_bytes {
        return Err(PullFault::Malformed(format!(
            "a length of {length} bytes exceeds the limit"
        )));
    }
    let mut bytes = vec![0u8; length];
    for block in bytes.chunks_mut(COPY_BLOCK_BYTES) {
        within_limit(socket.read_exact(block)).await?;
    }
    decode(&bytes)
}

/// Encodes and writes one message.
pub(crate) async fn write_encoded(
    socket: &mut TcpStream,
    message: &impl Serialize,
) -> Result<(), PullFault> {
    write_message(socket, &encode(message)?).await
}

/// Writes one message, with the same time limits.
async fn write_message(socket: &mut TcpStream, bytes: &[u8]) -> Result<(), PullFault> {
    let length = u32::try_from(bytes.len());
    let length = length.map_err(|error| PullFault::Malformed(error.to_string()))?;
    within_limit(socket.write_u32(length)).await?;
    for block in bytes.chunks(COPY_BLOCK_BYTES) {
        within_limit(socket.write_all(block)).await?;
    }
    Ok(())
}

pub(crate) fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, PullFault> {
    let encoded = codec::encode_to_vec(message, config::standard());
    encoded.map_err(|error| PullFault::Malformed(error.to_string()))
}

pub(crate) fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, PullFault> {
    let (message, _) = decode_first(bytes)?;
    Ok(message)
}

/// Decodes the first message; returns its length, too.
pub(crate) fn decode_first<M: DeserializeOwned>(bytes: &[u8]) -> Result<(M, usize), PullFault> {
    let decoded =
        codec::decode_from_slice(bytes, config::standard().with_limit::<MAX_MESSAGE_BYTES>());
    decoded.map_err(|error| PullFault::Malformed(error.to_string()))
}
