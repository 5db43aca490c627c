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

/// Directory of the edges that clients can use, merged from the views of all registries.
///
/// An edge that any connected registry reports as ready is returned: a registry that is partitioned
/// from edges has lost them although they are running. The directory tolerates the loss of the
/// registries of a whole failure domain, and of all registries for a while.
#[derive(Debug)]
pub struct EdgeDirectory {
    discovery: EdgeDiscovery,
    /// Last view of each registry, by the address that it listens on.
    ///
    /// Invariant: views of disconnected registries are kept only while no connected registry has
    /// sent one.
    views: BTreeMap<SocketAddr, RegistryView>,
}

#[derive(Debug)]
struct RegistryView {
    view: EdgeView,
    is_connected: bool,
}

impl EdgeDirectory {
    /// Creates an empty directory whose discovery phase starts now.
    pub fn new(now: ClockTime) -> Self {
        Self {
            discovery: EdgeDiscovery::new(now),
            views: BTreeMap::new(),
        }
    }

    /// Records a view received from a registry.
    pub fn note_view(&mut self, registry: SocketAddr, view: EdgeView, now: ClockTime) {
        if view.edges > self.edges() {
            self.discovery.note_joined(now);
        }
        let registry_view = RegistryView {
            view,
            is_connected: true,
        };
        self.views.insert(registry, registry_view);
        self.views
            .retain(|_, registry_view| registry_view.is_connected);
    }

    /// Records that the connection to a registry was lost.
    pub fn note_lost(&mut self, registry: SocketAddr) {
        if let Some(registry_view) = self.views.get_mut(&registry) {
            registry_view.is_connected = false;
        }
        if self
            .views
            .values()
            .any(|registry_view| registry_view.is_connected)
        {
            self.views
                .retain(|_, registry_view| registry_view.is_connected);
        }
    }

    /// Returns at most `most` edges for the client at the address `client`.
    ///
    /// # Errors
    ///
    /// Fails during discovery after a start, and if no edge is ready.
    pub fn find(
        &self,
        client: IpAddr,
        most: usize,
        now: ClockTime,
    ) -> Result<Vec<SocketAddr>, DirectoryError> {
        let ready = self
            .views
            .values()
            .flat_map(|registry_view| &registry_view.view.ready);
        let ready: BTreeSet<SocketAddr> = ready.copied().collect();
        match self
            .discovery
            .check_ready(ready.len(), self.edges() as usize, now)
        {
            Some(error) => Err(error),
            None => Ok(choose_addresses(client, ready.into_iter().collect(), most)),
        }
    }

    /// Returns the highest number of edges that any registry knows.
    fn edges(&self) -> u32 {
        let counts = self
            .views
            .values()
            .map(|registry_view| registry_view.view.edges);
        counts.max().unwrap_or(0)
    }
}
