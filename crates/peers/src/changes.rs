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

    /// Takes up to `count` names for a message among `members` processes.
    pub(crate) fn take(&mut self, count: usize, members: usize) -> Vec<InstanceName> {
        let doublings = members.max(1).ilog2() + 1;
        self.0.sort_by_key(|change| change.sends);
        let chosen = self.0.iter_mut().take(count);
        let names = chosen.map(|change| {
            change.sends += 1;
            change.name.clone()
        });
        let names = names.collect();
        self.0
            .retain(|change| change.sends < doublings + MORE_SENDS);
        names
    }
}
