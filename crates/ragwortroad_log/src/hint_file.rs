use snafu::ResultExt;

use crate::{
    DiskPort,
    LogError,
    folder_files::write_atomically,
    log_error::DiskSnafu, //
};

/// Name of the file.
const HINT_NAME: &str = "hints";

/// A small file that is replaced atomically, for data that is useful but may be lost.
///
/// It has a folder of its own, so that it cannot interfere with a log. After a crash it holds the
/// whole of some earlier [`write`](Self::write), or nothing.
#[derive(Debug)]
pub struct HintFile {
    port: DiskPort,
}

impl HintFile {
    /// Uses the folder behind `port`, which must hold no other data.
    pub fn new(port: DiskPort) -> Self {
        Self { port }
    }

    /// Returns what was last written, or `None` if nothing was.
    ///
    /// # Errors
    ///
    /// Fails if the folder or the file cannot be read.
    pub fn read(&self) -> Result<Option<Vec<u8>>, LogError> {
        let name = HINT_NAME;
        let action = "list";
        let names = self.port.list().context(DiskSnafu { action, name })?;
        if !names.iter().any(|found| found == name) {
            return Ok(None);
        }
        let action = "read";
        let bytes = self.port.read(name).context(DiskSnafu { action, name })?;
        Ok(Some(bytes))
    }

    /// Replaces the content, durably.
    ///
    /// # Errors
    ///
    /// Fails if a file operation fails; the earlier content may remain.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), LogError> {
        write_atomically(&mut self.port, HINT_NAME, bytes)
    }
}
