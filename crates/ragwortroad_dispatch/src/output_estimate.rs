/// Weight of one answer in the moving means.
const ANSWER_WEIGHT: f64 = 0.1;

/// Number of answers from which a route's answers count.
const MIN_ANSWERS: u32 = 4;

/// Error of a hint or a mean, as a logarithm, below which it is as good as exact.
const MIN_ERROR: f64 = 0.05;

/// Error of a hint of which nothing is known yet, as a logarithm: a factor of two.
const INITIAL_HINT_ERROR: f64 = 0.7;

/// Number of typical errors by which the output may exceed the expected one.
const MARGIN_ERRORS: f64 = 2.5;

/// Expected output of a request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpectedOutput {
    /// The most likely output.
    pub likely: u32,
    /// Output that few requests exceed.
    pub at_most: u32,
}

/// Learns how long the answers of one route are, and how good its callers' hints are.
///
/// Hints are right at the median and often far off, by factors rather than by tokens, so means and
/// errors are those of logarithms.
#[derive(Clone, Copy, Debug)]
pub struct OutputEstimate {
    answers: u32,
    /// Moving mean of the logarithm of the output.
    mean: f64,
    /// Moving mean error of that mean.
    mean_error: f64,
    /// Moving mean error of the logarithm of the hint.
    hint_error: f64,
}

impl Default for OutputEstimate {
    fn default() -> Self {
        Self {
            answers: 0,
            mean: 0.0,
            mean_error: 0.0,
            hint_error: INITIAL_HINT_ERROR,
        }
    }
}

impl OutputEstimate {
    /// Records a complete answer of `tokens`, for which the caller gave `hint`, if any.
    pub fn note(&mut self, tokens: u32, hint: Option<u32>) {
        let tokens = logarithm(tokens);
        self.answers = self.answers.saturating_add(1);
        let weight = ANSWER_WEIGHT.max(1.0 / f64::from(self.answers));
        let error = match self.answers {
            1 => 0.0,
            _ => (tokens - self.mean).abs(),
        };
        self.mean_error += (error - self.mean_error) * weight;
        self.mean += (tokens - self.mean) * weight;
        if let Some(hint) = hint {
            let error = (tokens - logarithm(hint)).abs();
            self.hint_error += (error - self.hint_error) * ANSWER_WEIGHT;
        }
    }

    /// Returns the output to expect of a request with `hint` and at most `max` tokens; 0 stands for
    /// no maximum.
    ///
    /// Hint and mean count the more, the smaller their errors are. Without either, the maximum is
    /// expected.
    pub fn expect(&self, hint: Option<u32>, max: u32) -> ExpectedOutput {
        let mean = (self.answers >= MIN_ANSWERS).then_some((self.mean, self.mean_error));
        let hint = hint.map(|hint| (logarithm(hint), self.hint_error));
        let weighted = [mean, hint].into_iter().flatten().map(|(value, error)| {
            let error = error.max(MIN_ERROR);
            (value, error.powi(-2))
        });
        let (sum, weight) = weighted.fold((0.0, 0.0), |(sum, total), (value, weight)| {
            (sum + value * weight, total + weight)
        });
        let limit = |tokens: f64| match max {
            0 => tokens.round() as u32,
            max => (tokens.round() as u32).min(max),
        };
        if weight == 0.0 {
            return ExpectedOutput {
                likely: max,
                at_most: max,
            };
        }
        let value = sum / weight;
        let margin = MARGIN_ERRORS * weight.sqrt().recip();
        ExpectedOutput {
            likely: limit(value.exp()),
            at_most: limit((value + margin).exp()),
        }
    }
}

fn logarithm(tokens: u32) -> f64 {
    f64::from(tokens.max(1)).ln()
}
