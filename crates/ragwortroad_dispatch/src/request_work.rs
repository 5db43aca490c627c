use std::time::Duration;

use crate::ExpectedOutput;

/// Share of its expected time in which a request may still end; estimates are wrong by a factor now
/// and then, and a request that could have been served must not be refused.
const LIKELY_RATIO: f64 = 0.6;

/// What a request is expected to take of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestWork {
    /// Tokens of the prompt that the endpoint has to compute, since it does not have them cached.
    pub prefill_tokens: u32,
    /// Tokens of the output.
    pub output_tokens: u32,
    /// Tokens of the endpoint's memory that the request occupies at its end.
    pub memory_tokens: u32,
    /// Time for which it occupies a slot; zero if unknown.
    pub slot_time: Duration,
}

impl RequestWork {
    /// Returns the work of a request with `prompt` tokens, of which `cached` need not be computed.
    pub fn new(prompt: u32, cached: u32, output: ExpectedOutput, slot_time: Duration) -> Self {
        Self {
            prefill_tokens: prompt.saturating_sub(cached),
            output_tokens: output.likely,
            memory_tokens: prompt.saturating_add(output.at_most),
            slot_time,
        }
    }

    /// Returns whether the request may still end if it starts now and its caller waits for
    /// `time_left`.
    pub fn can_end_within(&self, time_left: Duration) -> bool {
        self.slot_time.mul_f64(LIKELY_RATIO) <= time_left
    }
}
