use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ragwortroad_types::prelude::*;
use tokio::time::timeout;

use crate::{
    body_budget::BodyReservation,
    gateway_state::GatewayState,
    request_context::RequestContext, //
};

/// Delay after which a client refused for want of body memory should retry, in milliseconds.
const BUDGET_RETRY_AFTER_MS: u64 = 500;

/// Maximum number of bytes of a refused body that are read and discarded.
const MAX_DISCARD_BYTES: usize = 8 << 20;

/// Time limit for discarding a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads a client's complete request body, within the limits of size and time. The caller must keep
/// `reservation` for as long as the body.
pub(crate) async fn read_body(
    state: &GatewayState,
    context: &RequestContext,
    mut body: Incoming,
    reservation: &mut BodyReservation,
) -> Result<Bytes, RefusalWire> {
    let settings = &state.settings;
    let time_limit = settings.body_timeout.min(context.time_left());
    let read = read_frames(context, &mut body, settings.max_body_bytes, reservation);
    match timeout(time_limit, read).await {
        Ok(Err(refusal)) => {
            discard_body(body).await;
            Err(refusal)
        }
        Ok(read) => read,
        Err(_) => {
            let message = format!("the body did not come within {} ms", time_limit.as_millis());
            Err(context.not_run(RefusalCode::DeadlinePassed, message))
        }
    }
}

/// Reads and discards the rest of a refused body, within bounds.
///
/// Closing a connection with unread bytes resets it, and the reset can reach the client before the
/// refusal does: the client would see a broken connection in place of `not_run`.
pub(crate) async fn discard_body(mut body: Incoming) {
    let discard = async {
        let mut remaining = MAX_DISCARD_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            match remaining.checked_sub(length) {
                Some(rest) => remaining = rest,
                None => return,
            }
        }
    };
    if timeout(DISCARD_TIMEOUT, discard).await.is_err() {
        tracing::debug!("refused request body was not discarded in time");
    }
}

async fn read_frames(
    context: &RequestContext,
    body: &mut Incoming,
    limit: usize,
    reservation: &mut BodyReservation,
) -> Result<Bytes, RefusalWire> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the body could not be read: {error}");
            context.not_run(RefusalCode::MalformedRequest, message)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            let message = format!("the body is longer than {limit} bytes");
            return Err(context.not_run(RefusalCode::TooLarge, message));
        }
        if !reservation.try_grow(data.len()) {
            let message = "this node holds as many bytes of requests as it may";
            let mut refusal = context.not_run(RefusalCode::Overloaded, message);
            refusal.error.retry_after_ms = Some(BUDGET_RETRY_AFTER_MS);
            return Err(refusal);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}
