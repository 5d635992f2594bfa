//! The system's own processes and the targets' groups, as this entry sees them.

use berylmount_model::{
    DataCentre, InstanceName, InstanceRecord, InstanceRole, InstanceState, PoolName, RequestId,
};
use berylmount_peers::{MemberState, MemberView};
use berylmount_policy::{
    assignment::{self, MemberWeight},
    TargetGroup,
};
use std::net::SocketAddr;

/// One process of the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberEntry {
    /// The process.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Where callers reach it; only entries have one.
    pub caller_address: Option<SocketAddr>,
}

/// A runner group with the number of its runners.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupEntry {
    /// The group.
    pub group: TargetGroup,
    /// Its live runners.
    pub runners: u32,
    /// Whether a live kept-cache store is in its data centre.
    pub near_store: bool,
}

/// What this entry knows of processes and targets; immutable once made.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberList {
    /// Entries that take new work, sorted by name.
    pub entries: Vec<MemberEntry>,
    /// Dispatch processes that take new work, sorted by name.
    pub dispatches: Vec<MemberEntry>,
    /// Dispatch processes that are leaving; they still hold answers.
    pub leaving: Vec<MemberEntry>,
    /// Runner groups, sorted by group.
    pub groups: Vec<GroupEntry>,
}

/// The number in request identifiers that stands for a dispatch process.
pub fn origin_of(name: &InstanceName) -> u64 {
    assignment::pair_hash(name.as_str().as_bytes(), "origin")
}

/// What was last seen of processes and targets.
#[derive(Clone, Debug, Default)]
pub struct SeenInstances {
    /// The platform's list, which lags.
    pub records: Vec<InstanceRecord>,
    /// What the members say of each other.
    pub view: MemberView,
}

impl SeenInstances {
    /// The list that both together show.
    ///
    /// What the members say of a process goes before the platform's list,
    /// which only tells of processes that no member has heard of yet.
    pub fn combine(&self) -> MemberList {
        MemberList {
            entries: self.members(InstanceRole::Entry, InstanceState::Live),
            dispatches: self.members(InstanceRole::Dispatch, InstanceState::Live),
            leaving: self.members(InstanceRole::Dispatch, InstanceState::Leaving),
            groups: runner_groups(&self.records),
        }
    }

    /// The processes of `role` and `state`, sorted by name.
    fn members(&self, role: InstanceRole, state: InstanceState) -> Vec<MemberEntry> {
        let heard = self
            .view
            .members
            .iter()
            .filter(|member| member.role == role && known_state(member.state) == Some(state));
        let heard = heard.map(|member| MemberEntry {
            name: member.name.clone(),
            data_centre: member.data_centre.clone(),
            address: member.peer_address,
            caller_address: member.caller_address,
        });
        let listed = self.records.iter().filter(|record| {
            let unheard = self.view.find(&record.name).is_none();
            unheard && record.role == role && record.state == state
        });
        let listed = listed.map(|record| MemberEntry {
            name: record.name.clone(),
            data_centre: record.data_centre.clone(),
            address: record.address,
            caller_address: record.caller_address,
        });
        let mut members: Vec<_> = heard.chain(listed).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }
}

/// The state of a process as work sees it; none for one that is gone.
///
/// A suspected process still counts as live: it may only be slow, and moving
/// its work costs cache. A call that it does not take goes elsewhere by itself.
fn known_state(state: MemberState) -> Option<InstanceState> {
    match state {
        MemberState::Live | MemberState::Suspect => Some(InstanceState::Live),
        MemberState::Leaving => Some(InstanceState::Leaving),
        MemberState::Dead => None,
    }
}

impl MemberList {
    /// The dispatch process that owns `group`, leaving out those in `avoid`.
    pub fn owner(&self, group: &TargetGroup, avoid: &[InstanceName]) -> Option<&MemberEntry> {
        let left: Vec<&MemberEntry> = self
            .dispatches
            .iter()
            .filter(|member| !avoid.contains(&member.name))
            .collect();
        let pairs: Vec<_> = left
            .iter()
            .map(|member| (member.name.as_str(), &member.data_centre))
            .collect();
        assignment::group_owner(group, &pairs).map(|place| left[place])
    }

    /// Dispatch processes that may hold the answer to `request`, best first.
    pub fn holders(&self, request: RequestId, avoid: &[InstanceName]) -> Vec<&MemberEntry> {
        let all = || self.dispatches.iter().chain(&self.leaving);
        let origin = all().find(|member| origin_of(&member.name) == request.origin());
        let names: Vec<_> = self
            .dispatches
            .iter()
            .map(|member| MemberWeight::equal(member.name.as_str()))
            .collect();
        let key = request.to_string();
        let ranked = assignment::rank_members(key.as_bytes(), &names, 3);
        let others = ranked.iter().map(|&place| &self.dispatches[place]);
        let mut holders: Vec<&MemberEntry> = origin.into_iter().collect();
        holders.extend(others.filter(|member| Some(*member) != origin));
        holders.retain(|member| !avoid.contains(&member.name));
        holders
    }

    /// Groups of `pool`.
    pub fn pool_groups<'a>(&'a self, pool: &'a PoolName) -> impl Iterator<Item = &'a GroupEntry> {
        self.groups
            .iter()
            .filter(move |entry| entry.group.pool == *pool)
    }
}

/// The runner groups, sorted by group.
fn runner_groups(records: &[InstanceRecord]) -> Vec<GroupEntry> {
    let stores: Vec<_> = records
        .iter()
        .filter(|r| r.role == InstanceRole::Store && r.state == InstanceState::Live)
        .map(|record| &record.data_centre)
        .collect();
    let mut runners: Vec<_> = records
        .iter()
        .filter(|record| record.role == InstanceRole::Runner)
        .collect();
    runners.sort_by(|a, b| {
        let place = |r: &InstanceRecord| (r.pool.clone(), r.data_centre.clone(), r.name.clone());
        place(a).cmp(&place(b))
    });
    let mut groups = Vec::new();
    let same_place = |a: &&InstanceRecord, b: &&InstanceRecord| {
        a.pool == b.pool && a.data_centre == b.data_centre
    };
    for place in runners.chunk_by(same_place) {
        // Leaving runners count for the split, so that groups stay stable.
        let names: Vec<_> = place.iter().map(|record| record.name.clone()).collect();
        let indexes = assignment::split_groups(&names);
        for index in 0..=indexes.iter().copied().max().unwrap_or(0) {
            let live = place.iter().zip(&indexes);
            let live = live.filter(|(r, &i)| i == index && r.state == InstanceState::Live);
            groups.push(GroupEntry {
                group: TargetGroup {
                    pool: place[0].pool.clone(),
                    data_centre: place[0].data_centre.clone(),
                    index,
                },
                runners: live.count() as u32,
                near_store: stores.contains(&&place[0].data_centre),
            });
        }
    }
    groups.sort_by(|a, b| a.group.cmp(&b.group));
    groups
}
