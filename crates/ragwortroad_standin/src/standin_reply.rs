//! Responses of stand-ins.

use std::{
    io,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    Either,
    Full,
    channel::Channel, //
};
use hyper::{
    HeaderMap,
    Response,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};

/// A buffered body, or a channel body that can be aborted midway.
pub(crate) type StandinBody = Either<Full<Bytes>, Channel<Bytes, io::Error>>;

/// A response, or an error that closes the connection without a response.
pub(crate) type StandinReply = io::Result<Response<StandinBody>>;

pub(crate) fn json_reply(status: u16, request_id: &str, value: &Value) -> Response<StandinBody> {
    let body = Full::new(Bytes::from(value.to_string()));
    let mut reply = Response::new(Either::Left(body));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    set_reply_headers(&mut reply, "application/json", request_id);
    reply
}

/// Returns the response with the status of a fault, and the rest that it asks for.
pub(crate) fn fault_reply(
    status: u16,
    rest: Option<Duration>,
    request_id: &str,
) -> Response<StandinBody> {
    let error = json!({"error": {"message": "set as a fault"}});
    let mut reply = json_reply(status, request_id, &error);
    let seconds = rest.map(|rest| rest.as_secs_f64().to_string());
    if let Some(Ok(value)) = seconds.map(|seconds| seconds.parse()) {
        reply.headers_mut().insert("retry-after", value);
    }
    reply
}

/// Returns a response whose `Content-Length` exceeds its body by 10 bytes.
pub(crate) fn truncated_reply(request_id: &str, value: &Value) -> Response<StandinBody> {
    let text = value.to_string();
    let content_length = (text.len() + 10).to_string();
    let (mut sender, body) = Channel::new(1);
    if sender
        .try_send(hyper::body::Frame::data(Bytes::from(text)))
        .is_err()
    {
        tracing::debug!("cannot queue the body of a truncated response");
    }
    let mut reply = Response::new(Either::Right(body));
    set_reply_headers(&mut reply, "application/json", request_id);
    if let Ok(value) = content_length.parse() {
        reply.headers_mut().insert("content-length", value);
    }
    reply
}

pub(crate) fn redirect_reply(request_id: &str, location: &str) -> Response<StandinBody> {
    let mut reply = json_reply(307, request_id, &Value::Null);
    if let Ok(location) = location.parse() {
        reply.headers_mut().insert("location", location);
    }
    reply
}

pub(crate) fn set_reply_headers(
    reply: &mut Response<StandinBody>,
    content_type: &str,
    request_id: &str,
) {
    let headers = reply.headers_mut();
    for (name, value) in [("content-type", content_type), ("x-request-id", request_id)] {
        if let Ok(value) = value.parse()
            && !request_id.is_empty()
        {
            headers.insert(name, value);
        }
    }
}

/// Returns a header's value, or `None` if it is absent or not visible ASCII.
pub(crate) fn header_text<'map>(headers: &'map HeaderMap, name: &str) -> Option<&'map str> {
    headers.get(name)?.to_str().ok()
}
