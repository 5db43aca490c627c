use std::time::Duration;

/// How a chat's context gets to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MigrationMethod {
    /// Export its KV cache and import it at the other engine.
    Transfer,
    /// Recompute it at the other engine from the prompt.
    Recompute,
}

/// The measured costs of moving one chat to another engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationCost {
    /// Tokens of context that would have to be recomputed.
    pub tokens: u32,
    /// Bytes of KV cache for one token, as measured at the engine.
    pub bytes_per_token: u64,
    /// Tokens per second that the other engine prefills under its present load.
    pub prefill_per_s: f64,
    /// Bytes per second that the link between the two engines provides.
    pub link_bytes_per_s: f64,
    /// One-way delay of that link.
    pub link_delay: Duration,
    /// Time that export and import take at the engines, whatever the size.
    pub fixed_overhead: Duration,
    /// Cost of a byte on that link relative to one within a failure domain: 1 within, more across
    /// domains.
    pub link_cost_factor: f64,
}

impl MigrationCost {
    /// Returns the cheaper method. Equal costs recompute, since that needs no second engine to be
    /// alive.
    pub fn cheaper_method(&self) -> MigrationMethod {
        if self.transfer_time() < self.recompute_time() {
            MigrationMethod::Transfer
        } else {
            MigrationMethod::Recompute
        }
    }

    /// Returns the time of a transfer, in which bytes on a more expensive link count as slower.
    pub fn transfer_time(&self) -> Duration {
        let bytes = f64::from(self.tokens) * self.bytes_per_token as f64;
        let transfer_s = bytes * self.link_cost_factor / self.link_bytes_per_s.max(1.0);
        self.fixed_overhead + 2 * self.link_delay + duration_from_seconds(transfer_s)
    }

    /// Returns the time to recompute the context.
    pub fn recompute_time(&self) -> Duration {
        duration_from_seconds(f64::from(self.tokens) / self.prefill_per_s.max(1.0))
    }
}

/// Clamps a measured time to what a `Duration` can represent.
fn duration_from_seconds(seconds: f64) -> Duration {
    const MAX_SECONDS: f64 = 3600.0;
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}
