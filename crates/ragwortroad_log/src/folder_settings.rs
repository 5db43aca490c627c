use std::path::PathBuf;

/// Settings of a data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FolderSettings {
    /// Path of the folder, which is created if it does not exist.
    pub path: PathBuf,
    /// Identity for an empty folder; must be random and never used before.
    pub fresh_identity: u64,
    /// The operating system's ID of the current boot, empty if unknown: see
    /// [`current_boot_id`](crate::current_boot_id).
    pub boot_id: String,
    /// Least start number to open the folder with: the wall-clock time in Unix milliseconds.
    ///
    /// The number in a folder that was rolled back is one that was in use; the time of day has gone
    /// on. It may also have been set back, so it counts only where it is ahead of the folder.
    pub min_start: u64,
    /// Limit on the content of one entry, in bytes.
    pub max_entry_bytes: usize,
    /// Limit on the total size of the folder's files, in bytes; writes beyond it fail as on a full
    /// disk. `None` sets no limit.
    pub quota_bytes: Option<u64>,
}

impl Default for FolderSettings {
    fn default() -> Self {
        Self {
            path: PathBuf::from("data"),
            fresh_identity: 0,
            boot_id: String::new(),
            min_start: 0,
            max_entry_bytes: 4 << 20,
            quota_bytes: None,
        }
    }
}
