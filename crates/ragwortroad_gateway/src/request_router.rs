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
    header_names::REQUEST_ID_HEADER,
    model_relay::relay_model,
    page_handlers::{
        handle_addresses,
        handle_announce,
        handle_operator,
        handle_timeline, //
    },
    request_context::{
        RequestContext,
        short_hash, //
    },
    response_body::ResponseBody,
    response_builder::{
        refusal_response,
        set_header,
        text_response, //
    },
    service_relay::{
        ServiceCall,
        relay_service, //
    }, //
};

use crate::{
    body_budget::BodyReservation,
    body_reader::{
        discard_body,
        read_body, //
    },
    control_client::call_control, //
};

/// Path prefix of the plain services.
const SERVICES_PREFIX: &str = "/v1/services/";

/// Routes and serves one request of a client, an endpoint or an operator.
pub(crate) async fn route_request(
    state: Arc<GatewayState>,
    phase: ExchangePhase,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    phase.begin_response();
    let phase_guard = PhaseGuard(phase);
    let mut flight_guard = state.begin_request();
    let id = state.next_request_id();
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
    let dispatched = dispatch(
        Arc::clone(&state),
        context,
        request,
        &mut flight_guard.reservation,
    );
    let mut client_response = match dispatched.instrument(span).await {
        Ok(client_response) => client_response,
        Err(mut refusal) => {
            // The control thread assigns its own identities to some refusals. The identity in the
            // body that a client quotes to an operator must match the header and the log.
            refusal.error.request_id = id.to_string();
            count_refusal(&refusal);
            refusal_response(&refusal)
        }
    };
    let status = client_response.status().as_str().to_owned();
    metrics::counter!("ragwortroad_answers_total", "status" => status).increment(1);
    set_header(&mut client_response, REQUEST_ID_HEADER, &id.to_string());
    if state.is_draining() {
        set_header(&mut client_response, "connection", "close");
    }
    Ok(client_response.map(|body| body.with_guards(flight_guard, phase_guard)))
}

fn count_refusal(refusal: &RefusalWire) {
    let detail = &refusal.error;
    let code = format!("{:?}", detail.code);
    let outcome = format!("{:?}", detail.outcome);
    metrics::counter!("ragwortroad_refusals_total", "code" => code, "outcome" => outcome)
        .increment(1);
    tracing::info!(code = ?detail.code, outcome = ?detail.outcome, "request refused");
}

async fn dispatch(
    state: Arc<GatewayState>,
    context: RequestContext,
    request: Request<Incoming>,
    reservation: &mut BodyReservation,
) -> Result<Response<ResponseBody>, RefusalWire> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => Ok(healthz(&state)),
        (&Method::GET, "/metrics") => {
            let page = (state.pages.metrics)();
            Ok(text_response(200, "text/plain; version=0.0.4", page))
        }
        (&Method::GET, "/v1/timeline") => handle_timeline(&state, &context, request.uri()),
        (&Method::GET, "/v1/addresses") => handle_addresses(&state, &context, request.uri()).await,
        (&Method::POST, "/v1/announce") => {
            handle_announce(&state, &context, request, reservation).await
        }
        (&Method::POST, "/v1/operator") => {
            handle_operator(&state, &context, request, reservation).await
        }
        (&Method::POST, "/v1/chat/completions") => {
            let body = take_body(&state, &context, request.into_body(), reservation).await?;
            refuse_when_draining(&state, &context).await?;
            relay_model(state, context, body).await
        }
        (_, path) if path.starts_with(SERVICES_PREFIX) => {
            let (parts, body) = request.into_parts();
            let body = take_body(&state, &context, body, reservation).await?;
            refuse_when_draining(&state, &context).await?;
            let call = ServiceCall::new(parts, &path[SERVICES_PREFIX.len()..], body);
            relay_service(state, context, call).await
        }
        _ => {
            discard_body(request.into_body()).await;
            let message = format!("{method} {path} is not served here");
            Err(context.not_run(RefusalCode::UnknownPath, message))
        }
    }
}

/// Reads the body of a request that carries a key.
async fn take_body(
    state: &GatewayState,
    context: &RequestContext,
    body: Incoming,
    reservation: &mut BodyReservation,
) -> Result<bytes::Bytes, RefusalWire> {
    // A client without a key must not make the node buffer a large body.
    if let Err(refusal) = context.require_key() {
        discard_body(body).await;
        return Err(refusal);
    }
    read_body(state, context, body, reservation).await
}

fn healthz(state: &GatewayState) -> Response<ResponseBody> {
    match state.is_draining() {
        true => text_response(503, "text/plain", "draining\n".to_owned()),
        false => text_response(200, "text/plain", "ok\n".to_owned()),
    }
}

/// Refuses a request that arrived after the drain began, and names other nodes to the client.
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
    let reply = call_control(state, context, |sender| {
        crate::ControlCall::Addresses(call, sender)
    });
    let reply = reply.await??;
    let mut refusal = context.not_run(RefusalCode::NodeDraining, "this node is shutting down");
    refusal.error.addresses = reply.addresses;
    Err(refusal)
}
