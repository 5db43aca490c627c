//! Requests that the control thread or a page answers at once.

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
    body_reader::read_body,
    body_room::HeldRoom,
    control_ask::ask_control,
    gateway_state::GatewayState,
    query_values::query_value,
    reply_body::ReplyBody,
    reply_maker::{
        json_reply,
        text_reply, //
    },
    request_context::RequestContext, //
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

pub(crate) async fn answer_addresses(
    state: &GatewayState,
    context: &RequestContext,
    uri: &Uri,
) -> Result<Response<ReplyBody>, RefusalWire> {
    let query = uri.query().unwrap_or_default();
    let call = AddressCall {
        key_hash: context.require_key()?,
        chat: query_value(query, "chat").or_else(|| context.chat.clone()),
        hint: query_value(query, "hint").or_else(|| context.hint.clone()),
    };
    let asked = ask_control(state, context, |sender| {
        ControlCall::Addresses(call, sender)
    });
    Ok(json_reply(200, &asked.await??))
}

pub(crate) async fn answer_announce(
    state: &GatewayState,
    context: &RequestContext,
    request: Request<Incoming>,
    room: &mut HeldRoom,
) -> Result<Response<ReplyBody>, RefusalWire> {
    let secret_hash = context.require_key()?;
    let announce: AnnounceWire = read_json(state, context, request, room).await?;
    let call = AnnounceCall {
        secret_hash,
        announce,
    };
    let asked = ask_control(state, context, |sender| ControlCall::Announce(call, sender));
    Ok(json_reply(200, &asked.await??))
}

pub(crate) async fn answer_operator(
    state: &GatewayState,
    context: &RequestContext,
    request: Request<Incoming>,
    room: &mut HeldRoom,
) -> Result<Response<ReplyBody>, RefusalWire> {
    let key_hash = context.require_key()?;
    let body: OperatorBody = read_json(state, context, request, room).await?;
    let call = OperatorCall {
        key_hash,
        line: body.line,
        may_change: body.may_change,
        change_id: body.change_id,
    };
    let asked = ask_control(state, context, |sender| ControlCall::Operator(call, sender));
    let answer = asked.await?;
    Ok(text_reply(answer.status, "application/json", answer.body))
}

pub(crate) fn answer_timeline(
    state: &GatewayState,
    context: &RequestContext,
    uri: &Uri,
) -> Result<Response<ReplyBody>, RefusalWire> {
    let key_hash = context.require_key()?;
    let query = uri.query().unwrap_or_default();
    let page = (state.pages.timeline)(key_hash, query)?;
    Ok(text_reply(200, "text/plain; charset=utf-8", page))
}

async fn read_json<Wire: serde::de::DeserializeOwned>(
    state: &GatewayState,
    context: &RequestContext,
    request: Request<Incoming>,
    room: &mut HeldRoom,
) -> Result<Wire, RefusalWire> {
    let bytes = read_body(state, context, request.into_body(), room).await?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let message = format!("the body is not what this path takes: {error}");
        context.not_run(RefusalCode::MalformedRequest, message)
    })
}
