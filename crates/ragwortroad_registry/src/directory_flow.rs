//! What a registry tells callers who ask which edges to use.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    ControlReply,
    registry_state::RegistryState, //
};

/// Longest time after a start in which edges find this registry.
///
/// Callers give up connections to addresses that an answer lacks. An answer before the edges are
/// connected would send all of them to the first one.
const GATHER_TIME: Duration = Duration::from_millis(1200);

/// Time without another edge after which a registry that has just started counts itself found.
///
/// After a common restart all edges come within a tenth of a second.
const JOIN_TIME: Duration = Duration::from_millis(250);

/// Most addresses in one answer of the directory; callers take no more.
const MAX_ADDRESSES: usize = 64;

impl RegistryState {
    /// Edges that take callers, for one that asks from an address.
    pub(crate) fn find_edges(&self, asker: IpAddr, now: ClockTime) -> ControlReply {
        let edges = self.edges.values();
        let ready = edges.filter(|edge| edge.stage == EdgeStage::Ready);
        let ready: Vec<SocketAddr> = ready.map(|edge| edge.address).collect();
        let is_new = now.since(self.started_at) < GATHER_TIME;
        let is_joined = now.since(self.joined_at) < JOIN_TIME;
        if is_new && (is_joined || ready.len() * 2 < self.edges.len()) {
            return ControlReply::Unavailable {
                reason: "edges are still being gathered",
            };
        }
        if ready.is_empty() {
            return ControlReply::Unavailable {
                reason: "no edge takes callers",
            };
        }
        let life = answer_life(self.settings.grace, self.settings.directory_life);
        ControlReply::Edges {
            addresses: choose_addresses(asker, ready, MAX_ADDRESSES),
            keep_s: life.as_secs(),
        }
    }
}
