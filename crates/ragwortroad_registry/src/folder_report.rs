use ragwortroad_log::prelude::*;

/// A report of the thread that owns the data folder.
#[derive(Debug)]
pub(crate) enum FolderReport {
    /// The folder was opened.
    Opened {
        /// Generation of the folder.
        generation: u64,
        /// Contents of the folder.
        stored: Box<StoredState>,
    },
    /// All batches up to `batch` are durable.
    Durable {
        /// Generation of the folder.
        generation: u64,
        /// Number of the last durable batch.
        batch: u64,
    },
    /// A write failed. The folder refuses further writes until it is reopened.
    Failed {
        /// Generation of the folder.
        generation: u64,
        /// Cause of the failure, with the remedy.
        reason: String,
    },
}
