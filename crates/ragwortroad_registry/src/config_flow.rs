//! Sends edges the configuration that they request.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Minimum time between two rounds of full copies. Within it, an edge that received a copy becomes
/// able to serve another edge.
const COPY_ROUND_INTERVAL: Duration = Duration::from_millis(50);

impl RegistryState {
    /// Sends an edge the deltas since version `above`, or queues it for a full copy if they are not
    /// all kept here.
    pub(crate) fn send_config(&mut self, link: LinkKey, above: Option<u64>, direct: bool) {
        let Some(queue) = self.links.get(&link) else {
            return;
        };
        if above >= self.driver.register().version() {
            return;
        }
        let deltas = above.and_then(|version| self.driver.history().since(version));
        match deltas {
            Some(deltas) => {
                queue.send(&LinkMessage::ConfigDeltas(deltas));
            }
            None if direct => self.copies.enqueue_direct(link.0),
            None => self.copies.enqueue(link.0),
        }
    }

    /// Sends full configurations to waiting edges in request order, as many as the link carries,
    /// and refers the other edges to edges that already have the configuration.
    ///
    /// Sending all copies at once would delay every one of them, and the heartbeats queued behind
    /// them.
    pub(crate) fn send_full_configs(&mut self, now: ClockTime) {
        if now < self.next_copies_at || self.copies.is_empty() {
            return;
        }
        let delta = match self.driver.full_delta() {
            Ok(Some(delta)) => delta,
            // The edges ask again once a configuration exists.
            Ok(None) => {
                self.copies = CopyQueue::default();
                return;
            }
            Err(error) => {
                tracing::error!(%error, "failed to compress the configuration");
                self.copies = CopyQueue::default();
                return;
            }
        };
        let pace = SendPace::for_configs(self.link_bytes_per_second());
        let max_copies = pace.max_batch_items(1, delta.packed.len().max(1) as f64);
        let helpers = self.config_helpers();
        let plan = self.copies.plan(max_copies, &helpers);
        for referral in &plan.referred {
            if let Some(queue) = self.links.get(&LinkKey(referral.edge)) {
                queue.send(&LinkMessage::ConfigAt(referral.helper));
            }
        }
        let direct: Vec<LinkKey> = plan.direct.iter().copied().map(LinkKey).collect();
        let message = LinkMessage::ConfigDeltas(vec![delta]);
        let bytes = self.send_to_links(direct.iter(), &message);
        self.link_account.note_sent(bytes, now);
        self.next_copies_at = now.after(pace.delay_after(bytes).max(COPY_ROUND_INTERVAL));
        tracing::info!(
            edges = direct.len(),
            referred = plan.referred.len(),
            waiting = self.copies.len(),
            bytes,
            "full configurations sent"
        );
    }

    /// Inner addresses of the edges that have the configuration and can serve it to others.
    fn config_helpers(&self) -> Vec<SocketAddr> {
        let edges = self.edges.values();
        let ready = edges.filter(|edge| edge.stage == EdgeStage::Ready);
        ready.map(|edge| edge.inner).collect()
    }
}
