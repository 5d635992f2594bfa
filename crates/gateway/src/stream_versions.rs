//! Software versions of runners, and which of them began streams.
//!
//! An instance remembers the version that began each of its streams, and tells the others in
//! its heartbeats, so that its streams go on while it is paused, cut off or gone. For streams
//! that nobody has told of it reads the history of versions, which is one object in the store. If
//! only one version can have begun the stream, that is the one; otherwise the instances store the
//! streams that they begin (`stored`), and tell some others of each at once. If nobody knows the
//! stream when asked (`inquiry`), it began at an instance that does not reply, at a version that
//! this one may have used (`used`). A stream of unknown origin is refused.
//!
//! Nothing is read or written while one version serves and callers take up no such streams.

use crate::{
    clock::boot_ms,
    peer_link::{peer_addresses, pull_history},
    peers::name_hash,
    runner_registry::RunnerHandle,
    state::GatewayState,
    stream_versions::{
        inquiry::{StreamInquiries, StreamReply},
        list_turn::ListTurn,
        used::UsedRecords,
    },
};
use berylmount_adapter::{
    objects::{decode_object, SOFTWARE_KIND},
    store_client::{StoreFault, WriteOutcome},
};
use berylmount_fleet::{CallerRequest, RouteTable, RunnerRecord};
use berylmount_model::unix_ms;
use berylmount_policy::{
    kept_time::KeptTime,
    shared_duties::DutyMember,
    software_versions::{
        BegunStream, BegunStreams, HeardStreams, StreamReport, StreamReporter, VersionHistory,
    },
};
use rand::{rng, seq::SliceRandom};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    join,
    sync::Notify,
    time::{sleep, timeout},
};
use xxhash_rust::xxh3::Xxh3;

pub(crate) mod inquiry;
mod list_turn;
pub(crate) mod stored;
pub(crate) mod used;

/// Name of the object with the history of versions.
const HISTORY_NAME: &str = "versions";
/// The duty of changing it.
const HISTORY_DUTY: &str = "software versions";
/// Number of instances with that duty.
const HISTORY_KEEPERS: usize = 3;
/// Time between two comparisons of the runners with the history.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reads while a version of a runner is not admitted, in milliseconds.
const ADMIT_READ_MS: u64 = 300;
/// Time between two reads while several versions can have begun streams, in milliseconds.
const MIXED_READ_MS: u64 = 5000;
/// Time without a runner of a version from which it counts as gone, in milliseconds. Entries
/// can be missing for some time after an outage of the store.
const GONE_MS: u64 = 3000;
/// Time limit and poll interval of a new stream that waits until a version is admitted.
const ADMIT_LIMIT: Duration = Duration::from_millis(500);
const ADMIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit of a read for a stream that is taken up.
const READ_LIMIT: Duration = Duration::from_millis(600);
/// Attempts of one caller that may follow each other, in time limits of the route.
const ATTEMPT_CHAIN: u32 = 2;
/// Time between two copies of the history of another instance, in milliseconds.
const COPY_INTERVAL_MS: u64 = 1000;
/// Maximum number of instances that are asked for their history.
const MAX_PEERS_ASKED: usize = 2;
/// Maximum clock skew between instances.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// At which software versions a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SoftwareRule {
    /// At any; the response is not resumed.
    Any,
    /// At those at which this instance may begin streams; at none before the history is known.
    Admitted,
    /// At the one with this key, which began the stream.
    Only(u64),
}

impl SoftwareRule {
    /// Whether a runner may run the request.
    pub(crate) fn allows(self, runner: &RunnerRecord, versions: &StreamVersions) -> bool {
        match self {
            Self::Any => true,
            Self::Admitted => versions.may_begin(runner),
            Self::Only(key) => software_key(&runner.service, &runner.software) == key,
        }
    }
}

/// What this instance knows about versions and streams.
#[derive(Debug, Default)]
pub(crate) struct StreamVersions {
    /// For how long streams may be taken up, by the boot clock.
    kept: Cell<KeptTime>,
    /// Streams that this instance has begun or taken up, by the boot clock.
    begun: RefCell<BegunStreams>,
    /// Streams that this instance has begun and is to tell the others.
    untold: RefCell<StreamReporter>,
    /// Streams of which the others have told, by the boot clock.
    heard: RefCell<HeardStreams>,
    /// Streams that instances have stored, as of the last listing, in Unix milliseconds.
    listed: RefCell<BegunStreams>,
    /// When they may be listed again.
    stream_turn: ListTurn,
    /// Number of the last read that is to list the versions that instances may have used.
    origin_read: Cell<u64>,
    /// Versions that instances may have used.
    pub(crate) used: UsedRecords,
    /// Questions to the other instances.
    pub(crate) inquiries: StreamInquiries,
    /// Streams that some other instances are to be told of at once.
    urgent: RefCell<Vec<(u64, u64)>>,
    /// Wakes the task that tells them.
    urgent_ready: Notify,
    /// Streams that this instance has not stored yet, in Unix milliseconds.
    unstored: RefCell<Vec<BegunStream>>,
    history: RefCell<Option<Rc<VersionHistory>>>,
    /// Revision of the history; 0 if there is no object.
    revision: Cell<u64>,
    /// Number of reads that were started, and that of the last one that succeeded.
    reads_started: Cell<u64>,
    reads_done: Cell<u64>,
    /// Whether the last read failed.
    has_failed: Cell<bool>,
    /// Wakes the task that reads.
    read_wanted: Notify,
    /// Wakes those that wait for a read.
    read_done: Notify,
}

impl StreamVersions {
    /// Returns the history as this instance knows it.
    pub(crate) fn history(&self) -> Option<Rc<VersionHistory>> {
        self.history.borrow().clone()
    }

    /// Returns the streams for the next heartbeat.
    pub(crate) fn next_report(&self) -> StreamReport {
        self.untold.borrow_mut().next_report()
    }

    /// Waits until some other instances are to be told of streams at once.
    pub(crate) async fn urgent_streams(&self) -> Vec<(u64, u64)> {
        self.urgent_ready.notified().await;
        self.urgent.take()
    }

    /// Whether this instance may begin streams at the version of a runner.
    fn may_begin(&self, runner: &RunnerRecord) -> bool {
        self.may_begin_at(&runner.service, &runner.software)
    }

    fn may_begin_at(&self, service: &str, version: &str) -> bool {
        let history = self.history.borrow();
        history.as_ref().is_some_and(|history| {
            let may_use =
                history.is_first(service, version) || self.used.contains(service, version);
            may_use && history.is_admitted(service, version)
        })
    }

    /// Records a table that comes into force.
    pub(crate) fn note_table(&self, table: &RouteTable) {
        let mut kept = self.kept.get();
        kept.replace(kept_ms_of(table), boot_ms());
        self.kept.set(kept);
    }

    fn is_mixed(&self, now_ms: u64, kept_ms: u64) -> bool {
        let history = self.history();
        history.is_some_and(|history| history.is_mixed(now_ms, kept_ms))
    }
}

/// Returns the key of a service and a software version.
pub(crate) fn software_key(service: &str, version: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(service.as_bytes());
    hash.update(&[0]);
    hash.update(version.as_bytes());
    hash.digest()
}

/// Returns for how long a stream of a table may be taken up after its first event, in
/// milliseconds.
fn kept_ms_of(table: &RouteTable) -> u64 {
    let routes = table.resumable_routes();
    let longest = routes.map(|route| route.timeout).max().unwrap_or_default();
    (longest * ATTEMPT_CHAIN + MAX_CLOCK_SKEW).as_millis() as u64
}

/// Returns for how long a stream may be taken up after its first event, in milliseconds, under
/// any table under which one can have begun.
fn kept_ms(state: &GatewayState) -> u64 {
    let versions = &state.stream_versions;
    let own_ms = versions.kept.get().longest_ms(boot_ms());
    let history = versions.history.borrow();
    let stored_ms = history.as_ref().map(|history| history.kept_ms(unix_ms()));
    let skew_ms = MAX_CLOCK_SKEW.as_millis() as u64;
    own_ms.max(stored_ms.unwrap_or_default()).max(skew_ms)
}

/// Records that a runner with a version has sent the first event of an attempt.
pub(crate) fn note_begun(state: &GatewayState, request: &CallerRequest, version: u64) {
    let id = request.resumes.as_ref().unwrap_or(&request.id);
    let now_ms = boot_ms();
    let stream = BegunStream {
        id: name_hash(id),
        version,
        begun_ms: now_ms,
    };
    let versions = &state.stream_versions;
    let mut begun = versions.begun.borrow_mut();
    let kept_ms = kept_ms(state);
    begun.expire(now_ms.saturating_sub(kept_ms));
    begun.note(stream);
    versions.untold.borrow_mut().note(&stream);
    let begun_ms = unix_ms();
    if versions.is_mixed(begun_ms, kept_ms) {
        let unstored = BegunStream { begun_ms, ..stream };
        versions.unstored.borrow_mut().push(unstored);
        let mut urgent = versions.urgent.borrow_mut();
        urgent.push((stream.id, stream.version));
        versions.urgent_ready.notify_one();
    }
}

/// Records streams of which another instance has told.
pub(crate) fn note_heard(state: &GatewayState, streams: &[(u64, u64)]) {
    if streams.is_empty() {
        return;
    }
    let now_ms = boot_ms();
    let min_ms = now_ms.saturating_sub(kept_ms(state));
    let mut heard = state.stream_versions.heard.borrow_mut();
    for (id, version) in streams {
        let stream = BegunStream {
            id: *id,
            version: *version,
            begun_ms: now_ms,
        };
        heard.note(stream, min_ms);
    }
}

/// Returns the history that this instance knows, for another one that cannot read the store.
pub(crate) fn history_copy(state: &GatewayState) -> Option<(u64, VersionHistory)> {
    let versions = &state.stream_versions;
    let history = versions.history()?;
    Some((versions.revision.get(), (*history).clone()))
}

/// Waits until a version of the service may begin streams, if runners are there and none may
/// yet.
pub(crate) async fn wait_for_admission(state: &GatewayState, service: &str) {
    let versions = &state.stream_versions;
    let is_pending = || {
        let runners = state.runners.borrow();
        let mut ready = runners.ready_of(service).peekable();
        let has_ready = ready.peek().is_some();
        has_ready && !ready.any(|runner| versions.may_begin(&runner.record()))
    };
    if is_pending() {
        versions.used.store_now();
    }
    let admitted = async {
        while is_pending() && !state.stream_versions.has_failed.get() {
            sleep(ADMIT_POLL_INTERVAL).await;
        }
    };
    // Without an admitted version, the request is refused.
    let _ = timeout(ADMIT_LIMIT, admitted).await;
}

/// Whether a runner of the service with this version takes requests.
pub(crate) fn has_runner_of(state: &GatewayState, service: &str, version: u64) -> bool {
    let runners = state.runners.borrow();
    let mut ready = runners.ready_of(service);
    ready.any(|runner| {
        let record = runner.record();
        software_key(&record.service, &record.software) == version
    })
}

/// Returns the key of the version that began the stream that a request takes up; `None` if it
/// is not known.
pub(crate) async fn version_of_stream(
    state: &GatewayState,
    service: &str,
    request: &CallerRequest,
) -> Option<u64> {
    let versions = &state.stream_versions;
    let id = request.resumes.as_ref().map(|id| name_hash(id));
    let own = id.and_then(|id| versions.begun.borrow().version_of(id));
    let heard = id.and_then(|id| versions.heard.borrow().version_of(id));
    if let Some(version) = own.or(heard) {
        return Some(version);
    }
    // Every version that can have begun the stream was admitted before this read.
    let read = versions.reads_started.get() + 1;
    versions.origin_read.set(read);
    if !wait_for_read(versions, read).await {
        return None;
    }
    let history = versions.history()?;
    let possible = history.possible(service, unix_ms(), kept_ms(state));
    if let [version] = possible.collect::<Vec<&str>>()[..] {
        return Some(software_key(service, version));
    }
    let id = id?;
    let listed = versions.listed.borrow().version_of(id);
    match listed {
        Some(version) => Some(version),
        None => origin_of_untold(state, service, id, read).await,
    }
}

/// Returns the key of the version that began a stream of which nobody has told, if an instance
/// knows it when asked, or if only one version can have. The versions that instances may have
/// used are those of the read with this number.
async fn origin_of_untold(state: &GatewayState, service: &str, id: u64, read: u64) -> Option<u64> {
    let versions = &state.stream_versions;
    let round = inquiry::ask_for_stream(state, id).await?;
    if let Some(version) = round.version_of(id) {
        return Some(version);
    }
    if !versions.used.is_listed_since(read) {
        return None;
    }
    let kept_ms = kept_ms(state);
    let mut asked = round.asked(kept_ms);
    asked.extend(StreamReply::of(state, 0, Vec::new()).asked(kept_ms));
    let history = versions.history()?;
    let version = versions
        .used
        .only_origin(state, &history, service, &asked)?;
    log::info!(target: "software", service, version; "an untold stream can only have begun at this version");
    Some(software_key(service, &version))
}

/// Waits for a read with this number or a later one. Returns whether there was one.
async fn wait_for_read(versions: &StreamVersions, number: u64) -> bool {
    let read = async {
        loop {
            let done = versions.read_done.notified();
            if versions.reads_done.get() >= number {
                return;
            }
            versions.read_wanted.notify_one();
            done.await;
        }
    };
    timeout(READ_LIMIT, read).await.is_ok()
}

/// Reads the history when it is needed, and changes it as runners come and go, if this
/// instance has the duty.
pub(crate) async fn follow_versions(state: Rc<GatewayState>) {
    let (mut read_at_ms, mut copy_at_ms) = (0, 0);
    let mut moves = state.store.source().moves;
    let mut missing: Vec<MissingVersion> = Vec::new();
    loop {
        let is_wanted = tokio::select! {
            () = state.stream_versions.read_wanted.notified() => true,
            () = sleep(COMPARE_INTERVAL) => false,
        };
        let present = present_versions(&state);
        // The store at another address may have another history.
        let is_moved = moves != state.store.source().moves;
        moves = state.store.source().moves;
        if is_wanted
            || is_moved
            || state.stream_versions.has_failed.get()
            || boot_ms() >= read_at_ms + read_interval_ms(&state, &present)
        {
            read_at_ms = boot_ms();
            let outcome = read(&state).await;
            if outcome.is_err() && is_copy_wanted(&state, &present) && boot_ms() >= copy_at_ms {
                copy_history(&state).await;
                let is_known = state.stream_versions.history().is_some();
                copy_at_ms = boot_ms() + if is_known { COPY_INTERVAL_MS } else { 0 };
            }
            state.stream_versions.has_failed.set(outcome.is_err());
            if let Err(fault) = outcome {
                log::warn!(target: "software", fault:% ; "could not read the software versions");
                continue;
            }
        }
        if let Err(fault) = change_history(&state, &present, &mut missing).await {
            log::warn!(target: "software", fault:% ; "could not change the software versions");
        }
    }
}

/// A version without a runner, since a time of the boot clock.
struct MissingVersion {
    service: String,
    version: String,
    since_ms: u64,
}

/// Returns the services with resumable streams, each with a version that a runner has, sorted.
fn present_versions(state: &GatewayState) -> Vec<(String, String)> {
    let Some(table) = state.table() else {
        return Vec::new();
    };
    let runners = state.runners.borrow();
    let is_used = |runner: &&Rc<RunnerHandle>| {
        let record = runner.record();
        let mut shares = table.resumable_routes().flat_map(|route| &route.services);
        shares.any(|share| share.service == record.service)
    };
    let used = runners.all().iter().filter(is_used);
    let versions = used.map(|runner| {
        let record = runner.record();
        (record.service.clone(), record.software.clone())
    });
    let mut versions: Vec<(String, String)> = versions.collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Returns the time between two reads without a caller that takes up a stream.
fn read_interval_ms(state: &GatewayState, present: &[(String, String)]) -> u64 {
    let versions = &state.stream_versions;
    let Some(history) = versions.history() else {
        return ADMIT_READ_MS;
    };
    let is_admitted = |(service, version): &(String, String)| history.is_admitted(service, version);
    match present.iter().all(is_admitted) {
        false => ADMIT_READ_MS,
        true if history.lacks_first() => MIXED_READ_MS,
        true if history.is_mixed(unix_ms(), kept_ms(state)) => MIXED_READ_MS,
        true => u64::MAX / 2,
    }
}

/// Reads the history, and the stored streams if several versions can have begun one.
async fn read(state: &GatewayState) -> Result<(), StoreFault> {
    let versions = &state.stream_versions;
    let number = versions.reads_started.get() + 1;
    versions.reads_started.set(number);
    // Those that ask from here on wait for the next read.
    let wants_used = !versions.used.is_listed_since(versions.origin_read.get());
    let found = state.store.get(SOFTWARE_KIND, HISTORY_NAME, false).await?;
    let (history, revision) = match found {
        Some(object) => match decode_object::<VersionHistory>(&object.spec) {
            Ok(history) => (history, object.revision.revision),
            Err(fault) => {
                // Without any history no stream would ever begin, so it is written anew.
                log::error!(target: "software", fault:% ; "the software versions do not decode");
                (VersionHistory::default(), object.revision.revision)
            }
        },
        None => (VersionHistory::default(), 0),
    };
    apply_history(state, history, revision);
    if versions.is_mixed(unix_ms(), kept_ms(state)) {
        let list_used = async {
            match wants_used {
                true => used::list_used(state, number).await,
                false => Ok(()),
            }
        };
        let (streams, used) = join!(stored::list_streams(state), list_used);
        streams.and(used)?;
    }
    versions.reads_done.set(number);
    versions.read_done.notify_waiters();
    Ok(())
}

/// Whether this instance has to copy the history from another one: it has never read it, and may
/// not begin streams at some version that runners have.
fn is_copy_wanted(state: &GatewayState, present: &[(String, String)]) -> bool {
    let versions = &state.stream_versions;
    let mut present = present.iter();
    let has_all = present.all(|(service, version)| versions.may_begin_at(service, version));
    versions.reads_done.get() == 0 && (versions.history().is_none() || !has_all)
}

/// Copies the history from another instance while this one cannot read the store.
async fn copy_history(state: &GatewayState) {
    let has_history = state.stream_versions.history().is_some();
    let mut addresses: Vec<SocketAddr> = peer_addresses(state);
    addresses.shuffle(&mut rng());
    for address in addresses.into_iter().take(MAX_PEERS_ASKED) {
        match pull_history(address).await {
            Ok(Some((revision, _)))
                if has_history && revision <= state.stream_versions.revision.get() => {}
            Ok(Some((revision, history))) => {
                log::info!(target: "software", revision, peer:% = address; "copied the software versions");
                return apply_history(state, history, revision);
            }
            Ok(None) => {}
            Err(fault) => {
                log::warn!(target: "software", peer:% = address, fault:% ; "could not copy the software versions");
            }
        }
    }
}

/// Puts a history in force. If several versions can have begun streams from now on, those of
/// this instance are to be stored.
fn apply_history(state: &GatewayState, history: VersionHistory, revision: u64) {
    let versions = &state.stream_versions;
    let (now_ms, kept_ms) = (unix_ms(), kept_ms(state));
    let was_mixed = versions.is_mixed(now_ms, kept_ms);
    versions.revision.set(revision);
    *versions.history.borrow_mut() = Some(Rc::new(history));
    if !was_mixed && versions.is_mixed(now_ms, kept_ms) {
        log::info!(target: "software", revision; "several software versions serve; streams are stored");
        let begun = versions.begun.borrow();
        let boot_ms = boot_ms();
        let stored = begun.streams().iter().map(|stream| BegunStream {
            begun_ms: now_ms.saturating_sub(boot_ms.saturating_sub(stream.begun_ms)),
            ..*stream
        });
        versions.unstored.borrow_mut().extend(stored);
    }
}

/// Admits versions of runners, and retires those without a runner, if that is due.
async fn change_history(
    state: &GatewayState,
    present: &[(String, String)],
    missing: &mut Vec<MissingVersion>,
) -> Result<(), StoreFault> {
    let versions = &state.stream_versions;
    let Some(known) = versions.history() else {
        return Ok(());
    };
    let (now_ms, now_unix_ms) = (boot_ms(), unix_ms());
    let mut history = (*known).clone();
    for (service, version) in present {
        history.admit(service, version);
    }
    for (service, version) in gone_versions(&history, present, missing, now_ms) {
        history.retire(&service, &version, now_unix_ms);
    }
    if !history.versions().is_empty() {
        let is_new = versions.revision.get() == 0;
        history.record_era(state.store.era(), now_unix_ms, is_new);
        if let Some(table) = state.table() {
            history.record_kept(kept_ms_of(&table), now_unix_ms);
        }
        if history.lacks_first() {
            history.renew_first(now_unix_ms, kept_ms(state));
        }
    }
    if history == *known || !is_keeper(state) {
        return Ok(());
    }
    history.forget(now_unix_ms, kept_ms(state));
    let spec = match serde_json::to_value(&history) {
        Ok(spec) => spec,
        Err(fault) => {
            log::error!(target: "software", fault:% ; "could not encode the software versions");
            return Ok(());
        }
    };
    let store = &state.store;
    let outcome = match versions.revision.get() {
        0 => store.create(SOFTWARE_KIND, HISTORY_NAME, &spec).await?,
        revision => {
            let written = store.replace(SOFTWARE_KIND, HISTORY_NAME, revision, &spec);
            written.await?
        }
    };
    match outcome {
        WriteOutcome::Stored(revision) => {
            log::info!(target: "software", versions:? = history.versions(); "changed the software versions");
            apply_history(state, history, revision.revision);
        }
        // Another instance has changed it.
        WriteOutcome::Conflict(_) | WriteOutcome::Missing => read(state).await?,
    }
    Ok(())
}

/// Returns the versions in service that no runner has had for some time, although runners of
/// the same service are known.
fn gone_versions(
    history: &VersionHistory,
    present: &[(String, String)],
    missing: &mut Vec<MissingVersion>,
    now_ms: u64,
) -> Vec<(String, String)> {
    let mut still_missing = Vec::new();
    let mut gone = Vec::new();
    for known in history.versions() {
        let is_present = |(service, version): &(String, String)| {
            *service == known.service && *version == known.version
        };
        let has_others = present.iter().any(|(service, _)| *service == known.service);
        if known.left_ms.is_some() || !has_others || present.iter().any(is_present) {
            continue;
        }
        let before = missing
            .iter()
            .find(|m| m.service == known.service && m.version == known.version);
        let since_ms = before.map_or(now_ms, |m| m.since_ms);
        if now_ms >= since_ms + GONE_MS {
            gone.push((known.service.clone(), known.version.clone()));
        }
        still_missing.push(MissingVersion {
            service: known.service.clone(),
            version: known.version.clone(),
            since_ms,
        });
    }
    *missing = still_missing;
    gone
}

/// Whether this instance changes the history.
fn is_keeper(state: &GatewayState) -> bool {
    let settings = state.settings();
    let own = DutyMember {
        name: &settings.name,
        strength: settings.machine.capacity_millicores(),
    };
    let peers = state.peers.borrow();
    let (_, is_keeper) = peers.first_members(own, HISTORY_DUTY, HISTORY_KEEPERS, boot_ms());
    is_keeper
}
