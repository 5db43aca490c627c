use std::collections::{
    HashSet,
    VecDeque, //
};

use crate::record_key::NewsKey;

/// How soon news must go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum NewsClass {
    /// At once, even beyond the budget: leaving, suspicion, homes.
    Urgent,
    /// Within the budget, before load: records that appear or change.
    Prompt,
    /// With the next heartbeat: load.
    Load,
    /// What the budget leaves: blobs.
    Blob,
}

/// Number of classes.
const CLASSES: usize = 4;

/// News that waits for one neighbour; each piece once, whatever changed how often.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    /// Waiting news in order of arrival, by class.
    queues: [VecDeque<NewsKey>; CLASSES],
    /// What waits, with its class.
    ///
    /// Invariant: each pair is in `queues` at least once; what stands only there was taken back.
    waiting: HashSet<(NewsClass, NewsKey)>,
}

impl PendingQueue {
    /// Adds news unless it waits already.
    pub(crate) fn push(&mut self, class: NewsClass, key: NewsKey) {
        if self.waiting.insert((class, key)) {
            self.queues[class as usize].push_back(key);
        }
    }

    /// Takes the oldest news of `class`.
    pub(crate) fn pop(&mut self, class: NewsClass) -> Option<NewsKey> {
        loop {
            let key = self.queues[class as usize].pop_front()?;
            if self.waiting.remove(&(class, key)) {
                return Some(key);
            }
        }
    }

    /// Takes news back that the neighbour turned out to know.
    pub(crate) fn take_back(&mut self, key: NewsKey) {
        for class in [
            NewsClass::Urgent,
            NewsClass::Prompt,
            NewsClass::Load,
            NewsClass::Blob,
        ] {
            self.waiting.remove(&(class, key));
        }
    }

    /// Puts news back that did not fit, to be the next.
    pub(crate) fn push_front(&mut self, class: NewsClass, key: NewsKey) {
        if self.waiting.insert((class, key)) {
            self.queues[class as usize].push_front(key);
        }
    }

    /// About how many pieces of `class` wait; never less than do.
    pub(crate) fn count(&self, class: NewsClass) -> usize {
        self.queues[class as usize].len()
    }

    /// Drops everything.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Pieces of news that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
