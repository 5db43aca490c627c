use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use xxhash_rust::xxh3::xxh3_64;

/// Selects up to `most` of the ready edges for one client to connect to.
///
/// Clients close connections to addresses that a new response omits, so a client has to get the
/// same edges for as long as these exist. The same response for all clients would leave the other
/// edges idle, and overload those that are named several times. Ranking edges by a hash of the
/// client's address and the edge's (rendezvous hashing) changes one client's response only when
/// edges come or go, and names each edge about equally often over all clients.
pub fn choose_addresses(asker: IpAddr, mut ready: Vec<SocketAddr>, most: usize) -> Vec<SocketAddr> {
    if ready.len() > most {
        ready.sort_by_cached_key(|edge| xxh3_64(format!("{asker} {edge}").as_bytes()));
        ready.truncate(most);
    }
    ready
}

/// Multiple of the TTL for which some clients keep a response.
const MAX_TTL_MULTIPLE: u32 = 3;

/// Returns the TTL of a response with edge addresses, at least one second and at most `most`.
///
/// All clients have to drop the address of a stopping edge within its grace time. Up to that, a
/// longer TTL is better: when a registry has lost its power, each client that queries it waits a
/// second, and lookups made for a request with a shorter deadline fail.
pub fn response_ttl(grace: Duration, most: Duration) -> Duration {
    // The additional share leaves the edge time to finish the last requests.
    let max_ttl = grace / (MAX_TTL_MULTIPLE + 1);
    max_ttl.min(most).max(Duration::from_secs(1))
}
