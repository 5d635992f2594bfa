//! Fetches kept cache before a run and keeps it after one.
//!
//! Whether to fetch is the policy's decision, from the bytes already promised
//! on the store's link. Keeping is done by a thread of its own behind a bounded
//! channel: a full channel drops the oldest wish to keep, never a request.

use crate::shared::DispatchShared;
use berylmount_model::{InstanceRecord, InstanceRole, PieceKey, PIECE_TOKENS};
use berylmount_policy::{
    assignment::{self, MemberWeight},
    FetchPlan, LinkId, LinkTracker,
};
use berylmount_targets::{kept::KeptCache, EngineClient, TargetTimeouts};
use berylmount_telemetry::CounterMetric;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender},
        Mutex, MutexGuard, PoisonError,
    },
    time::Duration,
};

/// Stores asked for the pieces of one prompt.
const STORES_ASKED: usize = 2;

/// How many far stores a near one counts for when a prompt is kept.
const NEAR_STORE_WEIGHT: u32 = 4;

/// Wait for stores to say which pieces they have.
const FIND_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest time that a runner may spend on writing one prompt's pieces.
const KEEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Wait for a store to free what is due.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// Wishes to keep that may wait.
const KEEPS_WAITING: usize = 64;

/// A fetch may take this many times what was expected before it is given up.
const FETCH_PATIENCE: f64 = 3.0;

/// A wish to keep the pieces that a runner holds.
#[derive(Clone, Debug)]
pub struct KeepWish {
    /// The runner.
    runner: SocketAddr,
    /// The pieces, in prompt order.
    pieces: Vec<PieceKey>,
}

/// What is known of the stores' links, sorted by store.
#[derive(Debug, Default)]
struct LinkTable {
    book: LinkTracker,
    links: Vec<(SocketAddr, LinkId)>,
}

impl LinkTable {
    /// The link to `store`, added if it is new.
    fn link(&mut self, store: SocketAddr, bytes_per_s: u64) -> LinkId {
        match self.links.binary_search_by_key(&store, |(s, _)| *s) {
            Ok(slot) => self.links[slot].1,
            Err(slot) => {
                let link = self.book.add_link(bytes_per_s);
                self.links.insert(slot, (store, link));
                link
            }
        }
    }
}

/// Kept cache as a dispatch process uses it.
#[derive(Debug)]
pub struct KeptDesk {
    cache: KeptCache,
    links: Mutex<LinkTable>,
    tickets: AtomicU64,
    wishes: SyncSender<KeepWish>,
}

/// What a run needs from kept cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchOrder<'a> {
    /// The keys of the prompt's whole pieces.
    pub(crate) pieces: &'a [PieceKey],
    /// Leading pieces that the runner is thought to hold.
    pub(crate) held: usize,
    /// Time that computing one piece takes, in milliseconds.
    pub(crate) piece_ms: f64,
    /// Time left to the first token, in milliseconds.
    pub(crate) left_ms: u64,
}

impl KeptDesk {
    /// A desk of the process incarnation `origin`, and the wishes to serve.
    pub(crate) fn new(origin: u64, timeouts: TargetTimeouts) -> (Self, Receiver<KeepWish>) {
        let (wishes, to_keep) = sync_channel(KEEPS_WAITING);
        let desk = Self {
            cache: KeptCache::new(origin, timeouts),
            links: Mutex::default(),
            tickets: AtomicU64::new(0),
            wishes,
        };
        (desk, to_keep)
    }

    /// Locks the links; a panic elsewhere leaves them whole.
    fn links(&self) -> MutexGuard<'_, LinkTable> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has `runner` fetch pieces if that is faster than computing them.
    ///
    /// Returns the tokens fetched.
    pub(crate) fn fetch(
        &self,
        shared: &DispatchShared,
        runner: &EngineClient,
        order: &FetchOrder<'_>,
    ) -> u64 {
        let missing = order.pieces.get(order.held..).unwrap_or_default();
        let Some(first) = order.pieces.first().filter(|_| !missing.is_empty()) else {
            return 0;
        };
        let stores = ranked_stores(shared, first);
        let addresses: Vec<_> = stores.iter().map(|store| store.address).collect();
        let hits = self.cache.find(&addresses, missing, FIND_TIMEOUT);
        let Some(&(store, _)) = hits.names().first() else {
            return 0;
        };
        let saved_ms = order.piece_ms * hits.count() as f64;
        let link = self.link(shared, &stores, store);
        let now_ms = shared.now_ms();
        let plan = self.links().book.plan(link, hits.bytes(), saved_ms, now_ms);
        let FetchPlan::Fetch { expected_ms } = plan else {
            return 0;
        };
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        self.links().book.begin(link, ticket, hits.bytes(), now_ms);
        let limit_ms = (expected_ms * FETCH_PATIENCE).min(order.left_ms as f64);
        let limit = Duration::from_secs_f64(limit_ms / 1e3);
        let outcome = self.cache.fetch(runner, &hits, limit);
        let arrived = outcome.stop.is_none();
        let now_ms = shared.now_ms();
        self.links().book.finish(link, ticket, arrived, now_ms);
        shared
            .metrics
            .add(CounterMetric::LinkBytesTotal, "fetch", outcome.bytes);
        (outcome.pieces * PIECE_TOKENS) as u64
    }

    /// The link to the store at `address`, with the rate of its pool's row.
    fn link(
        &self,
        shared: &DispatchShared,
        stores: &[InstanceRecord],
        address: SocketAddr,
    ) -> LinkId {
        let record = stores.iter().find(|store| store.address == address);
        let view = shared.table.view();
        let row = record.and_then(|store| view.pool(&store.pool));
        let rate = row.map_or(0, |row| row.link_bytes_per_s);
        self.links().link(address, rate)
    }

    /// Wishes to keep what `runner` holds of a prompt whose run has ended.
    pub(crate) fn wish_to_keep(&self, runner: SocketAddr, pieces: &[PieceKey]) {
        if pieces.is_empty() {
            return;
        }
        let wish = KeepWish {
            runner,
            pieces: pieces.to_vec(),
        };
        if self.wishes.try_send(wish).is_err() {
            log::debug!(target: "kept", "too many prompts wait to be kept; one is not");
        }
    }

    /// Has a runner write pieces to a store.
    fn keep(&self, shared: &DispatchShared, wish: &KeepWish) {
        let Some(first) = wish.pieces.first() else {
            return;
        };
        let runner = EngineClient::new(wish.runner, shared.target_timeouts());
        for store in ranked_stores(shared, first) {
            let address = store.address;
            let outcome = self
                .cache
                .keep(&runner, address, &wish.pieces, KEEP_TIMEOUT);
            shared
                .metrics
                .add(CounterMetric::LinkBytesTotal, "export", outcome.bytes);
            if outcome.sealed.len() + outcome.present > 0 {
                return;
            }
        }
    }

    /// Frees what is due at the stores.
    pub(crate) fn free_due(&self) {
        self.cache.free_due(FREE_TIMEOUT);
    }
}

/// Keeps what is wished for until the process ends.
pub(crate) fn serve_wishes(shared: &DispatchShared, wishes: &Receiver<KeepWish>) {
    for wish in wishes {
        shared.kept.keep(shared, &wish);
    }
}

/// Live stores for a prompt whose first piece is `first`, best first.
fn ranked_stores(shared: &DispatchShared, first: &PieceKey) -> Vec<InstanceRecord> {
    let stores = shared
        .roster
        .with_role(InstanceRole::Store, shared.now_ms());
    let live: Vec<_> = stores
        .into_iter()
        .filter_map(|(record, live)| live.then_some(record))
        .collect();
    let near = &shared.settings.data_centre;
    let names: Vec<_> = live
        .iter()
        .map(|record| MemberWeight {
            name: record.name.as_str(),
            weight: match record.data_centre == *near {
                true => NEAR_STORE_WEIGHT,
                false => 1,
            },
        })
        .collect();
    let ranked = assignment::rank_members(first.to_string().as_bytes(), &names, STORES_ASKED);
    ranked
        .into_iter()
        .map(|place| live[place].clone())
        .collect()
}
