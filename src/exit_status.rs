use std::process::ExitCode;

/// How a run of the command ended, as the shell sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// 0: done.
    Done,
    /// 1: it ran, and something that must always hold did not, or a question was refused.
    Failed,
    /// 2: the command line or the settings have faults; nothing was started.
    BadInput,
    /// 3: a network address, file or key could not be used.
    Unusable,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => Self::from(0),
            ExitStatus::Failed => Self::from(1),
            ExitStatus::BadInput => Self::from(2),
            ExitStatus::Unusable => Self::from(3),
        }
    }
}
