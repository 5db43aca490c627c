use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    RelayCandidate,
    RelayPeer, //
};

/// Edges of each failure domain that may keep places.
///
/// Services with more endpoints in a domain have several of them kept by one edge.
const CANDIDATES_PER_DOMAIN: usize = 8;

/// An edge that may keep the places of endpoints of scarce services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeeperCandidate {
    /// Address and key of the edge.
    pub edge: RelayPeer,
    /// Failure domain of the edge.
    pub zone: String,
}

/// Selects the edges that may keep places, from the ready edges of the fleet.
///
/// All registries select the same ones from the same set, by a hash of their addresses.
pub fn choose_keeper_candidates(edges: &[RelayCandidate]) -> Vec<KeeperCandidate> {
    let mut edges: Vec<&RelayCandidate> = edges.iter().filter(|edge| !edge.is_cut_off).collect();
    edges.sort_by_cached_key(|edge| {
        let address = edge.peer.address.to_string();
        (edge.zone.clone(), xxh3_64(address.as_bytes()))
    });
    let domains = edges.chunk_by(|one, other| one.zone == other.zone);
    let chosen = domains.flat_map(|domain| domain.iter().take(CANDIDATES_PER_DOMAIN));
    let chosen = chosen.map(|candidate| KeeperCandidate {
        edge: candidate.peer.clone(),
        zone: candidate.zone.clone(),
    });
    chosen.collect()
}
