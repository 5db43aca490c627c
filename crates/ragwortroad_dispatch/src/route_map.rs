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

/// Priority of a request; the lowest value is served first.
///
/// Operators give most customers the same rank, which hides the ranks of the routes. Without the
/// second field, all routes would compete as equals: a request to generate a tag, which takes half
/// a second, could take the slot of a request for a long draft, and vice versa.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestRank {
    /// The customer's rank, or the route's if the customer has none.
    pub declared: u8,
    /// The route's rank.
    pub route: u8,
}

/// A configuration with indexes for matching requests.
#[derive(Debug, Default)]
pub struct RouteMap {
    config: SiteConfig,
    /// Routes of each host.
    ///
    /// Invariant: sorted by descending length of the path prefix.
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<String, CustomerKey>,
    services: HashMap<String, usize>,
}

impl RouteMap {
    /// Indexes a configuration, which has to pass [`SiteConfig::check`].
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

    /// Returns the indexed configuration.
    pub fn config(&self) -> &SiteConfig {
        &self.config
    }

    /// Returns the route with the longest path prefix that matches a request, or `None` if no route
    /// of the host matches.
    ///
    /// `host` may include a port and is not case sensitive.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let matches = |key: &&RouteKey| path.starts_with(&self.route(**key).path_prefix);
        routes.iter().find(matches).copied()
    }

    /// Returns the rule of a route of this configuration.
    ///
    /// # Panics
    ///
    /// Panics if the key is out of range.
    pub fn route(&self, key: RouteKey) -> &RouteRule {
        &self.config.routes[key.0]
    }

    /// Returns whether the configuration declares customers, so that requests need a key.
    pub fn requires_keys(&self) -> bool {
        self.config.customers.is_some()
    }

    /// Returns the customer to whom a key belongs, or `None` if the key is unknown.
    pub fn customer_of(&self, key: &str) -> Option<CustomerKey> {
        self.keys.get(key).copied()
    }

    /// Returns the name of a customer, or `None` if it is not part of this configuration.
    pub fn customer_name(&self, key: CustomerKey) -> Option<&str> {
        let customers = self.config.customers.as_ref()?;
        customers.get(key.0).map(|rule| rule.name.as_str())
    }

    /// Returns the priority of a request, with the route's rank as tie-breaker among equal
    /// customers.
    pub fn request_rank(&self, route: RouteKey, customer: Option<CustomerKey>) -> RequestRank {
        RequestRank {
            declared: self.rank(route, customer),
            route: self.route(route).rank,
        }
    }

    /// Returns the declared rank of a request: the customer's, or the route's if the customer has
    /// none.
    pub fn rank(&self, route: RouteKey, customer: Option<CustomerKey>) -> u8 {
        let customers = self.config.customers.as_ref();
        let rule = customer.and_then(|key| customers?.get(key.0));
        rule.and_then(|rule| rule.rank)
            .unwrap_or(self.route(route).rank)
    }

    /// Returns the rule of a service, or `None` if it is not declared.
    pub fn service(&self, name: &str) -> Option<&crate::ServiceRule> {
        let index = self.services.get(name)?;
        self.config.services.get(*index)
    }

    /// Selects one of a route's target services by weight; `draw` is a random number between 0 and
    /// 1.
    pub fn draw_target(&self, key: RouteKey, draw: f64) -> &str {
        let targets = &self.route(key).targets;
        let total: f64 = targets.iter().map(|target| target.weight).sum();
        let mut remaining = draw * total;
        let mut chosen = "";
        for target in targets.iter().filter(|target| target.weight > 0.0) {
            chosen = &target.service;
            remaining -= target.weight;
            if remaining < 0.0 {
                break;
            }
        }
        chosen
    }
}
