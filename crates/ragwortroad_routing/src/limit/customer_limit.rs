/// What one customer may use of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerLimit {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Tokens per second, prompt and output together.
    pub tokens_per_s: f64,
    /// Requests in flight at once.
    pub concurrent: u32,
    /// Scheduling priority at the engines; smaller values are served first.
    pub priority: u8,
}

impl Default for CustomerLimit {
    fn default() -> Self {
        Self {
            requests_per_s: 100.0,
            tokens_per_s: 100_000.0,
            concurrent: 256,
            priority: 4,
        }
    }
}
