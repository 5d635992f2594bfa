//! The list of instances, and callers that ask which of them to use.

use crate::{accept::accept_next, callers::LINGER, clock::boot_ms, state::GatewayState};
use berylmount_adapter::{
    locate::{locate_body, LOCATE_PATH, READY_PATH},
    objects::{decode_object, INSTANCE_KIND},
    store_client::{StoredObject, WriteOutcome},
};
use berylmount_fleet::ProcessSettings;
use berylmount_h1::{H1Stream, HeadLimits};
use http::{header::CONTENT_TYPE, HeaderMap, HeaderValue, StatusCode};
use rand::{rng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Time between two readings of the list: a new instance is used within seconds.
const LIST_INTERVAL: Duration = Duration::from_millis(2500);
/// Instances that read the list at that pace; more read it less often.
const LIST_FLEET: u32 = 12;
/// Time within which instances that start together register: the spread of their
/// starts, and some calls.
const START_SPREAD: Duration = Duration::from_millis(600);
/// Time between two tries to register.
const REGISTER_INTERVAL: Duration = Duration::from_millis(500);
/// How long a caller may use an answer. Short, so that callers soon leave an
/// instance that is gone.
const LOCATE_TTL: Duration = Duration::from_secs(2);
/// Time in which instances register again after the store has come back from an
/// older copy, in milliseconds. As long as silent instances are remembered,
/// because cached parts are freed only once all that are listed have confirmed.
const REGISTER_AGAIN_MS: u64 = 15_000;
/// Time to read a question.
const QUESTION_TIME: Duration = Duration::from_secs(5);

/// What an instance writes of itself into the store.
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
    /// The entry of the instance with these settings.
    pub(crate) fn of(settings: &ProcessSettings) -> Self {
        Self {
            callers: settings.listen.callers,
            peers: settings.peer_address(),
            data_centre: settings.data_centre.clone(),
        }
    }
}

/// Instances that are known.
#[derive(Debug, Default)]
pub(crate) struct InstanceList {
    /// Entries by name.
    entries: Vec<(String, InstanceEntry)>,
    /// The most instances that were known at once.
    most_known: usize,
    /// The era of the store that told the entries.
    era: u64,
    /// Until when entries stay that a new era lacks.
    keeps_until_ms: u64,
    /// Whether it names the instances that started together with this one.
    is_settled: bool,
    /// Whether an earlier process of this instance was in it when it was first read.
    has_predecessor: Option<bool>,
}

impl InstanceList {
    /// The most instances that were known at once.
    pub(crate) fn most_known(&self) -> usize {
        self.most_known.max(1)
    }

    /// Takes a new reading of the list. In a new era instances that the older copy
    /// lacks stay listed until they have had time to register again.
    pub(crate) fn replace(
        &mut self,
        mut entries: Vec<(String, InstanceEntry)>,
        era: u64,
        now_ms: u64,
    ) {
        entries.sort_by(|a, b| a.0.cmp(&b.0));
        if era > self.era {
            if !self.entries.is_empty() {
                self.keeps_until_ms = now_ms + REGISTER_AGAIN_MS;
            }
            self.era = era;
        }
        if now_ms < self.keeps_until_ms {
            entries.append(&mut self.entries);
            // Stable: what was read comes before what was known.
            entries.sort_by(|a, b| a.0.cmp(&b.0));
            entries.dedup_by(|later, first| later.0 == first.0);
        }
        self.most_known = self.most_known.max(entries.len());
        self.entries = entries;
    }

    /// Whether it names the instances that started together with this one, so that
    /// the size of the fleet shows.
    pub(crate) fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Whether this process takes the place of an earlier one, so that callers wait.
    pub(crate) fn has_predecessor(&self) -> bool {
        self.has_predecessor == Some(true)
    }

    /// Entries by name.
    pub(crate) fn entries(&self) -> &[(String, InstanceEntry)] {
        &self.entries
    }
}

/// Addresses that callers may use, in a random order.
///
/// Instances that were heard lately come from the peers; an instance that hears
/// nobody names all that are listed, because it may be the one that is cut off.
fn caller_addresses(state: &GatewayState) -> Vec<SocketAddr> {
    let own = state.settings().listen.callers;
    let mut addresses = state.peers.borrow().ready_callers(boot_ms());
    if addresses.is_empty() {
        let instances = state.instances.borrow();
        addresses.extend(instances.entries().iter().map(|(_, entry)| entry.callers));
    }
    addresses.retain(|address| *address != own);
    let is_ready = !state.is_leaving() && state.table().is_some();
    if is_ready || addresses.is_empty() {
        addresses.push(own);
    }
    addresses.shuffle(&mut rng());
    addresses
}

/// Keeps reading the list of instances, and registers this one where it is missing:
/// at its first start, or after the store has come back from an older copy.
pub(crate) async fn follow_instances(state: Rc<GatewayState>) {
    loop {
        if state.is_leaving() {
            deregister(&state).await;
            return;
        }
        let mut is_registered = read_list(&state).await;
        if !is_registered {
            is_registered = register(&state).await;
            if is_registered {
                // Others that start now register within this time.
                sleep(START_SPREAD).await;
                read_list(&state).await;
            }
        }
        state.instances.borrow_mut().is_settled |= is_registered;
        let interval = if is_registered {
            // Beats tell of other instances sooner; the list must not cost a large
            // fleet a call each.
            let known = state.instance_count() as u32;
            LIST_INTERVAL * known.div_ceil(LIST_FLEET)
        } else {
            REGISTER_INTERVAL
        };
        let era = state.store.era();
        let end = tokio::time::Instant::now() + interval;
        let is_due = || tokio::time::Instant::now() >= end || state.store.era() != era;
        while !is_due() && !state.is_leaving() {
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Reads the list of instances; returns whether this one's entry is in it.
async fn read_list(state: &GatewayState) -> bool {
    let listing = match state.store.list(INSTANCE_KIND, true).await {
        Ok(listing) => listing,
        Err(fault) => {
            log::warn!(target: "instances", fault:% ; "list not read");
            return false;
        }
    };
    let settings = state.settings();
    let own = (settings.name.clone(), InstanceEntry::of(&settings));
    let entries: Vec<_> = listing.objects.iter().filter_map(decode_entry).collect();
    let is_registered = entries.contains(&own);
    let has_own_name = entries.iter().any(|(name, _)| *name == own.0);
    let mut instances = state.instances.borrow_mut();
    instances.has_predecessor.get_or_insert(has_own_name);
    instances.replace(entries, listing.revision.era, boot_ms());
    is_registered
}

fn decode_entry(object: &StoredObject) -> Option<(String, InstanceEntry)> {
    match decode_object::<InstanceEntry>(&object.spec) {
        Ok(entry) => Some((object.name.clone(), entry)),
        Err(fault) => {
            log::warn!(target: "instances", name = object.name, fault:% ; "entry left out");
            None
        }
    }
}

/// Writes this instance's entry; returns whether it is in the store.
async fn register(state: &GatewayState) -> bool {
    let settings = state.settings();
    let Ok(spec) = serde_json::to_value(InstanceEntry::of(&settings)) else {
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
        Ok(_) => replace_entry(state, &settings.name, &spec).await,
        Err(fault) => {
            log::warn!(target: "instances", fault:% ; "not registered");
            false
        }
    }
}

/// Replaces the entry that an earlier process of this instance left.
async fn replace_entry(state: &GatewayState, name: &str, spec: &serde_json::Value) -> bool {
    let known = match state.store.get(INSTANCE_KIND, name, false).await {
        Ok(Some(known)) if known.spec == *spec => return true,
        Ok(Some(known)) => known,
        Ok(None) => return false,
        Err(fault) => {
            log::warn!(target: "instances", fault:% ; "own entry not read");
            return false;
        }
    };
    let written = state
        .store
        .replace(INSTANCE_KIND, name, known.revision.revision, spec);
    matches!(written.await, Ok(WriteOutcome::Stored(_)))
}

/// Takes this instance's entry out of the store.
async fn deregister(state: &GatewayState) {
    let name = state.settings().name.clone();
    for _ in 0..3 {
        let found = state.store.get(INSTANCE_KIND, &name, false).await;
        let removed = match found {
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
        if removed {
            log::info!(target: "instances", name; "deregistered");
            return;
        }
        sleep(Duration::from_millis(300)).await;
    }
    log::warn!(target: "instances", name; "not deregistered: the store does not answer");
}

/// Answers callers that ask for addresses, and the platform's own check.
pub(crate) async fn serve_questions(state: Rc<GatewayState>, listener: TcpListener) {
    loop {
        let socket = accept_next(&listener, "instances").await;
        let state = state.clone();
        spawn_local(async move { answer_questions(&state, H1Stream::new(socket)).await });
    }
}

async fn answer_questions(state: &GatewayState, mut stream: H1Stream) {
    loop {
        let question = stream.read_request(HeadLimits::default());
        let Ok(Ok(head)) = timeout(QUESTION_TIME, question).await else {
            return;
        };
        let is_leaving = state.is_leaving();
        let closes = is_leaving || head.wants_close();
        let mut headers = HeaderMap::new();
        let (status, body) = match head.path() {
            LOCATE_PATH => {
                let addresses = caller_addresses(state);
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                let ttl = LOCATE_TTL.min(state.settings().bounds.locate_ttl);
                (StatusCode::OK, locate_body(&addresses, ttl))
            }
            READY_PATH if is_leaving || state.table().is_none() => {
                (StatusCode::SERVICE_UNAVAILABLE, Vec::new())
            }
            READY_PATH => (StatusCode::OK, Vec::new()),
            _ => (StatusCode::NOT_FOUND, Vec::new()),
        };
        let answer = crate::answers::encode_whole(status, &mut headers, &body, closes);
        if stream.write(&answer).await.is_err() || closes {
            stream.shutdown(LINGER).await;
            return;
        }
    }
}
