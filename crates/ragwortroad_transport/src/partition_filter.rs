use std::{
    collections::HashSet,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    }, //
};

use ragwortroad_types::prelude::*;

/// Drops all messages to and from chosen peers, so that tests can simulate network partitions.
///
/// A cut link is silent, like one behind a switch that drops packets: messages in both directions
/// are lost, including those in transit, and neither side is informed.
#[derive(Debug, Default)]
pub struct PartitionFilter {
    /// Invariant: false only if `peers` is empty, so that an inactive filter costs one atomic load
    /// per message.
    is_active: AtomicBool,
    peers: Mutex<HashSet<NodeId>>,
}

impl PartitionFilter {
    /// Drops all messages to and from these peers, in addition to those already blocked.
    pub fn block(&self, peers: impl IntoIterator<Item = NodeId>) {
        self.is_active.store(true, Ordering::Release);
        self.lock().extend(peers);
    }

    /// Lets the messages of all peers pass again.
    pub fn unblock_all(&self) {
        let mut peers = self.lock();
        peers.clear();
        self.is_active.store(false, Ordering::Release);
    }

    /// Whether messages to and from `peer` pass.
    pub(crate) fn allows(&self, peer: NodeId) -> bool {
        !self.is_active.load(Ordering::Acquire) || !self.lock().contains(&peer)
    }

    /// Locks the set. No thread panics while it holds the lock, so a poisoned set is still
    /// consistent.
    fn lock(&self) -> MutexGuard<'_, HashSet<NodeId>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
