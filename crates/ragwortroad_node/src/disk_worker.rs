use std::thread::{
    Builder,
    JoinHandle, //
};

use flume::{
    Receiver,
    Sender, //
};
use ragwortroad_log::prelude::*;
use snafu::ResultExt;

use crate::node_error::{
    NodeError,
    ThreadSnafu, //
};

/// A batch of log changes to make durable.
#[derive(Clone, Debug)]
pub(crate) struct DiskWrite {
    /// Identifies the batch in the report.
    pub(crate) batch: u64,
    pub(crate) change: LogChange,
}

/// The outcome of all batches up to one.
#[derive(Clone, Debug)]
pub(crate) enum DiskReport {
    /// Every batch up to and including this one is durable.
    Durable { batch: u64 },
    /// The folder refuses writes from now on.
    Failed {
        /// The cause and its remedy, for the log.
        reason: String,
    },
}

/// The thread that owns the data folder.
///
/// A sync takes milliseconds on an old disk. On the control thread it would delay every decision of
/// the node; here, the writes that arrive during one sync share the next one.
#[derive(Debug)]
pub(crate) struct DiskWorker {
    writes: Sender<DiskWrite>,
    thread: JoinHandle<()>,
}

/// Maximum number of queued writes added to the first of a group; a group shares one sync.
const MAX_GROUP_WRITES: usize = 1024;

impl DiskWorker {
    /// Starts the thread; its reports go to `reports`.
    pub(crate) fn start(folder: LogFolder, reports: Sender<DiskReport>) -> Result<Self, NodeError> {
        let (writes, queue) = flume::unbounded();
        let thread = Builder::new()
            .name("disk".to_owned())
            .spawn(move || serve_writes(folder, &queue, &reports))
            .context(ThreadSnafu { name: "disk" })?;
        Ok(Self { writes, thread })
    }

    /// Queues a batch.
    pub(crate) fn write(&self, write: DiskWrite) {
        if self.writes.send(write).is_err() {
            tracing::error!("the disk thread has ended; this member acknowledges nothing any more");
        }
    }

    /// Finishes the queued writes and joins the thread.
    pub(crate) fn join(self) {
        drop(self.writes);
        if self.thread.join().is_err() {
            tracing::error!("the disk thread panicked");
        }
    }
}

/// Writes batches until the control thread drops its sender.
fn serve_writes(mut folder: LogFolder, queue: &Receiver<DiskWrite>, reports: &Sender<DiskReport>) {
    while let Ok(first) = queue.recv() {
        let group: Vec<DiskWrite> = std::iter::once(first)
            .chain(queue.try_iter().take(MAX_GROUP_WRITES))
            .collect();
        let report = write_group(&mut folder, &group);
        if reports.send(report).is_err() {
            return;
        }
    }
}

/// Appends a group of batches and syncs once.
fn write_group(folder: &mut LogFolder, group: &[DiskWrite]) -> DiskReport {
    let appended = group
        .iter()
        .try_for_each(|write| folder.append(&write.change));
    let batch = group.last().map_or(0, |write| write.batch);
    match appended.and_then(|()| folder.sync()) {
        Ok(()) => DiskReport::Durable { batch },
        Err(error) => DiskReport::Failed {
            reason: error.to_string(),
        },
    }
}
