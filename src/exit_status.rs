use std::process::ExitCode;

/// Exit status of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// 0: success.
    Done,
    /// 1: the command ran, but a check failed or the fleet refused the request.
    Failed,
    /// 2: the command line or the settings are invalid; nothing was started.
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
