//! Joins membership to the freshness of the operators' table.

use crate::{
    board::PeerBoard,
    record::{LoadLevel, MemberState, ProcessReport},
    view::{MemberInfo, MemberView},
};
use berylmount_model::InstanceName;
use berylmount_table::{PeerReport, TableReplica};

/// What this process says of its table at `now_ms`.
pub(crate) fn process_report(table: &TableReplica, load: LoadLevel, now_ms: u64) -> ProcessReport {
    let report = table.report_to_peer(now_ms);
    ProcessReport {
        head: report.head,
        voting: report.joined,
        confirmed_age_ms: report.confirmed_age_ms,
        load,
    }
}

/// Passes on what the board's last reply said of the platform.
pub(crate) fn feed_confirmation(table: &TableReplica, board: &mut PeerBoard) {
    if let Some(confirmed) = board.take_confirmed() {
        let report = PeerReport {
            head: confirmed.head,
            joined: confirmed.voting,
            confirmed_age_ms: Some(confirmed.age_ms),
        };
        table.peer_report(&confirmed.name, report, confirmed.asked_ms);
    }
}

/// Passes on the members and what is known of their heads.
///
/// `listed` holds the names of the platform's last list, none before the first.
pub(crate) fn feed_members(
    table: &TableReplica,
    view: &MemberView,
    own: &InstanceName,
    listed: Option<&[InstanceName]>,
) {
    let members = view.members.iter().filter(|member| counts(member, listed));
    let members = members
        .map(|member| &member.name)
        .chain(listed.unwrap_or_default());
    let peers: Vec<_> = members.filter(|name| *name != own).cloned().collect();
    table.set_peers(&peers);
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

/// A live member that applied a newer head than `applied`; `turn` picks one.
pub(crate) fn newer_member(view: &MemberView, applied: u64, turn: usize) -> Option<&MemberInfo> {
    let usable = |state| matches!(state, MemberState::Live | MemberState::Leaving);
    let newer = |member: &&MemberInfo| member.applied_head > applied && usable(member.state);
    let members: Vec<_> = view.members.iter().filter(newer).collect();
    members.get(turn.checked_rem(members.len())?).copied()
}
