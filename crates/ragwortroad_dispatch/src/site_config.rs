use std::{
    collections::HashSet,
    time::Duration, //
};

use crate::ConfigFault;

/// The whole configuration of a site, as declared by its operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Version of the declaration; the highest one is in force.
    pub version: u64,
    /// Rules that map requests to services.
    pub routes: Vec<RouteRule>,
    /// Services that the routes refer to.
    pub services: Vec<ServiceRule>,
    /// Limits on clients' requests.
    pub limits: ClientLimits,
    /// Customers that may send requests; `None` if no key is required.
    pub customers: Option<Vec<CustomerRule>>,
}

/// Rule for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name for logs.
    pub name: String,
    /// Host header that clients send, in lower case and without a port.
    pub host: String,
    /// Prefix of the path.
    pub path_prefix: String,
    /// Whether requests may be retried.
    pub kind: RequestKind,
    /// Longest time that a request waits for a response.
    pub timeout: Duration,
    /// Latency target: time within which a response is on time.
    pub target: Duration,
    /// Longest gap between two events of a stream that is on time; `None` if there is no target.
    pub target_pause: Option<Duration>,
    /// Priority; 0 is served first.
    pub rank: u8,
    /// Services that share the requests by weight.
    pub targets: Vec<RouteTarget>,
    /// Largest number of endpoints to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Whether an interrupted stream may be resumed at another endpoint after its last event.
    pub is_resumable: bool,
}

/// Retry semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent; may be retried.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// An event stream, which runs at most once unless it can be resumed.
    Stream,
}

/// Weighted target of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the route's other targets.
    pub weight: f64,
}

/// Declaration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name under which endpoints announce themselves.
    pub name: String,
    /// Connections that one endpoint accepts from all edges together.
    pub max_connections: u32,
    /// Requests per second that an endpoint tolerates while it warms up; `None` if there is no
    /// limit.
    pub warmup_per_second: Option<f64>,
    /// Parameters of a model engine; `None` for a plain service.
    pub engine: Option<EngineRule>,
}

/// Parameters of the model engines of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests processed concurrently.
    pub slots: u32,
    /// Tokens that fit into the engine's cache memory.
    pub memory_tokens: u64,
    /// Tokens per event of a stream.
    pub event_tokens: u32,
    /// Bytes of cache memory per token; 0 if unknown.
    pub token_bytes: f64,
    /// Speed of the links for cache transfers between engines in megabits per second; 0 if there
    /// are none.
    pub link_mbps: f64,
}

/// Size limits and timeouts for clients' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest size of a request's head in bytes; a connection keeps the limit that was in force
    /// when it was opened.
    pub max_head_bytes: usize,
    /// Largest size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request's head to its last.
    pub head_timeout: Duration,
    /// Longest idle time between two requests on one connection.
    pub idle_timeout: Duration,
}

impl ClientLimits {
    /// Longest time from one request on a connection to the end of the next one's head.
    pub fn request_interval(&self) -> Duration {
        self.idle_timeout + self.head_timeout
    }
}

impl Default for ClientLimits {
    /// Limits for documents without any: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A customer and its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRule {
    /// Name, which endpoints receive in place of the key.
    pub name: String,
    /// API keys of the customer.
    pub keys: Vec<String>,
    /// Priority of all its requests, which overrides the route's; `None` if it has none.
    pub rank: Option<u8>,
}

impl RouteRule {
    /// Returns whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Safe => true,
            RequestKind::Unsafe => false,
            RequestKind::Stream => self.is_resumable,
        }
    }
}

impl SiteConfig {
    /// Validates the declaration.
    ///
    /// # Errors
    ///
    /// Fails if a route refers to an undeclared service, duplicates another one, or has no weight
    /// or timeout, or if two customers share a key.
    pub fn check(&self) -> Result<(), ConfigFault> {
        let services: HashSet<&str> = self
            .services
            .iter()
            .map(|rule| rule.name.as_str())
            .collect();
        let mut host_paths = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !host_paths.insert((&route.host, &route.path_prefix)) {
                return Err(ConfigFault::DuplicateRoute {
                    route: route.name.clone(),
                });
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), ConfigFault> {
        let mut keys = HashSet::new();
        for customer in self.customers.iter().flatten() {
            // A key listed twice for one customer is not ambiguous.
            let own: HashSet<&str> = customer.keys.iter().map(String::as_str).collect();
            for key in own {
                if !keys.insert(key) {
                    return Err(ConfigFault::SharedKey {
                        customer: customer.name.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}

fn check_route(route: &RouteRule, services: &HashSet<&str>) -> Result<(), ConfigFault> {
    let name = || route.name.clone();
    for target in &route.targets {
        if !services.contains(target.service.as_str()) {
            return Err(ConfigFault::UnknownService {
                route: name(),
                service: target.service.clone(),
            });
        }
    }
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    if total.is_nan() || total <= 0.0 || route.targets.iter().any(|target| target.weight < 0.0) {
        return Err(ConfigFault::NoWeight { route: name() });
    }
    if route.timeout.is_zero() {
        return Err(ConfigFault::NoTimeout { route: name() });
    }
    Ok(())
}
