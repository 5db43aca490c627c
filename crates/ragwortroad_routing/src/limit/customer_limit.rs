/// How much one customer may take of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerLimit {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Tokens a second, prompt and answer together.
    pub tokens_per_s: f64,
    /// Requests at work at once.
    pub concurrent: u32,
    /// The engines' scheduling priority: smaller goes first.
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
