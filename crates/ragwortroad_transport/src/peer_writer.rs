//! Sends the messages queued for one peer.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use flume::{
    Receiver,
    Sender, //
};
use quinn::{
    Connection,
    Endpoint,
    SendDatagramError, //
};
use ragwortroad_types::prelude::*;
use snafu::{
    ResultExt,
    Snafu, //
};
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        timeout, //
    }, //
};

use crate::{
    PeerChannel,
    PeerEvent,
    TransportSettings,
    connection_reader::ConnectionReader,
    connection_table::{
        ConnectionTable,
        increment, //
    },
    peer_identity::subject_name,
    peer_queue::QueuedMessage, //
};

/// Takes messages from the queue of one peer, connects on demand, and sends them.
pub(crate) struct PeerWriter {
    pub(crate) peer: NodeId,
    pub(crate) queue: Receiver<QueuedMessage>,
    /// The local QUIC endpoint.
    pub(crate) endpoint: Endpoint,
    /// The shared connection table.
    pub(crate) table: Arc<ConnectionTable>,
    /// Receives the messages read from new connections, and lost peers.
    pub(crate) events: Sender<PeerEvent>,
    pub(crate) settings: Arc<TransportSettings>,
    /// Readers of the connections that this writer opened.
    pub(crate) readers: JoinSet<()>,
    /// Messages that were passed to a connection and are not yet acknowledged.
    pub(crate) writes: JoinSet<()>,
    /// Earliest time of the next attempt to connect.
    pub(crate) retry_at: Instant,
}

/// The reason why a message could not be sent.
#[derive(Debug)]
#[derive(Snafu)]
enum WriteFailure {
    /// An attempt to connect failed less than the reconnect delay ago.
    #[snafu(display("the last attempt failed a moment ago"))]
    RetryPending,
    /// The address cannot be dialled.
    #[snafu(display("cannot dial: {source}"))]
    Dial {
        /// The error from quinn.
        source: quinn::ConnectError,
    },
    /// The handshake failed.
    #[snafu(display("handshake failed: {source}"))]
    Handshake {
        /// The error from quinn.
        source: quinn::ConnectionError,
    },
    /// The handshake did not complete in time.
    #[snafu(display("no answer to the handshake"))]
    HandshakeTimeout,
    /// The process at the address does not authenticate as the expected node.
    #[snafu(display("another node answers at this address"))]
    WrongNode,
}

impl PeerWriter {
    /// Sends messages until the sending side of the queue is dropped.
    pub(crate) async fn run(mut self) {
        while let Some(message) = self.next_message().await {
            match self.connection(message.to).await {
                Ok(connection) => self.write(connection, message).await,
                Err(failure) => self.discard_message(failure).await,
            }
        }
        // The time limit of each write bounds this wait.
        while self.writes.join_next().await.is_some() {}
        self.readers.shutdown().await;
    }

    /// Waits for the next message and collects finished tasks meanwhile.
    async fn next_message(&mut self) -> Option<QueuedMessage> {
        loop {
            tokio::select! {
                message = self.queue.recv_async() => return message.ok(),
                Some(_ended) = self.writes.join_next() => {}
                Some(_ended) = self.readers.join_next() => {}
            }
        }
    }

    /// Returns the open connection to the peer, or a new one to `address`.
    async fn connection(&mut self, address: SocketAddr) -> Result<Connection, WriteFailure> {
        if let Some(connection) = self.table.current(self.peer) {
            // A peer that moved to another address left a stale connection behind.
            if same_address(connection.remote_address(), address) {
                return Ok(connection);
            }
        }
        if Instant::now() < self.retry_at {
            return RetryPendingSnafu.fail();
        }
        let connected = self.connect(address).await;
        if connected.is_err() {
            self.retry_at = Instant::now() + self.settings.reconnect_delay;
        }
        connected
    }

    /// Connects to `address` and verifies that the expected node answers there.
    async fn connect(&mut self, address: SocketAddr) -> Result<Connection, WriteFailure> {
        let name = subject_name(self.peer);
        let connecting = self.endpoint.connect(address, &name).context(DialSnafu)?;
        let Ok(connected) = timeout(self.settings.handshake_timeout, connecting).await else {
            return HandshakeTimeoutSnafu.fail();
        };
        let connection = connected.context(HandshakeSnafu)?;
        let reader = ConnectionReader::register(
            connection.clone(),
            &self.table,
            &self.events,
            &self.settings,
        );
        let Some(reader) = reader else {
            return WrongNodeSnafu.fail();
        };
        self.readers.spawn(reader.run());
        Ok(connection)
    }

    /// Sends one message: a gossip message as a datagram if it fits, any other on a stream.
    async fn write(&mut self, connection: Connection, message: QueuedMessage) {
        let mut frame = message.frame;
        if message.channel == PeerChannel::Gossip {
            match self.try_datagram(&connection, frame) {
                None => return,
                Some(returned) => frame = returned,
            }
        }
        // Limits the writes in flight, so that a slow peer cannot make them pile up.
        while self.writes.len() >= self.settings.max_streams_per_peer as usize {
            self.writes.join_next().await;
        }
        let limit = self.settings.message_timeout;
        let table = self.table.clone();
        let channel = message.channel;
        self.writes.spawn(async move {
            if !write_stream(connection, channel, frame, limit).await {
                increment(&table.messages_dropped);
            }
        });
    }

    /// Sends `frame` as a datagram; returns it if it does not fit.
    fn try_datagram(&self, connection: &Connection, frame: Vec<u8>) -> Option<Vec<u8>> {
        if connection
            .max_datagram_size()
            .is_none_or(|size| frame.len() > size)
        {
            return Some(frame);
        }
        match connection.send_datagram(frame.into()) {
            Ok(()) => {}
            Err(SendDatagramError::TooLarge | SendDatagramError::UnsupportedByPeer) => {
                increment(&self.table.messages_too_large);
            }
            Err(_closed) => increment(&self.table.messages_dropped),
        }
        None
    }

    /// Counts a message that could not be sent, and reports the peer as lost if connecting failed.
    async fn discard_message(&self, failure: WriteFailure) {
        increment(&self.table.messages_dropped);
        if matches!(failure, WriteFailure::RetryPending) {
            return;
        }
        let event = PeerEvent::PeerLost {
            peer: self.peer,
            reason: failure.to_string(),
        };
        self.events.send_async(event).await.unwrap_or_default();
    }
}

/// Compares two addresses, treating an IPv4-mapped IPv6 address as its IPv4 form: a dual-stack
/// socket reports IPv4 peers that way.
fn same_address(left: SocketAddr, right: SocketAddr) -> bool {
    left.port() == right.port() && left.ip().to_canonical() == right.ip().to_canonical()
}

/// Writes `frame` on a new stream; returns whether the peer acknowledged all of it.
async fn write_stream(
    connection: Connection,
    channel: PeerChannel,
    frame: Vec<u8>,
    limit: Duration,
) -> bool {
    let write = async {
        let mut stream = connection.open_uni().await.ok()?;
        stream.set_priority(channel.priority()).ok()?;
        stream.write_all(&frame).await.ok()?;
        stream.finish().ok()?;
        stream.stopped().await.ok()?.is_none().then_some(())
    };
    timeout(limit, write).await.ok().flatten().is_some()
}
