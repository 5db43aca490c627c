use std::time::Duration;

/// When an endpoint is set aside, and how it comes back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierSettings {
    /// Failures in a row that set an endpoint aside.
    pub consecutive_failures: u32,
    /// Largest share of a fleet that may be aside at once; one of at least two always may.
    pub max_ejected_share: f64,
    /// How long the first time; each further time twice as long.
    pub first_ejection: Duration,
    /// The longest time.
    pub max_ejection: Duration,
    /// How long it takes from the end of that time to the full share of work.
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
