use std::{
    convert::Infallible,
    future::Future,
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::Bytes;
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use tokio::sync::mpsc;

use crate::{
    exchange_phase::PhaseGuard,
    gateway_state::FlightGuard, //
};

/// The future that produces the events of a stream.
type RelayFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The body of a response to a client.
///
/// The relay of a stream runs inside the body: the connection that writes the response owns the
/// work that produces it, so a client that disconnects ends the work without leaving a task behind.
pub(crate) struct ResponseBody {
    source: BodySource,
    /// Keep the request counted as in flight until the connection has taken the last byte.
    guards: Option<(FlightGuard, PhaseGuard)>,
}

/// Source of the bytes of a response body.
enum BodySource {
    Complete(Option<Bytes>),
    Stream {
        events: mpsc::Receiver<Bytes>,
        relay: Option<RelayFuture>,
    },
}

impl ResponseBody {
    pub(crate) fn complete(bytes: impl Into<Bytes>) -> Self {
        Self {
            source: BodySource::Complete(Some(bytes.into())),
            guards: None,
        }
    }

    /// Creates a body that `relay` feeds through the other end of the channel.
    pub(crate) fn stream(
        events: mpsc::Receiver<Bytes>,
        relay: impl Future<Output = ()> + Send + 'static,
    ) -> Self {
        Self {
            source: BodySource::Stream {
                events,
                relay: Some(Box::pin(relay)),
            },
            guards: None,
        }
    }

    pub(crate) fn with_guards(mut self, in_flight: FlightGuard, phase: PhaseGuard) -> Self {
        self.guards = Some((in_flight, phase));
        self
    }
}

/// Polls for the next part of a stream: a queued event first, otherwise one that the relay produces
/// now.
fn poll_stream(
    events: &mut mpsc::Receiver<Bytes>,
    relay: &mut Option<RelayFuture>,
    context: &mut Context<'_>,
) -> Poll<Option<Bytes>> {
    if let Poll::Ready(event) = events.poll_recv(context) {
        return Poll::Ready(event);
    }
    if let Some(work) = relay {
        if work.as_mut().poll(context).is_ready() {
            *relay = None;
        }
        return events.poll_recv(context);
    }
    Poll::Pending
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = match &mut self.source {
            BodySource::Complete(bytes) => Poll::Ready(bytes.take()),
            BodySource::Stream { events, relay } => poll_stream(events, relay, context),
        };
        bytes.map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.source, BodySource::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            BodySource::Stream { .. } => SizeHint::default(),
        }
    }
}
