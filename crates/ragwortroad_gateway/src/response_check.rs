//! Checks that the response of an endpoint is complete and belongs to the request.

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Method,
    Response,
    body::Incoming, //
};
use ragwortroad_http::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    endpoint_link::EndpointLink,
    header_names::REQUEST_ID_HEADER, //
};

/// Checks that the response tells where its body ends, and carries the identity of this request and of
/// no other. A response without an identity is accepted unless `must_echo` is set.
pub(crate) fn check_head(
    method: &Method,
    response: &Response<Incoming>,
    request: RequestId,
    must_echo: bool,
) -> Result<(), String> {
    BodyFraming::of_response(method, response).map_err(|error| error.to_string())?;
    let own_id = request.to_string();
    let headers = response.headers();
    if must_echo && !headers.contains_key(REQUEST_ID_HEADER) {
        return Err("the answer does not name its request".to_owned());
    }
    let mut echoed_ids = headers.get_all(REQUEST_ID_HEADER).iter();
    match echoed_ids.all(|id| id.as_bytes() == own_id.as_bytes()) {
        true => Ok(()),
        false => Err("the answer belongs to another request".to_owned()),
    }
}

/// Completion identity that an engine must put into its response, if engines name the request.
///
/// The header alone is not sufficient: the engine writes it before it generates the response, so an
/// engine that swaps two responses still sends the right header.
pub(crate) fn expected_completion_id(request: RequestId, must_echo: bool) -> Option<String> {
    must_echo.then(|| format!("chatcmpl-{request}"))
}

/// Reads a complete body whose end the endpoint marked.
///
/// A body delimited by the end of its connection cannot be told from a truncated one, so it counts
/// as broken.
pub(crate) async fn read_complete(
    method: &Method,
    link: &EndpointLink,
    response: Response<Incoming>,
    limit: usize,
) -> Result<Bytes, String> {
    let framing = BodyFraming::of_response(method, &response).map_err(|error| error.to_string())?;
    if !framing.marks_end() {
        return Err("the answer does not mark its end".to_owned());
    }
    let body = response.into_body().map_frame(|frame| {
        link.note_part();
        frame
    });
    let body = Limited::new(body, limit);
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(format!("the answer is not whole: {error}")),
    }
}
