//! Queries for the request times of weights.
//!
//! A heartbeat only hints at these times, because it may have been delayed. The process with the
//! hint is asked, and the time at which the query was sent makes its reply a bound that is never too
//! late.
//!
//! An instance whose build does not know the query is not asked, so its hints count for a short time
//! only. That is the same as the loss of the query.

use crate::{
    clock::boot_ms,
    peer_extensions::{send_frame, ExtensionKind, PeerExtension},
    peers::RequestTimesReply,
    state::GatewayState,
};
use rand::{rng, RngExt};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};
use tokio::{net::UdpSocket, sync::Notify};

/// Minimum time between two queries, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 200;
/// Maximum number of queries whose replies are awaited. A reply to the oldest takes more than a
/// second.
const MAX_OPEN_QUERIES: usize = 8;

/// A query without a reply.
#[derive(Clone, Copy, Debug)]
struct OpenQuery {
    number: u64,
    sent_ms: u64,
}

/// The queries of this process.
#[derive(Debug, Default)]
pub(crate) struct RequestQueries {
    /// Oldest first.
    open: RefCell<Vec<OpenQuery>>,
    /// When the next query may be sent.
    next_ms: Cell<u64>,
    /// The instance to ask next, by its address for other instances.
    target: Cell<Option<SocketAddr>>,
    /// Wakes the task that sends queries.
    target_set: Notify,
}

impl RequestQueries {
    /// Waits until an instance is to be asked; returns its address for other instances.
    pub(crate) async fn next_target(&self) -> SocketAddr {
        loop {
            if let Some(address) = self.target.take() {
                return address;
            }
            self.target_set.notified().await;
        }
    }

    /// Opens a query that is sent now; returns its number.
    fn open_query(&self) -> u64 {
        let (number, sent_ms) = (rng().random(), boot_ms());
        let mut open = self.open.borrow_mut();
        if open.len() >= MAX_OPEN_QUERIES {
            open.remove(0);
        }
        open.push(OpenQuery { number, sent_ms });
        number
    }

    /// Closes a query; returns when it was sent, or `None` if it is not open.
    fn close_query(&self, number: u64) -> Option<u64> {
        let mut open = self.open.borrow_mut();
        let index = open.iter().position(|query| query.number == number)?;
        Some(open.remove(index).sent_ms)
    }
}

/// Whether the build of the instance at `address` knows such queries.
pub(crate) fn knows_times_queries(state: &GatewayState, address: SocketAddr) -> bool {
    let (kind, now_ms) = (ExtensionKind::RequestTimesQuery, boot_ms());
    let peers = state.peers.borrow();
    !peers.knowing_kind(&[address], kind, now_ms).is_empty()
}

/// Has the instance at `address` asked for the request times of weights, unless one has just been
/// asked.
pub(crate) fn ask_for_times(state: &GatewayState, address: SocketAddr) {
    let (queries, now_ms) = (&state.request_queries, boot_ms());
    if now_ms < queries.next_ms.get() || !knows_times_queries(state, address) {
        return;
    }
    queries.next_ms.set(now_ms + QUERY_INTERVAL_MS);
    queries.target.set(Some(address));
    queries.target_set.notify_one();
}

/// Sends a query to the instance at `address`.
pub(crate) async fn send_times_query(
    state: &GatewayState,
    socket: &UdpSocket,
    address: SocketAddr,
) {
    let query = PeerExtension::RequestTimesQuery(state.request_queries.open_query());
    send_frame(socket, &[address], &query).await;
}

/// Replies to the query of another instance.
pub(crate) fn reply_to_times_query(state: &GatewayState, number: u64) -> RequestTimesReply {
    RequestTimesReply {
        number,
        ages: state.request_ages(boot_ms()),
    }
}

/// Applies the reply of the instance at `sender` to a query of this one.
pub(crate) fn note_times_reply(
    state: &GatewayState,
    sender: SocketAddr,
    reply: &RequestTimesReply,
) {
    match state.request_queries.close_query(reply.number) {
        Some(sent_ms) => state.apply_times_reply(sender, reply, sent_ms),
        None => {
            log::debug!(target: "weights", sender:%; "ignored a reply to no open query");
        }
    }
}
