use std::sync::Arc;

use bytes::Bytes;
use hyper::{Method, Response};
use ragwortroad_types::prelude::*;
use tokio::time::timeout_at;

use crate::{
    AdmitCall,
    AttemptOutcome,
    RequestTarget,
    chunk_wire::UsageWire,
    engine_response::{
        AcceptedResponse,
        EngineResponse,
        open_response, //
    },
    gateway_state::GatewayState,
    request_context::{
        RequestContext,
        hash_request, //
    },
    request_flow::{
        FlowEnd,
        RequestFlow, //
    },
    response_body::ResponseBody,
    response_builder::{recorded_response, set_header, set_placement},
    response_check::{
        expected_completion_id,
        read_complete, //
    },
    stream_relay::stream_response, //
};

/// The fields of a complete, unstreamed response that the gateway reads.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct CompletionWire {
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    usage: Option<UsageWire>,
}

/// Serves `POST /v1/chat/completions`.
pub(crate) async fn relay_model(
    state: Arc<GatewayState>,
    context: RequestContext,
    body: Bytes,
) -> Result<Response<ResponseBody>, RefusalWire> {
    let chat: ChatBody = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not a chat in the OpenAI format: {error}");
        context.not_run(RefusalCode::MalformedRequest, message)
    })?;
    if chat.resume_from.is_some() || chat.resume_text.is_some() {
        let message = "'resume_from' and 'resume_text' are between nodes and engines only";
        return Err(context.not_run(RefusalCode::MalformedRequest, message));
    }
    let call = admit_call(&context, &chat, &body)?;
    let is_stream = chat.stream;
    drop(chat);
    let deadline = context.deadline;
    let mut flow = RequestFlow::new(state, context, call);
    let result = match is_stream {
        false => timeout_at(deadline, serve_complete(&mut flow, &body)).await,
        true => match timeout_at(deadline, open_response(&mut flow, &body)).await {
            Ok(Ok(EngineResponse::Accepted(accepted))) => {
                return Ok(stream_response(flow, body, *accepted));
            }
            Ok(Ok(EngineResponse::Refusal(client_response))) => Ok(Ok(client_response)),
            Ok(Err(end)) => Ok(Err(end)),
            Err(elapsed) => Err(elapsed),
        },
    };
    match result {
        Ok(Ok(client_response)) => Ok(client_response),
        Ok(Err(FlowEnd::Recorded(response))) => Ok(recorded_response(response)),
        Ok(Err(FlowEnd::Refused(refusal))) => Err(*refusal),
        Err(_) => Err(flow.deadline_refusal()),
    }
}

fn admit_call(
    context: &RequestContext,
    chat: &ChatBody,
    body: &Bytes,
) -> Result<AdmitCall, RefusalWire> {
    let (model, adapter) = chat.model_parts();
    Ok(AdmitCall {
        request: context.request,
        key_hash: context.require_key()?,
        target: RequestTarget::Model {
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
        },
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        chat: chat.chat_id.clone().or_else(|| context.chat.clone()),
        hint: context.hint.clone(),
        prompt: chat.prompt_text(),
        idempotent: true,
        idempotency_key: context.idempotency_key.clone(),
        body_hash: hash_request("POST", "/v1/chat/completions", body),
        body_length: body.len() as u64,
        max_output_tokens: chat.max_tokens,
        time_left: context.time_left(),
        retry_of: None,
        excluded: Vec::new(),
        build: None,
    })
}

/// Checks that the completion identity of a complete response is that of the request, if engines
/// name it.
fn check_id(flow: &RequestFlow, wire: &CompletionWire) -> Result<(), String> {
    let must_echo = flow.state.settings.require_request_id_echo;
    let expected = expected_completion_id(flow.context.request, must_echo);
    match (expected, &wire.id) {
        (Some(expected), Some(id)) if expected != *id => {
            Err("the answer's identity is another request's".to_owned())
        }
        _ => Ok(()),
    }
}

async fn serve_complete(
    flow: &mut RequestFlow,
    body: &Bytes,
) -> Result<Response<ResponseBody>, FlowEnd> {
    loop {
        let AcceptedResponse { attempt, response } = match open_response(flow, body).await? {
            EngineResponse::Accepted(accepted) => *accepted,
            EngineResponse::Refusal(client_response) => return Ok(client_response),
        };
        let limit = flow.state.settings.max_response_bytes;
        let complete = read_complete(&Method::POST, &attempt.link, response, limit).await;
        let parsed = complete.and_then(|bytes| {
            let wire = serde_json::from_slice::<CompletionWire>(&bytes)
                .map_err(|error| format!("the answer is not JSON: {error}"))?;
            check_id(flow, &wire)?;
            Ok((bytes, wire))
        });
        let (bytes, wire) = match parsed {
            Ok(parsed) => parsed,
            Err(reason) => {
                flow.fail_attempt(&attempt.grant, attempt.guard, &reason)
                    .await?;
                continue;
            }
        };
        let mut client_response = Response::new(ResponseBody::complete(bytes));
        set_header(&mut client_response, "content-type", "application/json");
        set_placement(&mut client_response, &attempt.grant);
        attempt.guard.finish(AttemptOutcome::Completed {
            status: 200,
            response: None,
            cached_tokens: wire.usage.and_then(|usage| usage.cached_tokens()),
        });
        flow.state.pool.put(attempt.link);
        return Ok(client_response);
    }
}
