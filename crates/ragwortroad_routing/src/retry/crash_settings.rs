use std::time::Duration;

/// Settings of a [`CrashTable`](crate::CrashTable).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSettings {
    /// Crashes after which a request is quarantined, unless another request explains them.
    pub suspect_crashes: usize,
    /// Crashes after which a request is no longer tried, unless others that are to blame explain
    /// them.
    pub certain_crashes: usize,
    /// Crashes that no request to blame explains, after which a request with `certain_crashes` is
    /// quarantined.
    pub own_crashes: usize,
    /// Time from the last crash until requests that may be to blame for it are tried, in which the
    /// processes learn of it.
    pub trial_delay: Duration,
    /// Time from the last crash after which they are no longer tried one at a time.
    pub trial_end: Duration,
    /// Duration of the quarantine after the last crash; each crash beyond `suspect_crashes` doubles
    /// it. Requests with fewer crashes are remembered as long.
    pub quarantine: Duration,
    /// Maximum number of requests remembered.
    pub max_digests: usize,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            suspect_crashes: 3,
            certain_crashes: 5,
            own_crashes: 2,
            trial_delay: Duration::from_millis(300),
            trial_end: Duration::from_millis(1500),
            quarantine: Duration::from_secs(3600),
            max_digests: 4096,
        }
    }
}
