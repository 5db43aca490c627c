use std::time::Duration;

/// When an endpoint is set aside, and how it comes back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierSettings {
    /// Failures in a row that set an endpoint aside.
    pub failures: u32,
    /// Largest share of a fleet that may be aside at once; one of at least two always may.
    pub share: f64,
    /// How long the first time; each further time twice as long.
    pub first_span: Duration,
    /// The longest time.
    pub longest_span: Duration,
    /// How long it takes from the end of that time to the full share of work.
    pub return_span: Duration,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            failures: 5,
            share: 0.2,
            first_span: Duration::from_secs(5),
            longest_span: Duration::from_secs(60),
            return_span: Duration::from_secs(20),
        }
    }
}
