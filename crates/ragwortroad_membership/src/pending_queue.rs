use std::collections::{
    HashSet,
    VecDeque, //
};

use crate::record_key::UpdateKey;

/// How soon news must go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum UpdatePriority {
    /// At once, even beyond the budget: leaving, suspicion, homes.
    Urgent,
    /// Within the budget, before load: records that appear or change.
    Normal,
    /// With the next heartbeat: load.
    Load,
    /// What the budget leaves: blobs.
    Blob,
}

/// Number of classes.
const PRIORITY_COUNT: usize = 4;

/// News that waits for one neighbour; each piece once, whatever changed how often.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    /// Waiting news in order of arrival, by class.
    queues: [VecDeque<UpdateKey>; PRIORITY_COUNT],
    /// What waits, with its class.
    ///
    /// Invariant: each pair is in `queues` at least once; what stands only there was taken back.
    queued: HashSet<(UpdatePriority, UpdateKey)>,
}

impl PendingQueue {
    /// Adds news unless it waits already.
    pub(crate) fn push(&mut self, priority: UpdatePriority, key: UpdateKey) {
        if self.queued.insert((priority, key)) {
            self.queues[priority as usize].push_back(key);
        }
    }

    /// Takes the oldest news of `class`.
    pub(crate) fn pop(&mut self, priority: UpdatePriority) -> Option<UpdateKey> {
        loop {
            let key = self.queues[priority as usize].pop_front()?;
            if self.queued.remove(&(priority, key)) {
                return Some(key);
            }
        }
    }

    /// Takes news back that the neighbour turned out to know.
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

    /// Puts news back that did not fit, to be the next.
    pub(crate) fn push_front(&mut self, priority: UpdatePriority, key: UpdateKey) {
        if self.queued.insert((priority, key)) {
            self.queues[priority as usize].push_front(key);
        }
    }

    /// About how many pieces of `class` wait; never less than do.
    pub(crate) fn count(&self, priority: UpdatePriority) -> usize {
        self.queues[priority as usize].len()
    }

    /// Drops everything.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Pieces of news that wait.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }
}
