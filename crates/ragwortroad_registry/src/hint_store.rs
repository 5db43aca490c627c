use std::{
    io,
    path::PathBuf,
    thread::{
        Builder,
        JoinHandle, //
    }, //
};

use flume::{
    Receiver,
    Sender,
    TrySendError, //
};
use ragwortroad_log::prelude::*;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::registry_event::RegistryEvent;

/// Persists, on its own thread, a list of hints that processes share in memory.
///
/// When all processes lose power at once, no edge remembers which engines hold which prompt prefixes,
/// or which parts of prompts crash endpoints, and no registry where the others are. What a registry loads from its disk restores this
/// knowledge. A disk failure costs nothing else.
#[derive(Debug)]
pub(crate) struct HintStore<T> {
    /// What is saved, for logs.
    name: &'static str,
    saves: Sender<Vec<T>>,
    thread: JoinHandle<()>,
}

/// Why hints could not be saved or loaded.
#[derive(Debug)]
#[derive(Snafu)]
enum HintStoreError {
    /// The folder could not be opened.
    #[snafu(display("cannot open the folder of hints: {source}; check the disk"))]
    Open { source: io::Error },
    /// Another process has locked the folder.
    #[snafu(display("another process has locked the folder of hints; stop it"))]
    InUse,
    /// Reading or writing the file failed.
    #[snafu(display("{source}"))]
    Disk { source: LogError },
    /// The hints could not be encoded or decoded.
    #[snafu(display(
        "cannot encode or decode the file of hints: {source}; it will be overwritten"
    ))]
    Codec { source: postcard::Error },
}

impl<T> HintStore<T>
where
    T: Serialize + DeserializeOwned + Send + 'static,
{
    /// Spawns the thread, which first reports the hints stored in `folder` as the event that
    /// `loaded` makes of them.
    pub(crate) fn start(
        name: &'static str,
        folder: PathBuf,
        events: Sender<RegistryEvent>,
        loaded: fn(Vec<T>) -> RegistryEvent,
    ) -> io::Result<Self> {
        // One save may be queued. Later hints go into the next one.
        let (saves, queue) = flume::bounded(1);
        let thread = Builder::new().name(name.to_owned()).spawn(move || {
            if let Err(error) = serve_saves(name, folder, &queue, &events, loaded) {
                tracing::warn!(name, %error, "hints are not saved until the next start");
            }
        })?;
        Ok(Self {
            name,
            saves,
            thread,
        })
    }

    /// Queues the hints to be saved; returns `false` if a save is still queued.
    pub(crate) fn save(&self, hints: Vec<T>) -> bool {
        match self.saves.try_send(hints) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => false,
            // The thread logged why it ended.
            Err(TrySendError::Disconnected(_)) => true,
        }
    }

    /// Finishes the queued save and joins the thread.
    pub(crate) fn join(self) {
        drop(self.saves);
        if self.thread.join().is_err() {
            tracing::error!(name = self.name, "thread that saves hints panicked");
        }
    }
}

fn serve_saves<T>(
    name: &'static str,
    folder: PathBuf,
    queue: &Receiver<Vec<T>>,
    events: &Sender<RegistryEvent>,
    loaded: fn(Vec<T>) -> RegistryEvent,
) -> Result<(), HintStoreError>
where
    T: Serialize + DeserializeOwned,
{
    let disk = RealDisk::open(folder, None).context(OpenSnafu)?;
    let Some(disk) = disk else {
        return InUseSnafu.fail();
    };
    let mut file = HintFile::new(DiskPort::Real(disk));
    match load_hints::<T>(&file) {
        Ok(hints) if hints.is_empty() => {}
        Ok(hints) => {
            tracing::info!(name, count = hints.len(), "loaded hints from disk");
            if events.send(loaded(hints)).is_err() {
                return Ok(());
            }
        }
        Err(error) => tracing::warn!(name, %error, "failed to load hints from disk"),
    }
    while let Ok(hints) = queue.recv() {
        let bytes = postcard::to_stdvec(&hints).context(CodecSnafu)?;
        if let Err(error) = file.write(&bytes) {
            tracing::warn!(name, %error, "failed to save hints");
        }
    }
    Ok(())
}

fn load_hints<T>(file: &HintFile) -> Result<Vec<T>, HintStoreError>
where
    T: DeserializeOwned,
{
    let Some(bytes) = file.read().context(DiskSnafu)? else {
        return Ok(Vec::new());
    };
    postcard::from_bytes(&bytes).context(CodecSnafu)
}
