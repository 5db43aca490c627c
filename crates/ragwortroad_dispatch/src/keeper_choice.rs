//! Which edge keeps the places of an endpoint, and to which keeper a request goes.

use std::net::SocketAddr;

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::{
    EndpointTag,
    KeeperCandidate,
    endpoint_selection::filter_healthy, //
};

/// An endpoint of a scarce service.
#[derive(Clone, Copy, Debug)]
pub struct ScarceEndpoint<'a> {
    /// Tag of its name, which is the same at all edges.
    pub endpoint: EndpointTag,
    /// Its failure domain.
    pub zone: &'a str,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Failure rate of recent requests that this edge has led to it, from 0 to 1.
    pub failure_rate: f64,
}

/// Inverse of the share of its slots for which requests may queue at an endpoint.
///
/// A slot that becomes free is taken at once, instead of a round trip later: these requests cover a
/// round trip of up to a quarter of the time that the work takes.
const QUEUE_SLOT_DIVISOR: u32 = 4;

/// Returns whether fewer requests can run at the endpoints than there are edges; false if an
/// endpoint has no known number of slots, and if there is no endpoint.
pub fn is_scarce(slots: impl Iterator<Item = u32>, edges: u32) -> bool {
    let mut total = 0_u32;
    for slots in slots {
        total = total.saturating_add(slots);
        if slots == 0 || total >= edges {
            return false;
        }
    }
    total > 0
}

/// Returns whether the edges together have more requests at the endpoints of a service than run there.
pub fn is_overcommitted(total: u32, slots: u32) -> bool {
    total > slots
}

/// Returns the largest number of requests that a keeper has at an endpoint with `slots` slots.
pub fn keeper_limit(slots: u32) -> u32 {
    slots + slots.div_ceil(QUEUE_SLOT_DIVISOR)
}

/// Returns the candidate that keeps each endpoint, by its position; empty if there is no candidate.
///
/// All edges that know the same endpoints and candidates assign them alike. No candidate keeps two
/// endpoints while another one keeps none; among equals, those of the endpoint's domain precede
/// others, in an order by a hash of endpoint and edge (rendezvous hashing).
pub fn assign_keepers(
    endpoints: &[ScarceEndpoint<'_>],
    candidates: &[&KeeperCandidate],
) -> Vec<usize> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let hashes = candidates.iter();
    let hashes = hashes.map(|candidate| xxh3_64(candidate.edge.address.to_string().as_bytes()));
    let hashes: Vec<u64> = hashes.collect();
    let mut order: Vec<usize> = (0..endpoints.len()).collect();
    order.sort_by_key(|position| endpoints[*position].endpoint);
    let mut kept = vec![0_u32; candidates.len()];
    let mut keepers = vec![0; endpoints.len()];
    for position in order {
        let ScarceEndpoint { endpoint, zone, .. } = endpoints[position];
        let rank = |candidate: &usize| {
            let is_far = candidates[*candidate].zone != zone;
            let EndpointTag(tag) = endpoint;
            let hash = xxh3_64_with_seed(&tag.to_le_bytes(), hashes[*candidate]);
            (kept[*candidate], is_far, hash)
        };
        let keeper = (0..candidates.len()).min_by_key(rank).unwrap_or_default();
        kept[keeper] += 1;
        keepers[position] = keeper;
    }
    keepers
}

/// Selects one of the endpoints whose keepers may be asked, at random by their slots.
///
/// Edges do not know how many requests others lead to a keeper, so none is preferred for that.
/// Returns `None` if there is no endpoint.
pub(crate) fn choose_scarce_endpoint<'a>(
    open: &[(ScarceEndpoint<'a>, SocketAddr)],
    draw: f64,
) -> Option<(ScarceEndpoint<'a>, SocketAddr)> {
    let healthy = filter_healthy(open, |(endpoint, _)| endpoint.failure_rate);
    let total: u32 = healthy.iter().map(|(endpoint, _)| endpoint.slots).sum();
    let mut rest = (draw * f64::from(total)) as u32;
    let mut chosen = healthy.iter().filter(|(endpoint, _)| {
        let is_chosen = rest < endpoint.slots;
        rest = rest.saturating_sub(endpoint.slots);
        is_chosen
    });
    chosen.next().or(healthy.last()).copied()
}
