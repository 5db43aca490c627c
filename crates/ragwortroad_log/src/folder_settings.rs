use std::path::PathBuf;

/// Settings of one data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FolderSettings {
    /// The folder; it is created if it is missing.
    pub path: PathBuf,
    /// Identity the folder gets if it is empty: random, and never used before.
    pub fresh_identity: u64,
    /// What the operating system calls its current boot, empty if it does not say.
    ///
    /// [`current_boot_id`](crate::current_boot_id) asks for it.
    pub boot_id: String,
    /// Largest content of one entry in bytes.
    pub max_entry_bytes: usize,
    /// Bytes that the folder's files may take; beyond them writes fail as on a full disk.
    pub quota_bytes: Option<u64>,
}

impl Default for FolderSettings {
    fn default() -> Self {
        Self {
            path: PathBuf::from("data"),
            fresh_identity: 0,
            boot_id: String::new(),
            max_entry_bytes: 4 << 20,
            quota_bytes: None,
        }
    }
}
