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

/// Takes messages from one peer's queue, connects on demand, and writes them.
pub(crate) struct PeerWriter {
    /// The peer.
    pub(crate) peer: NodeId,
    /// The queue.
    pub(crate) queue: Receiver<QueuedMessage>,
    /// The socket.
    pub(crate) endpoint: Endpoint,
    /// Where connections are listed.
    pub(crate) table: Arc<ConnectionTable>,
    /// Where the reader of a new connection sends what it hears, and losses go.
    pub(crate) events: Sender<PeerEvent>,
    /// Limits.
    pub(crate) settings: Arc<TransportSettings>,
    /// Readers of connections made here.
    pub(crate) readers: JoinSet<()>,
    /// Messages handed to a connection and not acknowledged yet.
    pub(crate) writes: JoinSet<()>,
    /// No new connection is tried before this moment.
    pub(crate) retry_at: Instant,
}

/// Why a message did not get out.
#[derive(Debug)]
#[derive(Snafu)]
enum WriteFailure {
    /// The peer was tried a moment ago.
    #[snafu(display("the last attempt failed a moment ago"))]
    RetryPending,
    /// The address cannot be dialled.
    #[snafu(display("cannot dial: {source}"))]
    Dial {
        /// The library's reason.
        source: quinn::ConnectError,
    },
    /// The handshake failed.
    #[snafu(display("handshake failed: {source}"))]
    Handshake {
        /// The library's reason.
        source: quinn::ConnectionError,
    },
    /// The handshake took too long.
    #[snafu(display("no answer to the handshake"))]
    HandshakeTimeout,
    /// Somebody else answers there.
    #[snafu(display("another node answers at this address"))]
    WrongNode,
}

impl PeerWriter {
    /// Sends until the queue's sending side is dropped.
    pub(crate) async fn run(mut self) {
        while let Some(message) = self.next_message().await {
            match self.connection(message.to).await {
                Ok(connection) => self.write(connection, message).await,
                Err(failure) => self.discard_message(failure).await,
            }
        }
        // Every write ends by its time limit.
        while self.writes.join_next().await.is_some() {}
        self.readers.shutdown().await;
    }

    /// The next message; ended tasks are collected while waiting for it.
    async fn next_message(&mut self) -> Option<QueuedMessage> {
        loop {
            tokio::select! {
                message = self.queue.recv_async() => return message.ok(),
                Some(_ended) = self.writes.join_next() => {}
                Some(_ended) = self.readers.join_next() => {}
            }
        }
    }

    /// The open connection to the peer, or a new one to `address`.
    async fn connection(&mut self, address: SocketAddr) -> Result<Connection, WriteFailure> {
        if let Some(connection) = self.table.current(self.peer) {
            // A peer that moved to another address left the old connection behind.
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

    /// Dials `address` and checks that the expected node answers there.
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

    /// Writes one message, as a datagram where that is meant and possible.
    async fn write(&mut self, connection: Connection, message: QueuedMessage) {
        let mut frame = message.frame;
        if message.channel == PeerChannel::Gossip {
            match self.try_datagram(&connection, frame) {
                None => return,
                Some(returned) => frame = returned,
            }
        }
        // A peer that reads slowly must not pile up writes here without bound.
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

    /// Sends `frame` as a datagram; gives it back where it does not fit one.
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

    /// Counts a message that could not be sent, and reports a failed attempt to connect.
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

/// Whether both are one address, also where a socket for both families shows it as IPv6.
fn same_address(left: SocketAddr, right: SocketAddr) -> bool {
    left.port() == right.port() && left.ip().to_canonical() == right.ip().to_canonical()
}

/// Writes `frame` on a stream of its own; whether the peer acknowledged all of it.
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
