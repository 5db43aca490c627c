//! Answers that the gateway makes itself.

use hyper::{
    Response,
    StatusCode,
    header::{
        CONTENT_TYPE,
        HeaderValue,
        RETRY_AFTER, //
    }, //
};
use ragwortroad_types::prelude::*;
use serde::Serialize;

use crate::{
    AdmitGrant,
    RecordedResponse,
    header_names::{
        NEXT_NODE,
        PLACEMENT_HINT,
        REPLAYED, //
    },
    reply_body::ReplyBody, //
};

/// Hands the caller where its chat was placed, and which node admits to that place.
pub(crate) fn set_placement(reply: &mut Response<ReplyBody>, grant: &AdmitGrant) {
    set_header(reply, PLACEMENT_HINT, &grant.hint);
    if let Some(node) = grant.next_node {
        set_header(reply, NEXT_NODE, &node.to_string());
    }
}

const JSON: &str = "application/json";

pub(crate) fn text_reply(status: u16, content_type: &str, body: String) -> Response<ReplyBody> {
    let mut reply = Response::new(ReplyBody::whole(body));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set_header(&mut reply, CONTENT_TYPE.as_str(), content_type);
    reply
}

pub(crate) fn json_reply(status: u16, value: &impl Serialize) -> Response<ReplyBody> {
    match serde_json::to_string(value) {
        Ok(body) => text_reply(status, JSON, body),
        Err(error) => {
            tracing::error!(%error, "an answer could not be written as JSON");
            text_reply(500, JSON, "{}".to_owned())
        }
    }
}

pub(crate) fn refusal_reply(refusal: &RefusalWire) -> Response<ReplyBody> {
    let detail = &refusal.error;
    let mut reply = json_reply(detail.code.status(), refusal);
    if let Some(wait) = detail.retry_after_ms {
        let seconds = wait.div_ceil(1000).to_string();
        set_header(&mut reply, RETRY_AFTER.as_str(), &seconds);
    }
    reply
}

pub(crate) fn recorded_reply(answer: RecordedResponse) -> Response<ReplyBody> {
    let mut reply = Response::new(ReplyBody::whole(answer.body));
    *reply.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    set_header(&mut reply, CONTENT_TYPE.as_str(), &answer.content_type);
    set_header(&mut reply, REPLAYED, "true");
    reply
}

/// Sets a header, or leaves it out where the value cannot stand in one.
pub(crate) fn set_header(reply: &mut Response<ReplyBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(name, value);
    }
}
