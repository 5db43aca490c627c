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
    time::{
        Duration,
        Instant, //
    }, //
};

use flume::{
    Receiver,
    RecvTimeoutError,
    Sender, //
};
use ragwortroad_dispatch::prelude::*;
use ragwortroad_log::prelude::*;
use snafu::ResultExt;

use crate::{
    registry_event::RegistryEvent,
    store_error::{
        CodecSnafu,
        DiskSnafu,
        StoreError, //
    }, //
};

/// Time for which an appended record may wait to be synced.
///
/// The kill of all processes loses none of them; a loss of power loses those of this time, and the
/// streams are refused when they come back.
pub(crate) const SYNC_DELAY: Duration = Duration::from_millis(250);

/// Size of one file of the journal in bytes.
const MAX_JOURNAL_FILE_BYTES: usize = 1 << 20;

/// Time after a failure of the disk before it is used again.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Keeps, on its own thread, which software versions began the streams of the last minute.
#[derive(Debug)]
pub(crate) struct OriginStore {
    requests: Sender<OriginRequest>,
    thread: JoinHandle<()>,
}

/// Work for the thread.
#[derive(Debug)]
pub(crate) enum OriginRequest {
    Append(Vec<StreamOrigin>),
    Clear,
}

impl OriginStore {
    /// Spawns the thread, which first reports the streams stored in `folder`.
    pub(crate) fn start(folder: PathBuf, events: Sender<RegistryEvent>) -> io::Result<Self> {
        let (requests, queue) = flume::unbounded();
        let builder = Builder::new().name("origins".to_owned());
        let thread = builder.spawn(move || serve_requests(&folder, &queue, &events))?;
        Ok(Self { requests, thread })
    }

    /// Queues streams to be appended.
    pub(crate) fn append(&self, origins: Vec<StreamOrigin>) {
        self.request(OriginRequest::Append(origins));
    }

    /// Queues the removal of all streams.
    pub(crate) fn clear(&self) {
        self.request(OriginRequest::Clear);
    }

    fn request(&self, request: OriginRequest) {
        if self.requests.send(request).is_err() {
            tracing::debug!("the thread that keeps origins of streams has ended");
        }
    }

    /// Finishes queued requests and joins the thread.
    pub(crate) fn join(self) {
        drop(self.requests);
        if self.thread.join().is_err() {
            tracing::error!("the thread that keeps origins of streams panicked");
        }
    }
}

fn serve_requests(folder: &Path, queue: &Receiver<OriginRequest>, events: &Sender<RegistryEvent>) {
    let Some((journal, records)) = open_journal(folder, queue) else {
        return;
    };
    let origins: Vec<StreamOrigin> = records.iter().flat_map(|record| decode(record)).collect();
    if events.send(RegistryEvent::OriginsLoaded(origins)).is_err() {
        return;
    }
    serve_journal(journal, queue);
}

/// Serves requests until the queue is disconnected.
pub(crate) fn serve_journal(mut journal: RotatingJournal, queue: &Receiver<OriginRequest>) {
    let mut rotate_at = Instant::now() + STREAM_MEMORY;
    let mut sync_at = Instant::now();
    loop {
        let wait = match journal.is_synced() {
            true => STREAM_MEMORY,
            false => sync_at.saturating_duration_since(Instant::now()),
        };
        // A queue that is never empty does not hold up a sync that is due.
        let received = match wait.is_zero() {
            true => Err(RecvTimeoutError::Timeout),
            false => queue.recv_timeout(wait),
        };
        let done = match received {
            Ok(OriginRequest::Append(origins)) => {
                if Instant::now() >= rotate_at {
                    rotate_at = Instant::now() + STREAM_MEMORY;
                    journal.rotate();
                }
                if journal.is_synced() {
                    sync_at = Instant::now() + SYNC_DELAY;
                }
                append(&mut journal, &origins)
            }
            Ok(OriginRequest::Clear) => journal.clear().context(DiskSnafu),
            Err(RecvTimeoutError::Timeout) => journal.sync().context(DiskSnafu),
            Err(RecvTimeoutError::Disconnected) => break,
        };
        if let Err(error) = done {
            tracing::warn!(%error, "failed to save origins of streams");
            thread::sleep(DISK_RETRY_DELAY);
        }
    }
    if let Err(error) = journal.sync() {
        tracing::warn!(%error, "failed to sync origins of streams");
    }
}

/// Opens the journal, retrying until it works; `None` if the registry stops first.
fn open_journal(
    folder: &Path,
    queue: &Receiver<OriginRequest>,
) -> Option<(RotatingJournal, Vec<Vec<u8>>)> {
    while !queue.is_disconnected() {
        match RealDisk::open(folder.to_path_buf(), None) {
            Ok(Some(disk)) => {
                match RotatingJournal::open(DiskPort::Real(disk), MAX_JOURNAL_FILE_BYTES) {
                    Ok(opened) => return Some(opened),
                    Err(error) => tracing::warn!(%error, "cannot read origins; retrying"),
                }
            }
            Ok(None) => tracing::warn!("another process uses the folder of origins; stop it"),
            Err(error) => tracing::warn!(%error, "cannot open the folder of origins; retrying"),
        }
        thread::sleep(DISK_RETRY_DELAY);
    }
    None
}

fn decode(record: &[u8]) -> Vec<StreamOrigin> {
    postcard::from_bytes(record).unwrap_or_else(|error| {
        tracing::warn!(%error, "skipped origins of streams that cannot be decoded");
        Vec::new()
    })
}

fn append(journal: &mut RotatingJournal, origins: &[StreamOrigin]) -> Result<(), StoreError> {
    let record = postcard::to_stdvec(origins).context(CodecSnafu)?;
    journal.append(&record).context(DiskSnafu)
}
