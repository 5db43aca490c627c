//! What a received packet does.

use std::time::Duration;

use ragwortroad_types::prelude::*;
use rand::seq::IndexedRandom;

use crate::{
    MembershipTable,
    NodeRecord,
    NodeState,
    endpoint_table::LoadUpdate,
    pending_queue::NewsClass,
    record_key::{
        NewsKey,
        RecordKey, //
    },
    wire::{
        node_item::state_from_number,
        packet_head::PacketHead,
        packet_reader::read_packet,
        wire_item::{
            LoadItem,
            NodeStateItem,
            ProbeItem,
            WireItem, //
        }, //
    }, //
};

/// Longest time an acknowledgement waits for other things to send.
const ACK_DELAY: Duration = Duration::from_millis(500);
/// Nodes that a stranger is told of at once.
const INTRODUCED_NODES: usize = 8;
/// Shortest time between two corrections to one peer of news about itself.
const CORRECT_PAUSE: Duration = Duration::from_secs(1);

impl MembershipTable {
    /// Takes a packet whose sender is proved.
    pub(super) fn take_packet(&mut self, from: NodeId, bytes: &[u8], now: ClockTime) {
        let Ok(packet) = read_packet(bytes) else {
            self.stats.packets_refused += 1;
            return;
        };
        let mut items = packet.items;
        // A stranger introduces itself: its record goes first, whatever stands before it.
        items.sort_by_key(|item| !is_record_of(item, from));
        let introduced = items.first().is_some_and(|item| is_record_of(item, from));
        let stranger = self.nodes.get(from).is_none();
        if from == self.own || (stranger && !introduced) {
            self.stats.packets_refused += 1;
            return;
        }
        self.stats.packets_received += 1;
        self.take_head(from, &packet.head, now);
        for item in items {
            self.take_item(from, item, now);
        }
        if stranger {
            self.introduce_others(from, now);
        }
        self.answer_relays(from, now);
        self.correct_peer(from, now);
    }

    /// Takes the packet's head: signs of life, acknowledgements, the peer's digest.
    fn take_head(&mut self, from: NodeId, head: &PacketHead, now: ClockTime) {
        let own_session = self.session;
        let same_view = head.root == self.digest.root();
        let link = self.open_link(from, now);
        link.last_heard = Some(now);
        link.meet_session(head.session);
        if head.to_session == own_session {
            link.met = true;
            link.take_acks(&head.acks);
        }
        if head.sequence != 0 {
            let delay = if head.urgent {
                Duration::ZERO
            } else {
                ACK_DELAY
            };
            link.owe_ack(head.sequence, now.after(delay));
        } else if head.urgent {
            link.ack_due = Some(now);
        }
        link.differs_since = match (same_view, link.differs_since) {
            (true, _) => None,
            (false, None) => Some(now),
            (false, known) => known,
        };
    }

    /// Takes one item.
    fn take_item(&mut self, from: NodeId, item: WireItem, now: ClockTime) {
        match item {
            WireItem::Node(item) => {
                if let Ok(record) = NodeRecord::try_from(item) {
                    self.learn_node(record, from, now);
                }
            }
            WireItem::NodeState(item) => self.learn_node_state(from, item, now),
            WireItem::Endpoint(item) => {
                if let Ok(record) = item.try_into() {
                    self.learn_endpoint(record, from, now);
                }
            }
            WireItem::Load(item) => self.learn_load(from, item, now),
            WireItem::Blob(item) => self.learn_blob(from, item),
            WireItem::ProbeFor(item) => self.probe_for(from, NodeId(item.target), now),
            WireItem::Reached(item) => {
                if let Some(link) = self.links.get_mut(&NodeId(item.target)) {
                    link.last_reached = Some(now);
                }
            }
            WireItem::HandoverAsk(item) => self.answer_handover(from, item, now),
            WireItem::Handover(item) => self.take_handover(from, item, now),
            WireItem::Buckets(hashes) => self.compare_buckets(from, &hashes, now),
            WireItem::BucketKeys(item) => self.compare_keys(from, item, now),
            WireItem::Wants(keys) => self.send_wanted(from, &keys, now),
        }
    }

    /// Takes incarnation and state of a node whose other facts we should know.
    fn learn_node_state(&mut self, from: NodeId, item: NodeStateItem, now: ClockTime) {
        let id = NodeId(item.node);
        let Ok(state) = state_from_number(item.state) else {
            return;
        };
        let known = self.nodes.get(id);
        match known.filter(|entry| entry.facts == item.facts) {
            Some(entry) => {
                let record = NodeRecord {
                    incarnation: item.incarnation,
                    state,
                    ..entry.record.clone()
                };
                self.learn_node(record, from, now);
            }
            None => {
                let wants = WireItem::Wants(vec![RecordKey::Node(id).short()]);
                self.open_link(from, now).push_direct(wants);
            }
        }
    }

    /// Takes an endpoint's load.
    fn learn_load(&mut self, from: NodeId, item: LoadItem, now: ClockTime) {
        let keys = self.digest.keys(item.key).to_vec();
        let load = LoadUpdate {
            incarnation: item.incarnation,
            sequence: item.sequence,
            load: crate::CoarseLoad(item.load),
        };
        let [RecordKey::Endpoint(id)] = keys.as_slice() else {
            // Unknown, or a short name that two records share: the whole record tells its load.
            return;
        };
        let news = NewsKey::Load(*id);
        if self.endpoints.put_load(*id, &load) {
            self.spread(news, NewsClass::Load, Some(from));
            self.actions
                .push(crate::GossipAction::EndpointLoadChanged(*id));
        }
        let same = self
            .endpoints
            .record(*id)
            .is_some_and(|record| record.load_sequence == item.sequence);
        if same {
            self.open_link(from, now).pending.take_back(news);
        }
    }

    /// Tells a node that has just joined of a few others.
    ///
    /// A fleet that starts as a whole knows only its seeds at first. If every node went on to
    /// learn everything from these, they would spend their budget on answers for minutes.
    fn introduce_others(&mut self, from: NodeId, now: ClockTime) {
        let others: Vec<NodeId> = self
            .nodes
            .present()
            .map(|(id, _)| id)
            .filter(|id| *id != from && *id != self.own)
            .collect();
        let some: Vec<NodeId> = others
            .sample(&mut self.rng, INTRODUCED_NODES)
            .copied()
            .collect();
        for id in some {
            if let Some(record) = self.nodes.record(id) {
                let item = WireItem::Node(record.into());
                self.open_link(from, now).push_direct(item);
            }
        }
    }

    /// Tells whoever asked us to probe `from` that it answers.
    fn answer_relays(&mut self, from: NodeId, now: ClockTime) {
        for asked_by in self.relays.heard(from, now) {
            let reached = WireItem::Reached(ProbeItem { target: from.0 });
            self.open_link(asked_by, now).push_direct(reached);
        }
    }

    /// Tells a peer of false news about it that we hold, so that it can speak up.
    fn correct_peer(&mut self, from: NodeId, now: ClockTime) {
        let state = self.nodes.state(from);
        if !matches!(state, NodeState::Suspected | NodeState::Down) {
            return;
        }
        let link = self.open_link(from, now);
        let recently = |at: ClockTime| now.since(at) < CORRECT_PAUSE;
        if link.last_corrected.is_some_and(recently) {
            return;
        }
        link.last_corrected = Some(now);
        link.pending.push(NewsClass::Urgent, NewsKey::Node(from));
    }
}

/// Whether `item` is the whole record of `node`.
fn is_record_of(item: &WireItem, node: NodeId) -> bool {
    match item {
        WireItem::Node(item) => {
            NodeRecord::try_from(item.clone()).is_ok_and(|record| record.id() == node)
        }
        _ => false,
    }
}
