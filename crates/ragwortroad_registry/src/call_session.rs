use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::IpAddr,
    rc::Rc, //
};

use hyper::{
    Method,
    Request, //
};
use ragwortroad_telemetry::prelude::*;
use tokio::time::Instant;

use crate::{
    call_source::CallSource,
    open_calls::OpenCalls, //
};

/// A call whose response is not written yet.
#[derive(Debug)]
struct OpenCall {
    method: Method,
    path: String,
    started_at: Instant,
    /// Whether the whole response is in the buffer of the connection.
    is_encoded: bool,
}

/// A connection of the control interface and the call that is open on it.
///
/// Reports the call that is left unanswered when the connection ends, if there is one.
#[derive(Debug)]
pub(crate) struct CallSession {
    source: CallSource,
    client_ip: IpAddr,
    call: RefCell<Option<OpenCall>>,
    /// Whether the client has ended the connection, rather than this process.
    has_client_left: Cell<bool>,
}

impl CallSession {
    pub(crate) fn new(source: CallSource, client_ip: IpAddr) -> Rc<Self> {
        Rc::new(Self {
            source,
            client_ip,
            call: RefCell::new(None),
            has_client_left: Cell::new(false),
        })
    }

    pub(crate) fn calls(&self) -> &Rc<OpenCalls> {
        self.source.calls()
    }

    pub(crate) fn client_ip(&self) -> IpAddr {
        self.client_ip
    }

    /// Opens a call whose head has been read.
    pub(crate) fn open_call<B>(&self, request: &Request<B>) {
        self.end_call();
        self.calls().note_opened();
        self.call.replace(Some(OpenCall {
            method: request.method().clone(),
            path: request.uri().path().to_owned(),
            started_at: Instant::now(),
            is_encoded: false,
        }));
    }

    /// Records that the connection holds the whole response.
    pub(crate) fn note_encoded(&self) {
        if let Some(call) = self.call.borrow_mut().as_mut() {
            call.is_encoded = true;
        }
    }

    /// Records that all that the connection held has been written.
    pub(crate) fn note_flushed(&self) {
        let is_encoded = self
            .call
            .borrow()
            .as_ref()
            .is_some_and(|call| call.is_encoded);
        if is_encoded {
            self.end_call();
        }
    }

    /// Records that the client has ended the connection.
    pub(crate) fn note_client_left(&self) {
        self.has_client_left.set(true);
    }

    fn end_call(&self) -> Option<OpenCall> {
        let call = self.call.take()?;
        self.calls().note_ended();
        Some(call)
    }
}

impl Drop for CallSession {
    fn drop(&mut self) {
        let Some(call) = self.end_call() else {
            return;
        };
        let cause = match self.has_client_left.get() {
            true => "client_left",
            false => "process_end",
        };
        metrics::counter!(metric_names::UNANSWERED_CALLS, "cause" => cause).increment(1);
        tracing::info!(
            method = %call.method,
            path = call.path,
            client = %self.client_ip,
            cause,
            waited_ms = call.started_at.elapsed().as_millis() as u64,
            "control connection ended with a call unanswered"
        );
    }
}
