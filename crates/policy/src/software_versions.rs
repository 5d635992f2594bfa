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
