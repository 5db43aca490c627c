//! Nodes and endpoints: announcements in, gossip in and out, the route table kept true to both.

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
    /// Serves an endpoint's announcement.
    pub(crate) fn announce(
        &mut self,
        call: AnnounceCall,
        now: ClockTime,
    ) -> Result<AnnounceResponse, RefusalWire> {
        let request = RequestId(self.draw());
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
        let announce = self.with_own_count(call.announce, now);
        let actions = self.membership.handle(GossipInput::Announce(announce), now);
        self.do_gossip(actions, now);
        if let HomeState::Home { .. } = self.membership.home_state(endpoint, now) {
            self.route.observe_report(endpoint, load, now);
            self.route.observe_cache(endpoint, &events, now);
        }
        Ok(self.membership.announce_answer(endpoint, now))
    }

    /// An announcement with the load that this node knows exactly, where it is the home.
    ///
    /// Other nodes choose by what gossip tells them. The endpoint's own report is older than the
    /// home's count of what it admitted.
    fn with_own_count(&self, announce: AnnounceWire, now: ClockTime) -> AnnounceWire {
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

    /// Lets time pass for membership.
    pub(crate) fn tick_membership(&mut self, now: ClockTime) {
        let actions = self.membership.handle(GossipInput::Tick, now);
        self.do_gossip(actions, now);
    }

    /// Takes in a gossip packet.
    pub(crate) fn handle_gossip(&mut self, from: NodeId, bytes: Vec<u8>, now: ClockTime) {
        let packet = GossipInput::Packet { from, bytes };
        let actions = self.membership.handle(packet, now);
        self.do_gossip(actions, now);
    }

    /// Does what membership wants done.
    pub(crate) fn do_gossip(&mut self, actions: Vec<GossipAction>, now: ClockTime) {
        for action in actions {
            match action {
                GossipAction::Send { to, address, bytes } => {
                    self.send_at(address, to, PeerChannel::Gossip, bytes);
                }
                GossipAction::NodeUp(node) => self.node_up(node, now),
                GossipAction::NodeSuspected(node) => {
                    self.note_node(EventKind::NodeSuspected, node);
                    tracing::info!(node = self.node_name(node), "node is silent");
                }
                GossipAction::NodeDown(node) => self.node_down(node, now),
                GossipAction::NodeLeaving(node) => {
                    self.note_node(EventKind::NodeLeaving, node);
                    tracing::info!(node = self.node_name(node), "node is leaving");
                    self.refresh_nodes(now);
                }
                GossipAction::EndpointChanged(endpoint) => {
                    self.endpoint_changed(endpoint, now);
                }
                GossipAction::HomeChanged(endpoint) => {
                    self.note_endpoint(EventKind::HomeChanged, endpoint);
                    self.refresh_endpoint(endpoint, now);
                }
                GossipAction::EndpointLoadChanged(endpoint) => self.refresh_load(endpoint),
                GossipAction::EndpointGone(endpoint) => {
                    self.note_endpoint(EventKind::EndpointLeft, endpoint);
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
                self.note_endpoint(EventKind::EndpointLeaving, endpoint);
            }
            Some(EndpointPresence::Present) if is_damped => {
                self.note_endpoint(EventKind::EndpointDamped, endpoint);
            }
            Some(EndpointPresence::Present) if is_new => {
                self.note_endpoint(EventKind::EndpointJoined, endpoint);
            }
            _ => {}
        }
        self.refresh_endpoint(endpoint, now);
    }

    fn node_up(&mut self, node: NodeId, now: ClockTime) {
        self.note_node(EventKind::NodeUp, node);
        tracing::info!(node = self.node_name(node), "node is up");
        self.refresh_nodes(now);
        // Endpoints whose home came back can be asked for again.
        self.refresh_endpoints(now);
    }

    fn node_down(&mut self, node: NodeId, now: ClockTime) {
        tracing::warn!(node = self.node_name(node), "node is down");
        self.note_node(EventKind::NodeDown, node);
        self.route.expire_node_slots(node, now);
        self.grants.node_gone(node);
        self.releases.node_gone(node);
        if self.member.as_ref().is_some_and(|seat| seat.leads(now)) {
            // Its claims would say "in progress" until their longest run is over; callers who ask
            // again elsewhere are told at once that the outcome is unknown.
            self.claims.settle(ClaimStep::NodeLost { node });
        }
        self.refresh_nodes(now);
        self.refresh_endpoints(now);
    }

    /// Takes over which nodes take callers.
    pub(crate) fn refresh_nodes(&mut self, now: ClockTime) {
        let nodes = self.open_nodes();
        self.route.set_nodes(&nodes);
        self.limiter.set_nodes(&nodes, now);
    }

    /// Takes over all endpoints.
    pub(crate) fn refresh_endpoints(&mut self, now: ClockTime) {
        let endpoints = self.membership.endpoints();
        let endpoints: Vec<EndpointId> = endpoints.map(|record| record.id).collect();
        for endpoint in endpoints {
            self.refresh_endpoint(endpoint, now);
        }
    }

    /// Takes over what membership and configuration say of an endpoint.
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
                .follow
                .config
                .drains_endpoint(&record.name, &record.zone),
        };
        self.route.upsert_endpoint(facts, exclusive_from);
    }

    /// Tells the route table that loads are as they were last told.
    ///
    /// Gossip tells only news, and the route table adds what was sent since the last digest to the
    /// load in it. Without this an idle endpoint with another home would look fuller with every
    /// request, until this node no longer asked for it at all.
    pub(crate) fn repeat_digests(&mut self) {
        let endpoints = self.membership.endpoints();
        let foreign = endpoints.filter(|record| record.home != self.node);
        let foreign: Vec<EndpointId> = foreign.map(|record| record.id).collect();
        for endpoint in foreign {
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

/// Whose mean an endpoint's load is compared with: endpoints that can do the same work.
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

/// Everything an endpoint can serve.
fn offers(record: &EndpointRecord) -> Vec<OfferKey> {
    let models = record.models.iter().flat_map(OfferKey::of_offer);
    let service = record.service.as_deref().map(OfferKey::service);
    models.chain(service).collect()
}
