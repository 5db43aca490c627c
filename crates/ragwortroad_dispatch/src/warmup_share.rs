use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::EndpointTag;

/// Edges that share the requests for one endpoint that warms up.
///
/// Enough that the loss of one leaves most of the endpoint's rate in use, and few enough that each
/// still has requests to send at its part of the rate.
const WARMUP_EDGES: usize = 4;

/// An edge's part of the requests that an endpoint takes while it warms up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WarmupShare {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// Edges that have such a part, this one among them.
    pub sharers: u32,
    /// Milliseconds for which the part is valid.
    pub valid_ms: u32,
}

/// The edges that may send requests to an endpoint while it warms up.
///
/// An endpoint that has just started looks empty to every edge at once; if each sent it a single
/// request, it would break down under the sum. So few edges send there, each at its part of the
/// rate. All registries choose the same ones from the same edges, by a hash of both names.
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
