use std::time::Duration;

/// Time after an edge's start in which it may still lack its configuration or registries.
///
/// After that something is wrong, and clients are rejected at once.
const MAX_START_TIME: Duration = Duration::from_secs(3);

/// Shortest time until an edge serves when the whole fleet starts at once.
///
/// Registries are up some tenths of a second after the first edges, take as long again to elect a
/// leader, and the configuration takes as long again to reach the edge.
const FLEET_START_TIME: Duration = Duration::from_millis(1200);

/// Divisor of the time since the start that gives the expected remaining time of a start that takes
/// longer.
const OVERRUN_DIVISOR: u32 = 2;

/// Longest time for which a request waits for the edge to become ready.
///
/// In a fleet of hundreds, copies of the configuration occupy the registries' links for that long.
const MAX_START_WAIT: Duration = Duration::from_millis(2000);

/// Divisor of the time left until the deadline that gives the longest wait.
///
/// Clients count a third of their deadline without a response as a failure; after a quarter, a
/// rejected client still has time to retry.
const WAIT_DIVISOR: u32 = 4;

/// Returns how long a request waits at an edge that is not ready and was started `running` ago.
///
/// After a restart of the whole fleet, edges are up a second or two before they have a
/// configuration. Clients that are rejected then may retry only once, and would be rejected again
/// for good; a waiting request is served as soon as the edge is ready. This applies to restarts
/// only: in an outage no request waits, nor does any wait longer than a start may take.
pub fn start_wait(running: Duration, time_left: Duration) -> Duration {
    let start_left = MAX_START_TIME.saturating_sub(running);
    MAX_START_WAIT.min(time_left / WAIT_DIVISOR).min(start_left)
}

/// Returns the earliest time until a starting edge is expected to be ready, for clients that it has
/// to reject; zero if the start has failed.
///
/// A start that takes longer than usual is expected to continue for a fraction of its duration so
/// far: a client that is told to retry at once, and may do so only once, would be rejected for good
/// by an edge that is ready a moment later.
pub fn time_to_ready(running: Duration) -> Duration {
    if running >= MAX_START_TIME {
        return Duration::ZERO;
    }
    let expected = FLEET_START_TIME.saturating_sub(running);
    expected.max(running / OVERRUN_DIVISOR)
}
