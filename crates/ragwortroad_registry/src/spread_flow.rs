//! How a registry passes on what edges know: their loads, and where texts are read.
//!
//! Each edge takes one registry for its home. A registry tells the other registries what its own
//! edges forward, and its own edges what all forward, so no registry speaks to the whole fleet.

use std::net::SocketAddr;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Bytes of a text's place on a link.
const ENCODED_PLACE_BYTES: f64 = 12.0;

impl RegistryState {
    /// Takes an edge for one of its own, and tells it what all edges have under way.
    pub(crate) fn subscribe(&mut self, link: LinkKey) {
        let (Some(queue), Some(edge)) = (self.links.get(&link), self.edges.get(&link)) else {
            return;
        };
        self.totals.drop_source(LoadSource::Edge(edge.address));
        let loads = self.totals.told();
        if !loads.is_empty() {
            queue.send(&LinkMessage::Loads(loads));
        }
        self.subscribers.insert(link);
        self.places.add_reader(PlaceReader::Edge(link.0));
        tracing::info!(
            edge = edge.node,
            subscribers = self.subscribers.len(),
            "edge subscribed"
        );
    }

    /// An edge has another home now, or is gone.
    pub(crate) fn unsubscribe(&mut self, link: LinkKey) {
        self.subscribers.remove(&link);
        self.places.drop_reader(PlaceReader::Edge(link.0));
        if let Some(edge) = self.edges.get(&link) {
            self.totals.drop_source(LoadSource::Edge(edge.address));
        }
    }

    /// Takes what one of this registry's own edges has under way.
    pub(crate) fn handle_edge_loads(&mut self, link: LinkKey, counts: &[LoadCount]) {
        let edge = self.edges.get(&link);
        if let Some(edge) = edge.filter(|_| self.subscribers.contains(&link)) {
            self.totals.take(LoadSource::Edge(edge.address), counts);
        }
    }

    /// Takes what the edges of another registry have under way.
    pub(crate) fn handle_peer_loads(&mut self, link: LinkKey, counts: &[LoadCount]) {
        if let Some(&peer) = self.peer_links.get(&link) {
            self.totals.take(LoadSource::Registry(peer), counts);
        }
    }

    /// Another registry is at the other end of a connection, and tells on it from now on.
    pub(crate) fn set_peer_link(&mut self, link: LinkKey, peer: SocketAddr) {
        if self.peer_links.get(&link) == Some(&peer) {
            return;
        }
        self.peer_links.retain(|_, known| *known != peer);
        self.peer_links.insert(link, peer);
        self.totals.drop_source(LoadSource::Registry(peer));
    }

    /// A connection has ended; a registry at its other end tells nothing any more.
    pub(crate) fn remove_peer_link(&mut self, link: LinkKey) {
        if let Some(peer) = self.peer_links.remove(&link) {
            self.totals.drop_source(LoadSource::Registry(peer));
        }
    }

    /// Tells a registry that was just reached what this one's edges forward, and all that follows.
    pub(crate) fn start_sharing_with(&mut self, peer: SocketAddr, queue: &LinkQueue) {
        let loads = self.totals.own_told();
        if !loads.is_empty() {
            queue.send(&LinkMessage::PartialLoads(loads));
        }
        self.places.add_reader(PlaceReader::Registry(peer));
    }

    /// Tells the other registries what this one's edges have under way, and its edges what all have.
    pub(crate) fn send_loads(&mut self, now: ClockTime) {
        if now < self.next_loads_at {
            return;
        }
        let parts = self.totals.own_changes();
        let changes = self.totals.changes();
        let mut bytes = 0;
        if !parts.is_empty() {
            bytes += self.broadcast_to_peers(&LinkMessage::PartialLoads(parts));
        }
        if !changes.is_empty() {
            let message = LinkMessage::Loads(changes);
            bytes += self.send_to_links(self.subscribers.iter(), &message);
        }
        let every = SPREAD_EVERY * load_pace(self.subscribers.len() as u32);
        let pace = SendPace::of_loads(self.link_bytes_per_second());
        self.next_loads_at = now.after(every.max(pace.span(bytes)));
    }

    /// Tells edges and registries where texts were placed, each from where it has got to.
    pub(crate) fn send_places(&mut self, now: ClockTime) {
        if now < self.next_places_at {
            return;
        }
        let pace = SendPace::of_places(self.link_bytes_per_second());
        let most = pace.items_at_once(self.places.readers(), ENCODED_PLACE_BYTES);
        let mut bytes = 0;
        for telling in self.places.tell(most) {
            bytes += self.send_to_readers(&telling);
        }
        self.next_places_at = now.after(SPREAD_EVERY.max(pace.span(bytes)));
    }

    fn send_to_readers(&self, telling: &PlaceBatch) -> usize {
        let places = telling.places.clone();
        let edges = telling.readers.iter().filter_map(|reader| match reader {
            PlaceReader::Edge(link) => self.links.get(&LinkKey(*link)),
            PlaceReader::Registry(_) => None,
        });
        let peers = telling.readers.iter().filter_map(|reader| match reader {
            PlaceReader::Edge(_) => None,
            PlaceReader::Registry(peer) => self.peers.get(peer)?.queue.as_ref(),
        });
        // All readers of one telling are of the same kind.
        let is_part = matches!(telling.readers.first(), Some(PlaceReader::Registry(_)));
        let message = match is_part {
            true => LinkMessage::PartialPlaces(places),
            false => LinkMessage::TextsPlaced(places),
        };
        send_to_queues(edges.chain(peers), &message)
    }

    /// Takes where an edge has placed texts.
    pub(crate) fn handle_edge_places(
        &mut self,
        link: LinkKey,
        placed: &[PlacedText],
        now: ClockTime,
    ) {
        self.places.take(placed, PlaceOrigin::Edge, now);
        let queue = self.links.get(&link);
        if let Some(queue) = queue.filter(|_| self.places.wants_all(now)) {
            queue.send(&LinkMessage::WantPlaces);
        }
    }

    /// Has the disk keep where texts were placed, from time to time.
    pub(crate) fn save_places(&mut self, now: ClockTime) {
        let Some(due) = self.places.due(now) else {
            return;
        };
        if self.place_store.save(due) {
            self.places.note_kept();
        }
    }

    /// Tells all registries the same; returns how many bytes that takes.
    fn broadcast_to_peers(&self, message: &LinkMessage) -> usize {
        let queues = self.peers.values().filter_map(|peer| peer.queue.as_ref());
        send_to_queues(queues, message)
    }

    /// Tells some processes that have connected the same; returns how many bytes that takes.
    pub(crate) fn send_to_links<'a>(
        &self,
        links: impl Iterator<Item = &'a LinkKey>,
        message: &LinkMessage,
    ) -> usize {
        send_to_queues(links.filter_map(|link| self.links.get(link)), message)
    }
}

fn send_to_queues<'a>(queues: impl Iterator<Item = &'a LinkQueue>, message: &LinkMessage) -> usize {
    let encoded = match EncodedMessage::try_from(message) {
        Ok(encoded) => encoded,
        Err(error) => {
            tracing::error!(%error, "a message to several processes could not be encoded");
            return 0;
        }
    };
    let mut sent = 0;
    for queue in queues {
        queue.send_encoded(&encoded);
        sent += encoded.bytes.len();
    }
    sent
}
