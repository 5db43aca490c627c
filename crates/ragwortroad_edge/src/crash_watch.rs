//! Detection and quarantine of requests that crash the endpoints which run them.

use std::{
    io,
    rc::Rc,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::{
    task::{
        JoinHandle,
        spawn_local, //
    },
    time::timeout, //
};

use crate::{
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    endpoint_connection::EndpointConnection,
    request_plan::RequestPlan, //
};

/// Maximum number of reports sent to a registry at once.
const MAX_SENT_REPORTS: usize = 1000;

/// Longest time for which another attempt waits for the check of an endpoint.
///
/// A closed port answers within a round trip; a VM that doesn't answer has not crashed under a
/// request.
const CHECK_WAIT: Duration = Duration::from_millis(100);

/// Whether a request must not be sent to any endpoint.
pub(crate) fn is_quarantined(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    let state = shared.state.borrow();
    // The digest of a request is needed only after a crash.
    !state.crashes.is_empty() && state.crashes.is_quarantined(plan.digest(), shared.now())
}

/// Records that an endpoint has run a request to its end.
pub(crate) fn observe_completion(shared: &EdgeShared, plan: &RequestPlan) {
    let mut state = shared.state.borrow_mut();
    if !state.crashes.is_empty() {
        let now = shared.now();
        state.crashes.observe(plan.digest(), RunEnd::Completed, now);
    }
}

/// Check of an endpoint that cut a response off.
///
/// A task of its own, so that it is made even if the client disconnects.
pub(crate) struct CrashCheck(JoinHandle<()>);

impl CrashCheck {
    /// Checks whether the endpoint has crashed under the request, and records it if so.
    pub(crate) fn start(
        shared: &Rc<EdgeShared>,
        digest: RequestDigest,
        endpoint: EndpointKey,
    ) -> Self {
        Self(spawn_local(check_crash(
            Rc::clone(shared),
            digest,
            endpoint,
        )))
    }

    /// Waits for the result, which may rule out another attempt, but not for long.
    pub(crate) async fn settle(self) {
        match timeout(CHECK_WAIT, self.0).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::error!(%error, "the check of an endpoint failed"),
            Err(_) => tracing::debug!("an endpoint neither accepts nor refuses connections"),
        }
    }
}

async fn check_crash(shared: Rc<EdgeShared>, digest: RequestDigest, endpoint: EndpointKey) {
    let record = shared.state.borrow().endpoints.record(endpoint).cloned();
    // An endpoint that drains or has left may end under its last requests.
    let Some(record) = record.filter(|record| record.stage == EndpointStage::Ready) else {
        return;
    };
    match EndpointConnection::open(record.address).await {
        Ok(connection) => {
            let now = shared.now();
            shared.pool.keep(record.address, connection, None, now);
        }
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            record_crash(&shared, digest, endpoint, &record);
        }
        Err(error) => tracing::debug!(%error, endpoint = record.name, "endpoint check failed"),
    }
}

fn record_crash(
    shared: &EdgeShared,
    digest: RequestDigest,
    endpoint: EndpointKey,
    record: &EndpointRecord,
) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    state.load_mut(endpoint).note_failure(now);
    let crashed = RunEnd::Crashed(record.incarnation());
    if !state.crashes.observe(digest, crashed, now) {
        return;
    }
    metrics::counter!(metric_names::REQUEST_CRASHES).increment(1);
    tracing::warn!(
        content = %digest,
        endpoint = record.name,
        quarantined = state.crashes.is_quarantined(digest, now),
        "endpoint crashed under a request"
    );
}

impl EdgeState {
    /// Sends new observations of crashes to all registries.
    ///
    /// All of them rather than the home alone, so that a registry that fails at this moment takes
    /// no report with it.
    pub(crate) fn send_crashes(&mut self, now: ClockTime) {
        self.crashes.expire(now);
        let reports = self.crashes.take_news(now);
        if reports.is_empty() {
            return;
        }
        let message = LinkMessage::Crashes(reports);
        for queue in self.links.values().filter_map(|link| link.queue.as_ref()) {
            queue.send(&message);
        }
    }

    /// Sends all known crashes to a registry that has just connected and may have restarted.
    pub(crate) fn send_all_crashes(&self, queue: &LinkQueue, now: ClockTime) {
        let reports = self.crashes.reports(MAX_SENT_REPORTS, now);
        if !reports.is_empty() {
            queue.send(&LinkMessage::Crashes(reports));
        }
    }
}
