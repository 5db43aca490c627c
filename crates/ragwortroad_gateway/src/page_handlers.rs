//! Handlers for requests that the control thread or a rendered page answers directly.

use hyper::{
    Request,
    Response,
    Uri,
    body::Incoming, //
};
use ragwortroad_types::prelude::*;
use serde::Deserialize;

use crate::{
    AddressCall,
    AnnounceCall,
    ControlCall,
    OperatorCall,
    body_budget::BodyReservation,
    body_reader::read_body,
    control_client::call_control,
    gateway_state::GatewayState,
    query_values::query_value,
    request_context::RequestContext, //
    response_body::ResponseBody,
    response_builder::{
        json_response,
        text_response, //
    },
};

/// The body of `POST /v1/operator`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorBody {
    line: String,
    #[serde(default)]
    change_id: Option<String>,
    #[serde(default)]
    may_change: bool,
}

pub(crate) async fn handle_addresses(
    state: &GatewayState,
    context: &RequestContext,
    uri: &Uri,
) -> Result<Response<ResponseBody>, RefusalWire> {
    let query = uri.query().unwrap_or_default();
    let call = AddressCall {
        key_hash: context.require_key()?,
        chat: query_value(query, "chat").or_else(|| context.chat.clone()),
        hint: query_value(query, "hint").or_else(|| context.hint.clone()),
    };
    let pending_reply = call_control(state, context, |sender| {
        ControlCall::Addresses(call, sender)
    });
    Ok(json_response(200, &pending_reply.await??))
}

pub(crate) async fn handle_announce(
    state: &GatewayState,
    context: &RequestContext,
    request: Request<Incoming>,
    reservation: &mut BodyReservation,
) -> Result<Response<ResponseBody>, RefusalWire> {
    let secret_hash = context.require_key()?;
    let announce: AnnounceWire = read_json(state, context, request, reservation).await?;
    let call = AnnounceCall {
        secret_hash,
        announce,
    };
    let pending_reply = call_control(state, context, |sender| ControlCall::Announce(call, sender));
    Ok(json_response(200, &pending_reply.await??))
}

pub(crate) async fn handle_operator(
    state: &GatewayState,
    context: &RequestContext,
    request: Request<Incoming>,
    reservation: &mut BodyReservation,
) -> Result<Response<ResponseBody>, RefusalWire> {
    let key_hash = context.require_key()?;
    let body: OperatorBody = read_json(state, context, request, reservation).await?;
    let call = OperatorCall {
        key_hash,
        line: body.line,
        may_change: body.may_change,
        change_id: body.change_id,
    };
    let pending_reply = call_control(state, context, |sender| ControlCall::Operator(call, sender));
    let reply = pending_reply.await?;
    Ok(text_response(reply.status, "application/json", reply.body))
}

pub(crate) fn handle_timeline(
    state: &GatewayState,
    context: &RequestContext,
    uri: &Uri,
) -> Result<Response<ResponseBody>, RefusalWire> {
    let key_hash = context.require_key()?;
    let query = uri.query().unwrap_or_default();
    let page = (state.pages.timeline)(key_hash, query)?;
    Ok(text_response(200, "text/plain; charset=utf-8", page))
}

async fn read_json<Wire: serde::de::DeserializeOwned>(
    state: &GatewayState,
    context: &RequestContext,
    request: Request<Incoming>,
    reservation: &mut BodyReservation,
) -> Result<Wire, RefusalWire> {
    let bytes = read_body(state, context, request.into_body(), reservation).await?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let message = format!("the body is not what this path takes: {error}");
        context.not_run(RefusalCode::MalformedRequest, message)
    })
}
