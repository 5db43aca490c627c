/// Numbers of the keys remembered for one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCount {
    /// Keys with a full record.
    pub kept: usize,
    /// Those among `kept` whose attempt may still be running.
    pub running: usize,
    /// Undated keys past the window, of which only a fingerprint is kept.
    pub spent: usize,
}
