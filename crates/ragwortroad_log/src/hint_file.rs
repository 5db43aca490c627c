use snafu::ResultExt;

use crate::{
    DiskPort,
    LogError,
    folder_files::write_atomically,
    log_error::DiskSnafu, //
};

/// Name of the file in its folder.
const HINT_NAME: &str = "hints";

/// A small file that is replaced as a whole, for what may be lost but is better kept.
///
/// It stands in a folder of its own, so that nothing of it can disturb a log. After a crash it holds
/// what some earlier [`write`](Self::write) wrote, whole, or nothing.
#[derive(Debug)]
pub struct HintFile {
    port: DiskPort,
}

impl HintFile {
    /// A file in the folder of `port`.
    pub fn new(port: DiskPort) -> Self {
        Self { port }
    }

    /// What was written last; nothing where nothing was.
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

    /// Replaces it, durably.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), LogError> {
        write_atomically(&mut self.port, HINT_NAME, bytes)
    }
}
