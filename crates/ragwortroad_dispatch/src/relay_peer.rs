use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of edges among which one edge divides its requests.
const MAX_RELAY_PEERS: usize = 8;

/// Load above the share of each edge that reaches endpoints, as a multiple, up to which an edge
/// takes requests of others; shares are never equal.
const SHARE_MULTIPLE: f64 = 1.5;

/// Requests in flight that an edge takes in any case.
const SHARE_SLACK: f64 = 16.0;

/// An edge that takes requests of edges which have lost contact with endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayPeer {
    /// Address on which it accepts clients.
    pub address: SocketAddr,
    /// Secret by which it tells requests of other edges from those of clients.
    pub key: RelayKey,
}

/// Secret of one run of an edge, known to registries and the edges that they refer to it.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayKey(pub u128);

impl std::fmt::Debug for RelayKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("RelayKey(..)")
    }
}

/// An edge as a possible peer of another one.
#[derive(Clone, Debug)]
pub struct RelayCandidate {
    /// Address and key of the edge.
    pub peer: RelayPeer,
    /// Failure domain of the edge.
    pub zone: String,
    /// Whether it has lost contact with endpoints itself.
    pub is_cut_off: bool,
}

/// Selects the edges that take the requests of an edge in `zone` that has lost contact with
/// endpoints. `candidates` are all ready edges, with that edge among them.
///
/// The edges of its own domain are nearest. They take the requests unless more edges of the domain
/// are cut off than are not, which would leave each with the load of several. Ranking by a hash of both edges
/// (rendezvous hashing) divides the load evenly over them.
pub fn choose_relay_peers(
    asking: SocketAddr,
    zone: &str,
    candidates: &[RelayCandidate],
) -> Vec<RelayPeer> {
    let others = candidates
        .iter()
        .filter(|candidate| candidate.peer.address != asking);
    let reaching = others.filter(|candidate| !candidate.is_cut_off);
    let (near, far): (Vec<_>, Vec<_>) = reaching.partition(|candidate| candidate.zone == zone);
    let cut_off = candidates.iter().filter(|candidate| candidate.is_cut_off);
    let near_cut_off = cut_off.filter(|candidate| candidate.zone == zone).count();
    let mut chosen = near;
    if chosen.len() < near_cut_off.max(1) {
        chosen.extend(far);
    }
    let rank = |candidate: &&RelayCandidate| {
        let seed = xxh3_64_with_seed(asking.to_string().as_bytes(), 0);
        xxh3_64_with_seed(candidate.peer.address.to_string().as_bytes(), seed)
    };
    chosen.sort_by_cached_key(rank);
    let chosen = chosen.into_iter().take(MAX_RELAY_PEERS);
    chosen.map(|candidate| candidate.peer.clone()).collect()
}

/// Returns the number of requests in flight up to which an edge takes requests of others.
///
/// `total` is the number at all edges, of which `cut_off` have lost contact with endpoints.
pub fn relay_limit(total: u32, edges: u32, cut_off: u32) -> f64 {
    let reaching = edges.saturating_sub(cut_off).max(1);
    f64::from(total) / f64::from(reaching) * SHARE_MULTIPLE + SHARE_SLACK
}
