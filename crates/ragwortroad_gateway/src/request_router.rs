use std::{
    convert::Infallible,
    sync::Arc, //
};

use hyper::{
    Method,
    Request,
    Response,
    body::Incoming, //
};
use ragwortroad_types::prelude::*;
use tracing::Instrument;

use crate::{
    AddressCall,
    exchange_phase::{
        ExchangePhase,
        PhaseGuard, //
    },
    gateway_state::GatewayState,
    header_names::REQUEST_ID,
    model_relay::relay_model,
    page_handlers::{
        answer_addresses,
        answer_announce,
        answer_operator,
        answer_timeline, //
    },
    reply_body::ReplyBody,
    reply_maker::{
        refusal_reply,
        set_header,
        text_reply, //
    },
    request_context::{
        RequestContext,
        short_hash, //
    },
    service_relay::{
        ServiceCall,
        relay_service, //
    }, //
};

use crate::{
    body_reader::{
        discard_body,
        read_body, //
    },
    body_room::HeldRoom,
    control_ask::ask_control, //
};

/// Where plain services begin.
const SERVICES: &str = "/v1/services/";

/// Answers one request of a caller, an endpoint or an operator.
pub(crate) async fn route_request(
    state: Arc<GatewayState>,
    phase: ExchangePhase,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, Infallible> {
    phase.begin_answer();
    let ended = PhaseGuard(phase);
    let mut flight = state.take_off();
    let id = state.draw_request();
    let context = RequestContext::new(id, request.headers(), &state.settings);
    let span = tracing::info_span!(
        "request",
        request = %id,
        key = context.key_hash.as_ref().map(short_hash),
        chat = context.chat,
        path = request.uri().path(),
        node = state.settings.node_name,
        customer = tracing::field::Empty,
        endpoint = tracing::field::Empty,
    );
    let answered = dispatch(Arc::clone(&state), context, request, &mut flight.room);
    let mut reply = match answered.instrument(span).await {
        Ok(reply) => reply,
        Err(mut refusal) => {
            // The control thread names some refusals by numbers of its own. A caller who quotes the
            // body's identity to an operator must mean the same request as the header and the log.
            refusal.error.request_id = id.to_string();
            count_refusal(&refusal);
            refusal_reply(&refusal)
        }
    };
    let status = reply.status().as_str().to_owned();
    metrics::counter!("ragwortroad_answers_total", "status" => status).increment(1);
    set_header(&mut reply, REQUEST_ID, &id.to_string());
    if state.is_draining() {
        set_header(&mut reply, "connection", "close");
    }
    Ok(reply.map(|body| body.with_guards(flight, ended)))
}

fn count_refusal(refusal: &RefusalWire) {
    let detail = &refusal.error;
    let code = format!("{:?}", detail.code);
    let outcome = format!("{:?}", detail.outcome);
    metrics::counter!("ragwortroad_refusals_total", "code" => code, "outcome" => outcome)
        .increment(1);
    tracing::info!(code = ?detail.code, outcome = ?detail.outcome, "refused");
}

async fn dispatch(
    state: Arc<GatewayState>,
    context: RequestContext,
    request: Request<Incoming>,
    room: &mut HeldRoom,
) -> Result<Response<ReplyBody>, RefusalWire> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => Ok(healthz(&state)),
        (&Method::GET, "/metrics") => {
            let page = (state.pages.metrics)();
            Ok(text_reply(200, "text/plain; version=0.0.4", page))
        }
        (&Method::GET, "/v1/timeline") => answer_timeline(&state, &context, request.uri()),
        (&Method::GET, "/v1/addresses") => answer_addresses(&state, &context, request.uri()).await,
        (&Method::POST, "/v1/announce") => answer_announce(&state, &context, request, room).await,
        (&Method::POST, "/v1/operator") => answer_operator(&state, &context, request, room).await,
        (&Method::POST, "/v1/chat/completions") => {
            let body = take_body(&state, &context, request.into_body(), room).await?;
            refuse_when_draining(&state, &context).await?;
            relay_model(state, context, body).await
        }
        (_, path) if path.starts_with(SERVICES) => {
            let (parts, body) = request.into_parts();
            let body = take_body(&state, &context, body, room).await?;
            refuse_when_draining(&state, &context).await?;
            let call = ServiceCall::new(parts, &path[SERVICES.len()..], body);
            relay_service(state, context, call).await
        }
        _ => {
            discard_body(request.into_body()).await;
            let message = format!("{method} {path} is not served here");
            Err(context.not_run(RefusalCode::UnknownPath, message))
        }
    }
}

/// The body of a request that has a key.
async fn take_body(
    state: &GatewayState,
    context: &RequestContext,
    body: Incoming,
    room: &mut HeldRoom,
) -> Result<bytes::Bytes, RefusalWire> {
    // A caller without a key must not make the node hold a large body for it.
    if let Err(refusal) = context.require_key() {
        discard_body(body).await;
        return Err(refusal);
    }
    read_body(state, context, body, room).await
}

fn healthz(state: &GatewayState) -> Response<ReplyBody> {
    match state.is_draining() {
        true => text_reply(503, "text/plain", "draining\n".to_owned()),
        false => text_reply(200, "text/plain", "ok\n".to_owned()),
    }
}

/// Refuses a request that came after the drain began, with other nodes to ask.
async fn refuse_when_draining(
    state: &GatewayState,
    context: &RequestContext,
) -> Result<(), RefusalWire> {
    if !state.is_draining() {
        return Ok(());
    }
    let call = AddressCall {
        key_hash: context.require_key()?,
        chat: context.chat.clone(),
        hint: context.hint.clone(),
    };
    let answer = ask_control(state, context, |sender| {
        crate::ControlCall::Addresses(call, sender)
    });
    let answer = answer.await??;
    let mut refusal = context.not_run(RefusalCode::NodeDraining, "this node is shutting down");
    refusal.error.addresses = answer.addresses;
    Err(refusal)
}
