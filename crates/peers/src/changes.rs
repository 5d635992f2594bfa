//! Changes that wait to be carried on messages.

use berylmount_model::InstanceName;

/// Times that a change is sent besides once for each doubling of the members.
const MORE_SENDS: u32 = 2;

/// Names whose records still have to be passed on.
///
/// Changes sent least often go first, so that a new one isn't held up by many
/// old ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeQueue(Vec<QueuedChange>);

#[derive(Clone, Debug)]
struct QueuedChange {
    name: InstanceName,
    sends: u32,
}

impl ChangeQueue {
    /// Queues the record of `name`, anew if it was queued before.
    pub(crate) fn push(&mut self, name: &InstanceName) {
        self.0.retain(|change| change.name != *name);
        self.0.insert(
            0,
            QueuedChange {
                name: name.clone(),
                sends: 0,
            },
        );
    }

    /// Queues the record of `name` if it isn't queued.
    pub(crate) fn push_missing(&mut self, name: &InstanceName) {
        if self.0.iter().all(|change| change.name != *name) {
            self.push(name);
        }
    }

    /// Takes names for a message among `members` processes, until the next one
    /// does not fit in `room`; `size` gives the room that a name takes.
    pub(crate) fn take(
        &mut self,
        mut room: usize,
        members: usize,
        size: impl Fn(&InstanceName) -> usize,
    ) -> Vec<InstanceName> {
        let sends = members.max(1).ilog2() + 1 + MORE_SENDS;
        self.0.sort_by_key(|change| change.sends);
        let mut names = Vec::new();
        for change in &mut self.0 {
            let Some(rest) = room.checked_sub(size(&change.name)) else {
                break;
            };
            room = rest;
            change.sends += 1;
            names.push(change.name.clone());
        }
        self.0.retain(|change| change.sends < sends);
        names
    }
}
