//! The platform's objects in memory, with faults.
//!
//! [`MemoryStore`] is the store behind the platform stand-in and, in the same
//! process, behind fuzz tests.

use berylmount_model::InstanceRecord;
use berylmount_objects::{
    CallCounts, CallKind, InstanceListing, ObjectHead, ObjectStore, StoreError, StoredObject,
    MAX_VALUE_BYTES,
};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// What goes wrong with one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteFault {
    /// It takes effect, but its answer is lost.
    LoseAnswer,
    /// It never takes effect, and there is no answer.
    LoseRequest,
    /// It is held back, and tried when [`MemoryStore::deliver_late`] is called.
    Late,
}

/// A write that is held back.
#[derive(Clone, Debug)]
struct LateWrite {
    key: String,
    expected_version: u64,
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<String, StoredObject>,
    last_version: u64,
    instances: InstanceListing,
    outage: bool,
    write_faults: VecDeque<WriteFault>,
    late_writes: Vec<LateWrite>,
}

impl StoreState {
    fn version(&self, key: &str) -> u64 {
        self.objects.get(key).map_or(0, |object| object.version)
    }

    fn write(&mut self, write: LateWrite) -> Result<u64, StoreError> {
        let current = self.version(&write.key);
        if current != write.expected_version {
            return Err(StoreError::Conflict { current });
        }
        self.last_version += 1;
        let version = self.last_version;
        match write.value {
            Some(value) => drop(
                self.objects
                    .insert(write.key, StoredObject { version, value }),
            ),
            None => drop(self.objects.remove(&write.key)),
        }
        Ok(version)
    }
}

/// An [`ObjectStore`] in memory.
///
/// ```
/// use berylmount_objects::{ObjectStore, StoreError};
/// use berylmount_standins::{MemoryStore, WriteFault};
///
/// let store = MemoryStore::default();
/// store.add_write_fault(WriteFault::LoseAnswer);
/// assert_eq!(store.put("a", 0, b"1"), Err(StoreError::Unclear));
/// assert!(store.get("a").unwrap().is_some());
/// ```
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<StoreState>,
    changed: Condvar,
    counts: CallCounts,
}

impl MemoryStore {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call(&self, kind: CallKind) -> Result<MutexGuard<'_, StoreState>, StoreError> {
        self.counts.add_call(kind);
        let state = self.lock();
        if state.outage {
            return Err(StoreError::Unavailable);
        }
        Ok(state)
    }

    fn write(&self, kind: CallKind, write: LateWrite) -> Result<u64, StoreError> {
        let mut state = self.call(kind)?;
        match state.write_faults.pop_front() {
            None => {
                let result = state.write(write);
                self.changed.notify_all();
                result
            }
            Some(WriteFault::LoseAnswer) => {
                let _ = state.write(write);
                self.changed.notify_all();
                Err(StoreError::Unclear)
            }
            Some(WriteFault::LoseRequest) => Err(StoreError::Unclear),
            Some(WriteFault::Late) => {
                state.late_writes.push(write);
                Err(StoreError::Unclear)
            }
        }
    }

    /// Every call so far, refused ones too.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// Makes every call fail as unavailable, or ends that.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
        self.changed.notify_all();
    }

    /// Lets one more write meet `fault`, after those already waiting for one.
    pub fn add_write_fault(&self, fault: WriteFault) {
        self.lock().write_faults.push_back(fault);
    }

    /// Forgets the faults that no write has met yet.
    pub fn clear_write_faults(&self) {
        self.lock().write_faults.clear();
    }

    /// Tries the writes that were held back; conditions are checked now.
    pub fn deliver_late(&self) {
        let mut state = self.lock();
        for write in std::mem::take(&mut state.late_writes) {
            let _ = state.write(write);
        }
        self.changed.notify_all();
    }

    /// Replaces an object's value whatever its version, as bad input for its readers.
    pub fn corrupt(&self, key: &str, value: &[u8]) {
        let mut state = self.lock();
        let expected_version = state.version(key);
        let value = Some(value.to_vec());
        let _ = state.write(LateWrite {
            key: key.to_owned(),
            expected_version,
            value,
        });
        self.changed.notify_all();
    }

    /// Reads an object past all faults, for an oracle; it is not counted.
    pub fn peek(&self, key: &str) -> Option<StoredObject> {
        self.lock().objects.get(key).cloned()
    }

    /// Sets the list of instances.
    pub fn set_instances(&self, instances: &[InstanceRecord]) {
        let mut state = self.lock();
        state.instances.version += 1;
        state.instances.records = instances.to_vec();
    }
}

impl ObjectStore for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let state = self.call(CallKind::Get)?;
        Ok(state.objects.get(key).cloned())
    }

    fn put(&self, key: &str, expected_version: u64, value: &[u8]) -> Result<u64, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        let key = key.to_owned();
        let value = Some(value.to_vec());
        self.write(
            CallKind::Put,
            LateWrite {
                key,
                expected_version,
                value,
            },
        )
    }

    fn delete(&self, key: &str, expected_version: u64) -> Result<(), StoreError> {
        if expected_version == 0 {
            return Err(StoreError::NotFound);
        }
        let write = LateWrite {
            key: key.to_owned(),
            expected_version,
            value: None,
        };
        match self.write(CallKind::Delete, write) {
            Ok(_) => Ok(()),
            Err(StoreError::Conflict { current: 0 }) => Err(StoreError::NotFound),
            Err(error) => Err(error),
        }
    }

    fn watch(
        &self,
        key: &str,
        after_version: u64,
        wait: Duration,
    ) -> Result<Option<StoredObject>, StoreError> {
        let end = Instant::now() + wait;
        let mut state = self.call(CallKind::Watch)?;
        loop {
            match state.objects.get(key) {
                Some(object) if object.version > after_version => return Ok(Some(object.clone())),
                Some(object) if object.version < after_version => {
                    let current = object.version;
                    return Err(StoreError::Conflict { current });
                }
                None if after_version > 0 => return Err(StoreError::NotFound),
                _ => {}
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            let result = self.changed.wait_timeout(state, left);
            state = result.unwrap_or_else(PoisonError::into_inner).0;
            if state.outage {
                return Err(StoreError::Unavailable);
            }
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<ObjectHead>, StoreError> {
        let state = self.call(CallKind::List)?;
        let objects = state.objects.iter();
        let objects = objects.filter(|(key, _)| key.starts_with(prefix));
        let heads = objects.map(|(key, object)| ObjectHead {
            key: key.clone(),
            version: object.version,
            bytes: object.value.len() as u64,
        });
        Ok(heads.collect())
    }

    fn instances_after(&self, version: u64) -> Result<Option<InstanceListing>, StoreError> {
        let state = self.call(CallKind::Instances)?;
        let known = version > 0 && version == state.instances.version;
        Ok((!known).then(|| state.instances.clone()))
    }
}
