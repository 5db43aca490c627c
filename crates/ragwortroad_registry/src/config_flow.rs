//! How a registry gives edges the configuration that they ask for.

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

/// Least time between two rounds of copies; in it an edge that was given one can serve another.
const COPY_ROUND_INTERVAL: Duration = Duration::from_millis(50);

impl RegistryState {
    /// Sends an edge the steps from the configuration that it has, or notes that it needs a whole one.
    pub(crate) fn send_config(&mut self, link: LinkKey, above: Option<u64>, direct: bool) {
        let Some(queue) = self.links.get(&link) else {
            return;
        };
        if above >= self.driver.register().version() {
            return;
        }
        let known = above.and_then(|version| self.driver.history().since(version));
        match known {
            Some(steps) => {
                queue.send(&LinkMessage::ConfigDeltas(steps));
            }
            None if direct => self.copies.want_direct(link.0),
            None => self.copies.want(link.0),
        }
    }

    /// Sends whole configurations to those that need one, as many as the link takes, in their order;
    /// refers the others to edges that have it.
    ///
    /// Sent at once, all copies would come together and late, and heartbeats behind them.
    pub(crate) fn send_full_configs(&mut self, now: ClockTime) {
        if now < self.next_copies_at || self.copies.is_empty() {
            return;
        }
        let step = match self.driver.full_delta() {
            Ok(Some(step)) => step,
            // Whoever asked does so again when there is one.
            Ok(None) => {
                self.copies = CopyQueue::default();
                return;
            }
            Err(error) => {
                tracing::error!(%error, "the configuration cannot be packed");
                self.copies = CopyQueue::default();
                return;
            }
        };
        let pace = SendPace::of_configs(self.link_bytes_per_second());
        let most = pace.items_at_once(1, step.packed.len().max(1) as f64);
        let helpers = self.config_helpers();
        let plan = self.copies.plan(most, &helpers);
        for referral in &plan.referred {
            if let Some(queue) = self.links.get(&LinkKey(referral.edge)) {
                queue.send(&LinkMessage::ConfigAt(referral.helper));
            }
        }
        let direct: Vec<LinkKey> = plan.direct.iter().copied().map(LinkKey).collect();
        let message = LinkMessage::ConfigDeltas(vec![step]);
        let bytes = self.send_to_links(direct.iter(), &message);
        self.next_copies_at = now.after(pace.span(bytes).max(COPY_ROUND_INTERVAL));
        tracing::info!(
            edges = direct.len(),
            referred = plan.referred.len(),
            waiting = self.copies.len(),
            bytes,
            "whole configurations sent"
        );
    }

    /// Edges that have the configuration and may give it to others.
    fn config_helpers(&self) -> Vec<SocketAddr> {
        let edges = self.edges.values();
        let ready = edges.filter(|edge| edge.stage == EdgeStage::Ready);
        ready.map(|edge| edge.inner).collect()
    }
}
