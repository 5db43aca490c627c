use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

/// A seeded random number generator with the distributions that the workloads use.
#[derive(Clone, Debug)]
pub(crate) struct BenchRng {
    rng: Pcg64Mcg,
}

impl BenchRng {
    /// Creates a generator from `seed`; each `stream` gives an independent sequence.
    pub(crate) fn new(seed: u64, stream: u64) -> Self {
        let mixed_seed = seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Self {
            rng: Pcg64Mcg::seed_from_u64(mixed_seed),
        }
    }

    /// Draws a number uniformly from 0 inclusive to 1 exclusive.
    pub(crate) fn unit(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    /// Draws an integer below `end`, or 0 if `end` is 0.
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end.max(1))
    }

    /// Draws from the exponential distribution with mean `mean`.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
