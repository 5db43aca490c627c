use std::time::Duration;

/// When endpoints are ejected for failures, and how they return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierSettings {
    /// Consecutive failures after which an endpoint is ejected.
    pub consecutive_failures: u32,
    /// Largest fraction of a fleet that may be ejected at once. In a fleet of at least two, one
    /// endpoint may always be ejected.
    pub max_ejected_share: f64,
    /// Duration of the first ejection; each further one lasts twice as long.
    pub first_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
    /// Time from the end of an ejection until the endpoint may carry its full load.
    pub recovery_ramp: Duration,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            max_ejected_share: 0.2,
            first_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(60),
            recovery_ramp: Duration::from_secs(20),
        }
    }
}
