//! Kinds of messages between instances that were added after the first format.
//!
//! Instances of two builds run side by side during an upgrade. A message of a kind that a build
//! does not know must neither change the meaning of others nor hide them, so each of these
//! kinds is sent in a frame with its number and its length.
//!
//! Invariants:
//!
//! - The number of a kind never changes and is never used again.
//! - The payload of a kind only grows at its end. A build ignores what follows the fields that it
//!   knows.
//! - A datagram has frames after all other messages, because the first builds without frames
//!   stop at the first one.
//! - An instance gets no frames of kinds that it has not stated to know for some time, except
//!   for such statements. The first builds without frames log each one.

use crate::{
    clock::boot_ms,
    cold_runners::{deliver_reply, reply_to_request},
    peer_link::{decode, encode, send_message, send_messages, PullFault},
    peer_skips::{note_skipped, SkipReason},
    peers::{ColdPermitReply, ColdPermitRequest, EvacuationReport, PeerMessage, RequestTimesReply},
    request_queries::{note_times_reply, reply_to_times_query},
    state::GatewayState,
    waiting::DemandReport,
};
use berylmount_policy::save_orders::SaveReport;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use strum::{Display, EnumIter, FromRepr, IntoEnumIterator};
use tokio::net::UdpSocket;

/// Time between two statements of the known kinds. An instance also answers the first one of
/// another process.
pub(crate) const KINDS_INTERVAL: Duration = Duration::from_secs(5);

/// The number of a kind of message.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, FromRepr, PartialEq)]
#[repr(u16)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ExtensionKind {
    /// [`PeerExtension::Evacuations`].
    Evacuations = 1,
    /// [`PeerExtension::ColdRequest`].
    ColdRequest = 2,
    /// [`PeerExtension::Demand`].
    Demand = 4,
    /// [`PeerExtension::KnownKinds`].
    KnownKinds = 5,
    /// [`PeerExtension::ColdReply`].
    ColdReply = 16,
    /// [`PeerExtension::RequestTimesQuery`].
    RequestTimesQuery = 17,
    /// [`PeerExtension::RequestTimesReply`].
    RequestTimesReply = 18,
    /// [`PeerExtension::Saves`].
    Saves = 19,
}

/// A message of one of these kinds, as it is sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ExtensionFrame {
    kind: u16,
    payload: Vec<u8>,
}

/// A message of one of these kinds. Only wire cases serialize it as a whole.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum PeerExtension {
    /// What the sender knows of evacuations. Follows the heartbeats of watchers, and of others
    /// after a change.
    Evacuations(EvacuationReport),
    /// A request for a permit for one request to a cold runner.
    ColdRequest(ColdPermitRequest),
    /// The reply to such a request.
    ColdReply(ColdPermitReply),
    /// The numbers of the kinds that the build of the instance with this name knows.
    KnownKinds(String, Vec<u16>),
    /// What arrives at an instance, by class. Follows each of its heartbeats.
    Demand(DemandReport),
    /// A query with this number for the request times of weights.
    RequestTimesQuery(u64),
    /// The reply to such a query.
    RequestTimesReply(RequestTimesReply),
    /// What the sender knows of stores, and which saves it has ordered. Follows each of its
    /// heartbeats.
    Saves(SaveReport),
}

impl PeerExtension {
    /// Returns the statement of the instance with this name.
    pub(crate) fn own_kinds(name: &str) -> Self {
        let kinds = ExtensionKind::iter().map(|kind| kind as u16);
        Self::KnownKinds(name.to_owned(), kinds.collect())
    }

    fn kind(&self) -> ExtensionKind {
        match self {
            Self::Evacuations(_) => ExtensionKind::Evacuations,
            Self::ColdRequest(_) => ExtensionKind::ColdRequest,
            Self::ColdReply(_) => ExtensionKind::ColdReply,
            Self::KnownKinds(..) => ExtensionKind::KnownKinds,
            Self::Demand(_) => ExtensionKind::Demand,
            Self::RequestTimesQuery(_) => ExtensionKind::RequestTimesQuery,
            Self::RequestTimesReply(_) => ExtensionKind::RequestTimesReply,
            Self::Saves(_) => ExtensionKind::Saves,
        }
    }

    /// Encodes the message.
    pub(crate) fn encode(&self) -> Result<ExtensionFrame, PullFault> {
        let payload = match self {
            Self::Evacuations(report) => encode(report)?,
            Self::ColdRequest(request) => encode(request)?,
            Self::ColdReply(reply) => encode(reply)?,
            Self::KnownKinds(name, kinds) => encode(&(name, kinds))?,
            Self::Demand(report) => encode(report)?,
            Self::RequestTimesQuery(number) => encode(number)?,
            Self::RequestTimesReply(reply) => encode(reply)?,
            Self::Saves(report) => encode(report)?,
        };
        Ok(ExtensionFrame {
            kind: self.kind() as u16,
            payload,
        })
    }

    /// Decodes a message; `None` if this build does not know its kind.
    pub(crate) fn decode(frame: &ExtensionFrame) -> Result<Option<Self>, PullFault> {
        let Some(kind) = ExtensionKind::from_repr(frame.kind) else {
            return Ok(None);
        };
        Ok(Some(match kind {
            ExtensionKind::Evacuations => Self::Evacuations(decode(&frame.payload)?),
            ExtensionKind::ColdRequest => Self::ColdRequest(decode(&frame.payload)?),
            ExtensionKind::ColdReply => Self::ColdReply(decode(&frame.payload)?),
            ExtensionKind::KnownKinds => {
                let (name, kinds) = decode(&frame.payload)?;
                Self::KnownKinds(name, kinds)
            }
            ExtensionKind::Demand => Self::Demand(decode(&frame.payload)?),
            ExtensionKind::RequestTimesQuery => Self::RequestTimesQuery(decode(&frame.payload)?),
            ExtensionKind::RequestTimesReply => Self::RequestTimesReply(decode(&frame.payload)?),
            ExtensionKind::Saves => Self::Saves(decode(&frame.payload)?),
        }))
    }
}

/// Tells the instances at `addresses` which kinds this build knows.
pub(crate) async fn state_kinds(
    state: &GatewayState,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
) {
    let extension = PeerExtension::own_kinds(&state.settings().name);
    send_frame(socket, addresses, &extension).await;
}

pub(crate) async fn send_frame(
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    extension: &PeerExtension,
) {
    match extension.encode() {
        Ok(frame) => send_message(socket, addresses, &PeerMessage::Extended(frame)).await,
        Err(fault) => log::error!(target: "peers", fault:% ; "could not encode a message"),
    }
}

/// Sends one datagram to each address: `messages`, followed by those of `extensions` whose kind the
/// instance knows.
pub(crate) async fn send_with_extensions(
    state: &GatewayState,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    messages: &[PeerMessage],
    extensions: &[PeerExtension],
) {
    // Instances that get the same datagram, with that datagram.
    let mut groups = vec![(addresses.to_vec(), messages.to_vec())];
    for extension in extensions {
        let frame = match extension.encode() {
            Ok(frame) => frame,
            Err(fault) => {
                log::error!(target: "peers", fault:% ; "could not encode a message");
                continue;
            }
        };
        let peers = state.peers.borrow();
        let knowing = peers.knowing_kind(addresses, extension.kind(), boot_ms());
        let mut split = Vec::with_capacity(2 * groups.len());
        for (members, sent) in groups {
            let is_knowing = |address: &SocketAddr| knowing.contains(address);
            let (with, without): (Vec<_>, Vec<_>) = members.into_iter().partition(is_knowing);
            let extended = [&sent[..], &[PeerMessage::Extended(frame.clone())]].concat();
            split.extend([(with, extended), (without, sent)]);
        }
        split.retain(|(members, _)| !members.is_empty());
        groups = split;
    }
    for (members, sent) in groups {
        send_messages(socket, &members, &sent).await;
    }
}

/// Applies a message of the instance at `sender`, and replies if it asks for something.
pub(crate) async fn receive_extension(
    state: &Rc<GatewayState>,
    socket: &UdpSocket,
    sender: SocketAddr,
    frame: &ExtensionFrame,
) {
    match PeerExtension::decode(frame) {
        Ok(Some(PeerExtension::Demand(report))) => {
            let invalid = state.waiting.note_report(&report);
            if invalid > 0 {
                log::warn!(target: "admission", sender:%, invalid; "ignored entries of a report of demand");
            }
        }
        Ok(Some(PeerExtension::Evacuations(report))) => {
            let mut peers = state.peers.borrow_mut();
            peers.note_evacuations(report, boot_ms());
        }
        Ok(Some(PeerExtension::ColdRequest(request))) => {
            let reply = PeerExtension::ColdReply(reply_to_request(state, &request));
            send_frame(socket, &[sender], &reply).await;
        }
        Ok(Some(PeerExtension::ColdReply(reply))) => deliver_reply(state, reply),
        Ok(Some(PeerExtension::RequestTimesQuery(number))) => {
            let reply = PeerExtension::RequestTimesReply(reply_to_times_query(state, number));
            send_frame(socket, &[sender], &reply).await;
        }
        Ok(Some(PeerExtension::RequestTimesReply(reply))) => {
            note_times_reply(state, sender, &reply)
        }
        Ok(Some(PeerExtension::Saves(report))) => {
            let mut fleet_saves = state.fleet_saves.borrow_mut();
            fleet_saves.note_report(report, boot_ms());
        }
        Ok(Some(PeerExtension::KnownKinds(name, kinds))) => {
            let unanswered = state.peers.borrow_mut().note_known_kinds(&name, kinds);
            if let Some(address) = unanswered {
                state_kinds(state, socket, &[address]).await;
            }
        }
        Ok(None) => {
            let detail = format!("kind {}", frame.kind);
            note_skipped(state, SkipReason::UnknownKind, sender, &detail);
        }
        Err(fault) => {
            let detail = format!("kind {}: {fault}", frame.kind);
            note_skipped(state, SkipReason::Malformed, sender, &detail);
        }
    }
}
