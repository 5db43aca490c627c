use std::time::Duration;

/// Settings of a [`PartTable`](crate::PartTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSettings {
    /// Occasions of crashes that nothing else explains after which a part is quarantined.
    pub blamed_occasions: usize,
    /// Crashes after which it is quarantined even if they were on fewer occasions.
    pub blamed_crashes: usize,
    /// Crashes after which a request is not repeated that was running at one of them.
    pub doubtful_crashes: usize,
    /// Occasions for a part on which endpoints have written within the time of `memory`.
    pub sound_occasions: usize,
    /// Age from which a crash counts, since other processes may have yet to report that an endpoint
    /// has written on the part since.
    pub report_time: Duration,
    /// Interval between two reports of endpoints that have written on suspect parts.
    pub write_interval: Duration,
    /// Time for which it is remembered that an endpoint has written on a part.
    pub memory: Duration,
    /// Time within which crashes of several endpoints count as one occasion.
    ///
    /// Endpoints that fail together, such as those of a VM, have the same popular parts in their
    /// prompts.
    pub occasion: Duration,
    /// Duration of the quarantine after the last crash; crashes are remembered as long.
    pub quarantine: Duration,
    /// Maximum number of parts remembered.
    pub max_parts: usize,
}

impl Default for PartSettings {
    fn default() -> Self {
        Self {
            blamed_occasions: 3,
            blamed_crashes: 5,
            doubtful_crashes: 2,
            sound_occasions: 5,
            report_time: Duration::from_secs(1),
            write_interval: Duration::from_millis(400),
            memory: Duration::from_secs(60),
            occasion: Duration::from_millis(150),
            quarantine: Duration::from_secs(3600),
            max_parts: 4096,
        }
    }
}
