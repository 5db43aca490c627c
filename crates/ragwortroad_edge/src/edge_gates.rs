//! What an edge knows for the gates of its services.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    edge_state::EdgeState,
    request_plan::RequestPlan,
    service_gate::ServiceGate, //
};

/// Routes whose callers' times are remembered; each takes about a hundred bytes.
const MAX_USUAL_TIMEOUTS: usize = 5000;

impl EdgeState {
    /// How long a request's caller has waited elsewhere, by the time that it has left.
    pub(crate) fn time_spent(&mut self, plan: &RequestPlan) -> Duration {
        let Some(time_left) = plan.facts.time_left else {
            return Duration::ZERO;
        };
        // Routes come and go with configurations; the figures are learned again in a moment.
        if self.usual_timeouts.len() > MAX_USUAL_TIMEOUTS {
            self.usual_timeouts.clear();
        }
        let usual_timeout = self.usual_timeouts.entry(plan.rule().name.clone());
        usual_timeout.or_default().note(time_left)
    }

    /// The gate of a service; a new one knows the service's limit from the start.
    pub(crate) fn gate_mut(&mut self, service: &str, now: ClockTime) -> &mut ServiceGate {
        let is_new = !self.gates.contains_key(service);
        let fleet = is_new.then(|| self.fleet_load(service, now)).flatten();
        let gates = self.gates.entry(service.to_owned());
        gates.or_insert_with(|| {
            let mut gate = ServiceGate::new(now);
            gate.update_limit(fleet, now);
            gate
        })
    }

    /// Limits what this edge has under way at each service, by what is known of the fleet.
    pub(crate) fn set_limits(&mut self, now: ClockTime) {
        let map = self.map.clone();
        let is_known = |service: &str| {
            map.as_ref()
                .is_some_and(|map| map.service(service).is_some())
        };
        // Services come and go with configurations, while requests for them are still under way.
        self.gates
            .retain(|service, gate| gate.is_used() || is_known(service));
        let services: Vec<String> = self.gates.keys().cloned().collect();
        for service in services {
            let fleet = self.fleet_load(&service, now);
            if let Some(gate) = self.gates.get_mut(&service) {
                gate.update_limit(fleet, now);
            }
        }
    }

    /// What is known of all requests at a service's engines; nothing for a plain service, and where
    /// no engine is known.
    fn fleet_load(&self, service: &str, now: ClockTime) -> Option<FleetLoad> {
        let rule = self.map.as_ref()?.service(service)?;
        rule.engine.as_ref()?;
        let open = self.available_endpoints(service).filter(|(key, record)| {
            let load = self.loads.get(key);
            let is_open = load.is_none_or(|load| load.is_open(now));
            is_open && self.reach.is_reachable(&record.zone)
        });
        let shares = open.map(|(key, record)| {
            let own = self.reported_load(&record.name);
            let load = self.loads.get(&key);
            let is_warming =
                rule.warmup_per_second.is_some() && self.endpoints.is_warming(key, now);
            EndpointShare {
                slots: usable_slots(record.slots, is_warming),
                total: self.other_edges_load(&record.name) + own,
                own,
                failing: load.map_or(0.0, |load| load.failing(now)),
            }
        });
        let shares: Vec<EndpointShare> = shares.collect();
        FleetLoad::of(&shares, self.edges)
    }
}
