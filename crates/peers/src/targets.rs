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
        let extra_round = self.round.is_multiple_of(self.config.next_rounds);
        let pulling = self.sync.peer().cloned().filter(|_| extra_round);
        let regular = if extra_round {
            self.choose_next()
        } else {
            self.choose_random()
        };
        let suspect = if extra_round {
            self.choose_suspect()
        } else {
            None
        };
        let mut targets = Vec::new();
        for name in pulling.into_iter().chain(regular).chain(suspect) {
            let target = ProbeTarget::Member(name);
            if !targets.contains(&target) {
                targets.push(target);
            }
        }
        let lost = match targets.len() {
            0 => FIRST_TRIES,
            _ => usize::from(extra_round),
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
            .next_members(&self.own.name, self.config.next_members);
        let turn = (self.round / self.config.next_rounds) as usize;
        let entry = next.get(turn.checked_rem(next.len())?)?;
        Some(entry.record.name.clone())
    }

    /// A random member that is not dead.
    fn choose_random(&mut self) -> Option<InstanceName> {
        self.choose_members(1, |entry| !entry.is_dead()).pop()
    }

    /// A random member that is suspected.
    fn choose_suspect(&mut self) -> Option<InstanceName> {
        let suspected = |entry: &PeerEntry| entry.record.health == PeerHealth::Suspect;
        self.choose_members(1, suspected).pop()
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
            *address == self.own.peer_address
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
