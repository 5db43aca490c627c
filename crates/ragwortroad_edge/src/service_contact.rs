//! Detection of services with which this edge has lost contact, and their probes.

use std::rc::Rc;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::{
    task::spawn_local,
    time::{
        Duration,
        sleep, //
    }, //
};

use crate::{
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    endpoint_connection::EndpointConnection, //
};

/// Time for which a probing connection must stay open.
///
/// A proxy in front of an endpoint that it cannot reach accepts connections and then closes them.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(20);

impl EdgeShared {
    /// Records a response from an endpoint of the service.
    pub(crate) fn note_contact(&self, service: &str) {
        let mut state = self.state.borrow_mut();
        if state.service_reach.is_clear() || !state.service_reach.note_contact(service) {
            return;
        }
        tracing::info!(service, "service in contact again");
        state.send_reach(false);
    }

    /// Records that the connection to an endpoint failed.
    pub(crate) fn note_lost(&self, endpoint: EndpointKey) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(record) = state.endpoints.record(endpoint) else {
            return;
        };
        let service = record.service.clone();
        let available = state.available_endpoints(&service);
        let available: Vec<ReadyEndpoint> = available.map(|(_, endpoint)| *endpoint).collect();
        let reach = &mut state.service_reach;
        let is_newly_cut_off = reach.note_lost(&service, endpoint, &available, now);
        if is_newly_cut_off {
            tracing::warn!(service, "lost contact with all endpoints of a service");
            for endpoint in &available {
                if let Some(record) = state.endpoints.record(endpoint.key) {
                    self.pool.close_address(record.address);
                }
            }
            state.suspect_other_services(&service, now);
        }
        state.request_peers(is_newly_cut_off, now);
    }

    /// Records that an endpoint may be lost, so that it is probed.
    pub(crate) fn note_suspected(&self, endpoint: EndpointKey) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if let Some(record) = state.endpoints.record(endpoint) {
            let service = record.service.clone();
            state.service_reach.note_suspected(&service, endpoint, now);
        }
    }
}

impl EdgeState {
    /// Has the other services probed: whatever cut one off may have cut off all.
    fn suspect_other_services(&mut self, service: &str, now: ClockTime) {
        let Some(map) = self.map.clone() else {
            return;
        };
        let others = map.config().services.iter().map(|rule| rule.name.as_str());
        for other in others.filter(|other| *other != service) {
            let endpoint = self.endpoints.ready(other).first().map(|first| first.key);
            if let Some(endpoint) = endpoint {
                self.service_reach.note_suspected(other, endpoint, now);
            }
        }
    }

    /// Whether any service is cut off.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.service_reach.cut_off().next().is_some()
    }

    /// Requests the edges that take requests, if they may be needed; `is_urgent` regardless of when
    /// they were last requested.
    pub(crate) fn request_peers(&mut self, is_urgent: bool, now: ClockTime) {
        if self.relay_peers.take_request(now) || is_urgent {
            self.send_reach(true);
        }
    }

    /// Tells registries whether this edge reaches endpoints; the home also replies with the edges that
    /// take requests, if it is asked for them.
    ///
    /// An edge that only prepares for a loss tells none but the home.
    fn send_reach(&self, wants_peers: bool) {
        let is_cut_off = self.is_cut_off();
        let connected = self.links.values().filter(|link| link.queue.is_some());
        let home = self.home().map(|link| link.address);
        let replying = home.or_else(|| connected.clone().map(|link| link.address).next());
        let tells_all = is_cut_off || !wants_peers;
        for link in connected {
            let wants_peers = wants_peers && Some(link.address) == replying;
            if let Some(queue) = link.queue.as_ref().filter(|_| wants_peers || tells_all) {
                queue.send(&LinkMessage::EdgeReach {
                    is_cut_off,
                    wants_peers,
                });
            }
        }
    }
}

/// Probes the services without contact that are due, and keeps the list of relaying edges fresh.
pub(crate) fn probe_services(shared: &Rc<EdgeShared>) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if state.service_reach.is_clear() {
        return;
    }
    for service in state.service_reach.take_due(now) {
        let available = state.available_endpoints(&service);
        let available: Vec<ReadyEndpoint> = available.map(|(_, endpoint)| *endpoint).collect();
        if available.is_empty() {
            // There is nothing to reach, so nothing is cut off.
            if state.service_reach.note_contact(&service) {
                state.send_reach(false);
            }
            continue;
        }
        let reach = &state.service_reach;
        for endpoint in reach.probe_targets(&service, &available, rand::random_range(0..1 << 20)) {
            spawn_local(probe(Rc::clone(shared), service.clone(), endpoint));
        }
    }
    if state.is_cut_off() {
        state.request_peers(false, now);
    }
}

async fn probe(shared: Rc<EdgeShared>, service: String, endpoint: EndpointKey) {
    let address = {
        let state = shared.state.borrow();
        state
            .endpoints
            .record(endpoint)
            .map(|record| record.address)
    };
    let Some(address) = address else {
        return;
    };
    let source = shared.settings.endpoint_source;
    let Ok(connection) = EndpointConnection::open(address, source).await else {
        shared.note_lost(endpoint);
        return;
    };
    sleep(PROBE_SETTLE_TIME).await;
    if connection.is_closed() {
        shared.note_lost(endpoint);
        return;
    }
    let now = shared.now();
    shared.pool.keep(address, connection, None, now);
    shared.note_contact(&service);
}
