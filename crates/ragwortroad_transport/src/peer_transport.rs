use std::{
    collections::{
        HashMap,
        hash_map::Entry, //
    },
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

use flume::{
    Receiver,
    Sender,
    TrySendError, //
};
use quinn::{
    Endpoint,
    TokioRuntime, //
};
use ragwortroad_types::prelude::*;
use snafu::ResultExt;
use tokio::{
    runtime::{
        Builder,
        Runtime, //
    },
    task::{
        JoinHandle,
        JoinSet, //
    }, //
};

use crate::{
    PartitionFilter,
    PeerChannel,
    PeerEvent,
    SendOutcome,
    TransportError,
    TransportSettings,
    TransportStats,
    connection_table::{
        ConnectionTable,
        increment, //
    },
    peer_queue::{
        PeerQueue,
        QueuedMessage, //
    },
    tls_setup::TlsSetup,
    transport_error::{
        ListenSnafu,
        StartRuntimeSnafu, //
    },
    transport_root::{
        TransportRoot, //
        WriterStart,
    }, //
};

/// Sends messages to peers and receives theirs, on threads of its own.
///
/// All methods may be called from a synchronous thread; only [`Self::shutdown`] blocks.
pub struct PeerTransport {
    /// The node that the local certificate names.
    node: NodeId,
    /// The address the socket is bound to.
    address: SocketAddr,
    /// Connections and counters, shared with the tasks.
    table: Arc<ConnectionTable>,
    max_message_bytes: usize,
    /// Capacity of each peer's queue.
    queue_capacity: usize,
    /// Queues by peer; `None` once the shutdown began.
    queues: Mutex<Option<QueueMap>>,
    /// The root task, which starts and joins all other tasks.
    root: JoinHandle<()>,
    /// The runtime that owns the threads of the transport.
    runtime: Runtime,
}

/// The queues of all peers to which messages have been sent.
struct QueueMap {
    /// Requests a new writer from the root task; dropping the sender begins the shutdown.
    writer_starts: Sender<WriterStart>,
    queues: HashMap<NodeId, PeerQueue>,
}

impl PeerTransport {
    /// Binds the socket and starts the threads of the transport.
    ///
    /// Events arrive on the returned receiver. Its queue is bounded: an owner that does not keep up
    /// slows its peers down.
    ///
    /// # Errors
    ///
    /// Fails if the keys are invalid, the address cannot be bound or the threads cannot be started.
    pub fn start(
        settings: TransportSettings,
    ) -> Result<(Self, Receiver<PeerEvent>), TransportError> {
        let setup = TlsSetup::new(&settings)?;
        let node = setup.node;
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.threads.max(1))
            .thread_name("peer-transport")
            .enable_all()
            .build()
            .context(StartRuntimeSnafu)?;
        let endpoint = bind(&runtime, setup, settings.listen)?;
        let address = endpoint.local_addr().context(ListenSnafu {
            address: settings.listen,
        })?;
        let (events, event_receiver) = flume::bounded(settings.event_capacity);
        let (writer_starts, writer_start_receiver) = flume::unbounded();
        let table = Arc::new(ConnectionTable::default());
        let (max_message_bytes, queue_capacity) =
            (settings.max_message_bytes, settings.queue_capacity);
        let root = TransportRoot {
            endpoint,
            table: table.clone(),
            events,
            settings: Arc::new(settings),
            writer_starts: writer_start_receiver,
            readers: JoinSet::new(),
            writers: JoinSet::new(),
        };
        let root = runtime.spawn(root.run());
        let queues = QueueMap {
            writer_starts,
            queues: HashMap::new(),
        };
        let transport = Self {
            node,
            address,
            table,
            max_message_bytes,
            queue_capacity,
            queues: Mutex::new(Some(queues)),
            root,
            runtime,
        };
        Ok((transport, event_receiver))
    }

    /// The node that the local certificate names.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// The bound address, with the actual port if the settings named port 0.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Queues `bytes` for the node `expected` at `to`, and returns immediately.
    ///
    /// Nothing is sent unless the process at `to` authenticates as `expected`. Messages to one peer
    /// may arrive out of order.
    pub fn send(
        &self,
        to: SocketAddr,
        expected: NodeId,
        channel: PeerChannel,
        bytes: Vec<u8>,
    ) -> SendOutcome {
        if bytes.len() > self.max_message_bytes {
            increment(&self.table.messages_too_large);
            return SendOutcome::TooLarge;
        }
        if !self.table.partition_filter.allows(expected) {
            // The sender is not informed, as with packets that a switch drops.
            increment(&self.table.messages_dropped);
            return SendOutcome::Queued;
        }
        let mut frame = Vec::with_capacity(bytes.len() + 1);
        frame.push(channel.tag());
        frame.extend_from_slice(&bytes);
        let message = QueuedMessage { to, channel, frame };
        let outcome = self.queue(expected, message);
        match outcome {
            SendOutcome::Queued => increment(&self.table.messages_queued),
            _ => increment(&self.table.messages_dropped),
        }
        outcome
    }

    /// Adds `message` to the queue of `peer`, starting a writer if there is none.
    fn queue(&self, peer: NodeId, message: QueuedMessage) -> SendOutcome {
        let mut guard = self.lock();
        let Some(map) = guard.as_mut() else {
            return SendOutcome::Closed;
        };
        let queue = match map.queues.entry(peer) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let (sender, queue) = flume::bounded(self.queue_capacity);
                if map.writer_starts.send(WriterStart { peer, queue }).is_err() {
                    return SendOutcome::Closed;
                }
                entry.insert(PeerQueue { sender })
            }
        };
        match queue.sender.try_send(message) {
            Ok(()) => SendOutcome::Queued,
            Err(TrySendError::Full(_)) => SendOutcome::QueueFull,
            Err(TrySendError::Disconnected(_)) => SendOutcome::Closed,
        }
    }

    /// Removes the queue and ends the writer of a peer that has left the fleet for good.
    pub fn remove_peer(&self, peer: NodeId) {
        if let Some(map) = self.lock().as_mut() {
            map.queues.remove(&peer);
        }
    }

    /// The filter with which tests cut the links to peers.
    #[doc(hidden)]
    pub fn partition_filter(&self) -> Arc<PartitionFilter> {
        Arc::clone(&self.table.partition_filter)
    }

    /// Returns all counters; [`TransportStats`] says what the byte counts include.
    pub fn stats(&self) -> TransportStats {
        self.table.stats()
    }

    /// Total bytes sent in UDP payloads since the start.
    pub fn bytes_sent(&self) -> u64 {
        self.stats().bytes_sent
    }

    /// Total bytes received in UDP payloads since the start.
    pub fn bytes_received(&self) -> u64 {
        self.stats().bytes_received
    }

    /// Sends the queued messages, closes every connection, and joins every task and thread.
    pub fn shutdown(self) {
        let queues = self.lock().take();
        drop(queues);
        if let Err(error) = self.runtime.block_on(self.root) {
            tracing::error!(%error, "transport root task failed");
        }
    }

    /// Locks the queues. No thread panics while it holds the lock, so a poisoned map is still
    /// consistent.
    fn lock(&self) -> MutexGuard<'_, Option<QueueMap>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds the socket within the context of the runtime.
fn bind(
    runtime: &Runtime,
    setup: TlsSetup,
    listen: SocketAddr,
) -> Result<Endpoint, TransportError> {
    let _guard = runtime.enter();
    let socket = UdpSocket::bind(listen).context(ListenSnafu { address: listen })?;
    let runtime = Arc::new(TokioRuntime);
    let mut endpoint = Endpoint::new(setup.endpoint, Some(setup.server), socket, runtime)
        .context(ListenSnafu { address: listen })?;
    endpoint.set_default_client_config(setup.client);
    Ok(endpoint)
}
