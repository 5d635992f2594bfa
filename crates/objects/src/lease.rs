//! Leases with fencing numbers, kept as objects of the platform.
//!
//! A lease is one object that its holder writes again and again. No clock of
//! another process is trusted: a candidate takes a lease only after it has
//! watched the same version for longer than the lease lasts, by its own
//! monotonic clock. Each new holder raises the fencing number, so a target that
//! checks the number refuses the orders of an earlier one.

use crate::{ObjectStore, StoreError};
use berylmount_model::InstanceName;
use serde::{Deserialize, Serialize};

/// The most by which the rates of two monotonic clocks may differ, in 1/1000.
const MAX_DRIFT_PER_MILLE: u64 = 10;

/// A lease's object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct LeaseBody {
    holder: InstanceName,
    /// Differs between incarnations of one holder.
    origin: u64,
    fence: u64,
    length_ms: u64,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Its fencing number.
    pub fence: u64,
    /// When the write that took or renewed it was sent, in monotonic milliseconds.
    pub asked_ms: u64,
    /// When the write that took it was answered.
    pub granted_ms: u64,
}

/// What this process last saw of a lease that it does not hold.
#[derive(Clone, Copy, Debug)]
struct SeenLease {
    version: u64,
    since_ms: u64,
    length_ms: u64,
}

/// One candidate's view of one lease.
///
/// ```
/// use berylmount_model::InstanceName;
/// use berylmount_objects::PlatformLease;
/// use berylmount_standins::MemoryStore;
///
/// let store = MemoryStore::default();
/// let name = |text: &str| InstanceName::new(text).unwrap();
/// let mut first = PlatformLease::new("lease/weights", &name("a"), 1, 1_000);
/// let mut second = PlatformLease::new("lease/weights", &name("b"), 2, 1_000);
/// assert_eq!(first.step(&store, &|| 10).unwrap().map(|lease| lease.fence), Some(1));
/// assert_eq!(second.step(&store, &|| 10).unwrap(), None);
/// // Nobody renews it: the second candidate takes it once it has waited.
/// assert_eq!(second.step(&store, &|| 900).unwrap(), None);
/// assert_eq!(second.step(&store, &|| 1_100).unwrap().map(|lease| lease.fence), Some(2));
/// assert_eq!(first.step(&store, &|| 1_200).unwrap(), None);
/// ```
#[derive(Debug)]
pub struct PlatformLease {
    key: String,
    holder: InstanceName,
    origin: u64,
    length_ms: u64,
    /// The version of our last write, while we hold it.
    version: u64,
    held: Option<HeldLease>,
    seen: Option<SeenLease>,
}

impl PlatformLease {
    /// A candidate for the lease at `key`, of the process incarnation `origin`.
    pub fn new(key: &str, holder: &InstanceName, origin: u64, length_ms: u64) -> Self {
        Self {
            key: key.to_owned(),
            holder: holder.clone(),
            origin,
            length_ms,
            version: 0,
            held: None,
            seen: None,
        }
    }

    /// The lease, while this process holds it by its own clock.
    pub fn held(&self, now_ms: u64) -> Option<HeldLease> {
        let shrunk = self.length_ms - self.length_ms * MAX_DRIFT_PER_MILLE / 1_000;
        self.held.filter(|held| now_ms < held.asked_ms + shrunk)
    }

    /// Renews the lease, takes it, or waits for it to run out.
    ///
    /// Call it several times within the lease's length. Returns the lease if
    /// this process holds it.
    ///
    /// # Errors
    ///
    /// Returns the platform's fault; the lease then runs out by itself unless a
    /// later call renews it.
    pub fn step(
        &mut self,
        store: &dyn ObjectStore,
        clock: &dyn Fn() -> u64,
    ) -> Result<Option<HeldLease>, StoreError> {
        if self.held(clock()).is_some() {
            return self.renew(store, clock);
        }
        self.held = None;
        self.try_take(store, clock)
    }

    /// Writes the held lease again.
    fn renew(
        &mut self,
        store: &dyn ObjectStore,
        clock: &dyn Fn() -> u64,
    ) -> Result<Option<HeldLease>, StoreError> {
        let Some(held) = self.held else {
            return Ok(None);
        };
        let asked_ms = clock();
        match self.write(store, self.version, held.fence) {
            Ok(version) => {
                self.version = version;
                self.held = Some(HeldLease { asked_ms, ..held });
                Ok(self.held(clock()))
            }
            Err(StoreError::Conflict { .. } | StoreError::NotFound) => {
                self.resolve_conflict(store, held, clock)
            }
            Err(error) => Err(error),
        }
    }

    /// Finds out whether a conflict comes from an own write whose answer was lost.
    fn resolve_conflict(
        &mut self,
        store: &dyn ObjectStore,
        held: HeldLease,
        clock: &dyn Fn() -> u64,
    ) -> Result<Option<HeldLease>, StoreError> {
        let found = store.get(&self.key)?;
        let own = found.and_then(|object| {
            let body = decode(&object.value)?;
            let same = body.origin == self.origin && body.fence == held.fence;
            same.then_some(object.version)
        });
        match own {
            Some(version) => {
                // An earlier write of ours took effect, at an unknown time: the
                // lease is ours, but counts from the last write with an answer.
                self.version = version;
                Ok(self.held(clock()))
            }
            None => {
                self.held = None;
                self.seen = None;
                Ok(None)
            }
        }
    }

    /// Takes the lease if it is free or has run out.
    fn try_take(
        &mut self,
        store: &dyn ObjectStore,
        clock: &dyn Fn() -> u64,
    ) -> Result<Option<HeldLease>, StoreError> {
        let found = store.get(&self.key)?;
        let now_ms = clock();
        let (version, fence) = match &found {
            None => (0, 1),
            Some(object) => {
                let body = decode(&object.value);
                let length_ms = body.as_ref().map_or(self.length_ms, |body| body.length_ms);
                if !self.has_run_out(object.version, length_ms, now_ms) {
                    return Ok(None);
                }
                // A damaged object gives no number; its version is above all of them.
                let last = body.map_or(object.version, |body| body.fence);
                (object.version, last.saturating_add(1))
            }
        };
        let asked_ms = clock();
        match self.write(store, version, fence) {
            Ok(written) => {
                self.version = written;
                self.seen = None;
                self.held = Some(HeldLease {
                    fence,
                    asked_ms,
                    granted_ms: clock(),
                });
                Ok(self.held(clock()))
            }
            Err(StoreError::Conflict { .. }) => {
                self.seen = None;
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Whether the lease at `version` was not renewed for longer than it lasts.
    fn has_run_out(&mut self, version: u64, length_ms: u64, now_ms: u64) -> bool {
        let seen = match self.seen {
            Some(seen) if seen.version == version => seen,
            _ => {
                let seen = SeenLease {
                    version,
                    since_ms: now_ms,
                    length_ms,
                };
                self.seen = Some(seen);
                seen
            }
        };
        let stretched = seen.length_ms + seen.length_ms * MAX_DRIFT_PER_MILLE / 1_000;
        now_ms.saturating_sub(seen.since_ms) > stretched
    }

    /// Writes the lease with `fence` over `version`.
    fn write(&self, store: &dyn ObjectStore, version: u64, fence: u64) -> Result<u64, StoreError> {
        let body = LeaseBody {
            holder: self.holder.clone(),
            origin: self.origin,
            fence,
            length_ms: self.length_ms,
        };
        // Names and numbers always serialize.
        let value = serde_json::to_vec(&body).unwrap_or_default();
        store.put(&self.key, version, &value)
    }
}

/// Reads a lease's object, if it is whole.
fn decode(value: &[u8]) -> Option<LeaseBody> {
    serde_json::from_slice(value).ok()
}
