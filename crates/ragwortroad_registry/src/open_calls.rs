use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    sync::watch,
    time::{
        Instant,
        sleep, //
    }, //
};

use crate::stop_stage::StopStage;

/// Time without a call after which a stopping process closes connections that are still idle.
const QUIET_TIME: Duration = Duration::from_millis(100);

/// Time within which refusals are written at the end of a drain.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Time between two checks whether a drain is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The calls that a process has read and whose responses are not written yet.
///
/// A process that stops drains them before it ends.
#[derive(Debug)]
pub(crate) struct OpenCalls {
    stage: watch::Sender<StopStage>,
    calls: Cell<usize>,
    /// Listeners and connections on which calls may arrive.
    sources: Cell<usize>,
    /// When a call was last read or its response written.
    last_activity_at: Cell<Instant>,
}

impl OpenCalls {
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            stage: watch::Sender::new(StopStage::Running),
            calls: Cell::new(0),
            sources: Cell::new(0),
            last_activity_at: Cell::new(Instant::now()),
        })
    }

    pub(crate) fn note_opened(&self) {
        self.calls.set(self.calls.get() + 1);
        self.last_activity_at.set(Instant::now());
    }

    pub(crate) fn note_ended(&self) {
        self.calls.set(self.calls.get() - 1);
        self.last_activity_at.set(Instant::now());
    }

    pub(crate) fn add_source(&self) {
        self.sources.set(self.sources.get() + 1);
    }

    pub(crate) fn remove_source(&self) {
        self.sources.set(self.sources.get() - 1);
    }

    /// Starts to drain, unless that has been done.
    pub(crate) fn stop(&self) {
        if !self.is_stopping() {
            self.last_activity_at.set(Instant::now());
            self.stage.send_replace(StopStage::Draining);
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stage.borrow() > StopStage::Running
    }

    /// Completes once the stop has come to `stage`.
    pub(crate) async fn reached(&self, stage: StopStage) {
        let mut stages = self.stage.subscribe();
        let reached = stages.wait_for(|current| *current >= stage).await;
        debug_assert!(reached.is_ok(), "the sender lives as long as this call");
    }

    /// Waits for the process to be told to stop, and then until all calls are answered and their
    /// connections are closed.
    ///
    /// Calls that are still open shortly before `limit` are refused.
    pub(crate) async fn drain(&self, limit: Duration) {
        self.reached(StopStage::Draining).await;
        let patience = limit.saturating_sub(REFUSAL_TIME);
        wait_until(patience, || self.is_quiet()).await;
        if self.calls.get() > 0 {
            tracing::warn!(calls = self.calls.get(), "refusing the calls still open");
            self.stage.send_replace(StopStage::Refusing);
            wait_until(REFUSAL_TIME, || self.calls.get() == 0).await;
        }
        self.stage.send_replace(StopStage::Closed);
        wait_until(REFUSAL_TIME, || self.sources.get() == 0).await;
    }

    /// Whether no call is open and probably none will come.
    fn is_quiet(&self) -> bool {
        let is_silent = || self.last_activity_at.get().elapsed() >= QUIET_TIME;
        self.sources.get() == 0 || self.calls.get() == 0 && is_silent()
    }
}

/// Waits for a condition, but not longer than `limit`.
async fn wait_until(limit: Duration, is_met: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !is_met() && started_at.elapsed() < limit {
        sleep(CHECK_INTERVAL).await;
    }
}
