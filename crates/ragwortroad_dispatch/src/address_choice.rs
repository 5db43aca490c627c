use std::net::{
    IpAddr,
    SocketAddr, //
};

use xxhash_rust::xxh3::xxh3_64;

/// Edges that a caller is told to use, `most` of those that take callers.
///
/// Callers drop connections to addresses that a new answer lacks, so each has to be told the same ones
/// for as long as they live. Answers that were the same for all callers would leave all other
/// edges idle, and give those that are named several times the mean. Ranked by a hash of the caller's
/// address and the edge's, the answers to one caller change only with edges that come and go, and
/// those to all callers name each edge about as often.
pub fn choose_addresses(asker: IpAddr, mut ready: Vec<SocketAddr>, most: usize) -> Vec<SocketAddr> {
    if ready.len() > most {
        ready.sort_by_cached_key(|edge| xxh3_64(format!("{asker} {edge}").as_bytes()));
        ready.truncate(most);
    }
    ready
}
