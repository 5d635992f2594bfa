//! Questions to the other instances about streams of which they have not told.
//!
//! An instance that replies has begun none of the streams that it does not name, as far back as
//! it says, so that only others can have. The streams of several callers are asked for at once.

use super::note_heard;
use crate::{
    clock::boot_ms,
    peer_link::{peer_addresses, send_message},
    peers::PeerMessage,
    state::GatewayState,
};
use berylmount_policy::software_versions::AskedProcess;
use serde::{Deserialize, Serialize};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// Time in which the streams of several callers are collected.
const COLLECT_TIME: Duration = Duration::from_millis(10);
/// Time limit of the replies to one datagram, which is sent twice because it may be lost.
const REPLY_LIMIT: Duration = Duration::from_millis(75);
const MAX_SENT: usize = 2;
/// Time limit of a caller's question, with the round before it.
const ASK_LIMIT: Duration = Duration::from_millis(400);
/// Maximum number of streams in one datagram.
const MAX_ASKED: usize = 64;

/// What an instance knows about streams for which another one asks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct StreamReply {
    /// Number of the round.
    number: u64,
    /// Name of the instance.
    name: String,
    /// When the process started, in Unix milliseconds, and how long ago.
    started_ms: u64,
    age_ms: u64,
    /// For how long it has known all streams that the process has begun.
    known_ms: u64,
    /// The streams that it knows, with their versions.
    streams: Vec<(u64, u64)>,
}

impl StreamReply {
    /// Returns the reply of this process, which knows some of the streams.
    pub(super) fn of(state: &GatewayState, number: u64, streams: Vec<(u64, u64)>) -> Self {
        let now_ms = boot_ms();
        let begun = state.stream_versions.begun.borrow();
        // Streams of earlier processes are not known.
        let known_since_ms = begun.known_since_ms().max(state.started_boot_ms);
        Self {
            number,
            name: state.settings().name.clone(),
            started_ms: state.started_ms,
            age_ms: now_ms.saturating_sub(state.started_boot_ms),
            known_ms: now_ms.saturating_sub(known_since_ms),
            streams,
        }
    }

    /// Returns the process with the name of its instance, if it knows all streams that it has
    /// begun and that may be taken up.
    pub(super) fn asked(&self, kept_ms: u64) -> Option<(String, AskedProcess)> {
        let process = AskedProcess {
            process: self.started_ms,
            age_ms: self.age_ms,
        };
        let knows_all = process.knows_all(self.known_ms, kept_ms);
        knows_all.then(|| (self.name.clone(), process))
    }
}

/// One question to all instances.
#[derive(Debug, Default)]
pub(super) struct InquiryRound {
    number: u64,
    streams: Vec<u64>,
    replies: Vec<(SocketAddr, StreamReply)>,
}

impl InquiryRound {
    /// Returns the key of the version that began a stream, if an instance knows it.
    pub(super) fn version_of(&self, id: u64) -> Option<u64> {
        let mut streams = self.replies.iter().flat_map(|(_, reply)| &reply.streams);
        let found = streams.find(|(stream, _)| *stream == id);
        found.map(|(_, version)| *version)
    }

    /// Returns the processes that replied and know all streams that they have begun and that
    /// may be taken up, by the name of their instance.
    pub(super) fn asked(&self, kept_ms: u64) -> Vec<(String, AskedProcess)> {
        let replies = self.replies.iter();
        let asked = replies.filter_map(|(_, reply)| reply.asked(kept_ms));
        asked.collect()
    }

    fn is_answered(&self, addresses: &[SocketAddr]) -> bool {
        let mut streams = self.streams.iter();
        streams.all(|id| self.version_of(*id).is_some()) || self.silent(addresses).is_empty()
    }

    /// Returns the addresses that have not replied.
    fn silent(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let has_replied = |address: &&SocketAddr| self.replies.iter().any(|(a, _)| a == *address);
        let silent = addresses.iter().filter(|address| !has_replied(address));
        silent.copied().collect()
    }
}

/// The questions of this instance.
#[derive(Debug, Default)]
pub(crate) struct StreamInquiries {
    /// Streams that are to be asked for.
    pending: RefCell<Vec<u64>>,
    /// The round that is open, or the last one.
    open: RefCell<InquiryRound>,
    ended: RefCell<Rc<InquiryRound>>,
    /// Wakes the task that asks.
    wanted: Notify,
    /// Wakes it after a reply.
    replied: Notify,
    /// Wakes those that wait for the end of a round.
    round_ended: Notify,
}

/// Asks all instances for a stream; `None` if that takes too long.
pub(super) async fn ask_for_stream(state: &GatewayState, id: u64) -> Option<Rc<InquiryRound>> {
    let inquiries = &state.stream_versions.inquiries;
    let since = inquiries.open.borrow().number;
    inquiries.pending.borrow_mut().push(id);
    let ended = async {
        loop {
            let round_ended = inquiries.round_ended.notified();
            let round = inquiries.ended.borrow().clone();
            if round.number > since && round.streams.contains(&id) {
                return round;
            }
            inquiries.wanted.notify_one();
            round_ended.await;
        }
    };
    timeout(ASK_LIMIT, ended).await.ok()
}

/// Asks the other instances for the streams that callers take up.
pub(crate) async fn ask_instances(state: Rc<GatewayState>) {
    let inquiries = &state.stream_versions.inquiries;
    // Replies to an earlier process have lower numbers.
    inquiries.open.borrow_mut().number = state.started_ms;
    loop {
        inquiries.wanted.notified().await;
        while !inquiries.pending.borrow().is_empty() {
            sleep(COLLECT_TIME).await;
            let mut pending = inquiries.pending.take();
            pending.sort_unstable();
            pending.dedup();
            let later = pending.split_off(pending.len().min(MAX_ASKED));
            inquiries.pending.borrow_mut().extend(later);
            run_round(&state, pending).await;
        }
    }
}

async fn run_round(state: &GatewayState, streams: Vec<u64>) {
    let inquiries = &state.stream_versions.inquiries;
    let number = inquiries.open.borrow().number + 1;
    *inquiries.open.borrow_mut() = InquiryRound {
        number,
        streams: streams.clone(),
        replies: Vec::new(),
    };
    let addresses = peer_addresses(state);
    let query = PeerMessage::StreamQuery(number, streams);
    for _ in 0..MAX_SENT {
        let silent = inquiries.open.borrow().silent(&addresses);
        if let Some(socket) = state.peer_socket.get() {
            send_message(socket, &silent, &query).await;
        }
        let answered = async {
            while !inquiries.open.borrow().is_answered(&addresses) {
                inquiries.replied.notified().await;
            }
        };
        if timeout(REPLY_LIMIT, answered).await.is_ok() {
            break;
        }
    }
    let next = InquiryRound {
        number,
        ..InquiryRound::default()
    };
    let round = inquiries.open.replace(next);
    for (_, reply) in &round.replies {
        note_heard(state, &reply.streams);
    }
    *inquiries.ended.borrow_mut() = Rc::new(round);
    inquiries.round_ended.notify_waiters();
}

/// Returns the reply to a question of another instance.
pub(crate) fn reply_to_query(state: &GatewayState, number: u64, streams: &[u64]) -> StreamReply {
    let versions = &state.stream_versions;
    let (begun, heard) = (versions.begun.borrow(), versions.heard.borrow());
    let known = streams.iter().filter_map(|id| {
        let version = begun.version_of(*id).or_else(|| heard.version_of(*id));
        version.map(|version| (*id, version))
    });
    StreamReply::of(state, number, known.collect())
}

/// Records the reply of another instance.
pub(crate) fn note_reply(state: &GatewayState, sender: SocketAddr, reply: StreamReply) {
    let inquiries = &state.stream_versions.inquiries;
    let mut open = inquiries.open.borrow_mut();
    if open.number == reply.number && open.silent(&[sender]) == [sender] {
        open.replies.push((sender, reply));
        inquiries.replied.notify_one();
    }
}
