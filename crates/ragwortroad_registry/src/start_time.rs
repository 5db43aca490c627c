use ragwortroad_types::ClockTime;

/// The time at which a process started, on two clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartTime {
    /// Reading of the clock of the process.
    pub(crate) clock: ClockTime,
    /// Time of day in Unix milliseconds. It may be behind that of an earlier start.
    pub(crate) wall_ms: u64,
}
