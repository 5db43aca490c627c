use std::time::Duration;

/// How a chat's context comes to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MigrationMethod {
    /// Export its KV cache and import it there.
    Transfer,
    /// Let the other engine compute it anew from the prompt.
    Recompute,
}

/// The measured costs of one move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationCost {
    /// Tokens of context that would have to be recomputed.
    pub tokens: u32,
    /// Bytes of KV cache for one token, as measured at the engine.
    pub bytes_per_token: u64,
    /// Tokens a second the other engine prefills, its present load included.
    pub prefill_per_s: f64,
    /// Bytes a second the link between the two engines carries for us.
    pub link_bytes_per_s: f64,
    /// One way delay of that link.
    pub link_delay: Duration,
    /// Export and import at the engines, whatever the size.
    pub fixed_overhead: Duration,
    /// What a byte on that link costs against one within a failure domain; 1 there, more across.
    pub link_cost_factor: f64,
}

impl MigrationCost {
    /// The cheaper way. Equal costs recompute: it needs no second engine to be alive.
    pub fn cheaper_method(&self) -> MigrationMethod {
        if self.transfer_time() < self.recompute_time() {
            MigrationMethod::Transfer
        } else {
            MigrationMethod::Recompute
        }
    }

    /// The time of a transfer, with dear bytes counted_load as slow ones.
    pub fn transfer_time(&self) -> Duration {
        let bytes = f64::from(self.tokens) * self.bytes_per_token as f64;
        let transfer_s = bytes * self.link_cost_factor / self.link_bytes_per_s.max(1.0);
        self.fixed_overhead + 2 * self.link_delay + duration_from_seconds(transfer_s)
    }

    /// The time of computing the context anew.
    pub fn recompute_time(&self) -> Duration {
        duration_from_seconds(f64::from(self.tokens) / self.prefill_per_s.max(1.0))
    }
}

/// A span that stays representable whatever was measured.
fn duration_from_seconds(seconds: f64) -> Duration {
    const MAX_SECONDS: f64 = 3600.0;
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}
