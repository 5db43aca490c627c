/// What the table counts for one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCount {
    /// Keys remembered in full.
    pub kept: usize,
    /// Of these, the ones whose attempt may still be running.
    pub running: usize,
    /// Undated keys remembered past the window.
    pub spent: usize,
}
