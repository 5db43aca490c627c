//! Responses that the gateway creates itself.

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
        NEXT_NODE_HEADER,
        PLACEMENT_HINT_HEADER,
        REPLAYED_HEADER, //
    },
    response_body::ResponseBody, //
};

/// Adds the placement hint of the chat, and the node that admits requests to its endpoint.
pub(crate) fn set_placement(response: &mut Response<ResponseBody>, grant: &AdmitGrant) {
    set_header(response, PLACEMENT_HINT_HEADER, &grant.hint);
    if let Some(node) = grant.next_node {
        set_header(response, NEXT_NODE_HEADER, &node.to_string());
    }
}

const JSON_CONTENT_TYPE: &str = "application/json";

pub(crate) fn text_response(
    status: u16,
    content_type: &str,
    body: String,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    set_header(&mut response, CONTENT_TYPE.as_str(), content_type);
    response
}

pub(crate) fn json_response(status: u16, value: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_string(value) {
        Ok(body) => text_response(status, JSON_CONTENT_TYPE, body),
        Err(error) => {
            tracing::error!(%error, "failed to serialize a response as JSON");
            text_response(500, JSON_CONTENT_TYPE, "{}".to_owned())
        }
    }
}

pub(crate) fn refusal_response(refusal: &RefusalWire) -> Response<ResponseBody> {
    let detail = &refusal.error;
    let mut response = json_response(detail.code.status(), refusal);
    if let Some(wait) = detail.retry_after_ms {
        let seconds = wait.div_ceil(1000).to_string();
        set_header(&mut response, RETRY_AFTER.as_str(), &seconds);
    }
    response
}

pub(crate) fn recorded_response(recorded: RecordedResponse) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(recorded.body));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    set_header(&mut response, CONTENT_TYPE.as_str(), &recorded.content_type);
    set_header(&mut response, REPLAYED_HEADER, "true");
    response
}

/// Sets a header, or omits it if the value is not valid in a header.
pub(crate) fn set_header(response: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
