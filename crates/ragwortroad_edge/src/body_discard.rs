//! Reads on the body of a request that was refused before all of it had come.
//!
//! Closing a connection with unread bytes resets it, and the reset may overtake the response. The
//! response is sent at once, while the rest of the body is read and discarded.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{
    Body,
    Incoming, //
};
use tokio::{
    task::spawn_local,
    time::{
        Instant,
        timeout_at, //
    }, //
};

use crate::{
    edge_state::EdgeShared,
    refused_request::RefusedRequest,
    request_counter::RequestCounter, //
};

/// Longest time for which the rest of a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Discards the rest of a body, for no longer than its client waits; a body that goes on then, or
/// beyond the limit of bodies, is cut.
///
/// The request counts as in flight meanwhile, so that a draining edge does not stop.
pub(crate) fn discard_body(
    shared: &EdgeShared,
    body: Incoming,
    refused: RefusedRequest,
    counter: RequestCounter,
) {
    if body.is_end_stream() {
        return;
    }
    let limit = shared.state.borrow().client_limits().max_body_bytes;
    let until = refused
        .client_deadline
        .min(Instant::now() + DISCARD_TIMEOUT);
    spawn_local(async move {
        let _counter = counter;
        let discarded = timeout_at(until, read_to_end(body, limit)).await;
        if discarded != Ok(true) {
            tracing::info!(request = refused.id, "body of a refused request cut");
        }
    });
}

/// Reads a body and returns whether it, or its connection, has ended within `limit` bytes.
async fn read_to_end(mut body: Incoming, limit: usize) -> bool {
    let mut left = limit;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return true;
        };
        let length = frame.data_ref().map_or(0, |chunk| chunk.len());
        match left.checked_sub(length) {
            Some(rest) => left = rest,
            None => return false,
        }
    }
    true
}
