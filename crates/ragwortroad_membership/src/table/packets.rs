//! Handling of received packets.

use std::time::Duration;

use ragwortroad_types::prelude::*;
use rand::seq::IndexedRandom;

use crate::{
    MembershipTable,
    NodeRecord,
    NodeState,
    endpoint_table::LoadUpdate,
    pending_queue::UpdatePriority,
    record_key::{
        RecordKey,
        UpdateKey, //
    },
    wire::{
        node_item::state_from_number,
        packet_header::PacketHeader,
        packet_reader::read_packet,
        wire_item::{
            LoadItem,
            NodeStateItem,
            ProbeItem,
            WireItem, //
        }, //
    }, //
};

/// Maximum time that an acknowledgement is delayed in order to be sent along with other items.
const MAX_ACK_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of nodes that are introduced to a node that has just joined.
const MAX_INTRODUCED_NODES: usize = 8;
/// Minimum interval between two corrections to one peer.
const MIN_CORRECTION_INTERVAL: Duration = Duration::from_secs(1);

impl MembershipTable {
    /// Processes a packet from an authenticated sender.
    pub(super) fn handle_packet(&mut self, from: NodeId, bytes: &[u8], now: ClockTime) {
        let Ok(packet) = read_packet(bytes) else {
            self.stats.packets_refused += 1;
            return;
        };
        let mut items = packet.items;
        // The sender's own record is processed first, wherever it is in the packet, because the
        // packet of an unknown sender is only accepted with it.
        items.sort_by_key(|item| !is_record_of(item, from));
        let has_own_record = items.first().is_some_and(|item| is_record_of(item, from));
        let is_unknown = self.nodes.get(from).is_none();
        if from == self.own || (is_unknown && !has_own_record) {
            self.stats.packets_refused += 1;
            return;
        }
        self.stats.packets_received += 1;
        self.handle_header(from, &packet.header, now);
        for item in items {
            self.handle_item(from, item, now);
        }
        if is_unknown {
            self.send_introductions(from, now);
        }
        self.confirm_relayed_probes(from, now);
        self.send_correction(from, now);
    }

    /// Processes the header: liveness, acknowledgements and the peer's digest.
    fn handle_header(&mut self, from: NodeId, header: &PacketHeader, now: ClockTime) {
        let own_session = self.session;
        let same_view = header.root == self.digest.root();
        let link = self.open_link(from, now);
        link.last_received = Some(now);
        link.update_session(header.session);
        if header.to_session == own_session {
            link.known_to_peer = true;
            link.remove_acked(&header.acks);
        }
        if header.sequence != 0 {
            let delay = if header.urgent {
                Duration::ZERO
            } else {
                MAX_ACK_DELAY
            };
            link.queue_ack(header.sequence, now.after(delay));
        } else if header.urgent {
            link.ack_due = Some(now);
        }
        link.differs_since = match (same_view, link.differs_since) {
            (true, _) => None,
            (false, None) => Some(now),
            (false, known) => known,
        };
    }

    fn handle_item(&mut self, from: NodeId, item: WireItem, now: ClockTime) {
        match item {
            WireItem::Node(item) => {
                if let Ok(record) = NodeRecord::try_from(item) {
                    self.merge_node(record, from, now);
                }
            }
            WireItem::NodeState(item) => self.merge_node_state(from, item, now),
            WireItem::Endpoint(item) => {
                if let Ok(record) = item.try_into() {
                    self.merge_endpoint(record, from, now);
                }
            }
            WireItem::Load(item) => self.merge_load(from, item, now),
            WireItem::Blob(item) => self.merge_blob(from, item),
            WireItem::ProbeFor(item) => self.relay_probe(from, NodeId(item.target), now),
            WireItem::Reached(item) => {
                if let Some(link) = self.links.get_mut(&NodeId(item.target)) {
                    link.last_indirect_ack = Some(now);
                }
            }
            WireItem::HandoverAsk(item) => self.answer_handover(from, item, now),
            WireItem::Handover(item) => self.handle_handover(from, item, now),
            WireItem::Buckets(hashes) => self.compare_buckets(from, &hashes, now),
            WireItem::BucketKeys(item) => self.compare_keys(from, item, now),
            WireItem::Wants(keys) => self.send_requested(from, &keys, now),
        }
    }

    /// Merges the incarnation and state of a node. Requests the full record if its metadata is not
    /// known.
    fn merge_node_state(&mut self, from: NodeId, item: NodeStateItem, now: ClockTime) {
        let id = NodeId(item.node);
        let Ok(state) = state_from_number(item.state) else {
            return;
        };
        let known = self.nodes.get(id);
        match known.filter(|entry| entry.metadata_hash == item.facts) {
            Some(entry) => {
                let record = NodeRecord {
                    incarnation: item.incarnation,
                    state,
                    ..entry.record.clone()
                };
                self.merge_node(record, from, now);
            }
            None => {
                let wants = WireItem::Wants(vec![RecordKey::Node(id).short_hash()]);
                self.open_link(from, now).push_direct(wants);
            }
        }
    }

    /// Merges an endpoint's load.
    fn merge_load(&mut self, from: NodeId, item: LoadItem, now: ClockTime) {
        let keys = self.digest.keys(item.key).to_vec();
        let load = LoadUpdate {
            incarnation: item.incarnation,
            sequence: item.sequence,
            load: crate::CoarseLoad(item.load),
        };
        let [RecordKey::Endpoint(id)] = keys.as_slice() else {
            // The hash is unknown or shared by two records. The load will arrive with the full
            // record.
            return;
        };
        let key = UpdateKey::Load(*id);
        if self.endpoints.put_load(*id, &load) {
            self.broadcast(key, UpdatePriority::Load, Some(from));
            self.actions
                .push(crate::GossipAction::EndpointLoadChanged(*id));
        }
        let is_current = self
            .endpoints
            .record(*id)
            .is_some_and(|record| record.load_sequence == item.sequence);
        if is_current {
            self.open_link(from, now).pending.cancel(key);
        }
    }

    /// Introduces a few other nodes to a node that has just joined.
    ///
    /// In a fleet whose nodes all start at once, they know only the seeds. If all of them learned
    /// everything from the seeds, those would spend their budget on replies for minutes.
    fn send_introductions(&mut self, from: NodeId, now: ClockTime) {
        let others: Vec<NodeId> = self
            .nodes
            .present()
            .map(|(id, _)| id)
            .filter(|id| *id != from && *id != self.own)
            .collect();
        let chosen: Vec<NodeId> = others
            .sample(&mut self.rng, MAX_INTRODUCED_NODES)
            .copied()
            .collect();
        for id in chosen {
            if let Some(record) = self.nodes.record(id) {
                let item = WireItem::Node(record.into());
                self.open_link(from, now).push_direct(item);
            }
        }
    }

    /// Confirms to the nodes that requested a probe of `from` that it responds.
    fn confirm_relayed_probes(&mut self, from: NodeId, now: ClockTime) {
        for requester in self.relays.take_requesters(from, now) {
            let reached = WireItem::Reached(ProbeItem { target: from.0 });
            self.open_link(requester, now).push_direct(reached);
        }
    }

    /// Sends a peer the update that it is suspected or down, so that it can refute it.
    fn send_correction(&mut self, from: NodeId, now: ClockTime) {
        let state = self.nodes.state(from);
        if !matches!(state, NodeState::Suspected | NodeState::Down) {
            return;
        }
        let link = self.open_link(from, now);
        let recently = |at: ClockTime| now.since(at) < MIN_CORRECTION_INTERVAL;
        if link.last_correction.is_some_and(recently) {
            return;
        }
        link.last_correction = Some(now);
        link.pending
            .push(UpdatePriority::Urgent, UpdateKey::Node(from));
    }
}

/// Whether `item` is the full record of `node`.
fn is_record_of(item: &WireItem, node: NodeId) -> bool {
    match item {
        WireItem::Node(item) => {
            NodeRecord::try_from(item.clone()).is_ok_and(|record| record.id() == node)
        }
        _ => false,
    }
}
