use std::time::Duration;

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::body::Incoming;
use ragwortroad_types::prelude::*;
use tokio::time::timeout;

use crate::request_context::RequestContext;

/// Reads a caller's whole body, no longer than `limit` bytes and within `time`.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    time: Duration,
    context: &RequestContext,
) -> Result<Bytes, RefusalWire> {
    let time = time.min(context.time_left());
    let read = timeout(time, Limited::new(body, limit).collect()).await;
    match read {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("the body is longer than {limit} bytes");
            Err(context.not_run(RefusalCode::TooLarge, message))
        }
        Ok(Err(error)) => {
            let message = format!("the body could not be read: {error}");
            Err(context.not_run(RefusalCode::MalformedRequest, message))
        }
        Err(_) => {
            let message = format!("the body did not come within {} ms", time.as_millis());
            Err(context.not_run(RefusalCode::DeadlinePassed, message))
        }
    }
}
