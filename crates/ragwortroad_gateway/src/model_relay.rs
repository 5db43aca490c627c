use std::sync::Arc;

use bytes::Bytes;
use hyper::{Method, Response};
use ragwortroad_types::prelude::*;
use tokio::time::timeout_at;

use crate::{
    AdmitCall,
    AttemptOutcome,
    RequestTarget,
    answer_check::{
        answer_id,
        read_whole, //
    },
    chunk_wire::UsageWire,
    engine_opening::{
        EngineAnswer,
        GoodAnswer,
        open_engine, //
    },
    gateway_state::GatewayState,
    reply_body::ReplyBody,
    reply_maker::{recorded_reply, set_header, set_placement},
    request_context::{
        RequestContext,
        hash_request, //
    },
    request_flow::{
        FlowEnd,
        RequestFlow, //
    },
    stream_relay::stream_reply, //
};

/// A whole answer's parts that the gateway reads.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct WholeWire {
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
) -> Result<Response<ReplyBody>, RefusalWire> {
    let chat: ChatBody = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not a chat in the OpenAI format: {error}");
        context.not_run(RefusalCode::MalformedRequest, message)
    })?;
    if chat.resume_from.is_some() || chat.resume_text.is_some() {
        let message = "'resume_from' and 'resume_text' are between nodes and engines only";
        return Err(context.not_run(RefusalCode::MalformedRequest, message));
    }
    let call = admit_call(&context, &chat, &body)?;
    let streamed = chat.stream;
    drop(chat);
    let deadline = context.deadline;
    let mut flow = RequestFlow::new(state, context, call);
    let served = match streamed {
        false => timeout_at(deadline, serve_whole(&mut flow, &body)).await,
        true => match timeout_at(deadline, open_engine(&mut flow, &body)).await {
            Ok(Ok(EngineAnswer::Good(good))) => {
                return Ok(stream_reply(flow, body, *good));
            }
            Ok(Ok(EngineAnswer::Refusal(reply))) => Ok(Ok(reply)),
            Ok(Err(end)) => Ok(Err(end)),
            Err(elapsed) => Err(elapsed),
        },
    };
    match served {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(FlowEnd::Recorded(answer))) => Ok(recorded_reply(answer)),
        Ok(Err(FlowEnd::Refused(refusal))) => Err(*refusal),
        Err(_) => Err(flow.overdue()),
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
    })
}

/// Checks that a whole answer's own identity is the request's, where engines name it.
fn check_id(flow: &RequestFlow, wire: &WholeWire) -> Result<(), String> {
    let must_echo = flow.state.settings.require_request_id_echo;
    let wanted = answer_id(flow.context.request, must_echo);
    match (wanted, &wire.id) {
        (Some(wanted), Some(id)) if wanted != *id => {
            Err("the answer's identity is another request's".to_owned())
        }
        _ => Ok(()),
    }
}

async fn serve_whole(flow: &mut RequestFlow, body: &Bytes) -> Result<Response<ReplyBody>, FlowEnd> {
    loop {
        let GoodAnswer { attempt, answer } = match open_engine(flow, body).await? {
            EngineAnswer::Good(good) => *good,
            EngineAnswer::Refusal(reply) => return Ok(reply),
        };
        let limit = flow.state.settings.max_response_bytes;
        let whole = read_whole(&Method::POST, answer, limit).await;
        let parsed = whole.and_then(|bytes| {
            let wire = serde_json::from_slice::<WholeWire>(&bytes)
                .map_err(|error| format!("the answer is not JSON: {error}"))?;
            check_id(flow, &wire)?;
            Ok((bytes, wire))
        });
        let (bytes, wire) = match parsed {
            Ok(parsed) => parsed,
            Err(why) => {
                flow.broken(&attempt.grant, attempt.guard, &why)?;
                continue;
            }
        };
        let mut reply = Response::new(ReplyBody::whole(bytes));
        set_header(&mut reply, "content-type", "application/json");
        set_placement(&mut reply, &attempt.grant);
        attempt.guard.finish(AttemptOutcome::Completed {
            status: 200,
            response: None,
            cached_tokens: wire.usage.and_then(|usage| usage.cached_tokens()),
        });
        flow.state.pool.put(attempt.link);
        return Ok(reply);
    }
}
