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
const REOPEN_PAUSE: Duration = Duration::from_millis(250);

/// Orders that share a sync at the most.
const GROUP_LIMIT: usize = 1024;

/// One batch that must be made durable.
#[derive(Clone, Debug)]
pub(crate) struct FolderOrder {
    /// Which opening of the folder it belongs to; others are dropped.
    pub(crate) opening: u64,
    /// Names the batch in the report.
    pub(crate) batch: u64,
    /// What changes.
    pub(crate) change: LogChange,
}

/// The thread that owns the data folder, and opens it anew after a failure.
///
/// Opening, writing and syncing wait for the disk, which may hang for seconds; on the control
/// thread that would stop answers and elections. Orders that arrive during one sync share the next.
#[derive(Debug)]
pub(crate) struct FolderWorker {
    orders: Sender<FolderOrder>,
    thread: JoinHandle<()>,
}

impl FolderWorker {
    /// Starts the thread.
    pub(crate) fn start(
        settings: FolderSettings,
        events: Sender<RegistryEvent>,
    ) -> io::Result<Self> {
        let (orders, queue) = flume::unbounded();
        let thread = Builder::new()
            .name("disk".to_owned())
            .spawn(move || serve_folder(&settings, &queue, &events))?;
        Ok(Self { orders, thread })
    }

    /// Queues a batch.
    pub(crate) fn order(&self, order: FolderOrder) {
        if self.orders.send(order).is_err() {
            tracing::error!("the disk thread is gone; nothing is acknowledged any more");
        }
    }

    /// Finishes what is queued and joins the thread.
    pub(crate) fn join(self) {
        drop(self.orders);
        if self.thread.join().is_err() {
            tracing::error!("the disk thread panicked");
        }
    }
}

fn serve_folder(
    settings: &FolderSettings,
    queue: &Receiver<FolderOrder>,
    events: &Sender<RegistryEvent>,
) {
    let mut opening = 0;
    while !queue.is_disconnected() {
        opening += 1;
        match LogFolder::open(settings) {
            Ok((folder, stored)) => {
                let stored = Box::new(stored);
                let report = FolderReport::Opened { opening, stored };
                if events.send(RegistryEvent::Folder(report)).is_err() {
                    return;
                }
                if serve_orders(folder, opening, queue, events).is_none() {
                    return;
                }
            }
            Err(error) => tracing::warn!(%error, "the data folder cannot be opened; trying again"),
        }
        thread::sleep(REOPEN_PAUSE);
    }
}

/// Serves orders until a write fails; nothing once the owner has dropped its end.
fn serve_orders(
    mut folder: LogFolder,
    opening: u64,
    queue: &Receiver<FolderOrder>,
    events: &Sender<RegistryEvent>,
) -> Option<()> {
    loop {
        let first = queue.recv().ok()?;
        let group: Vec<FolderOrder> = std::iter::once(first)
            .chain(queue.try_iter().take(GROUP_LIMIT))
            .filter(|order| order.opening == opening)
            .collect();
        let Some(batch) = group.last().map(|order| order.batch) else {
            continue;
        };
        let appended = group
            .iter()
            .try_for_each(|order| folder.append(&order.change));
        let written = appended.and_then(|()| folder.sync());
        let report = match &written {
            Ok(()) => FolderReport::Durable { opening, batch },
            Err(error) => FolderReport::Failed {
                opening,
                reason: error.to_string(),
            },
        };
        events.send(RegistryEvent::Folder(report)).ok()?;
        if written.is_err() {
            return Some(());
        }
    }
}
