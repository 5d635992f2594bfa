//! Joins membership to the freshness of the operators' table.

use crate::{
    record::{LoadLevel, MemberState, ProcessReport},
    view::{ConfirmedHead, MemberInfo, MemberView},
};
use berylmount_model::InstanceName;
use berylmount_table::{PeerReport, TableReplica};

/// What a process says of its table and its load at `now_ms`.
///
/// ```
/// use berylmount_peers::{process_report, LoadLevel};
/// use berylmount_table::TableReplica;
///
/// let report = process_report(&TableReplica::new(0), LoadLevel::Busy, 0);
/// assert!(!report.voting);
/// ```
pub fn process_report(table: &TableReplica, load: LoadLevel, now_ms: u64) -> ProcessReport {
    let report = table.report_to_peer(now_ms);
    ProcessReport {
        head: report.head,
        voting: report.joined,
        confirmed_age_ms: report.confirmed_age_ms,
        load,
    }
}

/// Tells `table` of the members, their heads, and the platform's confirmation.
///
/// `listed` holds the names of our own processes on the platform's last list,
/// none before the first came. The times of `view` are of the table's clock.
///
/// ```
/// use berylmount_model::InstanceName;
/// use berylmount_peers::{feed_table, MemberView};
/// use berylmount_table::TableReplica;
///
/// let own = InstanceName::new("ridge-north-1-entry").unwrap();
/// feed_table(&TableReplica::new(0), &MemberView::default(), &own, None);
/// ```
pub fn feed_table(
    table: &TableReplica,
    view: &MemberView,
    own: &InstanceName,
    listed: Option<&[InstanceName]>,
) {
    let members = view.members.iter().filter(|member| counts(member, listed));
    let members = members.map(|member| &member.name);
    let members = members.chain(listed.unwrap_or_default());
    let peers: Vec<_> = members.filter(|name| *name != own).cloned().collect();
    // With nobody known and no word of the platform, others may well exist.
    let alone = listed.is_some_and(|listed| listed.contains(own));
    if alone || !peers.is_empty() {
        table.set_peers(&peers);
    }
    if let Some(confirmed) = &view.confirmed {
        feed_confirmation(table, view, confirmed);
    }
    for member in view.members.iter().filter(|member| member.name != *own) {
        if let Some(head_ms) = member.head_ms {
            let report = PeerReport {
                head: member.applied_head,
                joined: true,
                confirmed_age_ms: None,
            };
            table.peer_report(&member.name, report, head_ms);
        }
    }
}

/// Tells `table` of the platform's confirmation.
///
/// The table drops a report that is older than the last one of its member. So
/// it is dated as late as the member surely still had the head, which does not
/// change when the platform was asked.
fn feed_confirmation(table: &TableReplica, view: &MemberView, confirmed: &ConfirmedHead) {
    let member = view.find(&confirmed.name);
    let same = member.filter(|member| member.applied_head == confirmed.head);
    let head_ms = same.and_then(|member| member.head_ms);
    let asked_ms = head_ms.map_or(confirmed.asked_ms, |head_ms| {
        head_ms.max(confirmed.asked_ms)
    });
    let report = PeerReport {
        head: confirmed.head,
        joined: confirmed.voting,
        confirmed_age_ms: Some(asked_ms - confirmed.at_ms),
    };
    table.peer_report(&confirmed.name, report, asked_ms);
}

/// Whether a member counts for a majority, apart from the platform's list.
///
/// A dead one counts until the platform lists others only: it may live on the
/// other side of a partition, or have been replaced by one unknown here.
fn counts(member: &MemberInfo, listed: Option<&[InstanceName]>) -> bool {
    match member.state {
        MemberState::Dead => listed.is_none(),
        MemberState::Live | MemberState::Suspect | MemberState::Leaving => true,
    }
}

/// A member that applied a newer head than `applied`; `turn` picks one.
///
/// ```
/// use berylmount_peers::{newer_member, MemberView};
///
/// assert!(newer_member(&MemberView::default(), 7, 0).is_none());
/// ```
pub fn newer_member(view: &MemberView, applied: u64, turn: usize) -> Option<&MemberInfo> {
    let usable = |state| matches!(state, MemberState::Live | MemberState::Leaving);
    let newer = |member: &&MemberInfo| member.applied_head > applied && usable(member.state);
    let members: Vec<_> = view.members.iter().filter(newer).collect();
    members.get(turn.checked_rem(members.len())?).copied()
}
