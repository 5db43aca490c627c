use std::fmt;

/// Result of one run; the outcomes are fractions of all requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunFigures {
    pub(crate) worth: f64,
    pub(crate) served: f64,
    pub(crate) refused: f64,
    pub(crate) failed: f64,
}

impl RunFigures {
    /// Parses the output of a run. The figures follow the machine count column, such as `72/143`,
    /// and the score.
    pub(crate) fn read(output: &str) -> Option<Self> {
        let mut lines = output.lines();
        lines.find(|line| line.starts_with("day "))?;
        let mut columns = lines.next()?.split_whitespace();
        columns.find(|column| is_machine_count(column))?;
        let mut next = || columns.next()?.parse::<f64>().ok();
        let _score = next()?;
        Some(Self {
            worth: next()?,
            served: next()?,
            refused: next()?,
            failed: next()?,
        })
    }
}

fn is_machine_count(column: &str) -> bool {
    let is_number = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let parts = column.split_once('/');
    parts.is_some_and(|(own, others)| is_number(own) && is_number(others))
}

impl fmt::Display for RunFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            worth,
            served,
            refused,
            failed,
        } = self;
        write!(
            formatter,
            "worth {worth:.3}, served {served:.3}, refused {refused:.3}, failed {failed:.3}"
        )
    }
}
