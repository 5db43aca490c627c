use std::time::Duration;

/// Multiple of a route's latency target after which an endpoint that has sent nothing is given up.
///
/// The request is late by then in any case. Engines with all slots busy start most requests within
/// half of the target, because the requests that they cannot start are queued at the edges.
const TARGET_MULTIPLE: u32 = 2;

/// Divisor of the time left until the deadline; the remainder is for the next endpoint.
const DEADLINE_DIVISOR: u32 = 2;

/// Returns how long to wait for an endpoint's first byte before the request is sent to another one.
///
/// An endpoint can accept requests and stop responding while its connections stay up and its health
/// checks pass. Without this timeout, requests sent there wait until their clients leave: when four
/// engines withheld half of their responses for five seconds, 83 clients got no response although
/// other engines could have served them.
pub fn first_byte_timeout(target: Duration, time_left: Duration) -> Duration {
    (target * TARGET_MULTIPLE).min(time_left / DEADLINE_DIVISOR)
}
