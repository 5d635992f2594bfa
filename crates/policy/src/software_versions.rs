//! Software versions of the runners of a service, and the streams that each has begun.
//!
//! What two versions write does not fit together, so that a stream may go on only at the version
//! that began it. An instance that has not begun a stream itself proves its version in one of
//! three ways: only one version was in service while the stream can have begun, the instance
//! that began it has told or stored which one it was, or the instances that can have begun it
//! without telling may have used only one version ([`OriginSearch`]).
//!
//! Invariants:
//!
//! - A version begins streams only after it was admitted to the history, so that a history that
//!   is read later names every version that can have begun a stream.
//! - An instance begins streams only at the first version of a service, and at those that it has
//!   stored as used.
//! - A stream that was forgotten is never taken for one that was not begun.
//! - A version that cannot be proved is unknown, never any version.
//! - Memory is bounded.

use crate::kept_time::KeptTime;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, mem::replace};

/// Maximum number of begun streams that an instance remembers.
const MAX_STREAMS: usize = 16_384;
/// Maximum number of streams of other instances that an instance remembers.
const MAX_HEARD_STREAMS: usize = 65_536;
/// Number of messages in a row that contain a stream, because messages may be lost.
const REPORT_COPIES: usize = 2;
/// Maximum number of streams in one message.
const MAX_REPORTED_STREAMS: usize = 512;

/// A software version that runners of a service have, or had.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KnownVersion {
    /// Name of the service.
    pub service: String,
    /// The version; versions have no order.
    pub version: String,
    /// When its last runner left, in Unix milliseconds; `None` while it is in service.
    pub left_ms: Option<u64>,
}

/// The software versions of all services, as they are stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionHistory {
    /// Sorted by service and version.
    versions: Vec<KnownVersion>,
    /// For each service the version that was admitted first, or was the only one later, sorted
    /// by service. Instances use it without storing that.
    #[serde(default)]
    first: Vec<ServiceVersion>,
    /// Since when instances store what they use; `None` after a change by an older process.
    #[serde(default)]
    recorded: Option<RecordedSpan>,
    /// For how long streams may be taken up, for instances that do not know earlier tables.
    #[serde(default)]
    kept: KeptTime,
    /// Versions that were the first ones before.
    #[serde(default)]
    former: Vec<FormerVersion>,
}

/// A service and a software version of it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServiceVersion {
    /// Name of the service.
    pub service: String,
    /// The version.
    pub version: String,
}

/// A version that was the first one of its service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct FormerVersion {
    version: ServiceVersion,
    /// In Unix milliseconds.
    until_ms: u64,
}

/// The time for which the stored versions of instances are complete.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct RecordedSpan {
    /// Era of the store.
    era: u64,
    /// In Unix milliseconds; 0 if there was no history before.
    since_ms: u64,
}

impl VersionHistory {
    /// Whether a version may begin streams.
    pub fn is_admitted(&self, service: &str, version: &str) -> bool {
        let found = self.find(service, version);
        found.is_ok_and(|index| self.versions[index].left_ms.is_none())
    }

    /// Returns the versions that can have begun a stream in the last `kept_ms`.
    ///
    /// ```
    /// use berylmount_policy::software_versions::VersionHistory;
    ///
    /// let mut history = VersionHistory::default();
    /// assert!(history.admit("svc", "v1") && history.admit("svc", "v2"));
    /// assert!(history.retire("svc", "v1", 50_000));
    /// let versions = |now_ms| -> Vec<&str> { history.possible("svc", now_ms, 30_000).collect() };
    /// assert_eq!(versions(60_000), ["v1", "v2"]);
    /// assert_eq!(versions(90_000), ["v2"]);
    /// ```
    pub fn possible<'a>(
        &'a self,
        service: &'a str,
        now_ms: u64,
        kept_ms: u64,
    ) -> impl Iterator<Item = &'a str> {
        let of_service = self.versions.iter().filter(move |v| v.service == service);
        let possible =
            of_service.filter(move |v| v.left_ms.is_none_or(|left_ms| now_ms < left_ms + kept_ms));
        possible.map(|v| v.version.as_str())
    }

    /// Whether several versions of any service can have begun streams in the last `kept_ms`.
    pub fn is_mixed(&self, now_ms: u64, kept_ms: u64) -> bool {
        let mut services = self.versions.iter().map(|known| known.service.as_str());
        services.any(|service| self.possible(service, now_ms, kept_ms).count() > 1)
    }

    /// Whether a version is the first of its service, which instances use without storing that.
    pub fn is_first(&self, service: &str, version: &str) -> bool {
        self.first_of(service) == Some(version)
    }

    fn first_of(&self, service: &str) -> Option<&str> {
        let found = self.find_first(service).ok()?;
        Some(&self.first[found].version)
    }

    /// Makes the version that is the only one of its service in service the first one, so that
    /// instances that cannot write to the store use it. Drops former ones that can have begun
    /// no stream in the last `kept_ms`.
    ///
    /// ```
    /// use berylmount_policy::software_versions::VersionHistory;
    ///
    /// let mut history = VersionHistory::default();
    /// assert!(history.admit("svc", "v1") && history.admit("svc", "v2"));
    /// history.renew_first(1000, 30_000);
    /// assert!(history.is_first("svc", "v1"));
    /// assert!(history.retire("svc", "v1", 2000) && history.lacks_first());
    /// history.renew_first(2000, 30_000);
    /// assert!(history.is_first("svc", "v2"));
    /// ```
    pub fn renew_first(&mut self, now_ms: u64, kept_ms: u64) {
        let is_kept = |former: &FormerVersion| counts_as_former(former, now_ms, kept_ms);
        self.former.retain(is_kept);
        for only in self.only_versions() {
            match self.find_first(&only.service) {
                Ok(index) => {
                    let version = replace(&mut self.first[index], only);
                    let until_ms = now_ms;
                    self.former.push(FormerVersion { version, until_ms });
                }
                Err(index) => self.first.insert(index, only),
            }
        }
    }

    /// Whether a version is the only one of its service in service, and not the first one.
    pub fn lacks_first(&self) -> bool {
        !self.only_versions().is_empty()
    }

    fn only_versions(&self) -> Vec<ServiceVersion> {
        let is_only = |known: &&KnownVersion| {
            let of_service = self.versions.iter().filter(|v| v.service == known.service);
            of_service.filter(|v| v.left_ms.is_none()).count() == 1
        };
        let later = self.later_versions().filter(is_only);
        later
            .map(|known| ServiceVersion::new(&known.service, &known.version))
            .collect()
    }

    /// Records that what instances store about their versions belongs to an era of the store.
    /// `is_new` tells that there was no history before.
    ///
    /// ```
    /// use berylmount_policy::software_versions::VersionHistory;
    ///
    /// let mut history = VersionHistory::default();
    /// history.record_era(0, 5000, true);
    /// assert!(history.is_recorded(0, 6000, 30_000));
    /// history.record_era(1, 7000, false);
    /// assert!(!history.is_recorded(1, 8000, 30_000));
    /// assert!(history.is_recorded(1, 40_000, 30_000));
    /// ```
    pub fn record_era(&mut self, era: u64, now_ms: u64, is_new: bool) {
        if self.recorded.is_some_and(|span| span.era == era) {
            return;
        }
        // The backup of another era lacks what was stored after it.
        let since_ms = match is_new && era == 0 {
            true => 0,
            false => now_ms,
        };
        self.recorded = Some(RecordedSpan { era, since_ms });
    }

    /// Whether instances have stored in this era all versions that they used in the last
    /// `kept_ms`.
    pub fn is_recorded(&self, era: u64, now_ms: u64, kept_ms: u64) -> bool {
        self.recorded.is_some_and(|span| {
            let is_complete = span.since_ms == 0 || now_ms >= span.since_ms + kept_ms;
            span.era == era && is_complete
        })
    }

    /// Records for how long streams may be taken up under a table.
    ///
    /// ```
    /// use berylmount_policy::software_versions::VersionHistory;
    ///
    /// let mut history = VersionHistory::default();
    /// history.record_kept(30_000, 0);
    /// history.record_kept(5000, 1000);
    /// assert_eq!(history.kept_ms(2000), 30_000);
    /// assert_eq!(history.kept_ms(31_000), 5000);
    /// ```
    pub fn record_kept(&mut self, kept_ms: u64, now_ms: u64) {
        self.kept.adopt(kept_ms, now_ms);
    }

    /// Returns for how long streams may be taken up, under this table and those before.
    pub fn kept_ms(&self, now_ms: u64) -> u64 {
        self.kept.longest_ms(now_ms)
    }

    /// Returns the versions in service that are not the first of their service.
    pub fn later_versions(&self) -> impl Iterator<Item = &KnownVersion> {
        let in_service = self.versions.iter().filter(|known| known.left_ms.is_none());
        in_service.filter(|known| !self.is_first(&known.service, &known.version))
    }

    /// Admits a version. Returns whether that changes the history.
    pub fn admit(&mut self, service: &str, version: &str) -> bool {
        if let Err(index) = self.find_first(service) {
            if self.versions.iter().all(|known| known.service != service) {
                let first = ServiceVersion::new(service, version);
                self.first.insert(index, first);
            }
        }
        let known = KnownVersion {
            service: service.to_owned(),
            version: version.to_owned(),
            left_ms: None,
        };
        match self.find(service, version) {
            Ok(index) if self.versions[index].left_ms.is_none() => return false,
            Ok(index) => self.versions[index] = known,
            Err(index) => self.versions.insert(index, known),
        }
        true
    }

    /// Records that the last runner of a version has left. Returns whether that changes the
    /// history.
    pub fn retire(&mut self, service: &str, version: &str, now_ms: u64) -> bool {
        let Ok(index) = self.find(service, version) else {
            return false;
        };
        let left_ms = &mut self.versions[index].left_ms;
        left_ms.replace(left_ms.unwrap_or(now_ms)).is_none()
    }

    /// Drops versions that can have begun no stream in the last `kept_ms`.
    pub fn forget(&mut self, now_ms: u64, kept_ms: u64) {
        let is_kept = |known: &KnownVersion| known.left_ms.is_none_or(|ms| now_ms < ms + kept_ms);
        self.versions.retain(is_kept);
    }

    /// Returns all versions, sorted by service and version.
    pub fn versions(&self) -> &[KnownVersion] {
        &self.versions
    }

    fn find_first(&self, service: &str) -> Result<usize, usize> {
        self.first
            .binary_search_by(|first| first.service.as_str().cmp(service))
    }

    fn find(&self, service: &str, version: &str) -> Result<usize, usize> {
        let key = (service, version);
        self.versions
            .binary_search_by(|known| (known.service.as_str(), known.version.as_str()).cmp(&key))
    }
}

impl ServiceVersion {
    fn new(service: &str, version: &str) -> Self {
        Self {
            service: service.to_owned(),
            version: version.to_owned(),
        }
    }
}

/// Whether an instance can have begun streams in the last `kept_ms` at a version as the first
/// one, by a history of the last `kept_ms` before.
fn counts_as_former(former: &FormerVersion, now_ms: u64, kept_ms: u64) -> bool {
    now_ms < former.until_ms + 2 * kept_ms
}

/// The versions at which an instance may have begun streams, other than the first of each
/// service, as it has stored them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsedVersions {
    /// Start of the process that stored them, in Unix milliseconds.
    pub process: u64,
    /// Era of the store in which they were stored.
    pub era: u64,
    /// Versions that the process may use, sorted.
    pub versions: Vec<ServiceVersion>,
    /// Versions that earlier processes of the instance may have used, sorted.
    pub earlier: Vec<ServiceVersion>,
}

impl UsedVersions {
    /// Whether the instance may begin streams at a version.
    pub fn contains(&self, service: &str, version: &str) -> bool {
        let key = (service, version);
        let found = self
            .versions
            .binary_search_by(|used| (used.service.as_str(), used.version.as_str()).cmp(&key));
        found.is_ok()
    }

    /// Whether a process has to store more before it may use all versions in service.
    pub fn lacks(&self, history: &VersionHistory, era: u64) -> bool {
        let mut later = history.later_versions();
        let is_stale = !self.versions.is_empty() && self.era != era;
        is_stale || later.any(|known| !self.contains(&known.service, &known.version))
    }

    /// Returns a record that names all versions of a history.
    pub fn all(history: &VersionHistory) -> Self {
        let known = history.versions.iter();
        let versions = known.map(|known| ServiceVersion::new(&known.service, &known.version));
        Self {
            versions: versions.collect(),
            ..Self::default()
        }
    }

    /// Whether a version that was used is still in the history.
    pub fn names_version_of(&self, history: &VersionHistory) -> bool {
        let mut used = self.versions.iter().chain(&self.earlier);
        used.any(|used| history.find(&used.service, &used.version).is_ok())
    }

    /// Returns what a process stores so that it may use all versions in service.
    ///
    /// ```
    /// use berylmount_policy::software_versions::{UsedVersions, VersionHistory};
    ///
    /// let mut history = VersionHistory::default();
    /// assert!(history.admit("svc", "v1") && history.admit("svc", "v2"));
    /// let used = UsedVersions::default();
    /// assert!(used.lacks(&history, 0));
    /// let used = used.extended(&history, 1000, 0);
    /// assert!(used.contains("svc", "v2") && !used.lacks(&history, 0));
    /// let used = used.extended(&history, 2000, 0);
    /// assert_eq!(used.versions, used.earlier);
    /// ```
    #[must_use]
    pub fn extended(&self, history: &VersionHistory, process: u64, era: u64) -> Self {
        let is_same = self.process == process;
        let is_known = |used: &&ServiceVersion| history.find(&used.service, &used.version).is_ok();
        let own = self.versions.iter().filter(is_known);
        let later = history.later_versions();
        let later = later.map(|known| ServiceVersion::new(&known.service, &known.version));
        let mut versions: Vec<ServiceVersion> = own.clone().cloned().chain(later).collect();
        let earlier = self.earlier.iter().filter(is_known);
        let mut earlier: Vec<ServiceVersion> = match is_same {
            true => earlier.cloned().collect(),
            false => earlier.chain(own).cloned().collect(),
        };
        for list in [&mut versions, &mut earlier] {
            list.sort_unstable();
            list.dedup();
        }
        Self {
            process,
            era,
            versions,
            earlier,
        }
    }
}

/// A running process that knows all streams which it has begun and that may be taken up, and
/// did not know a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AskedProcess {
    /// Its start, in Unix milliseconds.
    pub process: u64,
    /// Time since its start, in milliseconds.
    pub age_ms: u64,
}

impl AskedProcess {
    /// Whether the process knows all streams that it has begun and that may be taken up for
    /// `kept_ms`, if it knows those of the last `known_ms`.
    ///
    /// ```
    /// use berylmount_policy::software_versions::AskedProcess;
    ///
    /// let asked = AskedProcess { process: 1000, age_ms: 60_000 };
    /// assert!(asked.knows_all(40_000, 30_000) && !asked.knows_all(20_000, 30_000));
    /// let asked = AskedProcess { process: 1000, age_ms: 20_000 };
    /// assert!(asked.knows_all(20_000, 30_000));
    /// ```
    pub fn knows_all(&self, known_ms: u64, kept_ms: u64) -> bool {
        known_ms >= kept_ms.min(self.age_ms)
    }
}

/// The search for the version that began a stream of which no instance has told.
///
/// Each instance that can have begun the stream adds the versions that it may have used. If
/// there is only one, the stream began at it.
#[derive(Clone, Debug)]
pub struct OriginSearch<'a> {
    service: &'a str,
    era: u64,
    kept_ms: u64,
    /// Versions that can have begun a stream at all.
    possible: Vec<&'a str>,
    found: Vec<&'a str>,
    is_unknown: bool,
}

impl<'a> OriginSearch<'a> {
    /// Starts a search among the versions of a history that was read after the stream began.
    ///
    /// ```
    /// use berylmount_policy::software_versions::{
    ///     AskedProcess, OriginSearch, UsedVersions, VersionHistory,
    /// };
    ///
    /// let mut history = VersionHistory::default();
    /// history.record_era(0, 0, true);
    /// assert!(history.admit("svc", "v1") && history.admit("svc", "v2"));
    /// let used = UsedVersions::default().extended(&history, 1000, 0);
    /// let mut search = OriginSearch::new(&history, "svc", 0, 5000, 30_000);
    /// // One instance is silent before it has stored that it uses the second version.
    /// search.add_instance(None, None);
    /// let asked = AskedProcess { process: 1000, age_ms: 4000 };
    /// search.add_instance(Some(&used), Some(asked));
    /// assert_eq!(search.version(), Some("v1"));
    /// // Another one is silent after it has.
    /// search.add_instance(Some(&used), None);
    /// assert_eq!(search.version(), None);
    /// ```
    pub fn new(
        history: &'a VersionHistory,
        service: &'a str,
        era: u64,
        now_ms: u64,
        kept_ms: u64,
    ) -> Self {
        let possible: Vec<&str> = history.possible(service, now_ms, kept_ms).collect();
        let mut search = Self {
            service,
            era,
            kept_ms,
            possible,
            found: Vec::new(),
            is_unknown: !history.is_recorded(era, now_ms, kept_ms),
        };
        if let Some(first) = history.first_of(service) {
            search.add(first);
        }
        for former in &history.former {
            if former.version.service == service && counts_as_former(former, now_ms, kept_ms) {
                search.add(&former.version.version);
            }
        }
        search
    }

    /// Adds an instance with what it has stored, and its process if that did not know the
    /// stream.
    pub fn add_instance(&mut self, used: Option<&'a UsedVersions>, asked: Option<AskedProcess>) {
        let Some(used) = used else {
            return;
        };
        let is_same = match asked {
            // Streams of earlier processes can no longer be taken up.
            Some(asked) if asked.age_ms >= self.kept_ms => return,
            Some(asked) => asked.process == used.process,
            None => false,
        };
        if used.era != self.era {
            return self.add_unknown();
        }
        let own = used.versions.iter().filter(|_| !is_same);
        for version in own.chain(&used.earlier) {
            if version.service == self.service {
                self.add(&version.version);
            }
        }
    }

    /// Adds an instance of which nothing is known.
    pub fn add_unknown(&mut self) {
        self.is_unknown = true;
    }

    /// Returns the version that began the stream, if it is proved.
    pub fn version(&self) -> Option<&'a str> {
        match self.found[..] {
            [version] if !self.is_unknown => Some(version),
            _ => None,
        }
    }

    fn add(&mut self, version: &'a str) {
        if self.possible.contains(&version) && !self.found.contains(&version) {
            self.found.push(version);
        }
    }
}

/// A stream that has brought its first event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BegunStream {
    /// Key of the attempt that brought the first event.
    pub id: u64,
    /// Key of the service and the software version.
    pub version: u64,
    /// When it was last known to run, in milliseconds of a clock of the caller.
    pub begun_ms: u64,
}

/// The streams that were begun recently.
#[derive(Clone, Debug, Default)]
pub struct BegunStreams {
    /// Sorted by id.
    streams: Vec<BegunStream>,
    /// Ids in the order in which they were noted.
    order: VecDeque<u64>,
    /// All streams that began then or later are known.
    known_since_ms: u64,
}

impl BegunStreams {
    /// Records a stream.
    ///
    /// ```
    /// use berylmount_policy::software_versions::{BegunStream, BegunStreams};
    ///
    /// let mut begun = BegunStreams::default();
    /// begun.note(BegunStream { id: 5, version: 1, begun_ms: 1000 });
    /// assert_eq!((begun.version_of(5), begun.version_of(6)), (Some(1), None));
    /// begun.expire(2000);
    /// assert_eq!(begun.version_of(5), None);
    /// ```
    pub fn note(&mut self, stream: BegunStream) {
        match self.find(stream.id) {
            Ok(index) => self.streams[index] = stream,
            Err(index) => {
                self.streams.insert(index, stream);
                self.order.push_back(stream.id);
            }
        }
        if self.order.len() > MAX_STREAMS {
            self.remove_first();
        }
    }

    /// Returns the key of the version that began a stream.
    pub fn version_of(&self, id: u64) -> Option<u64> {
        Some(self.streams[self.find(id).ok()?].version)
    }

    /// Returns since when all streams that began are known; 0 if none was dropped.
    ///
    /// ```
    /// use berylmount_policy::software_versions::{BegunStream, BegunStreams};
    ///
    /// let mut begun = BegunStreams::default();
    /// begun.note(BegunStream { id: 5, version: 1, begun_ms: 1000 });
    /// assert_eq!(begun.known_since_ms(), 0);
    /// begun.expire(2000);
    /// assert_eq!(begun.known_since_ms(), 1001);
    /// ```
    pub fn known_since_ms(&self) -> u64 {
        self.known_since_ms
    }

    /// Returns all streams, sorted by id.
    pub fn streams(&self) -> &[BegunStream] {
        &self.streams
    }

    /// Drops streams that were begun before `min_ms`, as far as no later one was noted before
    /// them.
    pub fn expire(&mut self, min_ms: u64) {
        while let Some(id) = self.order.front() {
            let found = self.find(*id);
            if found.is_ok_and(|index| self.streams[index].begun_ms >= min_ms) {
                break;
            }
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let first = self.order.pop_front();
        if let Some(Ok(index)) = first.map(|id| self.find(id)) {
            let dropped = self.streams.remove(index);
            self.known_since_ms = self.known_since_ms.max(dropped.begun_ms + 1);
        }
    }

    fn find(&self, id: u64) -> Result<usize, usize> {
        self.streams.binary_search_by_key(&id, |stream| stream.id)
    }
}

/// The streams that an instance tells the others: the number of the first one, and the key of
/// the attempt and of the version of each.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamReport {
    /// Number of the first stream; each stream of a process has the next number.
    pub first: u64,
    /// The streams.
    pub streams: Vec<(u64, u64)>,
}

impl StreamReport {
    /// Returns the streams whose numbers are `next` or higher, and the number that follows.
    ///
    /// ```
    /// use berylmount_policy::software_versions::StreamReport;
    ///
    /// let report = StreamReport { first: 3, streams: vec![(7, 1), (8, 1)] };
    /// assert_eq!(report.streams_from(4), (&[(8, 1)][..], 5));
    /// assert_eq!(report.streams_from(9), (&[][..], 9));
    /// ```
    pub fn streams_from(&self, next: u64) -> (&[(u64, u64)], u64) {
        let known = usize::try_from(next.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let new = self.streams.get(known..).unwrap_or_default();
        (new, next.max(self.first + self.streams.len() as u64))
    }
}

/// The begun streams that an instance still has to tell the others.
#[derive(Clone, Debug, Default)]
pub struct StreamReporter {
    /// Number of the first stream in `streams`.
    first: u64,
    streams: VecDeque<(u64, u64)>,
    /// The numbers at which the last messages ended, oldest first.
    ends: VecDeque<u64>,
}

impl StreamReporter {
    /// Adds a stream to the next messages.
    pub fn note(&mut self, stream: &BegunStream) {
        self.streams.push_back((stream.id, stream.version));
    }

    /// Returns the streams of the next message.
    ///
    /// ```
    /// use berylmount_policy::software_versions::{BegunStream, StreamReporter};
    ///
    /// let mut reporter = StreamReporter::default();
    /// reporter.note(&BegunStream { id: 5, version: 1, begun_ms: 0 });
    /// assert_eq!(reporter.next_report().streams, [(5, 1)]);
    /// reporter.note(&BegunStream { id: 6, version: 1, begun_ms: 0 });
    /// assert_eq!(reporter.next_report().streams, [(5, 1), (6, 1)]);
    /// assert_eq!(reporter.next_report().streams, [(6, 1)]);
    /// assert_eq!(reporter.next_report().streams, []);
    /// ```
    pub fn next_report(&mut self) -> StreamReport {
        if self.ends.len() >= REPORT_COPIES {
            let end = self.ends.pop_front().unwrap_or(self.first);
            let told = end.saturating_sub(self.first) as usize;
            self.streams.drain(..told.min(self.streams.len()));
            self.first = end.max(self.first);
        }
        let count = self.streams.len().min(MAX_REPORTED_STREAMS);
        self.ends.push_back(self.first + count as u64);
        StreamReport {
            first: self.first,
            streams: self.streams.iter().take(count).copied().collect(),
        }
    }
}

/// The streams of which other instances have told, in the order of their arrival.
///
/// They are searched one by one, because streams are told often and taken up rarely.
#[derive(Clone, Debug, Default)]
pub struct HeardStreams {
    streams: VecDeque<BegunStream>,
}

impl HeardStreams {
    /// Records a stream, and drops those that were heard before `min_ms`.
    ///
    /// ```
    /// use berylmount_policy::software_versions::{BegunStream, HeardStreams};
    ///
    /// let mut heard = HeardStreams::default();
    /// heard.note(BegunStream { id: 5, version: 1, begun_ms: 1000 }, 0);
    /// assert_eq!(heard.version_of(5), Some(1));
    /// heard.note(BegunStream { id: 6, version: 1, begun_ms: 3000 }, 2000);
    /// assert_eq!(heard.version_of(5), None);
    /// ```
    pub fn note(&mut self, stream: BegunStream, min_ms: u64) {
        let is_old = |first: &BegunStream| first.begun_ms < min_ms;
        while self.streams.front().is_some_and(is_old) || self.streams.len() >= MAX_HEARD_STREAMS {
            self.streams.pop_front();
        }
        self.streams.push_back(stream);
    }

    /// Returns the key of the version that began a stream.
    pub fn version_of(&self, id: u64) -> Option<u64> {
        let mut newest_first = self.streams.iter().rev();
        let found = newest_first.find(|stream| stream.id == id);
        found.map(|stream| stream.version)
    }
}
