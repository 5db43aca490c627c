use std::time::Duration;

/// Time after an edge's start in which it may still lack what it needs.
///
/// Beyond it something is wrong, and callers are told so at once.
const START_TIME: Duration = Duration::from_secs(3);

/// Time from an edge's start until it serves where the whole fleet starts with it, at the least.
///
/// Registries are up some tenths of a second after the first edges, have a leader as much later, and
/// the configuration takes as long to get here.
const COMMON_START: Duration = Duration::from_millis(1200);

/// Part of the time that a start has taken so far, beyond that, which it is taken to go on.
const START_LEFT_PART: u32 = 2;

/// Longest time for which a request waits for the edge to be ready.
///
/// On a fleet of hundreds, copies of the configuration fill the registries' links for so long.
const LONGEST_WAIT: Duration = Duration::from_millis(2000);

/// Part of a caller's time for which its request waits at the most.
///
/// Callers take a third of their time without a sign as a failure; with a quarter, one that is
/// refused in the end still has time to come back.
const WAIT_PART: u32 = 4;

/// How long a request waits at an edge that started `running` ago for what the edge still lacks.
///
/// After a common restart edges are up a second or two before there is a configuration. Callers who
/// come then and are refused may come back once, and are refused again for good. One that waits is
/// served as soon as the edge is ready. Answers restarts only; in an outage nothing waits, nor
/// longer than until a start counts as one.
pub fn start_wait(running: Duration, time_left: Duration) -> Duration {
    let left = START_TIME.saturating_sub(running);
    LONGEST_WAIT.min(time_left / WAIT_PART).min(left)
}

/// When a caller who could not be served by a starting edge finds it ready, at the earliest.
///
/// A start that takes longer than usual goes on for a part of what it has taken: a caller told to
/// come at once, who may come back once, would be refused for good by an edge that serves a moment
/// later.
pub fn time_to_ready(running: Duration) -> Duration {
    if running >= START_TIME {
        return Duration::ZERO;
    }
    let usual = COMMON_START.saturating_sub(running);
    usual.max(running / START_LEFT_PART)
}
