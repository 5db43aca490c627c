//! Dispatches messages from other nodes by channel.

use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;

use crate::control::control_state::ControlState;

impl ControlState {
    /// Handles an event from the transport.
    pub(crate) fn handle_peer(&mut self, event: PeerEvent, now: ClockTime) {
        match event {
            PeerEvent::Received(message) => self.handle_message(message, now),
            PeerEvent::PeerLost { peer, reason } => {
                tracing::debug!(node = self.node_name(peer), reason, "connection lost");
            }
        }
    }

    fn handle_message(&mut self, message: PeerMessage, now: ClockTime) {
        let PeerMessage {
            from,
            channel,
            bytes,
        } = message;
        let Some(bytes) = self.events.strip_stamp(&bytes) else {
            tracing::warn!(%from, "message has no timestamp; upgrade the older node");
            return;
        };
        match channel {
            PeerChannel::Gossip => self.handle_gossip(from, bytes, now),
            PeerChannel::Consensus => self.handle_frame(from, &bytes, now),
            PeerChannel::Slots => self.handle_slots(from, &bytes, now),
            PeerChannel::Follow => self.handle_follow(from, &bytes, now),
            PeerChannel::Timeline => {
                tracing::debug!(%from, "ignored a message on an unused channel");
            }
        }
    }
}
