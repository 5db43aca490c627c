use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame, //
};
use hyper::body::Incoming;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;
use snafu::Snafu;
use tokio::time::{
    Instant,
    Sleep,
    sleep_until, //
};

use crate::{
    EventFramer,
    edge_state::EdgeShared,
    endpoint_call::{
        CallEnd,
        EventAnswer,
        call_endpoint,
        keep_connection, //
    },
    endpoint_choice::choose_endpoint,
    gate_pass::GatePass,
    request_plan::RequestPlan, //
};

/// Silence after which a stream that can be resumed goes on at another endpoint.
///
/// Callers give a stream up after two seconds without an event at least. An engine that is well
/// sends one every quarter of a second, so this is no engine at work, and the caller still waits.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Time beyond the deadline in which a stream's last events may still come.
const LAST_EVENTS: Duration = Duration::from_millis(200);

/// A stream that cannot be brought to its end; the caller's connection breaks off.
#[derive(Clone, Copy, Debug)]
#[derive(Snafu)]
#[snafu(display("the stream broke off ({reason}); resume it behind its last event"))]
pub(crate) struct StreamBroken {
    reason: &'static str,
}

/// What a caller gets next; nothing at the end.
type NextEvents = Option<Result<Frame<Bytes>, StreamBroken>>;

/// The search for a run that goes on with a stream.
type ResumeFuture = Pin<Box<dyn Future<Output = Option<Box<EventAnswer>>>>>;

/// Events of an endpoint on their way to a caller.
///
/// Only whole events are handed over. When the endpoint breaks off and the route allows it, another
/// endpoint goes on behind the last one; the caller sees one answer with the first one's head.
pub(crate) struct StreamBody {
    shared: Rc<EdgeShared>,
    plan: Rc<RequestPlan>,
    /// The present run; nothing while another one is sought.
    run: Option<Box<EventAnswer>>,
    resuming: Option<ResumeFuture>,
    framer: EventFramer,
    tried: Vec<EndpointKey>,
    /// Endpoints that have been sent the request.
    attempts: u32,
    events: u64,
    /// Longest time without bytes between two events.
    longest_pause: Duration,
    /// Latest time at which something must have come.
    alarm: Pin<Box<Sleep>>,
    last_bytes_at: Instant,
    is_over: bool,
    /// Held until the caller has everything, or has left.
    _pass: GatePass,
}

impl StreamBody {
    pub(crate) fn new(
        shared: &Rc<EdgeShared>,
        plan: Rc<RequestPlan>,
        run: Box<EventAnswer>,
        tried: Vec<EndpointKey>,
        attempts: u32,
        pass: GatePass,
    ) -> Self {
        let now = Instant::now();
        let mut body = Self {
            shared: Rc::clone(shared),
            plan,
            run: Some(run),
            resuming: None,
            framer: EventFramer::default(),
            tried,
            attempts,
            events: 0,
            longest_pause: Duration::ZERO,
            alarm: Box::pin(sleep_until(now)),
            last_bytes_at: now,
            is_over: false,
            _pass: pass,
        };
        body.set_alarm();
        body
    }

    /// The next whole events.
    pub(crate) fn poll_events(&mut self, context: &mut Context<'_>) -> Poll<NextEvents> {
        loop {
            if self.is_over {
                return Poll::Ready(None);
            }
            if let Some(resuming) = &mut self.resuming {
                let Poll::Ready(run) = resuming.as_mut().poll(context) else {
                    return Poll::Pending;
                };
                self.resuming = None;
                let Some(run) = run else {
                    return self.fail("no endpoint goes on with it");
                };
                self.tried.push(run.guard.key());
                self.run = Some(run);
                self.last_bytes_at = Instant::now();
                self.set_alarm();
            }
            match self.poll_run(context) {
                Poll::Pending => {
                    if let Some(reason) = self.poll_alarm(context) {
                        if let Some(failure) = self.break_off(reason) {
                            return failure;
                        }
                        continue;
                    }
                    return Poll::Pending;
                }
                Poll::Ready(RunStep::Events(bytes)) => {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Poll::Ready(RunStep::Partial) => {}
                Poll::Ready(RunStep::End) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Ready(RunStep::Broken(reason)) => {
                    if let Some(failure) = self.break_off(reason) {
                        return failure;
                    }
                }
            }
        }
    }

    fn poll_run(&mut self, context: &mut Context<'_>) -> Poll<RunStep> {
        let Some(run) = &mut self.run else {
            return Poll::Ready(RunStep::Broken("no run"));
        };
        let body: Pin<&mut Incoming> = Pin::new(&mut run.body);
        let frame = match body.poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(frame) => frame,
        };
        Poll::Ready(match frame {
            None if self.framer.has_partial_event() => RunStep::Broken("it ended within an event"),
            None => RunStep::End,
            Some(Err(error)) => {
                tracing::debug!(%error, "a stream broke");
                RunStep::Broken("the endpoint broke off")
            }
            Some(Ok(frame)) => self.take_frame(frame),
        })
    }

    fn take_frame(&mut self, frame: Frame<Bytes>) -> RunStep {
        let Ok(bytes) = frame.into_data() else {
            return RunStep::Partial;
        };
        let now = Instant::now();
        let pause = now - self.last_bytes_at;
        self.longest_pause = self.longest_pause.max(pause);
        self.last_bytes_at = now;
        match self.framer.push(&bytes) {
            Some(events) => {
                self.events += 1;
                RunStep::Events(events)
            }
            None => RunStep::Partial,
        }
    }

    /// Why the stream cannot go on here, once its time or the endpoint's is over.
    fn poll_alarm(&mut self, context: &mut Context<'_>) -> Option<&'static str> {
        while self.alarm.as_mut().poll(context).is_ready() {
            let now = Instant::now();
            if now >= self.plan.deadline + LAST_EVENTS {
                return Some("its time is over");
            }
            if self.is_resumable() && now >= self.last_bytes_at + SILENCE_LIMIT {
                return Some("the endpoint fell silent");
            }
            self.set_alarm();
        }
        None
    }

    fn set_alarm(&mut self) {
        let end = self.plan.deadline + LAST_EVENTS;
        let at = match self.is_resumable() {
            true => end.min(self.last_bytes_at + SILENCE_LIMIT),
            false => end,
        };
        self.alarm.as_mut().reset(at);
    }

    fn is_resumable(&self) -> bool {
        self.plan.rule().is_repeatable()
    }

    /// Ends the present run and seeks another one; the failure, if there can be none.
    fn break_off(&mut self, reason: &'static str) -> Option<Poll<NextEvents>> {
        let now = self.shared.now();
        if let Some(run) = self.run.take() {
            let mut state = self.shared.state.borrow_mut();
            state.load_mut(run.guard.key()).note_bad_answer(now);
        }
        self.framer.discard_partial();
        let rule = self.plan.rule();
        let has_time = Instant::now() < self.plan.deadline;
        let is_on = self.shared.settings.mechanisms.resume;
        let may = is_on && has_time && rule.is_repeatable() && self.attempts < rule.max_attempts;
        let may = may && {
            let mut state = self.shared.state.borrow_mut();
            let budget = state.budget_mut(&self.plan.service, &self.shared.settings, now);
            budget.withdraw()
        };
        tracing::info!(
            request = self.plan.id,
            reason,
            after_event = self.framer.last_event_id(),
            attempts = self.attempts,
            resumes = may,
            "stream broken"
        );
        if !may {
            return Some(self.fail(reason));
        }
        self.attempts += 1;
        let after = self
            .framer
            .last_event_id()
            .or(self.plan.facts.last_event_id);
        let shared = Rc::clone(&self.shared);
        let plan = Rc::clone(&self.plan);
        let tried = self.tried.clone();
        self.resuming = Some(Box::pin(resume(shared, plan, tried, after)));
        None
    }

    fn fail(&mut self, reason: &'static str) -> Poll<NextEvents> {
        self.is_over = true;
        metrics::counter!(metric_names::STREAMS, "outcome" => "broken").increment(1);
        tracing::info!(
            request = self.plan.id,
            outcome = "broken",
            reason,
            events = self.events,
            "stream over"
        );
        Poll::Ready(Some(Err(StreamBroken { reason })))
    }

    fn finish(&mut self) {
        self.is_over = true;
        metrics::counter!(metric_names::STREAMS, "outcome" => "whole").increment(1);
        metrics::histogram!(metric_names::STREAM_PAUSE_SECONDS).record(self.longest_pause);
        let endpoint = self.run.as_ref().map(|run| run.guard.key().0);
        tracing::info!(
            request = self.plan.id,
            outcome = "whole",
            events = self.events,
            endpoint,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            took_ms = self.plan.came_at.elapsed().as_millis() as u64,
            "stream over"
        );
        if let Some(run) = self.run.take() {
            let EventAnswer {
                connection,
                address,
                facts,
                ..
            } = *run;
            keep_connection(&self.shared, address, connection, &facts);
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().in_flight -= 1;
        if !self.is_over {
            metrics::counter!(metric_names::STREAMS, "outcome" => "left").increment(1);
            tracing::debug!(
                request = self.plan.id,
                events = self.events,
                "the caller left"
            );
        }
    }
}

/// What came of looking at the present run.
enum RunStep {
    Events(Bytes),
    Partial,
    End,
    Broken(&'static str),
}

/// Seeks an endpoint that goes on behind `after`.
async fn resume(
    shared: Rc<EdgeShared>,
    plan: Rc<RequestPlan>,
    mut tried: Vec<EndpointKey>,
    after: Option<u64>,
) -> Option<Box<EventAnswer>> {
    loop {
        let chosen = choose_endpoint(&shared, &plan, &tried)?;
        tried.push(chosen.key);
        match call_endpoint(&shared, &plan, &chosen, after).await {
            CallEnd::Events(run) => return Some(run),
            // Nothing reached it, so this costs no attempt.
            CallEnd::NotSent { .. } => {}
            _ => return None,
        }
    }
}
