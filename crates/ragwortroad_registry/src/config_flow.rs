//! How a registry gives edges the configuration that they ask for.

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

impl RegistryState {
    /// Sends an edge the steps from the configuration that it has, or notes that it needs a whole one.
    pub(crate) fn give_config(&mut self, link: LinkKey, above: Option<u64>) {
        let Some(queue) = self.links.get(&link) else {
            return;
        };
        if above >= self.seat.register().version() {
            return;
        }
        let known = above.and_then(|version| self.seat.history().since(version));
        match known {
            Some(steps) => {
                queue.send(&LinkMessage::ConfigSteps(steps));
            }
            None if self.wholes.contains(&link) => {}
            None => self.wholes.push_back(link),
        }
    }

    /// Sends whole configurations to those that need one, as many as the link takes, in their order.
    ///
    /// After a common restart all edges need one. Sent at once, all copies would come together and
    /// late, and heartbeats behind them; one after the other, most edges serve sooner.
    pub(crate) fn give_wholes(&mut self, now: ClockTime) {
        if now < self.wholes_at || self.wholes.is_empty() {
            return;
        }
        let step = match self.seat.whole_step() {
            Ok(Some(step)) => step,
            Ok(None) => return self.wholes.clear(),
            Err(error) => {
                tracing::error!(%error, "the configuration cannot be packed");
                return self.wholes.clear();
            }
        };
        let pace = TellingPace::of_configs(self.link_rate());
        let size = step.packed.len();
        let most = pace.items_at_once(1, size.max(1) as f64);
        let taken = self.wholes.len().min(most);
        let links: Vec<LinkKey> = self.wholes.drain(..taken).collect();
        let message = LinkMessage::ConfigSteps(vec![step]);
        let bytes = self.tell_links(links.iter(), &message);
        self.wholes_at = now.after(pace.span(bytes));
        let waiting = self.wholes.len();
        tracing::info!(edges = taken, waiting, bytes, "whole configurations sent");
    }
}
