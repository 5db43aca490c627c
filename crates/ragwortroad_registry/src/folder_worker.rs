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

use crate::{
    folder_report::FolderReport,
    registry_event::RegistryEvent, //
};

/// Pause before a folder that failed is opened again.
///
/// A full or faulty disk mostly stays so for seconds; a quarter of one is soon enough and costs
/// little.
const REOPEN_DELAY: Duration = Duration::from_millis(250);

/// Requests that share a sync at the most.
const MAX_REQUESTS_PER_SYNC: usize = 1024;

/// One batch that must be made durable.
#[derive(Clone, Debug)]
pub(crate) struct PersistRequest {
    /// Which generation of the folder it belongs to; others are dropped.
    pub(crate) generation: u64,
    /// Names the batch in the report.
    pub(crate) batch: u64,
    /// What changes.
    pub(crate) change: LogChange,
}

/// The thread that owns the data folder, and opens it anew after a failure.
///
/// Opening, writing and syncing wait for the disk, which may hang for seconds; on the control
/// thread that would stop answers and elections. Requests that arrive during one sync share the next.
#[derive(Debug)]
pub(crate) struct FolderWorker {
    requests: Sender<PersistRequest>,
    thread: JoinHandle<()>,
}

impl FolderWorker {
    /// Starts the thread.
    pub(crate) fn start(
        settings: FolderSettings,
        events: Sender<RegistryEvent>,
    ) -> io::Result<Self> {
        let (requests, queue) = flume::unbounded();
        let thread = Builder::new()
            .name("disk".to_owned())
            .spawn(move || serve_folder(&settings, &queue, &events))?;
        Ok(Self { requests, thread })
    }

    /// Queues a batch.
    pub(crate) fn persist(&self, request: PersistRequest) {
        if self.requests.send(request).is_err() {
            tracing::error!("the disk thread is gone; nothing is acknowledged any more");
        }
    }

    /// Finishes what is queued and joins the thread.
    pub(crate) fn join(self) {
        drop(self.requests);
        if self.thread.join().is_err() {
            tracing::error!("the disk thread panicked");
        }
    }
}

fn serve_folder(
    settings: &FolderSettings,
    queue: &Receiver<PersistRequest>,
    events: &Sender<RegistryEvent>,
) {
    let mut generation = 0;
    while !queue.is_disconnected() {
        generation += 1;
        match LogFolder::open(settings) {
            Ok((folder, stored)) => {
                let stored = Box::new(stored);
                let report = FolderReport::Opened { generation, stored };
                if events.send(RegistryEvent::Folder(report)).is_err() {
                    return;
                }
                if serve_requests(folder, generation, queue, events).is_none() {
                    return;
                }
            }
            Err(error) => tracing::warn!(%error, "the data folder cannot be opened; trying again"),
        }
        thread::sleep(REOPEN_DELAY);
    }
}

/// Serves requests until a write fails; nothing once the owner has dropped its end.
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
