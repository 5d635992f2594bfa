//! Chooses whom to probe in a round.

use crate::{board::PeerBoard, list::PeerEntry, record::PeerHealth};
use berylmount_model::InstanceName;
use rand::RngExt;
use std::net::SocketAddr;

/// Addresses of nobody known that are tried in a round while nobody is known.
const FIRST_TRIES: usize = 3;

/// Whom to probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ProbeTarget {
    /// A member.
    Member(InstanceName),
    /// Whoever answers at an address.
    Address(SocketAddr),
}

impl PeerBoard {
    /// Members and addresses for this round, each once.
    pub(crate) fn choose_targets(&mut self) -> Vec<ProbeTarget> {
        let mut targets = Vec::new();
        let pulling = self.sync.peer().cloned();
        let next = self.choose_next();
        let suspect = self.choose_members(1, |entry| entry.record.health == PeerHealth::Suspect);
        let random = self.config.random_probes
            - usize::from(pulling.is_some()).min(self.config.random_probes);
        let random = self.choose_members(random, |entry| !entry.is_dead());
        let members = pulling.into_iter().chain(next).chain(suspect).chain(random);
        for name in members {
            let target = ProbeTarget::Member(name);
            if !targets.contains(&target) {
                targets.push(target);
            }
        }
        let lost = match targets.len() {
            0 => FIRST_TRIES,
            _ => usize::from(self.round.is_multiple_of(2)),
        };
        for _ in 0..lost {
            let lost = self.choose_lost();
            targets.extend(lost.filter(|target| !targets.contains(target)));
        }
        targets
    }

    /// One of the next members in order, in turn.
    fn choose_next(&self) -> Option<InstanceName> {
        let next = self
            .list
            .next_members(&self.own.record.name, self.config.next_members);
        let turn = (self.round as usize).checked_rem(next.len())?;
        next.get(turn).map(|entry| entry.record.name.clone())
    }

    /// Up to `count` random members that `wanted` accepts.
    pub(crate) fn choose_members(
        &mut self,
        count: usize,
        wanted: impl Fn(&PeerEntry) -> bool,
    ) -> Vec<InstanceName> {
        let entries = self.list.entries().iter().filter(|entry| wanted(entry));
        let mut names: Vec<_> = entries.map(|entry| &entry.record.name).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !names.is_empty() {
            let index = self.rng.random_range(0..names.len());
            chosen.push(names.swap_remove(index).clone());
        }
        chosen
    }

    /// A dead member, or an address of nobody known.
    fn choose_lost(&mut self) -> Option<ProbeTarget> {
        let known = |address: &SocketAddr| {
            let mut live = self.list.entries().iter().filter(|entry| !entry.is_dead());
            *address == self.own.record.peer_address
                || live.any(|entry| entry.record.peer_address == *address)
        };
        let addresses = self
            .seeds
            .iter()
            .chain(&self.listed)
            .filter(|address| !known(address));
        let dead = self
            .list
            .entries()
            .iter()
            .filter(|entry| entry.is_dead() && !entry.record.leaving);
        let dead = dead.map(|entry| ProbeTarget::Member(entry.record.name.clone()));
        let mut lost: Vec<_> = dead
            .chain(addresses.map(|address| ProbeTarget::Address(*address)))
            .collect();
        if lost.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..lost.len());
        Some(lost.swap_remove(index))
    }
}
