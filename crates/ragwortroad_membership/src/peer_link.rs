use std::{
    collections::VecDeque,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    pending_queue::{
        PendingQueue,
        UpdatePriority, //
    },
    record_key::UpdateKey,
    wire::wire_item::WireItem, //
};

/// Maximum number of acknowledgements queued for a peer. The peer resends packets that are not
/// acknowledged, which is harmless.
const MAX_QUEUED_ACKS: usize = 64;
/// Maximum number of requests and replies queued for a peer. Dropped ones are requested again if
/// they still matter.
const MAX_DIRECT_ITEMS: usize = 64;

/// Protocol state for one peer.
#[derive(Debug)]
pub(crate) struct PeerLink {
    /// Whether the peer is a neighbour; all updates are sent to neighbours.
    pub(crate) is_neighbour: bool,
    /// When the link was opened or the peer became a neighbour.
    pub(crate) since: ClockTime,
    /// When the last packet from the peer arrived.
    pub(crate) last_received: Option<ClockTime>,
    /// When another node last reached the peer on behalf of this one.
    pub(crate) last_indirect_ack: Option<ClockTime>,
    /// When the last packet was sent to the peer.
    pub(crate) last_sent: Option<ClockTime>,
    /// When the peer was last probed.
    pub(crate) last_probe: Option<ClockTime>,
    /// When other nodes were last asked to probe the peer.
    pub(crate) last_indirect_probe: Option<ClockTime>,
    /// When the peer was last told that this node considers it suspected or down.
    pub(crate) last_correction: Option<ClockTime>,
    /// Since when the peer's digest has differed from the local one.
    pub(crate) differs_since: Option<ClockTime>,
    /// When the digests were last compared in detail.
    pub(crate) last_sync: Option<ClockTime>,
    /// The peer is not chosen as a neighbour before this time, because the direct path to it is
    /// broken.
    pub(crate) avoid_until: ClockTime,
    /// The peer's session, once a packet has arrived from it.
    pub(crate) session: Option<u16>,
    /// Whether the peer has received a packet from this node. Until then, packets to it include the
    /// local node's record.
    pub(crate) known_to_peer: bool,
    /// Sequence number of the last packet that contained updates.
    pub(crate) sequence: u32,
    /// Sequence numbers to acknowledge.
    pub(crate) acks: Vec<u32>,
    /// Latest time to send the queued acknowledgements.
    pub(crate) ack_due: Option<ClockTime>,
    /// Whether the next packet requests an immediate reply.
    pub(crate) probe_due: bool,
    /// Updates that have not been sent yet.
    pub(crate) pending: PendingQueue,
    /// Requests and replies that have not been sent yet.
    pub(crate) direct_items: VecDeque<WireItem>,
    /// Unacknowledged packets, oldest first.
    pub(crate) in_flight: VecDeque<SentPacket>,
}

/// A packet that was sent and has not been acknowledged.
#[derive(Debug)]
pub(crate) struct SentPacket {
    pub(crate) sequence: u32,
    pub(crate) sent_at: ClockTime,
    /// Whether the packet contained urgent updates.
    pub(crate) urgent: bool,
    /// The updates in the packet.
    pub(crate) updates: Vec<(UpdatePriority, UpdateKey)>,
}

impl PeerLink {
    /// Creates a link without any traffic yet.
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            is_neighbour: false,
            since: now,
            last_received: None,
            last_indirect_ack: None,
            last_sent: None,
            last_probe: None,
            last_indirect_probe: None,
            last_correction: None,
            differs_since: None,
            last_sync: None,
            avoid_until: ClockTime::ZERO,
            session: None,
            known_to_peer: false,
            sequence: 0,
            acks: Vec::new(),
            ack_due: None,
            probe_due: false,
            pending: PendingQueue::default(),
            direct_items: VecDeque::new(),
            in_flight: VecDeque::new(),
        }
    }

    /// Time since the last packet from the peer, or since `since` if that is later.
    pub(crate) fn silence(&self, now: ClockTime) -> Duration {
        let last_activity = self.last_received.unwrap_or(self.since);
        now.since(last_activity.max(self.since))
    }

    /// Time since the last packet in either direction.
    pub(crate) fn idle(&self, now: ClockTime) -> Duration {
        let sent_at = self.last_sent.unwrap_or(self.since);
        self.silence(now).min(now.since(sent_at))
    }

    /// Stores the peer's session. If it has changed, the peer has restarted and lost its state, so
    /// unacknowledged updates are sent again.
    pub(crate) fn update_session(&mut self, session: u16) {
        if self.session.is_some_and(|known| known != session) {
            self.acks.clear();
            self.known_to_peer = false;
            self.requeue_matching(|_| true);
        }
        self.session = Some(session);
    }

    /// Queues an acknowledgement that must be sent by `due`.
    pub(crate) fn queue_ack(&mut self, sequence: u32, due: ClockTime) {
        if self.acks.len() < MAX_QUEUED_ACKS {
            self.acks.push(sequence);
        }
        self.ack_due = Some(self.ack_due.map_or(due, |known| known.min(due)));
    }

    /// Drops the packets that the peer has acknowledged.
    pub(crate) fn remove_acked(&mut self, acks: &[u32]) {
        self.in_flight
            .retain(|packet| !acks.contains(&packet.sequence));
    }

    /// Requeues the updates of packets that were not acknowledged in time.
    pub(crate) fn requeue_lost(&mut self, now: ClockTime, normal: Duration, urgent: Duration) {
        self.requeue_matching(|packet| {
            let limit = if packet.urgent { urgent } else { normal };
            now.since(packet.sent_at) >= limit
        });
    }

    /// Requeues the updates of all packets for which `is_lost` returns true.
    fn requeue_matching(&mut self, is_lost: impl Fn(&SentPacket) -> bool) {
        let mut remaining = VecDeque::with_capacity(self.in_flight.len());
        for packet in self.in_flight.drain(..) {
            if !is_lost(&packet) {
                remaining.push_back(packet);
                continue;
            }
            for (priority, key) in packet.updates {
                self.pending.push(priority, key);
            }
        }
        self.in_flight = remaining;
    }

    /// Queues a request or reply, unless the queue is full or already holds an equal one.
    pub(crate) fn push_direct(&mut self, item: WireItem) {
        if self.direct_items.len() < MAX_DIRECT_ITEMS && !self.direct_items.contains(&item) {
            self.direct_items.push_back(item);
        }
    }
}
