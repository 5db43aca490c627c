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

/// Reads what one proved peer sends.
pub(crate) struct ConnectionReader {
    /// The peer, proved by its certificate.
    pub(crate) peer: NodeId,
    /// The connection.
    pub(crate) connection: Connection,
    /// Where the connection is listed.
    pub(crate) table: Arc<ConnectionTable>,
    /// Where messages go.
    pub(crate) events: Sender<PeerEvent>,
    /// Largest message with its tag.
    pub(crate) max_frame_bytes: usize,
    /// Longest time for one message.
    pub(crate) message_timeout: Duration,
}

impl ConnectionReader {
    /// Lists `connection` under its proved peer, ready to be read; nothing if it proves no peer.
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

    /// Reads until the connection closes; reports the peer lost unless the close was orderly.
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
        // What arrived whole before the close is still delivered.
        while streams.join_next().await.is_some() {}
        self.table.remove(self.peer, &self.connection);
        if !is_orderly(&closed) {
            self.report_lost(&closed).await;
        }
    }

    /// Reads one message from its stream.
    ///
    /// A stream that was reset or fell silent yields nothing: half a message handed on could be
    /// taken for a whole one.
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
                        // The owner may be gone during shutdown; then the message is void.
                        events.send_async(event).await.unwrap_or_default();
                    }
                }
                Ok(Err(ReadToEndError::TooLong)) => {
                    tracing::warn!(%peer, max_frame_bytes, "refused a message that is too large");
                    increment(&table.messages_too_large);
                }
                Ok(Err(error)) => tracing::debug!(%peer, %error, "a message was cut off"),
                Err(_elapsed) => tracing::debug!(%peer, "a message took too long"),
            }
        }
    }

    /// Hands on a datagram; drops it where the owner is behind, as it is unreliable anyway.
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

    /// Tells the owner that the peer was lost.
    async fn report_lost(&self, reason: &ConnectionError) {
        let event = PeerEvent::PeerLost {
            peer: self.peer,
            reason: reason.to_string(),
        };
        self.events.send_async(event).await.unwrap_or_default();
    }
}

/// The node that the peer's certificate proves.
fn authenticated_node(connection: &Connection) -> Option<NodeId> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    certificate_node(chain.first()?).ok()
}

/// The event for a frame, unless its tag is unknown.
fn received_event(from: NodeId, frame: &[u8]) -> Option<PeerEvent> {
    let (tag, bytes) = frame.split_first()?;
    let channel = PeerChannel::from_tag(*tag)?;
    Some(PeerEvent::Received(PeerMessage {
        from,
        channel,
        bytes: bytes.to_vec(),
    }))
}

/// Whether a close says nothing about the peer's health.
fn is_orderly(error: &ConnectionError) -> bool {
    matches!(
        error,
        ConnectionError::LocallyClosed
            | ConnectionError::ApplicationClosed(_)
            | ConnectionError::TimedOut
    )
}
