use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request, //
};
use ragwortroad_types::prelude::*;
use tokio::{
    sync::{
        mpsc::UnboundedReceiver,
        watch, //
    },
    task::JoinSet,
    time::timeout, //
};

use crate::{
    endpoint_link::EndpointLink,
    header_names::REQUEST_ID_HEADER,
    stop_signal::wait_for_stop, //
};

/// Time limit of one cancellation; after that the engine must notice the closed connection by
/// itself.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent cancellations.
const MAX_CONCURRENT_CANCELS: usize = 64;

/// An attempt whose result is no longer needed, to be cancelled at its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CancelRequest {
    pub(crate) address: SocketAddr,
    pub(crate) request: RequestId,
    /// Number of the attempt to cancel: a later attempt of the request may run at the same engine.
    pub(crate) attempt: u32,
}

/// Sends cancellations to engines until `stop` becomes true, and then those still queued.
pub(crate) async fn run_cancels(
    mut cancels: UnboundedReceiver<CancelRequest>,
    mut stop: watch::Receiver<bool>,
) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            cancel = cancels.recv(), if tasks.len() < MAX_CONCURRENT_CANCELS => {
                let Some(cancel) = cancel else { break };
                tasks.spawn(timeout(CANCEL_TIMEOUT, send_cancel(cancel)));
            }
            Some(_) = tasks.join_next() => {}
            () = wait_for_stop(&mut stop) => {
                break;
            }
        }
    }
    while let Ok(cancel) = cancels.try_recv() {
        tasks.spawn(timeout(CANCEL_TIMEOUT, send_cancel(cancel)));
    }
    while tasks.join_next().await.is_some() {}
}

async fn send_cancel(cancel: CancelRequest) {
    let (request, attempt) = (cancel.request, cancel.attempt);
    let body = format!("{{\"request_id\":\"{request}\",\"attempt\":{attempt}}}");
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/cancel")
        .header("host", cancel.address.to_string())
        .header("content-type", "application/json")
        .header(REQUEST_ID_HEADER, cancel.request.to_string())
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return };
    let is_sent = match EndpointLink::connect(cancel.address, CANCEL_TIMEOUT).await {
        Ok(mut link) => link.send(request).await.is_ok(),
        Err(_) => false,
    };
    tracing::debug!(
        request = %cancel.request,
        address = %cancel.address,
        sent = is_sent,
        "cancellation finished"
    );
}
