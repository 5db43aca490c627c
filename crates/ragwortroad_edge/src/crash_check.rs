use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use rand::seq::IteratorRandom;
use tokio::{
    task::{
        JoinHandle,
        spawn_local, //
    },
    time::timeout, //
};

use crate::{
    edge_state::EdgeShared,
    endpoint_connection::EndpointConnection,
    request_plan::RequestPlan, //
};

/// Longest time for which another attempt waits for the check of an endpoint.
///
/// A closed port answers within a round trip; a VM that doesn't answer has not crashed under a
/// request.
const CHECK_WAIT: Duration = Duration::from_millis(100);

/// Number of other endpoints that are dialled to tell a crash from the loss of the edge's own links.
const MAX_OTHER_DIALS: usize = 3;

/// A run that ended because its endpoint cut the response off.
pub(crate) struct CrashedRun {
    digest: RequestDigest,
    /// Parts that may have crashed the endpoint; none if it had written on them for long enough.
    suspects: Vec<SuspectPart>,
    /// Whether it had begun to respond.
    has_begun: bool,
}

impl CrashedRun {
    /// A run that had written nothing for long enough to be innocent.
    pub(crate) fn suspect(plan: &RequestPlan, has_begun: bool) -> Self {
        Self {
            digest: plan.digest(),
            suspects: plan.suspects().to_vec(),
            has_begun,
        }
    }

    /// A run whose prompt is innocent.
    pub(crate) fn innocent(plan: &RequestPlan) -> Self {
        Self {
            digest: plan.digest(),
            suspects: Vec::new(),
            has_begun: true,
        }
    }
}

/// Check of an endpoint that cut a response off.
///
/// A task of its own, so that it is made even if the client disconnects.
pub(crate) struct CrashCheck(JoinHandle<()>);

impl CrashCheck {
    /// Checks whether the endpoint has crashed under the request, and records it if so.
    pub(crate) fn start(shared: &Rc<EdgeShared>, run: CrashedRun, endpoint: EndpointKey) -> Self {
        Self(spawn_local(check_crash(Rc::clone(shared), run, endpoint)))
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

async fn check_crash(shared: Rc<EdgeShared>, run: CrashedRun, endpoint: EndpointKey) {
    let ended_at = shared.now();
    let record = shared.state.borrow().endpoints.record(endpoint).cloned();
    // An endpoint that drains or has left may end under its last requests.
    let Some(record) = record.filter(|record| record.stage == EndpointStage::Ready) else {
        return;
    };
    if has_rejected(&shared, &record) {
        return;
    }
    match dial(&shared, record.address).await {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            if reaches_another(&shared, &record, endpoint).await {
                record_crash(&shared, &run, endpoint, &record, ended_at);
            }
        }
        Err(error) => tracing::debug!(%error, endpoint = record.name, "endpoint check failed"),
    }
}

/// Whether an endpoint still accepts connections after it has closed one that its response ended
/// with.
///
/// A crash closes connections in the same way, and the response may lack its end. An endpoint that
/// drains or has left may end with its last response.
pub(crate) async fn outlives_response(shared: &EdgeShared, endpoint: EndpointKey) -> bool {
    let record = shared.state.borrow().endpoints.record(endpoint).cloned();
    let Some(record) = record.filter(|record| record.stage == EndpointStage::Ready) else {
        return true;
    };
    let dialled = dial(shared, record.address).await;
    if let Err(error) = &dialled {
        tracing::info!(
            endpoint = record.name,
            %error,
            "endpoint ended with a response"
        );
    }
    dialled.is_ok()
}

/// Whether a brittle endpoint has rejected requests a moment ago, which makes it fall over whatever
/// it runs.
fn has_rejected(shared: &EdgeShared, record: &EndpointRecord) -> bool {
    let state = shared.state.borrow();
    let rest = state.rests.rest_left(record.incarnation(), shared.now());
    state.brittle.contains(&record.service) && rest.is_some()
}

/// Opens a connection and keeps it for reuse.
async fn dial(shared: &EdgeShared, address: SocketAddr) -> io::Result<()> {
    let source = shared.settings.endpoint_source;
    let connection = EndpointConnection::open(address, source).await?;
    let now = shared.now();
    shared.pool.keep(address, connection, None, now);
    Ok(())
}

/// Whether this edge reaches another endpoint of the service, so that the refused connection is the
/// endpoint's fault and not that of the edge's own links.
async fn reaches_another(
    shared: &EdgeShared,
    record: &EndpointRecord,
    endpoint: EndpointKey,
) -> bool {
    let addresses = {
        let state = shared.state.borrow();
        let others = state.available_endpoints(&record.service);
        let others = others.filter(|(_, other)| other.key != endpoint);
        let records = others.filter_map(|(_, other)| state.endpoints.record(other.key));
        let addresses = records.map(|other| other.address);
        let addresses = addresses.filter(|address| *address != record.address);
        addresses.sample(&mut rand::rng(), MAX_OTHER_DIALS)
    };
    let has_other = !addresses.is_empty();
    for address in addresses {
        if dial(shared, address).await.is_ok() {
            return true;
        }
    }
    !has_other
}

fn record_crash(
    shared: &EdgeShared,
    run: &CrashedRun,
    endpoint: EndpointKey,
    record: &EndpointRecord,
    ended_at: ClockTime,
) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    state.load_mut(endpoint).note_failure(now);
    let incarnation = record.incarnation();
    let end = PartEnd::Crashed {
        endpoint: CrashedEndpoint {
            name: record.name.clone(),
            incarnation,
        },
        has_begun: run.has_begun,
    };
    let has_part_news = state.parts.observe(&run.suspects, &end, ended_at, now);
    let state = &mut *state;
    state.crashes.set_explained(state.parts.explained());
    let crashed = RunEnd::Crashed(incarnation);
    let is_news = state.crashes.observe(run.digest, crashed, now);
    if !is_news && !has_part_news {
        return;
    }
    metrics::counter!(metric_names::REQUEST_CRASHES).increment(1);
    tracing::warn!(
        content = %run.digest,
        suspect_parts = run.suspects.len().saturating_sub(1),
        has_begun = run.has_begun,
        endpoint = record.name,
        quarantined = state.crashes.is_quarantined(run.digest, now),
        quarantined_parts = state.parts.blamed_count(),
        "endpoint crashed under a request"
    );
}
