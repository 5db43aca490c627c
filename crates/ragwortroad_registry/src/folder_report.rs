use ragwortroad_log::prelude::*;

/// What the folder's thread tells.
#[derive(Debug)]
pub(crate) enum FolderReport {
    /// The folder is open and holds this.
    Opened {
        /// Number of the generation.
        generation: u64,
        /// What it holds.
        stored: Box<StoredState>,
    },
    /// Every batch up to this one is durable.
    Durable {
        /// Number of the generation.
        generation: u64,
        /// The last of them.
        batch: u64,
    },
    /// The folder refuses writes until it has been opened anew.
    Failed {
        /// Number of the generation.
        generation: u64,
        /// Why, with the remedy.
        reason: String,
    },
}
