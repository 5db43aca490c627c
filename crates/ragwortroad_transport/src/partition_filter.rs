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

/// Peers with which nothing is exchanged for now, so that tests can cut links.
///
/// A cut link is silent, as one is where a switch drops packets: messages vanish in both
/// directions, those on their way included, and nobody is told.
#[derive(Debug, Default)]
pub struct PartitionFilter {
    /// Invariant: false only if `peers` is empty, so that an open gate costs one load a message.
    is_active: AtomicBool,
    peers: Mutex<HashSet<NodeId>>,
}

impl PartitionFilter {
    /// Cuts the links to these peers.
    pub fn block(&self, peers: impl IntoIterator<Item = NodeId>) {
        self.is_active.store(true, Ordering::Release);
        self.lock().extend(peers);
    }

    /// Heals every link.
    pub fn unblock_all(&self) {
        let mut peers = self.lock();
        peers.clear();
        self.is_active.store(false, Ordering::Release);
    }

    /// Whether messages to and from `peer` get through.
    pub(crate) fn allows(&self, peer: NodeId) -> bool {
        !self.is_active.load(Ordering::Acquire) || !self.lock().contains(&peer)
    }

    /// The peers; no thread panics while it holds the lock, so a poisoned one is sound.
    fn lock(&self) -> MutexGuard<'_, HashSet<NodeId>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
