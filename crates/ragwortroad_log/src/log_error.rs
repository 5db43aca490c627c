use snafu::Snafu;

/// Why a data folder could not be opened or written.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The operating system refused a file operation.
    #[snafu(display(
        "cannot {action} '{name}' in the data folder: {source}; free space or replace the disk, \
         then restart this process"
    ))]
    Disk {
        /// What was tried.
        action: &'static str,
        /// The file.
        name: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// Another process holds the folder.
    #[snafu(display(
        "the data folder is in use by another process; stop that one, or set another data folder"
    ))]
    InUse,
    /// Bytes that were durable once cannot be read any more.
    #[snafu(display(
        "'{name}' is damaged at byte {offset}: {detail}; move the data folder away and restart: \
         the member joins under a new identity and learns from the others"
    ))]
    Corrupt {
        /// The file.
        name: String,
        /// Where the damage starts.
        offset: u64,
        /// What was found.
        detail: String,
    },
    /// A file that must be there is missing, or files contradict each other.
    #[snafu(display(
        "the data folder is incomplete or was rolled back: {detail}; move it away and restart: \
         the member joins under a new identity and learns from the others"
    ))]
    RolledBack {
        /// What was found.
        detail: String,
    },
    /// An earlier write failed, so the folder takes no more.
    #[snafu(display(
        "an earlier write to the data folder failed, and what reached the disk is unknown; \
         open the folder again once the disk works"
    ))]
    WritesRefused,
    /// A change does not fit what the folder holds.
    #[snafu(display("the change does not fit the log: {detail}; this is a fault in the program"))]
    InvalidChange {
        /// What does not fit.
        detail: String,
    },
    /// An entry is larger than the settings allow.
    #[snafu(display("an entry of {bytes} bytes is over the limit of {limit}; split the command"))]
    TooLarge {
        /// Size of the entry.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
}
