//! Whether requests can be complete before this edge stops.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use tokio::time::Instant;

use crate::edge_state::EdgeShared;

/// Time within which nearly all responses of services without engines are complete, unless their
/// routes are known to take longer.
const TYPICAL_RESPONSE_TIME: Duration = Duration::from_millis(1200);

/// Time that a response of a route may take, as a multiple of the mean.
const SLOW_RESPONSE_FACTOR: f64 = 1.5;

/// Whether the response to a new request can be complete before this edge stops; always true if it is
/// not draining.
///
/// Clients that cache a directory response for long arrive seconds after the drain began. Requests
/// that are accepted then and cannot finish leave their clients without an outcome; if refused
/// immediately, the client tries another edge.
pub(crate) fn can_finish_before_shutdown(
    shared: &EdgeShared,
    rule: &RouteRule,
    deadline: Instant,
) -> bool {
    let final_responses_at = shared.state.borrow().final_responses_at;
    match rule.kind {
        // The duration of a stream is not known in advance.
        RequestKind::Stream => final_responses_at.is_none_or(|end| end >= deadline),
        RequestKind::Safe | RequestKind::Unsafe => !outlasts_shutdown(shared, rule, deadline),
    }
}

/// Whether a plain request that is sent now is expected to outlast this edge.
pub(crate) fn outlasts_shutdown(shared: &EdgeShared, rule: &RouteRule, deadline: Instant) -> bool {
    let state = shared.state.borrow();
    let Some(final_responses_at) = state.final_responses_at else {
        return false;
    };
    let times = state.run_times.get(&rule.name);
    let mean = times.and_then(|times| times.slot_time(None));
    let slow = mean.unwrap_or_default().mul_f64(SLOW_RESPONSE_FACTOR);
    let expected = Instant::now() + slow.max(TYPICAL_RESPONSE_TIME);
    rule.kind != RequestKind::Stream && final_responses_at < deadline.min(expected)
}
