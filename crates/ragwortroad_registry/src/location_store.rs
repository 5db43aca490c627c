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
use ragwortroad_dispatch::prelude::*;
use ragwortroad_log::prelude::*;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::registry_event::RegistryEvent;

/// Persists, on its own thread, which engines hold which prompt prefixes.
///
/// When all processes lose power at once, the engines keep their cached prefixes, but no edge
/// remembers where they are. Hashing then sends prompts to other engines, and about a third of all
/// prompts are recomputed in the seconds after the restart. The locations that a registry loads
/// from its disk restore this knowledge. They are only hints, so a disk failure costs nothing else.
#[derive(Debug)]
pub(crate) struct LocationStore {
    saves: Sender<Vec<PrefixLocation>>,
    thread: JoinHandle<()>,
}

/// Why prefix locations could not be saved or loaded.
#[derive(Debug)]
#[derive(Snafu)]
enum LocationStoreError {
    /// The folder could not be opened.
    #[snafu(display("cannot open the prefix location folder: {source}; check the disk"))]
    Open { source: io::Error },
    /// Another process has locked the folder.
    #[snafu(display("another process has locked the prefix location folder; stop it"))]
    InUse,
    /// Reading or writing the file failed.
    #[snafu(display("{source}"))]
    Disk { source: LogError },
    /// The locations could not be encoded or decoded.
    #[snafu(display(
        "cannot encode or decode the prefix location file: {source}; it will be overwritten"
    ))]
    Codec { source: postcard::Error },
}

impl LocationStore {
    /// Spawns the thread, which first reports the locations stored in `folder`.
    pub(crate) fn start(folder: PathBuf, events: Sender<RegistryEvent>) -> io::Result<Self> {
        // One save may be queued. Later locations go into the next one.
        let (saves, queue) = flume::bounded(1);
        let thread = Builder::new().name("places".to_owned()).spawn(move || {
            if let Err(error) = serve_saves(folder, &queue, &events) {
                tracing::warn!(%error, "prefix locations are not saved until the next start");
            }
        })?;
        Ok(Self { saves, thread })
    }

    /// Queues the locations to be saved; returns `false` if a save is still queued.
    pub(crate) fn save(&self, locations: Vec<PrefixLocation>) -> bool {
        match self.saves.try_send(locations) {
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
            tracing::error!("location store thread panicked");
        }
    }
}

fn serve_saves(
    folder: PathBuf,
    queue: &Receiver<Vec<PrefixLocation>>,
    events: &Sender<RegistryEvent>,
) -> Result<(), LocationStoreError> {
    let disk = RealDisk::open(folder, None).context(OpenSnafu)?;
    let Some(disk) = disk else {
        return InUseSnafu.fail();
    };
    let mut file = HintFile::new(DiskPort::Real(disk));
    match load_locations(&file) {
        Ok(locations) if locations.is_empty() => {}
        Ok(locations) => {
            tracing::info!(
                places = locations.len(),
                "loaded prefix locations from disk"
            );
            if events
                .send(RegistryEvent::LocationsLoaded(locations))
                .is_err()
            {
                return Ok(());
            }
        }
        Err(error) => tracing::warn!(%error, "failed to load prefix locations from disk"),
    }
    while let Ok(locations) = queue.recv() {
        let bytes = postcard::to_stdvec(&locations).context(CodecSnafu)?;
        if let Err(error) = file.write(&bytes) {
            tracing::warn!(%error, "failed to save prefix locations");
        }
    }
    Ok(())
}

fn load_locations(file: &HintFile) -> Result<Vec<PrefixLocation>, LocationStoreError> {
    let Some(bytes) = file.read().context(DiskSnafu)? else {
        return Ok(Vec::new());
    };
    postcard::from_bytes(&bytes).context(CodecSnafu)
}
