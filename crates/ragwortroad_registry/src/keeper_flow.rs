//! Tells edges which of them may keep the places of scarce services.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    edge_entry::EdgeEntry,
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Time for which the edges that may keep places are not selected again.
///
/// All edges ask about once a second while a service is contended.
const CANDIDATES_INTERVAL: Duration = Duration::from_millis(200);

impl RegistryState {
    /// The ready edges, as candidates to take requests of others.
    pub(crate) fn relay_candidates(&self) -> Vec<RelayCandidate> {
        let edges = self.edges.values();
        let ready = edges.filter(|edge| edge.stage == EdgeStage::Ready);
        ready.map(EdgeEntry::relay_candidate).collect()
    }

    /// Tells an edge which edges may keep the places of scarce services.
    pub(crate) fn send_keepers(&mut self, link: LinkKey, now: ClockTime) {
        if now >= self.next_keepers_at {
            self.next_keepers_at = now.after(CANDIDATES_INTERVAL);
            let keepers = choose_keeper_candidates(&self.relay_candidates());
            if keepers != self.keepers {
                let addresses = keepers.iter().map(|keeper| keeper.edge.address);
                let addresses: Vec<_> = addresses.collect();
                tracing::info!(edges = ?addresses, "edges that may keep places changed");
            }
            self.keepers = keepers;
        }
        if let Some(queue) = self.links.get(&link) {
            queue.send(&LinkMessage::PlaceKeepers(self.keepers.clone()));
        }
    }
}
