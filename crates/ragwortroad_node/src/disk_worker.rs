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

/// One batch that must be made durable.
#[derive(Clone, Debug)]
pub(crate) struct DiskWrite {
    /// Names the batch in the report.
    pub(crate) batch: u64,
    /// What changes.
    pub(crate) change: LogChange,
}

/// The fate of all batches up to one.
#[derive(Clone, Debug)]
pub(crate) enum DiskReport {
    /// Every batch up to this one is durable.
    Durable {
        /// The last of them.
        batch: u64,
    },
    /// The folder refuses writes from now on.
    Failed {
        /// Why, with the remedy, for the log.
        reason: String,
    },
}

/// The thread that owns the data folder.
///
/// A sync takes milliseconds on an old disk. On the control thread it would hold up every decision
/// of the node; here, orders that arrive during one sync share the next one.
#[derive(Debug)]
pub(crate) struct DiskWorker {
    writes: Sender<DiskWrite>,
    thread: JoinHandle<()>,
}

/// Orders that share a sync at the most.
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
            tracing::error!("the disk thread is gone; nothing is acknowledged any more");
        }
    }

    /// Finishes what is queued and joins the thread.
    pub(crate) fn join(self) {
        drop(self.writes);
        if self.thread.join().is_err() {
            tracing::error!("the disk thread panicked");
        }
    }
}

/// Serves orders until the control thread drops its end.
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
