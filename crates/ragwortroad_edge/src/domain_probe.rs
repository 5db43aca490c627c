//! Detection and probing of unreachable failure domains.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use tokio::{
    task::spawn_local,
    time::sleep, //
};

use crate::{
    edge_state::EdgeShared,
    endpoint_connection::{
        EndpointConnection,
        is_timeout_error, //
    }, //
};

/// Interval between connection attempts to an unreachable domain.
///
/// No client request waits for them.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

impl EdgeShared {
    /// Records that an endpoint did not respond at all.
    ///
    /// When a domain becomes unreachable, its pooled connections are closed: a request sent on one
    /// would hang.
    pub(crate) fn note_silent(&self, domain: &str, endpoint: EndpointKey) {
        let mut state = self.state.borrow_mut();
        if !state.reach.note_silent(domain, endpoint) {
            return;
        }
        tracing::warn!(domain, "failure domain unreachable");
        for address in state.endpoints.addresses(domain) {
            self.pool.close_address(address);
        }
    }

    /// Records that an endpoint of the domain responded.
    pub(crate) fn note_reached(&self, domain: &str) {
        if self.state.borrow_mut().reach.note_response(domain) {
            tracing::info!(domain, "failure domain reachable again");
        }
    }
}

/// Probes unreachable domains for as long as the process runs.
pub(crate) async fn probe_domains(shared: Rc<EdgeShared>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        for (domain, address) in probe_targets(&shared) {
            spawn_local(probe(Rc::clone(&shared), domain, address));
        }
    }
}

/// Picks one random endpoint of each unreachable domain.
fn probe_targets(shared: &EdgeShared) -> Vec<(String, SocketAddr)> {
    let state = shared.state.borrow();
    let domains = state.reach.unreachable();
    let target = |domain: &str| {
        let addresses: Vec<SocketAddr> = state.endpoints.addresses(domain).collect();
        let index = rand::random_range(0..addresses.len().max(1));
        let address = addresses.get(index)?;
        Some((domain.to_owned(), *address))
    };
    domains.filter_map(target).collect()
}

/// A refused connection proves that the domain is reachable just as an accepted one does.
async fn probe(shared: Rc<EdgeShared>, domain: String, address: SocketAddr) {
    match EndpointConnection::open(address, shared.settings.endpoint_source).await {
        Ok(connection) => {
            let now = shared.now();
            shared.pool.keep(address, connection, None, now);
            shared.note_reached(&domain);
        }
        Err(error) if is_timeout_error(&error) => {}
        Err(_) => shared.note_reached(&domain),
    }
}
