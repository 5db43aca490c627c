use std::{
    collections::BTreeMap,
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
    /// Ready edges with the number of views that contain them.
    ///
    /// Clients look up edges far more often than views change, and each registry knows all edges.
    ///
    /// Invariant: counts the edges of `views`; no count is zero.
    ready: BTreeMap<SocketAddr, u32>,
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
            ready: BTreeMap::new(),
        }
    }

    /// Records a view received from a registry.
    pub fn note_view(&mut self, registry: SocketAddr, view: EdgeView, now: ClockTime) {
        if view.edges > self.edges() {
            self.discovery.note_joined(now);
        }
        for edge in &view.ready {
            *self.ready.entry(*edge).or_default() += 1;
        }
        let registry_view = RegistryView {
            view,
            is_connected: true,
        };
        if let Some(former) = self.views.insert(registry, registry_view) {
            discount(&mut self.ready, &former.view);
        }
        self.drop_disconnected();
    }

    /// Records that the connection to a registry was lost.
    pub fn note_lost(&mut self, registry: SocketAddr) {
        if let Some(registry_view) = self.views.get_mut(&registry) {
            registry_view.is_connected = false;
        }
        let mut views = self.views.values();
        if views.any(|registry_view| registry_view.is_connected) {
            self.drop_disconnected();
        }
    }

    fn drop_disconnected(&mut self) {
        let ready = &mut self.ready;
        self.views.retain(|_, registry_view| {
            if !registry_view.is_connected {
                discount(ready, &registry_view.view);
            }
            registry_view.is_connected
        });
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
        let edges = self.edges() as usize;
        match self.discovery.check_ready(self.ready.len(), edges, now) {
            Some(error) => Err(error),
            None => {
                let ready = self.ready.keys().copied().collect();
                Ok(choose_addresses(client, ready, most))
            }
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

/// Removes the edges of a view from the counts.
fn discount(ready: &mut BTreeMap<SocketAddr, u32>, view: &EdgeView) {
    for edge in &view.ready {
        let Some(count) = ready.get_mut(edge) else {
            continue;
        };
        *count -= 1;
        if *count == 0 {
            ready.remove(edge);
        }
    }
}
