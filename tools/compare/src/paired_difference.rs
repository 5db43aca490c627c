use std::fmt;

use crate::run_figures::RunFigures;

/// Standard errors by which a significant difference is away from zero.
const MIN_STANDARD_ERRORS: f64 = 2.0;

/// Differences up to this size can come from charged processor time alone.
const MIN_DIFFERENCE: f64 = 0.005;

/// The difference of one figure between two variants that ran on the same seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PairedDifference {
    /// Mean of the baseline.
    pub(crate) base: f64,
    pub(crate) other: f64,
    /// Standard error of the mean difference; infinite for a single pair.
    pub(crate) error: f64,
}

impl PairedDifference {
    /// Compares one figure between runs with the same seeds in the same order.
    pub(crate) fn of(
        base: &[RunFigures],
        other: &[RunFigures],
        read: impl Fn(&RunFigures) -> f64,
    ) -> Self {
        let count = base.len().min(other.len()).max(1) as f64;
        let mean = |runs: &[RunFigures]| runs.iter().map(&read).sum::<f64>() / count;
        let (base_mean, other_mean) = (mean(base), mean(other));
        let pairs = base.iter().zip(other);
        let squared_deviations = pairs.map(|(base, other)| {
            let difference = read(other) - read(base);
            (difference - (other_mean - base_mean)).powi(2)
        });
        let error = match count > 1.0 {
            true => (squared_deviations.sum::<f64>() / (count - 1.0) / count).sqrt(),
            false => f64::INFINITY,
        };
        Self {
            base: base_mean,
            other: other_mean,
            error,
        }
    }

    /// Whether the difference is larger than chance explains.
    pub(crate) fn is_significant(&self) -> bool {
        let difference = (self.other - self.base).abs();
        difference > MIN_DIFFERENCE && difference > self.error * MIN_STANDARD_ERRORS
    }
}

impl fmt::Display for PairedDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { base, other, error } = self;
        let difference = other - base;
        write!(formatter, "{base:.3} to {other:.3}, {difference:+.3}")?;
        match error.is_finite() {
            true => write!(formatter, " with an error of {error:.3}")?,
            false => write!(formatter, " in a single run")?,
        }
        match self.is_significant() {
            true => write!(formatter, ": significant"),
            false => write!(formatter, ": not significant"),
        }
    }
}
