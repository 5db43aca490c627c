use std::{
    future::pending,
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
    engine_control::{
        export_cache,
        handle_cancel,
        handle_order,
        import_cache, //
    },
    engine_state::{
        AttemptId,
        EngineState, //
    },
    engine_stream::{
        EngineRun,
        buffered_reply,
        streamed_reply, //
    },
    expected_tokens::{
        BYTES_PER_TOKEN,
        expected_tokens, //
    },
    standin_reply::{
        StandinReply,
        fault_reply,
        header_text,
        json_reply,
        redirect_reply, //
    }, //
};

/// Handles one request to a stand-in engine.
pub(crate) async fn handle_engine(
    state: Arc<EngineState>,
    request: Request<Incoming>,
) -> StandinReply {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    match (&parts.method, parts.uri.path()) {
        (&Method::POST, "/v1/chat/completions") => handle_chat(state, &parts.headers, &body).await,
        (&Method::POST, "/v1/cancel") => Ok(handle_cancel(&state, &body)),
        (&Method::POST, "/v1/orders") => handle_order(&state, &body).await,
        (&Method::GET, "/v1/cache") => Ok(export_cache(&state)),
        (&Method::POST, "/v1/cache") => Ok(import_cache(&state, &body)),
        _ => Ok(json_reply(404, "", &json!({"error": "unknown path"}))),
    }
}

async fn handle_chat(state: Arc<EngineState>, headers: &HeaderMap, body: &[u8]) -> StandinReply {
    let faults = state.standin.next_faults();
    let text = |name| header_text(headers, name).unwrap_or_default().to_owned();
    let request_id = text("x-request-id");
    if let Some(status) = faults.status {
        state.standin.record_rejection();
        return Ok(fault_reply(status, faults.rest, &request_id));
    }
    let Ok(chat) = serde_json::from_slice::<ChatBody>(body) else {
        let error = json!({"error": {"message": "not a chat"}});
        return Ok(json_reply(400, &request_id, &error));
    };
    if !has_model(&state, &chat, &text("x-model-version")) {
        let error = json!({"error": {"message": "this model is not loaded"}});
        return Ok(json_reply(404, &request_id, &error));
    }
    let customer = text("x-customer");
    let name = AttemptId {
        attempt: text("x-attempt").parse().unwrap_or(0),
        request_id,
    };
    let priority = text("x-priority").parse().unwrap_or(u8::MAX);
    let parameters = RunParameters {
        name,
        customer,
        priority,
        body,
        faults,
    };
    let run = begin_run(&state, &chat, parameters);
    if run.faults.crashes_on(body) {
        state.standin.end_run(run.run_index, RunStatus::Cut);
        state.standin.crash();
        // The connection closes with all others.
        return pending().await;
    }
    if run.faults.close_without_response {
        state.standin.end_run(run.run_index, RunStatus::Cut);
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    if let Some(location) = &run.faults.redirect_to {
        state.standin.end_run(run.run_index, RunStatus::Cut);
        return Ok(redirect_reply(&run.name.request_id, location));
    }
    sleep(run.faults.response_delay).await;
    match chat.stream {
        true => Ok(streamed_reply(run)),
        false => buffered_reply(run).await,
    }
}

fn has_model(state: &EngineState, chat: &ChatBody, version: &str) -> bool {
    let (model, adapter) = chat.model_parts();
    state.lock().offers.iter().any(|offer| {
        offer.model == model
            && (version.is_empty() || offer.version == version)
            && adapter.is_none_or(|adapter| offer.adapters.iter().any(|loaded| loaded == adapter))
    })
}

/// Parameters of a run, besides its chat.
struct RunParameters<'body> {
    name: AttemptId,
    customer: String,
    priority: u8,
    body: &'body [u8],
    faults: FaultPlan,
}

fn begin_run(
    state: &Arc<EngineState>,
    chat: &ChatBody,
    parameters: RunParameters<'_>,
) -> EngineRun {
    let RunParameters {
        name,
        customer,
        priority,
        body,
        faults,
    } = parameters;
    let prompt = chat.prompt_text();
    let chain = prefix_chain(&customer, &chat.model, &prompt);
    let cached_blocks = state.lock().cache.matching_blocks(&chain);
    let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
    let cached_tokens = (cached_blocks * PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN) as u32;
    let from_token = chat.resume_from.unwrap_or(0);
    let run_index = state.standin.begin_run(RunRecord {
        endpoint: state.settings.name.clone(),
        request_id: name.request_id.clone(),
        customer: customer.clone(),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        idempotency_key: None,
        body_hash: xxhash_rust::xxh3::xxh3_64(body),
        began_ms: state.standin.elapsed_ms(),
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
        run_index,
    }
}
