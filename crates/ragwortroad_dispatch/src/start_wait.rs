use std::time::Duration;

/// Time after an edge's start in which it may still lack what it needs.
///
/// Beyond it something is wrong, and callers are told so at once.
const START_TIME: Duration = Duration::from_secs(3);

/// Time from an edge's start until it serves where the whole fleet starts with it.
///
/// Registries are up 0.3 to 0.6 s after the first edges, have a leader 0.2 s later, and the
/// configuration takes as long to get here (logs of fleets that lost power).
const COMMON_START: Duration = Duration::from_millis(1200);

/// Longest time for which a request waits for the edge to be ready.
const LONGEST_WAIT: Duration = Duration::from_millis(800);

/// Part of a caller's time for which its request waits at the most.
///
/// Callers take a third of their time without a sign as a failure; with a quarter, one that is
/// refused in the end still has time to come back.
const WAIT_PART: u32 = 4;

/// How long a request waits at an edge that started `running` ago for what the edge still lacks.
///
/// After a common restart edges are up a second before there is a configuration. Callers who come
/// then and are refused may come back once, within a quarter of a second, and are refused again for
/// good: three hundred in one such second on a site of nine edges. One that waits is served as soon
/// as the edge is ready. Answers restarts only; in an outage nothing waits.
pub fn start_wait(running: Duration, time_left: Duration) -> Duration {
    if running >= START_TIME {
        return Duration::ZERO;
    }
    LONGEST_WAIT.min(time_left / WAIT_PART)
}

/// When a caller who could not be served by a starting edge finds it ready, at the earliest.
pub fn start_left(running: Duration) -> Duration {
    COMMON_START.saturating_sub(running)
}
