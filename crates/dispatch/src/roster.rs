//! The targets that this process knows of.
//!
//! Three sources say that a target is leaving: the platform's list, the
//! target's own report, and a call that it refused. Any one is enough, and
//! only a live mark in the list that is newer than the refusal undoes it.

use berylmount_model::{InstanceRecord, InstanceRole, InstanceState, PoolName};
use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// How long a refusal outweighs the list, which lags, in milliseconds.
const REFUSAL_HOLD_MS: u64 = 10_000;

/// One target.
#[derive(Clone, Debug, PartialEq)]
struct RosterLine {
    /// The list's record.
    record: InstanceRecord,
    /// When the target last said itself that it is leaving; zero for never.
    refused_ms: u64,
}

impl RosterLine {
    /// Whether the target takes new work.
    fn is_live(&self, now_ms: u64) -> bool {
        let refused = self.refused_ms > 0 && now_ms < self.refused_ms + REFUSAL_HOLD_MS;
        self.record.state == InstanceState::Live && !refused
    }
}

/// The targets, sorted by address.
#[derive(Debug, Default)]
pub struct TargetRoster {
    /// One line for each target.
    lines: Mutex<Vec<RosterLine>>,
}

impl TargetRoster {
    /// Locks the lines; a panic elsewhere leaves them whole.
    fn lock(&self) -> MutexGuard<'_, Vec<RosterLine>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the platform's list.
    pub fn apply_list(&self, records: &[InstanceRecord]) {
        let mut lines = self.lock();
        let old = std::mem::take(&mut *lines);
        let targets = records.iter().filter(|record| is_target(record.role));
        *lines = targets
            .map(|record| {
                let known = old
                    .binary_search_by_key(&record.address, |line| line.record.address)
                    .map(|slot| &old[slot])
                    .ok()
                    .filter(|line| line.record.name == record.name);
                RosterLine {
                    record: record.clone(),
                    refused_ms: known.map_or(0, |line| line.refused_ms),
                }
            })
            .collect();
        lines.sort_by_key(|line| line.record.address);
    }

    /// Notes that the target at `address` said itself that it is leaving.
    pub fn note_leaving(&self, address: SocketAddr, now_ms: u64) {
        let mut lines = self.lock();
        if let Ok(slot) = lines.binary_search_by_key(&address, |line| line.record.address) {
            lines[slot].refused_ms = now_ms;
        }
    }

    /// Whether the target at `address` is known and takes new work.
    pub fn is_live(&self, address: SocketAddr, now_ms: u64) -> bool {
        let lines = self.lock();
        let slot = lines.binary_search_by_key(&address, |line| line.record.address);
        slot.is_ok_and(|slot| lines[slot].is_live(now_ms))
    }

    /// Whether `address` belongs to a known runner, leaving or not.
    pub fn is_runner(&self, address: SocketAddr) -> bool {
        let lines = self.lock();
        let slot = lines.binary_search_by_key(&address, |line| line.record.address);
        slot.is_ok_and(|slot| lines[slot].record.role == InstanceRole::Runner)
    }

    /// The records of `pool` with whether each takes new work, sorted by name.
    pub fn pool(&self, pool: &PoolName, now_ms: u64) -> Vec<(InstanceRecord, bool)> {
        let lines = self.lock();
        let members = lines.iter().filter(|line| line.record.pool == *pool);
        let mut records: Vec<_> = members
            .map(|line| (line.record.clone(), line.is_live(now_ms)))
            .collect();
        records.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        records
    }

    /// Every target of `role` with whether it takes new work.
    pub fn with_role(&self, role: InstanceRole, now_ms: u64) -> Vec<(InstanceRecord, bool)> {
        let lines = self.lock();
        let members = lines.iter().filter(|line| line.record.role == role);
        members
            .map(|line| (line.record.clone(), line.is_live(now_ms)))
            .collect()
    }
}

/// Whether instances of `role` are targets and not ours.
fn is_target(role: InstanceRole) -> bool {
    match role {
        InstanceRole::Runner | InstanceRole::Store | InstanceRole::Service => true,
        InstanceRole::Entry | InstanceRole::Dispatch => false,
    }
}
