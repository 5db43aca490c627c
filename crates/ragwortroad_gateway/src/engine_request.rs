use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request, //
};
use ragwortroad_types::prelude::*;
use serde_json::Value;

use crate::{
    AdmitGrant,
    header_names::REQUEST_ID_HEADER,
    request_context::{
        DEADLINE_HEADER,
        RequestContext, //
    },
    stream_cursor::StreamCursor, //
};

/// Path for chat requests on the engines.
const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Carries the attempt number of the request, which a cancellation repeats.
const ATTEMPT_HEADER: &str = "x-attempt";

/// Builds a model request for an engine: the body from the client, and headers from the grant.
pub(crate) fn engine_request(
    context: &RequestContext,
    grant: &AdmitGrant,
    attempt: u32,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(CHAT_COMPLETIONS_PATH)
        .header("host", grant.address.to_string())
        .header("content-type", "application/json")
        .header(REQUEST_ID_HEADER, context.request.to_string())
        .header(ATTEMPT_HEADER, attempt.to_string())
        .header("x-customer", grant.customer.as_str())
        .header("x-priority", grant.priority.to_string())
        .header(DEADLINE_HEADER, context.time_left().as_millis().to_string());
    if let Some(version) = &grant.version {
        request = request.header("x-model-version", version.as_str());
    }
    request.body(Full::new(body)).ok()
}

/// Builds the body for an engine that resumes after the tokens that the client already has.
pub(crate) fn resume_body(body: &Bytes, cursor: &StreamCursor) -> Bytes {
    if cursor.tokens == 0 {
        return body.clone();
    }
    let Ok(mut chat) = serde_json::from_slice::<ChatBody>(body) else {
        return body.clone();
    };
    chat.resume_from = Some(cursor.tokens);
    chat.resume_text = Some(cursor.text.clone());
    // A body that was parsed from JSON serializes to JSON again.
    let value = serde_json::to_value(&chat).unwrap_or(Value::Null);
    Bytes::from(value.to_string())
}
