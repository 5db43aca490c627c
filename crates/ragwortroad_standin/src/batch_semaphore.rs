use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use tokio::sync::oneshot::{
    self,
    Receiver,
    Sender, //
};

/// The places in an engine's batch, given out by priority and then by arrival.
pub(crate) struct BatchSemaphore {
    state: Mutex<SemaphoreState>,
}

/// Who is in and who waits.
struct SemaphoreState {
    /// Invariant: zero unless nobody waits.
    available: u32,
    /// By priority, smaller first, and then by arrival.
    waiters: BTreeMap<(u8, u64), Sender<()>>,
    arrivals: u64,
}

/// One place in the batch, given back on drop.
pub(crate) struct BatchPermit<'semaphore> {
    semaphore: &'semaphore BatchSemaphore,
}

impl BatchSemaphore {
    pub(crate) fn new(permits: u32) -> Self {
        let state = SemaphoreState {
            available: permits,
            waiters: BTreeMap::new(),
            arrivals: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Waits for a place.
    pub(crate) async fn acquire(&self, priority: u8) -> BatchPermit<'_> {
        if let Some(permit) = self.acquire_or_queue(priority) {
            let mut wait = PermitWait {
                semaphore: self,
                permit,
            };
            if (&mut wait.permit).await.is_err() {
                tracing::error!("a waiting request's permit was dropped unused");
            }
        }
        BatchPermit { semaphore: self }
    }

    /// Takes a available place, or queues and returns what tells when there is one.
    fn acquire_or_queue(&self, priority: u8) -> Option<Receiver<()>> {
        let mut state = self.lock();
        if state.available > 0 {
            state.available -= 1;
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        state.arrivals += 1;
        let arrival = state.arrivals;
        state.waiters.insert((priority, arrival), sender);
        Some(receiver)
    }

    /// Hands a place to the first who still waits for it.
    fn release(&self) {
        let mut state = self.lock();
        while let Some((_, sender)) = state.waiters.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        state.available += 1;
    }

    fn lock(&self) -> MutexGuard<'_, SemaphoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for BatchPermit<'_> {
    fn drop(&mut self) {
        self.semaphore.release();
    }
}

/// A wait that may be given up. A place that was handed to it and not taken goes to the next.
struct PermitWait<'semaphore> {
    semaphore: &'semaphore BatchSemaphore,
    permit: Receiver<()>,
}

impl Drop for PermitWait<'_> {
    fn drop(&mut self) {
        self.permit.close();
        if self.permit.try_recv().is_ok() {
            self.semaphore.release();
        }
    }
}
