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
    endpoint_link::EndpointLink,
    engine_request::resume_body,
    engine_response::{
        AcceptedResponse,
        EngineResponse,
        open_response, //
    },
    request_flow::{
        FlowEnd,
        OpenAttempt,
        RequestFlow, //
    },
    response_body::ResponseBody,
    response_builder::{
        set_header, //
        set_placement,
    },
    response_check::expected_completion_id,
    sse_splitter::SseSplitter,
    stream_cursor::{
        EventStep,
        StreamCursor, //
    }, //
};

/// Capacity of the channel between the relay and the connection, in events. The relay runs only
/// while the connection accepts bytes, so a client that reads slowly delays only its own stream.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// Time after the final event within which the body must end for the connection to be reused.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(20);

/// Relays one streamed response, over as many engines as it takes.
struct StreamRelay {
    flow: RequestFlow,
    /// The client's request body.
    body: Bytes,
    events: mpsc::Sender<Bytes>,
    cursor: StreamCursor,
}

/// Builds the response whose body starts with the stream in `accepted`.
pub(crate) fn stream_response(
    flow: RequestFlow,
    body: Bytes,
    accepted: AcceptedResponse,
) -> Response<ResponseBody> {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let grant = accepted.attempt.grant.clone();
    let must_echo = flow.state.settings.require_request_id_echo;
    let expected_id = expected_completion_id(flow.context.request, must_echo);
    let relay = StreamRelay {
        flow,
        body,
        events,
        cursor: StreamCursor::new(expected_id),
    };
    let mut client_response = Response::new(ResponseBody::stream(
        receiver,
        relay.run(accepted).in_current_span(),
    ));
    set_header(&mut client_response, "content-type", "text/event-stream");
    set_header(&mut client_response, "cache-control", "no-cache");
    set_placement(&mut client_response, &grant);
    client_response
}

impl StreamRelay {
    async fn run(mut self, accepted: AcceptedResponse) {
        let deadline = self.flow.context.deadline;
        let result = timeout_at(deadline, self.relay(accepted)).await;
        let refusal = match result {
            Ok(Ok(())) => return,
            Ok(Err(refusal)) => refusal,
            Err(_) => self.flow.deadline_refusal(),
        };
        self.send_error(&refusal).await;
    }

    /// Relays the response up to its final marker, resuming at another engine after a broken
    /// stream.
    async fn relay(&mut self, mut accepted: AcceptedResponse) -> Result<(), RefusalWire> {
        loop {
            let AcceptedResponse {
                attempt,
                mut response,
            } = accepted;
            let OpenAttempt { grant, guard, link } = attempt;
            let reason = match self.forward_events(&link, response.body_mut()).await {
                Ok(body_ended) => {
                    guard.finish(AttemptOutcome::Completed {
                        status: 200,
                        response: None,
                        cached_tokens: self.cursor.cached_tokens,
                    });
                    if body_ended {
                        self.flow.state.pool.put(link);
                    }
                    return Ok(());
                }
                Err(reason) => reason,
            };
            drop(link);
            let retry_result = self.flow.fail_attempt(&grant, guard, &reason).await;
            if !self.cursor.can_resume() {
                return Err(self.incomplete_refusal(&reason));
            }
            retry_result.map_err(|end| self.refusal_for(end))?;
            if self.cursor.tokens > 0 && !self.flow.bind_build(&grant) {
                return Err(self.incomplete_refusal("the engine's build is not known"));
            }
            accepted = self.reopen().await?;
        }
    }

    /// Opens the next attempt, at an engine that continues after the last forwarded token.
    async fn reopen(&mut self) -> Result<AcceptedResponse, RefusalWire> {
        metrics::counter!("ragwortroad_stream_resumes_total").increment(1);
        self.cursor.begin_attempt();
        let body = resume_body(&self.body, &self.cursor);
        match open_response(&mut self.flow, &body).await {
            Ok(EngineResponse::Accepted(accepted)) => Ok(*accepted),
            Ok(EngineResponse::Refusal(_)) => {
                Err(self.incomplete_refusal("the next engine refused to go on"))
            }
            Err(end) => Err(self.refusal_for(end)),
        }
    }

    /// Forwards events to the client up to the final marker. Returns whether the body ended right
    /// after it.
    async fn forward_events(
        &mut self,
        link: &EndpointLink,
        body: &mut Incoming,
    ) -> Result<bool, String> {
        let mut splitter = SseSplitter::default();
        let idle_timeout = self.flow.state.settings.stream_idle_timeout;
        loop {
            while let Some(event) = splitter.next_event() {
                match self.cursor.step(&event) {
                    EventStep::Forward => self.send_event(event).await?,
                    EventStep::Skip => {}
                    EventStep::Broken(reason) => return Err(reason.to_owned()),
                    EventStep::Done => {
                        let body_ended = splitter.is_empty() && is_body_at_end(body).await;
                        self.send_event(event).await?;
                        return Ok(body_ended);
                    }
                }
            }
            let frame = match timeout(idle_timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Err(format!("the stream broke off: {error}")),
                Ok(None) => return Err("the stream ended without its final marker".to_owned()),
                Err(_) => return Err("the stream fell silent".to_owned()),
            };
            if let Ok(data) = frame.into_data() {
                link.note_part();
                if !splitter.push(&data) {
                    return Err("an event is too long".to_owned());
                }
            }
        }
    }

    async fn send_event(&self, event: Bytes) -> Result<(), String> {
        let sent = self.events.send(event).await;
        sent.map_err(|_| "the caller left".to_owned())
    }

    /// The refusal for a stream that cannot be resumed.
    fn incomplete_refusal(&self, reason: &str) -> RefusalWire {
        self.flow.context.unknown(RefusalCode::BrokenAnswer, reason)
    }

    fn refusal_for(&self, end: FlowEnd) -> RefusalWire {
        match end {
            FlowEnd::Refused(refusal) => *refusal,
            FlowEnd::Recorded(_) => self.incomplete_refusal("a record exists in place of a stream"),
        }
    }

    /// Ends the stream with a typed error event in place of the final marker.
    async fn send_error(&self, refusal: &RefusalWire) {
        let Ok(body) = serde_json::to_string(refusal) else {
            return;
        };
        let event = Bytes::from(format!("event: error\ndata: {body}\n\n"));
        if self.events.send(event).await.is_err() {
            tracing::debug!("client disconnected before the stream error was sent");
        }
    }
}

/// Whether the body ends after the bytes read so far.
async fn is_body_at_end(body: &mut Incoming) -> bool {
    matches!(timeout(BODY_END_TIMEOUT, body.frame()).await, Ok(None))
}
