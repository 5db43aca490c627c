use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use ragwortroad_types::prelude::*;
use socket2::SockRef;
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    }, //
};

use crate::{
    client_socket::{
        ClientSocket,
        SocketLimits, //
    },
    connection_count::ConnectionCount,
    exchange_phase::ExchangePhase,
    gateway_state::GatewayState,
    request_router::route_request,
    stop_signal::wait_for_stop, //
};

/// Delay after a failed accept, for example when file descriptors run out; without it the loop
/// would spin on the same error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time limit for sending a refusal to a client beyond the connection limit.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(200);

/// Refusals sent concurrently; further clients beyond the limit are closed without a response.
const MAX_CONCURRENT_REJECTIONS: usize = 64;

/// Minimum buffer size that hyper accepts for a request head.
const MIN_HEADER_BUFFER_BYTES: usize = 8192;

/// Accepts client connections until `stop` becomes true, then closes the idle connections and waits
/// for the others.
pub(crate) async fn run_connections(
    state: Arc<GatewayState>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let mut rejections = JoinSet::new();
    let mut counts = ConnectionCount::default();
    let mut client_addresses = HashMap::new();
    let stop_receiver = stop.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) if counts.try_add(peer.ip(), &state.settings) => {
                    let task = serve_client(Arc::clone(&state), stream, stop_receiver.clone());
                    client_addresses.insert(connections.spawn(task).id(), peer.ip());
                }
                Ok((stream, _)) => {
                    metrics::counter!("ragwortroad_connections_refused_total").increment(1);
                    if rejections.len() < MAX_CONCURRENT_REJECTIONS {
                        let rejection = reject_connection(state.next_request_id(), stream);
                        rejections.spawn(timeout(REJECTION_TIMEOUT, rejection));
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(result) = connections.join_next_with_id() => {
                let id = match result {
                    Ok((id, ())) => id,
                    Err(error) => {
                        tracing::error!(%error, "client connection task failed");
                        error.id()
                    }
                };
                if let Some(address) = client_addresses.remove(&id) {
                    counts.remove(address);
                }
            },
            Some(_) = rejections.join_next() => {}
            () = wait_for_stop(&mut stop) => {
                break;
            }
        }
        metrics::gauge!("ragwortroad_connections").set(counts.total() as f64);
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    while rejections.join_next().await.is_some() {}
}

async fn serve_client(
    state: Arc<GatewayState>,
    stream: TcpStream,
    mut stop: watch::Receiver<bool>,
) {
    let settings = &state.settings;
    let buffer = SockRef::from(&stream).set_send_buffer_size(settings.send_buffer_bytes);
    if let Err(error) = buffer.and_then(|()| stream.set_nodelay(true)) {
        tracing::debug!(%error, "failed to configure a client socket");
        return;
    }
    let limits = SocketLimits {
        idle: settings.idle_timeout,
        header: settings.header_timeout,
        write: settings.write_timeout,
    };
    let max_header = settings.max_header_bytes.max(MIN_HEADER_BUFFER_BYTES);
    let phase = ExchangePhase::default();
    let socket = ClientSocket::new(stream, limits, phase.clone(), state.next_request_id());
    let service = service_fn(|request| route_request(Arc::clone(&state), phase.clone(), request));
    let connection = http1::Builder::new()
        .max_buf_size(max_header)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "client connection closed with an error");
    }
}

/// Sends a refusal to a client beyond the connection limit, and closes its connection.
async fn reject_connection(request: RequestId, mut stream: TcpStream) {
    let code = RefusalCode::Overloaded;
    let message = "this node has no room for another connection";
    let mut refusal = RefusalWire::new(RequestOutcome::NotRun, code, message, request);
    refusal.error.retry_after_ms = Some(1000);
    let Ok(body) = serde_json::to_string(&refusal) else {
        return;
    };
    let status = code.status();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\nretry-after: 1\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n"
    );
    if let Err(error) = stream.write_all((head + &body).as_bytes()).await {
        tracing::debug!(%error, "failed to send a refusal to a client beyond the connection limit");
    }
}
