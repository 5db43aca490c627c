use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;

/// Connection to a registry and the state received over it.
#[derive(Debug)]
pub(crate) struct RegistryLink {
    pub(crate) address: SocketAddr,
    /// Send queue; `None` while disconnected.
    pub(crate) queue: Option<LinkQueue>,
    /// Configuration version announced on this connection.
    pub(crate) version: Option<u64>,
    /// Number of voting registries that it reports; zero if it has not joined the group.
    pub(crate) voters: u32,
    /// Number of registries that it receives messages from, as it reports.
    pub(crate) hears: u32,
    /// Whether it has sent its complete set of endpoints on this connection.
    pub(crate) has_sent_all: bool,
    /// Whether this registry is the edge's home: the edge reports its loads and prefix locations to
    /// it and receives those of the other edges.
    ///
    /// Invariant: true for at most one link, and only while that link is connected.
    pub(crate) is_home: bool,
    /// In-flight requests of all edges that it reports, by endpoint.
    pub(crate) totals: HashMap<EndpointTag, u32>,
    /// This edge's in-flight requests as last reported to this registry.
    pub(crate) report: CountReport,
    /// Uses by customers that it reports, over all edges.
    pub(crate) customer_totals: BTreeMap<ShareKey, CustomerLoad>,
    /// This edge's uses by customers as last reported to this registry.
    pub(crate) customer_report: CustomerReport,
    /// Figures of endpoints as last reported to this registry.
    pub(crate) figure_report: FigureReport,
}

impl RegistryLink {
    /// Creates the link to a registry that is not connected yet.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            queue: None,
            version: None,
            voters: 0,
            hears: 0,
            has_sent_all: false,
            is_home: false,
            totals: HashMap::new(),
            report: CountReport::default(),
            customer_totals: BTreeMap::new(),
            customer_report: CustomerReport::default(),
            figure_report: FigureReport::default(),
        }
    }

    /// The registry as a candidate for this edge's home.
    pub(crate) fn home_candidate(&self) -> HomeCandidate {
        HomeCandidate {
            address: self.address,
            hears: self.hears,
            voters: self.voters,
        }
    }

    /// Clears the received state, after connecting (`Some`) or disconnecting (`None`).
    pub(crate) fn reset(&mut self, queue: Option<LinkQueue>) {
        *self = Self {
            queue,
            ..Self::new(self.address)
        };
    }

    /// Endpoints at which this registry reports requests, or this edge has reported some to it.
    pub(crate) fn loaded_endpoints(&self) -> impl Iterator<Item = EndpointTag> {
        self.totals.keys().copied().chain(self.report.endpoints())
    }

    /// In-flight requests of other edges at an endpoint, as reported by this registry.
    pub(crate) fn other_edges_load(&self, endpoint: EndpointTag) -> u32 {
        let total = self.totals.get(&endpoint).copied().unwrap_or(0);
        total.saturating_sub(self.report.count(endpoint))
    }
}
