//! Checks that the response of an endpoint is complete and belongs to the request.

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Method,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    }, //
};
use ragwortroad_types::prelude::*;

use crate::header_names::REQUEST_ID_HEADER;

/// Checks that the response carries the identity of this request. A response without an identity is
/// accepted unless `must_echo` is set.
pub(crate) fn check_request_id(
    response: &Response<Incoming>,
    request: RequestId,
    must_echo: bool,
) -> Result<(), String> {
    let Some(echoed_id) = response.headers().get(REQUEST_ID_HEADER) else {
        return match must_echo {
            true => Err("the answer does not name its request".to_owned()),
            false => Ok(()),
        };
    };
    if echoed_id.as_bytes() == request.to_string().as_bytes() {
        return Ok(());
    }
    Err("the answer belongs to another request".to_owned())
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
    response: Response<Incoming>,
    limit: usize,
) -> Result<Bytes, String> {
    let headers = response.headers();
    let has_end_marker =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let is_bodiless = method == Method::HEAD
        || matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    if !has_end_marker && !is_bodiless {
        return Err("the answer does not mark its end".to_owned());
    }
    let body = Limited::new(response.into_body(), limit);
    match body.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(format!("the answer is not whole: {error}")),
    }
}
