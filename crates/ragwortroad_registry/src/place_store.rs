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

/// Keeps on disk where texts were placed, on a thread of its own.
///
/// When all processes lose power at once, engines go on holding what they have read, but no edge
/// remembers where. The hash then sends texts to other engines, and one notices a third of all
/// prompts being read again in the seconds after the restart. What a registry finds on its disk
/// tells the edges. It is no more than a hint, so a disk that fails costs only the hint.
#[derive(Debug)]
pub(crate) struct PlaceStore {
    saves: Sender<Vec<PlacedText>>,
    thread: JoinHandle<()>,
}

/// Why the places could not be kept or found.
#[derive(Debug)]
#[derive(Snafu)]
enum PlaceStoreError {
    /// The folder could not be opened.
    #[snafu(display("the folder cannot be opened: {source}; check the disk"))]
    Open { source: io::Error },
    /// Another process has the folder.
    #[snafu(display("another process uses the folder; stop it"))]
    InUse,
    /// Reading or writing failed.
    #[snafu(display("{source}"))]
    Disk { source: LogError },
    /// The file holds something else.
    #[snafu(display("the file means nothing: {source}; it is written anew"))]
    Codec { source: postcard::Error },
}

impl PlaceStore {
    /// Starts the thread, which first tells what it finds in `folder`.
    pub(crate) fn start(folder: PathBuf, events: Sender<RegistryEvent>) -> io::Result<Self> {
        // One order may wait; what comes meanwhile is in the next one.
        let (saves, queue) = flume::bounded(1);
        let thread = Builder::new().name("places".to_owned()).spawn(move || {
            if let Err(error) = serve_saves(folder, &queue, &events) {
                tracing::warn!(%error, "places of texts are not kept until the next start");
            }
        })?;
        Ok(Self { saves, thread })
    }

    /// Has these places kept; tells whether the disk had time for them.
    pub(crate) fn save(&self, places: Vec<PlacedText>) -> bool {
        match self.saves.try_send(places) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => false,
            // The thread has said why it ended.
            Err(TrySendError::Disconnected(_)) => true,
        }
    }

    /// Finishes what is queued and joins the thread.
    pub(crate) fn join(self) {
        drop(self.saves);
        if self.thread.join().is_err() {
            tracing::error!("the thread that keeps places panicked");
        }
    }
}

fn serve_saves(
    folder: PathBuf,
    queue: &Receiver<Vec<PlacedText>>,
    events: &Sender<RegistryEvent>,
) -> Result<(), PlaceStoreError> {
    let disk = RealDisk::open(folder, None).context(OpenSnafu)?;
    let Some(disk) = disk else {
        return InUseSnafu.fail();
    };
    let mut file = HintFile::new(DiskPort::Real(disk));
    match load_places(&file) {
        Ok(places) if places.is_empty() => {}
        Ok(places) => {
            tracing::info!(places = places.len(), "places of texts found on the disk");
            if events.send(RegistryEvent::PlacesLoaded(places)).is_err() {
                return Ok(());
            }
        }
        Err(error) => tracing::warn!(%error, "places of texts on the disk are of no use"),
    }
    while let Ok(places) = queue.recv() {
        let bytes = postcard::to_stdvec(&places).context(CodecSnafu)?;
        if let Err(error) = file.write(&bytes) {
            tracing::warn!(%error, "places of texts could not be kept this time");
        }
    }
    Ok(())
}

fn load_places(file: &HintFile) -> Result<Vec<PlacedText>, PlaceStoreError> {
    let Some(bytes) = file.read().context(DiskSnafu)? else {
        return Ok(Vec::new());
    };
    postcard::from_bytes(&bytes).context(CodecSnafu)
}
