//! Scarce services as one edge knows them: which are contended, and what this edge keeps.

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    request_plan::RequestPlan, //
};

/// Whether the settings allow leading requests to keepers.
pub(crate) fn may_lead(mechanisms: &MechanismSettings) -> bool {
    mechanisms.place_keepers && mechanisms.relay && mechanisms.admission
}

impl EdgeState {
    /// Ready endpoints of a service if it is scarce, nothing otherwise.
    ///
    /// Engines and brittle endpoints have limits from the counts that edges exchange.
    pub(crate) fn scarce_endpoints(
        &self,
        service: &str,
        now: ClockTime,
    ) -> Vec<ScarceEndpoint<'_>> {
        let rule = self.map.as_ref().and_then(|map| map.service(service));
        let is_plain = rule.is_some_and(|rule| rule.engine.is_none());
        if !is_plain || self.brittle.contains(service) {
            return Vec::new();
        }
        let slots = self.available_endpoints(service);
        if !is_scarce(slots.map(|(_, endpoint)| endpoint.slots), self.edges) {
            return Vec::new();
        }
        let endpoints = self.available_endpoints(service);
        let endpoints = endpoints.filter_map(|(_, endpoint)| {
            let record = self.endpoints.record(endpoint.key)?;
            let load = self.loads.get(&endpoint.key);
            Some(ScarceEndpoint {
                endpoint: endpoint.tag,
                zone: &record.zone,
                slots: endpoint.slots,
                failure_rate: load.map_or(0.0, |load| load.failure_rate(now)),
            })
        });
        endpoints.collect()
    }

    /// Limit on requests to the endpoints of a service that this edge keeps; `None` if it keeps
    /// none.
    pub(crate) fn kept_limit(&self, service: &str) -> Option<f64> {
        if self.keepers.kept_count() == 0 {
            return None;
        }
        let kept = self.available_endpoints(service);
        let kept = kept.filter(|(_, endpoint)| self.keepers.keeps(endpoint.tag));
        let limit: u32 = kept.map(|(_, endpoint)| keeper_limit(endpoint.slots)).sum();
        (limit > 0).then_some(f64::from(limit))
    }

    /// Records that requests for an endpoint are led to this edge.
    pub(crate) fn note_kept(&mut self, service: &str, endpoint: EndpointTag, now: ClockTime) {
        if !self.keepers.note_kept(endpoint, now) {
            return;
        }
        let key = self.endpoints.find(endpoint);
        let record = key.and_then(|key| self.endpoints.record(key));
        let name = record.map(|record| record.name.as_str());
        tracing::info!(service, endpoint = name, "keeps the places of an endpoint");
        if let Some(gate) = self.gates.get_mut(service) {
            gate.mark_limit_outdated(now);
        }
    }

    /// Records a sign that a service has too little room, if it is scarce.
    fn note_contended(&mut self, service: &str, sign: &str, now: ClockTime) {
        if self.scarce_endpoints(service, now).is_empty() {
            return;
        }
        if self.keepers.note_contended(service, now) {
            tracing::info!(service, sign, edges = self.edges, "service is contended");
        }
    }

    /// Looks for contended services, requests the edges that may keep places, and removes what is
    /// out of date; to be called several times per second.
    pub(crate) fn update_keepers(&mut self, now: ClockTime) {
        let Some(map) = self.map.clone() else {
            return;
        };
        for rule in &map.config().services {
            if rule.engine.is_none() && self.is_overcommitted(&rule.name, now) {
                self.note_contended(&rule.name, "more requests than places", now);
            }
        }
        for service in self.keepers.expire(now) {
            tracing::info!(service, "service is no longer contended");
            if let Some(gate) = self.gates.get_mut(&service) {
                gate.forget_latencies(now);
            }
        }
        if self.keepers.take_request(now) {
            let connected = self.links.values().find(|link| link.queue.is_some());
            let link = self.home().or(connected);
            if let Some(queue) = link.and_then(|link| link.queue.as_ref()) {
                queue.send(&LinkMessage::WantKeepers);
            }
        }
    }

    /// Whether all edges together have more requests at a scarce service than run there.
    fn is_overcommitted(&self, service: &str, now: ClockTime) -> bool {
        let endpoints = self.scarce_endpoints(service, now);
        let home = self.home();
        let total = endpoints.iter().map(|endpoint| {
            let others = home.map_or(0, |home| home.other_edges_load(endpoint.endpoint));
            let key = self.endpoints.find(endpoint.endpoint);
            let own = key.and_then(|key| self.loads.get(&key));
            others + own.map_or(0, EndpointLoad::own)
        });
        let slots = endpoints.iter().map(|endpoint| endpoint.slots).sum();
        is_overcommitted(total.sum(), slots)
    }
}

/// Records a sign that the service of a request has too little room.
pub(crate) fn note_contended(shared: &EdgeShared, service: &str, sign: &str) {
    if may_lead(&shared.settings.mechanisms) {
        let now = shared.now();
        shared.state.borrow_mut().note_contended(service, sign, now);
    }
}

/// Records that another edge leads a request to this one, which keeps the endpoint from then on.
pub(crate) fn accept_led(shared: &EdgeShared, plan: &RequestPlan) {
    if let Some(endpoint) = led_to(shared, plan) {
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        state.note_kept(&plan.service, endpoint, now);
    }
}

/// The endpoint for which another edge has led a request to this one.
pub(crate) fn led_to(shared: &EdgeShared, plan: &RequestPlan) -> Option<EndpointTag> {
    let led_to = plan.relay.as_ref().and_then(|relay| relay.led_to);
    led_to.filter(|_| may_lead(&shared.settings.mechanisms))
}
