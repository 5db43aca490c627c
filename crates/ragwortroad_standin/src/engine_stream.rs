use std::{
    io,
    sync::Arc, //
};

use bytes::Bytes;
use http_body_util::{
    Either,
    channel::{
        Channel,
        Sender, //
    }, //
};
use hyper::Response;
use ragwortroad_types::prelude::*;
use serde_json::{
    Value,
    json, //
};
use tokio::{
    sync::Notify,
    time::{
        Instant,
        sleep,
        sleep_until, //
    }, //
};

use crate::{
    FaultPlan,
    RunStatus,
    batch_semaphore::BatchPermit,
    engine_state::{
        AttemptId,
        EngineState,
        GaugeGuard, //
    },
    standin_reply::{
        StandinBody,
        StandinReply,
        json_reply,
        set_reply_headers,
        truncated_reply, //
    }, //
};

/// One chat that a stand-in engine is processing.
pub(crate) struct EngineRun {
    pub(crate) state: Arc<EngineState>,
    pub(crate) name: AttemptId,
    pub(crate) customer: String,
    /// Lower numbers go first.
    pub(crate) priority: u8,
    pub(crate) chat: ChatBody,
    pub(crate) chain: Vec<PrefixKey>,
    /// The complete response.
    pub(crate) tokens: Vec<String>,
    pub(crate) prompt_tokens: u32,
    pub(crate) cached_tokens: u32,
    /// Index of the first token to generate.
    pub(crate) from_token: u32,
    pub(crate) faults: FaultPlan,
    /// Index of its [`RunRecord`](crate::RunRecord).
    pub(crate) run_index: usize,
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.state.lock().cancels.remove(&self.name);
        self.state
            .standin
            .end_run(self.run_index, RunStatus::Cancelled);
    }
}

impl EngineRun {
    /// Waits for a slot in the batch and processes the prompt.
    async fn prefill(&self) -> (BatchPermit<'_>, GaugeGuard<'_>) {
        let queued = GaugeGuard::new(&self.state.queued);
        let permit = self.state.batch.acquire(self.priority).await;
        drop(queued);
        let running = GaugeGuard::new(&self.state.running);
        let uncached_tokens = self.prompt_tokens.saturating_sub(self.cached_tokens);
        sleep(self.state.settings.prefill_time_per_token * uncached_tokens).await;
        self.state.lock().cache.store(&self.chain);
        (permit, running)
    }

    fn register(&self) -> Arc<Notify> {
        let notify = Arc::new(Notify::new());
        let mut locked = self.state.lock();
        locked
            .cancels
            .insert(self.name.clone(), Arc::clone(&notify));
        notify
    }

    fn complete(&self) {
        let generated = self.tokens.len() as u32 - self.from_token.min(self.tokens.len() as u32);
        let standin = &self.state.standin;
        standin.update_run(self.run_index, |record| record.tokens = generated);
        standin.end_run(self.run_index, RunStatus::Completed);
        self.cache_response();
    }

    /// Stores the prefix that includes the response, since the chat's next turn begins with it.
    fn cache_response(&self) {
        let mut chat = self.chat.clone();
        let response = self.tokens.concat();
        chat.messages
            .push(ChatMessage::text("assistant", &response));
        let chain = prefix_chain(&self.customer, &chat.model, &chat.prompt_text());
        self.state.lock().cache.store(&chain);
    }

    fn echoed_request_id(&self) -> &str {
        self.faults
            .echoed_request_id
            .as_deref()
            .unwrap_or(&self.name.request_id)
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens.len(),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        })
    }

    /// Returns the request id that the response carries at a token.
    fn response_request_id(&self, token: u32) -> &str {
        match self.faults.foreign_id_from_token {
            Some(first) if token >= first => "another",
            _ => self.echoed_request_id(),
        }
    }

    fn chunk(&self, at: usize) -> Bytes {
        let request_id = self.response_request_id(at as u32);
        let text = &self.tokens[at];
        let chunk = json!({
            "id": format!("chatcmpl-{request_id}"),
            "object": "chat.completion.chunk",
            "model": self.chat.model,
            "token_index": at,
            "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
        });
        Bytes::from(format!("data: {chunk}\n\n"))
    }

    /// Returns the last events: the finish reason with the usage, and the final marker.
    fn final_events(&self) -> Bytes {
        let chunk = json!({
            "id": format!("chatcmpl-{}", self.echoed_request_id()),
            "object": "chat.completion.chunk",
            "model": self.chat.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": self.usage(),
        });
        let marker = match self.faults.omit_done_marker {
            true => "",
            false => "data: [DONE]\n\n",
        };
        Bytes::from(format!("data: {chunk}\n\n{marker}"))
    }
}

/// Generates the response to a chat and sends it in one body.
pub(crate) async fn buffered_reply(run: EngineRun) -> StandinReply {
    let cancelled = run.register();
    let work = async {
        let batch_slot = run.prefill().await;
        let count = run.tokens.len() as u32;
        sleep(run.state.token_gap() * count).await;
        drop(batch_slot);
        io::Result::Ok(())
    };
    tokio::select! {
        done = work => done?,
        () = cancelled.notified() => return Err(io::ErrorKind::ConnectionAborted.into()),
    }
    let message = json!({"role": "assistant", "content": run.tokens.concat()});
    let completion = json!({
        "id": format!("chatcmpl-{}", run.response_request_id(0)),
        "object": "chat.completion",
        "model": run.chat.model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": run.usage(),
    });
    if run.faults.truncate_body {
        run.state.standin.end_run(run.run_index, RunStatus::Cut);
        return Ok(truncated_reply(run.echoed_request_id(), &completion));
    }
    run.complete();
    Ok(json_reply(200, run.echoed_request_id(), &completion))
}

/// Streams the response to a chat as server-sent events, which a spawned task writes.
pub(crate) fn streamed_reply(run: EngineRun) -> Response<StandinBody> {
    let (sender, body) = Channel::new(1);
    let mut reply = Response::new(Either::Right(body));
    set_reply_headers(&mut reply, "text/event-stream", run.echoed_request_id());
    tokio::spawn(write_stream(run, sender));
    reply
}

async fn write_stream(run: EngineRun, mut sender: Sender<Bytes, io::Error>) {
    let cancelled = run.register();
    let written = tokio::select! {
        written = write_tokens(&run, &mut sender) => written,
        () = cancelled.notified() => Err(io::ErrorKind::Interrupted.into()),
    };
    match written {
        Ok(()) => run.complete(),
        Err(error) => sender.abort(error),
    }
}

async fn write_tokens(run: &EngineRun, sender: &mut Sender<Bytes, io::Error>) -> io::Result<()> {
    let _batch_slot = run.prefill().await;
    let faults = &run.faults;
    let mut next = Instant::now();
    for at in run.from_token as usize..run.tokens.len() {
        let token_index = Some(at as u32);
        if faults.close_after_tokens == token_index {
            run.state.standin.end_run(run.run_index, RunStatus::Cut);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if faults.stall_after_tokens == token_index {
            std::future::pending::<()>().await;
        }
        if faults.skip_token != token_index {
            send(sender, run.chunk(at)).await?;
        }
        if faults.duplicate_token == token_index {
            send(sender, run.chunk(at)).await?;
        }
        run.state
            .standin
            .update_run(run.run_index, |record| record.tokens += 1);
        next += run.state.token_gap();
        sleep_until(next).await;
    }
    send(sender, run.final_events()).await
}

async fn send(sender: &mut Sender<Bytes, io::Error>, bytes: Bytes) -> io::Result<()> {
    let sent = sender.send_data(bytes).await;
    sent.map_err(|_| io::ErrorKind::BrokenPipe.into())
}
