//! Software versions of the runners of a service, and the streams that each has begun.
//!
//! What two versions write does not fit together, so that a stream may go on only at the version
//! that began it. An instance that has not begun a stream itself proves its version in one of
//! two ways: only one version was in service while the stream can have begun, or the instance
//! that began it has stored which one it was.
//!
//! Invariants:
//!
//! - A version begins streams only after it was admitted to the history, so that a history that
//!   is read later names every version that can have begun a stream.
//! - A version that cannot be proved is unknown, never any version.
//! - Memory is bounded.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

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

    /// Admits a version. Returns whether that changes the history.
    pub fn admit(&mut self, service: &str, version: &str) -> bool {
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

    fn find(&self, service: &str, version: &str) -> Result<usize, usize> {
        let key = (service, version);
        self.versions
            .binary_search_by(|known| (known.service.as_str(), known.version.as_str()).cmp(&key))
    }
}

/// A stream that has brought its first event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BegunStream {
    /// Key of the attempt that brought the first event.
    pub id: u64,
    /// Key of the service and the software version.
    pub version: u64,
    /// When it was last known to run, in Unix milliseconds.
    pub begun_ms: u64,
}

/// The streams that were begun recently.
#[derive(Clone, Debug, Default)]
pub struct BegunStreams {
    /// Sorted by id.
    streams: Vec<BegunStream>,
    /// Ids in the order in which they were noted.
    order: VecDeque<u64>,
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
            self.streams.remove(index);
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
