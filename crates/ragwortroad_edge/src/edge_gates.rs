//! Inputs of the admission gates: time already spent, and the load of the fleet.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    edge_state::EdgeState,
    gate_permit::charged_customer,
    request_plan::RequestPlan,
    service_gate::ServiceGate, //
};

/// Maximum number of routes whose deadline estimate is kept; each takes about a hundred bytes.
const MAX_DEADLINE_ESTIMATES: usize = 5000;

impl EdgeState {
    /// Estimates how long the client has already waited elsewhere, from its remaining time.
    pub(crate) fn time_spent(&mut self, plan: &RequestPlan) -> Duration {
        let Some(time_left) = plan.metadata.time_left else {
            return Duration::ZERO;
        };
        // Routes come and go with configurations, and the estimates are learned again quickly.
        if self.deadline_estimates.len() > MAX_DEADLINE_ESTIMATES {
            self.deadline_estimates.clear();
        }
        let estimate = self.deadline_estimates.entry(plan.rule().name.clone());
        estimate.or_default().note(time_left)
    }

    /// Position of a request in the order in which gates admit.
    pub(crate) fn lead_order(
        &mut self,
        plan: &RequestPlan,
        mechanisms: &MechanismSettings,
    ) -> LeadOrder {
        LeadOrder {
            customer: charged_customer(mechanisms, plan.customer_name()),
            rank: plan.map.request_rank(plan.route, plan.customer),
            is_late: mechanisms.late_last && self.time_spent(plan) >= plan.rule().target,
        }
    }

    /// Returns the gate of a service, with a limit derived from the current load.
    pub(crate) fn gate_mut(&mut self, service: &str, now: ClockTime) -> &mut ServiceGate {
        let gate = self.gates.get(service);
        let is_due = gate.is_none_or(ServiceGate::is_limit_outdated);
        let fleet = is_due.then(|| self.fleet_load(service, now)).flatten();
        let inputs = is_due.then(|| self.share_inputs(service, now)).flatten();
        let is_brittle = self.brittle.contains(service);
        let shares = inputs.as_ref().zip(fleet.filter(|_| !is_brittle));
        let shares = shares.and_then(|(inputs, fleet)| CustomerShares::of(inputs, &fleet));
        let limit = fleet.map(|fleet| match (is_brittle, &shares) {
            (true, _) => fleet.brittle_limit(rand::random()),
            (false, Some(shares)) => shares.limit,
            (false, None) => fleet.own_limit(),
        });
        let limit = limit.or_else(|| self.kept_limit(service));
        let scales = match inputs {
            Some(inputs) => inputs.scales(self.edges),
            None => self.customer_weights.clone(),
        };
        let gates = self.gates.entry(service.to_owned());
        let gate = gates.or_insert_with(|| ServiceGate::new(now));
        if is_due {
            gate.set_shares(shares, scales);
            gate.update_limit(limit, now);
        }
        gate
    }

    /// Updates the concurrency limit of each service from the load of the fleet.
    ///
    /// Computing a limit reads all endpoints of the service, so one without queued requests gets its
    /// limit with its next request.
    pub(crate) fn set_limits(&mut self, now: ClockTime) {
        let map = self.map.clone();
        let is_known = |service: &str| {
            map.as_ref()
                .is_some_and(|map| map.service(service).is_some())
        };
        // Services come and go with configurations, while requests for them may still be in flight.
        self.gates
            .retain(|service, gate| gate.is_used() || is_known(service));
        let mut queued = Vec::new();
        for (service, gate) in &mut self.gates {
            gate.mark_limit_outdated(now);
            if gate.gate().waiting() > 0 {
                queued.push(service.clone());
            }
        }
        for service in queued {
            self.gate_mut(&service, now);
        }
    }

    /// Load of a service's endpoints; `None` for a service without engines, unless it is brittle, and
    /// if no endpoint is known.
    fn fleet_load(&self, service: &str, now: ClockTime) -> Option<FleetLoad> {
        let rule = self.map.as_ref()?.service(service)?;
        if rule.engine.is_none() && !self.brittle.contains(service) {
            return None;
        }
        let reachable = self.reachable_domains();
        let home = self.home();
        let active = self.active_endpoints(service);
        let open = self
            .available_endpoints(service)
            .filter(|(position, endpoint)| {
                let load = active
                    .contains(*position)
                    .then(|| self.loads.get(&endpoint.key));
                let is_open = load.flatten().is_none_or(|load| load.is_available(now));
                is_open && !self.is_resting(endpoint, now) && reachable.contains(endpoint.domain)
            });
        let usages = open.map(|(position, endpoint)| {
            let is_warming = rule.warmup_per_second.is_some() && endpoint.is_warming(now);
            let slots = usable_slots(endpoint.slots, is_warming);
            if !active.contains(position) {
                return EndpointUsage::idle(slots);
            }
            let own = home.map_or(0, |home| home.report.count(endpoint.tag));
            let other_edges = home.map_or(0, |home| home.other_edges_load(endpoint.tag));
            let load = self.loads.get(&endpoint.key);
            EndpointUsage {
                slots,
                total: other_edges + own,
                own,
                failure_rate: load.map_or(0.0, |load| load.failure_rate(now)),
            }
        });
        let usages: Vec<EndpointUsage> = usages.collect();
        FleetLoad::of(&usages, self.edges)
    }
}
