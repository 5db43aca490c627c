use std::{
    collections::VecDeque,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    pending_queue::{
        PendingQueue, //
        UpdatePriority,
    },
    record_key::UpdateKey,
    wire::wire_item::WireItem, //
};

/// Acknowledgements kept for one packet; the rest is sent again by the peer, which does no harm.
const MAX_QUEUED_ACKS: usize = 64;
/// Questions and answers kept for one peer; they are asked again where they matter.
const MAX_DIRECT_ITEMS: usize = 64;

/// What is exchanged with one peer.
#[derive(Debug)]
pub(crate) struct PeerLink {
    /// Whether it is a neighbour, so that all news goes to it.
    pub(crate) is_neighbour: bool,
    /// When the link was opened or became a neighbour's.
    pub(crate) since: ClockTime,
    /// When the peer was last heard.
    pub(crate) last_received: Option<ClockTime>,
    /// When somebody else last reached the peer for us.
    pub(crate) last_indirect_ack: Option<ClockTime>,
    /// When a packet was last sent to it.
    pub(crate) last_sent: Option<ClockTime>,
    /// When it was last asked for a sign of life.
    pub(crate) last_probe: Option<ClockTime>,
    /// When helpers were last asked about it.
    pub(crate) last_indirect_probe: Option<ClockTime>,
    /// When it was last told of false news of itself.
    pub(crate) last_correction: Option<ClockTime>,
    /// When its digest began to differ from ours.
    pub(crate) differs_since: Option<ClockTime>,
    /// When views were last compared in detail.
    pub(crate) last_sync: Option<ClockTime>,
    /// Not a neighbour before this time, as the direct way to it is broken.
    pub(crate) avoid_until: ClockTime,
    /// The peer's session, once heard.
    pub(crate) session: Option<u16>,
    /// Whether the peer has heard us; until then packets to it hold our record.
    pub(crate) peer_knows_us: bool,
    /// Sequence of the last packet with news.
    pub(crate) sequence: u32,
    /// Sequences to acknowledge.
    pub(crate) acks: Vec<u32>,
    /// When the acknowledgements must be out.
    pub(crate) ack_due: Option<ClockTime>,
    /// Whether the next packet asks for an answer at once.
    pub(crate) probe_due: bool,
    /// News that waits.
    pub(crate) pending: PendingQueue,
    /// Questions and answers that wait.
    pub(crate) direct_items: VecDeque<WireItem>,
    /// Packets not acknowledged yet, oldest first.
    pub(crate) in_flight: VecDeque<SentPacket>,
}

/// A packet that was sent and not acknowledged yet.
#[derive(Debug)]
pub(crate) struct SentPacket {
    /// Its sequence.
    pub(crate) sequence: u32,
    /// When it was sent.
    pub(crate) sent_at: ClockTime,
    /// Whether it held urgent news.
    pub(crate) urgent: bool,
    /// The news in it.
    pub(crate) updates: Vec<(UpdatePriority, UpdateKey)>,
}

impl PeerLink {
    /// A link without any traffic yet.
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
            peer_knows_us: false,
            sequence: 0,
            acks: Vec::new(),
            ack_due: None,
            probe_due: false,
            pending: PendingQueue::default(),
            direct_items: VecDeque::new(),
            in_flight: VecDeque::new(),
        }
    }

    /// Time since the peer was heard, or since it could first be expected to speak.
    pub(crate) fn silence(&self, now: ClockTime) -> Duration {
        let last_activity = self.last_received.unwrap_or(self.since);
        now.since(last_activity.max(self.since))
    }

    /// Time since anything passed in either direction.
    pub(crate) fn idle(&self, now: ClockTime) -> Duration {
        let sent_at = self.last_sent.unwrap_or(self.since);
        self.silence(now).min(now.since(sent_at))
    }

    /// Notes the peer's session; a restarted peer has lost what it was told.
    pub(crate) fn update_session(&mut self, session: u16) {
        if self.session.is_some_and(|known| known != session) {
            self.acks.clear();
            self.peer_knows_us = false;
            self.requeue_matching(|_| true);
        }
        self.session = Some(session);
    }

    /// Notes a received packet that must be acknowledged by `due`.
    pub(crate) fn queue_ack(&mut self, sequence: u32, due: ClockTime) {
        if self.acks.len() < MAX_QUEUED_ACKS {
            self.acks.push(sequence);
        }
        self.ack_due = Some(self.ack_due.map_or(due, |known| known.min(due)));
    }

    /// Drops packets that the peer has acknowledged.
    pub(crate) fn remove_acked(&mut self, acks: &[u32]) {
        self.in_flight
            .retain(|packet| !acks.contains(&packet.sequence));
    }

    /// Puts news back into the queue whose packets were not acknowledged in time.
    pub(crate) fn requeue_lost(&mut self, now: ClockTime, normal: Duration, urgent: Duration) {
        self.requeue_matching(|packet| {
            let limit = if packet.urgent { urgent } else { normal };
            now.since(packet.sent_at) >= limit
        });
    }

    /// Puts the news of all packets that `lost` picks back into the queue.
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

    /// Queues a question or answer.
    pub(crate) fn push_direct(&mut self, item: WireItem) {
        if self.direct_items.len() < MAX_DIRECT_ITEMS && !self.direct_items.contains(&item) {
            self.direct_items.push_back(item);
        }
    }
}
