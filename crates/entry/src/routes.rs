//! Chooses the runner group of a prompt and the process to ask.

use crate::members::{GroupEntry, MemberEntry, MemberList};
use berylmount_model::{DataCentre, InstanceName, PieceKey, PoolName, WorkClass};
use berylmount_policy::{GroupBalancer, GroupId, GroupQuery, TargetGroup};
use rand_pcg::Pcg64Mcg;

/// Distance to a group in another data centre, in milliseconds.
const FAR_MS: f64 = 4.0;

/// Prefill time that one token costs, in milliseconds, for choosing a group.
const TOKEN_PREFILL_MS: f64 = 0.1;

/// Part of a prompt's prefill that its home is taken to save.
const HOME_SAVES_PART: f64 = 0.5;

/// How many runners of another group one with a near store counts for, as the
/// home of prompts.
const NEAR_STORE_WEIGHT: u32 = 2;

/// A pool with the board of its groups.
#[derive(Debug)]
struct PoolBoard {
    pool: PoolName,
    board: GroupBalancer,
    /// Indexed by [`GroupId`].
    groups: Vec<TargetGroup>,
}

/// Where to send one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkRoute {
    /// The runner group.
    pub group: TargetGroup,
    /// The dispatch process.
    pub member: MemberEntry,
}

/// What an attempt needs and must avoid.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The pool.
    pub pool: &'a PoolName,
    /// The prompt's first piece, if it has a whole one.
    pub first_piece: Option<&'a PieceKey>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The class of work.
    pub class: WorkClass,
    /// Groups that refused.
    pub avoid_groups: &'a [TargetGroup],
    /// Dispatch processes that failed or are stopping.
    pub avoid_members: &'a [InstanceName],
}

/// The share of prompts whose home a group is; the same at every entry.
fn home_weight(entry: &GroupEntry) -> u32 {
    let runners = entry.runners.max(1);
    match entry.near_store {
        true => NEAR_STORE_WEIGHT * runners,
        false => runners,
    }
}

/// Chooses groups for an entry.
#[derive(Debug)]
pub struct RouteTable {
    /// The entry's data centre.
    data_centre: DataCentre,
    /// Sorted by pool.
    pools: Vec<PoolBoard>,
    /// Breaks ties.
    rng: Pcg64Mcg,
}

impl RouteTable {
    /// A table without groups, for an entry in `data_centre`.
    pub fn new(data_centre: &DataCentre, seed: u64) -> Self {
        Self {
            data_centre: data_centre.clone(),
            pools: Vec::new(),
            rng: Pcg64Mcg::new(seed.into()),
        }
    }

    /// Brings the groups in step with `list`.
    pub fn apply(&mut self, list: &MemberList) {
        for entry in &list.groups {
            self.add_group(entry);
        }
        for pool in &mut self.pools {
            for (place, group) in pool.groups.iter().enumerate() {
                let id = GroupId(place as u32);
                let found = list.groups.binary_search_by(|e| e.group.cmp(group));
                let entry = found.ok().map(|slot| &list.groups[slot]);
                let present = entry.is_some_and(|entry| entry.runners > 0);
                pool.board.set_reachable(id, present);
                if let Some(entry) = entry {
                    pool.board.set_home_weight(id, home_weight(entry));
                }
            }
        }
    }

    /// Adds a group that is new.
    fn add_group(&mut self, entry: &GroupEntry) {
        let pool = &entry.group.pool;
        let slot = match self.pools.binary_search_by(|known| known.pool.cmp(pool)) {
            Ok(slot) => slot,
            Err(slot) => {
                let board = PoolBoard {
                    pool: pool.clone(),
                    board: GroupBalancer::default(),
                    groups: Vec::new(),
                };
                self.pools.insert(slot, board);
                slot
            }
        };
        let known = &mut self.pools[slot];
        if !known.groups.contains(&entry.group) {
            let near = entry.group.data_centre == self.data_centre;
            let distance_ms = if near { 0.0 } else { FAR_MS };
            let name = entry.group.to_string();
            known.board.add_group(&name, distance_ms, entry.runners);
            known.groups.push(entry.group.clone());
        }
    }

    /// The route of one attempt, if there is one.
    pub fn choose(
        &mut self,
        query: &RouteQuery<'_>,
        list: &MemberList,
        now_ms: u64,
    ) -> Option<WorkRoute> {
        let pool = self.pools.iter_mut().find(|p| p.pool == *query.pool)?;
        let avoided = pool.groups.iter().enumerate();
        let avoid: Vec<GroupId> = avoided
            .filter(|(_, group)| query.avoid_groups.contains(group))
            .map(|(place, _)| GroupId(place as u32))
            .collect();
        let prefill_ms = f64::from(query.prompt_tokens) * TOKEN_PREFILL_MS;
        let question = GroupQuery {
            first_piece: query.first_piece,
            home_saves_ms: HOME_SAVES_PART * prefill_ms,
            class: query.class,
            avoid: &avoid,
        };
        let choice = pool.board.choose(&question, now_ms, &mut self.rng)?;
        pool.board
            .note_sent(choice.group, query.class, prefill_ms, now_ms);
        let group = pool.groups.get(choice.group.0 as usize)?.clone();
        let member = list.owner(&group, query.avoid_members)?.clone();
        Some(WorkRoute { group, member })
    }

    /// Takes in the waits that a group reported, by class.
    pub fn note_waits(&mut self, group: &TargetGroup, waits_ms: [u32; 4], now_ms: u64) {
        if let Some((board, id)) = self.find(group) {
            board.report(id, &waits_ms.map(f64::from), now_ms);
        }
    }

    /// Notes that a call to a group failed or was refused.
    pub fn note_failure(&mut self, group: &TargetGroup, now_ms: u64) {
        if let Some((board, id)) = self.find(group) {
            board.note_failure(id, now_ms);
        }
    }

    /// The board and number of a group.
    fn find(&mut self, group: &TargetGroup) -> Option<(&mut GroupBalancer, GroupId)> {
        let pool = self.pools.iter_mut().find(|p| p.pool == group.pool)?;
        let place = pool.groups.iter().position(|known| known == group)?;
        Some((&mut pool.board, GroupId(place as u32)))
    }
}
