use ragwortroad_types::ClockTime;

/// A monotonic clock that runs slightly fast or slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimClock {
    pub(crate) offset_us: u64,
    /// Microseconds gained per second of true time.
    pub(crate) drift_ppm: i64,
}

impl SimClock {
    /// Returns the reading at the true time `true_us`.
    pub(crate) fn reading(&self, true_us: u64) -> ClockTime {
        let gain = i128::from(true_us) * i128::from(self.drift_ppm) / 1_000_000;
        let local_time = i128::from(self.offset_us) + i128::from(true_us) + gain;
        ClockTime((local_time / 1000) as u64)
    }
}
