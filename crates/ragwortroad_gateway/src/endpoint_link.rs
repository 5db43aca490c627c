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
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::timeout, //
};

/// One connection to an endpoint, with the task that moves its bytes.
pub(crate) struct EndpointLink {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Invariant: runs as long as the link lives, and is aborted with it, which closes the socket.
    driver: JoinHandle<()>,
    /// Whether the link has carried an exchange before.
    is_reused: bool,
}

impl EndpointLink {
    /// Opens a connection. After an error not one byte of a request can have been sent.
    pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a connection to an endpoint ended");
            }
        });
        Ok(Self {
            address,
            sender,
            driver,
            is_reused: false,
        })
    }

    /// Sends a request and awaits the answer's head. After this call begins, bytes may have been
    /// sent, whatever it returns.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
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

    /// Whether the link is open and has nothing under way, as far as this side has seen.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Drop for EndpointLink {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
