//! Checks that an endpoint's answer is whole and belongs to the request.

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

/// Checks that the answer names this request, or, where `must_echo` allows it, none.
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

/// The identity that an engine must give its answer, where it must name the request.
///
/// The header alone does not do: it is written before the answer is made, so an engine that mixes
/// up two answers still sends the right one.
pub(crate) fn expected_completion_id(request: RequestId, must_echo: bool) -> Option<String> {
    must_echo.then(|| format!("chatcmpl-{request}"))
}

/// Reads a whole body whose end the endpoint marked.
///
/// A body that ends with its connection cannot be told from one cut short, so it counts as broken.
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
