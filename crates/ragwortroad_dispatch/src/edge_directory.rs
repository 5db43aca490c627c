use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::{
        IpAddr,
        SocketAddr, //
    }, //
};

use ragwortroad_types::prelude::*;

use crate::{
    address_choice::choose_addresses,
    edge_discovery::{
        DirectoryError,
        EdgeDiscovery, //
    },
    edge_view::EdgeView, //
};

/// Edges that callers are known of, by the word of all registries.
///
/// An edge that any connected registry calls ready is known: a registry that is cut off from edges
/// has lost them without their being gone. Answers the loss of the registries of a whole failure
/// domain, and of all of them for a while.
#[derive(Debug)]
pub struct EdgeDirectory {
    discovery: EdgeDiscovery,
    /// The last word of each registry, by where it listens.
    ///
    /// Invariant: a registry that is not connected has one only while none is connected that has
    /// known.
    views: BTreeMap<SocketAddr, RegistryView>,
}

/// The word of one registry.
#[derive(Debug)]
struct RegistryView {
    view: EdgeView,
    is_connected: bool,
}

impl EdgeDirectory {
    /// A directory that starts now and knows no edge.
    pub fn new(now: ClockTime) -> Self {
        Self {
            discovery: EdgeDiscovery::new(now),
            views: BTreeMap::new(),
        }
    }

    /// A registry tells what it knows.
    pub fn note_view(&mut self, registry: SocketAddr, view: EdgeView, now: ClockTime) {
        if view.edges > self.edges() {
            self.discovery.note_joined(now);
        }
        let known = RegistryView {
            view,
            is_connected: true,
        };
        self.views.insert(registry, known);
        self.views.retain(|_, known| known.is_connected);
    }

    /// The connection to a registry has ended.
    pub fn note_lost(&mut self, registry: SocketAddr) {
        if let Some(known) = self.views.get_mut(&registry) {
            known.is_connected = false;
        }
        if self.views.values().any(|known| known.is_connected) {
            self.views.retain(|_, known| known.is_connected);
        }
    }

    /// At most `most` edges for a caller that asks from an address.
    pub fn find(
        &self,
        asker: IpAddr,
        most: usize,
        now: ClockTime,
    ) -> Result<Vec<SocketAddr>, DirectoryError> {
        let ready = self.views.values().flat_map(|known| &known.view.ready);
        let ready: BTreeSet<SocketAddr> = ready.copied().collect();
        match self
            .discovery
            .check_ready(ready.len(), self.edges() as usize, now)
        {
            Some(error) => Err(error),
            None => Ok(choose_addresses(asker, ready.into_iter().collect(), most)),
        }
    }

    /// Edges that the registry with most of them knows.
    fn edges(&self) -> u32 {
        let counts = self.views.values().map(|known| known.view.edges);
        counts.max().unwrap_or(0)
    }
}
