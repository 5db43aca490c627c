//! Scheduling and encoding of outgoing packets.

use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::{
    GossipAction,
    MembershipTable,
    peer_link::{
        PeerLink,
        SentPacket, //
    },
    pending_queue::UpdatePriority,
    record_key::UpdateKey,
    wire::{
        packet_header::PacketHeader,
        packet_reader::encode,
        wire_item::WireItem, //
    }, //
};

/// Minimum interval between two packets to a peer that contain nothing urgent.
const MIN_PACKET_INTERVAL: Duration = Duration::from_millis(100);
/// Number of queued loads that justify a packet before the next heartbeat.
const MIN_LOAD_BATCH: usize = 32;
/// Maximum number of packets to one peer per flush.
const MAX_PACKETS_PER_FLUSH: usize = 16;
/// Number of unacknowledged packets to a peer at which everything but urgent updates is held back.
const MAX_IN_FLIGHT: usize = 64;
/// Maximum number of acknowledgements in one packet.
const ACKS_PER_PACKET: usize = 32;

impl MembershipTable {
    /// Returns the link with `peer`, opening it if necessary.
    pub(super) fn open_link(&mut self, peer: NodeId, now: ClockTime) -> &mut PeerLink {
        self.links.entry(peer).or_insert_with(|| PeerLink::new(now))
    }

    /// Queues an update for all neighbours other than `except`.
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

    /// Requeues the updates of packets that were not acknowledged in time.
    pub(super) fn requeue_lost(&mut self, now: ClockTime) {
        let settings = &self.settings;
        for link in self.links.values_mut() {
            // Resends to a silent peer are less frequent, so that a broken path does not use up the
            // budget.
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

    /// Sends every peer the packets that are due.
    pub(super) fn flush(&mut self, now: ClockTime) {
        self.budget.refill(now);
        let mut peers: Vec<NodeId> = self.links.keys().copied().collect();
        if !peers.is_empty() {
            // Peers that are served first can use up the budget, so the starting peer rotates.
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
        let ack_is_due = link.ack_due.is_some_and(|due| due <= now);
        if urgent || ack_is_due || link.probe_due || !link.direct_items.is_empty() {
            return true;
        }
        let since_last_sent = link
            .last_sent
            .map_or(Duration::MAX, |sent_at| now.since(sent_at));
        if link.is_neighbour && since_last_sent >= self.settings.heartbeat_interval {
            return true;
        }
        let normal = link.pending.count(UpdatePriority::Normal) > 0;
        let loads = link.pending.count(UpdatePriority::Load) >= MIN_LOAD_BATCH;
        let room = self.budget.has_available() && link.in_flight.len() < MAX_IN_FLIGHT;
        since_last_sent >= MIN_PACKET_INTERVAL && room && (normal || loads)
    }

    /// Sends one packet to `peer`. Returns false, and closes the link, if its address is unknown.
    fn send_packet(&mut self, peer: NodeId, now: ClockTime) -> bool {
        let Some(address) = self.address_of(peer) else {
            self.links.remove(&peer);
            return false;
        };
        // Removed from the map while `fill_packet` borrows the other tables.
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

    /// Returns the gossip address of `peer`.
    fn address_of(&self, peer: NodeId) -> Option<std::net::SocketAddr> {
        let seeds = &self.settings.seeds;
        let seed = || seeds.iter().find(|seed| seed.node == peer);
        self.nodes
            .record(peer)
            .map(|record| record.gossip_address)
            .or_else(|| seed().map(|seed| seed.address))
    }

    /// Encodes a packet from the items queued on `link`.
    fn fill_packet(&mut self, link: &mut PeerLink, now: ClockTime) -> Vec<u8> {
        let mut body = Vec::new();
        let room = self
            .settings
            .max_packet_bytes
            .saturating_sub(32 + 5 * ACKS_PER_PACKET.min(link.acks.len()));
        if !link.known_to_peer
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

    /// Appends requests and replies. If the body is still empty, the first one is added regardless
    /// of its size.
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

    /// Appends updates in order of priority, within the size limit and the budget.
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
