use std::time::Duration;

use hyper::{
    Response,
    header::{
        CONTENT_TYPE,
        HeaderValue,
        RETRY_AFTER, //
    }, //
};

use crate::{
    edge_body::EdgeBody,
    refusal_reason::RefusalReason, //
};

/// Builds the response to a request that was not forwarded, or to which no endpoint responded.
pub(crate) fn refusal_response(
    reason: RefusalReason,
    retry_after: Option<Duration>,
) -> Response<EdgeBody> {
    let mut response = Response::new(EdgeBody::full(reason.message()));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(delay) = retry_after {
        let text = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
