//! How a registry divides the requests for endpoints that warm up among edges.

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;

use crate::{
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Milliseconds for which a part outlasts the time to warm up that the endpoint told.
///
/// Edges hear of the endpoint later than of their part, and so expect it to be warm later.
const WARMUP_SHARE_MARGIN_MS: u32 = 1500;

impl RegistryState {
    /// Gives a few edges their parts of the requests for an endpoint, if it warms up.
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
            "endpoint warms up"
        );
    }
}
