use std::{
    collections::HashMap,
    net::SocketAddr, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;

/// A registry as an edge knows it.
#[derive(Debug)]
pub(crate) struct RegistryLink {
    pub(crate) address: SocketAddr,
    /// Takes what it is told, while it is connected.
    pub(crate) queue: Option<LinkQueue>,
    /// Version that it has announced on this connection.
    pub(crate) version: Option<u64>,
    /// Voters among the registries by its word; none where it has not joined the group.
    pub(crate) voters: u32,
    /// Registries that it hears by its word.
    pub(crate) hears: u32,
    /// Whether it has told all that it knows on this connection.
    pub(crate) has_sent_all: bool,
    /// Whether this edge takes it for its home: tells it its loads and places of texts, and hears
    /// those of the other edges from it.
    ///
    /// Invariant: of one link at most, and only while that is connected.
    pub(crate) is_home: bool,
    /// Requests of all edges by its word, by endpoint.
    pub(crate) totals: HashMap<EndpointTag, u32>,
    /// This edge's own requests as it told this registry last.
    pub(crate) report: CountReport,
}

impl RegistryLink {
    /// The link to a registry that is not connected yet.
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
        }
    }

    /// The registry as it may be this edge's home.
    pub(crate) fn home_candidate(&self) -> HomeCandidate {
        HomeCandidate {
            address: self.address,
            hears: self.hears,
            voters: self.voters,
        }
    }

    /// Starts anew, with a connection or without.
    pub(crate) fn reset(&mut self, queue: Option<LinkQueue>) {
        *self = Self {
            queue,
            ..Self::new(self.address)
        };
    }

    /// Requests of other edges at an endpoint, as far as this registry tells.
    pub(crate) fn other_edges_load(&self, endpoint: EndpointTag) -> u32 {
        let total = self.totals.get(&endpoint).copied().unwrap_or(0);
        total.saturating_sub(self.report.count(endpoint))
    }
}
