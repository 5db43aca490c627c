use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Selects up to `most` of the ready edges for one client to connect to.
///
/// Clients close connections to addresses that a new response omits, so a client has to get the
/// same edges for as long as these exist. The same response for all clients would leave the other
/// edges idle, and overload those that are named several times. Ranking edges by a hash of the
/// client's address and the edge's (rendezvous hashing) changes one client's response only when
/// edges come or go, and names each edge about equally often over all clients.
pub fn choose_addresses(
    client: IpAddr,
    mut ready: Vec<SocketAddr>,
    most: usize,
) -> Vec<SocketAddr> {
    if ready.len() <= most {
        return ready;
    }
    let seed = xxh3_64(&ip_bytes(client));
    let rank = |edge: &SocketAddr| {
        let ip_rank = xxh3_64_with_seed(&ip_bytes(edge.ip()), seed);
        xxh3_64_with_seed(&edge.port().to_le_bytes(), ip_rank)
    };
    let ranked = ready.iter().map(|edge| (rank(edge), *edge));
    let mut ranked: Vec<(u64, SocketAddr)> = ranked.collect();
    ranked.select_nth_unstable(most);
    ranked.truncate(most);
    ranked.sort_unstable();
    ready.clear();
    ready.extend(ranked.into_iter().map(|(_, edge)| edge));
    ready
}

/// Returns an address as IPv6, which also represents IPv4 addresses.
fn ip_bytes(ip: IpAddr) -> [u8; 16] {
    match ip {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    }
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
