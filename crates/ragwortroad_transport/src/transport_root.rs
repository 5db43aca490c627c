//! The root task of the transport, which starts and joins all other tasks.

use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};

use flume::{
    Receiver,
    Sender, //
};
use quinn::{
    Endpoint,
    Incoming,
    VarInt, //
};
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        timeout, //
    }, //
};

use ragwortroad_types::prelude::*;

use crate::{
    PeerEvent,
    TransportSettings,
    connection_reader::ConnectionReader,
    connection_table::{
        ConnectionTable,
        increment, //
    },
    peer_queue::QueuedMessage,
    peer_writer::PeerWriter, //
};

/// QUIC error code of an orderly close.
const CLOSE_ORDERLY: VarInt = VarInt::from_u32(0);
/// QUIC error code for a peer whose certificate names no node.
const CLOSE_NO_NODE_NAME: VarInt = VarInt::from_u32(1);

/// Time limit for notifying peers of closed connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that may queue for a handshake, as a multiple of the handshakes allowed at once.
pub(crate) const PENDING_HANDSHAKES_FACTOR: usize = 4;

/// Requests the root task to start the writer for a new peer.
pub(crate) struct WriterStart {
    pub(crate) peer: NodeId,
    /// Receiving side of the peer's queue.
    pub(crate) queue: Receiver<QueuedMessage>,
}

/// Accepts connections, starts writers, and joins both.
pub(crate) struct TransportRoot {
    /// The local QUIC endpoint.
    pub(crate) endpoint: Endpoint,
    /// The shared connection table.
    pub(crate) table: Arc<ConnectionTable>,
    /// Receives messages and lost peers.
    pub(crate) events: Sender<PeerEvent>,
    pub(crate) settings: Arc<TransportSettings>,
    /// Writers to start; the shutdown begins when the sending side is dropped.
    pub(crate) writer_starts: Receiver<WriterStart>,
    /// Readers of incoming connections.
    pub(crate) readers: JoinSet<()>,
    /// Writers, one per peer.
    pub(crate) writers: JoinSet<()>,
}

impl TransportRoot {
    /// Runs until shutdown, then closes every connection and joins every task.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::select! {
                start = self.writer_starts.recv_async() => match start {
                    Ok(start) => self.start_writer(start),
                    Err(_shutdown) => break,
                },
                incoming = self.endpoint.accept() => match incoming {
                    Some(incoming) => self.accept(incoming),
                    None => break,
                },
                Some(_ended) = self.readers.join_next() => {}
                Some(_ended) = self.writers.join_next() => {}
            }
        }
        self.stop().await;
    }

    fn start_writer(&mut self, start: WriterStart) {
        let writer = PeerWriter {
            peer: start.peer,
            queue: start.queue,
            endpoint: self.endpoint.clone(),
            table: self.table.clone(),
            events: self.events.clone(),
            settings: self.settings.clone(),
            readers: JoinSet::new(),
            writes: JoinSet::new(),
            retry_at: Instant::now(),
        };
        self.writers.spawn(writer.run());
    }

    /// Starts the handshake with a peer, unless a limit is reached.
    ///
    /// A handshake costs CPU time before the peer is authenticated. Once half of the allowed
    /// handshakes are in progress, a peer must first prove that it receives packets at its source
    /// address, so that forged source addresses cannot keep out legitimate peers.
    fn accept(&mut self, incoming: Incoming) {
        let open = self.readers.len().max(self.table.open_count());
        let handshakes_in_progress = self.table.handshakes.load(Ordering::Relaxed) as usize;
        let max_handshakes = self.settings.max_handshakes;
        if open >= self.settings.max_connections || handshakes_in_progress >= max_handshakes {
            increment(&self.table.handshakes_refused);
            incoming.refuse();
            return;
        }
        if handshakes_in_progress >= max_handshakes / 2 && incoming.may_retry() {
            if let Err(error) = incoming.retry() {
                tracing::debug!(%error, "failed to request address validation from a peer");
            }
            return;
        }
        let table = self.table.clone();
        let events = self.events.clone();
        let settings = self.settings.clone();
        increment(&table.handshakes);
        self.readers.spawn(async move {
            let reader = complete_handshake(incoming, &table, &events, &settings).await;
            table.handshakes.fetch_sub(1, Ordering::Relaxed);
            match reader {
                Some(reader) => reader.run().await,
                None => increment(&table.handshakes_refused),
            }
        });
    }

    /// Closes every connection and joins every task.
    async fn stop(mut self) {
        // Writers end once the sending sides of their queues are dropped, after sending the
        // messages they already took.
        let limit = self.settings.message_timeout;
        if timeout(limit, join_all(&mut self.writers)).await.is_err() {
            self.writers.shutdown().await;
        }
        self.endpoint.close(CLOSE_ORDERLY, b"shutdown");
        self.readers.shutdown().await;
        if timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle())
            .await
            .is_err()
        {
            tracing::debug!("connections did not close within the time limit");
        }
    }
}

async fn join_all(tasks: &mut JoinSet<()>) {
    while tasks.join_next().await.is_some() {}
}

/// Completes the handshake with a peer; returns `None` unless the peer authenticates as a node of
/// the fleet.
async fn complete_handshake(
    incoming: Incoming,
    table: &Arc<ConnectionTable>,
    events: &Sender<PeerEvent>,
    settings: &TransportSettings,
) -> Option<ConnectionReader> {
    let address = incoming.remote_address();
    let connected = timeout(settings.handshake_timeout, incoming).await.ok()?;
    let connection = match connected {
        Ok(connection) => connection,
        Err(error) => {
            tracing::warn!(%address, %error, "handshake with a peer failed");
            return None;
        }
    };
    let reader = ConnectionReader::register(connection.clone(), table, events, settings);
    if reader.is_none() {
        tracing::warn!(%address, "rejected a peer whose certificate names no node");
        connection.close(CLOSE_NO_NODE_NAME, b"the certificate names no node");
    }
    reader
}
