use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::EndpointTag;

/// Number of edges that share the requests to one warming endpoint.
///
/// High enough that the loss of one leaves most of the endpoint's rate in use, and low enough that
/// each edge has requests to send at its share of the rate.
const WARMUP_EDGES: usize = 4;

/// An edge's share of the requests that a warming endpoint tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WarmupShare {
    /// Tag of the endpoint.
    pub endpoint: EndpointTag,
    /// Number of edges with a share, including this one.
    pub sharers: u32,
    /// Milliseconds until the share expires.
    pub valid_ms: u32,
}

/// Returns the edges that may send requests to a warming endpoint.
///
/// An endpoint that has just started appears idle to every edge at once, and a single request from
/// each would overload it. Therefore only a few edges send requests there, each at its share of the
/// rate. All registries choose the same ones from the same set of edges, by a hash of both names
/// (rendezvous hashing).
pub fn choose_warmup_edges(
    endpoint: EndpointTag,
    edges: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    let rank = |edge: &SocketAddr| {
        let name = edge.to_string();
        xxh3_64_with_seed(name.as_bytes(), u64::from(endpoint.0))
    };
    let mut edges: Vec<SocketAddr> = edges.collect();
    edges.sort_by_cached_key(rank);
    edges.truncate(WARMUP_EDGES);
    edges
}
