//! Shares of customers while a service has too little room: reports of their use to the home
//! registry, and the sums that it sends back.

use std::collections::BTreeMap;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    edge_state::EdgeState,
    registry_link::RegistryLink, //
};

impl EdgeState {
    /// Reports changed uses by customers to the home registry, of services that have too little room
    /// here, so that requests are shed, or, as the sums tell, at another edge.
    pub(crate) fn send_customer_loads(&mut self, now: ClockTime) {
        let Self { links, gates, .. } = self;
        let Some(home) = links.values_mut().find(|link| link.is_home) else {
            return;
        };
        let mut current = BTreeMap::new();
        for (service, gate) in gates {
            let tag = ServiceTag::of(service);
            if gate.gate().is_shedding(now) || home.lacks_room(tag) {
                let loads = gate.customer_loads(tag, now);
                current.extend(loads.into_iter().map(|load| (ShareKey::from(&load), load)));
            }
        }
        let changes = home.customer_report.changes(&current);
        if let Some(queue) = home.queue.as_ref().filter(|_| !changes.is_empty()) {
            queue.send(&LinkMessage::CustomerLoads(changes));
        }
    }

    /// Applies changed sums of customers' uses over all edges.
    pub(crate) fn apply_customer_loads(
        &mut self,
        source: SourceKey,
        loads: &[CustomerLoad],
        now: ClockTime,
    ) {
        let Some(link) = self.links.get_mut(&source) else {
            return;
        };
        for load in loads {
            let key = ShareKey::from(load);
            match load.is_empty() {
                true => link.customer_totals.remove(&key),
                false => link.customer_totals.insert(key, *load),
            };
        }
        self.set_limits(now);
    }

    /// Returns what is known of the uses of a service by customers, or `None` while no edge reports
    /// any.
    pub(crate) fn share_inputs(&self, service: &str, now: ClockTime) -> Option<ShareInputs> {
        let tag = ServiceTag::of(service);
        let home = self.home()?;
        let totals: Vec<CustomerLoad> = home.customer_totals_of(tag).copied().collect();
        let gate = self.gates.get(service)?.gate();
        if totals.is_empty() {
            return None;
        }
        let reported = totals.iter().map(|total| {
            let load = home.customer_report.load(ShareKey::from(total));
            load.running
        });
        Some(ShareInputs {
            own: gate.customer_demands(now),
            own_running: reported.sum(),
            totals,
            weights: self.customer_weights.clone(),
        })
    }

    /// Use of a service by a customer over all edges; `None` while no edge reports any.
    pub(crate) fn fleet_use(&self, service: &str, customer: CustomerTag) -> Option<CustomerLoad> {
        let service = ServiceTag::of(service);
        let key = ShareKey { service, customer };
        self.home()?.customer_totals.get(&key).copied()
    }
}

/// Returns the weights of customers by their tags.
pub(crate) fn weights_by_tag(weights: &CustomerWeights) -> BTreeMap<CustomerTag, f64> {
    let weights = weights.weights.iter();
    weights
        .map(|(name, weight)| (CustomerTag::of(name), *weight))
        .collect()
}

/// Returns the customers with a weight that a configuration does not have.
pub(crate) fn unknown_customers<'a>(
    weights: &'a CustomerWeights,
    config: &SiteConfig,
) -> Vec<&'a str> {
    let known = || config.customers.iter().flatten();
    let names = weights.weights.keys().map(String::as_str);
    names
        .filter(|name| !known().any(|customer| customer.name == *name))
        .collect()
}

/// Returns the name of a customer in a configuration.
pub(crate) fn customer_of_tag(config: &SiteConfig, tag: CustomerTag) -> Option<&str> {
    let mut names = config.customers.iter().flatten().map(|rule| &rule.name);
    names
        .find(|name| CustomerTag::of(name) == tag)
        .map(String::as_str)
}

impl RegistryLink {
    /// Uses of a service by customers, over all edges.
    fn customer_totals_of(&self, service: ServiceTag) -> impl Iterator<Item = &CustomerLoad> {
        let bound = |customer| ShareKey {
            service,
            customer: CustomerTag(customer),
        };
        let range = self.customer_totals.range(bound(0)..=bound(u32::MAX));
        range.map(|(_, load)| load)
    }

    /// Whether customers want more of a service than they have, over all edges.
    fn lacks_room(&self, service: ServiceTag) -> bool {
        let mut totals = self.customer_totals_of(service);
        totals.any(|load| load.wanted > load.running)
    }
}
