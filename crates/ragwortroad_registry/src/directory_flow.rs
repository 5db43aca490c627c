//! Replies to clients that resolve edges, and keeps directories informed of the edges.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    ControlReply,
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Maximum number of addresses in one reply. Clients accept no more.
pub(crate) const MAX_ADDRESSES: usize = 64;

impl RegistryState {
    /// Selects ready edges for a client with the given address.
    pub(crate) fn resolve_edges(&self, client_ip: IpAddr, now: ClockTime) -> ControlReply {
        let ready = self.ready_edges();
        let error = self
            .discovery
            .check_ready(ready.len(), self.edges.len(), now);
        let found = match error {
            Some(error) => Err(error),
            None => Ok(choose_addresses(client_ip, ready, MAX_ADDRESSES)),
        };
        directory_reply(found, &self.settings)
    }

    /// Registers a directory that connected, and sends it the fleet and the edges.
    pub(crate) fn handle_directory_hello(&mut self, link: LinkKey, node: &str, now: ClockTime) {
        tracing::info!(directory = node, "directory connected");
        // Brings `sent_edges` up to date, so that later changes are relative to what this directory
        // receives.
        self.broadcast_edge_view();
        self.directories.insert(link);
        if let Some(queue) = self.links.get(&link) {
            queue.send(&self.fleet_message(now));
            queue.send(&LinkMessage::EdgesKnown(self.sent_edges.clone()));
        }
    }

    /// Sends the ready edges to all directories if they have changed.
    pub(crate) fn broadcast_edge_view(&mut self) {
        let view = self.edge_view();
        if self.sent_edges != view {
            let message = LinkMessage::EdgesKnown(view.clone());
            self.send_to_links(self.directories.iter(), &message);
            self.sent_edges = view;
        }
    }

    fn edge_view(&self) -> EdgeView {
        EdgeView {
            ready: self.ready_edges(),
            edges: self.edges.len() as u32,
        }
    }

    /// Ready edges that reach endpoints, or all ready ones if none does.
    ///
    /// The others relay requests, which costs a hop, so new clients are better served elsewhere.
    fn ready_edges(&self) -> Vec<SocketAddr> {
        let edges = self.edges.values();
        let ready = edges.filter(|edge| edge.stage == EdgeStage::Ready);
        let reaching = ready.clone().filter(|edge| !edge.is_cut_off);
        let reaching: Vec<SocketAddr> = reaching.map(|edge| edge.address).collect();
        match reaching.is_empty() {
            true => ready.map(|edge| edge.address).collect(),
            false => reaching,
        }
    }
}

/// Builds the reply to a client that resolves edges.
pub(crate) fn directory_reply(
    found: Result<Vec<SocketAddr>, DirectoryError>,
    settings: &ForwardSettings,
) -> ControlReply {
    let ttl: Duration = response_ttl(settings.grace, settings.directory_life);
    match found {
        Ok(addresses) => ControlReply::Edges {
            addresses,
            ttl_s: ttl.as_secs(),
        },
        Err(DirectoryError::Discovering) => ControlReply::Unavailable {
            reason: "edges are still being gathered",
        },
        Err(DirectoryError::NoEdge) => ControlReply::Unavailable {
            reason: "no edge takes callers",
        },
    }
}
