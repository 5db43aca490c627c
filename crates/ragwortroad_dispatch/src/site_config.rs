use std::{
    collections::HashSet,
    time::Duration, //
};

use crate::ConfigFault;

/// A whole configuration of a site, as declared by its operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Number of the declaration; the highest one is in force.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<RouteRule>,
    /// What answers them.
    pub services: Vec<ServiceRule>,
    /// What a caller may send.
    pub limits: CallerLimits,
    /// Who may send; nothing where no key is asked for.
    pub customers: Option<Vec<CustomerRule>>,
}

/// Requests of one host below one path.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: String,
    /// Host that callers name, in lower case and without a port.
    pub host: String,
    /// Beginning of the path.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub target: Duration,
    /// Longest pause between two events of a stream that is on time.
    pub target_pause: Option<Duration>,
    /// Urgency; 0 comes first.
    pub rank: u8,
    /// Services that share the requests, by weight.
    pub targets: Vec<RouteTarget>,
    /// Endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub is_open: bool,
    /// Whether an interrupted stream may go on elsewhere behind its last event.
    pub is_resumable: bool,
}

/// What a failure allows with requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent.
    Safe,
    /// Runs once at most.
    Unsafe,
    /// A stream of events; runs once at most unless it can be resumed.
    Stream,
}

/// One of the services behind a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: String,
    /// Share of the requests, relative to the route's other targets.
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name under which endpoints announce themselves.
    pub name: String,
    /// Connections that one endpoint takes from all callers together.
    pub max_connections: u32,
    /// Requests a second that an endpoint tolerates while it warms up; nothing where any number.
    pub warmup_per_second: Option<f64>,
    /// Figures of a model engine; nothing for a plain service.
    pub engine: Option<EngineRule>,
}

/// Figures of the engines of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into memory.
    pub memory_tokens: u64,
    /// Tokens that one event of a stream holds.
    pub event_tokens: u32,
    /// Bytes of memory that one token takes; 0 where it is not told.
    pub token_bytes: f64,
    /// Speed of the links over which engines copy each other's memory, in megabits a second; 0
    /// where they cannot.
    pub link_mbps: f64,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// From the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Between two requests on one connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits for a document that names none: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A customer and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRule {
    /// Name, told to endpoints in place of the key.
    pub name: String,
    /// Keys that stand for it.
    pub keys: Vec<String>,
    /// Urgency of all its requests; goes before the route's.
    pub rank: Option<u8>,
}

impl RouteRule {
    /// Whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Safe => true,
            RequestKind::Unsafe => false,
            RequestKind::Stream => self.is_resumable,
        }
    }
}

impl SiteConfig {
    /// Refuses a declaration that contradicts itself.
    pub fn check(&self) -> Result<(), ConfigFault> {
        let services: HashSet<&str> = self
            .services
            .iter()
            .map(|rule| rule.name.as_str())
            .collect();
        let mut places = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !places.insert((&route.host, &route.path_prefix)) {
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
            // A key that stands twice with one customer leaves no doubt whose it is.
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
