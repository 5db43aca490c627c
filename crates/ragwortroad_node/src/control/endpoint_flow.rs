//! Handles announcements and gossip about nodes and endpoints, and updates the route table from
//! both.

use ragwortroad_gateway::prelude::*;
use ragwortroad_membership::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::{
        admit_flow::AdmitRefusal,
        control_state::ControlState, //
    },
    node_secrets::same_hash,
};

impl ControlState {
    /// Handles an endpoint's announcement.
    pub(crate) fn announce(
        &mut self,
        call: AnnounceCall,
        now: ClockTime,
    ) -> Result<AnnounceResponse, RefusalWire> {
        let request = RequestId(self.next_random());
        if !same_hash(&call.secret_hash, &self.secrets.join) {
            let message = "the join secret is not the fleet's";
            let refusal = AdmitRefusal::not_run(RefusalCode::WrongKey, message);
            return Err(self.refusal_wire(request, refusal));
        }
        if call
            .announce
            .address
            .parse::<std::net::SocketAddr>()
            .is_err()
        {
            let message = format!("'{}' is not IP:port", call.announce.address);
            let refusal = AdmitRefusal::not_run(RefusalCode::MalformedRequest, message);
            return Err(self.refusal_wire(request, refusal));
        }
        let endpoint = EndpointId::from_name(&call.announce.name);
        let load = call.announce.load;
        let events = call.announce.cache_events.clone();
        let announce = self.with_local_load(call.announce, now);
        let actions = self.membership.handle(GossipInput::Announce(announce), now);
        self.run_gossip_actions(actions, now);
        if let HomeState::Home { .. } = self.membership.home_state(endpoint, now) {
            self.route.observe_report(endpoint, load, now);
            self.route.observe_cache(endpoint, &events, now);
        }
        Ok(self.membership.announce_response(endpoint, now))
    }

    /// Replaces the load in an announcement by this node's own count if this node is the endpoint's
    /// home.
    ///
    /// Other nodes choose endpoints by the gossiped load, and the endpoint's own report is older
    /// than the home's count of the requests it admitted.
    fn with_local_load(&self, announce: AnnounceWire, now: ClockTime) -> AnnounceWire {
        let endpoint = EndpointId::from_name(&announce.name);
        let is_home = self.membership.home_state(endpoint, now).admits_at(now);
        let Some(running) = self.route.load_of(endpoint).filter(|_| is_home) else {
            return announce;
        };
        let load = LoadReport {
            running,
            ..LoadReport::default()
        };
        AnnounceWire { load, ..announce }
    }

    /// Runs the timers of the membership table.
    pub(crate) fn tick_membership(&mut self, now: ClockTime) {
        let actions = self.membership.handle(GossipInput::Tick, now);
        self.run_gossip_actions(actions, now);
    }

    /// Handles a gossip packet.
    pub(crate) fn handle_gossip(&mut self, from: NodeId, bytes: Vec<u8>, now: ClockTime) {
        let packet = GossipInput::Packet { from, bytes };
        let actions = self.membership.handle(packet, now);
        self.run_gossip_actions(actions, now);
    }

    /// Performs the actions that the membership table returned.
    pub(crate) fn run_gossip_actions(&mut self, actions: Vec<GossipAction>, now: ClockTime) {
        for action in actions {
            match action {
                GossipAction::Send { to, address, bytes } => {
                    self.send_at(address, to, PeerChannel::Gossip, bytes);
                }
                GossipAction::NodeUp(node) => self.node_up(node, now),
                GossipAction::NodeSuspected(node) => {
                    self.record_node_event(EventKind::NodeSuspected, node);
                    tracing::info!(node = self.node_name(node), "node is unresponsive");
                }
                GossipAction::NodeDown(node) => self.node_down(node, now),
                GossipAction::NodeLeaving(node) => {
                    self.record_node_event(EventKind::NodeLeaving, node);
                    tracing::info!(node = self.node_name(node), "node is leaving");
                    self.refresh_nodes(now);
                }
                GossipAction::EndpointChanged(endpoint) => {
                    self.endpoint_changed(endpoint, now);
                }
                GossipAction::HomeChanged(endpoint) => {
                    self.record_endpoint_event(EventKind::HomeChanged, endpoint);
                    self.refresh_endpoint(endpoint, now);
                }
                GossipAction::EndpointLoadChanged(endpoint) => self.refresh_load(endpoint),
                GossipAction::EndpointGone(endpoint) => {
                    self.record_endpoint_event(EventKind::EndpointLeft, endpoint);
                    self.route.remove_endpoint(endpoint);
                }
                GossipAction::BlobChanged { .. } => {}
            }
        }
    }

    fn endpoint_changed(&mut self, endpoint: EndpointId, now: ClockTime) {
        let is_new = self.route.load_of(endpoint).is_none();
        let record = self.membership.endpoint(endpoint);
        let presence = record.map(|record| record.presence);
        let is_damped = record.is_some_and(|record| record.damped);
        match presence {
            Some(EndpointPresence::Leaving) => {
                self.record_endpoint_event(EventKind::EndpointLeaving, endpoint);
            }
            Some(EndpointPresence::Present) if is_damped => {
                self.record_endpoint_event(EventKind::EndpointDamped, endpoint);
            }
            Some(EndpointPresence::Present) if is_new => {
                self.record_endpoint_event(EventKind::EndpointJoined, endpoint);
            }
            _ => {}
        }
        self.refresh_endpoint(endpoint, now);
    }

    fn node_up(&mut self, node: NodeId, now: ClockTime) {
        self.record_node_event(EventKind::NodeUp, node);
        tracing::info!(node = self.node_name(node), "node is up");
        self.exchange_crashes(node, now);
        self.refresh_nodes(now);
        // Endpoints whose home came back can be requested again.
        self.refresh_endpoints(now);
    }

    fn node_down(&mut self, node: NodeId, now: ClockTime) {
        tracing::warn!(node = self.node_name(node), "node is down");
        self.record_node_event(EventKind::NodeDown, node);
        self.route.expire_node_slots(node, now);
        self.grants.remove_node(node);
        self.releases.remove_node(node);
        if self
            .replica
            .as_ref()
            .is_some_and(|replica| replica.leads(now))
        {
            // Otherwise the node's claims would stay "in progress" until their maximum run time has
            // passed; with this step a client that retries elsewhere learns at once that the
            // outcome is unknown.
            self.claims.push_step(ClaimStep::NodeLost { node });
        }
        self.refresh_nodes(now);
        self.refresh_endpoints(now);
    }

    /// Updates the nodes that accept clients in the route table and the limiter.
    pub(crate) fn refresh_nodes(&mut self, now: ClockTime) {
        let nodes = self.available_nodes();
        self.route.set_nodes(&nodes);
        self.limiter.set_nodes(&nodes, now);
    }

    /// Updates all endpoints in the route table.
    pub(crate) fn refresh_endpoints(&mut self, now: ClockTime) {
        let endpoints = self.membership.endpoints();
        let endpoints: Vec<EndpointId> = endpoints.map(|record| record.id).collect();
        for endpoint in endpoints {
            self.refresh_endpoint(endpoint, now);
        }
    }

    /// Updates an endpoint in the route table from the membership table and the configuration.
    fn refresh_endpoint(&mut self, endpoint: EndpointId, now: ClockTime) {
        let Some(record) = self.membership.endpoint(endpoint) else {
            return;
        };
        if record.presence == EndpointPresence::Gone {
            self.route.remove_endpoint(endpoint);
            return;
        }
        let (home, exclusive_from, has_home) = match self.membership.home_state(endpoint, now) {
            HomeState::Home { exclusive_from, .. } => (self.node, exclusive_from, true),
            HomeState::Elsewhere { home } => (home, ClockTime::ZERO, true),
            HomeState::Claiming | HomeState::Unknown => (record.home, ClockTime::ZERO, false),
        };
        let facts = EndpointFacts {
            id: endpoint,
            kind: record.kind,
            fleet: fleet_key(record),
            zone: ZoneKey::from_name(&record.zone),
            capacity: record.capacity,
            offers: offers(record),
            home,
            leaving: !has_home || !self.membership.is_available(endpoint),
            drained: self
                .follower
                .config
                .drains_endpoint(&record.name, &record.zone),
        };
        self.route.upsert_endpoint(facts, exclusive_from);
    }

    /// Feeds the last gossiped loads of remote endpoints to the route table again.
    ///
    /// Gossip sends only changes, and the route table adds the requests sent since the last digest
    /// to the load in it. Without this refresh an idle endpoint with a remote home would look
    /// fuller with every request, until this node stopped using it.
    pub(crate) fn refresh_remote_loads(&mut self) {
        let endpoints = self.membership.endpoints();
        let remote = endpoints.filter(|record| record.home != self.node);
        let remote: Vec<EndpointId> = remote.map(|record| record.id).collect();
        for endpoint in remote {
            self.refresh_load(endpoint);
        }
    }

    fn refresh_load(&mut self, endpoint: EndpointId) {
        let Some(record) = self.membership.endpoint(endpoint) else {
            return;
        };
        let digest = LoadDigest {
            load: record.load.requests(record.capacity),
            ejected: false,
        };
        self.route.observe_digest(endpoint, digest);
    }
}

/// Returns the group of endpoints whose mean load an endpoint is compared with: those that can
/// serve the same requests.
fn fleet_key(record: &EndpointRecord) -> FleetKey {
    if let Some(service) = &record.service {
        return FleetKey::from_name(&format!("service {service}"));
    }
    let models = record.models.iter().map(|offer| offer.model.as_str());
    let mut models: Vec<&str> = models.collect();
    models.sort_unstable();
    models.dedup();
    FleetKey::from_name(&format!("models {}", models.join(" ")))
}

/// Returns everything an endpoint can serve.
pub(crate) fn offers(record: &EndpointRecord) -> Vec<OfferKey> {
    let models = record.models.iter().flat_map(OfferKey::of_offer);
    let service = record.service.as_deref().map(OfferKey::service);
    models.chain(service).collect()
}
