use std::collections::{
    HashSet,
    VecDeque, //
};

use crate::record_key::UpdateKey;

/// How soon an update must be sent. The variants are ordered by priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum UpdatePriority {
    /// Sent at once, even beyond the budget: shutdowns, suspicions, changes of home.
    Urgent,
    /// Sent within the budget, before loads: new and changed records.
    Normal,
    /// Sent with the next heartbeat: loads.
    Load,
    /// Sent with the remaining budget: blobs.
    Blob,
}

/// Number of variants of [`UpdatePriority`].
const PRIORITY_COUNT: usize = 4;

/// Updates queued for one neighbour. A key is queued once per priority, however often its value
/// changes.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    /// Queued updates by priority, in order of arrival.
    queues: [VecDeque<UpdateKey>; PRIORITY_COUNT],
    /// The queued updates with their priorities.
    ///
    /// Invariant: every pair is in `queues` at least once. An entry that is only in `queues` was
    /// cancelled.
    queued: HashSet<(UpdatePriority, UpdateKey)>,
}

impl PendingQueue {
    /// Queues an update unless it is already queued with this priority.
    pub(crate) fn push(&mut self, priority: UpdatePriority, key: UpdateKey) {
        if self.queued.insert((priority, key)) {
            self.queues[priority as usize].push_back(key);
        }
    }

    /// Removes and returns the oldest update with this priority.
    pub(crate) fn pop(&mut self, priority: UpdatePriority) -> Option<UpdateKey> {
        loop {
            let key = self.queues[priority as usize].pop_front()?;
            if self.queued.remove(&(priority, key)) {
                return Some(key);
            }
        }
    }

    /// Cancels an update that the neighbour already has.
    pub(crate) fn cancel(&mut self, key: UpdateKey) {
        for priority in [
            UpdatePriority::Urgent,
            UpdatePriority::Normal,
            UpdatePriority::Load,
            UpdatePriority::Blob,
        ] {
            self.queued.remove(&(priority, key));
        }
    }

    /// Puts an update that did not fit into the packet back to the front.
    pub(crate) fn push_front(&mut self, priority: UpdatePriority, key: UpdateKey) {
        if self.queued.insert((priority, key)) {
            self.queues[priority as usize].push_front(key);
        }
    }

    /// Upper bound on the number of queued updates with this priority; cancelled ones may be
    /// counted.
    pub(crate) fn count(&self, priority: UpdatePriority) -> usize {
        self.queues[priority as usize].len()
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Number of queued updates.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }
}
