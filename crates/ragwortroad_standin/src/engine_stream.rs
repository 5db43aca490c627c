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
    batch_gate::BatchPlace,
    engine_state::{
        AttemptName,
        CountGuard,
        EngineState, //
    },
    standin_reply::{
        StandinBody,
        StandinReply,
        json_reply,
        mark_reply,
        short_reply, //
    }, //
};

/// One chat being answered by a stand-in engine.
pub(crate) struct EngineRun {
    pub(crate) state: Arc<EngineState>,
    pub(crate) name: AttemptName,
    pub(crate) customer: String,
    /// Smaller goes first.
    pub(crate) priority: u8,
    pub(crate) chat: ChatBody,
    pub(crate) chain: Vec<PrefixKey>,
    /// The whole answer.
    pub(crate) tokens: Vec<String>,
    pub(crate) prompt_tokens: u32,
    pub(crate) cached_tokens: u32,
    /// First token to make.
    pub(crate) from_token: u32,
    pub(crate) faults: FaultPlan,
    /// Place of its record.
    pub(crate) place: usize,
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.state.parts().cancels.remove(&self.name);
        self.state.shell.end_run(self.place, RunStatus::Cancelled);
    }
}

impl EngineRun {
    /// Registers the run for cancellation, waits for a place in the batch, and reads the prompt.
    async fn prefill(&self) -> (BatchPlace<'_>, CountGuard<'_>) {
        let queued = CountGuard::new(&self.state.queued);
        let place = self.state.gate.enter(self.priority).await;
        drop(queued);
        let running = CountGuard::new(&self.state.running);
        let unread = self.prompt_tokens.saturating_sub(self.cached_tokens);
        sleep(self.state.settings.prefill_time_per_token * unread).await;
        self.state.parts().cache.store(&self.chain);
        (place, running)
    }

    fn register(&self) -> Arc<Notify> {
        let notify = Arc::new(Notify::new());
        let mut parts = self.state.parts();
        parts.cancels.insert(self.name.clone(), Arc::clone(&notify));
        notify
    }

    fn complete(&self) {
        let made = self.tokens.len() as u32 - self.from_token.min(self.tokens.len() as u32);
        let shell = &self.state.shell;
        shell.change_run(self.place, |record| record.tokens = made);
        shell.end_run(self.place, RunStatus::Completed);
        self.keep_answer();
    }

    /// The chat's next turn begins with this answer, so its blocks are in the cache as well.
    fn keep_answer(&self) {
        let mut chat = self.chat.clone();
        let answer = self.tokens.concat();
        chat.messages.push(ChatMessage::text("assistant", &answer));
        let chain = prefix_chain(&self.customer, &chat.model, &chat.prompt_text());
        self.state.parts().cache.store(&chain);
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

    /// Whom the answer names as its request at a token.
    fn owner_at(&self, token: u32) -> &str {
        match self.faults.foreign_id_from_token {
            Some(from) if token >= from => "another",
            _ => self.echoed_request_id(),
        }
    }

    fn chunk(&self, at: usize) -> Bytes {
        let owner = self.owner_at(at as u32);
        let text = &self.tokens[at];
        let chunk = json!({
            "id": format!("chatcmpl-{owner}"),
            "object": "chat.completion.chunk",
            "model": self.chat.model,
            "token_index": at,
            "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
        });
        Bytes::from(format!("data: {chunk}\n\n"))
    }

    /// The last events: the reason for the end with the usage, and the final marker.
    fn closing(&self) -> Bytes {
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

/// Answers a chat as a whole.
pub(crate) async fn whole_reply(run: EngineRun) -> StandinReply {
    let cancelled = run.register();
    let work = async {
        let held = run.prefill().await;
        let count = run.tokens.len() as u32;
        sleep(run.state.token_gap() * count).await;
        drop(held);
        io::Result::Ok(())
    };
    tokio::select! {
        worked = work => worked?,
        () = cancelled.notified() => return Err(io::ErrorKind::ConnectionAborted.into()),
    }
    let message = json!({"role": "assistant", "content": run.tokens.concat()});
    let answer = json!({
        "id": format!("chatcmpl-{}", run.owner_at(0)),
        "object": "chat.completion",
        "model": run.chat.model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": run.usage(),
    });
    if run.faults.truncate_body {
        run.state.shell.end_run(run.place, RunStatus::Cut);
        return Ok(short_reply(run.echoed_request_id(), &answer));
    }
    run.complete();
    Ok(json_reply(200, run.echoed_request_id(), &answer))
}

/// Answers a chat as server-sent events, made by a task of the engine's.
pub(crate) fn stream_reply(run: EngineRun) -> Response<StandinBody> {
    let (sender, body) = Channel::new(1);
    let mut reply = Response::new(Either::Right(body));
    mark_reply(&mut reply, "text/event-stream", run.echoed_request_id());
    tokio::spawn(feed_stream(run, sender));
    reply
}

async fn feed_stream(run: EngineRun, mut sender: Sender<Bytes, io::Error>) {
    let cancelled = run.register();
    let fed = tokio::select! {
        fed = feed_tokens(&run, &mut sender) => fed,
        () = cancelled.notified() => Err(io::ErrorKind::Interrupted.into()),
    };
    match fed {
        Ok(()) => run.complete(),
        Err(error) => sender.abort(error),
    }
}

async fn feed_tokens(run: &EngineRun, sender: &mut Sender<Bytes, io::Error>) -> io::Result<()> {
    let _held = run.prefill().await;
    let faults = &run.faults;
    let mut next = Instant::now();
    for at in run.from_token as usize..run.tokens.len() {
        let place = Some(at as u32);
        if faults.close_after_tokens == place {
            run.state.shell.end_run(run.place, RunStatus::Cut);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if faults.stall_after_tokens == place {
            std::future::pending::<()>().await;
        }
        if faults.skip_token != place {
            send(sender, run.chunk(at)).await?;
        }
        if faults.duplicate_token == place {
            send(sender, run.chunk(at)).await?;
        }
        run.state
            .shell
            .change_run(run.place, |record| record.tokens += 1);
        next += run.state.token_gap();
        sleep_until(next).await;
    }
    send(sender, run.closing()).await
}

async fn send(sender: &mut Sender<Bytes, io::Error>, bytes: Bytes) -> io::Result<()> {
    let sent = sender.send_data(bytes).await;
    sent.map_err(|_| io::ErrorKind::BrokenPipe.into())
}
