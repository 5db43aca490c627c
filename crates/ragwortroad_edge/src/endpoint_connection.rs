use std::{
    error::Error,
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    body::Incoming,
    client::conn::http1, //
};
use hyper_util::rt::TokioIo;
use ragwortroad_http::prelude::*;
use socket2::{
    SockRef,
    TcpKeepalive, //
};
use tokio::{
    net::{
        TcpSocket,
        TcpStream, //
    },
    task::{
        AbortHandle,
        spawn_local, //
    },
    time::timeout, //
};

/// Timeout for connecting to an endpoint.
///
/// Within a region connecting takes a few milliseconds. A lost packet is retransmitted only after a
/// second, and trying another endpoint is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without any packet after which a connection with unacknowledged data, or with unanswered
/// keepalive probes, is closed.
///
/// An endpoint that lost power or is partitioned sends nothing. A sound one may fall silent for a
/// second or two; the retransmission that reaches it comes up to three seconds after the data.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);

/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed.
///
/// With a user timeout set, Linux goes by that timeout instead.
const KEEPALIVE_RETRIES: u32 = 3;

/// A connection to an endpoint; dropping it closes it.
pub(crate) struct EndpointConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    progress: ReadProgress,
    /// Whether a request has been completed on this connection before.
    pub(crate) is_reused: bool,
}

/// Reason why sending a request produced no response.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have reached the endpoint.
    Lost(hyper::Error),
}

/// Whether an error means that the endpoint's VM sent no packet at all in return.
pub(crate) fn is_timeout_error(error: &(dyn Error + 'static)) -> bool {
    has_kind(error, io::ErrorKind::TimedOut)
}

/// Whether an error means that the endpoint sent something that cannot be a response.
pub(crate) fn is_invalid_data(error: &(dyn Error + 'static)) -> bool {
    has_kind(error, io::ErrorKind::InvalidData)
}

/// Whether an error or one of its causes is of a kind.
fn has_kind(error: &(dyn Error + 'static), kind: io::ErrorKind) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let found = error.downcast_ref::<io::Error>().map(io::Error::kind);
        if found == Some(kind) {
            return true;
        }
        cause = error.source();
    }
    false
}

impl EndpointConnection {
    /// Connects from `source`, or from an address that the operating system selects.
    pub(crate) async fn open(address: SocketAddr, source: Option<IpAddr>) -> io::Result<Self> {
        let connected = timeout(CONNECT_TIMEOUT, connect(address, source)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive)?;
        let progress = ReadProgress::default();
        let socket = EndpointSocket::new(stream, progress.clone());
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "endpoint connection failed");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            progress,
            is_reused: false,
        })
    }

    /// Sends a request and returns the head of the response with its unread body.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        if self.sender.ready().await.is_err() {
            return Err(SendFailure::NotSent);
        }
        // Counts anew for each response.
        self.progress.note_part();
        let sent = self.sender.try_send_request(request).await;
        self.progress.note_part();
        sent.map_err(|mut failure| match failure.take_message() {
            Some(_) => SendFailure::NotSent,
            None => SendFailure::Lost(failure.into_error()),
        })
    }

    /// Records that a part of the body of the response has arrived.
    pub(crate) fn note_part(&self) {
        self.progress.note_part();
    }

    /// Whether the connection can accept a request.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the endpoint has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

impl Drop for EndpointConnection {
    /// Closes the connection immediately, so that the endpoint stops working for a client that has
    /// disconnected.
    fn drop(&mut self) {
        self.task.abort();
    }
}
