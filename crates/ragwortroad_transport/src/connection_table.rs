use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    }, //
};

use quinn::Connection;
use ragwortroad_types::prelude::*;

use crate::{
    PartitionFilter,
    TransportStats, //
};

/// Open connections and counters, shared by all tasks of one transport.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    /// Locked for a few instructions only, never across an await.
    connections: Mutex<ConnectionMap>,
    /// Peers whose messages are dropped for a test.
    pub(crate) partition_filter: Arc<PartitionFilter>,
    /// Incoming handshakes in progress.
    pub(crate) handshakes: AtomicU64,
    /// See [`TransportStats::messages_queued`].
    pub(crate) messages_queued: AtomicU64,
    /// See [`TransportStats::messages_dropped`].
    pub(crate) messages_dropped: AtomicU64,
    /// See [`TransportStats::messages_too_large`].
    pub(crate) messages_too_large: AtomicU64,
    /// See [`TransportStats::messages_received`].
    pub(crate) messages_received: AtomicU64,
    /// See [`TransportStats::handshakes_refused`].
    pub(crate) handshakes_refused: AtomicU64,
}

/// Connections whose peer is authenticated.
#[derive(Default)]
struct ConnectionMap {
    /// All open connections by quinn's stable identifier.
    open: HashMap<usize, Connection>,
    /// The connection to send on, for each peer.
    ///
    /// Invariant: each value is a key of `open`.
    current: HashMap<NodeId, usize>,
    /// Traffic of closed connections.
    closed: TransportStats,
}

impl ConnectionTable {
    /// Makes `connection` the one on which messages to `peer` are sent.
    ///
    /// Two nodes that dial each other at the same time have two connections for a while; the unused
    /// one becomes idle and closes.
    pub(crate) fn insert(&self, peer: NodeId, connection: Connection) {
        let mut map = self.lock();
        map.current.insert(peer, connection.stable_id());
        map.open.insert(connection.stable_id(), connection);
    }

    /// Removes a closed connection and keeps its traffic counters.
    pub(crate) fn remove(&self, peer: NodeId, connection: &Connection) {
        let mut map = self.lock();
        let stable_id = connection.stable_id();
        if map.current.get(&peer) == Some(&stable_id) {
            map.current.remove(&peer);
        }
        if map.open.remove(&stable_id).is_some() {
            add_traffic(&mut map.closed, connection);
        }
    }

    /// The connection on which to send to `peer`, if one is open.
    pub(crate) fn current(&self, peer: NodeId) -> Option<Connection> {
        let map = self.lock();
        let connection = map.open.get(map.current.get(&peer)?)?;
        connection
            .close_reason()
            .is_none()
            .then(|| connection.clone())
    }

    pub(crate) fn open_count(&self) -> usize {
        self.lock().open.len()
    }

    pub(crate) fn stats(&self) -> TransportStats {
        let map = self.lock();
        let mut stats = map.closed;
        for connection in map.open.values() {
            add_traffic(&mut stats, connection);
        }
        stats.connections = map.open.len() as u64;
        stats.messages_queued = self.messages_queued.load(Ordering::Relaxed);
        stats.messages_dropped = self.messages_dropped.load(Ordering::Relaxed);
        stats.messages_too_large = self.messages_too_large.load(Ordering::Relaxed);
        stats.messages_received = self.messages_received.load(Ordering::Relaxed);
        stats.handshakes_refused = self.handshakes_refused.load(Ordering::Relaxed);
        stats
    }

    /// Locks the map. No task panics while it holds the lock, so a poisoned map is still
    /// consistent.
    fn lock(&self) -> MutexGuard<'_, ConnectionMap> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn add_traffic(stats: &mut TransportStats, connection: &Connection) {
    let traffic = connection.stats();
    stats.bytes_sent += traffic.udp_tx.bytes;
    stats.bytes_received += traffic.udp_rx.bytes;
    stats.datagrams_sent += traffic.udp_tx.datagrams;
    stats.datagrams_received += traffic.udp_rx.datagrams;
}
