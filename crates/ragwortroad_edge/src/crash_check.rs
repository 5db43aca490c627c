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
    endpoint_connection::EndpointConnection, //
};

/// Longest time for which another attempt waits for the check of an endpoint.
///
/// A closed port answers within a round trip; a VM that doesn't answer has not crashed under a
/// request.
const CHECK_WAIT: Duration = Duration::from_millis(100);

/// Number of other endpoints that are dialled to tell a crash from the loss of the edge's own links.
const MAX_OTHER_DIALS: usize = 3;

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
    if has_rejected(&shared, &record) {
        return;
    }
    match dial(&shared, record.address).await {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            if reaches_another(&shared, &record, endpoint).await {
                record_crash(&shared, digest, endpoint, &record);
            }
        }
        Err(error) => tracing::debug!(%error, endpoint = record.name, "endpoint check failed"),
    }
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
