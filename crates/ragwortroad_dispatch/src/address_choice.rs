use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
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

/// Times as long as they are told that some callers keep an answer.
const LONGEST_KEEP: u32 = 3;

/// How long callers are told to keep an answer, `most` at the longest.
///
/// An edge that stops has to be forgotten by all callers within its grace time. Up to that, longer is
/// better: where a registry has lost its power, each caller that asks it waits a second, and those
/// that ask on behalf of a request with less time than that fail.
pub fn answer_ttl(grace: Duration, most: Duration) -> Duration {
    // One part more is for the edge to finish what came last.
    let longest = grace / (LONGEST_KEEP + 1);
    longest.min(most).max(Duration::from_secs(1))
}
