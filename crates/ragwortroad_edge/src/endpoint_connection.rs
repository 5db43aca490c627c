use std::{
    error::Error,
    io,
    net::SocketAddr,
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
use socket2::{
    SockRef,
    TcpKeepalive, //
};
use tokio::{
    net::TcpStream,
    task::{
        AbortHandle,
        spawn_local, //
    },
    time::timeout, //
};

/// Time for a connection to an endpoint to be established.
///
/// Within a region it takes a few milliseconds; a lost packet costs a second until it is sent
/// again, and another endpoint is sooner there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which unacknowledged bytes end a connection.
///
/// An endpoint without power, or behind a cut, answers nothing; without this a request there hangs
/// until its deadline, and nobody is told that the endpoint is gone.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Silence after which an idle connection is probed, and the pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection ends.
const KEEPALIVE_RETRIES: u32 = 2;

/// A connection to an endpoint; dropping it closes it.
pub(crate) struct EndpointConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether a request has been answered on it before.
    pub(crate) is_reused: bool,
}

/// Why a request came back without an answer.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte of it was sent.
    NotSent,
    /// It may have reached the endpoint.
    Lost(hyper::Error),
}

/// Whether an error means that nothing at all has come back from an endpoint's VM.
pub(crate) fn is_timeout_error(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let kind = error.downcast_ref::<io::Error>().map(io::Error::kind);
        if kind == Some(io::ErrorKind::TimedOut) {
            return true;
        }
        cause = error.source();
    }
    false
}

impl EndpointConnection {
    /// Connects to an endpoint.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a connection to an endpoint ended");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            is_reused: false,
        })
    }

    /// Sends a request; returns its answer's head and body.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        if self.sender.ready().await.is_err() {
            return Err(SendFailure::NotSent);
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failure| match failure.take_message() {
            Some(_) => SendFailure::NotSent,
            None => SendFailure::Lost(failure.into_error()),
        })
    }

    /// Whether the next request can be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the endpoint has closed it.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for EndpointConnection {
    /// Closes the connection at once, so that the endpoint stops work for a caller that has left.
    fn drop(&mut self) {
        self.task.abort();
    }
}
