//! Reads messages from one connection until it closes.

use std::{
    sync::Arc,
    time::Duration, //
};

use flume::Sender;
use quinn::{
    Connection,
    ConnectionError,
    ReadToEndError,
    RecvStream, //
};
use ragwortroad_types::prelude::*;
use rustls_pki_types::CertificateDer;
use tokio::{
    task::JoinSet,
    time::timeout, //
};

use crate::{
    PeerChannel,
    PeerEvent,
    PeerMessage,
    TransportSettings,
    connection_table::{
        ConnectionTable,
        increment, //
    },
    peer_identity::certificate_node, //
};

/// Reads the messages that one authenticated peer sends on a connection.
pub(crate) struct ConnectionReader {
    /// The peer, authenticated by its certificate.
    pub(crate) peer: NodeId,
    pub(crate) connection: Connection,
    /// The shared connection table.
    pub(crate) table: Arc<ConnectionTable>,
    /// Receives messages, and the peer if it is lost.
    pub(crate) events: Sender<PeerEvent>,
    /// Maximum size of a message with its tag.
    pub(crate) max_frame_bytes: usize,
    /// Time limit for reading one message.
    pub(crate) message_timeout: Duration,
}

impl ConnectionReader {
    /// Adds `connection` to the table under its authenticated peer and returns its reader; `None`
    /// if the certificate names no node.
    pub(crate) fn register(
        connection: Connection,
        table: &Arc<ConnectionTable>,
        events: &Sender<PeerEvent>,
        settings: &TransportSettings,
    ) -> Option<Self> {
        let peer = authenticated_node(&connection)?;
        table.insert(peer, connection.clone());
        Some(Self {
            peer,
            connection,
            table: table.clone(),
            events: events.clone(),
            max_frame_bytes: settings.max_message_bytes + 1,
            message_timeout: settings.message_timeout,
        })
    }

    /// Reads until the connection closes; reports the peer as lost unless the close was orderly.
    pub(crate) async fn run(self) {
        let mut streams = JoinSet::new();
        let closed = loop {
            tokio::select! {
                stream = self.connection.accept_uni() => match stream {
                    Ok(stream) => { streams.spawn(self.read_stream(stream)); }
                    Err(error) => break error,
                },
                datagram = self.connection.read_datagram() => match datagram {
                    Ok(frame) => self.deliver_datagram(&frame),
                    Err(error) => break error,
                },
                Some(_ended) = streams.join_next() => {}
            }
        };
        // Messages that arrived completely before the close are still delivered.
        while streams.join_next().await.is_some() {}
        self.table.remove(self.peer, &self.connection);
        if !is_orderly(&closed) {
            self.report_lost(&closed).await;
        }
    }

    /// Reads one message from its stream.
    ///
    /// A stream that was reset or stalled yields nothing, because the receiver could mistake a
    /// partial message for a complete one.
    fn read_stream(&self, mut stream: RecvStream) -> impl Future<Output = ()> + Send + 'static {
        let (peer, events, table) = (self.peer, self.events.clone(), self.table.clone());
        let (max_frame_bytes, limit) = (self.max_frame_bytes, self.message_timeout);
        async move {
            match timeout(limit, stream.read_to_end(max_frame_bytes)).await {
                Ok(Ok(frame)) => {
                    let event = received_event(peer, &frame)
                        .filter(|_| table.partition_filter.allows(peer));
                    if let Some(event) = event {
                        increment(&table.messages_received);
                        // The owner may have dropped the receiver during a shutdown; the message is
                        // then discarded.
                        events.send_async(event).await.unwrap_or_default();
                    }
                }
                Ok(Err(ReadToEndError::TooLong)) => {
                    tracing::warn!(
                        %peer,
                        max_frame = max_frame_bytes,
                        "rejected a message above the size limit"
                    );
                    increment(&table.messages_too_large);
                }
                Ok(Err(error)) => tracing::debug!(%peer, %error, "message stream ended early"),
                Err(_elapsed) => {
                    tracing::debug!(%peer, "message was not received within the time limit")
                }
            }
        }
    }

    /// Delivers a datagram; drops it if the event queue is full, because datagrams are unreliable
    /// anyway.
    fn deliver_datagram(&self, frame: &[u8]) {
        let passes = self.table.partition_filter.allows(self.peer);
        let Some(event) = received_event(self.peer, frame).filter(|_| passes) else {
            return;
        };
        match self.events.try_send(event) {
            Ok(()) => increment(&self.table.messages_received),
            Err(_full) => increment(&self.table.messages_dropped),
        }
    }

    async fn report_lost(&self, reason: &ConnectionError) {
        let event = PeerEvent::PeerLost {
            peer: self.peer,
            reason: reason.to_string(),
        };
        self.events.send_async(event).await.unwrap_or_default();
    }
}

/// The node that the certificate of the peer names.
fn authenticated_node(connection: &Connection) -> Option<NodeId> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    certificate_node(chain.first()?).ok()
}

/// Decodes a frame into an event; `None` if its tag is unknown.
fn received_event(from: NodeId, frame: &[u8]) -> Option<PeerEvent> {
    let (tag, bytes) = frame.split_first()?;
    let channel = PeerChannel::from_tag(*tag)?;
    Some(PeerEvent::Received(PeerMessage {
        from,
        channel,
        bytes: bytes.to_vec(),
    }))
}

/// Whether a close is no sign of a failed peer.
fn is_orderly(error: &ConnectionError) -> bool {
    matches!(
        error,
        ConnectionError::LocallyClosed
            | ConnectionError::ApplicationClosed(_)
            | ConnectionError::TimedOut
    )
}
