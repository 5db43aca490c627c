use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::Incoming, //
};
use ragwortroad_types::prelude::*;
use tokio::{
    sync::mpsc,
    time::{
        timeout,
        timeout_at, //
    }, //
};
use tracing::Instrument;

use crate::{
    AttemptOutcome,
    answer_check::answer_id,
    engine_opening::{
        EngineAnswer,
        GoodAnswer,
        open_engine, //
    },
    engine_request::resume_body,
    reply_body::ReplyBody,
    reply_maker::{
        set_header, //
        set_placement,
    },
    request_flow::{
        FlowEnd,
        OpenAttempt,
        RequestFlow, //
    },
    sse_splitter::SseSplitter,
    stream_cursor::{
        EventStep,
        StreamCursor, //
    }, //
};

/// Events between the relay and the connection. The relay runs only while the connection takes
/// bytes, so a caller that reads slowly holds up its own stream and nothing else.
const EVENTS_AHEAD: usize = 16;

/// How long the body's end may come after the final event, for the connection to be kept.
const END_TIME: Duration = Duration::from_millis(20);

/// A streamed answer on its way, over as many engines as it takes.
struct StreamRelay {
    flow: RequestFlow,
    /// The caller's body.
    body: Bytes,
    events: mpsc::Sender<Bytes>,
    cursor: StreamCursor,
}

/// The answer whose body goes on with what `answer` brings.
pub(crate) fn stream_reply(
    flow: RequestFlow,
    body: Bytes,
    good: GoodAnswer,
) -> Response<ReplyBody> {
    let (events, receiver) = mpsc::channel(EVENTS_AHEAD);
    let grant = good.attempt.grant.clone();
    let must_echo = flow.state.settings.require_request_id_echo;
    let wanted_id = answer_id(flow.context.request, must_echo);
    let relay = StreamRelay {
        flow,
        body,
        events,
        cursor: StreamCursor::new(wanted_id),
    };
    let mut reply = Response::new(ReplyBody::stream(
        receiver,
        relay.run(good).in_current_span(),
    ));
    set_header(&mut reply, "content-type", "text/event-stream");
    set_header(&mut reply, "cache-control", "no-cache");
    set_placement(&mut reply, &grant);
    reply
}

impl StreamRelay {
    async fn run(mut self, good: GoodAnswer) {
        let deadline = self.flow.context.deadline;
        let ended = timeout_at(deadline, self.carry(good)).await;
        let refusal = match ended {
            Ok(Ok(())) => return,
            Ok(Err(refusal)) => refusal,
            Err(_) => self.flow.overdue(),
        };
        self.tell(&refusal).await;
    }

    /// Carries the answer to its final marker, going on at another engine when one breaks off.
    async fn carry(&mut self, mut good: GoodAnswer) -> Result<(), RefusalWire> {
        loop {
            let GoodAnswer {
                attempt,
                mut answer,
            } = good;
            let OpenAttempt { grant, guard, link } = attempt;
            let why = match self.pump(answer.body_mut()).await {
                Ok(ended) => {
                    guard.finish(AttemptOutcome::Completed {
                        status: 200,
                        response: None,
                        cached_tokens: self.cursor.cached_tokens,
                    });
                    if ended {
                        self.flow.state.pool.put(link);
                    }
                    return Ok(());
                }
                Err(why) => why,
            };
            drop(link);
            let broken = self.flow.broken(&grant, guard, &why);
            if !self.cursor.can_resume() {
                return Err(self.unfinished(&why));
            }
            broken.map_err(|end| self.refusal_of(end))?;
            good = self.reopen().await?;
        }
    }

    /// The next attempt, at an engine that goes on behind the last token handed over.
    async fn reopen(&mut self) -> Result<GoodAnswer, RefusalWire> {
        metrics::counter!("ragwortroad_stream_resumes_total").increment(1);
        self.cursor.begin_attempt();
        let body = resume_body(&self.body, &self.cursor);
        match open_engine(&mut self.flow, &body).await {
            Ok(EngineAnswer::Good(good)) => Ok(*good),
            Ok(EngineAnswer::Refusal(_)) => {
                Err(self.unfinished("the next engine refused to go on"))
            }
            Err(end) => Err(self.refusal_of(end)),
        }
    }

    /// Hands events to the caller up to the final marker; true if the body's end came with it.
    async fn pump(&mut self, body: &mut Incoming) -> Result<bool, String> {
        let mut splitter = SseSplitter::default();
        let silence = self.flow.state.settings.stream_idle_timeout;
        loop {
            while let Some(event) = splitter.next_event() {
                match self.cursor.step(&event) {
                    EventStep::Forward => self.hand_over(event).await?,
                    EventStep::Skip => {}
                    EventStep::Broken(why) => return Err(why.to_owned()),
                    EventStep::Done => {
                        let ended = splitter.is_empty() && ends_now(body).await;
                        self.hand_over(event).await?;
                        return Ok(ended);
                    }
                }
            }
            let frame = match timeout(silence, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(format!("the stream broke off: {error}")),
                Ok(None) => return Err("the stream ended without its final marker".to_owned()),
                Err(_) => return Err("the stream fell silent".to_owned()),
            };
            if let Ok(data) = frame.into_data()
                && !splitter.push(&data)
            {
                return Err("an event is too long".to_owned());
            }
        }
    }

    async fn hand_over(&self, event: Bytes) -> Result<(), String> {
        let sent = self.events.send(event).await;
        sent.map_err(|_| "the caller left".to_owned())
    }

    /// The refusal for a stream that nobody can go on with.
    fn unfinished(&self, why: &str) -> RefusalWire {
        self.flow.context.unknown(RefusalCode::BrokenAnswer, why)
    }

    fn refusal_of(&self, end: FlowEnd) -> RefusalWire {
        match end {
            FlowEnd::Refused(refusal) => *refusal,
            FlowEnd::Recorded(_) => self.unfinished("a record exists in place of a stream"),
        }
    }

    /// Ends the stream with a typed error and without the final marker.
    async fn tell(&self, refusal: &RefusalWire) {
        let Ok(body) = serde_json::to_string(refusal) else {
            return;
        };
        let event = Bytes::from(format!("event: error\ndata: {body}\n\n"));
        if self.events.send(event).await.is_err() {
            tracing::debug!("the caller left before the stream's error");
        }
    }
}

/// Whether the body ends right behind what was read.
async fn ends_now(body: &mut Incoming) -> bool {
    matches!(timeout(END_TIME, body.frame()).await, Ok(None))
}
