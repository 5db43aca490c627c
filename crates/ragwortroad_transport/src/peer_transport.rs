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
    /// The node that our certificate names.
    node: NodeId,
    /// The address the socket is bound to.
    address: SocketAddr,
    /// Shared with the tasks.
    table: Arc<ConnectionTable>,
    /// Largest message.
    max_message_bytes: usize,
    /// Length of each peer's queue.
    queue_capacity: usize,
    /// Queues by peer; nothing once shutdown began.
    queues: Mutex<Option<QueueMap>>,
    /// The root task, parent of all others.
    root: JoinHandle<()>,
    /// The threads.
    runtime: Runtime,
}

/// The queue of each peer that was sent something.
struct QueueMap {
    /// Tells the root to start a writer; dropping it begins the shutdown.
    writer_starts: Sender<WriterStart>,
    /// Queues by peer.
    queues: HashMap<NodeId, PeerQueue>,
}

impl PeerTransport {
    /// Binds the socket and starts the transport's threads.
    ///
    /// Events come over the returned receiver. An owner that falls behind slows its peers down;
    /// it never grows a queue without bound.
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

    /// The node that our certificate names.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// The address the socket is bound to.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Queues `bytes` for the node `expected` at `to`, and returns at once.
    ///
    /// Nothing is sent unless the process at `to` proves to be `expected`. Messages to one peer
    /// may overtake each other.
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
            // The sender is not told, as it is not told of packets that a switch drops.
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

    /// Puts `message` into the queue of `peer`, with a new writer where it has none.
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

    /// Ends the writer of a peer that left the fleet for good, so that its queue does not remain.
    pub fn remove_peer(&self, peer: NodeId) {
        if let Some(map) = self.lock().as_mut() {
            map.queues.remove(&peer);
        }
    }

    /// The links that can be cut for a test.
    #[doc(hidden)]
    pub fn partition_filter(&self) -> Arc<PartitionFilter> {
        Arc::clone(&self.table.partition_filter)
    }

    /// All counters; see [`TransportStats`] for what the bytes hold.
    pub fn stats(&self) -> TransportStats {
        self.table.stats()
    }

    /// Bytes sent in UDP payloads since the start.
    pub fn bytes_sent(&self) -> u64 {
        self.stats().bytes_sent
    }

    /// Bytes received in UDP payloads since the start.
    pub fn bytes_received(&self) -> u64 {
        self.stats().bytes_received
    }

    /// Sends what is queued, closes every connection, and joins every task and thread.
    pub fn shutdown(self) {
        let queues = self.lock().take();
        drop(queues);
        if let Err(error) = self.runtime.block_on(self.root) {
            tracing::error!(%error, "the transport's root task failed");
        }
    }

    /// The queues; no thread panics while it holds the lock, so a poisoned one is sound.
    fn lock(&self) -> MutexGuard<'_, Option<QueueMap>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds the socket within the runtime.
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
