use std::{
    cell::Cell,
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
use ragwortroad_types::prelude::*;
use snafu::Snafu;
use tokio::time::{
    Instant,
    Sleep,
    sleep_until, //
};

use crate::{
    EventFramer,
    crash_check::{
        CrashCheck,
        CrashedRun,
        outlives_response, //
    },
    crash_watch::{
        observe_completion,
        observe_writing, //
    },
    edge_state::EdgeShared,
    endpoint_call::{
        EventStream,
        return_connection, //
    },
    endpoint_connection::is_timeout_error,
    gate_permit::GatePermit,
    read_stall::ReadStall,
    request_plan::RequestPlan,
    silence_check::check_silence,
    stream_break::StreamBreak,
    stream_origins::note_begun,
    stream_search::{
        StreamSearch,
        may_search, //
    },
    stream_silence::{
        SilenceEnd,
        StreamSilence, //
    }, //
};

/// Time without data after which another endpoint is sought for a resumable stream.
///
/// Clients give up on a stream after two seconds or more without an event. A healthy engine sends
/// an event every quarter of a second, so after this time the engine may have failed, and the client
/// is still waiting.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time after its first event from which a run is innocent of a crash of its endpoint.
const SETTLE_TIME: Duration = Duration::from_millis(250);

/// Time beyond the deadline during which the last events of a stream may still arrive.
const FINAL_EVENTS_GRACE: Duration = Duration::from_millis(200);

/// A stream could not be completed; the client's connection is closed.
#[derive(Clone, Copy, Debug)]
#[derive(Snafu)]
#[snafu(display("the stream was interrupted ({reason}); resume it after the last event"))]
pub(crate) struct StreamError {
    reason: &'static str,
}

/// Result of polling the stream; `None` at its end.
type NextEvents = Option<Result<Frame<Bytes>, StreamError>>;

/// Check whether the endpoint has outlived its stream.
type EndFuture = Pin<Box<dyn Future<Output = bool>>>;

/// Forwards an endpoint's event stream to a client.
///
/// Only complete events are forwarded. If the endpoint fails and the route allows it, another
/// endpoint resumes after the last event; the client sees a single response with the head of the
/// first one. An endpoint that falls silent may go on, so the stream stays with it until another one
/// has resumed.
pub(crate) struct StreamBody {
    shared: Rc<EdgeShared>,
    plan: Rc<RequestPlan>,
    /// The current upstream response; `None` while a broken stream seeks another one.
    upstream: Option<Box<EventStream>>,
    /// Search for another endpoint.
    ///
    /// Invariant: no data has been taken from an upstream since the search began.
    search: Option<StreamSearch>,
    /// Silence of the current endpoint; `None` while it sends.
    silence: Option<StreamSilence>,
    /// Check of the endpoint after the end of a stream that ends with its connection.
    ending: Option<EndFuture>,
    framer: EventFramer,
    /// Bytes of the incomplete event that count for an endpoint.
    held_partial: (Option<EndpointKey>, usize),
    tried: Vec<EndpointKey>,
    /// Number of endpoints that were sent the request.
    attempts: Rc<Cell<u32>>,
    events: u64,
    /// When the current endpoint brought its first event.
    run_began_at: Option<ClockTime>,
    /// Whether the current endpoint has written for long enough to be innocent of a crash.
    is_settled: bool,
    /// Longest time without data between two chunks.
    longest_pause: Duration,
    /// Fires when the deadline or the idle timeout expires.
    timer: Pin<Box<Sleep>>,
    last_bytes_at: Instant,
    stall: ReadStall,
    is_over: bool,
    /// Why the stream fails, once its head has been sent.
    failure: Option<&'static str>,
    /// Held until the client has received everything or has disconnected; `None` if another edge
    /// relays the stream.
    _permit: Option<GatePermit>,
}

impl StreamBody {
    pub(crate) fn new(
        shared: &Rc<EdgeShared>,
        plan: Rc<RequestPlan>,
        upstream: Box<EventStream>,
        tried: Vec<EndpointKey>,
        attempts: u32,
        permit: Option<GatePermit>,
    ) -> Self {
        let now = Instant::now();
        let mut body = Self {
            shared: Rc::clone(shared),
            plan,
            upstream: Some(upstream),
            search: None,
            silence: None,
            ending: None,
            framer: EventFramer::default(),
            held_partial: (None, 0),
            tried,
            attempts: Rc::new(Cell::new(attempts)),
            events: 0,
            run_began_at: None,
            is_settled: false,
            longest_pause: Duration::ZERO,
            timer: Box::pin(sleep_until(now)),
            last_bytes_at: now,
            stall: ReadStall::default(),
            is_over: false,
            failure: None,
            _permit: permit,
        };
        body.reset_timer();
        body
    }

    /// Polls for the next complete events.
    pub(crate) fn poll_events(&mut self, context: &mut Context<'_>) -> Poll<NextEvents> {
        if self.stall.note_wanted(self.shared.now()) {
            // The endpoint could not send, so its silence says nothing.
            self.last_bytes_at = Instant::now();
            self.reset_timer();
        }
        if let Some(reason) = self.failure.take() {
            return self.end(reason);
        }
        loop {
            if self.is_over {
                return Poll::Ready(None);
            }
            match self.poll_upstream(context) {
                Poll::Pending => {
                    if let Poll::Ready(found) = self.poll_search(context) {
                        match found {
                            Some(upstream) => self.go_on_at(upstream),
                            None if self.upstream.is_none() => {
                                return self.fail("no endpoint could resume the stream", context);
                            }
                            None => self.log_no_other(),
                        }
                        continue;
                    }
                    match self.poll_timer(context) {
                        None => return Poll::Pending,
                        Some(TimerExpiry::Idle) => self.begin_silence(),
                        Some(TimerExpiry::Deadline) => {
                            let cause = StreamBreak::silent("deadline exceeded");
                            if let Some(failure) = self.handle_break(cause, context) {
                                return failure;
                            }
                        }
                    }
                }
                Poll::Ready(UpstreamStep::Events(bytes)) => {
                    self.stall.note_handed_over(self.shared.now());
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Poll::Ready(UpstreamStep::Partial) => {}
                Poll::Ready(UpstreamStep::End) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Poll::Ready(UpstreamStep::Broken(cause)) => {
                    if let Some(failure) = self.handle_break(cause, context) {
                        return failure;
                    }
                }
            }
        }
    }

    fn poll_upstream(&mut self, context: &mut Context<'_>) -> Poll<UpstreamStep> {
        if let Some(ending) = &mut self.ending {
            let Poll::Ready(is_whole) = ending.as_mut().poll(context) else {
                return Poll::Pending;
            };
            self.ending = None;
            return Poll::Ready(match is_whole {
                true => UpstreamStep::End,
                false => {
                    UpstreamStep::Broken(StreamBreak::cut("the endpoint ended with its stream"))
                }
            });
        }
        let Some(upstream) = &mut self.upstream else {
            return Poll::Pending;
        };
        let body: Pin<&mut Incoming> = Pin::new(&mut upstream.body);
        let frame = match body.poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(frame) => frame,
        };
        Poll::Ready(match frame {
            None if self.framer.has_partial_event() => {
                UpstreamStep::Broken(StreamBreak::cut("stream ended in the middle of an event"))
            }
            None => match upstream
                .endpoint()
                .filter(|_| upstream.ends_with_connection)
            {
                Some(endpoint) => {
                    self.note_data();
                    let shared = Rc::clone(&self.shared);
                    self.ending = Some(Box::pin(async move {
                        outlives_response(&shared, endpoint).await
                    }));
                    // Polled again at once.
                    UpstreamStep::Partial
                }
                None => UpstreamStep::End,
            },
            Some(Err(error)) => {
                tracing::debug!(%error, "failed to read the stream from the endpoint");
                let reason = "the endpoint closed the connection";
                UpstreamStep::Broken(match is_timeout_error(&error) {
                    true => StreamBreak::silent(reason),
                    false => StreamBreak::cut(reason),
                })
            }
            Some(Ok(frame)) => self.take_frame(frame),
        })
    }

    fn take_frame(&mut self, frame: Frame<Bytes>) -> UpstreamStep {
        let Ok(bytes) = frame.into_data() else {
            return UpstreamStep::Partial;
        };
        self.note_data();
        let shared = &self.shared;
        if let Some(upstream) = &self.upstream {
            upstream.connection.note_part();
            if upstream.guard.is_some() {
                shared.note_contact(&self.plan.service);
            }
        }
        match self.framer.push(&bytes) {
            Some(events) => {
                self.note_begun();
                self.note_writing(false);
                self.events += 1;
                if let Some(run) = self
                    .upstream
                    .as_mut()
                    .and_then(|upstream| upstream.run.as_mut())
                {
                    run.note_events();
                }
                self.hold_partial();
                UpstreamStep::Events(events)
            }
            None if self.hold_partial() => UpstreamStep::Partial,
            None => {
                self.log_oversized_event();
                UpstreamStep::Broken(StreamBreak::cut("an event exceeds the limit"))
            }
        }
    }

    /// Notes that the current endpoint is not silent, which ends the search for another one.
    fn note_data(&mut self) {
        let now = Instant::now();
        let pause = now - self.last_bytes_at;
        self.longest_pause = self.longest_pause.max(pause);
        self.last_bytes_at = now;
        if self.silence.is_some() {
            self.search = None;
            self.end_silence(SilenceEnd::SpokeAgain);
            self.reset_timer();
        }
    }

    /// Accounts for the incomplete event; returns whether the endpoint's events stay within the limit.
    fn hold_partial(&mut self) -> bool {
        let (endpoint, before) = self.held_partial;
        let mut partial_events = self.shared.partial_events.borrow_mut();
        let current = self.current_endpoint();
        if current != endpoint {
            partial_events.change(endpoint, before, 0);
            self.held_partial = (current, 0);
        }
        let (_, before) = self.held_partial;
        let after = self.framer.partial_bytes();
        self.held_partial = (current, after);
        partial_events.change(current, before, after)
    }

    /// Discards the incomplete event before another endpoint goes on after the last complete one.
    fn discard_partial(&mut self) {
        self.framer.discard_partial();
        let (endpoint, before) = self.held_partial;
        self.held_partial = (None, 0);
        let mut partial_events = self.shared.partial_events.borrow_mut();
        partial_events.change(endpoint, before, 0);
    }

    fn log_oversized_event(&self) {
        let (endpoint, _) = self.describe_endpoint(self.current_endpoint()).unzip();
        metrics::counter!(metric_names::OVERSIZED_RESPONSES, "form" => "event").increment(1);
        tracing::warn!(
            request = self.plan.id,
            endpoint,
            form = "event",
            bytes = self.framer.partial_bytes(),
            limit = self.shared.partial_events.borrow().limit(),
            "an endpoint sent more than may be held"
        );
    }

    /// Binds the stream to the version that brings its first event.
    fn note_begun(&self) {
        let is_begun = self.events > 0 || self.plan.version.get().is_some();
        if let Some(upstream) = self.upstream.as_ref().filter(|_| !is_begun) {
            note_begun(&self.shared, &self.plan, upstream.version);
        }
    }

    /// The run of the current endpoint, which has cut the stream off.
    fn crashed_run(&self, now: ClockTime) -> CrashedRun {
        let is_settled = |began_at: ClockTime| now.since(began_at) >= SETTLE_TIME;
        match self.run_began_at.is_some_and(is_settled) {
            true => CrashedRun::innocent(&self.plan),
            false => CrashedRun::suspect(&self.plan, true),
        }
    }

    /// Notes that the current endpoint writes, and tells the fleet once it has done so for a while.
    fn note_writing(&mut self, is_over: bool) {
        let now = self.shared.now();
        let began_at = *self.run_began_at.get_or_insert(now);
        if !self.is_settled && (is_over || now.since(began_at) >= SETTLE_TIME) {
            self.is_settled = true;
            observe_writing(&self.shared, &self.plan, began_at);
        }
    }

    /// Whether the stream has brought events of a version that is not known.
    fn has_unknown_version(&self) -> bool {
        self.events > 0 && self.plan.version.get().is_none()
    }

    /// Polls for the end of the search; it stays pending if there is none.
    fn poll_search(&mut self, context: &mut Context<'_>) -> Poll<Option<Box<EventStream>>> {
        let Some(search) = &mut self.search else {
            return Poll::Pending;
        };
        let found = search.poll(context);
        if found.is_ready() {
            self.search = None;
        }
        found
    }

    /// Takes the rest of the stream from another endpoint, and drops the current one.
    fn go_on_at(&mut self, upstream: Box<EventStream>) {
        self.discard_partial();
        self.tried.extend(upstream.endpoint());
        self.upstream = Some(upstream);
        self.end_silence(SilenceEnd::Moved);
        self.run_began_at = None;
        self.is_settled = false;
        self.last_bytes_at = Instant::now();
        self.reset_timer();
    }

    /// Returns which limit has expired at the current endpoint.
    fn poll_timer(&mut self, context: &mut Context<'_>) -> Option<TimerExpiry> {
        // A search without an upstream has an end of its own.
        while self.upstream.is_some() && self.timer.as_mut().poll(context).is_ready() {
            let now = Instant::now();
            if now >= self.plan.deadline + FINAL_EVENTS_GRACE {
                return Some(TimerExpiry::Deadline);
            }
            if self.awaits_silence() && now >= self.last_bytes_at + STREAM_IDLE_TIMEOUT {
                return Some(TimerExpiry::Idle);
            }
            self.reset_timer();
        }
        None
    }

    fn reset_timer(&mut self) {
        let end = self.plan.deadline + FINAL_EVENTS_GRACE;
        let at = match self.awaits_silence() {
            true => end.min(self.last_bytes_at + STREAM_IDLE_TIMEOUT),
            false => end,
        };
        self.timer.as_mut().reset(at);
    }

    /// Whether another endpoint is to be sought once the current one is silent.
    fn awaits_silence(&self) -> bool {
        self.plan.rule().is_repeatable() && self.silence.is_none()
    }

    /// Seeks another endpoint beside the current one, which sends nothing.
    fn begin_silence(&mut self) {
        self.silence = Some(StreamSilence {
            since: self.last_bytes_at,
        });
        self.reset_timer();
        if let Some(key) = self.current_endpoint() {
            self.note_unwell(key);
            check_silence(&self.shared, key);
        }
        let may_search = self.may_search();
        let (endpoint, software) = self.describe_endpoint(self.current_endpoint()).unzip();
        tracing::info!(
            request = self.plan.id,
            after_event = self.framer.last_event_id(),
            attempts = self.attempts.get(),
            seeks = may_search,
            endpoint,
            software,
            events = self.events,
            "stream silent"
        );
        self.search = may_search.then(|| self.new_search());
    }

    fn end_silence(&mut self, end: SilenceEnd) {
        if let Some(silence) = self.silence.take() {
            let (endpoint, _) = self.describe_endpoint(self.current_endpoint()).unzip();
            silence.end(&self.plan, end, endpoint.as_deref());
        }
    }

    fn log_no_other(&self) {
        tracing::info!(
            request = self.plan.id,
            attempts = self.attempts.get(),
            "no other endpoint for a silent stream"
        );
    }

    fn current_endpoint(&self) -> Option<EndpointKey> {
        self.upstream.as_ref()?.endpoint()
    }

    /// Name and software version of an endpoint, for logs.
    fn describe_endpoint(&self, key: Option<EndpointKey>) -> Option<(String, String)> {
        let state = self.shared.state.borrow();
        let record = state.endpoints.record(key?)?;
        Some((record.name.clone(), record.version.clone()))
    }

    /// Records that an endpoint has fallen silent or cut the stream off.
    fn note_unwell(&self, key: EndpointKey) {
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        state.load_mut(key).note_bad_response(now);
        drop(state);
        self.shared.note_suspected(key);
    }

    /// Whether the stream may be resumed at another endpoint; takes the retry out of the budget.
    fn may_search(&self) -> bool {
        !self.has_unknown_version() && may_search(&self.shared, &self.plan, self.attempts.get())
    }

    fn new_search(&self) -> StreamSearch {
        let last_event_id = self.framer.last_event_id();
        let last_event_id = last_event_id.or(self.plan.metadata.last_event_id);
        let tried = self.tried.clone();
        StreamSearch::new(
            &self.shared,
            &self.plan,
            tried,
            &self.attempts,
            last_event_id,
        )
    }

    /// Drops the current upstream and goes on with the search for another one; returns the failure
    /// if the stream cannot be resumed.
    fn handle_break(
        &mut self,
        cause: StreamBreak,
        context: &mut Context<'_>,
    ) -> Option<Poll<NextEvents>> {
        let now = self.shared.now();
        let key = self.current_endpoint();
        let is_noted = self.silence.is_some() && !cause.is_cut;
        self.end_silence(SilenceEnd::Broken);
        self.ending = None;
        self.upstream = None;
        let is_stalled = self.stall.explains_break(now);
        if let Some(key) = key.filter(|_| !is_stalled && !is_noted) {
            self.note_unwell(key);
            if !cause.is_cut {
                check_silence(&self.shared, key);
            }
        }
        let reason = cause.reason;
        let check = key
            .filter(|_| cause.is_cut && !is_stalled)
            .map(|key| CrashCheck::start(&self.shared, self.crashed_run(now), key));
        let (endpoint, software) = self.describe_endpoint(key).unzip();
        self.discard_partial();
        let has_time = Instant::now() < self.plan.deadline;
        let attempts = self.attempts.get();
        // A search that began in a silence has taken its retry out of the budget.
        let search = self.search.take();
        let may_resume = !is_stalled && has_time && (search.is_some() || self.may_search());
        tracing::info!(
            request = self.plan.id,
            reason,
            after_event = self.framer.last_event_id(),
            attempts,
            resumes = may_resume,
            stalled = is_stalled,
            endpoint,
            software,
            content = %self.plan.digest(),
            parts = self.plan.metadata.shared_parts_text(),
            events = self.events,
            "stream broken"
        );
        if !may_resume {
            return Some(self.fail(reason, context));
        }
        let search = search.unwrap_or_else(|| self.new_search());
        let is_suspect = !self.is_settled;
        self.search = Some(match check {
            Some(check) => search.after_check(&self.shared, &self.plan, check, is_suspect),
            None => search,
        });
        None
    }

    /// Ends the stream with a failure, after its head has been sent.
    ///
    /// Hyper discards a head that it has not written when the body fails, and the client would see
    /// its connection close without a response.
    fn fail(&mut self, reason: &'static str, context: &mut Context<'_>) -> Poll<NextEvents> {
        if self.events > 0 {
            return self.end(reason);
        }
        self.failure = Some(reason);
        context.waker().wake_by_ref();
        Poll::Pending
    }

    fn end(&mut self, reason: &'static str) -> Poll<NextEvents> {
        self.is_over = true;
        metrics::counter!(metric_names::STREAMS, "outcome" => "broken").increment(1);
        tracing::info!(
            request = self.plan.id,
            outcome = "broken",
            reason,
            events = self.events,
            "stream over"
        );
        Poll::Ready(Some(Err(StreamError { reason })))
    }

    fn finish(&mut self) {
        self.is_over = true;
        self.search = None;
        self.end_silence(SilenceEnd::SpokeAgain);
        self.note_writing(true);
        observe_completion(&self.shared, &self.plan);
        let run = self.upstream.as_ref().and_then(|upstream| upstream.run);
        if let Some(run) = run.filter(|_| !self.stall.explains_break(self.shared.now())) {
            run.finish(&self.shared, &self.plan);
        }
        metrics::counter!(metric_names::STREAMS, "outcome" => "whole").increment(1);
        metrics::histogram!(metric_names::STREAM_PAUSE_SECONDS).record(self.longest_pause);
        let endpoint = self.current_endpoint();
        let (_, software) = self.describe_endpoint(endpoint).unzip();
        tracing::info!(
            request = self.plan.id,
            outcome = "whole",
            events = self.events,
            endpoint = endpoint.map(|key| key.0),
            software,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            took_ms = self.plan.received_at.elapsed().as_millis() as u64,
            "stream over"
        );
        if let Some(upstream) = self.upstream.take() {
            let EventStream {
                connection,
                address,
                metadata,
                ..
            } = *upstream;
            return_connection(&self.shared, address, connection, &metadata);
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.end_silence(SilenceEnd::Left);
        self.discard_partial();
        self.shared.state.borrow_mut().in_flight -= 1;
        if !self.is_over {
            metrics::counter!(metric_names::STREAMS, "outcome" => "left").increment(1);
            tracing::debug!(
                request = self.plan.id,
                events = self.events,
                "client disconnected"
            );
        }
    }
}

/// Result of polling the current upstream.
enum UpstreamStep {
    Events(Bytes),
    Partial,
    End,
    Broken(StreamBreak),
}

/// Limit that has expired at the current endpoint.
enum TimerExpiry {
    /// The endpoint has been silent for [`STREAM_IDLE_TIMEOUT`].
    Idle,
    /// The deadline has passed.
    Deadline,
}
