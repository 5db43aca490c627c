use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

/// Seeded draws of the few distributions the workloads need.
#[derive(Clone, Debug)]
pub(crate) struct BenchRng {
    rng: Pcg64Mcg,
}

impl BenchRng {
    /// Draws from `seed`, apart from those of every other `stream`.
    pub(crate) fn new(seed: u64, stream: u64) -> Self {
        let mixed = seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Self {
            rng: Pcg64Mcg::seed_from_u64(mixed),
        }
    }

    /// A number of 0 to 1, 1 excluded.
    pub(crate) fn unit(&mut self) -> f64 {
        self.rng.random::<f64>()
    }

    /// A whole number below `end`.
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.rng.random_range(0..end.max(1))
    }

    /// A number with mean `mean`, exponentially distributed.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
