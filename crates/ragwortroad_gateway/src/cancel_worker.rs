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
    header_names::REQUEST_ID,
    stop_signal::until_stopped, //
};

/// Time for one cancellation, after which the engine is left to notice the closed connection.
const CANCEL_TIME: Duration = Duration::from_secs(2);

/// Cancellations under way at once.
const CANCELS_AT_ONCE: usize = 64;

/// An engine's work that nobody waits for any more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CancelOrder {
    pub(crate) address: SocketAddr,
    pub(crate) request: RequestId,
    /// Which attempt of the request: a later one may run at the same engine.
    pub(crate) attempt: u32,
}

/// Tells engines to cancel until `stop` turns true, and then what is still waiting.
pub(crate) async fn run_cancels(
    mut orders: UnboundedReceiver<CancelOrder>,
    mut stop: watch::Receiver<bool>,
) {
    let mut running = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            order = orders.recv(), if running.len() < CANCELS_AT_ONCE => {
                let Some(order) = order else { break };
                running.spawn(timeout(CANCEL_TIME, send_cancel(order)));
            }
            Some(_) = running.join_next() => {}
            () = until_stopped(&mut stop) => {
                break;
            }
        }
    }
    while let Ok(order) = orders.try_recv() {
        running.spawn(timeout(CANCEL_TIME, send_cancel(order)));
    }
    while running.join_next().await.is_some() {}
}

async fn send_cancel(order: CancelOrder) {
    let (request, attempt) = (order.request, order.attempt);
    let body = format!("{{\"request_id\":\"{request}\",\"attempt\":{attempt}}}");
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/cancel")
        .header("host", order.address.to_string())
        .header("content-type", "application/json")
        .header(REQUEST_ID, order.request.to_string())
        .body(Full::new(Bytes::from(body)));
    let Ok(request) = request else { return };
    let sent = match EndpointLink::connect(order.address, CANCEL_TIME).await {
        Ok(mut link) => link.send(request).await.is_ok(),
        Err(_) => false,
    };
    tracing::debug!(request = %order.request, address = %order.address, sent, "cancel");
}
