use std::{
    collections::VecDeque,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    pending_queue::{
        NewsClass,
        PendingQueue, //
    },
    record_key::NewsKey,
    wire::wire_item::WireItem, //
};

/// Acknowledgements kept for one packet; the rest is sent again by the peer, which does no harm.
const MOST_ACKS: usize = 64;
/// Questions and answers kept for one peer; they are asked again where they matter.
const MOST_DIRECT: usize = 64;

/// What is exchanged with one peer.
#[derive(Debug)]
pub(crate) struct PeerLink {
    /// Whether it is a neighbour, so that all news goes to it.
    pub(crate) neighbour: bool,
    /// When the link was opened or became a neighbour's.
    pub(crate) since: ClockTime,
    /// When the peer was last heard.
    pub(crate) last_heard: Option<ClockTime>,
    /// When somebody else last reached the peer for us.
    pub(crate) last_reached: Option<ClockTime>,
    /// When a packet was last sent to it.
    pub(crate) last_sent: Option<ClockTime>,
    /// When it was last asked for a sign of life.
    pub(crate) last_asked: Option<ClockTime>,
    /// When helpers were last asked about it.
    pub(crate) last_helped: Option<ClockTime>,
    /// When it was last told of false news of itself.
    pub(crate) last_corrected: Option<ClockTime>,
    /// When its digest began to differ from ours.
    pub(crate) differs_since: Option<ClockTime>,
    /// When views were last compared in detail.
    pub(crate) last_sync: Option<ClockTime>,
    /// Not a neighbour before this time, as the direct way to it is broken.
    pub(crate) avoid_until: ClockTime,
    /// The peer's session, once heard.
    pub(crate) session: Option<u16>,
    /// Whether the peer has heard us; until then packets to it hold our record.
    pub(crate) met: bool,
    /// Sequence of the last packet with news.
    pub(crate) sequence: u32,
    /// Sequences to acknowledge.
    pub(crate) acks: Vec<u32>,
    /// When the acknowledgements must be out.
    pub(crate) ack_due: Option<ClockTime>,
    /// Whether the next packet asks for an answer at once.
    pub(crate) asking: bool,
    /// News that waits.
    pub(crate) pending: PendingQueue,
    /// Questions and answers that wait.
    pub(crate) direct: VecDeque<WireItem>,
    /// Packets not acknowledged yet, oldest first.
    pub(crate) in_flight: VecDeque<FlightPacket>,
}

/// A packet that was sent and not acknowledged yet.
#[derive(Debug)]
pub(crate) struct FlightPacket {
    /// Its sequence.
    pub(crate) sequence: u32,
    /// When it was sent.
    pub(crate) sent: ClockTime,
    /// Whether it held urgent news.
    pub(crate) urgent: bool,
    /// The news in it.
    pub(crate) news: Vec<(NewsClass, NewsKey)>,
}

impl PeerLink {
    /// A link without any traffic yet.
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            neighbour: false,
            since: now,
            last_heard: None,
            last_reached: None,
            last_sent: None,
            last_asked: None,
            last_helped: None,
            last_corrected: None,
            differs_since: None,
            last_sync: None,
            avoid_until: ClockTime::ZERO,
            session: None,
            met: false,
            sequence: 0,
            acks: Vec::new(),
            ack_due: None,
            asking: false,
            pending: PendingQueue::default(),
            direct: VecDeque::new(),
            in_flight: VecDeque::new(),
        }
    }

    /// Time since the peer was heard, or since it could first be expected to speak.
    pub(crate) fn silence(&self, now: ClockTime) -> Duration {
        let heard = self.last_heard.unwrap_or(self.since);
        now.since(heard.max(self.since))
    }

    /// Time since anything passed in either direction.
    pub(crate) fn idle(&self, now: ClockTime) -> Duration {
        let sent = self.last_sent.unwrap_or(self.since);
        self.silence(now).min(now.since(sent))
    }

    /// Notes the peer's session; a restarted peer has lost what it was told.
    pub(crate) fn meet_session(&mut self, session: u16) {
        if self.session.is_some_and(|known| known != session) {
            self.acks.clear();
            self.met = false;
            self.take_back_flights(|_| true);
        }
        self.session = Some(session);
    }

    /// Notes a received packet that must be acknowledged by `due`.
    pub(crate) fn owe_ack(&mut self, sequence: u32, due: ClockTime) {
        if self.acks.len() < MOST_ACKS {
            self.acks.push(sequence);
        }
        self.ack_due = Some(self.ack_due.map_or(due, |known| known.min(due)));
    }

    /// Drops packets that the peer has acknowledged.
    pub(crate) fn take_acks(&mut self, acks: &[u32]) {
        self.in_flight
            .retain(|flight| !acks.contains(&flight.sequence));
    }

    /// Puts news back into the queue whose packets were not acknowledged in time.
    pub(crate) fn requeue_lost(&mut self, now: ClockTime, normal: Duration, urgent: Duration) {
        self.take_back_flights(|flight| {
            let limit = if flight.urgent { urgent } else { normal };
            now.since(flight.sent) >= limit
        });
    }

    /// Puts the news of all packets that `lost` picks back into the queue.
    fn take_back_flights(&mut self, lost: impl Fn(&FlightPacket) -> bool) {
        let mut kept = VecDeque::with_capacity(self.in_flight.len());
        for flight in self.in_flight.drain(..) {
            if !lost(&flight) {
                kept.push_back(flight);
                continue;
            }
            for (class, key) in flight.news {
                self.pending.push(class, key);
            }
        }
        self.in_flight = kept;
    }

    /// Queues a question or answer.
    pub(crate) fn push_direct(&mut self, item: WireItem) {
        if self.direct.len() < MOST_DIRECT && !self.direct.contains(&item) {
            self.direct.push_back(item);
        }
    }
}
