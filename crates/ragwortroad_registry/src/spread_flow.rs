//! Distributes what edges report: their loads, and prefix locations, that is, which engine holds
//! which prompt prefix.
//!
//! Each edge has one home registry. A registry sends the reports of its own edges to the other
//! registries, and the combined reports to its own edges, so no registry sends to the whole fleet.

use std::net::SocketAddr;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Size of one prefix location on a link in bytes.
const ENCODED_LOCATION_BYTES: f64 = 12.0;

impl RegistryState {
    /// Makes this registry the edge's home and sends it the total loads.
    pub(crate) fn subscribe(&mut self, link: LinkKey, now: ClockTime) {
        let (Some(queue), Some(edge)) = (self.links.get(&link), self.edges.get(&link)) else {
            return;
        };
        let source = LoadSource::Edge(edge.address);
        self.totals.drop_source(source);
        self.customer_totals.drop_source(source);
        self.figures.drop_source(source);
        let loads = self.totals.published();
        let figures = self.figures.published(now);
        if let Some(message) = LinkMessage::loads(loads, figures) {
            queue.send(&message);
        }
        self.start_customer_totals(queue);
        self.send_all_crashes(queue, now);
        self.subscribers.insert(link);
        self.locations.add_reader(LocationReader::Edge(link.0));
        tracing::info!(
            edge = edge.node,
            subscribers = self.subscribers.len(),
            "edge subscribed"
        );
    }

    /// Removes an edge that has another home registry or has disconnected.
    pub(crate) fn unsubscribe(&mut self, link: LinkKey) {
        self.subscribers.remove(&link);
        self.locations.drop_reader(LocationReader::Edge(link.0));
        if let Some(edge) = self.edges.get(&link) {
            let source = LoadSource::Edge(edge.address);
            self.totals.drop_source(source);
            self.customer_totals.drop_source(source);
            self.figures.drop_source(source);
        }
    }

    /// Handles a load report of an edge whose home is this registry.
    pub(crate) fn handle_edge_loads(
        &mut self,
        link: LinkKey,
        counts: &[LoadCount],
        figures: &[EndpointFigures],
        now: ClockTime,
    ) {
        let edge = self.edges.get(&link);
        if let Some(edge) = edge.filter(|_| self.subscribers.contains(&link)) {
            let source = LoadSource::Edge(edge.address);
            self.totals.update(source, counts);
            self.figures.update(source, figures, now);
        }
    }

    /// Handles a report of the summed loads of another registry's edges.
    pub(crate) fn handle_peer_loads(
        &mut self,
        link: LinkKey,
        counts: &[LoadCount],
        figures: &[EndpointFigures],
        now: ClockTime,
    ) {
        if let Some(&peer) = self.peer_links.get(&link) {
            let source = LoadSource::Registry(peer);
            self.totals.update(source, counts);
            self.figures.update(source, figures, now);
        }
    }

    /// Records that a registry is at the other end of an accepted link. Its reports start anew on
    /// this link.
    pub(crate) fn set_peer_link(&mut self, link: LinkKey, peer: SocketAddr) {
        if self.peer_links.get(&link) == Some(&peer) {
            return;
        }
        self.peer_links.retain(|_, known| *known != peer);
        self.peer_links.insert(link, peer);
        self.drop_peer(peer);
    }

    /// Drops the loads of the registry whose accepted link was closed.
    pub(crate) fn remove_peer_link(&mut self, link: LinkKey) {
        if let Some(peer) = self.peer_links.remove(&link) {
            self.drop_peer(peer);
        }
    }

    fn drop_peer(&mut self, peer: SocketAddr) {
        let source = LoadSource::Registry(peer);
        self.totals.drop_source(source);
        self.customer_totals.drop_source(source);
        self.figures.drop_source(source);
    }

    /// Sends a newly connected registry the loads of this registry's edges and the known crashes, and
    /// subscribes it to prefix locations.
    pub(crate) fn start_sharing_with(
        &mut self,
        peer: SocketAddr,
        queue: &LinkQueue,
        now: ClockTime,
    ) {
        let loads = self.totals.own_published();
        let figures = self.figures.own_published(now);
        if let Some(message) = LinkMessage::partial_loads(loads, figures) {
            queue.send(&message);
        }
        self.start_customer_sums(queue);
        self.send_all_crashes(queue, now);
        self.locations.add_reader(LocationReader::Registry(peer));
    }

    /// Sends paced messages, of the kind that has been due for longest first, as far as the link
    /// has room for all kinds together.
    pub(crate) fn send_paced(&mut self, now: ClockTime) {
        type SendDue = fn(&mut RegistryState, ClockTime);
        let mut kinds: [(ClockTime, SendDue); 6] = [
            (self.next_copies_at, Self::send_full_configs),
            (
                self.next_deferrable_updates_at,
                Self::send_deferrable_updates,
            ),
            (self.next_loads_at, Self::send_loads),
            (self.next_customer_loads_at, Self::send_customer_loads),
            (self.next_locations_at, Self::send_locations),
            (self.next_crashes_at, Self::send_crashes),
        ];
        kinds.sort_by_key(|(next_at, _)| *next_at);
        for (_, send_due) in kinds {
            if !self.link_account.is_free(now) {
                return;
            }
            send_due(self, now);
        }
    }

    /// Sends the loads of this registry's edges to the other registries, and the totals to its
    /// edges.
    fn send_loads(&mut self, now: ClockTime) {
        if now < self.next_loads_at {
            return;
        }
        let partial_loads = self.totals.own_changes();
        let total_loads = self.totals.changes();
        let partial_figures = self.figures.own_changes(now);
        let total_figures = self.figures.changes(now);
        let mut bytes = 0;
        if let Some(message) = LinkMessage::partial_loads(partial_loads, partial_figures) {
            bytes += self.broadcast_to_peers(&message);
        }
        if let Some(message) = LinkMessage::loads(total_loads, total_figures) {
            bytes += self.send_to_links(self.subscribers.iter(), &message);
        }
        let every = SPREAD_INTERVAL * load_interval_factor(self.subscribers.len() as u32);
        let pace = SendPace::for_loads(self.link_bytes_per_second());
        self.link_account.note_sent(bytes, now);
        self.next_loads_at = now.after(every.max(pace.delay_after(bytes)));
    }

    /// Sends prefix locations to edges and registries, each from its own position.
    fn send_locations(&mut self, now: ClockTime) {
        if now < self.next_locations_at {
            return;
        }
        let pace = SendPace::for_locations(self.link_bytes_per_second());
        let max_locations =
            pace.max_batch_items(self.locations.reader_count(), ENCODED_LOCATION_BYTES);
        let mut bytes = 0;
        for batch in self.locations.next_batches(max_locations) {
            bytes += self.send_to_readers(&batch);
        }
        self.link_account.note_sent(bytes, now);
        self.next_locations_at = now.after(SPREAD_INTERVAL.max(pace.delay_after(bytes)));
    }

    fn send_to_readers(&self, batch: &LocationBatch) -> usize {
        let locations = batch.locations.clone();
        let edges = batch.readers.iter().filter_map(|reader| match reader {
            LocationReader::Edge(link) => self.links.get(&LinkKey(*link)),
            LocationReader::Registry(_) => None,
        });
        let peers = batch.readers.iter().filter_map(|reader| match reader {
            LocationReader::Edge(_) => None,
            LocationReader::Registry(peer) => self.peers.get(peer)?.queue.as_ref(),
        });
        // All readers of one batch are of the same kind.
        let is_partial = matches!(batch.readers.first(), Some(LocationReader::Registry(_)));
        let message = match is_partial {
            true => LinkMessage::PartialPlaces(locations),
            false => LinkMessage::TextsPlaced(locations),
        };
        send_to_queues(edges.chain(peers), &message)
    }

    /// Handles prefix locations reported by an edge.
    pub(crate) fn handle_edge_locations(
        &mut self,
        link: LinkKey,
        locations: &[PrefixLocation],
        now: ClockTime,
    ) {
        self.locations.add(locations, LocationOrigin::Edge, now);
        let queue = self.links.get(&link);
        if let Some(queue) = queue.filter(|_| self.locations.should_request_all(now)) {
            queue.send(&LinkMessage::WantPlaces);
        }
    }

    /// Saves the prefix locations to disk when a save is due.
    pub(crate) fn save_locations(&mut self, now: ClockTime) {
        let Some(due) = self.locations.due_write(now) else {
            return;
        };
        if self.stores.locations.save(due) {
            self.locations.note_stored();
        }
    }

    /// Sends a message to all other registries and returns the total size in bytes.
    pub(crate) fn broadcast_to_peers(&self, message: &LinkMessage) -> usize {
        let queues = self.peers.values().filter_map(|peer| peer.queue.as_ref());
        send_to_queues(queues, message)
    }

    /// Sends a message to the given accepted links and returns the total size in bytes.
    pub(crate) fn send_to_links<'a>(
        &self,
        links: impl Iterator<Item = &'a LinkKey>,
        message: &LinkMessage,
    ) -> usize {
        send_to_queues(links.filter_map(|link| self.links.get(link)), message)
    }
}

/// Bytes of the frame, the packet headers and the acknowledgement of a small message.
///
/// A message with a few loads for hundreds of edges is mostly overhead.
const PACKET_OVERHEAD_BYTES: usize = 110;

fn send_to_queues<'a>(queues: impl Iterator<Item = &'a LinkQueue>, message: &LinkMessage) -> usize {
    let encoded = match EncodedMessage::try_from(message) {
        Ok(encoded) => encoded,
        Err(error) => {
            tracing::error!(%error, "failed to encode a broadcast message");
            return 0;
        }
    };
    let mut sent = 0;
    for queue in queues {
        queue.send_encoded(&encoded);
        sent += encoded.bytes.len() + PACKET_OVERHEAD_BYTES;
    }
    sent
}
