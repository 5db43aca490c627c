use std::collections::HashMap;

use crate::{
    RouteRule,
    SiteConfig, //
};

/// Index of a route in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(pub usize);

/// Index of a customer in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CustomerKey(pub usize);

/// Urgency of a request; the least goes first.
///
/// Operators give most customers the same rank, which hides those of the routes: without the second
/// part a tag of half a second would take the place of a draft, and the other way round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestRank {
    /// The customer's rank, or the route's where the customer has none.
    pub declared: u8,
    /// The route's rank.
    pub route: u8,
}

/// One configuration, indexed for looking requests up.
#[derive(Debug, Default)]
pub struct RouteMap {
    config: SiteConfig,
    /// Routes of each host.
    ///
    /// Invariant: the longest prefix comes first.
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<String, CustomerKey>,
    services: HashMap<String, usize>,
}

impl RouteMap {
    /// Indexes a configuration that was checked.
    pub fn new(config: SiteConfig) -> Self {
        let mut map = Self {
            config,
            ..Self::default()
        };
        for (index, route) in map.config.routes.iter().enumerate() {
            let host = map.hosts.entry(route.host.clone()).or_default();
            host.push(RouteKey(index));
        }
        let routes = &map.config.routes;
        for keys in map.hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[key.0].path_prefix.len()));
        }
        for (index, customer) in map.config.customers.iter().flatten().enumerate() {
            for key in &customer.keys {
                map.keys.insert(key.clone(), CustomerKey(index));
            }
        }
        for (index, service) in map.config.services.iter().enumerate() {
            map.services.insert(service.name.clone(), index);
        }
        map
    }

    /// The configuration itself.
    pub fn config(&self) -> &SiteConfig {
        &self.config
    }

    /// The route of a request: the longest prefix of its host that begins its path.
    ///
    /// `host` may carry a port and any case.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let fits = |key: &&RouteKey| path.starts_with(&self.route(**key).path_prefix);
        routes.iter().find(fits).copied()
    }

    /// A route found before.
    pub fn route(&self, key: RouteKey) -> &RouteRule {
        &self.config.routes[key.0]
    }

    /// Whether requests need a key at all.
    pub fn requires_keys(&self) -> bool {
        self.config.customers.is_some()
    }

    /// Whose key this is.
    pub fn customer_of(&self, key: &str) -> Option<CustomerKey> {
        self.keys.get(key).copied()
    }

    /// Name of a customer.
    pub fn customer_name(&self, key: CustomerKey) -> Option<&str> {
        let customers = self.config.customers.as_ref()?;
        customers.get(key.0).map(|rule| rule.name.as_str())
    }

    /// Urgency of a request, also among requests of customers that are equally urgent.
    pub fn request_rank(&self, route: RouteKey, customer: Option<CustomerKey>) -> RequestRank {
        RequestRank {
            declared: self.rank(route, customer),
            route: self.route(route).rank,
        }
    }

    /// Urgency of a request: the customer's own goes before the route's.
    pub fn rank(&self, route: RouteKey, customer: Option<CustomerKey>) -> u8 {
        let customers = self.config.customers.as_ref();
        let rule = customer.and_then(|key| customers?.get(key.0));
        rule.and_then(|rule| rule.rank)
            .unwrap_or(self.route(route).rank)
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&crate::ServiceRule> {
        let index = self.services.get(name)?;
        self.config.services.get(*index)
    }

    /// The service that a draw between 0 and 1 selects among a route's targets.
    pub fn draw_target(&self, key: RouteKey, draw: f64) -> &str {
        let targets = &self.route(key).targets;
        let total: f64 = targets.iter().map(|target| target.weight).sum();
        let mut left = draw * total;
        let mut chosen = "";
        for target in targets.iter().filter(|target| target.weight > 0.0) {
            chosen = &target.service;
            left -= target.weight;
            if left < 0.0 {
                break;
            }
        }
        chosen
    }
}
