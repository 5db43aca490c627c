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

/// The answer to a request that is not passed on, or from which nothing came.
pub(crate) fn refusal_answer(
    reason: RefusalReason,
    come_back: Option<Duration>,
) -> Response<EdgeBody> {
    let mut answer = Response::new(EdgeBody::whole(reason.message()));
    *answer.status_mut() = reason.status();
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(span) = come_back {
        let text = format!("{:.3}", span.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    answer
}
