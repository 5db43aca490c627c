use std::time::Duration;

use ragwortroad_settings::prelude::*;
use ragwortroad_standin::prelude::*;

/// Configuration of a small fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of nodes that are members of the replicated state; must be odd.
    pub members: usize,
    /// Zones, assigned to nodes and endpoints in turn.
    pub zones: Vec<String>,
    /// Number of stand-in engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub services: usize,
    /// The model that all engines serve.
    pub model: String,
    /// Name of the plain service.
    pub service: String,
    /// Names of the customers; a customer's API key is `key-of-NAME`.
    pub customers: Vec<String>,
    /// Rate limit of each customer, in requests per second.
    pub customer_rate_limit: u32,
    /// Settings of the engines; the fleet overrides name, zone, model, node addresses, join secret
    /// and incarnation.
    pub engine: EngineSettings,
    /// Settings of the service's replicas; the fleet overrides name, service, zone, node addresses,
    /// join secret and incarnation.
    pub replica: ServiceSettings,
    /// The nodes' `follow_bound_ms` setting.
    pub follow_bound: Duration,
    /// The nodes' `lease_ms` setting.
    pub lease: Duration,
    /// The nodes' `[orders]` settings.
    pub orders: EngineOrderSettings,
}

impl Default for FleetPlan {
    fn default() -> Self {
        let name = |zone: char| format!("zone-{zone}");
        Self {
            nodes: 3,
            members: 3,
            zones: ('a'..='c').map(name).collect(),
            engines: 6,
            services: 2,
            model: "caption-llm".to_owned(),
            service: "studio-desk".to_owned(),
            customers: (1..=6).map(|number| format!("studio-{number}")).collect(),
            customer_rate_limit: 1000,
            engine: EngineSettings::default(),
            replica: ServiceSettings::default(),
            follow_bound: Duration::from_secs(3),
            lease: Duration::from_millis(1200),
            orders: EngineOrderSettings::default(),
        }
    }
}

impl FleetPlan {
    /// Returns the zone of the endpoint or node with this number.
    pub(crate) fn zone(&self, number: usize) -> String {
        let count = self.zones.len().max(1);
        let zone = self.zones.get(number % count);
        zone.cloned().unwrap_or_else(|| "zone".to_owned())
    }

    /// Returns the API key of a customer.
    pub fn key_of(customer: &str) -> String {
        format!("key-of-{customer}")
    }
}
