use std::{
    error::Error,
    io,
    rc::Rc, //
};

use ragwortroad_telemetry::prelude::*;

use crate::{
    client_session::ClientSession,
    edge_state::EdgeShared, //
};

/// What ended a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndCause {
    /// The connection was closed after its last response.
    Closed,
    /// The client closed or reset the connection.
    ClientLeft,
    /// Neither the head nor the start of a request came in time.
    HeadTimeout,
    /// The client sent something that is not a request.
    InvalidRequest,
    /// The body of the response failed, so that its end cannot be sent.
    ResponseFailed,
    /// This edge disconnected the client to free memory.
    SlowClient,
    /// The process ended.
    ProcessEnd,
}

impl EndCause {
    fn of(error: &hyper::Error) -> Self {
        if error.is_user() {
            Self::ResponseFailed
        } else if error.is_timeout() {
            Self::HeadTimeout
        } else if error.is_parse() {
            Self::InvalidRequest
        } else {
            Self::ClientLeft
        }
    }

    /// Metric label.
    fn label(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::ClientLeft => "client_left",
            Self::HeadTimeout => "head_timeout",
            Self::InvalidRequest => "invalid_request",
            Self::ResponseFailed => "response_failed",
            Self::SlowClient => "slow_client",
            Self::ProcessEnd => "process_end",
        }
    }
}

/// Reports the request that a client's connection leaves unanswered when it ends, if there is one.
pub(crate) struct ConnectionEnd {
    shared: Rc<EdgeShared>,
    session: Rc<ClientSession>,
    cause: EndCause,
    detail: Option<String>,
}

impl ConnectionEnd {
    /// Starts to watch a connection; unless [`Self::set`] is called, its task is dropped as the
    /// process ends.
    pub(crate) fn watch(shared: &Rc<EdgeShared>, session: &Rc<ClientSession>) -> Self {
        Self {
            shared: Rc::clone(shared),
            session: Rc::clone(session),
            cause: EndCause::ProcessEnd,
            detail: None,
        }
    }

    /// Records what ended the connection.
    pub(crate) fn set(&mut self, cause: EndCause) {
        self.cause = cause;
    }

    /// Records how hyper ended the connection.
    pub(crate) fn set_served(&mut self, served: Result<(), hyper::Error>) {
        match served {
            Ok(()) => self.set(EndCause::Closed),
            Err(error) => {
                self.set(EndCause::of(&error));
                self.detail = Some(root_cause(&error));
            }
        }
    }
}

/// The message of an error and of what it was caused by.
fn root_cause(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => match source.downcast_ref::<io::Error>() {
            Some(io_error) => format!("{error}: {:?}", io_error.kind()),
            None => format!("{error}: {source}"),
        },
        None => error.to_string(),
    }
}

impl Drop for ConnectionEnd {
    fn drop(&mut self) {
        let Some(request) = self.session.take_request() else {
            return;
        };
        let cause = self.cause.label();
        metrics::counter!(metric_names::UNANSWERED_REQUESTS, "cause" => cause).increment(1);
        let version_in_force = self.shared.state.borrow().version();
        tracing::info!(
            request = request.id,
            cause,
            detail = self.detail,
            received_bytes = request.received_bytes,
            sent_bytes = request.sent_bytes,
            version = request.version,
            version_in_force,
            waited_ms = request.received_at.elapsed().as_millis() as u64,
            "client connection ended with a request unanswered"
        );
    }
}
