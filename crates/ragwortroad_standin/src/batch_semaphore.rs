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

/// A semaphore over an engine's batch that serves waiters by priority, then by arrival.
pub(crate) struct BatchSemaphore {
    state: Mutex<SemaphoreState>,
}

/// Available permits and waiters.
struct SemaphoreState {
    /// Invariant: zero while there are waiters.
    available: u32,
    /// Keyed by priority, lowest number first, then by arrival.
    waiters: BTreeMap<(u8, u64), Sender<()>>,
    arrivals: u64,
}

/// One slot in the batch; dropping it releases the slot.
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

    /// Waits for a slot in the batch.
    pub(crate) async fn acquire(&self, priority: u8) -> BatchPermit<'_> {
        if let Some(permit) = self.acquire_or_queue(priority) {
            let mut wait = PermitWait {
                semaphore: self,
                permit,
            };
            if (&mut wait.permit).await.is_err() {
                tracing::error!("a batch permit's channel closed before the permit was granted");
            }
        }
        BatchPermit { semaphore: self }
    }

    /// Takes an available permit and returns `None`, or enqueues a waiter and returns the channel
    /// that is notified when it gets a permit.
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

    /// Hands the permit to the first waiter that has not been cancelled, or makes it available.
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

/// A cancellable wait. On drop it passes on a permit that was granted but not taken.
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
