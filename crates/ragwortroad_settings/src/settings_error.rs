use std::{
    io,
    path::PathBuf, //
};

use snafu::Snafu;

use crate::FaultList;

/// Why settings could not be had from a file.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display(
        "cannot read {}: {source}; give an existing file that this user may read",
        path.display()
    ))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The file has faults.
    #[snafu(display("{} has {} fault(s):\n{source}", path.display(), source.0.len()))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// The faults.
        source: FaultList,
    },
}
