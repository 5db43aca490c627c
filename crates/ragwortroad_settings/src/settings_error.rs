use std::{
    io,
    path::PathBuf, //
};

use snafu::Snafu;

use crate::FaultList;

/// Why the settings of a file cannot be used.
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
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file has faults.
    #[snafu(display("{} has {} fault(s):\n{source}", path.display(), source.0.len()))]
    Faulty {
        /// Path of the file.
        path: PathBuf,
        /// All faults, in the order of their lines.
        source: FaultList,
    },
}
