use std::{
    io,
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
use ragwortroad_log::prelude::*;
use rand::random;

use crate::{
    folder_report::FolderReport,
    registry_event::RegistryEvent, //
};

/// Delay before a failed folder is reopened.
///
/// A full or faulty disk usually stays so for seconds; retrying every 250 ms is soon enough and
/// cheap.
const REOPEN_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of requests that share one sync.
const MAX_REQUESTS_PER_SYNC: usize = 1024;

/// A batch that must be made durable.
#[derive(Clone, Debug)]
pub(crate) struct PersistRequest {
    /// Generation of the folder that the batch belongs to. Requests of other generations are
    /// dropped.
    pub(crate) generation: u64,
    /// Number of the batch in reports.
    pub(crate) batch: u64,
    /// The change to the log.
    pub(crate) change: LogChange,
}

/// The thread that owns the data folder and reopens it after a failure.
///
/// Opening, writing and syncing block on the disk, which may hang for seconds. On the control
/// thread that would stop responses and elections. Requests that arrive during a sync share the
/// next one.
#[derive(Debug)]
pub(crate) struct FolderWorker {
    requests: Sender<PersistRequest>,
    thread: JoinHandle<()>,
}

impl FolderWorker {
    /// Spawns the thread.
    pub(crate) fn start(
        settings: FolderSettings,
        events: Sender<RegistryEvent>,
    ) -> io::Result<Self> {
        let (requests, queue) = flume::unbounded();
        let thread = Builder::new()
            .name("disk".to_owned())
            .spawn(move || serve_folder(settings, &queue, &events))?;
        Ok(Self { requests, thread })
    }

    /// Queues a batch to be written and synced.
    pub(crate) fn persist(&self, request: PersistRequest) {
        if self.requests.send(request).is_err() {
            tracing::error!("disk thread has ended; writes are no longer acknowledged");
        }
    }

    /// Finishes queued requests and joins the thread.
    pub(crate) fn join(self) {
        drop(self.requests);
        if self.thread.join().is_err() {
            tracing::error!("disk thread panicked");
        }
    }
}

fn serve_folder(
    mut settings: FolderSettings,
    queue: &Receiver<PersistRequest>,
    events: &Sender<RegistryEvent>,
) {
    let mut generation = 0;
    while !queue.is_disconnected() {
        generation += 1;
        match LogFolder::open(&settings) {
            Ok((folder, stored)) => {
                // The folder may be an empty one by the time it is reopened.
                settings.fresh_identity = random();
                settings.min_start = stored.start + 1;
                let stored = Box::new(stored);
                let report = FolderReport::Opened { generation, stored };
                if events.send(RegistryEvent::Folder(report)).is_err() {
                    return;
                }
                if serve_requests(folder, generation, queue, events).is_none() {
                    return;
                }
            }
            Err(error) => tracing::warn!(%error, "failed to open the data folder; retrying"),
        }
        thread::sleep(REOPEN_DELAY);
    }
}

/// Serves requests until a write fails; returns `None` once a channel is disconnected.
fn serve_requests(
    mut folder: LogFolder,
    generation: u64,
    queue: &Receiver<PersistRequest>,
    events: &Sender<RegistryEvent>,
) -> Option<()> {
    loop {
        let first = queue.recv().ok()?;
        let group: Vec<PersistRequest> = std::iter::once(first)
            .chain(queue.try_iter().take(MAX_REQUESTS_PER_SYNC))
            .filter(|request| request.generation == generation)
            .collect();
        let Some(batch) = group.last().map(|request| request.batch) else {
            continue;
        };
        let appended = group
            .iter()
            .try_for_each(|request| folder.append(&request.change));
        let written = appended.and_then(|()| folder.sync());
        let report = match &written {
            Ok(()) => FolderReport::Durable { generation, batch },
            Err(error) => FolderReport::Failed {
                generation,
                reason: error.to_string(),
            },
        };
        events.send(RegistryEvent::Folder(report)).ok()?;
        if written.is_err() {
            return Some(());
        }
    }
}
