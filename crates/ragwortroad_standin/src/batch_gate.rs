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
pub(crate) struct BatchGate {
    parts: Mutex<GateParts>,
}

/// Who is in and who waits.
struct GateParts {
    /// Invariant: zero unless nobody waits.
    free: u32,
    /// By priority, smaller first, and then by arrival.
    waiting: BTreeMap<(u8, u64), Sender<()>>,
    arrivals: u64,
}

/// One place in the batch, given back on drop.
pub(crate) struct BatchPlace<'gate> {
    gate: &'gate BatchGate,
}

impl BatchGate {
    pub(crate) fn new(places: u32) -> Self {
        let parts = GateParts {
            free: places,
            waiting: BTreeMap::new(),
            arrivals: 0,
        };
        Self {
            parts: Mutex::new(parts),
        }
    }

    /// Waits for a place.
    pub(crate) async fn enter(&self, priority: u8) -> BatchPlace<'_> {
        if let Some(turn) = self.queue(priority) {
            let mut wait = GateWait { gate: self, turn };
            if (&mut wait.turn).await.is_err() {
                tracing::error!("a waiting request's turn was dropped unused");
            }
        }
        BatchPlace { gate: self }
    }

    /// Takes a free place, or queues and returns what tells when there is one.
    fn queue(&self, priority: u8) -> Option<Receiver<()>> {
        let mut parts = self.parts();
        if parts.free > 0 {
            parts.free -= 1;
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        parts.arrivals += 1;
        let arrival = parts.arrivals;
        parts.waiting.insert((priority, arrival), sender);
        Some(receiver)
    }

    /// Hands a place to the first who still waits for it.
    fn leave(&self) {
        let mut parts = self.parts();
        while let Some((_, sender)) = parts.waiting.pop_first() {
            if sender.send(()).is_ok() {
                return;
            }
        }
        parts.free += 1;
    }

    fn parts(&self) -> MutexGuard<'_, GateParts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for BatchPlace<'_> {
    fn drop(&mut self) {
        self.gate.leave();
    }
}

/// A wait that may be given up. A place that was handed to it and not taken goes to the next.
struct GateWait<'gate> {
    gate: &'gate BatchGate,
    turn: Receiver<()>,
}

impl Drop for GateWait<'_> {
    fn drop(&mut self) {
        self.turn.close();
        if self.turn.try_recv().is_ok() {
            self.gate.leave();
        }
    }
}
