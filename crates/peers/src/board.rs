//! The membership state machine of one process.

use crate::{
    changes::ChangeQueue,
    config::BoardConfig,
    list::{HeadEvidence, PeerEntry, PeerList},
    marks::{summarise, take_marks},
    message::{
        PeerAnswer, PeerProbe, PeerReply, PeerRequest, ProbeId, ProbeReply, ProbeRequest,
        SyncCursor, MAX_MARKS, SEGMENTS,
    },
    record::{PeerHealth, PeerNote, PeerRecord, PeerStatus, ProcessReport},
    sync::SyncState,
    targets::ProbeTarget,
    view::{ConfirmedHead, MemberInfo, MemberView},
};
use berylmount_model::{InstanceName, InstanceRecord, InstanceRole};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::net::SocketAddr;

/// Probes that may be outstanding; more of them are forgotten.
const MAX_OUTSTANDING: usize = 64;

/// A probe whose outcome isn't known yet.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingProbe {
    id: ProbeId,
    target: ProbeTarget,
    /// The member asked to relay it, none for a direct probe.
    relay: Option<InstanceName>,
    sent_ms: u64,
    timeout_ms: u64,
    cursor: Option<SyncCursor>,
}

/// The membership state machine of one process.
///
/// Call [`PeerBoard::tick`] once in an interval, send the probes that it
/// returns, and report each outcome by [`PeerBoard::finish`]. Requests of others
/// are answered by [`PeerBoard::answer`].
///
/// ```
/// use berylmount_model::{DataCentre, InstanceName, InstanceRole};
/// use berylmount_peers::{BoardConfig, LoadLevel, PeerBoard, PeerHealth, PeerRecord};
///
/// let record = PeerRecord {
///     name: InstanceName::new("ridge-north-1/entry").unwrap(),
///     incarnation: 1,
///     refutation: 0,
///     health: PeerHealth::Live,
///     leaving: false,
///     role: InstanceRole::Entry,
///     data_centre: DataCentre::new("ridge-north").unwrap(),
///     peer_address: "127.0.0.1:7101".parse().unwrap(),
///     caller_address: None,
/// };
/// let seeds = vec!["127.0.0.1:7102".parse().unwrap()];
/// let mut board = PeerBoard::new(record, seeds, BoardConfig::default(), 1, 0);
/// assert_eq!(board.tick(1_000).len(), 1);
/// assert_eq!(board.view(1_000).live(InstanceRole::Entry).count(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct PeerBoard {
    pub(crate) config: BoardConfig,
    pub(crate) own: PeerRecord,
    report: ProcessReport,
    pub(crate) list: PeerList,
    pub(crate) changes: ChangeQueue,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) listed: Vec<SocketAddr>,
    pub(crate) outstanding: Vec<OutstandingProbe>,
    pub(crate) sync: SyncState,
    pub(crate) rng: Pcg32,
    pub(crate) round: u64,
    /// When a probe of ours was last answered.
    pub(crate) answered_ms: Option<u64>,
    pub(crate) joined: bool,
    pub(crate) superseded: bool,
    /// The youngest confirmation by the platform that a member told of.
    confirmed: Option<ConfirmedHead>,
    next_id: u64,
    ticked_ms: u64,
}

impl PeerBoard {
    /// Starts with nobody known but the addresses in `seeds`.
    ///
    /// `record.incarnation` is higher than that of every earlier process of the
    /// name, such as the start's wall-clock time in milliseconds.
    pub fn new(
        record: PeerRecord,
        seeds: Vec<SocketAddr>,
        config: BoardConfig,
        seed: u64,
        now_ms: u64,
    ) -> Self {
        Self {
            config,
            own: record,
            report: ProcessReport::default(),
            confirmed: None,
            list: PeerList::default(),
            changes: ChangeQueue::default(),
            seeds,
            listed: Vec::new(),
            outstanding: Vec::new(),
            sync: SyncState::default(),
            rng: Pcg32::seed_from_u64(seed),
            round: 0,
            answered_ms: None,
            joined: false,
            superseded: false,
            next_id: 0,
            ticked_ms: now_ms,
        }
    }

    /// This process's own record.
    pub fn own(&self) -> &PeerRecord {
        &self.own
    }

    /// Takes the platform's list: addresses to try, and nothing more.
    pub fn set_listed(&mut self, records: &[InstanceRecord]) {
        let ours = |record: &&InstanceRecord| {
            matches!(record.role, InstanceRole::Entry | InstanceRole::Dispatch)
        };
        self.listed = records
            .iter()
            .filter(ours)
            .map(|record| record.address)
            .collect();
    }

    /// Sets what this process says of its table and its load.
    ///
    /// The confirmation's age counts from now, so call it before each
    /// [`PeerBoard::tick`] and [`PeerBoard::answer`].
    pub fn set_report(&mut self, report: ProcessReport) {
        self.report = report;
    }

    /// Says from now on that this process takes nothing new.
    pub fn leave(&mut self) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.own.refutation = self.own.refutation.saturating_add(1);
        }
    }

    /// Says that this process stops now; returns the last probes to send.
    pub fn stop(&mut self, now_ms: u64) -> Vec<PeerProbe> {
        self.leave();
        self.own.health = PeerHealth::Dead;
        let targets = self.choose_targets();
        targets
            .into_iter()
            .filter_map(|target| self.probe(target, now_ms))
            .collect()
    }

    /// Begins a round; returns the probes to send.
    pub fn tick(&mut self, now_ms: u64) -> Vec<PeerProbe> {
        let elapsed_ms = now_ms.saturating_sub(self.ticked_ms);
        self.ticked_ms = now_ms;
        if elapsed_ms > self.config.pause_ms() {
            self.resume_after(elapsed_ms);
        }
        self.expire_suspects(now_ms);
        self.forget_dead(now_ms);
        self.round += 1;
        let targets = self.choose_targets();
        targets
            .into_iter()
            .filter_map(|target| self.probe(target, now_ms))
            .collect()
    }

    /// Makes a probe of `target`.
    fn probe(&mut self, target: ProbeTarget, now_ms: u64) -> Option<PeerProbe> {
        let (name, address) = match &target {
            ProbeTarget::Member(name) => (Some(name), self.list.find(name)?.record.peer_address),
            ProbeTarget::Address(address) => (None, *address),
        };
        let probe = self.probe_request(name);
        let cursor = probe.sync.clone();
        let timeout_ms = self.config.probe_ms;
        let id = self.note_probe(OutstandingProbe {
            id: ProbeId(0),
            target,
            relay: None,
            sent_ms: now_ms,
            timeout_ms,
            cursor,
        });
        Some(PeerProbe {
            id,
            address,
            timeout_ms,
            request: PeerRequest::Probe(probe),
        })
    }

    /// Makes probes of `target` through others.
    fn relay_probes(&mut self, target: &InstanceName, now_ms: u64) -> Vec<PeerProbe> {
        let relays = self.config.relays;
        let able = |entry: &PeerEntry| {
            entry.record.health == PeerHealth::Live && entry.record.name != *target
        };
        let relays = self.choose_members(relays, able);
        let probes = relays.into_iter().filter_map(|relay| {
            let address = self.list.find(&relay)?.record.peer_address;
            let probe = ProbeRequest {
                sync: None,
                ..self.probe_request(Some(target))
            };
            let timeout_ms = self.config.relay_ms();
            let id = self.note_probe(OutstandingProbe {
                id: ProbeId(0),
                target: ProbeTarget::Member(target.clone()),
                relay: Some(relay),
                sent_ms: now_ms,
                timeout_ms,
                cursor: None,
            });
            let request = PeerRequest::Relay {
                target: target.clone(),
                probe,
            };
            Some(PeerProbe {
                id,
                address,
                timeout_ms,
                request,
            })
        });
        probes.collect()
    }

    fn probe_request(&mut self, receiver: Option<&InstanceName>) -> ProbeRequest {
        let entry = receiver.and_then(|name| self.list.find(name));
        let introduced = entry.is_some_and(|entry| entry.introduced);
        ProbeRequest {
            from: self.status(!introduced),
            changes: self.take_changes(receiver, None),
            sync: self.sync.cursor_for(receiver),
        }
    }

    /// What this process says of itself, as a whole note or a short one.
    fn status(&self, whole: bool) -> PeerStatus {
        let note = match whole {
            true => PeerNote::Whole(self.own.clone()),
            false => PeerNote::short(&self.own),
        };
        PeerStatus {
            note,
            report: self.report,
        }
    }

    fn note_probe(&mut self, probe: OutstandingProbe) -> ProbeId {
        let id = ProbeId(self.next_id);
        self.next_id += 1;
        if self.outstanding.len() == MAX_OUTSTANDING {
            self.outstanding.remove(0);
        }
        self.outstanding.push(OutstandingProbe { id, ..probe });
        id
    }

    /// Takes the outcome of a probe, none when no reply came in time.
    ///
    /// Returns further probes to send.
    pub fn finish(&mut self, id: ProbeId, reply: Option<PeerReply>, now_ms: u64) -> Vec<PeerProbe> {
        let Some(index) = self.outstanding.iter().position(|probe| probe.id == id) else {
            return Vec::new();
        };
        let probe = self.outstanding.remove(index);
        if let Some(PeerReply::Probe(reply)) = reply {
            let answered = self.take_reply(&probe, &reply, now_ms);
            if answered {
                return Vec::new();
            }
        }
        self.take_silence(&probe, now_ms)
    }

    /// Forgets a probe that was never sent; nobody is accused for it.
    pub fn withdraw(&mut self, id: ProbeId) {
        self.outstanding.retain(|probe| probe.id != id);
    }

    /// Takes a reply; returns whether the probe's target sent it.
    fn take_reply(&mut self, probe: &OutstandingProbe, reply: &ProbeReply, now_ms: u64) -> bool {
        let Some(sender) = self.list.resolve(&self.own, &reply.from.note) else {
            // Forgotten meanwhile.
            return true;
        };
        let name = &sender.name;
        if *name == self.own.name && sender.incarnation == self.own.incarnation {
            // An address of our own.
            return true;
        }
        self.answered_ms = Some(now_ms);
        self.apply(&sender, now_ms);
        self.apply_notes(&reply.changes, now_ms);
        reply
            .page
            .iter()
            .for_each(|record| self.apply_page(record, now_ms));
        self.joined = true;
        let report = &reply.from.report;
        if let Some(entry) = self.list.find_mut(name) {
            entry.add_evidence(HeadEvidence::of(report, probe.sent_ms));
            entry.introduced |= sender.incarnation == entry.record.incarnation;
            entry.relayed = probe.relay.is_some();
            if probe.relay.is_none() {
                entry.heard_ms = Some(now_ms);
            }
        }
        self.take_confirmation(name, report, probe.sent_ms);
        self.take_summary(probe, name, reply);
        match &probe.target {
            ProbeTarget::Member(target) => target == name,
            ProbeTarget::Address(_) => true,
        }
    }

    /// Takes a member's word on when the platform confirmed its table.
    fn take_confirmation(&mut self, name: &InstanceName, report: &ProcessReport, asked_ms: u64) {
        let age_ms = report.confirmed_age_ms;
        let at_ms = age_ms.and_then(|age_ms| asked_ms.checked_sub(age_ms));
        let known = self.confirmed.as_ref().map(|confirmed| confirmed.at_ms);
        if let Some(at_ms) = at_ms.filter(|at_ms| known < Some(*at_ms)) {
            self.confirmed = Some(ConfirmedHead {
                name: name.clone(),
                head: report.head,
                voting: report.voting,
                asked_ms,
                at_ms,
            });
        }
    }

    /// Takes the heads of other members, and decides whether to pull a page.
    fn take_summary(&mut self, probe: &OutstandingProbe, name: &InstanceName, reply: &ProbeReply) {
        let summary = &reply.summary;
        let unlike = take_marks(
            &mut self.list,
            &self.own,
            &self.report,
            summary,
            probe.sent_ms,
        );
        if let Some(cursor) = &probe.cursor {
            self.sync.take_page(cursor, &reply.page);
        }
        let live = self
            .list
            .entries()
            .iter()
            .filter(|entry| !entry.is_dead())
            .count();
        let theirs: usize = summary.segments.iter().map(|marks| marks.marks.len()).sum();
        let short = theirs > 2 * (live + 1);
        let alike = summary.digest == self.list.digest(&self.own);
        let segments: Vec<_> = unlike.iter().map(|(segment, _)| *segment).collect();
        self.sync.compare(name, alike, &segments, live, short);
    }

    /// Takes it that a probe was not answered.
    fn take_silence(&mut self, probe: &OutstandingProbe, now_ms: u64) -> Vec<PeerProbe> {
        let ProbeTarget::Member(target) = &probe.target else {
            return Vec::new();
        };
        self.sync.abort(target);
        let waited_ms = now_ms.saturating_sub(probe.sent_ms);
        let paused = waited_ms > probe.timeout_ms + self.config.pause_ms();
        let live = self
            .list
            .find(target)
            .is_some_and(|entry| entry.record.health == PeerHealth::Live);
        if paused || !live {
            return Vec::new();
        }
        let relays = match probe.relay {
            None => self.relay_probes(target, now_ms),
            Some(_) => Vec::new(),
        };
        let open = self
            .outstanding
            .iter()
            .any(|other| other.target == probe.target && other.relay.is_some());
        if !open {
            self.suspect(target, now_ms);
        }
        relays
    }

    /// Answers a request of another process.
    pub fn answer(&mut self, request: &PeerRequest, now_ms: u64) -> PeerAnswer {
        match request {
            PeerRequest::Probe(probe) => {
                PeerAnswer::Reply(PeerReply::Probe(Box::new(self.reply(probe, now_ms))))
            }
            PeerRequest::Relay { target, probe } => match self.list.find(target) {
                Some(entry) if !entry.is_dead() => PeerAnswer::Forward {
                    address: entry.record.peer_address,
                    probe: Box::new(probe.clone()),
                },
                _ => PeerAnswer::Reply(PeerReply::Unreached),
            },
        }
    }

    fn reply(&mut self, probe: &ProbeRequest, now_ms: u64) -> ProbeReply {
        let sender = self.list.resolve(&self.own, &probe.from.note);
        if let Some(sender) = &sender {
            self.apply(sender, now_ms);
        }
        self.apply_notes(&probe.changes, now_ms);
        let name = sender.as_ref().map(|sender| &sender.name);
        if let Some(entry) = name.and_then(|name| self.list.find_mut(name)) {
            entry.heard_ms = Some(now_ms);
        }
        let whole = matches!(probe.from.note, PeerNote::Whole(_));
        let changes = self.take_changes(name, sender.as_ref());
        let cursor = probe.sync.as_ref();
        let page = cursor.map(|cursor| self.list.page(&self.own, cursor));
        let room = if page.is_some() { 0 } else { MAX_MARKS };
        let start = (self.next_id % u64::from(SEGMENTS)) as u8;
        ProbeReply {
            from: self.status(whole),
            changes,
            summary: summarise(&self.list, &self.own, &self.report, now_ms, start, room),
            page: page.unwrap_or_default(),
        }
    }

    /// A snapshot for readers.
    pub fn view(&self, now_ms: u64) -> MemberView {
        let own = PeerEntry {
            heard_ms: Some(now_ms),
            evidence: HeadEvidence::of(&self.report, now_ms),
            ..PeerEntry::new(self.own.clone(), now_ms)
        };
        let mut members: Vec<_> = self.list.entries().iter().map(member_info).collect();
        let slot = members.partition_point(|member| member.name < own.record.name);
        members.insert(slot, member_info(&own));
        MemberView {
            members,
            confirmed: self.confirmed.clone(),
            superseded: self.superseded,
        }
    }
}

/// What readers see of an entry.
fn member_info(entry: &PeerEntry) -> MemberInfo {
    let record = &entry.record;
    MemberInfo {
        name: record.name.clone(),
        incarnation: record.incarnation,
        role: record.role,
        data_centre: record.data_centre.clone(),
        peer_address: record.peer_address,
        caller_address: record.caller_address,
        state: record.state(),
        left: record.leaving && record.health == PeerHealth::Dead,
        relayed: entry.relayed,
        applied_head: entry.evidence.head,
        head_ms: entry.evidence.at_ms,
        load: entry.evidence.load,
        heard_ms: entry.heard_ms,
    }
}
