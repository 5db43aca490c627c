//! What is sent when.

use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::{
    GossipAction,
    MembershipTable,
    peer_link::{
        PeerLink, //
        SentPacket,
    },
    pending_queue::UpdatePriority,
    record_key::UpdateKey,
    wire::{
        packet_header::PacketHeader,
        packet_reader::encode,
        wire_item::WireItem, //
    }, //
};

/// Shortest time between packets to one peer that hold nothing urgent.
const MIN_PACKET_INTERVAL: Duration = Duration::from_millis(100);
/// Loads that are worth a packet before the next heartbeat.
const MIN_LOAD_BATCH: usize = 32;
/// Packets to one peer at once.
const MAX_PACKETS_PER_FLUSH: usize = 16;
/// Unacknowledged packets to one peer beyond which only urgent news goes out.
const MAX_IN_FLIGHT: usize = 64;
/// Acknowledgements in one packet.
const ACKS_PER_PACKET: usize = 32;

impl MembershipTable {
    /// The link with `peer`, opened if need be.
    pub(super) fn open_link(&mut self, peer: NodeId, now: ClockTime) -> &mut PeerLink {
        self.links.entry(peer).or_insert_with(|| PeerLink::new(now))
    }

    /// Tells all neighbours but `except` of something.
    pub(super) fn broadcast(
        &mut self,
        key: UpdateKey,
        priority: UpdatePriority,
        except: Option<NodeId>,
    ) {
        for (peer, link) in &mut self.links {
            if link.is_neighbour && Some(*peer) != except {
                link.pending.push(priority, key);
            }
        }
    }

    /// Puts news back into the queues whose packets were not acknowledged.
    pub(super) fn requeue_lost(&mut self, now: ClockTime) {
        let settings = &self.settings;
        for link in self.links.values_mut() {
            // A peer that has been silent gets less, lest one broken way eats the budget.
            let backoff_factor = if link.silence(now) > settings.probe_after {
                4
            } else {
                1
            };
            let normal = settings.resend_after * backoff_factor;
            let urgent = settings.resend_urgent_after * backoff_factor;
            link.requeue_lost(now, normal, urgent);
        }
    }

    /// Sends to every peer what is due.
    pub(super) fn flush(&mut self, now: ClockTime) {
        self.budget.refill(now);
        let mut peers: Vec<NodeId> = self.links.keys().copied().collect();
        if !peers.is_empty() {
            // Whoever comes first gets what is left of the budget, so each does in turn.
            self.round_robin_start = (self.round_robin_start + 1) % peers.len();
            peers.rotate_left(self.round_robin_start);
        }
        for peer in peers {
            for _ in 0..MAX_PACKETS_PER_FLUSH {
                if !self.is_due(peer, now) || !self.send_packet(peer, now) {
                    break;
                }
            }
        }
    }

    /// Whether a packet to `peer` is due.
    fn is_due(&self, peer: NodeId, now: ClockTime) -> bool {
        let Some(link) = self.links.get(&peer) else {
            return false;
        };
        let urgent = link.pending.count(UpdatePriority::Urgent) > 0;
        let answer = link.ack_due.is_some_and(|due| due <= now);
        if urgent || answer || link.probe_due || !link.direct_items.is_empty() {
            return true;
        }
        let since_last_sent = link
            .last_sent
            .map_or(Duration::MAX, |sent_at| now.since(sent_at));
        if link.is_neighbour && since_last_sent >= self.settings.heartbeat_interval {
            return true;
        }
        let prompt = link.pending.count(UpdatePriority::Normal) > 0;
        let loads = link.pending.count(UpdatePriority::Load) >= MIN_LOAD_BATCH;
        let room = self.budget.has_available() && link.in_flight.len() < MAX_IN_FLIGHT;
        since_last_sent >= MIN_PACKET_INTERVAL && room && (prompt || loads)
    }

    /// Sends one packet to `peer`; whether its address is known.
    fn send_packet(&mut self, peer: NodeId, now: ClockTime) -> bool {
        let Some(address) = self.address_of(peer) else {
            self.links.remove(&peer);
            return false;
        };
        // Taken out while the packet is filled from the tables beside it.
        let Some(mut link) = self.links.remove(&peer) else {
            return false;
        };
        let bytes = self.fill_packet(&mut link, now);
        self.links.insert(peer, link);
        self.stats.packets_sent += 1;
        self.stats.bytes_sent += bytes.len() as u64;
        self.budget
            .spend(bytes.len() + self.settings.packet_overhead_bytes as usize);
        self.actions.push(GossipAction::Send {
            to: peer,
            address,
            bytes,
        });
        true
    }

    /// Where `peer` is reached.
    fn address_of(&self, peer: NodeId) -> Option<std::net::SocketAddr> {
        let seeds = &self.settings.seeds;
        let seed = || seeds.iter().find(|seed| seed.node == peer);
        self.nodes
            .record(peer)
            .map(|record| record.gossip_address)
            .or_else(|| seed().map(|seed| seed.address))
    }

    /// Builds a packet of what waits on `link`.
    fn fill_packet(&mut self, link: &mut PeerLink, now: ClockTime) -> Vec<u8> {
        let mut body = Vec::new();
        let room = self
            .settings
            .max_packet_bytes
            .saturating_sub(32 + 5 * ACKS_PER_PACKET.min(link.acks.len()));
        if !link.peer_knows_us
            && let Some(own) = self.nodes.record(self.own)
        {
            body = encode(&WireItem::Node(own.into()));
        }
        self.fill_direct(link, &mut body, room);
        let updates = self.fill_updates(link, &mut body, room, now);
        let urgent = updates
            .iter()
            .any(|(priority, _)| *priority == UpdatePriority::Urgent);
        let mut sequence = 0;
        if !updates.is_empty() {
            link.sequence += 1;
            sequence = link.sequence;
            link.in_flight.push_back(SentPacket {
                sequence,
                sent_at: now,
                urgent,
                updates,
            });
        }
        let acked = link.acks.len().min(ACKS_PER_PACKET);
        let header = PacketHeader {
            session: self.session,
            to_session: link.session.unwrap_or(0),
            sequence,
            urgent: urgent || link.probe_due,
            acks: link.acks.drain(..acked).collect(),
            root: self.digest.root(),
        };
        if link.acks.is_empty() {
            link.ack_due = None;
        }
        if link.probe_due {
            link.probe_due = false;
            link.last_probe = Some(now);
        }
        link.last_sent = Some(now);
        let mut bytes = encode(&header);
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Adds questions and answers; the first one always, however large it is.
    fn fill_direct(&mut self, link: &mut PeerLink, body: &mut Vec<u8>, room: usize) {
        while let Some(item) = link.direct_items.front() {
            let bytes = encode(item);
            if !body.is_empty() && body.len() + bytes.len() > room {
                return;
            }
            self.stats.direct_bytes += bytes.len() as u64;
            body.extend_from_slice(&bytes);
            link.direct_items.pop_front();
        }
    }

    /// Adds news, the most urgent first, as far as room and budget allow.
    fn fill_updates(
        &mut self,
        link: &mut PeerLink,
        body: &mut Vec<u8>,
        room: usize,
        now: ClockTime,
    ) -> Vec<(UpdatePriority, UpdateKey)> {
        let mut updates = Vec::new();
        let within_budget = self.budget.has_available() && link.in_flight.len() < MAX_IN_FLIGHT;
        let priorities: &[UpdatePriority] = if within_budget {
            &[
                UpdatePriority::Urgent,
                UpdatePriority::Normal,
                UpdatePriority::Load,
                UpdatePriority::Blob,
            ]
        } else {
            &[UpdatePriority::Urgent]
        };
        for priority in priorities.iter().copied() {
            while let Some(key) = link.pending.pop(priority) {
                let Some(item) = self.update_item(key, now) else {
                    continue;
                };
                let bytes = encode(&item);
                if !body.is_empty() && body.len() + bytes.len() > room {
                    link.pending.push_front(priority, key);
                    return updates;
                }
                self.count_update_bytes(key, bytes.len());
                body.extend_from_slice(&bytes);
                updates.push((priority, key));
            }
        }
        updates
    }
}
