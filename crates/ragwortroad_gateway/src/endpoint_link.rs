use std::{
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
    client::conn::http1::{
        SendRequest,
        handshake, //
    }, //
};
use hyper_util::rt::TokioIo;
use ragwortroad_http::prelude::*;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::timeout, //
};

/// A connection to an endpoint, with the task that drives it.
pub(crate) struct EndpointLink {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Invariant: runs for the lifetime of the link; aborting it on drop closes the socket.
    driver: JoinHandle<()>,
    progress: ReadProgress,
    /// Whether the link has carried an earlier exchange.
    is_reused: bool,
}

impl EndpointLink {
    /// Opens a connection. On an error, no byte of a request has been sent.
    pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let progress = ReadProgress::default();
        let socket = EndpointSocket::new(stream, progress.clone());
        let (sender, connection) = handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "endpoint connection closed with an error");
            }
        });
        Ok(Self {
            address,
            sender,
            driver,
            progress,
            is_reused: false,
        })
    }

    /// Sends a request and awaits the head of the response. Once called, bytes may have been sent,
    /// whatever the result.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        // Counts anew for each response.
        self.progress.note_part();
        let sent = self.sender.send_request(request).await;
        self.progress.note_part();
        sent
    }

    /// Records that a part of the body of the response has arrived.
    pub(crate) fn note_part(&self) {
        self.progress.note_part();
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn was_used(&self) -> bool {
        self.is_reused
    }

    pub(crate) fn mark_used(&mut self) {
        self.is_reused = true;
    }

    /// Whether the link is open and idle, as far as this side can tell.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Drop for EndpointLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
