use std::{
    io,
    path::{
        Path,
        PathBuf, //
    },
    thread::{
        self,
        Builder,
        JoinHandle, //
    },
    time::Duration, //
};

use flume::{
    Receiver,
    Sender, //
};
use ragwortroad_dispatch::prelude::*;
use ragwortroad_log::prelude::*;
use snafu::ResultExt;

use crate::{
    registry_event::RegistryEvent,
    store_error::{
        CodecSnafu,
        DamagedSnafu,
        DiskSnafu,
        StoreError, //
    },
    version_record::VersionRecord,
    version_report::VersionReport, //
};

/// Time after a failure of the disk before it is used again.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Keeps, on its own thread, the software versions that streams may begin at.
///
/// Unlike hints, these are relied on: a version counts as kept once its write has been reported.
#[derive(Debug)]
pub(crate) struct VersionStore {
    saves: Sender<LedgerContent>,
    thread: JoinHandle<()>,
}

impl VersionStore {
    /// Spawns the thread, which first reports what is stored in `folder`.
    pub(crate) fn start(folder: PathBuf, events: Sender<RegistryEvent>) -> io::Result<Self> {
        let (saves, queue) = flume::unbounded();
        let builder = Builder::new().name("versions".to_owned());
        let thread = builder.spawn(move || serve_saves(&folder, &queue, &events))?;
        Ok(Self { saves, thread })
    }

    /// Queues a write, whose end is reported.
    pub(crate) fn save(&self, content: LedgerContent) {
        if self.saves.send(content).is_err() {
            tracing::error!("the thread that keeps software versions has ended");
        }
    }

    /// Finishes queued writes and joins the thread.
    pub(crate) fn join(self) {
        drop(self.saves);
        if self.thread.join().is_err() {
            tracing::error!("the thread that keeps software versions panicked");
        }
    }
}

fn serve_saves(folder: &Path, queue: &Receiver<LedgerContent>, events: &Sender<RegistryEvent>) {
    let Some(mut file) = open_file(folder, queue) else {
        return;
    };
    let Some(loaded) = load(&file, queue) else {
        return;
    };
    if events.send(RegistryEvent::Versions(loaded)).is_err() {
        return;
    }
    while let Ok(content) = queue.recv() {
        let is_saved = match save(&mut file, &content) {
            Ok(()) => true,
            Err(error) => {
                tracing::warn!(%error, "failed to save software versions; retrying");
                thread::sleep(DISK_RETRY_DELAY);
                false
            }
        };
        let report = VersionReport::Written { is_saved };
        if events.send(RegistryEvent::Versions(report)).is_err() {
            return;
        }
    }
}

/// Opens the folder, retrying until it works; `None` if the registry stops first.
fn open_file(folder: &Path, queue: &Receiver<LedgerContent>) -> Option<HintFile> {
    while !queue.is_disconnected() {
        match RealDisk::open(folder.to_path_buf(), None) {
            Ok(Some(disk)) => return Some(HintFile::new(DiskPort::Real(disk))),
            Ok(None) => tracing::warn!("another process uses the folder of versions; stop it"),
            Err(error) => tracing::warn!(%error, "cannot open the folder of versions; retrying"),
        }
        thread::sleep(DISK_RETRY_DELAY);
    }
    None
}

/// Reads the file, retrying until it can be read; `None` if the registry stops first.
fn load(file: &HintFile, queue: &Receiver<LedgerContent>) -> Option<VersionReport> {
    while !queue.is_disconnected() {
        match file.read() {
            Ok(bytes) => {
                let has_file = bytes.is_some();
                let content = bytes.and_then(|bytes| {
                    let warn = |error: &StoreError| {
                        tracing::warn!(%error, "cannot use the file of software versions");
                    };
                    decode(&bytes).inspect_err(warn).ok()
                });
                return Some(VersionReport::Loaded { content, has_file });
            }
            Err(error) => tracing::warn!(%error, "cannot read software versions; retrying"),
        }
        thread::sleep(DISK_RETRY_DELAY);
    }
    None
}

fn decode(bytes: &[u8]) -> Result<LedgerContent, StoreError> {
    let record: VersionRecord = postcard::from_bytes(bytes).context(CodecSnafu)?;
    LedgerContent::try_from(record).context(DamagedSnafu)
}

fn save(file: &mut HintFile, content: &LedgerContent) -> Result<(), StoreError> {
    let bytes = postcard::to_stdvec(&VersionRecord::from(content)).context(CodecSnafu)?;
    file.write(&bytes).context(DiskSnafu)
}
