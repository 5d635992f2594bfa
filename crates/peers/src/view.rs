//! Snapshots of the membership for readers.

use crate::record::{LoadLevel, MemberState};
use berylmount_model::{DataCentre, InstanceName, InstanceRole};
use std::net::SocketAddr;

/// One member in a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberInfo {
    /// Its name.
    pub name: InstanceName,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Entry or dispatch.
    pub role: InstanceRole,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it; only entries have one.
    pub caller_address: Option<SocketAddr>,
    /// Its state.
    pub state: MemberState,
    /// Whether it said that it stops, so that its absence is no failure.
    pub left: bool,
    /// Whether it answers this process only through others.
    pub relayed: bool,
    /// Version of the table head that it applied at `head_ms`; zero when it has
    /// none or one much older than others.
    pub applied_head: u64,
    /// When it surely had applied that head and a vote, none if never heard.
    pub head_ms: Option<u64>,
    /// How busy it was.
    pub load: LoadLevel,
    /// When this process last exchanged messages with it, none if never.
    pub heard_ms: Option<u64>,
}

/// A member's word on when the platform confirmed its table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfirmedHead {
    /// The member that told of it.
    pub name: InstanceName,
    /// The table head that the member applied.
    pub head: u64,
    /// Whether the member has a vote on the table.
    pub voting: bool,
    /// When the member was asked.
    pub asked_ms: u64,
    /// The platform was asked at or after this time, of our own clock.
    pub at_ms: u64,
}

/// The newest head among more than half of the known processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MajorityHead {
    /// The newest head that any of them had applied.
    pub head: u64,
    /// Each of them had no newer head at some time at or after this.
    pub since_ms: u64,
}

/// The members that a process knows at one time, itself among them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberView {
    /// Members sorted by name.
    pub members: Vec<MemberInfo>,
    /// The youngest confirmation by the platform that a member told of.
    pub confirmed: Option<ConfirmedHead>,
    /// Whether a later process took this one's name; it has to stop.
    pub superseded: bool,
}

impl MemberView {
    /// Finds a member by name.
    ///
    /// ```
    /// use berylmount_model::InstanceName;
    /// use berylmount_peers::MemberView;
    ///
    /// let name = InstanceName::new("ridge-north-1/entry").unwrap();
    /// assert!(MemberView::default().find(&name).is_none());
    /// ```
    pub fn find(&self, name: &InstanceName) -> Option<&MemberInfo> {
        let index = self
            .members
            .binary_search_by(|member| member.name.cmp(name))
            .ok()?;
        self.members.get(index)
    }

    /// Members of `role` that take work.
    pub fn live(&self, role: InstanceRole) -> impl Iterator<Item = &MemberInfo> {
        let wanted =
            move |member: &&MemberInfo| member.role == role && member.state == MemberState::Live;
        self.members.iter().filter(wanted)
    }

    /// The newest head among more than half of the known processes.
    ///
    /// Dead members count as known unless they left in good order, so that the
    /// smaller side of a partition never takes itself for more than half. Of all
    /// majorities the one with the youngest evidence is taken.
    ///
    /// ```
    /// use berylmount_peers::MemberView;
    ///
    /// assert_eq!(MemberView::default().majority_head(), None);
    /// ```
    pub fn majority_head(&self) -> Option<MajorityHead> {
        let known = || self.members.iter().filter(|member| !member.left);
        let mut heard: Vec<_> = known()
            .filter_map(|member| Some((member.head_ms?, member.applied_head)))
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let majority = known().count() / 2 + 1;
        let youngest = heard.get(..majority)?;
        let since_ms = youngest.last()?.0;
        let head = youngest.iter().map(|(_, head)| *head).max()?;
        Some(MajorityHead { head, since_ms })
    }
}
