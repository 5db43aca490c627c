use snafu::Snafu;

/// The reason why a data folder could not be opened or written.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// A file operation of the operating system failed.
    #[snafu(display(
        "cannot {action} '{name}' in the data folder: {source}; free space or replace the disk, \
         then restart this process"
    ))]
    Disk {
        /// The operation that failed.
        action: &'static str,
        /// Name of the file.
        name: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Another process has the folder open.
    #[snafu(display(
        "the data folder is in use by another process; stop that process or configure another data folder"
    ))]
    InUse,
    /// Data that was durable can no longer be read.
    #[snafu(display(
        "'{name}' is damaged at byte {offset}: {detail}; move the data folder away and restart: \
         the member joins under a new identity and catches up from the others"
    ))]
    Corrupt {
        /// Name of the file.
        name: String,
        /// Position of the damage in the file, in bytes.
        offset: u64,
        /// Description of the damage.
        detail: String,
    },
    /// A required file is missing, or files contradict each other.
    #[snafu(display(
        "the data folder is incomplete or was rolled back: {detail}; move it away and restart: \
         the member joins under a new identity and catches up from the others"
    ))]
    RolledBack {
        /// Description of the inconsistency.
        detail: String,
    },
    /// An earlier write failed, so the folder accepts no more writes.
    #[snafu(display(
        "an earlier write to the data folder failed, and what reached the disk is unknown; \
         reopen the folder once the disk works"
    ))]
    WritesRefused,
    /// A change is not valid for the content of the folder.
    #[snafu(display("invalid change of the log: {detail}; this is a bug in the program"))]
    InvalidChange {
        /// The rule that the change violates.
        detail: String,
    },
    /// An entry exceeds [`FolderSettings::max_entry_bytes`](crate::FolderSettings).
    #[snafu(display("an entry of {bytes} bytes exceeds the limit of {limit}; split the command"))]
    TooLarge {
        /// Size of the entry.
        bytes: usize,
        /// The limit from the settings.
        limit: usize,
    },
}
