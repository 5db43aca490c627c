use std::{
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use ragwortroad_link::prelude::*;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::spawn_local,
    time::sleep, //
};

use crate::{
    client_session::ClientSession,
    client_socket::ClientSocket,
    client_timer::ClientTimer,
    connection_end::{
        ConnectionEnd,
        EndCause, //
    },
    edge_state::EdgeShared,
    request_flow::handle_request, //
};

/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Minimum buffer size for a request head that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// Accepts client connections for as long as the process runs.
pub(crate) async fn serve_clients(shared: Rc<EdgeShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_client(Rc::clone(&shared), stream));
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a client connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_client(shared: Rc<EdgeShared>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "client disconnected before the first request");
        return;
    }
    let limits = shared.state.borrow().client_limits();
    let session = Rc::new(ClientSession::open(&shared.clients));
    let mut end = ConnectionEnd::watch(&shared, &session);
    let socket = ClientSocket::new(stream, Rc::clone(&session), Rc::clone(&shared));
    let service =
        service_fn(|request| handle_request(Rc::clone(&shared), Rc::clone(&session), request));
    // Hyper includes the idle time between two requests in the head timeout.
    let served = http1::Builder::new()
        .timer(ClientTimer::new(shared.request_interval.subscribe()))
        .header_read_timeout(limits.request_interval())
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        served = served => {
            if let Err(error) = &served {
                tracing::debug!(%error, "client connection failed");
            }
            end.set_served(served);
        }
        () = session.disconnect.notified() => end.set(EndCause::SlowClient),
    }
}

/// Serves readiness probes for as long as the process runs.
pub(crate) async fn serve_readiness(shared: Rc<EdgeShared>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a readiness probe");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let shared = Rc::clone(&shared);
        spawn_local(async move {
            let service = service_fn(|request| handle_readiness(Rc::clone(&shared), request));
            let served = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "readiness probe connection failed");
            }
        });
    }
}

async fn handle_readiness(
    shared: Rc<EdgeShared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let stage = shared.state.borrow().stage;
    let is_probe = (shared.port.is_readiness_probe)(request.method(), request.uri());
    let status = match (is_probe, stage) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, EdgeStage::Ready) => StatusCode::OK,
        (true, EdgeStage::Starting | EdgeStage::Draining) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Full::new(Bytes::from(format!("{stage:?}\n"))));
    *response.status_mut() = status;
    Ok(response)
}
