//! Pulls pages of members from a peer whose list differs for long.
//!
//! Changes are sent a bounded number of times, so some may be missed, and a
//! process that starts knows nobody. Both show as digests that differ.

use crate::{
    message::{SyncCursor, MAX_PAGE, SEGMENTS},
    record::PeerRecord,
};
use berylmount_model::InstanceName;

/// Differing digests in a row after which members are pulled, with a short list.
///
/// Changes under way make digests differ as well, and mostly pass sooner; each
/// page of a longer list adds one, as a pull costs more there.
const UNLIKE_REPLIES: u32 = 3;

/// A pull under way.
#[derive(Clone, Debug)]
struct SyncPull {
    peer: InstanceName,
    cursor: SyncCursor,
}

/// Decides when and what to pull.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncState {
    pull: Option<SyncPull>,
    unlike: u32,
    next_segment: u8,
}

impl SyncState {
    /// The peer that the next page comes from.
    pub(crate) fn peer(&self) -> Option<&InstanceName> {
        self.pull.as_ref().map(|pull| &pull.peer)
    }

    /// What to ask `peer` for.
    pub(crate) fn cursor_for(&self, peer: Option<&InstanceName>) -> Option<SyncCursor> {
        let pull = self.pull.as_ref()?;
        (Some(&pull.peer) == peer).then(|| pull.cursor.clone())
    }

    /// Ends a pull whose peer did not answer.
    pub(crate) fn abort(&mut self, peer: &InstanceName) {
        if self.peer() == Some(peer) {
            self.pull = None;
        }
    }

    /// Goes on after a page that answered `cursor`.
    pub(crate) fn take_page(&mut self, cursor: &SyncCursor, page: &[PeerRecord]) {
        let Some(pull) = self.pull.as_mut().filter(|pull| pull.cursor == *cursor) else {
            return;
        };
        match page.last() {
            Some(last) if page.len() == MAX_PAGE => pull.cursor.after = Some(last.name.clone()),
            _ => self.pull = None,
        }
    }

    /// Notes how a reply of `peer` compares; `live` members are known here, and
    /// `short` says that the peer knows many more.
    pub(crate) fn compare(
        &mut self,
        peer: &InstanceName,
        alike: bool,
        unlike: &[u8],
        live: usize,
        short: bool,
    ) {
        if alike {
            self.unlike = 0;
            return;
        }
        self.unlike += 1;
        let small = live < MAX_PAGE;
        let pages = live / MAX_PAGE;
        let replies = UNLIKE_REPLIES + pages as u32;
        if self.pull.is_some() || !(short || self.unlike >= replies) {
            return;
        }
        self.unlike = 0;
        let segment = (!short && !small).then(|| self.choose_segment(unlike));
        let cursor = SyncCursor {
            segment,
            after: None,
        };
        self.pull = Some(SyncPull {
            peer: peer.clone(),
            cursor,
        });
    }

    /// The next segment in turn, among `unlike` if there are any.
    fn choose_segment(&mut self, unlike: &[u8]) -> u8 {
        let turns = (0..SEGMENTS).map(|step| (self.next_segment + step) % SEGMENTS);
        let chosen = turns.clone().find(|segment| unlike.contains(segment));
        let segment = chosen.unwrap_or(self.next_segment);
        self.next_segment = (segment + 1) % SEGMENTS;
        segment
    }
}
