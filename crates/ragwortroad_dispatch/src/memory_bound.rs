use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::EngineRule;

/// Time without a large request in which the largest memory halves.
const LARGEST_HALF_LIFE: Duration = Duration::from_secs(20);

/// Tells whether large requests could exhaust the memory of a service's engines before their slots.
///
/// Where they cannot, a request counts as one, whatever its work.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryBound {
    /// Memory that the largest of the recent requests occupies at its end, in tokens.
    largest: f64,
    noted_at: ClockTime,
}

impl MemoryBound {
    /// Records a request that will occupy `tokens` at its end.
    pub fn note(&mut self, tokens: u32, now: ClockTime) {
        self.largest = self.largest(now).max(f64::from(tokens));
        self.noted_at = now;
    }

    /// Returns whether an engine whose slots were all taken by large requests would run out of
    /// memory; false if its memory is unknown.
    pub fn applies(&self, engine: &EngineRule, now: ClockTime) -> bool {
        let full = self.largest(now) * f64::from(engine.slots);
        engine.memory_tokens > 0 && full > engine.memory_tokens as f64
    }

    fn largest(&self, now: ClockTime) -> f64 {
        let half_lives = now.since(self.noted_at).as_secs_f64() / LARGEST_HALF_LIFE.as_secs_f64();
        self.largest * 0.5_f64.powf(half_lives)
    }
}
