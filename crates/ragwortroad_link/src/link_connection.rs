use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use flume::{
    Receiver,
    Sender, //
};
use futures_util::SinkExt;
use ragwortroad_telemetry::prelude::*;
use snafu::ResultExt;
use socket2::SockRef;
use tokio::{
    io::AsyncReadExt,
    net::{
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        }, //
    },
    sync::Notify,
    time::{
        Instant,
        timeout, //
    }, //
};
use tokio_util::codec::{
    Decoder,
    FramedWrite,
    LengthDelimitedCodec, //
};

use crate::{
    EncodedMessage,
    LinkError,
    LinkMessage,
    LinkSettings,
    decode_message,
    link_error::{
        DialSnafu,
        IoSnafu, //
    }, //
};

/// Sending side of a connection. Clones share one queue.
#[derive(Clone, Debug)]
pub struct LinkQueue {
    sender: Sender<QueuedMessage>,
    /// Notified to close the connection.
    close_signal: Arc<Notify>,
}

/// An encoded message waiting to be written.
#[derive(Debug)]
pub struct QueuedMessage {
    bytes: Bytes,
    queued_at: Instant,
}

impl LinkQueue {
    /// Creates a queue and the receiver that [`run_link`] drains.
    pub fn new(settings: &LinkSettings) -> (Self, Receiver<QueuedMessage>) {
        let (sender, receiver) = flume::bounded(settings.queue_capacity);
        let close_signal = Arc::new(Notify::new());
        (
            Self {
                sender,
                close_signal,
            },
            receiver,
        )
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.close_signal.notify_one();
    }

    /// Encodes and queues a message; returns whether it was accepted.
    ///
    /// If the queue is full, because the peer reads too slowly, the connection is closed rather
    /// than single messages dropped: on reconnection the peer receives the full state again.
    pub fn send(&self, message: &LinkMessage) -> bool {
        match EncodedMessage::try_from(message) {
            Ok(encoded) => self.send_encoded(&encoded),
            Err(error) => {
                tracing::error!(%error, "failed to encode a message");
                false
            }
        }
    }

    /// Queues a message that was encoded once for several receivers; returns whether it was
    /// accepted.
    pub fn send_encoded(&self, encoded: &EncodedMessage) -> bool {
        let queued = QueuedMessage {
            bytes: encoded.bytes.clone(),
            queued_at: Instant::now(),
        };
        let bytes = queued.bytes.len() as u64;
        let is_queued = self.sender.try_send(queued).is_ok();
        match is_queued {
            true => {
                metrics::counter!(metric_names::LINK_BYTES, "kind" => encoded.kind).increment(bytes)
            }
            false => self.close(),
        }
        is_queued
    }
}

/// Buffer space reserved per read; holds about a dozen messages of the usual size.
const READ_BUFFER_BYTES: usize = 2048;

/// Connects to another process, or fails after `limit`.
pub async fn dial_link(address: SocketAddr, limit: Duration) -> Result<TcpStream, LinkError> {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(connected) => connected.context(DialSnafu),
        Err(_) => Err(LinkError::DialTimeout { limit }),
    }
}

/// Transfers messages over `stream` until the connection fails, times out, or is closed through its
/// queue, and returns the cause.
///
/// `is_dialer` is true on the side that opened the connection. That side sends keepalives when the
/// connection is idle, and the other side replies to them.
pub async fn run_link(
    stream: TcpStream,
    queue: (LinkQueue, Receiver<QueuedMessage>),
    is_dialer: bool,
    settings: &LinkSettings,
    on_message: impl FnMut(LinkMessage),
) -> LinkError {
    let (local_queue, receiver) = queue;
    let configured = stream.set_nodelay(true);
    let limit = Some(settings.idle_timeout);
    let configured = configured.and_then(|()| SockRef::from(&stream).set_tcp_user_timeout(limit));
    if let Err(source) = configured {
        return LinkError::Io { source };
    }
    let (read_half, write_half) = stream.into_split();
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(settings.max_message_bytes)
        .new_codec();
    let writer = FramedWrite::new(write_half, codec.clone());
    let keepalive_interval = is_dialer.then_some(settings.keepalive_interval);
    let close_signal = Arc::clone(&local_queue.close_signal);
    let reply_queue = (!is_dialer).then_some(local_queue);
    tokio::select! {
        error = read_messages(
            read_half,
            codec,
            reply_queue,
            settings.idle_timeout,
            on_message
        ) => error,
        error = write_messages(writer, receiver, keepalive_interval) => error,
        () = close_signal.notified() => LinkError::ClosedLocally,
    }
}

/// Reads messages until the connection ends or the idle timeout expires.
///
/// Any received byte resets the timeout, not just a complete message. A large message can take
/// longer than the timeout on a slow link; if the connection were closed halfway, the peer would
/// reconnect, request the same message again, and never receive it.
async fn read_messages(
    mut read_half: OwnedReadHalf,
    mut codec: LengthDelimitedCodec,
    reply_queue: Option<LinkQueue>,
    limit: Duration,
    mut on_message: impl FnMut(LinkMessage),
) -> LinkError {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(READ_BUFFER_BYTES);
        match codec.decode(&mut buffer) {
            Ok(Some(frame)) => {
                if let Err(error) = handle_frame(&frame, reply_queue.as_ref(), &mut on_message) {
                    return error;
                }
                continue;
            }
            Ok(None) => {}
            Err(source) => return LinkError::Io { source },
        }
        match timeout(limit, read_half.read_buf(&mut buffer)).await {
            Err(_) => return LinkError::IdleTimeout { limit },
            Ok(Ok(0)) => return LinkError::ClosedByPeer,
            Ok(Ok(_)) => {}
            Ok(Err(source)) => return LinkError::Io { source },
        }
    }
}

fn handle_frame(
    frame: &[u8],
    reply_queue: Option<&LinkQueue>,
    on_message: &mut impl FnMut(LinkMessage),
) -> Result<(), LinkError> {
    match decode_message(frame)? {
        LinkMessage::Keepalive => {
            let is_queued = reply_queue.is_none_or(|queue| queue.send(&LinkMessage::Keepalive));
            if !is_queued {
                return Err(LinkError::ClosedLocally);
            }
        }
        message => on_message(message),
    }
    Ok(())
}

async fn write_messages(
    mut writer: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    receiver: Receiver<QueuedMessage>,
    keepalive_interval: Option<Duration>,
) -> LinkError {
    let mut next_keepalive_at = keepalive_interval.map(|interval| Instant::now() + interval);
    loop {
        let queued = match next_keepalive_at {
            None => receiver.recv_async().await.ok(),
            Some(at) => tokio::select! {
                received = receiver.recv_async() => received.ok(),
                () = tokio::time::sleep_until(at) => {
                    next_keepalive_at =
                        keepalive_interval.map(|interval| Instant::now() + interval);
                    match EncodedMessage::try_from(&LinkMessage::Keepalive) {
                        Ok(encoded) => Some(QueuedMessage {
                            bytes: encoded.bytes,
                            queued_at: Instant::now(),
                        }),
                        Err(error) => return error,
                    }
                }
            },
        };
        let Some(first) = queued else {
            return LinkError::ClosedLocally;
        };
        if let Err(error) = write_batch(&mut writer, first, &receiver).await {
            return error;
        }
    }
}

/// Writes all queued messages in one flush where they fit, since each write wakes up the receiver.
async fn write_batch(
    writer: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    first: QueuedMessage,
    receiver: &Receiver<QueuedMessage>,
) -> Result<(), LinkError> {
    let queued_at = first.queued_at;
    writer.feed(first.bytes).await.context(IoSnafu)?;
    while let Ok(queued) = receiver.try_recv() {
        writer.feed(queued.bytes).await.context(IoSnafu)?;
    }
    SinkExt::<Bytes>::flush(writer).await.context(IoSnafu)?;
    let waited = queued_at.elapsed().as_secs_f64();
    metrics::histogram!(metric_names::LINK_WAIT_SECONDS).record(waited);
    Ok(())
}
