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
    answer_check::{
        check_owner,
        read_whole, //
    },
    gateway_state::GatewayState,
    header_names::{
        PLACEMENT_HINT,
        REQUEST_ID, //
    },
    reply_body::ReplyBody,
    reply_maker::recorded_reply,
    request_context::{
        CHAT_ID,
        DEADLINE,
        RequestContext,
        hash_request, //
    },
    request_flow::{
        FlowEnd,
        RequestFlow, //
    }, //
};

/// Headers that belong to one connection or to the fleet, and are not passed on.
const OWN_HEADERS: [&str; 15] = [
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
    CHAT_ID,
    DEADLINE,
    PLACEMENT_HINT,
];

/// A call to a plain service, as the caller made it.
pub(crate) struct ServiceCall {
    service: String,
    method: Method,
    /// The path behind the service's name, with the query.
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl ServiceCall {
    /// Reads the service and its path from `/v1/services/{service}/{path...}`.
    pub(crate) fn new(parts: Parts, rest: &str, body: Bytes) -> Self {
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let path = match parts.uri.query() {
            Some(query) => format!("/{path}?{query}"),
            None => format!("/{path}"),
        };
        Self {
            service: service.to_owned(),
            method: parts.method,
            path,
            headers: passed_headers(&parts.headers),
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
        let left = context.time_left().as_millis().to_string();
        let own = [
            ("host", grant.address.to_string()),
            (REQUEST_ID, context.request.to_string()),
            ("x-customer", grant.customer.clone()),
            (DEADLINE, left),
        ];
        for (name, value) in own {
            headers.insert(name, HeaderValue::from_str(&value).ok()?);
        }
        Some(request)
    }
}

/// The headers that go through unchanged, in either direction.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        passed.remove(name);
    }
    for name in OWN_HEADERS {
        passed.remove(name);
    }
    passed.remove(REQUEST_ID);
    passed.remove("x-customer");
    passed
}

/// Serves `/v1/services/{service}/{path...}`.
pub(crate) async fn relay_service(
    state: Arc<GatewayState>,
    context: RequestContext,
    call: ServiceCall,
) -> Result<Response<ReplyBody>, RefusalWire> {
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
    };
    let deadline = context.deadline;
    let mut flow = RequestFlow::new(state, context, admit);
    match timeout_at(deadline, serve_call(&mut flow, &call)).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(FlowEnd::Recorded(answer))) => Ok(recorded_reply(answer)),
        Ok(Err(FlowEnd::Refused(refusal))) => Err(*refusal),
        Err(_) => Err(flow.overdue()),
    }
}

async fn serve_call(
    flow: &mut RequestFlow,
    call: &ServiceCall,
) -> Result<Response<ReplyBody>, FlowEnd> {
    loop {
        let mut attempt = flow.open().await?;
        let context = flow.context.clone();
        let make = |grant: &AdmitGrant, _| call.request(&context, grant);
        let limit = flow.state.settings.max_response_bytes;
        let answer = match flow.exchange(&mut attempt, make).await {
            Ok(answer) => check_owner(&answer, context.request, false).map(|()| answer),
            Err(why) => Err(why),
        };
        let whole = match answer {
            Ok(answer) => {
                let status = answer.status();
                let headers = passed_headers(answer.headers());
                let bytes = read_whole(&call.method, answer, limit).await;
                bytes.map(|bytes| (status, headers, bytes))
            }
            Err(why) => Err(why),
        };
        let (status, headers, bytes) = match whole {
            Ok(whole) => whole,
            Err(why) => {
                flow.broken(&attempt.grant, attempt.guard, &why)?;
                continue;
            }
        };
        let small = bytes.len() <= flow.state.settings.max_recorded_response_bytes;
        let kept = attempt.grant.record_response && small;
        attempt.guard.finish(AttemptOutcome::Completed {
            status: status.as_u16(),
            response: kept.then(|| record(status.as_u16(), &headers, &bytes)),
            cached_tokens: None,
        });
        flow.state.pool.put(attempt.link);
        let mut reply = Response::new(ReplyBody::whole(bytes));
        *reply.status_mut() = status;
        *reply.headers_mut() = headers;
        return Ok(reply);
    }
}

fn record(status: u16, headers: &HeaderMap, bytes: &Bytes) -> RecordedResponse {
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
