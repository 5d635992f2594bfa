//! Messages between instances: heartbeats as datagrams, copies over connections.
//!
//! Both are encoded with `bincode`. A heartbeat is one datagram, because it must not
//! wait behind a lost one, and because a connection can go silent. A copy goes
//! over a connection of its own: a length in four bytes, then the message.

use crate::{
    accept::accept_next,
    clock::boot_ms,
    follow::{has_contact, FollowedKind},
    instances::InstanceEntry,
    kept::{hear_gossip, StoreSnapshot},
    peers::{LoadShare, PeerHeartbeat, PeerMessage},
    replica::ReplicaDelta,
    state::GatewayState,
};
use berylmount_adapter::store_client::{EraRevision, StoredObject};
use bincode::{config, serde as codec};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::{io, net::SocketAddr, rc::Rc, time::Duration};
use strum::IntoEnumIterator;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    task::spawn_local,
    time::{interval, sleep, timeout, MissedTickBehavior},
};

/// Bytes of a datagram at most.
const DATAGRAM_BYTES: usize = 60 * 1024;
/// Bytes of a message with a copy at most: a table of a thousand routes is
/// some hundred kilobytes.
const MESSAGE_BYTES: usize = 8 << 20;
/// Time between two looks whether a message is due.
const HEARTBEAT_TICK: Duration = Duration::from_millis(50);
/// Time for one exchange of a copy.
const PULL_TIME: Duration = Duration::from_millis(800);

/// Asks an instance for what it knows.
#[derive(Debug, Deserialize, Serialize)]
enum PullRequest {
    /// What changed of a kind after a revision; answered by a [`PullReply`].
    Changes(FollowedKind, EraRevision),
    /// What the store of this key keeps; answered by a [`StoreSnapshot`].
    Store(u64),
}

/// Answers a question for changes. Values of objects are JSON text.
#[derive(Debug, Deserialize, Serialize)]
struct PullReply {
    revision: EraRevision,
    names: Vec<String>,
    objects: Vec<(String, EraRevision, String)>,
}

/// Why another instance's copy could not be had.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PullFault {
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The exchange took too long.
    #[error("the exchange took too long")]
    TimedOut,
    /// A message can't be read.
    #[error("a message can't be read: {0}")]
    Malformed(String),
}

/// Sends heartbeats and hears those of others.
pub(crate) async fn exchange_heartbeats(state: Rc<GatewayState>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    spawn_local(hear_heartbeats(state.clone(), socket.clone()));
    let mut waited = Duration::ZERO;
    // Outlives the other branch, so that many long prompts don't hold it up.
    let mut ticks = interval(HEARTBEAT_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            _ = ticks.tick() => waited += HEARTBEAT_TICK,
            () = state.placed_soon.notified() => {
                tell_placed(&state, &socket).await;
                continue;
            }
        }
        let interval = Duration::from_millis(state.peers.borrow().interval_ms());
        let gossip = state.gossip.take();
        let is_due = || waited >= interval || state.is_heartbeat_due.get();
        if gossip.is_empty() && !is_due() {
            continue;
        }
        let addresses = peer_addresses(&state);
        for told in gossip {
            let name = state.settings().name.clone();
            send_message(&socket, &addresses, &PeerMessage::Kept(name, told)).await;
        }
        if !is_due() {
            continue;
        }
        waited = Duration::ZERO;
        state.is_heartbeat_due.set(false);
        let heartbeat = PeerMessage::Heartbeat(Box::new(own_heartbeat(&state)));
        send_message(&socket, &addresses, &heartbeat).await;
        let now_ms = boot_ms();
        state
            .peers
            .borrow_mut()
            .forget_silent(state.begun_ms, now_ms);
    }
}

/// Tells the others of long prompts that were just sent to runners. Without it,
/// instances of a small fleet all send their next one to the same idle runner
/// before they hear of each other's.
async fn tell_placed(state: &GatewayState, socket: &UdpSocket) {
    let placed = state.placed.take();
    let addresses = peer_addresses(state);
    let name = &state.settings().name;
    for (runner, share) in placed {
        let message = PeerMessage::Placed(name.clone(), runner, share);
        send_message(socket, &addresses, &message).await;
    }
}

async fn hear_heartbeats(state: Rc<GatewayState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0u8; DATAGRAM_BYTES];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::warn!(target: "peers", error:% ; "heartbeat not received");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        match decode::<PeerMessage>(&buffer[..length]) {
            Ok(PeerMessage::Heartbeat(heartbeat)) if heartbeat.is_understood() => {
                note_heartbeat(&state, *heartbeat)
            }
            Ok(PeerMessage::Heartbeat(heartbeat)) => {
                log::warn!(target: "peers", peer = heartbeat.name; "heartbeat of another form");
            }
            Ok(PeerMessage::Kept(peer, told)) => hear_gossip(&state, &peer, &told),
            Ok(PeerMessage::Placed(peer, runner, share)) => {
                state.peers.borrow_mut().note_placed(&peer, runner, share);
            }
            Err(fault) => log::warn!(target: "peers", fault:% ; "message left out"),
        }
    }
}

/// Takes what another instance tells of itself.
fn note_heartbeat(state: &GatewayState, heartbeat: PeerHeartbeat) {
    let peer = heartbeat.name.clone();
    if let Some(notice) = &heartbeat.duty {
        state.retire(&notice.retired);
    }
    for (model, version, age_ms) in &heartbeat.goals {
        state.apply_goal_age(model, *version, *age_ms);
    }
    if let Some(clock_ms) = heartbeat.runner_clock_ms {
        state.note_runner_clock(clock_ms, boot_ms());
    }
    if state
        .peers
        .borrow_mut()
        .note_heartbeat(heartbeat, boot_ms())
    {
        log::info!(target: "peers", peer; "instance heard");
    }
}

/// Sends one datagram to each address.
async fn send_message(socket: &UdpSocket, addresses: &[SocketAddr], message: &PeerMessage) {
    let bytes = match encode(message) {
        Ok(bytes) => bytes,
        Err(fault) => return log::error!(target: "peers", fault:% ; "message not encoded"),
    };
    for address in addresses {
        // A lost datagram is followed by the next one.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Where heartbeats go: listed and heard instances, and those that the settings name.
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

fn own_heartbeat(state: &GatewayState) -> PeerHeartbeat {
    let settings = state.settings();
    let entry = InstanceEntry::of(&settings);
    let mut heartbeat = PeerHeartbeat::new(&settings.name, entry, state.started_ms);
    heartbeat.strength = settings.machine.capacity_millicores();
    heartbeat.is_ready = !state.is_leaving() && state.table().is_some();
    let replicas = state.replicas.borrow();
    for (slot, replica) in heartbeat.changed_at.iter_mut().zip(replicas.iter()) {
        *slot = replica.changed_at();
    }
    heartbeat.table_version = state.table().map_or(0, |table| table.version);
    let now_ms = boot_ms();
    let goals = state.goals.borrow();
    for named in goals.iter() {
        let told = named.named_at.iter().map(|(version, at_ms)| {
            let age_ms = now_ms.saturating_sub(*at_ms);
            (named.goal.model.clone(), *version, age_ms)
        });
        heartbeat.goals.extend(told);
    }
    for kind in FollowedKind::iter() {
        heartbeat.in_contact[kind as usize] = has_contact(state, kind);
    }
    heartbeat.paces = state.own_paces(now_ms);
    heartbeat.engine_paces = state.own_engine_paces();
    heartbeat.runner_clock_ms = state.runner_clock.get().at(now_ms);
    heartbeat.lags = state.lags.borrow().lags(now_ms);
    let runners = state.runners.borrow();
    let loads = runners
        .all()
        .iter()
        .map(|runner| (runner.key(), runner.own_load()));
    heartbeat.loads = loads
        .filter(|(_, load)| *load != LoadShare::default())
        .collect();
    heartbeat.loads.sort_unstable_by_key(|(key, _)| *key);
    heartbeat.confirmed = state.fetches.borrow().confirmed(&state.retired.borrow());
    heartbeat.duty = state.duty_notice.borrow().clone();
    heartbeat
}

/// Answers instances that ask for a copy.
pub(crate) async fn serve_pulls(state: Rc<GatewayState>, listener: TcpListener) {
    loop {
        let socket = accept_next(&listener, "peers").await;
        let state = state.clone();
        spawn_local(async move {
            let served = timeout(PULL_TIME, answer_pull(&state, socket)).await;
            if let Ok(Err(fault)) = served {
                log::warn!(target: "peers", fault:% ; "copy not passed on");
            }
        });
    }
}

async fn answer_pull(state: &GatewayState, mut socket: TcpStream) -> Result<(), PullFault> {
    let (kind, since) = match read_message(&mut socket).await? {
        PullRequest::Changes(kind, since) => (kind, since),
        PullRequest::Store(store) => {
            let snapshot = state.stores.borrow().snapshot(store);
            return write_message(&mut socket, &snapshot).await;
        }
    };
    let delta = state.replicas.borrow()[kind as usize].delta(since);
    let objects = delta.objects.into_iter();
    let reply = PullReply {
        revision: delta.revision,
        names: delta.names,
        objects: objects
            .map(|o| (o.name, o.revision, o.spec.to_string()))
            .collect(),
    };
    write_message(&mut socket, &reply).await
}

/// Pulls what changed of a kind after `since` from the instance at `address`.
pub(crate) async fn pull_replica(
    address: SocketAddr,
    kind: FollowedKind,
    since: EraRevision,
) -> Result<ReplicaDelta, PullFault> {
    let reply: PullReply = ask(address, &PullRequest::Changes(kind, since)).await?;
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

/// Asks the instance at `address` what a store keeps; `None` if it does not know.
pub(crate) async fn pull_store(
    address: SocketAddr,
    store: u64,
) -> Result<Option<StoreSnapshot>, PullFault> {
    ask(address, &PullRequest::Store(store)).await
}

/// Asks one question over a connection of its own.
async fn ask<R: DeserializeOwned>(
    address: SocketAddr,
    request: &PullRequest,
) -> Result<R, PullFault> {
    let exchange = async {
        let mut socket = TcpStream::connect(address).await?;
        write_message(&mut socket, request).await?;
        read_message::<R>(&mut socket).await
    };
    timeout(PULL_TIME, exchange)
        .await
        .map_err(|_| PullFault::TimedOut)?
}

async fn read_message<M: DeserializeOwned>(socket: &mut TcpStream) -> Result<M, PullFault> {
    let length = socket.read_u32().await? as usize;
    if length > MESSAGE_BYTES {
        return Err(PullFault::Malformed(format!("{length} bytes are too many")));
    }
    let mut bytes = vec![0u8; length];
    socket.read_exact(&mut bytes).await?;
    decode(&bytes)
}

async fn write_message<M: Serialize>(socket: &mut TcpStream, message: &M) -> Result<(), PullFault> {
    let bytes = encode(message)?;
    let length = u32::try_from(bytes.len());
    let length = length.map_err(|error| PullFault::Malformed(error.to_string()))?;
    socket.write_u32(length).await?;
    socket.write_all(&bytes).await?;
    Ok(())
}

fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, PullFault> {
    let encoded = codec::encode_to_vec(message, config::standard());
    encoded.map_err(|error| PullFault::Malformed(error.to_string()))
}

fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, PullFault> {
    let decoded = codec::decode_from_slice(bytes, config::standard().with_limit::<MESSAGE_BYTES>());
    let (message, _) = decoded.map_err(|error| PullFault::Malformed(error.to_string()))?;
    Ok(message)
}
