//! Divides the requests for warming endpoints among edges.

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;

use crate::{
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Time in milliseconds by which a share outlasts the announced warm-up time.
///
/// Edges learn of the endpoint later than of their share, and therefore expect the warm-up to end
/// later.
const WARMUP_SHARE_MARGIN_MS: u32 = 1500;

impl RegistryState {
    /// Sends a few edges their shares of the requests for an endpoint that is warming up.
    pub(crate) fn share_warmup(&self, record: &EndpointRecord) {
        if record.warming_ms == 0 || record.stage != EndpointStage::Ready {
            return;
        }
        let endpoint = EndpointTag::of(&record.name);
        let edges = self.edges.values();
        let ready = edges.filter(|edge| edge.stage == EdgeStage::Ready);
        let chosen = choose_warmup_edges(endpoint, ready.map(|edge| edge.address));
        let share = WarmupShare {
            endpoint,
            sharers: chosen.len() as u32,
            valid_ms: record.warming_ms.saturating_add(WARMUP_SHARE_MARGIN_MS),
        };
        let edges = self.edges.iter();
        let edges = edges.filter(|(_, edge)| chosen.contains(&edge.address));
        let links = edges.map(|(link, _): (&LinkKey, _)| link);
        let bytes = self.send_to_links(links, &LinkMessage::WarmupShare(share));
        tracing::info!(
            endpoint = record.name,
            warming_ms = record.warming_ms,
            sharers = share.sharers,
            bytes,
            "endpoint is warming up"
        );
    }
}
