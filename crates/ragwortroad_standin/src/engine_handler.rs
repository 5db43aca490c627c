use std::{
    io,
    sync::Arc, //
};

use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    Method,
    Request,
    body::Incoming, //
};
use ragwortroad_types::prelude::*;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    FaultPlan,
    RunRecord,
    RunStatus,
    engine_pages::{
        answer_cancel,
        answer_export,
        answer_import,
        answer_order, //
    },
    engine_state::{
        AttemptName,
        EngineState, //
    },
    engine_stream::{
        EngineRun,
        stream_reply,
        whole_reply, //
    },
    expected_tokens::{
        TOKEN_BYTES,
        expected_tokens, //
    },
    standin_reply::{
        StandinReply,
        header_text,
        json_reply,
        redirect_reply, //
    }, //
};

/// Answers one request to a stand-in engine.
pub(crate) async fn handle_engine(
    state: Arc<EngineState>,
    request: Request<Incoming>,
) -> StandinReply {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => handle_chat(state, &parts.headers, &body).await,
        (&Method::POST, "/v1/cancel") => Ok(answer_cancel(&state, &body)),
        (&Method::POST, "/v1/orders") => answer_order(&state, &body).await,
        (&Method::GET, "/v1/cache") => Ok(answer_export(&state)),
        (&Method::POST, "/v1/cache") => Ok(answer_import(&state, &body)),
        _ => Ok(json_reply(404, "", &json!({"error": "unknown path"}))),
    }
}

async fn handle_chat(state: Arc<EngineState>, headers: &HeaderMap, body: &[u8]) -> StandinReply {
    let faults = state.shell.next_faults();
    let text = |name| header_text(headers, name).unwrap_or_default().to_owned();
    let request_id = text("x-request-id");
    if let Some(status) = faults.status {
        let error = json!({"error": {"message": "set as a fault"}});
        return Ok(json_reply(status, &request_id, &error));
    }
    let Ok(chat) = serde_json::from_slice::<ChatBody>(body) else {
        let error = json!({"error": {"message": "not a chat"}});
        return Ok(json_reply(400, &request_id, &error));
    };
    if !offers_model(&state, &chat, &text("x-model-version")) {
        let error = json!({"error": {"message": "this model is not loaded"}});
        return Ok(json_reply(404, &request_id, &error));
    }
    let customer = text("x-customer");
    let name = AttemptName {
        attempt: text("x-attempt").parse().unwrap_or(0),
        request_id,
    };
    let priority = text("x-priority").parse().unwrap_or(u8::MAX);
    let begin = RunBegin {
        name,
        customer,
        priority,
        body,
        faults,
    };
    let run = begin_run(&state, &chat, begin);
    if run.faults.close_without_response {
        state.shell.end_run(run.place, RunStatus::Cut);
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    if let Some(location) = &run.faults.redirect_to {
        state.shell.end_run(run.place, RunStatus::Cut);
        return Ok(redirect_reply(&run.name.request_id, location));
    }
    sleep(run.faults.response_delay).await;
    match chat.stream {
        true => Ok(stream_reply(run)),
        false => whole_reply(run).await,
    }
}

fn offers_model(state: &EngineState, chat: &ChatBody, version: &str) -> bool {
    let (model, adapter) = chat.model_parts();
    state.parts().offers.iter().any(|offer| {
        offer.model == model
            && (version.is_empty() || offer.version == version)
            && adapter.is_none_or(|adapter| offer.adapters.iter().any(|has| has == adapter))
    })
}

/// What a run begins with, besides its chat.
struct RunBegin<'body> {
    name: AttemptName,
    customer: String,
    priority: u8,
    body: &'body [u8],
    faults: FaultPlan,
}

fn begin_run(state: &Arc<EngineState>, chat: &ChatBody, begin: RunBegin<'_>) -> EngineRun {
    let RunBegin {
        name,
        customer,
        priority,
        body,
        faults,
    } = begin;
    let prompt = chat.prompt_text();
    let chain = prefix_chain(&customer, &chat.model, &prompt);
    let matched = state.parts().cache.matched(&chain);
    let prompt_tokens = prompt.len().div_ceil(TOKEN_BYTES) as u32;
    let cached_tokens = (matched * PREFIX_BLOCK_BYTES / TOKEN_BYTES) as u32;
    let from_token = chat.resume_from.unwrap_or(0);
    let place = state.shell.begin_run(RunRecord {
        endpoint: state.settings.name.clone(),
        request_id: name.request_id.clone(),
        customer: customer.clone(),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        idempotency_key: None,
        body_hash: xxhash_rust::xxh3::xxh3_64(body),
        began_ms: state.shell.elapsed_ms(),
        ended_ms: None,
        end: RunStatus::Running,
        from_token,
        tokens: 0,
        cached_tokens,
        prompt_tokens,
    });
    EngineRun {
        state: Arc::clone(state),
        name,
        customer,
        priority,
        tokens: expected_tokens(chat),
        chat: chat.clone(),
        chain,
        prompt_tokens,
        cached_tokens,
        from_token,
        faults,
        place,
    }
}
