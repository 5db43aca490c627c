use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    header::{
        CONTENT_TYPE,
        HeaderName,
        HeaderValue, //
    },
    http::request::Parts, //
};
use ragwortroad_types::prelude::*;
use tokio::time::timeout_at;

use crate::{
    AdmitCall,
    AdmitGrant,
    AttemptOutcome,
    RecordedResponse,
    RequestTarget,
    gateway_state::GatewayState,
    header_names::{
        PLACEMENT_HINT_HEADER,
        REQUEST_ID_HEADER, //
    },
    request_context::{
        CHAT_ID_HEADER,
        DEADLINE_HEADER,
        RequestContext,
        hash_request, //
    },
    request_flow::{
        FlowEnd,
        RequestFlow, //
    }, //
    response_body::ResponseBody,
    response_builder::recorded_response,
    response_check::{
        check_head,
        read_complete, //
    },
};

/// Headers that are specific to one connection or to the fleet and are not forwarded.
const STRIPPED_HEADERS: [&str; 15] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    CHAT_ID_HEADER,
    DEADLINE_HEADER,
    PLACEMENT_HINT_HEADER,
];

/// A request to a plain service, as received from the client.
pub(crate) struct ServiceCall {
    service: String,
    method: Method,
    /// The path after the name of the service, with the query.
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl ServiceCall {
    /// Parses the service and its path from `/v1/services/{service}/{path...}`.
    pub(crate) fn new(parts: Parts, service_path: &str, body: Bytes) -> Self {
        let (service, path) = service_path.split_once('/').unwrap_or((service_path, ""));
        let path = match parts.uri.query() {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        Self {
            service: service.to_owned(),
            method: parts.method,
            path,
            headers: forwarded_headers(&parts.headers),
            body,
        }
    }

    fn request(
        &self,
        context: &RequestContext,
        grant: &AdmitGrant,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().ok()?;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let time_left_ms = context.time_left().as_millis().to_string();
        let gateway_headers = [
            ("host", grant.address.to_string()),
            (REQUEST_ID_HEADER, context.request.to_string()),
            ("x-customer", grant.customer.clone()),
            (DEADLINE_HEADER, time_left_ms),
        ];
        for (name, value) in gateway_headers {
            headers.insert(name, HeaderValue::from_str(&value).ok()?);
        }
        Some(request)
    }
}

/// The headers that are forwarded unchanged, in either direction.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let connection_headers: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers {
        forwarded.remove(name);
    }
    for name in STRIPPED_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove(REQUEST_ID_HEADER);
    forwarded.remove("x-customer");
    forwarded
}

/// Serves `/v1/services/{service}/{path...}`.
pub(crate) async fn relay_service(
    state: Arc<GatewayState>,
    context: RequestContext,
    call: ServiceCall,
) -> Result<Response<ResponseBody>, RefusalWire> {
    let admit = AdmitCall {
        request: context.request,
        key_hash: context.require_key()?,
        target: RequestTarget::Service {
            service: call.service.clone(),
        },
        method: call.method.as_str().to_owned(),
        path: call.path.clone(),
        chat: context.chat.clone(),
        hint: context.hint.clone(),
        prompt: Vec::new(),
        idempotent: call.method.is_safe(),
        idempotency_key: context.idempotency_key.clone(),
        body_hash: hash_request(call.method.as_str(), &call.path, &call.body),
        body_length: call.body.len() as u64,
        max_output_tokens: None,
        time_left: context.time_left(),
        retry_of: None,
        excluded: Vec::new(),
        build: None,
    };
    let deadline = context.deadline;
    let mut flow = RequestFlow::new(state, context, admit);
    match timeout_at(deadline, serve_call(&mut flow, &call)).await {
        Ok(Ok(client_response)) => Ok(client_response),
        Ok(Err(FlowEnd::Recorded(response))) => Ok(recorded_response(response)),
        Ok(Err(FlowEnd::Refused(refusal))) => Err(*refusal),
        Err(_) => Err(flow.deadline_refusal()),
    }
}

async fn serve_call(
    flow: &mut RequestFlow,
    call: &ServiceCall,
) -> Result<Response<ResponseBody>, FlowEnd> {
    loop {
        let mut attempt = flow.open().await?;
        let context = flow.context.clone();
        let make_request = |grant: &AdmitGrant, _| call.request(&context, grant);
        let limit = flow.state.settings.max_response_bytes;
        let response = match flow.exchange(&mut attempt, make_request).await {
            Ok(response) => {
                let checked = check_head(&call.method, &response, context.request, false);
                checked.map(|()| response)
            }
            Err(reason) => Err(reason),
        };
        let complete = match response {
            Ok(response) => {
                attempt.guard.note_rest(&response);
                let status = response.status();
                let headers = forwarded_headers(response.headers());
                let bytes = read_complete(&call.method, &attempt.link, response, limit).await;
                bytes.map(|bytes| (status, headers, bytes))
            }
            Err(reason) => Err(reason),
        };
        let (status, headers, bytes) = match complete {
            Ok(complete) => complete,
            Err(reason) => {
                flow.fail_attempt(&attempt.grant, attempt.guard, &reason)
                    .await?;
                continue;
            }
        };
        let is_recordable = bytes.len() <= flow.state.settings.max_recorded_response_bytes;
        let should_record = attempt.grant.record_response && is_recordable;
        attempt.guard.finish(AttemptOutcome::Completed {
            status: status.as_u16(),
            response: should_record.then(|| record_response(status.as_u16(), &headers, &bytes)),
            cached_tokens: None,
        });
        flow.state.pool.put(attempt.link);
        let mut client_response = Response::new(ResponseBody::complete(bytes));
        *client_response.status_mut() = status;
        *client_response.headers_mut() = headers;
        return Ok(client_response);
    }
}

fn record_response(status: u16, headers: &HeaderMap, bytes: &Bytes) -> RecordedResponse {
    let content_type = headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    RecordedResponse {
        status,
        content_type: content_type.to_owned(),
        body: bytes.to_vec(),
    }
}
