use std::time::Duration;

use ragwortroad_settings::prelude::*;
use ragwortroad_standin::prelude::*;

/// What a small fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Nodes.
    pub nodes: usize,
    /// How many of them hold state; odd.
    pub members: usize,
    /// Zones, which nodes and endpoints are spread over.
    pub zones: Vec<String>,
    /// Engines.
    pub engines: usize,
    /// Replicas of the plain service.
    pub services: usize,
    /// The engines' model.
    pub model: String,
    /// The plain service.
    pub service: String,
    /// Customers, by name; each one's key is `key-of-NAME`.
    pub customers: Vec<String>,
    /// Requests a second that each customer may send.
    pub customer_rate_limit: u32,
    /// What the engines are like; name, zone and addresses are filled in.
    pub engine: EngineSettings,
    /// What the service's replicas are like; name, zone and addresses are filled in.
    pub replica: ServiceSettings,
    /// `follow_bound_ms` of the nodes.
    pub follow_bound: Duration,
    /// `lease_ms` of the nodes.
    pub lease: Duration,
    /// `[orders]` of the nodes.
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
    /// The zone of the endpoint or node with this number.
    pub(crate) fn zone(&self, number: usize) -> String {
        let count = self.zones.len().max(1);
        let zone = self.zones.get(number % count);
        zone.cloned().unwrap_or_else(|| "zone".to_owned())
    }

    /// The key of a customer.
    pub fn key_of(customer: &str) -> String {
        format!("key-of-{customer}")
    }
}
