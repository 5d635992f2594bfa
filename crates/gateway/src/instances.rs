//! The list of instances, and the endpoint where callers look up instances to use.

use crate::{
    accept::{accept_next, note_option},
    caller_memory::{CallerAccounts, SEND_BYTES},
    callers::LINGER_TIME,
    clock::boot_ms,
    home_regions::LookupScope,
    responses::encode_response,
    saves::note_listed,
    state::GatewayState,
};
use berylmount_adapter::{
    locate::{locate_body, LOCATE_PATH, READY_PATH},
    objects::{decode_object, INSTANCE_KIND},
    store_client::{StoreSource, StoredObject, WriteOutcome},
};
use berylmount_fleet::ProcessSettings;
use berylmount_h1::{H1Stream, HeadLimits, PeerRole};
use berylmount_model::unix_ms;
use http::{header::CONTENT_TYPE, HeaderMap, HeaderValue, StatusCode};
use rand::{rng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Time between two reads of the list. It is short so that callers use a new instance
/// within seconds.
const LIST_INTERVAL: Duration = Duration::from_millis(2500);
/// Number of instances up to which each reads the list at that interval. Larger
/// fleets read it less often.
const LIST_INTERVAL_INSTANCES: u32 = 12;
/// Time within which instances that start together register. It covers the spread of
/// their start times and some calls.
const START_SETTLE_TIME: Duration = Duration::from_millis(600);
/// Time between two attempts to register.
const REGISTER_INTERVAL: Duration = Duration::from_millis(500);
/// How long a caller may cache a response. It is short so that callers soon stop using
/// an instance that is gone.
const LOCATE_TTL: Duration = Duration::from_secs(2);
/// Time for instances to register again after the store was restored from an older
/// backup, in milliseconds. It equals the time for which silent instances are
/// remembered, because cached parts are freed only once all listed instances have
/// confirmed that they no longer fetch them.
const REREGISTER_MS: u64 = 15_000;
/// Time limit for reading a request, and for writing its response.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The entry that an instance writes for itself into the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct InstanceEntry {
    /// The address for callers.
    pub(crate) callers: SocketAddr,
    /// The address for other instances.
    pub(crate) peers: SocketAddr,
    /// Its data centre.
    pub(crate) data_centre: String,
}

impl InstanceEntry {
    /// Returns the entry of the instance with these settings.
    pub(crate) fn of(settings: &ProcessSettings) -> Self {
        Self {
            callers: settings.listen.callers,
            peers: settings.peer_address(),
            data_centre: settings.data_centre.clone(),
        }
    }
}

/// The entry in the store, with what other instances have to know when it no longer answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ListedEntry {
    #[serde(flatten)]
    entry: InstanceEntry,
    /// Since when the instance stores the software versions that it may use, in Unix
    /// milliseconds; 0 if it always has, `None` if it does not.
    #[serde(default)]
    records_since_ms: Option<u64>,
}

/// The known instances.
#[derive(Debug, Default)]
pub(crate) struct InstanceList {
    /// Entries, sorted by name.
    entries: Vec<(String, InstanceEntry)>,
    /// When the last of them began to store the software versions that it may use, in Unix
    /// milliseconds; `None` if one does not.
    all_record_since_ms: Option<u64>,
    /// Maximum number of instances that were known at the same time.
    max_known: usize,
    /// Where the entries were read.
    source: StoreSource,
    /// Until when entries that are missing in a new source are retained, by the boot clock.
    retained_until_ms: u64,
    /// Whether the list contains the instances that started together with this one.
    is_settled: bool,
    /// Whether the first read contained an entry of an earlier process of this instance;
    /// `None` before the first read.
    has_predecessor: Option<bool>,
}

impl InstanceList {
    /// Maximum number of instances that were known at the same time, at least 1.
    pub(crate) fn max_known(&self) -> usize {
        self.max_known.max(1)
    }

    /// Records that `count` instances have been heard of, with this one.
    pub(crate) fn note_live(&mut self, count: usize) {
        self.max_known = self.max_known.max(count);
    }

    /// Replaces the entries with those read from the store. In a new era or at a new address,
    /// instances that are missing stay listed until they have had time to register again.
    pub(crate) fn replace(
        &mut self,
        mut entries: Vec<(String, InstanceEntry)>,
        source: StoreSource,
        now_ms: u64,
    ) {
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        if source > self.source {
            if !self.entries.is_empty() {
                self.retained_until_ms = now_ms + REREGISTER_MS;
            }
            self.source = source;
        }
        if now_ms < self.retained_until_ms {
            entries.append(&mut self.entries);
            // The sort is stable, so entries just read precede retained ones.
            entries.sort_by(|a, b| a.0.cmp(&b.0));
            entries.dedup_by(|later, first| later.0 == first.0);
        }
        self.max_known = self.max_known.max(entries.len());
        self.entries = entries;
    }

    /// Whether the list contains the instances that started together with this one, so
    /// that it shows the size of the fleet.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Whether the list was read since the process started.
    pub(crate) fn is_read(&self) -> bool {
        self.has_predecessor.is_some()
    }

    /// Whether this process replaces an earlier process of this instance, so that callers
    /// are already waiting.
    pub(crate) fn has_predecessor(&self) -> bool {
        self.has_predecessor == Some(true)
    }

    /// Whether this process may replace an earlier process of this instance, also while that is
    /// not known.
    pub(crate) fn may_have_predecessor(&self) -> bool {
        self.has_predecessor != Some(false)
    }

    /// Whether an instance of this name is listed.
    pub(crate) fn contains(&self, name: &str) -> bool {
        let found = self
            .entries
            .binary_search_by(|(known, _)| known.as_str().cmp(name));
        found.is_ok()
    }

    /// Whether all listed instances have stored since `min_ms` which software versions they may
    /// use.
    pub(crate) fn all_record(&self, min_ms: u64) -> bool {
        self.all_record_since_ms
            .is_some_and(|since_ms| since_ms <= min_ms)
    }

    /// Returns the entries, sorted by name.
    pub(crate) fn entries(&self) -> &[(String, InstanceEntry)] {
        &self.entries
    }
}

/// Returns the addresses that callers may use, in random order.
///
/// These are the instances with recent heartbeats. An instance that receives no
/// heartbeats returns all listed instances, because it may itself be partitioned.
///
/// Names those that the routes of the requested host allow, or all if they allow none.
fn caller_addresses(state: &GatewayState, query: &str) -> Vec<SocketAddr> {
    let (settings, table) = (state.settings(), state.table());
    let own = settings.listen.callers;
    let (peers, instances) = (state.peers.borrow(), state.instances.borrow());
    let mut entries: Vec<&InstanceEntry> = peers.ready_entries(boot_ms()).collect();
    if entries.is_empty() {
        entries.extend(instances.entries().iter().map(|(_, entry)| entry));
    }
    // Callers' addresses, each with its data centre.
    let located = entries.iter().map(|e| (e.callers, &e.data_centre));
    let mut located: Vec<(SocketAddr, &String)> = located.collect();
    located.retain(|(address, _)| *address != own);
    let is_ready = !state.is_draining() && table.is_some();
    if is_ready || located.is_empty() {
        located.push((own, &settings.data_centre));
    }
    let scope = LookupScope::new(query, table.as_deref(), &settings.regions);
    if located.iter().any(|(_, centre)| scope.contains(centre)) {
        located.retain(|(_, centre)| scope.contains(centre));
    }
    let mut addresses: Vec<SocketAddr> = located.into_iter().map(|(address, _)| address).collect();
    addresses.shuffle(&mut rng());
    addresses
}

/// Reads the list of instances periodically, and registers this instance when its
/// entry is missing, which happens at its first start, after the store was restored
/// from an older backup, or at a new address of the store.
pub(crate) async fn sync_instance_list(state: Rc<GatewayState>) {
    loop {
        if state.is_draining() {
            deregister(&state).await;
            return;
        }
        let mut is_registered = read_list(&state).await;
        if !is_registered {
            is_registered = register(&state).await;
            if is_registered {
                // Other instances that start now register within this time.
                sleep(START_SETTLE_TIME).await;
                read_list(&state).await;
            }
        }
        state.instances.borrow_mut().is_settled |= is_registered;
        let interval = if is_registered {
            // Heartbeats announce other instances sooner. The interval grows with the
            // fleet so that the rate of list calls does not.
            let known = state.instance_count() as u32;
            LIST_INTERVAL * known.div_ceil(LIST_INTERVAL_INSTANCES)
        } else {
            REGISTER_INTERVAL
        };
        let source = state.store.source();
        let end = tokio::time::Instant::now() + interval;
        let is_due = || tokio::time::Instant::now() >= end || state.store.source() != source;
        while !is_due() && !state.is_draining() {
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Reads the list of instances. Returns whether it contains the current entry of this
/// instance.
async fn read_list(state: &GatewayState) -> bool {
    let listing = match state.store.list(INSTANCE_KIND, true).await {
        Ok(listing) => listing,
        Err(fault) => {
            log::warn!(target: "instances", fault:% ; "could not read the list of instances");
            return false;
        }
    };
    let settings = state.settings();
    let own = (settings.name.clone(), InstanceEntry::of(&settings));
    let listed: Vec<_> = listing.objects.iter().filter_map(decode_entry).collect();
    let is_own = |(name, listed): &(String, ListedEntry)| {
        *name == own.0 && listed.entry == own.1 && listed.records_since_ms.is_some()
    };
    let is_registered = listed.iter().any(is_own);
    let since_ms = listed.iter().map(|(_, listed)| listed.records_since_ms);
    // An entry that does not decode may be one of other code.
    let is_whole = listed.len() == listing.objects.len();
    let all_record_since_ms = since_ms
        .min_by_key(|since_ms| since_ms.map(Reverse))
        .filter(|_| is_whole);
    let entries = listed
        .into_iter()
        .map(|(name, listed)| (name, listed.entry));
    let entries: Vec<_> = entries.collect();
    let has_own_name = entries.iter().any(|(name, _)| *name == own.0);
    let mut instances = state.instances.borrow_mut();
    instances.all_record_since_ms = all_record_since_ms.flatten();
    instances.has_predecessor.get_or_insert(has_own_name);
    let source = StoreSource {
        era: listing.revision.era,
        ..state.store.source()
    };
    instances.replace(entries, source, boot_ms());
    drop(instances);
    note_listed(state);
    is_registered
}

fn decode_entry(object: &StoredObject) -> Option<(String, ListedEntry)> {
    match decode_object::<ListedEntry>(&object.spec) {
        Ok(entry) => Some((object.name.clone(), entry)),
        Err(fault) => {
            log::warn!(target: "instances", name = object.name, fault:% ; "ignored an instance entry that does not decode");
            None
        }
    }
}

/// Writes the entry of this instance. Returns whether it is now in the store.
async fn register(state: &GatewayState) -> bool {
    let settings = state.settings();
    let mut listed = ListedEntry {
        entry: InstanceEntry::of(&settings),
        records_since_ms: Some(0),
    };
    let Ok(spec) = serde_json::to_value(&listed) else {
        return false;
    };
    match state
        .store
        .create(INSTANCE_KIND, &settings.name, &spec)
        .await
    {
        Ok(WriteOutcome::Stored(_)) => {
            log::info!(target: "instances", name = settings.name; "registered");
            true
        }
        Ok(_) => replace_entry(state, &settings.name, &mut listed).await,
        Err(fault) => {
            log::warn!(target: "instances", fault:% ; "could not register this instance");
            false
        }
    }
}

/// Replaces the entry that an earlier process of this instance left behind.
async fn replace_entry(state: &GatewayState, name: &str, listed: &mut ListedEntry) -> bool {
    let known = match state.store.get(INSTANCE_KIND, name, false).await {
        Ok(Some(known)) => known,
        Ok(None) => return false,
        Err(fault) => {
            log::warn!(target: "instances", fault:% ; "could not read the entry of this instance");
            return false;
        }
    };
    // An earlier process of older code does not store what it uses.
    let before = decode_entry(&known).and_then(|(_, before)| before.records_since_ms);
    listed.records_since_ms = Some(before.unwrap_or_else(unix_ms));
    let Ok(spec) = serde_json::to_value(listed) else {
        return false;
    };
    if known.spec == spec {
        return true;
    }
    let written = state
        .store
        .replace(INSTANCE_KIND, name, known.revision.revision, &spec);
    matches!(written.await, Ok(WriteOutcome::Stored(_)))
}

/// Deletes the entry of this instance from the store.
async fn deregister(state: &GatewayState) {
    let name = state.settings().name.clone();
    for _ in 0..3 {
        let found = state.store.get(INSTANCE_KIND, &name, false).await;
        let is_deleted = match found {
            Ok(Some(object)) => {
                let revision = object.revision.revision;
                let deleted = state.store.delete(INSTANCE_KIND, &name, revision);
                matches!(
                    deleted.await,
                    Ok(WriteOutcome::Stored(_) | WriteOutcome::Missing)
                )
            }
            Ok(None) => true,
            Err(_) => false,
        };
        if is_deleted {
            log::info!(target: "instances", name; "deregistered");
            return;
        }
        sleep(Duration::from_millis(300)).await;
    }
    log::warn!(target: "instances", name; "could not deregister because the store did not confirm the deletion");
}

/// Serves callers' address lookups and the platform's readiness check.
pub(crate) async fn serve_locate(state: Rc<GatewayState>, listener: TcpListener) {
    let accounts = Rc::new(CallerAccounts::new(state.metrics.clone()));
    loop {
        let socket = accept_next(&listener, "instances").await;
        let Some(account) = accounts.admit(&state.settings().machine, "instances") else {
            continue;
        };
        let stream = H1Stream::new(socket, PeerRole::Client);
        note_option(stream.limit_send_buffer(SEND_BYTES), "send buffer");
        let state = state.clone();
        spawn_local(async move {
            tokio::select! {
                () = serve_requests(&state, stream) => {}
                () = account.evicted() => {}
            }
        });
    }
}

async fn serve_requests(state: &GatewayState, mut stream: H1Stream) {
    loop {
        let request = stream.read_request(HeadLimits::default());
        let Ok(Ok(head)) = timeout(REQUEST_READ_TIMEOUT, request).await else {
            return;
        };
        let is_draining = state.is_draining();
        let closes = is_draining || head.wants_close();
        let mut headers = HeaderMap::new();
        let (status, body) = match head.path() {
            LOCATE_PATH => {
                let addresses = caller_addresses(state, head.query());
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                let ttl = LOCATE_TTL.min(state.settings().bounds.locate_ttl);
                (StatusCode::OK, locate_body(&addresses, ttl))
            }
            READY_PATH if is_draining || state.table().is_none() => {
                (StatusCode::SERVICE_UNAVAILABLE, Vec::new())
            }
            READY_PATH => (StatusCode::OK, Vec::new()),
            _ => (StatusCode::NOT_FOUND, Vec::new()),
        };
        let response = encode_response(&head.method, status, &mut headers, &body, closes);
        let written = timeout(REQUEST_READ_TIMEOUT, stream.write(&response)).await;
        if !matches!(written, Ok(Ok(()))) || closes {
            stream.shutdown(LINGER_TIME).await;
            return;
        }
    }
}
